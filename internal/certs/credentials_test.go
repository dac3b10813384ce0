package certs

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/events"
)

// authority is a CA that signs test certificates.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return &authority{key: key, cert: sign(t, template, template, key, key)}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// nodeFiles holds the names of a node's certificate files.
type nodeFiles struct{ cert, key, ca string }

func newNodeFiles(t *testing.T) nodeFiles {
	dir := t.TempDir()
	return nodeFiles{cert: filepath.Join(dir, "cert.pem"), key: filepath.Join(dir, "key.pem"), ca: filepath.Join(dir, "ca.pem")}
}

// write replaces the files with a certificate of the authority that has the given serial number and validity.
func (n nodeFiles) write(t *testing.T, a *authority, serial int64, validity time.Duration) nodeFiles {
	t.Helper()
	key := newKey(t)
	cert := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "node"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, key, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, n.cert, "CERTIFICATE", cert.Raw, serial)
	writePEM(t, n.key, "EC PRIVATE KEY", der, serial)
	writePEM(t, n.ca, "CERTIFICATE", a.cert.Raw, serial)
	return n
}

// writePEM gives each serial number its own modification time, so that replacements within one clock tick differ.
func writePEM(t *testing.T, name, kind string, der []byte, serial int64) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	modified := time.Unix(1_700_000_000+serial, 0)
	if err := os.Chtimes(name, modified, modified); err != nil {
		t.Fatal(err)
	}
}

func loadCredentials(t *testing.T, n nodeFiles, log *events.Logger, clock func() time.Time) *Credentials {
	t.Helper()
	credentials, err := Load(n.cert, n.key, n.ca, log, clock)
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

func developmentCredentials(t *testing.T) *Credentials {
	t.Helper()
	credentials, err := NewDevelopment(events.Discard(), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

// handshake performs a TLS handshake over loopback and returns the connection state and the error of each side.
func handshake(t *testing.T, server, client *tls.Config) (serverState, clientState tls.ConnectionState, serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var group sync.WaitGroup
	group.Go(func() {
		raw, err := listener.Accept()
		if err != nil {
			serverErr = err
			return
		}
		conn := tls.Server(raw, server)
		defer conn.Close()
		serverErr = conn.HandshakeContext(t.Context())
		serverState = conn.ConnectionState()
	})
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := tls.Client(raw, client)
	clientErr = conn.HandshakeContext(t.Context())
	clientState = conn.ConnectionState()
	group.Wait()
	conn.Close()
	return serverState, clientState, serverErr, clientErr
}

// Guards against peers that are accepted without a certificate of the same authority, and against development credentials that are
// accepted outside development mode.
func TestWhoIsAccepted(t *testing.T) {
	ours := newAuthority(t)
	theirs := newAuthority(t)
	good := loadCredentials(t, newNodeFiles(t).write(t, ours, 1, time.Hour), events.Discard(), time.Now)
	other := loadCredentials(t, newNodeFiles(t).write(t, ours, 2, time.Hour), events.Discard(), time.Now)
	foreign := loadCredentials(t, newNodeFiles(t).write(t, theirs, 3, time.Hour), events.Discard(), time.Now)
	dev := developmentCredentials(t)
	withoutCertificate := func(config *tls.Config) *tls.Config {
		config.GetClientCertificate = nil
		return config
	}
	tls12 := func(config *tls.Config) *tls.Config {
		config.MinVersion = tls.VersionTLS12
		config.MaxVersion = tls.VersionTLS12
		return config
	}
	otherProtocol := func(config *tls.Config) *tls.Config {
		config.NextProtos = []string{"h3"}
		return config
	}
	tests := map[string]struct {
		server, client       *tls.Config
		wantServer, wantBoth bool
	}{
		"same authority":                 {server: good.ServerConfig(), client: other.ClientConfig(), wantServer: true, wantBoth: true},
		"client without a certificate":   {server: good.ServerConfig(), client: withoutCertificate(other.ClientConfig())},
		"client of another authority":    {server: good.ServerConfig(), client: foreign.ClientConfig()},
		"server of another authority":    {server: foreign.ServerConfig(), client: good.ClientConfig()},
		"development client":             {server: good.ServerConfig(), client: dev.ClientConfig()},
		"development server":             {server: dev.ServerConfig(), client: good.ClientConfig()},
		"two development peers":          {server: developmentCredentials(t).ServerConfig(), client: dev.ClientConfig(), wantServer: true, wantBoth: true},
		"development, no certificate":    {server: dev.ServerConfig(), client: withoutCertificate(developmentCredentials(t).ClientConfig())},
		"TLS 1.2":                        {server: good.ServerConfig(), client: tls12(other.ClientConfig())},
		"another application's protocol": {server: good.ServerConfig(), client: otherProtocol(other.ClientConfig())},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			serverState, _, serverErr, clientErr := handshake(t, test.server, test.client)
			if got := serverErr == nil; got != test.wantServer {
				t.Errorf("server accepted: got %v (%v), want %v", got, serverErr, test.wantServer)
			}
			if got := serverErr == nil && clientErr == nil; got != test.wantBoth {
				t.Errorf("both accepted: got %v (%v, %v), want %v", got, serverErr, clientErr, test.wantBoth)
			}
			if got := serverState.NegotiatedProtocol; test.wantBoth && got != Protocol {
				t.Errorf("protocol: got %q, want %q", got, Protocol)
			}
		})
	}
}

// testClock is a manually advanced clock.
type testClock struct{ nanos atomic.Int64 }

func newTestClock() *testClock {
	c := &testClock{}
	c.nanos.Store(time.Now().UnixNano())
	return c
}

func (c *testClock) now() time.Time          { return time.Unix(0, c.nanos.Load()) }
func (c *testClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// Guards against replaced certificates and authorities that take effect only after a restart, and against checks of the files more
// often than once per second.
func TestReplacedFilesAreUsed(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	clock := newTestClock()
	var log bytes.Buffer
	logger, err := events.New(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	server, client := newNodeFiles(t).write(t, before, 1, time.Hour), newNodeFiles(t).write(t, before, 2, time.Hour)
	serverCredentials, clientCredentials := loadCredentials(t, server, logger, clock.now), loadCredentials(t, client, events.Discard(), clock.now)
	serverConfig, clientConfig := serverCredentials.ServerConfig(), clientCredentials.ClientConfig()
	check := func(wantServer, wantClient int64) {
		t.Helper()
		serverState, clientState, serverErr, clientErr := handshake(t, serverConfig, clientConfig)
		if serverErr != nil || clientErr != nil {
			t.Fatalf("handshake: %v, %v", serverErr, clientErr)
		}
		if got := clientState.PeerCertificates[0].SerialNumber.Int64(); got != wantServer {
			t.Errorf("server's serial number: got %d, want %d", got, wantServer)
		}
		if got := serverState.PeerCertificates[0].SerialNumber.Int64(); got != wantClient {
			t.Errorf("client's serial number: got %d, want %d", got, wantClient)
		}
	}
	check(1, 2)
	server.write(t, after, 3, time.Hour)
	client.write(t, after, 4, time.Hour)
	check(1, 2)
	clock.advance(checkInterval)
	check(3, 4)
	if got := strings.Count(log.String(), `"event":302`); got != 1 {
		t.Errorf("got %d reload events, want 1", got)
	}
}

// Guards against unusable replacements that cut a node off, and against an event for each handshake.
func TestUnusableFilesAreIgnored(t *testing.T) {
	tests := map[string]func(t *testing.T, n nodeFiles, a *authority){
		"not PEM": func(t *testing.T, n nodeFiles, a *authority) { writePEMText(t, n.cert, "nonsense") },
		"key of another": func(t *testing.T, n nodeFiles, a *authority) {
			writePEMText(t, n.key, readFile(t, newNodeFiles(t).write(t, a, 9, time.Hour).key))
		},
		"removed":           func(t *testing.T, n nodeFiles, a *authority) { removeFile(t, n.key) },
		"authority emptied": func(t *testing.T, n nodeFiles, a *authority) { writePEMText(t, n.ca, "") },
		"expired":           func(t *testing.T, n nodeFiles, a *authority) { n.write(t, a, 9, -time.Minute) },
		"wrong authority": func(t *testing.T, n nodeFiles, a *authority) {
			writePEMText(t, n.ca, readFile(t, newNodeFiles(t).write(t, newAuthority(t), 9, time.Hour).ca))
		},
	}
	for name, corrupt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAuthority(t)
			clock := newTestClock()
			var log bytes.Buffer
			logger, err := events.New(&log, "info")
			if err != nil {
				t.Fatal(err)
			}
			n := newNodeFiles(t).write(t, a, 1, time.Hour)
			credentials := loadCredentials(t, n, logger, clock.now)
			client := loadCredentials(t, newNodeFiles(t).write(t, a, 2, time.Hour), events.Discard(), time.Now).ClientConfig()
			corrupt(t, n, a)
			for range 3 {
				clock.advance(checkInterval)
				_, state, serverErr, clientErr := handshake(t, credentials.ServerConfig(), client)
				if serverErr != nil || clientErr != nil {
					t.Fatalf("handshake: %v, %v", serverErr, clientErr)
				}
				if got := state.PeerCertificates[0].SerialNumber.Int64(); got != 1 {
					t.Errorf("serial number: got %d, want that of the last good file", got)
				}
			}
			if got := strings.Count(log.String(), `"event":303`); got != 1 {
				t.Errorf("got %d failure events, want 1", got)
			}
			n.write(t, a, 5, time.Hour)
			clock.advance(checkInterval)
			_, state, _, _ := handshake(t, credentials.ServerConfig(), client)
			if got := state.PeerCertificates[0].SerialNumber.Int64(); got != 5 {
				t.Errorf("serial number after repair: got %d, want 5", got)
			}
		})
	}
}

func writePEMText(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func removeFile(t *testing.T, name string) {
	t.Helper()
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
}

// Guards against a node that starts with unusable certificate files.
func TestLoadRefusesUnusableFiles(t *testing.T) {
	n := newNodeFiles(t).write(t, newAuthority(t), 1, -time.Minute)
	if _, err := Load(n.cert, n.key, n.ca, events.Discard(), time.Now); err == nil {
		t.Error("an expired certificate was loaded")
	}
	if _, err := Load("missing", n.key, n.ca, events.Discard(), time.Now); err == nil {
		t.Error("a missing file was loaded")
	}
}

// Guards against development mode that is not logged.
func TestDevelopmentIsLogged(t *testing.T) {
	var log bytes.Buffer
	logger, err := events.New(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewDevelopment(logger, time.Now); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(log.String(), `"event":300`) {
		t.Errorf("got log %q, want event 300", log.String())
	}
}
