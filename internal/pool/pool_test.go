package pool

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// server accepts connections and keeps them open.
type server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func startServer(t *testing.T) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return s
}

// accepted waits for the i-th accepted connection and returns it.
func (s *server) accepted(t *testing.T, i int) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		if len(s.conns) > i {
			defer s.mu.Unlock()
			return s.conns[i]
		}
		s.mu.Unlock()
	}
	t.Fatalf("connection %d was not accepted", i)
	return nil
}

func newPool(t *testing.T, address string, limit int) *Pool {
	t.Helper()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	p := New(address, limit, dial, func(time.Duration, error) {})
	t.Cleanup(p.Close)
	return p
}

func get(t *testing.T, p *Pool) *Conn {
	t.Helper()
	conn, err := p.Get(t.Context(), time.Now(), 0)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// propagationDelay is enough time for a change at the peer of a loopback connection to become visible.
const propagationDelay = 20 * time.Millisecond

// Guards against the reuse of a connection that is closed, holds bytes of another reply, or has reached the end of its lifetime.
func TestReuse(t *testing.T) {
	tests := map[string]struct {
		meanwhile func(t *testing.T, s *server)
		keepAlive time.Duration
		after     time.Duration
		wantSame  bool
	}{
		"clean":         {meanwhile: func(*testing.T, *server) {}, keepAlive: 5 * time.Second, wantSame: true},
		"lifetime over": {meanwhile: func(*testing.T, *server) {}, keepAlive: 5 * time.Second, after: 5 * time.Second},
		"stray bytes":   {meanwhile: func(t *testing.T, s *server) { s.accepted(t, 0).Write([]byte("HTTP/1.1 200 OK\r\n")) }, keepAlive: 5 * time.Second},
		"closed":        {meanwhile: func(t *testing.T, s *server) { s.accepted(t, 0).Close() }, keepAlive: 5 * time.Second},
		"reset": {meanwhile: func(t *testing.T, s *server) {
			conn := s.accepted(t, 0).(*net.TCPConn)
			conn.SetLinger(0)
			conn.Close()
		}, keepAlive: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			p := newPool(t, s.listener.Addr().String(), 2)
			first := get(t, p)
			now := time.Now()
			p.Put(first, now, test.keepAlive)
			test.meanwhile(t, s)
			time.Sleep(propagationDelay)
			second, err := p.Get(t.Context(), now.Add(test.after), 0)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(second)
			if got := second == first; got != test.wantSame {
				t.Errorf("reused: got %v, want %v", got, test.wantSame)
			}
			if second.Reused() != test.wantSame {
				t.Errorf("Reused: got %v, want %v", second.Reused(), test.wantSame)
			}
		})
	}
}

// Guards against more connections than the limit allows, and against a waiter that is never served although a connection is returned or
// discarded.
func TestLimit(t *testing.T) {
	tests := map[string]func(p *Pool, conn *Conn){
		"returned":  func(p *Pool, conn *Conn) { p.Put(conn, time.Now(), time.Second) },
		"discarded": func(p *Pool, conn *Conn) { p.Discard(conn) },
	}
	for name, returnConn := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			p := newPool(t, s.listener.Addr().String(), 1)
			conn := get(t, p)
			short, cancel := context.WithTimeout(t.Context(), propagationDelay)
			defer cancel()
			if _, err := p.Get(short, time.Now(), 0); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("beyond the limit: got error %v, want the context error", err)
			}
			got := make(chan error, 1)
			go func() {
				_, err := p.Get(t.Context(), time.Now(), 0)
				got <- err
			}()
			time.Sleep(propagationDelay)
			returnConn(p, conn)
			select {
			case err := <-got:
				if err != nil {
					t.Errorf("got error %v, want a connection", err)
				}
			case <-time.After(5 * time.Second):
				t.Error("waiting request got no connection")
			}
		})
	}
}

// Guards against less urgent requests that get a connection before more urgent ones because they began to wait earlier.
func TestWaitersByRank(t *testing.T) {
	s := startServer(t)
	p := newPool(t, s.listener.Addr().String(), 1)
	conn := get(t, p)
	order := make(chan int, 2)
	for _, rank := range []int{2, 0} {
		go func() {
			conn, err := p.Get(t.Context(), time.Now(), rank)
			if err == nil {
				order <- rank
				p.Put(conn, time.Now(), time.Second)
			}
		}()
		time.Sleep(propagationDelay)
	}
	p.Put(conn, time.Now(), time.Second)
	if got := <-order; got != 0 {
		t.Errorf("got rank %d first, want 0", got)
	}
	if got := <-order; got != 2 {
		t.Errorf("got rank %d second, want 2", got)
	}
}

// Guards against a connection that is handed to a waiting request although the searcher has closed it or bytes wait on it, which would be taken for
// the reply to that request.
func TestWaiterGetsCleanConn(t *testing.T) {
	tests := map[string]func(net.Conn) error{
		"unread bytes": func(conn net.Conn) error {
			_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
			return err
		},
		"closed": func(conn net.Conn) error { return conn.Close() },
	}
	for name, meanwhile := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			p := newPool(t, s.listener.Addr().String(), 1)
			first := get(t, p)
			if err := meanwhile(s.accepted(t, 0)); err != nil {
				t.Fatal(err)
			}
			for first.clean() {
				time.Sleep(time.Millisecond)
			}
			got := make(chan *Conn)
			go func() {
				conn, err := p.Get(t.Context(), time.Now(), 0)
				if err != nil {
					t.Error(err)
				}
				got <- conn
			}()
			for waiting := false; !waiting; time.Sleep(time.Millisecond) {
				p.mu.Lock()
				waiting = len(p.waiting[0]) > 0
				p.mu.Unlock()
			}
			p.Put(first, time.Now(), 0)
			conn := <-got
			if conn == first {
				t.Error("got the connection with unread bytes or closed by the searcher, want a new one")
			}
			p.Discard(conn)
		})
	}
}

// Guards against requests that wait for a searcher that is gone, and against connections in use that stay open when they are returned.
func TestClose(t *testing.T) {
	s := startServer(t)
	p := newPool(t, s.listener.Addr().String(), 1)
	conn := get(t, p)
	failed := make(chan error, 1)
	go func() {
		_, err := p.Get(context.Background(), time.Now(), 0)
		failed <- err
	}()
	time.Sleep(propagationDelay)
	p.Close()
	if err := <-failed; !errors.Is(err, ErrClosed) {
		t.Errorf("waiting request: got error %v, want %v", err, ErrClosed)
	}
	p.Put(conn, time.Now(), time.Second)
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Error("write to a returned connection: got no error, want it closed")
	}
	if _, err := p.Get(t.Context(), time.Now(), 0); !errors.Is(err, ErrClosed) {
		t.Errorf("request after Close: got error %v, want %v", err, ErrClosed)
	}
}

// Guards against further requests on connections that may have gone silent together with another one. A connection that has received
// something more recently is still reused.
func TestDropIdle(t *testing.T) {
	s := startServer(t)
	p := newPool(t, s.listener.Addr().String(), 3)
	old, recent := get(t, p), get(t, p)
	now := time.Now()
	p.Put(old, now, time.Minute)
	p.Put(recent, now.Add(2*time.Second), time.Minute)
	p.DropIdle(now.Add(time.Second))
	got, err := p.Get(t.Context(), now.Add(3*time.Second), 0)
	if err != nil {
		t.Fatal(err)
	}
	if got != recent {
		t.Error("got a different connection, want the one that received most recently")
	}
	if p.open != 1 {
		t.Errorf("got %d open connections, want 1", p.open)
	}
}

// Guards against requests that fail one after another on connections that the searcher dropped while they were idle, and against a bound on
// the idle time that never expires. Once the searcher has dropped a connection, others are not reused after as long an idle time.
func TestStaleConnBoundsIdleTime(t *testing.T) {
	tests := map[string]struct {
		idle  time.Duration
		after time.Duration
		want  bool
	}{
		"idle as long as the stale one": {idle: 400 * time.Millisecond, after: time.Second},
		"idle briefly":                  {idle: 100 * time.Millisecond, after: time.Second, want: true},
		"long after":                    {idle: 400 * time.Millisecond, after: time.Minute, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, startServer(t).listener.Addr().String(), 2)
			now := time.Now()
			first := get(t, p)
			p.Put(first, now, time.Hour)
			now = now.Add(400 * time.Millisecond)
			taken, err := p.Get(t.Context(), now, 0)
			if err != nil || taken != first {
				t.Fatalf("got connection %p, error %v, want the idle connection", taken, err)
			}
			p.DiscardStale(taken, now)
			now = now.Add(test.after)
			second := get(t, p)
			p.Put(second, now, time.Hour)
			again, err := p.Get(t.Context(), now.Add(test.idle), 0)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(again)
			if got := again == second; got != test.want {
				t.Errorf("reused after %v of idle time: got %v, want %v", test.idle, got, test.want)
			}
		})
	}
}
