package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// files names the PEM files of a node.
type files struct {
	cert string
	key  string
	ca   string
}

// version identifies the content of one file without reading it.
type version struct {
	modified time.Time
	bytes    int64
}

// fileState identifies the content of all files.
type fileState struct {
	cert version
	key  version
	ca   version
}

func (f files) state() (fileState, error) {
	cert, certErr := stat(f.cert)
	key, keyErr := stat(f.key)
	ca, caErr := stat(f.ca)
	return fileState{cert: cert, key: key, ca: ca}, errors.CombineErrors(certErr, errors.CombineErrors(keyErr, caErr))
}

func stat(name string) (version, error) {
	info, err := os.Stat(name)
	if err != nil {
		return version{}, err
	}
	return version{modified: info.ModTime(), bytes: info.Size()}, nil
}

// load reads the files. The state is taken first, so that a replacement during the read is seen at the next look. The node's own
// certificate must be valid at peers that hold the same authorities; otherwise a mistaken replacement would cut the node off.
func (f files) load(now time.Time) (*material, error) {
	state, err := f.state()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, errors.Wrapf(err, "loading %s and %s", f.cert, f.key)
	}
	text, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s holds no certificate", f.ca)
	}
	if err := checkOwn(&certificate, authorities, now); err != nil {
		return nil, errors.Wrapf(err, "checking %s against %s", f.cert, f.ca)
	}
	return &material{certificate: &certificate, authorities: authorities, state: state}, nil
}

func checkOwn(certificate *tls.Certificate, authorities *x509.CertPool, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, der := range certificate.Certificate[1:] {
		intermediate, err := x509.ParseCertificate(der)
		if err != nil {
			return err
		}
		intermediates.AddCert(intermediate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := certificate.Leaf.Verify(x509.VerifyOptions{
			Roots:         authorities,
			Intermediates: intermediates,
			CurrentTime:   now,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return err
		}
	}
	return nil
}
