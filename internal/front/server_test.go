package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	testBodyBytes = 2048
	// testMemoryBytes has room for all connections of the tests.
	testMemoryBytes = 64 << 20
	callTimeout     = 5 * time.Second
)

// fakeBackend implements Querier and Directory with fixed answers.
type fakeBackend struct{}

func (fakeBackend) Query(_ context.Context, _ time.Time, query *wire.Query) *wire.Answer {
	return wire.Answer_builder{Run: wire.RunState_RUN_STATE_RUN, Detail: query.GetQuery()}.Build()
}

func (fakeBackend) Entries(_ time.Time, caller, zone string) (*wire.Entries, *reason.Refusal) {
	if caller == "early" {
		return nil, reason.New(wire.Reason_REASON_NOT_READY, "")
	}
	return wire.Entries_builder{Entries: []*wire.Entry{wire.Entry_builder{Id: caller + "/" + zone}.Build()}}.Build(), nil
}

// startServer starts a server and returns its address and its counters.
func startServer(t testing.TB) (string, *reason.Counters) {
	t.Helper()
	counters := reason.NewCounters(metrics.NewRegistry(), "reasons")
	return startServerAt(t, fakeBackend{}, guard.New(testMemoryBytes, events.Discard(), counters, time.Now), counters, time.Now), counters
}

// startServerAt starts a server with a clock and returns its address.
func startServerAt(t testing.TB, querier Querier, g *guard.Guard, counters *reason.Counters, clock func() time.Time) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(querier, fakeBackend{}, counters, g, testBodyBytes, clock)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(listener, maxConnections)
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		<-done
	})
	return listener.Addr().String()
}

// timeQuerier answers with the time at which a query began.
type timeQuerier struct{ fakeBackend }

func (timeQuerier) Query(_ context.Context, now time.Time, _ *wire.Query) *wire.Answer {
	return wire.Answer_builder{Run: wire.RunState_RUN_STATE_RUN, Detail: now.String()}.Build()
}

// Guards against a query whose time runs while its caller still sends the body.
func TestQueryBeginsAfterItsBody(t *testing.T) {
	counters := reason.NewCounters(metrics.NewRegistry(), "reasons")
	g := guard.New(testMemoryBytes, events.Discard(), counters, time.Now)
	begun := time.Unix(1_700_000_000, 0)
	var elapsed atomic.Int64
	address := startServerAt(t, timeQuerier{}, g, counters, func() time.Time { return begun.Add(time.Duration(elapsed.Load())) })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err := io.WriteString(conn, "POST /v1/query HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(callTimeout); g.Used() <= connBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the server does not read the body")
		}
	}
	elapsed.Store(int64(time.Minute))
	if _, err := io.WriteString(conn, "1\r\n}\r\n0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if want := begun.Add(time.Minute).String(); !strings.Contains(string(body), want) {
		t.Errorf("got answer %s, want a query that began at %s", body, want)
	}
}

// sendRaw sends raw bytes on a new connection and returns the status code and the answer.
func sendRaw(t *testing.T, address, raw string) (int, *wire.Answer) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	// The server may respond and close the connection before it has read the whole request.
	_, _ = io.WriteString(conn, raw)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got no response: %v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	answer := &wire.Answer{}
	if err := protojson.Unmarshal(body, answer); err != nil {
		t.Errorf("got body %q, want an answer: %v", body, err)
	}
	return response.StatusCode, answer
}

func queryRequest(body string) string {
	return fmt.Sprintf("POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against invalid input that gets no error detail, run state or counter, or that affects other callers.
func TestBadInput(t *testing.T) {
	address, counters := startServer(t)
	tests := map[string]struct {
		raw  string
		want int
	}{
		"empty body":         {queryRequest(""), 400},
		"no JSON":            {queryRequest("lamp"), 400},
		"unknown field":      {queryRequest(`{"plan":"p","plam":"q"}`), 400},
		"wrong type":         {queryRequest(`{"plan":7}`), 400},
		"negative limit":     {queryRequest(`{"limit":-1}`), 400},
		"huge limit":         {queryRequest(`{"limit":4294967296}`), 400},
		"fractional limit":   {queryRequest(`{"limit":1.5}`), 400},
		"deadline as number": {queryRequest(`{"deadline":1}`), 400},
		"deadline of words":  {queryRequest(`{"deadline":"soon"}`), 400},
		"huge deadline":      {queryRequest(`{"deadline":"999999999999999s"}`), 400},
		"field twice":        {queryRequest(`{"plan":"p","plan":"q"}`), 400},
		"no UTF-8":           {queryRequest("{\"plan\":\"\xff\"}"), 400},
		"deep":               {queryRequest(`{"plan":` + strings.Repeat("[", 500) + strings.Repeat("]", 500) + `}`), 400},
		"two values":         {queryRequest(`{}{}`), 400},
		"body too large":     {queryRequest(strings.Repeat("x", testBodyBytes+1)), 413},
		"header too large":   {"POST /v1/query HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", 431},
		"method":             {"GET /v1/query HTTP/1.1\r\nHost: h\r\n\r\n", 405},
		"path":               {"GET /v2/query HTTP/1.1\r\nHost: h\r\n\r\n", 404},
		"no HTTP":            {"hello\r\n\r\n", 400},
		"negative length":    {"POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n", 400},
		"long caller":        {"GET /v1/entries?caller=" + strings.Repeat("x", maxNameBytes+1) + " HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := counters.Count(wire.Reason_REASON_BAD_REQUEST)
			code, answer := sendRaw(t, address, test.raw)
			if code != test.want || answer.GetRun() != wire.RunState_RUN_STATE_NOT_RUN || answer.GetReason() != wire.Reason_REASON_BAD_REQUEST || answer.GetDetail() == "" {
				t.Errorf("got %d with %v, %v, %q; want %d, not run, bad request, with a detail", code, answer.GetRun(), answer.GetReason(), answer.GetDetail(), test.want)
			}
			if got := counters.Count(wire.Reason_REASON_BAD_REQUEST) - before; got != 1 {
				t.Errorf("got %d counted, want 1", got)
			}
			if code, answer := sendRaw(t, address, queryRequest(`{"query":"lamp"}`)); code != 200 || answer.GetDetail() != "lamp" {
				t.Errorf("next request: got %d %q, want 200 and its own answer", code, answer.GetDetail())
			}
		})
	}
}

// Guards against slow and half-open connections that block other callers.
func TestSlowCallers(t *testing.T) {
	address, _ := startServer(t)
	for i := range 100 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// Every second connection sends a partial request, the others send nothing.
		if i%2 == 0 {
			_, _ = io.WriteString(conn, "POST /v1/query HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")
		}
	}
	began := time.Now()
	if code, _ := sendRaw(t, address, queryRequest(`{}`)); code != 200 {
		t.Errorf("got %d, want 200", code)
	}
	if took := time.Since(began); took > readTimeout/2 {
		t.Errorf("got an answer after %v, want it before the slow callers time out", took)
	}
}

// Guards against a reason with another status code than the documented one.
func TestStatusCodes(t *testing.T) {
	special := map[wire.Reason]int{
		wire.Reason_REASON_UNSPECIFIED:     200,
		wire.Reason_REASON_BAD_REQUEST:     400,
		wire.Reason_REASON_PLAN_UNKNOWN:    403,
		wire.Reason_REASON_USE_NOT_LISTED:  403,
		wire.Reason_REASON_OVER_RATE:       429,
		wire.Reason_REASON_OVER_CONCURRENT: 429,
		wire.Reason_REASON_ADMISSION:       429,
		wire.Reason_REASON_NODE_BUSY:       429,
		wire.Reason_REASON_TOKEN_MISSING:   409,
		wire.Reason_REASON_TOKEN_INVALID:   409,
		wire.Reason_REASON_TOKEN_RUNNING:   409,
		wire.Reason_REASON_TOKEN_COMPLETED: 409,
		wire.Reason_REASON_TOKEN_NOT_RUN:   409,
		wire.Reason_REASON_TOKEN_UNKNOWN:   409,
	}
	for number := range wire.Reason_name {
		r := wire.Reason(number)
		want, ok := special[r]
		if !ok && reason.RunState(r) == wire.RunState_RUN_STATE_NOT_RUN {
			want = 503
		} else if !ok {
			want = 504
		}
		answer := wire.Answer_builder{Run: reason.RunState(r), Reason: r}.Build()
		if got := statusCode(answer); got != want {
			t.Errorf("%v: got %d, want %d", r, got, want)
		}
	}
}

// Guards against directory requests whose parameters or refusals are lost.
func TestEntries(t *testing.T) {
	address, counters := startServer(t)
	for path, want := range map[string]int{"/v1/entries?caller=c&zone=z": 200, "/v1/entries?caller=early": 503} {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want || want == 200 && !strings.Contains(string(body), "c/z") {
			t.Errorf("%s: got %d %s, want %d", path, response.StatusCode, body, want)
		}
	}
	if got := counters.Count(wire.Reason_REASON_NOT_READY); got != 1 {
		t.Errorf("got %d refusals counted, want 1", got)
	}
	http.DefaultClient.CloseIdleConnections()
}

// FuzzQuery guards against bodies that crash the decoder or that decode to a query that cannot be encoded again.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{`{"plan":"p","limit":3,"deadline":"0.3s"}`, `{"nonIdempotent":true}`, `{"a":[[[]]]}`, "\xff", ""} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		query := &wire.Query{}
		if err := decodeOptions.Unmarshal(body, query); err != nil {
			return
		}
		if _, err := protojson.Marshal(query); err != nil {
			t.Errorf("got a query that cannot be encoded: %v", err)
		}
	})
}
