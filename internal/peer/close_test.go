package peer

import (
	"context"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Guards against a shutdown that hangs. Close waited for connections that had been replaced, or whose handshake ended after Close checked
// them, which keep-alives held open indefinitely; and a dial after Close reused its wait group.
func TestCloseEndsEveryConnection(t *testing.T) {
	tests := map[string]struct {
		before, after func(t *Transport, to shards.VM)
	}{
		"replaced connection": {before: func(client *Transport, to shards.VM) {
			_, _ = client.Digest(context.Background(), to, &wire.Digest{})
			client.Reconnect(to.PeerAddress())
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
			server, client := startEcho(t), startEcho(t)
			if test.before != nil {
				test.before(client.Transport, server.vm)
			}
			closed := make(chan struct{})
			go func() { defer close(closed); _ = client.Close() }()
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("Close did not return within 5s")
			}
			if test.after != nil {
				test.after(client.Transport, server.vm)
			}
		})
	}
}

// Guards against replayed requests: QUIC 0-RTT data can be replayed, so neither side may use it.
func TestZeroRTTIsOff(t *testing.T) {
	if quicConfig().Allow0RTT {
		t.Error("got a configuration with 0-RTT, want none")
	}
	server, client := startEcho(t), startEcho(t)
	address := server.Address()
	for range 3 {
		c, err := client.connect(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		if c.conn.ConnectionState().Used0RTT {
			t.Error("got a connection that used 0-RTT, want none")
		}
		_ = c.conn.CloseWithError(0, "next")
		client.removeConn(address, c)
	}
}
