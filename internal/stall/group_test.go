package stall

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

// TestMain guards against leaked goroutines. The exceptions belong to fasthttp: two cleaners, which sleep for up to 10 s before they notice
// that their client or server has ended, and the clock of the Date header, which runs for the life of the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// virtualClock is a clock that only the test advances.
type virtualClock struct{ nanos atomic.Int64 }

func (v *virtualClock) now() time.Time          { return time.Unix(1000, v.nanos.Load()) }
func (v *virtualClock) advance(d time.Duration) { v.nanos.Add(int64(d)) }

// newPipe returns a wrapped connection and its remote end.
func newPipe(t *testing.T, g *Group, clock func() time.Time) (conn net.Conn, remote net.Conn) {
	t.Helper()
	local, remote := net.Pipe()
	conn = g.Wrap(local, clock)
	t.Cleanup(func() {
		conn.Close()
		remote.Close()
	})
	return conn, remote
}

func writeRequest(t *testing.T, conn, remote net.Conn) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(remote, make([]byte, 1))
		done <- err
	}()
	if _, err := conn.Write([]byte("q")); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func readReply(t *testing.T, conn, remote net.Conn) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := remote.Write([]byte("r"))
		done <- err
	}()
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestCheckSchedules guards, on a virtual clock, against decisions that depend on more than the order of writes and replies.
func TestCheckSchedules(t *testing.T) {
	type step struct {
		// conn is the connection that acts: 0 or 1.
		conn  int
		reply bool
		after time.Duration
	}
	write := func(conn int) step { return step{conn: conn, after: 10 * time.Millisecond} }
	answer := func(conn int) step { return step{conn: conn, reply: true, after: 10 * time.Millisecond} }
	tests := map[string]struct {
		steps     []step
		wait      time.Duration
		expected  time.Duration
		want      []int
		wantProbe bool
	}{
		"all answered":                {steps: []step{write(0), answer(0), write(1), answer(1)}, wait: time.Second},
		"later request answered":      {steps: []step{write(0), write(1), answer(1)}, wait: 300 * time.Millisecond, want: []int{0}},
		"earlier request answered":    {steps: []step{write(1), write(0), answer(1)}, wait: 300 * time.Millisecond, wantProbe: true},
		"nothing answered":            {steps: []step{write(0), write(1)}, wait: 300 * time.Millisecond, wantProbe: true},
		"before the limit":            {steps: []step{write(0), write(1), answer(1)}, wait: 200 * time.Millisecond},
		"slow searcher, before limit": {steps: []step{write(0), write(1), answer(1)}, wait: 300 * time.Millisecond, expected: 100 * time.Millisecond},
		"slow searcher, after limit":  {steps: []step{write(0), write(1), answer(1)}, wait: 500 * time.Millisecond, expected: 100 * time.Millisecond, want: []int{0}},
		"other connection busy again": {steps: []step{write(0), write(1), answer(1), write(1)}, wait: 240 * time.Millisecond, want: []int{0}},
		"own earlier reply":           {steps: []step{write(0), answer(0), write(0)}, wait: 300 * time.Millisecond, wantProbe: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &virtualClock{}
			group := NewGroup(Settings{})
			var conns, remotes [2]net.Conn
			for k := range conns {
				conns[k], remotes[k] = newPipe(t, group, clock.now)
			}
			for _, s := range test.steps {
				clock.advance(s.after)
				if s.reply {
					readReply(t, conns[s.conn], remotes[s.conn])
				} else {
					writeRequest(t, conns[s.conn], remotes[s.conn])
				}
			}
			clock.advance(test.wait)
			if got := group.NeedsProbe(clock.now(), test.expected); got != test.wantProbe {
				t.Errorf("NeedsProbe: got %v, want %v", got, test.wantProbe)
			}
			closed := group.Check(clock.now(), test.expected)
			if got, want := len(closed), len(test.want); got != want {
				t.Fatalf("closed connections: got %d, want %d", got, want)
			}
			for k, index := range test.want {
				if net.Conn(closed[k]) != conns[index] {
					t.Errorf("closed the wrong connection")
				}
			}
			if got, want := group.Len(), 2-len(test.want); got != want {
				t.Errorf("open connections: got %d, want %d", got, want)
			}
		})
	}
}

// TestProbeIsEvidence guards against a probe whose evidence is lost when its connection closes.
func TestProbeIsEvidence(t *testing.T) {
	clock := &virtualClock{}
	group := NewGroup(Settings{})
	silentConn, silentRemote := newPipe(t, group, clock.now)
	clock.advance(time.Millisecond)
	writeRequest(t, silentConn, silentRemote)
	clock.advance(300 * time.Millisecond)
	if !group.NeedsProbe(clock.now(), 0) {
		t.Fatal("NeedsProbe: got false, want true")
	}
	probe, remote := newPipe(t, group, clock.now)
	clock.advance(time.Millisecond)
	writeRequest(t, probe, remote)
	if group.NeedsProbe(clock.now(), 0) {
		t.Error("NeedsProbe during a probe: got true, want false")
	}
	readReply(t, probe, remote)
	if err := probe.Close(); err != nil {
		t.Fatal(err)
	}
	if got := len(group.Check(clock.now(), 0)); got != 1 {
		t.Fatalf("closed connections: got %d, want 1", got)
	}
	if _, err := silentConn.Write([]byte("q")); !errors.Is(err, ErrSilent) {
		t.Errorf("Write: got %v, want %v", err, ErrSilent)
	}
	if _, err := silentConn.Read(make([]byte, 1)); !errors.Is(err, ErrSilent) {
		t.Errorf("Read: got %v, want %v", err, ErrSilent)
	}
}

// TestReplyBeatsCheck guards against closing a connection whose reply started after Check read its state.
func TestReplyBeatsCheck(t *testing.T) {
	clock := &virtualClock{}
	group := NewGroup(Settings{})
	conn, remote := newPipe(t, group, clock.now)
	writeRequest(t, conn, remote)
	c := conn.(*Conn)
	seen := c.state()
	readReply(t, conn, remote)
	if c.closeIfSilent(seen.pending) {
		t.Error("closeIfSilent after the reply: got true, want false")
	}
	if _, outstanding := c.LastWrite(); outstanding {
		t.Error("LastWrite after the reply: got an outstanding request, want none")
	}
	if at, ok := c.LastRead(); !ok || !at.Equal(clock.now()) {
		t.Errorf("LastRead: got %v %v, want %v true", at, ok, clock.now())
	}
}

// muteListener accepts connections. Those accepted before it is muted answer no further request; later ones do.
type muteListener struct {
	net.Listener
	muted atomic.Bool
}

func (l *muteListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &muteConn{Conn: conn, listener: l, acceptedMuted: l.muted.Load()}, nil
}

// muteConn drops what the server writes once its listener is muted, unless it was accepted after that.
type muteConn struct {
	net.Conn
	listener      *muteListener
	acceptedMuted bool
}

func (c *muteConn) Write(p []byte) (int, error) {
	if c.listener.muted.Load() && !c.acceptedMuted {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestFasthttpClient guards against a wrapper that breaks fasthttp's client, its deadlines or its errors when established TCP connections
// go silent while new ones work.
func TestFasthttpClient(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &muteListener{Listener: inner}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("reply") }}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()

	group := NewGroup(Settings{})
	client := &fasthttp.HostClient{
		Addr:                      inner.Addr().String(),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return group.Wrap(conn, time.Now), nil
		},
	}
	do := func(timeout time.Duration) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://" + inner.Addr().String() + "/")
		if err := client.DoTimeout(req, resp, timeout); err != nil {
			return err
		}
		if got, want := string(resp.Body()), "reply"; got != want {
			return errors.Newf("body: got %q, want %q", got, want)
		}
		return nil
	}
	if err := do(5 * time.Second); err != nil {
		t.Fatal(err)
	}

	listener.muted.Store(true)
	const deadline = 30 * time.Second
	sent := time.Now()
	result := make(chan error, 1)
	go func() { result <- do(deadline) }()
	waitFor(t, "a probe is needed", func() bool { return group.NeedsProbe(time.Now(), time.Millisecond) })
	if closed := group.Check(time.Now(), time.Millisecond); len(closed) != 0 {
		t.Fatalf("closed without evidence: got %d, want 0", len(closed))
	}
	if err := do(5 * time.Second); err != nil {
		t.Fatalf("probe on a new connection: %v", err)
	}
	if got := len(group.Check(time.Now(), time.Millisecond)); got != 1 {
		t.Fatalf("closed connections: got %d, want 1", got)
	}
	if err := <-result; !errors.Is(err, fasthttp.ErrTimeout) {
		t.Errorf("request on the silent connection: got %v, want %v", err, fasthttp.ErrTimeout)
	}
	if elapsed := time.Since(sent); elapsed >= deadline {
		t.Errorf("request on the silent connection: ended after %v, want before its deadline of %v", elapsed, deadline)
	}
	if err := do(5 * time.Second); err != nil {
		t.Errorf("request after the replacement: %v", err)
	}

	client.CloseIdleConnections()
	if err := server.Shutdown(); err != nil {
		t.Fatal(err)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	waitFor(t, "all connections leave the group", func() bool { return group.Len() == 0 })
}

// TestDeadlines guards against a wrapper that ignores deadlines.
func TestDeadlines(t *testing.T) {
	group := NewGroup(Settings{})
	conn, _ := newPipe(t, group, time.Now)
	if err := conn.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("Read: got %v, want a timeout", err)
	}
	if _, err := conn.Write([]byte("q")); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("Write: got %v, want a timeout", err)
	}
}

// TestConcurrentCheck guards, under the race detector, against a Check that closes a connection that answers immediately.
func TestConcurrentCheck(t *testing.T) {
	const exchanges = 500
	clock := &virtualClock{}
	group := NewGroup(Settings{})
	done := make(chan error, 2)
	for range 2 {
		conn, remote := newPipe(t, group, clock.now)
		go func() {
			buffer := make([]byte, 1)
			for range exchanges {
				if _, err := io.ReadFull(remote, buffer); err != nil {
					return
				}
				if _, err := remote.Write(buffer); err != nil {
					return
				}
			}
		}()
		go func() {
			buffer := make([]byte, 1)
			for range exchanges {
				clock.advance(time.Microsecond)
				if _, err := conn.Write(buffer); err != nil {
					done <- err
					return
				}
				if _, err := conn.Read(buffer); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for finished := 0; finished < 2; {
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
			finished++
		default:
			if closed := group.Check(clock.now(), 0); len(closed) != 0 {
				t.Errorf("closed connections: got %d, want 0", len(closed))
			}
			group.NeedsProbe(clock.now(), 0)
		}
	}
}

// waitFor polls for at most 10 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not within 10 s: %s", what)
}

func BenchmarkCheck(b *testing.B) {
	const size = 25
	group := NewGroup(Settings{})
	for range size {
		local, remote := net.Pipe()
		conn := group.Wrap(local, time.Now)
		defer remote.Close()
		defer conn.Close()
	}
	b.ReportAllocs()
	for b.Loop() {
		group.Check(time.Now(), time.Millisecond)
	}
}
