// Package peer carries messages between nodes over QUIC. Each exchange uses one bidirectional stream of length-delimited messages. 0-RTT is
// off, since its data can be replayed.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// maxMessageBytes admits a push of 1 MiB plus one more full document of 1 MB, with their framing.
	maxMessageBytes = 4 << 20
	// idleTimeout ends a connection without any exchange. It exceeds the time between two digests to one of about 17 neighbours. There is
	// no keep-alive: a node at full size has thousands of connections, and a keep-alive per second on each takes a core and 170 KB/s.
	idleTimeout = 30 * time.Second
	// progressInterval is how often an owner reports that it is still working on a batch, and progressTimeout is how long an entry waits
	// for such a report.
	progressInterval = time.Second
	progressTimeout  = 5 * time.Second
	// silenceThreshold is the time without any packet, acknowledgements included, after which a failed exchange replaces its connection.
	// It exceeds the maximum round trip of 40 ms plus the acknowledgement delay of 25 ms.
	silenceThreshold = 250 * time.Millisecond
	// dialTimeout bounds a handshake; two nodes are at most 20 ms apart.
	dialTimeout = time.Second
	// replacedConnLifetime is how long a replaced connection stays open for the exchanges on it.
	replacedConnLifetime = 10 * time.Second
	// maxStreams is the maximum number of concurrent exchanges that a peer may open.
	maxStreams = 1 << 16
)

// ErrNotSent marks an exchange of which no byte left this node, so that the peer certainly did not act on it.
var ErrNotSent = errors.New("message was not sent")

// errClosed is the error of exchanges after Close.
var errClosed = errors.New("transport is closed")

// Handler serves the exchanges that peers open. Its methods are called concurrently.
type Handler interface {
	// Batch runs sub-requests and calls reply for each frame. The last frame has its last flag set.
	Batch(ctx context.Context, batch *wire.Batch, reply func(*wire.BatchReply) error)
	Cancel(ctx context.Context, cancel *wire.Cancel)
	Forward(ctx context.Context, forward *wire.Forward) *wire.Answer
	Digest(ctx context.Context, digest *wire.Digest) *wire.Digest
	Push(ctx context.Context, push *wire.Push)
	Pull(ctx context.Context, pull *wire.Pull) *wire.Push
}

// Transport opens and serves exchanges on one UDP socket. It is safe for concurrent use.
type Transport struct {
	quic      *quic.Transport
	listener  *quic.Listener
	clientTLS *tls.Config
	logger    *events.Logger
	tasks     conc.WaitGroup

	sent     traffic
	received traffic
	refused  metrics.Counter
	dials    metrics.Counter

	mu    sync.Mutex
	conns map[string]*connection
	// closed is set by Close; no task starts afterwards.
	closed bool
}

// connection is a connection to one peer. ready is closed when the handshake has ended.
type connection struct {
	ready chan struct{}
	// conn and err are set before ready is closed and do not change afterwards.
	conn *quic.Conn
	err  error
}

// New returns a transport that listens on socket. Serve must be called to accept exchanges.
func New(socket net.PacketConn, serverTLS, clientTLS *tls.Config, logger *events.Logger, registry metrics.Registry) (*Transport, error) {
	t := &Transport{
		quic:      &quic.Transport{Conn: socket},
		clientTLS: clientTLS,
		logger:    logger,
		conns:     make(map[string]*connection),
		sent:      newTraffic("peer.sent", registry),
		received:  newTraffic("peer.received", registry),
		refused:   metrics.NewRegisteredCounter("peer.refused", registry),
		dials:     metrics.NewRegisteredCounter("peer.dials", registry),
	}
	t.quic.ConnContext = t.countRefusedHandshakes
	var err error
	if t.listener, err = t.quic.Listen(serverTLS, quicConfig()); err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
		// Path MTU discovery would send some packets of maximum size on each connection, most of the traffic of a new connection and of an
		// idle node.
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	}
}

// Address returns the local UDP address.
func (t *Transport) Address() string { return t.quic.Conn.LocalAddr().String() }

// Serve accepts connections until ctx ends.
func (t *Transport) Serve(ctx context.Context, handler Handler) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for {
		var conn *quic.Conn
		var err error
		if conn, err = t.listener.Accept(ctx); err != nil {
			return
		}
		tasks.Go(func() { t.serveConn(ctx, conn, handler) })
	}
}

func (t *Transport) serveConn(ctx context.Context, conn *quic.Conn, handler Handler) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for {
		var stream *quic.Stream
		var err error
		if stream, err = conn.AcceptStream(ctx); err != nil {
			return
		}
		tasks.Go(func() { t.serveStream(ctx, stream, handler) })
	}
}

// countRefusedHandshakes counts connections that fail because of their certificate. The listener never returns connections whose handshake
// failed, so the failure is visible only in their context.
func (t *Transport) countRefusedHandshakes(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	context.AfterFunc(ctx, func() {
		var transportErr *quic.TransportError
		if err := context.Cause(ctx); errors.As(err, &transportErr) && transportErr.ErrorCode.IsCryptoError() {
			t.refused.Inc(1)
			t.logger.Log(wire.Event_EVENT_PEER_REFUSED, zap.String("peer", client.RemoteAddr.String()), zap.Error(err))
		}
	})
	return ctx, nil
}

func (t *Transport) serveStream(ctx context.Context, stream *quic.Stream, handler Handler) {
	defer stream.Close()
	request := &wire.PeerRequest{}
	if err := t.receive(bufio.NewReader(stream), request); err != nil {
		stream.CancelRead(0)
		return
	}
	switch request.WhichBody() {
	case wire.PeerRequest_Batch_case:
		t.serveBatch(stream, request.GetBatch(), handler)
	case wire.PeerRequest_Cancel_case:
		handler.Cancel(ctx, request.GetCancel())
	case wire.PeerRequest_Forward_case:
		answer := handler.Forward(ctx, request.GetForward())
		_ = t.send(stream, wire.PeerReply_builder{Answer: answer}.Build())
	case wire.PeerRequest_Digest_case:
		digest := handler.Digest(ctx, request.GetDigest())
		_ = t.send(stream, wire.PeerReply_builder{Digest: digest}.Build())
	case wire.PeerRequest_Push_case:
		handler.Push(ctx, request.GetPush())
	case wire.PeerRequest_Pull_case:
		push := handler.Pull(ctx, request.GetPull())
		_ = t.send(stream, wire.PeerReply_builder{Push: push}.Build())
	}
}

// serveBatch replies to a batch and reports progress every progressInterval.
func (t *Transport) serveBatch(stream *quic.Stream, batch *wire.Batch, handler Handler) {
	replies := newReplyWriter(func(reply *wire.BatchReply) error {
		return t.send(stream, wire.PeerReply_builder{Batch: reply}.Build())
	})
	defer replies.stop()
	// The stream's context ends when the entry gives up, so that work that it no longer waits for leaves the queues.
	handler.Batch(stream.Context(), batch, replies.send)
}

// Close closes all connections, including replaced ones and those whose handshake has not ended.
func (t *Transport) Close() error {
	err := t.listener.Close()
	t.mu.Lock()
	t.closed = true
	for _, c := range t.conns {
		select {
		case <-c.ready:
			if c.conn != nil {
				_ = c.conn.CloseWithError(0, "node stopped")
			}
		default:
		}
	}
	t.mu.Unlock()
	// Closing the QUIC transport ends the handshakes that the tasks wait for, so it precedes the wait.
	err = errors.CombineErrors(err, t.quic.Close())
	t.tasks.Wait()
	return err
}

// Reconnect makes the next exchange with a peer open a new connection. The old one may have gone silent or only be slow, so it stays open
// for replacedConnLifetime for the exchanges on it.
func (t *Transport) Reconnect(address string) {
	t.mu.Lock()
	c, ok := t.conns[address]
	t.mu.Unlock()
	if !ok {
		return
	}
	select {
	case <-c.ready:
	default:
		return
	}
	if c.conn != nil {
		t.replaceConn(address, c)
	}
}

// replaceConn makes the next exchange open a new connection, unless this one has already been replaced.
func (t *Transport) replaceConn(address string, c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] != c {
		return
	}
	delete(t.conns, address)
	time.AfterFunc(replacedConnLifetime, func() { _ = c.conn.CloseWithError(0, "connection replaced") })
}

func (t *Transport) send(stream *quic.Stream, message proto.Message) error {
	n, err := protodelim.MarshalTo(stream, message)
	t.sent.add(message, int64(n))
	return err
}

func (t *Transport) receive(reader *bufio.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(reader, message); err != nil {
		return err
	}
	t.received.add(message, int64(proto.Size(message)))
	return nil
}

// openStream returns the connection to a peer and a new stream on it. Its errors are marked with ErrNotSent.
func (t *Transport) openStream(ctx context.Context, address string) (*connection, *quic.Stream, error) {
	var c *connection
	var err error
	if c, err = t.connect(ctx, address); err != nil {
		return nil, nil, errors.Mark(err, ErrNotSent)
	}
	var stream *quic.Stream
	if stream, err = c.conn.OpenStreamSync(ctx); err != nil {
		// An expired caller context says nothing about the connection, which others use.
		if c.conn.Context().Err() != nil {
			t.removeConn(address, c)
		}
		return nil, nil, errors.Mark(err, ErrNotSent)
	}
	return c, stream, nil
}

// connect returns the connection to a peer, dialing if there is none. Concurrent callers share one handshake.
func (t *Transport) connect(ctx context.Context, address string) (*connection, error) {
	c, err := t.getOrDial(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.err != nil {
		return nil, c.err
	}
	if c.conn.Context().Err() != nil {
		t.removeConn(address, c)
		return nil, context.Cause(c.conn.Context())
	}
	return c, nil
}

// getOrDial returns the current connection to a peer, or a new one whose handshake it starts.
func (t *Transport) getOrDial(address string) (*connection, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	c, ok := t.conns[address]
	if !ok {
		c = &connection{ready: make(chan struct{})}
		t.conns[address] = c
		t.tasks.Go(func() { t.dial(address, c) })
	}
	return c, nil
}

// dial uses its own timeout instead of the context of the exchange that caused it, since other exchanges wait for it too.
func (t *Transport) dial(address string, c *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	t.dials.Inc(1)
	var udp *net.UDPAddr
	if udp, c.err = net.ResolveUDPAddr("udp", address); c.err == nil {
		c.conn, c.err = t.quic.Dial(ctx, udp, t.clientTLS, quicConfig())
	}
	if c.err != nil {
		t.removeConn(address, c)
	}
	close(c.ready)
	if c.err == nil {
		context.AfterFunc(c.conn.Context(), func() { t.removeConn(address, c) })
	}
}

// removeConn removes a connection unless it has been replaced.
func (t *Transport) removeConn(address string, c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == c {
		delete(t.conns, address)
	}
}
