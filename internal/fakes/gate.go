package fakes

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// gate accepts connections for one fasthttp server and can close, refuse or silence them.
type gate struct {
	listener net.Listener
	server   *fasthttp.Server
	admit    func(net.Conn) bool
	limit    int
	cost     time.Duration
	counts   *connCounts
	// dead is closed when the gate stops.
	dead chan struct{}

	mu sync.Mutex
	// conns is nil once the gate has stopped.
	conns map[*conn]struct{}
}

// connCounts outlives a gate, so that the figures span restarts.
type connCounts struct {
	open    atomic.Int64
	peak    atomic.Int64
	refused atomic.Int64
}

// newGate returns a gate on a listener. A limit of 0 admits any number of connections.
func newGate(listener net.Listener, handler fasthttp.RequestHandler, counts *connCounts) *gate {
	return &gate{
		listener: listener,
		server: &fasthttp.Server{
			Handler:               handler,
			NoDefaultServerHeader: true,
			NoDefaultDate:         true,
			NoDefaultContentType:  true,
		},
		admit:  func(net.Conn) bool { return true },
		counts: counts,
		dead:   make(chan struct{}),
		conns:  make(map[*conn]struct{}),
	}
}

// run accepts connections until the gate stops. The goroutines belong to the group.
func (g *gate) run(group *conc.WaitGroup) {
	for {
		accepted, err := g.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: accepted}
		if !g.admit(accepted) {
			c.abort()
			continue
		}
		if !g.add(c) {
			g.counts.refused.Add(1)
			c.Close()
			continue
		}
		group.Go(func() { g.serve(c) })
	}
}

func (g *gate) serve(c *conn) {
	defer g.remove(c)
	if !sleep(g.cost, g.dead) {
		return
	}
	// The error only says how the client or a test ended the connection.
	_ = g.server.ServeConn(c)
}

func (g *gate) add(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		return false
	}
	if g.limit > 0 && len(g.conns) >= g.limit {
		return false
	}
	g.conns[c] = struct{}{}
	open := g.counts.open.Add(1)
	for {
		peak := g.counts.peak.Load()
		if open <= peak || g.counts.peak.CompareAndSwap(peak, open) {
			return true
		}
	}
}

func (g *gate) remove(c *conn) {
	c.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	g.counts.open.Add(-1)
}

// stop closes the listener and aborts all connections. It does not wait for their goroutines.
func (g *gate) stop() {
	g.listener.Close()
	g.mu.Lock()
	conns := g.conns
	g.conns = nil
	// Counted here and not by remove, so that a gate that starts in place of this one stays within the limit.
	g.counts.open.Add(-int64(len(conns)))
	g.mu.Unlock()
	if conns == nil {
		return
	}
	// Handlers that notice the stop must find their connections closed, or they could still reply.
	for c := range conns {
		c.abort()
	}
	close(g.dead)
}

func (g *gate) stopped() bool {
	select {
	case <-g.dead:
		return true
	default:
		return false
	}
}

// abortIf aborts the open connections for which the condition holds.
func (g *gate) abortIf(condition func(net.Conn) bool) {
	for _, c := range g.open() {
		if condition(c) {
			c.abort()
		}
	}
}

func (g *gate) open() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	return conns
}

// silence makes up to n connections silent, those with requests in flight first, and returns how many it silenced.
func (g *gate) silence(n int) int {
	conns := slices.DeleteFunc(g.open(), func(c *conn) bool {
		return c.silent.Load() || c.requests.Load() == 0
	})
	slices.SortFunc(conns, func(a, b *conn) int {
		if d := b.busy.Load() - a.busy.Load(); d != 0 {
			return int(d)
		}
		return int(b.last.Load() - a.last.Load())
	})
	conns = conns[:min(n, len(conns))]
	for _, c := range conns {
		c.silent.Store(true)
	}
	return len(conns)
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	// silent stops all replies for good; the peer's bytes are still acknowledged by the kernel.
	silent   atomic.Bool
	busy     atomic.Int64
	requests atomic.Int64
	// last is the time of the last request in Unix nanoseconds.
	last atomic.Int64
}

// begin records that a request is being handled.
func (c *conn) begin() {
	c.busy.Add(1)
	c.requests.Add(1)
	c.last.Store(time.Now().UnixNano())
}

// end records that a request was handled.
func (c *conn) end() { c.busy.Add(-1) }

// Read reads from the connection. On a silent connection it discards all bytes until the peer closes.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. On a silent connection the bytes are discarded.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// abort closes the connection with a reset instead of an orderly end.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// sleep waits and reports whether the whole time passed before the stop channel was closed.
func sleep(d time.Duration, stop <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
