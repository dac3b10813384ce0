package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// files holds the names of a node's PEM files.
type files struct {
	cert string
	key  string
	ca   string
}

// fileVersion identifies the content of a file by its metadata, without reading it.
type fileVersion struct {
	modified time.Time
	size     int64
}

// fileState identifies the contents of all files.
type fileState struct {
	cert fileVersion
	key  fileVersion
	ca   fileVersion
}

func (f files) state() (fileState, error) {
	cert, certErr := stat(f.cert)
	key, keyErr := stat(f.key)
	ca, caErr := stat(f.ca)
	return fileState{cert: cert, key: key, ca: ca}, errors.CombineErrors(certErr, errors.CombineErrors(keyErr, caErr))
}

func stat(name string) (fileVersion, error) {
	info, err := os.Stat(name)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}, nil
}

// load reads the files. It takes their state first, so that the next check detects a replacement during the read. The node's own
// certificate must be valid for peers with the same CA certificates, since otherwise a wrong replacement would cut the node off.
func (f files) load(now time.Time) (*keyMaterial, error) {
	state, err := f.state()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, errors.Wrapf(err, "load key pair %s and %s", f.cert, f.key)
	}
	text, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, errors.Newf("%s contains no CA certificate", f.ca)
	}
	if err := verifyOwnCertificate(&certificate, roots, now); err != nil {
		return nil, errors.Wrapf(err, "verify %s against %s", f.cert, f.ca)
	}
	return &keyMaterial{certificate: &certificate, roots: roots, state: state}, nil
}

func verifyOwnCertificate(certificate *tls.Certificate, roots *x509.CertPool, now time.Time) error {
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
			Roots:         roots,
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
