package edge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Guards against a retry delay that callers do not follow, so that they come back at once or not at all.
func TestRefusalDelay(t *testing.T) {
	tests := map[string]struct{ timeout, want time.Duration }{
		"unknown": {want: refusalRetryAfter},
		"long":    {timeout: time.Second, want: refusalRetryAfter},
		"short":   {timeout: 90 * time.Millisecond, want: 30 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := refusalDelay(test.timeout); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against an answer that lacks a part of the searcher's reply, or that changes when the reply's buffer is used again.
func TestAnswerHasTheWholeReply(t *testing.T) {
	tests := map[string]struct {
		bytes int
		raw   bool
	}{
		"empty":         {},
		"small":         {bytes: 100},
		"buffered":      {bytes: 2 * copiedAnswerBytes},
		"raw":           {bytes: 8 * copiedAnswerBytes, raw: true},
		"small and raw": {bytes: 100, raw: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := bytes.Repeat([]byte("record__"), test.bytes/8)
			reply, answer := fasthttp.AcquireResponse(), &fasthttp.Response{}
			if test.raw {
				reply.SetBodyRaw(slices.Clone(want))
			} else {
				reply.SetBody(want)
			}
			setBody(answer, reply)
			fasthttp.ReleaseResponse(reply)
			for range 10 {
				other := fasthttp.AcquireResponse()
				other.SetBody(bytes.Repeat([]byte("x"), 8*copiedAnswerBytes))
				defer fasthttp.ReleaseResponse(other)
			}
			var sent bytes.Buffer
			if _, err := answer.WriteTo(&sent); err != nil {
				t.Fatal(err)
			}
			if _, got, _ := bytes.Cut(sent.Bytes(), []byte("\r\n\r\n")); !bytes.Equal(got, want) {
				t.Errorf("got %d bytes, want the %d of the reply", len(got), len(want))
			}
		})
	}
}

const (
	testMemory  = 1 << 20
	testTimeout = time.Second
)

// testCodec reads no fields: each request has the same id and timeout.
type testCodec struct{ Codec }

func (testCodec) ParseCaller(*fasthttp.RequestHeader) (string, time.Duration) {
	return "1", testTimeout
}

func (testCodec) AppendHead([]byte, *fasthttp.RequestHeader, int) []byte { return nil }

func (testCodec) WriteRefused(*fasthttp.ResponseHeader, string, time.Duration) {}

// Guards against requests that start though the node refuses requests by the time their body is complete, or though their caller waits no longer,
// and against the time that a body takes counting as the searchers'.
func TestSlowBody(t *testing.T) {
	tests := map[string]struct {
		took     time.Duration
		stopping bool
		want     wire.Reason
	}{
		"in time":          {took: testTimeout / 2, want: wire.Reason_REASON_NO_REPLICA},
		"too late":         {took: testTimeout, want: wire.Reason_REASON_DEADLINE},
		"node is stopping": {took: testTimeout / 2, stopping: true, want: wire.Reason_REASON_STOPPING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var elapsed atomic.Int64
			var stopping atomic.Bool
			began := time.Now()
			clock := func() time.Time { return began.Add(time.Duration(elapsed.Load())) }
			registry := metrics.NewRegistry()
			counters := reason.NewCounters(registry, "reasons")
			r, err := route.NewRoute("r", "h", "/", route.Gather{Shards: []string{"one"}, Top: 1, MinCoverage: 1}, route.Policy{Timeout: testTimeout, Goal: testTimeout})
			if err != nil {
				t.Fatal(err)
			}
			table, err := route.New(1, []*route.Route{r}, []route.Service{route.NewService("one", 1)}, route.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 1000})
			if err != nil {
				t.Fatal(err)
			}
			dial := func(context.Context, string) (net.Conn, error) { return nil, io.EOF }
			engine := relay.New(testCodec{}, relay.Budget{}, relay.Location{}, dial, events.Discard(), counters, registry, clock)
			read := make(chan struct{}, 10)
			s := New(engine, testCodec{}, Sources{
				Table: func() *route.Table { return table },
				Gate: func() *reason.Refusal {
					defer func() { read <- struct{}{} }()
					if stopping.Load() {
						return reason.New(wire.Reason_REASON_STOPPING, "")
					}
					return nil
				},
				Leaving: func() bool { return false },
				Clock:   clock,
			}, guard.New(testMemory, events.Discard(), counters, time.Now), events.Discard(), counters)
			near, far := net.Pipe()
			go func() { _ = s.http.ServeConn(near) }()
			defer far.Close()
			_ = far.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(far, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			<-read
			elapsed.Store(int64(test.took))
			stopping.Store(test.stopping)
			_, _ = io.WriteString(far, "1\r\nx\r\n0\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(far), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != fasthttp.StatusServiceUnavailable || counters.Count(test.want) != 1 {
				t.Errorf("got status %d and %d counted for %v, want 503 and 1", response.StatusCode, counters.Count(test.want), test.want)
			}
		})
	}
}
