package peer

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/fireflylanding/fireflylanding/internal/certs"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const callTimeout = 5 * time.Second

// TestMain guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lossySocket counts sent packets and drops them while it is silent.
type lossySocket struct {
	net.PacketConn
	silent atomic.Bool
	sent   atomic.Int64
}

// WriteTo sends or drops a packet.
func (s *lossySocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	s.sent.Add(1)
	if s.silent.Load() {
		return len(packet), nil
	}
	return s.PacketConn.WriteTo(packet, to)
}

// echoHandler answers each exchange with data that identifies the request.
type echoHandler struct{ received chan string }

func (e *echoHandler) Batch(ctx context.Context, batch *wire.Batch, reply func(*wire.BatchReply) error) {
	if batch.GetQuery() == "wait" {
		<-ctx.Done()
		e.received <- "batch ended"
		return
	}
	for i, item := range batch.GetItems() {
		sub := wire.SubReply_builder{AttemptId: item.GetAttemptId()}.Build()
		last := i == len(batch.GetItems())-1
		_ = reply(wire.BatchReply_builder{QueryId: batch.GetQueryId(), Replies: []*wire.SubReply{sub}, Last: last}.Build())
	}
}

func (e *echoHandler) Cancel(_ context.Context, cancel *wire.Cancel) { e.received <- "cancel" }

func (e *echoHandler) Forward(_ context.Context, forward *wire.Forward) *wire.Answer {
	return wire.Answer_builder{Detail: forward.GetQuery().GetQuery()}.Build()
}

func (e *echoHandler) Digest(_ context.Context, digest *wire.Digest) *wire.Digest { return digest }

func (e *echoHandler) Push(_ context.Context, push *wire.Push) {
	e.received <- "push " + push.GetFrom()
}

func (e *echoHandler) Pull(context.Context, *wire.Pull) *wire.Push {
	return wire.Push_builder{From: "pulled"}.Build()
}

// endpoint is a running transport.
type endpoint struct {
	*Transport
	socket   *lossySocket
	vm       shards.VM
	received chan string
}

// startEcho runs a transport with an echoHandler.
func startEcho(t *testing.T) *endpoint {
	t.Helper()
	received := make(chan string, 16)
	e := startTransport(t, &echoHandler{received: received})
	e.received = received
	return e
}

// startTransport runs a transport with a handler and closes it at the end of the test.
func startTransport(t *testing.T, handler Handler) *endpoint {
	t.Helper()
	keys, err := certs.NewDevelopment(events.Discard(), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{socket: &lossySocket{PacketConn: conn}}
	if e.Transport, err = New(e.socket, keys.ServerConfig(), keys.ClientConfig(), events.Discard(), metrics.NewRegistry()); err != nil {
		t.Fatal(err)
	}
	e.vm = shards.NewVM("p", "r", "z", "", e.Address())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		e.Serve(ctx, handler)
	}()
	t.Cleanup(func() {
		cancel()
		began := time.Now()
		_ = e.Close()
		if took := time.Since(began); took > 2*dialTimeout {
			t.Errorf("close: got %v, want at most %v", took, 2*dialTimeout)
		}
		_ = conn.Close()
		<-served
	})
	return e
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func (e *endpoint) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e.received:
		if got != want {
			t.Errorf("peer: got %q, want %q", got, want)
		}
	case <-time.After(callTimeout):
		t.Errorf("peer: got nothing, want %q", want)
	}
}

// Guards against exchanges that lose, mix up or truncate what a peer sends.
func TestExchanges(t *testing.T) {
	a, b := startEcho(t), startEcho(t)
	tests := map[string]func(ctx context.Context) (got string, err error){
		"digest": func(ctx context.Context) (string, error) {
			reply, err := a.Digest(ctx, b.vm, wire.Digest_builder{Id: "digest"}.Build())
			return reply.GetId(), err
		},
		"pulled": func(ctx context.Context) (string, error) {
			reply, err := a.Pull(ctx, b.vm, &wire.Pull{})
			return reply.GetFrom(), err
		},
		"forward": func(ctx context.Context) (string, error) {
			reply, err := a.Forward(ctx, b.Address(), wire.Query_builder{Query: "forward"}.Build())
			return reply.GetDetail(), err
		},
		"push a": func(ctx context.Context) (string, error) {
			err := a.Push(ctx, b.vm, wire.Push_builder{From: "a"}.Build())
			return <-b.received, err
		},
		"cancel": func(ctx context.Context) (string, error) {
			err := a.Cancel(ctx, b.vm, &wire.Cancel{})
			return <-b.received, err
		},
		"123": func(ctx context.Context) (string, error) {
			items := []*wire.SubRequest{wire.SubRequest_builder{AttemptId: 1}.Build(), wire.SubRequest_builder{AttemptId: 2}.Build(), wire.SubRequest_builder{AttemptId: 3}.Build()}
			got := ""
			err := a.Batch(ctx, b.vm, wire.Batch_builder{Items: items}.Build(), func(reply *wire.BatchReply) {
				got += string(rune('0' + reply.GetReplies()[0].GetAttemptId()))
			})
			return got, err
		},
	}
	for want, exchange := range tests {
		t.Run(want, func(t *testing.T) {
			if got, err := exchange(contextWithTimeout(t, callTimeout)); err != nil || got != want {
				t.Errorf("got %q, %v, want %q", got, err, want)
			}
		})
	}
	if got := a.dials.Count(); got != 1 {
		t.Errorf("got %d connections, want 1 for all exchanges", got)
	}
	if a.clientTLS.SessionTicketsDisabled != true || quicConfig().Allow0RTT {
		t.Error("got 0-RTT or session tickets, want neither")
	}
}

// Guards against ErrNotSent for a request that a peer may have acted on, which would let a non-idempotent request run twice, and against
// a request that was not sent but counts as lost.
func TestNotSent(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *testing.T, a, b *endpoint)
		query   string
		want    bool
	}{
		"no such address":       {prepare: func(_ *testing.T, _, b *endpoint) { b.vm = shards.NewVM("p", "r", "z", "", "127.0.0.1:nowhere") }, want: true},
		"silent from the start": {prepare: func(_ *testing.T, _, b *endpoint) { b.socket.silent.Store(true) }, want: true},
		"no answer":             {query: "wait"},
		"silent afterwards":     {prepare: func(t *testing.T, a, b *endpoint) { a.connectTo(t, b); b.socket.silent.Store(true) }},
		"message too large":     {query: strings.Repeat("x", maxMessageBytes+1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := startEcho(t), startEcho(t)
			if test.prepare != nil {
				test.prepare(t, a, b)
			}
			items := []*wire.SubRequest{wire.SubRequest_builder{AttemptId: 1}.Build()}
			batch := wire.Batch_builder{Query: test.query, Items: items}.Build()
			err := a.Batch(contextWithTimeout(t, 300*time.Millisecond), b.vm, batch, func(*wire.BatchReply) { t.Error("got a reply, want none") })
			if err == nil {
				t.Fatal("got no error, want one")
			}
			if got := errors.Is(err, ErrNotSent); got != test.want {
				t.Errorf("got not sent %v (%v), want %v", got, err, test.want)
			}
			if test.query == "wait" {
				b.expect(t, "batch ended")
			}
		})
	}
}

// connectTo opens a connection to another endpoint.
func (e *endpoint) connectTo(t *testing.T, to *endpoint) {
	t.Helper()
	if _, err := e.Digest(contextWithTimeout(t, callTimeout), to.vm, &wire.Digest{}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a peer that stays unreachable after its connection went silent, and against a Close that waits for a replaced connection.
func TestReconnect(t *testing.T) {
	a, b := startEcho(t), startEcho(t)
	a.connectTo(t, b)
	a.Reconnect(b.Address())
	a.Reconnect("127.0.0.1:1")
	a.connectTo(t, b)
	if got := a.dials.Count(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// Guards against a working connection that is replaced, and left open unused, because one exchange ended early.
func TestEndedContextKeepsConnection(t *testing.T) {
	a, b := startEcho(t), startEcho(t)
	a.connectTo(t, b)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		if _, err := a.Digest(ctx, b.vm, &wire.Digest{}); !errors.Is(err, ErrNotSent) {
			t.Errorf("got %v, want not sent", err)
		}
	}
	a.connectTo(t, b)
	if got := a.dials.Count(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// Guards against peers without a certificate that are accepted, or refused without being counted.
func TestPeerWithoutCertificate(t *testing.T) {
	a, b := startEcho(t), startEcho(t)
	a.clientTLS = &tls.Config{InsecureSkipVerify: true, NextProtos: []string{certs.Protocol}, MinVersion: tls.VersionTLS13}
	if _, err := a.Digest(contextWithTimeout(t, callTimeout), b.vm, &wire.Digest{}); err == nil {
		t.Error("got an answer, want none without a certificate")
	}
	for end := time.Now().Add(callTimeout); b.refused.Count() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if got := b.refused.Count(); got != 1 {
		t.Errorf("got %d refusals counted, want 1", got)
	}
}
