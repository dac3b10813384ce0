// Package pool manages this node's connections to one searcher. Their number is bounded, each carries one request at a time, and waiting
// requests get connections in the order of their rank.
package pool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a connection; a live searcher accepts within a round trip.
	dialTimeout = time.Second
	// defaultKeepAlive is the lifetime of an idle connection when the searcher states none.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the end of its stated lifetime a connection is last used, since the request takes time to arrive.
	keepAliveMargin = 300 * time.Millisecond
	// minIdleBound is the least value of the bound on idle time. idleBoundTTL is how long the bound holds after the searcher dropped a
	// connection without notice.
	minIdleBound = 50 * time.Millisecond
	idleBoundTTL = 5 * time.Second
	// numRanks is the number of waiting queues; ranks beyond the last share the last queue.
	numRanks = 3
)

// ErrClosed is returned by a pool whose searcher is leaving or gone.
var ErrClosed = errors.New("connection pool is closed")

// Dial opens a connection. It must return when ctx ends.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool is safe for concurrent use.
type Pool struct {
	address string
	dial    Dial
	// onDial is called with the time that opening a connection took, or with the error.
	onDial func(took time.Duration, err error)

	mu    sync.Mutex
	limit int
	// open counts the connections that are in use, idle or being opened. It never exceeds limit except after limit was lowered.
	open    int
	idle    []*Conn
	waiting [numRanks][]*waiter
	closed  bool
	// idleBound limits the idle time of connections until idleBoundUntil, after the searcher dropped one that had been idle for longer.
	idleBound      time.Duration
	idleBoundUntil time.Time
}

// waiter waits for a connection, or for permission to open one (nil).
type waiter struct {
	ready chan *Conn
}

// New returns an empty pool that opens at most limit connections.
func New(address string, limit int, dial Dial, onDial func(took time.Duration, err error)) *Pool {
	return &Pool{address: address, limit: max(limit, 1), dial: dial, onDial: onDial}
}

// SetLimit sets the maximum number of connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// Limit returns the maximum number of connections.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// HasLiveConn reports whether an idle connection is still open at the other end, which shows that the searcher process is alive.
func (p *Pool) HasLiveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		if Peek(conn.raw) != Closed {
			return true
		}
	}
	return false
}

// LostIdleConns reports whether there are idle connections, all of which the other end has closed.
func (p *Pool) LostIdleConns() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		if Peek(conn.raw) != Closed {
			return false
		}
	}
	return len(p.idle) > 0
}

// Get returns a clean connection: an idle one, a new one, or the next one that another request returns. It fails with the error of ctx, the
// error of opening a connection, or ErrClosed; no byte was sent in these cases.
func (p *Pool) Get(ctx context.Context, now time.Time, rank int) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if conn := p.takeIdle(now); conn != nil {
		p.mu.Unlock()
		return conn, nil
	}
	if p.open < p.limit {
		p.open++
		p.mu.Unlock()
		return p.connect(ctx)
	}
	w := &waiter{ready: make(chan *Conn, 1)}
	rank = min(max(rank, 0), numRanks-1)
	p.waiting[rank] = append(p.waiting[rank], w)
	p.mu.Unlock()
	return p.wait(ctx, w, rank)
}

func (p *Pool) wait(ctx context.Context, w *waiter, rank int) (*Conn, error) {
	select {
	case conn, ok := <-w.ready:
		if !ok {
			return nil, ErrClosed
		}
		if conn == nil {
			return p.connect(ctx)
		}
		return conn, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case conn, ok := <-w.ready:
		if ok {
			// A connection or permission that arrived in the meantime goes to the next waiter.
			p.release(conn)
		}
	default:
		p.removeWaiter(w, rank)
	}
	return nil, ctx.Err()
}

func (p *Pool) removeWaiter(w *waiter, rank int) {
	for i, other := range p.waiting[rank] {
		if other == w {
			p.waiting[rank] = append(p.waiting[rank][:i], p.waiting[rank][i+1:]...)
			return
		}
	}
}

// takeIdle returns the most recently used idle connection, so that surplus connections expire.
func (p *Pool) takeIdle(now time.Time) *Conn {
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if conn.idleFor = now.Sub(conn.idleSince); p.usable(conn, now) {
			conn.reused = true
			return conn
		}
		p.open--
		closeQuietly(conn)
	}
	return nil
}

// usable reports whether an idle connection may carry another request.
func (p *Pool) usable(conn *Conn, now time.Time) bool {
	if now.Before(p.idleBoundUntil) && now.Sub(conn.idleSince) > p.idleBound {
		return false
	}
	return now.Before(conn.usableUntil) && conn.clean()
}

// DiscardStale closes a connection that the searcher had dropped while it was idle. For idleBoundTTL, connections are not reused after more
// than half of that idle time (minIdleBound at least).
func (p *Pool) DiscardStale(conn *Conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bound := max(conn.idleFor/2, minIdleBound)
	if now.After(p.idleBoundUntil) || bound < p.idleBound {
		p.idleBound = bound
	}
	p.idleBoundUntil = now.Add(idleBoundTTL)
	p.discard(conn)
}

func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	started := time.Now()
	conn, err := p.dial(ctx, p.address)
	took := time.Since(started)
	p.mu.Lock()
	closed := p.closed
	if err != nil || closed {
		p.open--
		p.grantDial()
	}
	p.mu.Unlock()
	switch {
	case closed:
		if err == nil {
			// The connection was never used, so an error from closing it does not matter.
			_ = conn.Close()
		}
		return nil, ErrClosed
	case err != nil:
		p.onDial(took, err)
		return nil, err
	}
	p.onDial(took, nil)
	return newConn(conn), nil
}

// Empty reports whether the pool has no connection and none is being opened.
func (p *Pool) Empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0 && !p.closed
}

// Warm opens a connection in advance if the pool has none.
func (p *Pool) Warm(ctx context.Context) {
	if p.Empty() {
		// The error is ignored: the next request finds out too when the searcher is unreachable.
		_ = p.Probe(ctx)
	}
}

// Probe opens a connection to check whether the searcher is alive, and keeps it for a later request. It does nothing when the limit is
// reached.
func (p *Pool) Probe(ctx context.Context) error {
	p.mu.Lock()
	if p.open >= p.limit || p.closed {
		p.mu.Unlock()
		return nil
	}
	p.open++
	p.mu.Unlock()
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	p.Put(conn, time.Now(), 0)
	return nil
}

// Put returns a connection whose reply was read completely. An idle connection is checked for unread bytes when it is taken, one that goes to a waiting
// request now. keepAlive is how long the searcher keeps it open, or 0 when it did not say.
func (p *Pool) Put(conn *Conn, now time.Time, keepAlive time.Duration) {
	if keepAlive <= 0 {
		keepAlive = defaultKeepAlive
	}
	conn.idleSince = now
	conn.usableUntil = now.Add(keepAlive - min(keepAliveMargin, keepAlive/2))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit || conn.reader.Buffered() > 0 || (p.hasWaiter() && !conn.clean()) {
		p.discard(conn)
		return
	}
	p.release(conn)
}

// hasWaiter reports whether a request waits for a connection. The caller must hold mu.
func (p *Pool) hasWaiter() bool {
	for rank := range p.waiting {
		if len(p.waiting[rank]) > 0 {
			return true
		}
	}
	return false
}

// Discard closes a connection that must not be reused.
func (p *Pool) Discard(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(conn)
}

func (p *Pool) discard(conn *Conn) {
	p.open--
	closeQuietly(conn)
	p.grantDial()
}

// release hands a connection to the first waiter or makes it idle. A nil connection stands for permission to open one.
func (p *Pool) release(conn *Conn) {
	if conn == nil {
		p.open--
		p.grantDial()
		return
	}
	if w := p.nextWaiter(); w != nil {
		conn.reused = true
		w.ready <- conn
		return
	}
	if p.closed {
		p.open--
		closeQuietly(conn)
		return
	}
	p.idle = append(p.idle, conn)
}

// grantDial gives the first waiter permission to open a connection.
func (p *Pool) grantDial() {
	if p.open >= p.limit {
		return
	}
	if w := p.nextWaiter(); w != nil {
		p.open++
		w.ready <- nil
	}
}

func (p *Pool) nextWaiter() *waiter {
	for rank := range p.waiting {
		if len(p.waiting[rank]) > 0 {
			w := p.waiting[rank][0]
			p.waiting[rank] = p.waiting[rank][1:]
			return w
		}
	}
	return nil
}

// DropIdle closes the idle connections that have received nothing since the given time. After one connection went silent, these may be
// silent too.
func (p *Pool) DropIdle(since time.Time) {
	p.dropIdle(func(conn *Conn) bool { return conn.idleSince.Before(since) })
}

// Trim closes the idle connections that may not carry another request.
func (p *Pool) Trim(now time.Time) {
	p.dropIdle(func(conn *Conn) bool { return !p.usable(conn, now) })
}

func (p *Pool) dropIdle(drop func(*Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if drop(conn) {
			p.open--
			closeQuietly(conn)
		} else {
			kept = append(kept, conn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections, fails all waiters, and refuses further requests. Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		p.open--
		closeQuietly(conn)
	}
	p.idle = nil
	for rank := range p.waiting {
		for _, w := range p.waiting[rank] {
			close(w.ready)
		}
		p.waiting[rank] = nil
	}
}

// closeQuietly closes a connection that is no longer needed. An error is ignored, since it only means that the connection was broken
// already.
func closeQuietly(conn *Conn) { _ = conn.Close() }
