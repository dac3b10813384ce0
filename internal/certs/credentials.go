// Package certs provides the TLS configuration of connections between nodes: mutual TLS 1.3 with certificates that are reloaded when
// their files are replaced, or with an ephemeral self-signed certificate for development.
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

// Protocol is the ALPN protocol ID of connections between nodes.
const Protocol = "fireflylanding/1"

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

var errNoCertificate = errors.New("the peer presented no certificate")

// keyMaterial is a certificate with its private key and the CA certificates to verify peers with. It is immutable.
type keyMaterial struct {
	certificate *tls.Certificate
	// roots is nil in development mode, which accepts any peer certificate.
	roots *x509.CertPool
	state fileState
}

// Credentials provides TLS configurations for connections to peers. It is safe for concurrent use.
type Credentials struct {
	files   files
	log     *events.Logger
	clock   func() time.Time
	current atomic.Pointer[keyMaterial]

	// mu serialises the checks of the files and guards the fields below.
	mu        sync.Mutex
	checkedAt time.Time
	// reportedFailure is the state of the unusable files that were reported last, so that they are reported once. It is nil while the
	// files are usable.
	reportedFailure *fileState
}

// Load loads PEM files with the node's certificate, its private key and the CA certificates that peers are verified against. It returns
// an error if they are unusable. Unusable replacements at a later time are logged, and the last valid files stay in use.
func Load(certFile, keyFile, caFile string, log *events.Logger, clock func() time.Time) (*Credentials, error) {
	c := &Credentials{files: files{cert: certFile, key: keyFile, ca: caFile}, log: log, clock: clock}
	loaded, err := c.files.load(clock())
	if err != nil {
		return nil, err
	}
	c.current.Store(loaded)
	c.checkedAt = clock()
	return c, nil
}

// NewDevelopment returns credentials with an ephemeral self-signed certificate. They accept peers with any certificate, but not peers
// without one. Peers outside development mode refuse them.
func NewDevelopment(log *events.Logger, clock func() time.Time) (*Credentials, error) {
	certificate, err := selfSigned(clock())
	if err != nil {
		return nil, err
	}
	log.Log(wire.Event_EVENT_DEVELOPMENT_KEYS)
	c := &Credentials{log: log, clock: clock}
	c.current.Store(&keyMaterial{certificate: certificate})
	return c, nil
}

// ServerConfig returns the configuration of a listener. Each handshake uses the latest files.
func (c *Credentials) ServerConfig() *tls.Config {
	config := c.baseConfig(x509.ExtKeyUsageClientAuth)
	config.ClientAuth = tls.RequireAnyClientCert // VerifyConnection verifies the chain against the latest CA certificates.
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.latest().certificate, nil }
	return config
}

// ClientConfig returns the configuration of outgoing connections. Each handshake uses the latest files. Peers are dialled by address and
// may be replaced at any time, so their certificates are verified by chain and extended key usage, not by host name.
func (c *Credentials) ClientConfig() *tls.Config {
	config := c.baseConfig(x509.ExtKeyUsageServerAuth)
	config.InsecureSkipVerify = true // VerifyConnection replaces the standard verification, which needs a host name.
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.latest().certificate, nil }
	return config
}

// baseConfig returns the configuration that both sides share. Session tickets are disabled because a resumed session would skip the
// verification of a replaced certificate.
func (c *Credentials) baseConfig(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{Protocol},
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := c.verify(state.PeerCertificates, usage); err != nil {
				c.log.Log(wire.Event_EVENT_PEER_REFUSED, zap.Error(err))
				return err
			}
			return nil
		},
	}
}

func (c *Credentials) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errNoCertificate
	}
	roots := c.latest().roots
	if roots == nil {
		return nil
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   c.clock(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// latest returns the current key material. It first checks the files if the last check is at least checkInterval ago.
func (c *Credentials) latest() *keyMaterial {
	current := c.current.Load()
	if current.roots == nil || !c.mu.TryLock() {
		return current
	}
	defer c.mu.Unlock()
	now := c.clock()
	if now.Sub(c.checkedAt) < checkInterval {
		return c.current.Load()
	}
	c.checkedAt = now
	c.reload(now)
	return c.current.Load()
}

func (c *Credentials) reload(now time.Time) {
	state, err := c.files.state()
	if err == nil && state == c.current.Load().state {
		c.reportedFailure = nil
		return
	}
	loaded, err := c.files.load(now)
	if err != nil {
		c.reportFailure(state, err)
		return
	}
	c.reportedFailure = nil
	c.current.Store(loaded)
	c.log.Log(wire.Event_EVENT_CERTIFICATE_RELOADED, zap.Time("not_after", loaded.certificate.Leaf.NotAfter))
}

// reportFailure logs a failed reload unless it was logged for the same files.
func (c *Credentials) reportFailure(state fileState, err error) {
	if c.reportedFailure != nil && *c.reportedFailure == state {
		return
	}
	c.reportedFailure = &state
	c.log.Log(wire.Event_EVENT_CERTIFICATE_FAILED, zap.Error(err))
}
