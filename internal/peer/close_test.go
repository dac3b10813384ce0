package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fireflylanding/fireflylanding/internal/certs"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// echo answers digests and ignores all else.
type echo struct{}

func (echo) Batch(context.Context, *wire.Batch, func(*wire.BatchReply) error) {}
func (echo) Cancel(context.Context, *wire.Cancel)                             {}
func (echo) Forward(context.Context, *wire.Forward) *wire.Answer              { return &wire.Answer{} }
func (echo) Digest(_ context.Context, d *wire.Digest) *wire.Digest            { return d }
func (echo) Push(context.Context, *wire.Push)                                 {}
func (echo) Pull(context.Context, *wire.Pull) *wire.Push                      { return &wire.Push{} }

func listen(t *testing.T) (*Transport, net.PacketConn) {
	t.Helper()
	keys, err := certs.Development(events.Discard(), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport, err := New(socket, keys.Server(), keys.Client(), events.Discard(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return transport, socket
}

// Guards against a stop that hangs: Close waited for connections that had been replaced or whose handshake ended after Close looked, which keep-alives hold
// open without end, and a dial after Close reused its wait group.
func TestCloseEndsEveryConnection(t *testing.T) {
	tests := map[string]struct {
		before, after func(t *Transport, to shards.VM)
	}{
		"replaced connection": {before: func(client *Transport, to shards.VM) {
			_, _ = client.Digest(context.Background(), to, &wire.Digest{})
			client.Forget(to.PeerAddress())
		}},
		"handshake in progress": {before: func(client *Transport, to shards.VM) {
			go func() { _, _ = client.Digest(context.Background(), to, &wire.Digest{}) }()
		}},
		"exchange after close": {after: func(client *Transport, to shards.VM) {
			if _, err := client.Digest(context.Background(), to, &wire.Digest{}); err == nil {
				panic("an exchange after Close succeeded")
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, socket := listen(t)
			client, _ := listen(t)
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan struct{})
			go func() { defer close(served); server.Serve(ctx, echo{}) }()
			to := shards.NewVM("server", "", "", "", socket.LocalAddr().String())
			if test.before != nil {
				test.before(client, to)
			}
			closed := make(chan struct{})
			go func() { defer close(closed); _ = client.Close() }()
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("got no end of Close within 5s")
			}
			if test.after != nil {
				test.after(client, to)
			}
			cancel()
			_ = server.Close()
			<-served
		})
	}
}

// Guards against replayed requests: QUIC 0-RTT data can be replayed, so neither side may use it.
func TestZeroRTTIsOff(t *testing.T) {
	if config().Allow0RTT {
		t.Error("got a configuration with 0-RTT, want none")
	}
	server, socket := listen(t)
	client, _ := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); server.Serve(ctx, echo{}) }()
	address := socket.LocalAddr().String()
	for range 3 {
		c, err := client.connect(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		if c.conn.ConnectionState().Used0RTT {
			t.Error("got a connection that used 0-RTT, want none")
		}
		_ = c.conn.CloseWithError(0, "next")
		client.drop(address, c)
	}
	_ = client.Close()
	cancel()
	_ = server.Close()
	<-served
}
