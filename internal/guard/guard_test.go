package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	testConnBytes = 1000
	testBodyBytes = 100_000
	testTimeout   = 5 * time.Second
)

// newGuard returns a guard whose clock reads now.
func newGuard(limit int64, now *time.Time) *Guard {
	return New(limit, events.Discard(), reason.NewCounters(metrics.NewRegistry(), "reasons"), func() time.Time { return *now })
}

// pipeListener accepts one end of a new pipe each time.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) { near, _ := net.Pipe(); return near, nil }

// Guards against bounds that are exceeded, that close connections in the wrong order or those whose requests run, and against memory that is
// not given back.
func TestRoomForConnections(t *testing.T) {
	type open struct {
		state state
		age   time.Duration
		held  int64
	}
	callers, reserved := Class{Connections: 3, ConnBytes: testConnBytes}, Class{Connections: 3, ConnBytes: testConnBytes, Reserved: true}
	tests := map[string]struct {
		limit  int64
		class  Class
		open   []open
		closed int // index of the connection that is closed, -1 for none
		reason wire.Reason
	}{
		"room":                        {10_000, callers, []open{{idle, time.Second, 0}, {sending, time.Minute, 0}}, -1, wire.Reason_REASON_UNSPECIFIED},
		"longest idle":                {10_000, callers, []open{{receiving, time.Hour, 0}, {idle, time.Second, 0}, {idle, time.Minute, 0}}, 2, wire.Reason_REASON_CONNECTIONS},
		"slowest sender":              {10_000, callers, []open{{receiving, time.Second, 0}, {receiving, 2 * time.Second, 0}, {running, time.Hour, 0}}, 1, wire.Reason_REASON_CONNECTIONS},
		"most bytes for longest":      {20_000, callers, []open{{receiving, time.Second, 9000}, {receiving, 2 * time.Second, 0}, {running, time.Hour, 0}}, 0, wire.Reason_REASON_CONNECTIONS},
		"slow reader":                 {10_000, callers, []open{{sending, 5 * time.Second, 900}, {running, time.Hour, 0}, {running, time.Hour, 0}}, 0, wire.Reason_REASON_CALLER_SLOW},
		"all run":                     {10_000, callers, []open{{running, time.Hour, 0}, {running, time.Hour, 0}, {running, time.Hour, 0}}, 3, wire.Reason_REASON_CONNECTIONS},
		"all new":                     {10_000, callers, []open{{idle, 0, 0}, {receiving, 0, 0}, {sending, 0, 0}}, 3, wire.Reason_REASON_CONNECTIONS},
		"no memory, idle":             {3000, callers, []open{{idle, time.Second, 0}, {running, time.Hour, 1000}}, 0, wire.Reason_REASON_MEMORY},
		"no memory":                   {3000, callers, []open{{running, time.Second, 0}, {running, time.Hour, 1000}}, 2, wire.Reason_REASON_MEMORY},
		"no memory, for the platform": {3000, reserved, []open{{running, time.Second, 0}, {running, time.Hour, 1000}}, -1, wire.Reason_REASON_UNSPECIFIED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			g := newGuard(test.limit, &now)
			l := g.Listen(pipeListener{}, test.class)
			var conns []*Conn
			for _, o := range test.open {
				accepted, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				c := accepted.(*Conn)
				c.enter(now.Add(-o.age), o.state)
				c.add(o.held)
				conns = append(conns, c)
			}
			c := &Conn{Conn: conns[0].Conn, listener: l}
			c.enter(now, idle)
			admitted := g.admit(now, c)
			if want := test.closed != len(conns); admitted != want {
				t.Errorf("got %v for the new connection, want %v", admitted, want)
			}
			for i, c := range conns {
				if got, want := c.closed.Load(), i == test.closed; got != want {
					t.Errorf("connection %d: got closed %v, want %v", i, got, want)
				}
			}
			if test.closed >= 0 && g.counters.Count(test.reason) != 1 {
				t.Errorf("got %d counted for %v, want 1", g.counters.Count(test.reason), test.reason)
			}
			if admitted {
				conns = append(conns, c)
			}
			for _, c := range conns {
				_ = c.Close()
				c.add(testConnBytes)
			}
			if got := g.Used(); got != 0 {
				t.Errorf("got %d bytes in use without a connection, want 0", got)
			}
		})
	}
}

// noLog discards the library's log lines.
type noLog struct{}

func (noLog) Printf(string, ...any) {}

// startServer starts a server that answers with the length of the body, or with 413, 503 or 400 for its error. It answers GET with a long body,
// and PUT with 404 without reading the body.
func startServer(t *testing.T, limit int64) (*Guard, string) {
	t.Helper()
	g := New(limit, events.Discard(), reason.NewCounters(metrics.NewRegistry(), "reasons"), time.Now)
	server := &fasthttp.Server{StreamRequestBody: true, ReadTimeout: testTimeout, Logger: noLog{}, Handler: func(ctx *fasthttp.RequestCtx) {
		if ctx.IsGet() {
			ctx.Response.SetBodyRaw(make([]byte, 16<<20))
			return
		}
		if ctx.IsPut() {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		body, err := ReadBody(ctx, testBodyBytes)
		switch {
		case errors.Is(err, ErrTooLong):
			ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrNoMemory):
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case err != nil:
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
		}
		fmt.Fprint(ctx, len(body), strings.Count(string(body), "x"))
	}}
	g.Attach(server, func() int { return testBodyBytes })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = server.Serve(g.Listen(inner, Class{Name: "test", Connections: 10, ConnBytes: testConnBytes}))
	}()
	t.Cleanup(func() { _ = server.Shutdown() })
	return g, inner.Addr().String()
}

// Guards against bodies that are read wrongly, beyond the limit or the memory, and against refusals with another status than that of their cause.
func TestReadBody(t *testing.T) {
	length := func(announced, sent int) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
	}
	chunks := func(size, n int) string {
		return "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n)
	}
	tests := map[string]struct {
		memory  int64
		request string
		status  int
		body    string
	}{
		"empty":                    {1 << 20, length(0, 0), 200, "0 0"},
		"short":                    {1 << 20, length(10, 10), 200, "10 10"},
		"at the limit":             {1 << 20, length(testBodyBytes, testBodyBytes), 200, "100000 100000"},
		"announced too long":       {1 << 20, length(testBodyBytes+1, 0), 413, "0 0"},
		"too long":                 {1 << 20, length(20*testBodyBytes, 20*testBodyBytes), 413, "0 0"},
		"chunks":                   {1 << 20, chunks(1000, 20) + "0\r\n\r\n", 200, "20000 20000"},
		"chunks at the limit":      {1 << 20, chunks(1000, 100) + "0\r\n\r\n", 200, "100000 100000"},
		"chunks too long":          {1 << 20, chunks(1000, 101), 413, "0 0"},
		"one chunk too long":       {1 << 20, chunks(150_000, 1), 413, "0 0"},
		"broken chunk":             {1 << 20, chunks(1000, 2) + "zz\r\n", 400, "0 0"},
		"no memory":                {30_000, length(testBodyBytes, testBodyBytes), 503, "0 0"},
		"no memory for chunks":     {30_000, chunks(1000, 60), 503, "0 0"},
		"little memory for more":   {30_000, length(16_000, 16_000), 503, "0 0"},
		"little memory for little": {30_000, length(8000, 8000), 200, "8000 8000"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g, address := startServer(t, test.memory)
			conn, err := net.DialTimeout("tcp", address, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			go func() { _, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+test.request) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != test.status || string(body) != test.body {
				t.Errorf("got %d %q, %v, want %d %q", response.StatusCode, body, err, test.status, test.body)
			}
			_ = conn.Close()
			awaitNone(t, g)
		})
	}
}

// awaitNone waits until nothing is in use.
func awaitNone(t *testing.T, g *Guard) {
	t.Helper()
	for end := time.Now().Add(testTimeout); g.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d bytes in use without a connection, want 0", g.Used())
		}
	}
}

// Guards against answers that nobody reads which take more than the budget, and against a closed caller who is not counted.
func TestUnreadAnswers(t *testing.T) {
	// Three quarters of it have room for two answers.
	const limit = 48 << 20
	g, address := startServer(t, limit)
	for range 6 {
		conn, err := net.DialTimeout("tcp", address, testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for end := time.Now().Add(testTimeout); g.counters.Count(wire.Reason_REASON_CALLER_SLOW) < 4 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := g.counters.Count(wire.Reason_REASON_CALLER_SLOW); got != 4 {
		t.Errorf("got %d slow callers, want 4", got)
	}
	if got := g.Used(); got > limit {
		t.Errorf("got %d bytes in use, want at most %d", got, limit)
	}
}

// Guards against connections that leave no descriptors for searchers and files.
func TestDescriptors(t *testing.T) {
	for limit, want := range map[int][2]int{100: {25, 8}, 400: {100, 12}, 4096: {1948, 128}, 1 << 20: {maxCallers, maxReserved}} {
		callers, reserved := Descriptors(limit)
		if callers != want[0] || reserved != want[1] {
			t.Errorf("%d: got %d and %d, want %v", limit, callers, reserved, want)
		}
	}
}

// Guards against a body that is taken as empty because the limit was lower when its head arrived.
func TestLimitRaisedWhileRefusing(t *testing.T) {
	calls := 0
	got := errors.New("not handled")
	server := &fasthttp.Server{StreamRequestBody: true, Logger: noLog{}, Handler: func(ctx *fasthttp.RequestCtx) {
		_, got = ReadBody(ctx, testBodyBytes)
	}}
	now := time.Now()
	newGuard(1<<20, &now).Attach(server, func() int {
		// The server asks once when the head has arrived, and once before it hands the request to the handler.
		if calls++; calls > 2 {
			return testBodyBytes
		}
		return 0
	})
	near, far := net.Pipe()
	go func() {
		_, _ = io.WriteString(far, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
		_, _ = io.Copy(io.Discard, far)
	}()
	if err := server.ServeConn(near); err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	if !errors.Is(got, ErrTooLong) {
		t.Errorf("got %v for a body that was not read, want %v", got, ErrTooLong)
	}
}

// Guards against an answer on a connection that was given up before its request was handled, such as an empty one with status 200.
func TestNothingIsWrittenOnceGivenUp(t *testing.T) {
	now := time.Now()
	g := newGuard(1<<20, &now)
	near, far := net.Pipe()
	defer near.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &Conn{Conn: near, listener: g.Listen(nil, Class{})}
	// The guard closes the connection itself only afterwards.
	c.closed.Store(true)
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %d bytes written and error %v, want none and %v", n, err, net.ErrClosed)
	}
}

// Guards against an answer that is lost because the connection is reset while the caller still sends a body that nobody reads.
func TestAnswerWithoutReadingTheBody(t *testing.T) {
	const chunk = 1 << 20
	_, address := startServer(t, 1<<20)
	for range 3 {
		conn, err := net.DialTimeout("tcp", address, testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		head := fmt.Sprintf("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", chunk)
		for _, part := range []string{head + strings.Repeat("x", chunk/2), strings.Repeat("x", chunk/4), strings.Repeat("x", chunk/4)} {
			if _, err = io.WriteString(conn, part); err != nil {
				t.Fatalf("sending the body: %v", err)
			}
			// The server has answered by now, and has given up reading.
			time.Sleep(lingerTime / 20)
		}
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != fasthttp.StatusNotFound {
			t.Fatalf("got %v, %v, want an answer with status 404", response, err)
		}
		_ = conn.Close()
	}
}
