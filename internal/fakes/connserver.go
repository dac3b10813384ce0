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

// connServer accepts connections for one fasthttp server and can reset, refuse or silence them to simulate failures.
type connServer struct {
	listener   net.Listener
	httpServer *fasthttp.Server
	allow      func(net.Conn) bool
	maxConns   int
	serveDelay time.Duration
	counts     *connCounts
	// done is closed by stop.
	done chan struct{}

	mu sync.Mutex
	// conns is nil after stop.
	conns map[*conn]struct{}
}

// connCounts holds connection counters that outlive a connServer and so span restarts.
type connCounts struct {
	open    atomic.Int64
	peak    atomic.Int64
	refused atomic.Int64
}

// newConnServer returns a server for a listener. With a maxConns of 0, the number of connections is unlimited.
func newConnServer(listener net.Listener, handler fasthttp.RequestHandler, counts *connCounts) *connServer {
	return &connServer{
		listener: listener,
		httpServer: &fasthttp.Server{
			Handler:               handler,
			NoDefaultServerHeader: true,
			NoDefaultDate:         true,
			NoDefaultContentType:  true,
		},
		allow:  func(net.Conn) bool { return true },
		counts: counts,
		done:   make(chan struct{}),
		conns:  make(map[*conn]struct{}),
	}
}

// run accepts connections until the server stops. Connection goroutines run in the group.
func (s *connServer) run(group *conc.WaitGroup) {
	for {
		accepted, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: accepted}
		if !s.allow(accepted) {
			c.abort()
			continue
		}
		if !s.add(c) {
			s.counts.refused.Add(1)
			c.Close()
			continue
		}
		group.Go(func() { s.serve(c) })
	}
}

func (s *connServer) serve(c *conn) {
	defer s.remove(c)
	if !sleep(s.serveDelay, s.done) {
		return
	}
	// The error only reports how the client or a test closed the connection.
	_ = s.httpServer.ServeConn(c)
}

func (s *connServer) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	if s.maxConns > 0 && len(s.conns) >= s.maxConns {
		return false
	}
	s.conns[c] = struct{}{}
	open := s.counts.open.Add(1)
	for {
		peak := s.counts.peak.Load()
		if open <= peak || s.counts.peak.CompareAndSwap(peak, open) {
			return true
		}
	}
}

func (s *connServer) remove(c *conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	s.counts.open.Add(-1)
}

// stop closes the listener and resets all connections. It does not wait for their goroutines.
func (s *connServer) stop() {
	s.listener.Close()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	// Decrement here instead of in remove, so that the count stays within the limit when a replacement server starts at once.
	s.counts.open.Add(-int64(len(conns)))
	s.mu.Unlock()
	if conns == nil {
		return
	}
	// Close the connections before done: a handler that observes done must be unable to send a reply.
	for c := range conns {
		c.abort()
	}
	close(s.done)
}

func (s *connServer) stopped() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// abortIf resets the open connections that satisfy the condition.
func (s *connServer) abortIf(condition func(net.Conn) bool) {
	for _, c := range s.open() {
		if condition(c) {
			c.abort()
		}
	}
}

func (s *connServer) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// silenceConns silences up to n connections that have carried requests and returns their number. It prefers connections with more
// requests in flight, then those with a more recent request.
func (s *connServer) silenceConns(n int) int {
	conns := slices.DeleteFunc(s.open(), func(c *conn) bool {
		return c.silent.Load() || c.requests.Load() == 0
	})
	slices.SortFunc(conns, func(a, b *conn) int {
		if d := b.inFlight.Load() - a.inFlight.Load(); d != 0 {
			return int(d)
		}
		return int(b.lastRequest.Load() - a.lastRequest.Load())
	})
	conns = conns[:min(n, len(conns))]
	for _, c := range conns {
		c.silent.Store(true)
	}
	return len(conns)
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	// silent permanently suppresses all replies. The kernel still acknowledges received bytes.
	silent   atomic.Bool
	inFlight atomic.Int64
	requests atomic.Int64
	// lastRequest is the start time of the last request in Unix nanoseconds.
	lastRequest atomic.Int64
}

// beginRequest records the start of a request.
func (c *conn) beginRequest() {
	c.inFlight.Add(1)
	c.requests.Add(1)
	c.lastRequest.Store(time.Now().UnixNano())
}

// endRequest records the end of a request.
func (c *conn) endRequest() { c.inFlight.Add(-1) }

// Read implements net.Conn. On a silent connection it discards all data until the peer closes.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it discards the data and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// abort closes the connection with a TCP reset instead of a FIN.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// sleep waits for the duration and reports whether it elapsed before the stop channel was closed.
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
