package pool

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// server accepts connections and keeps them.
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

// accepted waits for the connection number i and returns it.
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
	t.Fatalf("got no connection %d", i)
	return nil
}

func newPool(t *testing.T, address string, limit int) *Pool {
	t.Helper()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	p := New(address, limit, dial, func(time.Duration) {})
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

// propagationDelay is the time that a change at the other end of a loopback connection takes to show.
const propagationDelay = 20 * time.Millisecond

// Guards against the use of a connection that is closed, holds another request's bytes, or whose life is over.
func TestReuse(t *testing.T) {
	tests := map[string]struct {
		meanwhile func(t *testing.T, s *server)
		life      time.Duration
		after     time.Duration
		wantSame  bool
	}{
		"clean":       {meanwhile: func(*testing.T, *server) {}, life: 5 * time.Second, wantSame: true},
		"life over":   {meanwhile: func(*testing.T, *server) {}, life: 5 * time.Second, after: 5 * time.Second},
		"stray bytes": {meanwhile: func(t *testing.T, s *server) { s.accepted(t, 0).Write([]byte("HTTP/1.1 200 OK\r\n")) }, life: 5 * time.Second},
		"closed":      {meanwhile: func(t *testing.T, s *server) { s.accepted(t, 0).Close() }, life: 5 * time.Second},
		"reset": {meanwhile: func(t *testing.T, s *server) {
			conn := s.accepted(t, 0).(*net.TCPConn)
			conn.SetLinger(0)
			conn.Close()
		}, life: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			p := newPool(t, s.listener.Addr().String(), 2)
			first := get(t, p)
			now := time.Now()
			p.Put(first, now, test.life)
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

// Guards against more connections than the searcher allows, and against a waiter that is never served.
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
				t.Errorf("above the limit: got error %v, want that of the context", err)
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
				t.Error("the waiter got no connection")
			}
		})
	}
}

// Guards against less urgent requests that take a connection before more urgent ones.
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

// Guards against requests that wait for a searcher that is gone, and against connections that stay open.
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
		t.Errorf("waiter: got error %v, want %v", err, ErrClosed)
	}
	p.Put(conn, time.Now(), time.Second)
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Error("write to a returned connection: got no error, want it closed")
	}
	if _, err := p.Get(t.Context(), time.Now(), 0); !errors.Is(err, ErrClosed) {
		t.Errorf("later: got error %v, want %v", err, ErrClosed)
	}
}

// Guards against further requests on connections that went silent together with one that did.
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
		t.Error("got another connection, want the one that received lately")
	}
	if p.open != 1 {
		t.Errorf("got %d open connections, want 1", p.open)
	}
}

// Guards against one request after the other on connections that the searcher forgets while they rest, and against a bound that stays for
// good.
func TestStaleConnBoundsIdleTime(t *testing.T) {
	tests := map[string]struct {
		rest  time.Duration
		after time.Duration
		want  bool
	}{
		"rested as long as the forgotten one": {rest: 400 * time.Millisecond, after: time.Second},
		"rested briefly":                      {rest: 100 * time.Millisecond, after: time.Second, want: true},
		"long after":                          {rest: 400 * time.Millisecond, after: time.Minute, want: true},
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
				t.Fatalf("got connection %p, error %v, want the idle one", taken, err)
			}
			p.DiscardStale(taken, now)
			now = now.Add(test.after)
			second := get(t, p)
			p.Put(second, now, time.Hour)
			again, err := p.Get(t.Context(), now.Add(test.rest), 0)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(again)
			if got := again == second; got != test.want {
				t.Errorf("used again after a rest of %v: got %v, want %v", test.rest, got, test.want)
			}
		})
	}
}
