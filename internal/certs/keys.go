// Package certs makes the TLS configuration for connections between nodes: mutual TLS 1.3 with certificates that are reloaded when
// their files are replaced, or throw-away keys for development.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Protocol is the ALPN name of the protocol between nodes.
const Protocol = "fireflylanding/1"

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

var errNoCertificate = errors.New("the peer presented no certificate")

// material is one loaded set of files. It is immutable.
type material struct {
	certificate *tls.Certificate
	// authorities is nil in development mode, where any certificate is accepted.
	authorities *x509.CertPool
	state       fileState
}

// Credentials gives TLS configurations for peers. It is safe for concurrent use.
type Credentials struct {
	files   files
	log     *events.Logger
	clock   func() time.Time
	current atomic.Pointer[material]

	// mu serialises looks at the files and guards the fields below.
	mu      sync.Mutex
	checked time.Time
	// failed identifies the unusable files that were reported last, so that they are reported once; nil while the files are usable.
	failed *fileState
}

// Load reads PEM files with the node's certificate, its key and the certificates that sign peers. It returns an error when they are
// unusable now; later replacements that are unusable are reported as events and the last good files stay in use.
func Load(certFile, keyFile, caFile string, log *events.Logger, clock func() time.Time) (*Credentials, error) {
	k := &Credentials{files: files{cert: certFile, key: keyFile, ca: caFile}, log: log, clock: clock}
	loaded, err := k.files.load(clock())
	if err != nil {
		return nil, err
	}
	k.current.Store(loaded)
	k.checked = clock()
	return k, nil
}

// NewDevelopment returns throw-away keys made in memory. Peers are accepted with any certificate, but not without one; peers outside
// development mode refuse these keys.
func NewDevelopment(log *events.Logger, clock func() time.Time) (*Credentials, error) {
	certificate, err := selfSigned(clock())
	if err != nil {
		return nil, err
	}
	log.Log(wire.Event_EVENT_DEVELOPMENT_KEYS)
	k := &Credentials{log: log, clock: clock}
	k.current.Store(&material{certificate: certificate})
	return k, nil
}

// ServerConfig returns the configuration of a listener. Each handshake uses the present files.
func (k *Credentials) ServerConfig() *tls.Config {
	config := k.base(x509.ExtKeyUsageClientAuth)
	config.ClientAuth = tls.RequireAnyClientCert // VerifyConnection checks the chain against the present authorities.
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.present().certificate, nil }
	return config
}

// ClientConfig returns the configuration of outgoing connections. Each handshake uses the present files. Peers are called by address and
// replaced at any time, so a certificate is checked for its chain and use, not for a host name.
func (k *Credentials) ClientConfig() *tls.Config {
	config := k.base(x509.ExtKeyUsageServerAuth)
	config.InsecureSkipVerify = true // Replaces the standard check, which needs a host name, by VerifyConnection.
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.present().certificate, nil }
	return config
}

// base returns what both sides share. Session tickets are off: a resumed session would skip the check of a replaced certificate.
func (k *Credentials) base(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{Protocol},
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := k.verify(state.PeerCertificates, usage); err != nil {
				k.log.Log(wire.Event_EVENT_PEER_REFUSED, zap.Error(err))
				return err
			}
			return nil
		},
	}
}

func (k *Credentials) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errNoCertificate
	}
	authorities := k.present().authorities
	if authorities == nil {
		return nil
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		CurrentTime:   k.clock(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// present returns the keys to use now, after a look at the files when the last one is at least checkInterval ago.
func (k *Credentials) present() *material {
	current := k.current.Load()
	if current.authorities == nil || !k.mu.TryLock() {
		return current
	}
	defer k.mu.Unlock()
	now := k.clock()
	if now.Sub(k.checked) < checkInterval {
		return k.current.Load()
	}
	k.checked = now
	k.reload(now)
	return k.current.Load()
}

func (k *Credentials) reload(now time.Time) {
	state, err := k.files.state()
	if err == nil && state == k.current.Load().state {
		k.failed = nil
		return
	}
	loaded, err := k.files.load(now)
	if err != nil {
		k.report(state, err)
		return
	}
	k.failed = nil
	k.current.Store(loaded)
	k.log.Log(wire.Event_EVENT_CERTIFICATE_RELOADED, zap.Time("not_after", loaded.certificate.Leaf.NotAfter))
}

// report logs a failed reload unless the same files failed before.
func (k *Credentials) report(state fileState, err error) {
	if k.failed != nil && *k.failed == state {
		return
	}
	k.failed = &state
	k.log.Log(wire.Event_EVENT_CERTIFICATE_FAILED, zap.Error(err))
}
