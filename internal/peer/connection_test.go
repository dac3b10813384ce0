package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/certs"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// closeBound is the time within which a transport on loopback closes; its connections would stay open for good otherwise.
const closeBound = 20 * time.Second

// silentHandler answers nothing.
type silentHandler struct{}

func (silentHandler) Batch(context.Context, *wire.Batch, func(*wire.BatchReply) error) {}
func (silentHandler) Cancel(context.Context, *wire.Cancel)                             {}
func (silentHandler) Forward(context.Context, *wire.Forward) *wire.Answer              { return &wire.Answer{} }
func (silentHandler) Digest(context.Context, *wire.Digest) *wire.Digest                { return &wire.Digest{} }
func (silentHandler) Push(context.Context, *wire.Push)                                 {}
func (silentHandler) Pull(context.Context, *wire.Pull) *wire.Push                      { return &wire.Push{} }

func startTransport(t *testing.T) *Transport {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var keys *certs.Keys
	if keys, err = certs.Development(events.Discard(), time.Now); err != nil {
		t.Fatal(err)
	}
	var transport *Transport
	if transport, err = New(socket, keys.Server(), keys.Client(), events.Discard(), metrics.NewRegistry()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { transport.Serve(ctx, silentHandler{}) })
	t.Cleanup(func() {
		cancel()
		_ = transport.Close()
		_ = socket.Close()
		tasks.Wait()
	})
	return transport
}

// TestCloseEndsReplacedConnections guards against a transport that waits for good for a connection that another one replaced: its peer
// keeps it alive, and a node that stops would hang.
func TestCloseEndsReplacedConnections(t *testing.T) {
	from, to := startTransport(t), startTransport(t)
	conn, err := from.connect(t.Context(), to.Address())
	if err != nil {
		t.Fatal(err)
	}
	from.drop(to.Address(), conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = from.Close()
	}()
	select {
	case <-done:
	case <-time.After(closeBound):
		t.Fatalf("got no end of Close within %v, want one", closeBound)
	}
}

// TestExpiredCallerKeepsConnection guards against a new connection for each caller whose time ran out: under overload nodes opened a connection a
// hundred times in a few seconds.
func TestExpiredCallerKeepsConnection(t *testing.T) {
	from, to := startTransport(t), startTransport(t)
	conn, err := from.connect(t.Context(), to.Address())
	if err != nil {
		t.Fatal(err)
	}
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	// The choice between an open connection and an expired context is random, so one attempt may not reach the connection.
	for range 64 {
		if _, _, err := from.open(expired, to.Address()); err == nil {
			t.Fatal("got a stream for an expired caller, want an error")
		}
	}
	again, err := from.connect(t.Context(), to.Address())
	if err != nil {
		t.Fatal(err)
	}
	if again != conn {
		t.Error("got another connection after expired callers, want the same")
	}
}
