package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// plainCodec adds no header fields.
type plainCodec struct{}

func (plainCodec) AppendHead(dst []byte, _ *fasthttp.RequestHeader, _ int) []byte { return dst }

func (plainCodec) AppendAttempt(dst []byte, _ time.Duration, _ string) []byte {
	return append(dst, "\r\n"...)
}

func (plainCodec) ParseReply(*fasthttp.ResponseHeader) ReplyHead { return ReplyHead{} }

// registerOne makes one searcher of one service known to the engine.
func registerOne(t *testing.T, e *Engine, leaving bool, revision epoch.Revision) *endpoint {
	t.Helper()
	table, err := route.New(1, nil, []route.Service{route.NewService("one", 26)}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	registry := fleet.New()
	s := fleet.NewSearcher("i-1", "one", "127.0.0.1:1", "z", 2, leaving, 1, revision)
	registry.Apply(start, []*fleet.Searcher{s}, nil, time.Time{})
	e.Update(registry.Snapshot(), table)
	return e.balancer.current.Load().byKey[s.Key()]
}

// Guards against requests that wait for a connection while their searcher starts to leave, and are sent as soon as there is one.
func TestNoRequestIsSentToLeavingSearcher(t *testing.T) {
	tests := map[string]struct {
		// busy is set when another request has the only connection; otherwise a connection is being opened.
		busy   bool
		leaves bool
	}{
		"waiting for a connection": {busy: true, leaves: true},
		"opening a connection":     {leaves: true},
		"waiting, searcher stays":  {busy: true},
		"opening, searcher stays":  {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEngine(time.Now)
			e.codec = plainCodec{}
			accept := make(chan struct{}, 1)
			received := make(chan struct{}, 1)
			e.balancer = newBalancer(Location{}, func(context.Context, string) (net.Conn, error) {
				<-accept
				near, far := net.Pipe()
				go func() {
					if n, _ := far.Read(make([]byte, 1)); n > 0 {
						received <- struct{}{}
					}
					_ = far.Close()
				}()
				return near, nil
			}, time.Now)
			ep := registerOne(t, e, false, 1)
			ep.pool.SetLimit(1)
			release := func() { accept <- struct{}{} }
			if test.busy {
				accept <- struct{}{}
				conn, err := ep.pool.Get(t.Context(), time.Now(), 0)
				if err != nil {
					t.Fatal(err)
				}
				release = func() { ep.pool.Put(conn, time.Now(), 0) }
			}
			a := &attempt{part: &part{service: "one"}, endpoint: ep, sentAt: time.Now(), deadline: time.Now().Add(5 * time.Second)}
			a.cutoff = a.deadline
			ended := make(chan result, 1)
			go func() { ended <- e.perform(t.Context(), a, singleRequest(t)) }()
			time.Sleep(20 * time.Millisecond)
			if test.leaves {
				registerOne(t, e, true, 2)
			}
			release()
			r := <-ended
			if got, want := r.sent, !test.leaves; got != want || got != (len(received) > 0) {
				t.Errorf("got sent %v and %d requests at the searcher, want sent %v", got, len(received), want)
			}
			if test.leaves && r.reason != wire.Reason_REASON_SEARCHER_LEAVING {
				t.Errorf("got reason %v, want %v", r.reason, wire.Reason_REASON_SEARCHER_LEAVING)
			}
		})
	}
}

// Guards against a searcher that withdraws its report of leaving and gets no requests any more.
func TestSearcherThatStaysIsUsedAgain(t *testing.T) {
	e := newEngine(time.Now)
	registerOne(t, e, false, 1)
	registerOne(t, e, true, 2)
	if _, ok := e.balancer.choose(start, "one", time.Second, func(*endpoint) bool { return false }); ok {
		t.Error("got a leaving searcher chosen, want none")
	}
	ep := registerOne(t, e, false, 3)
	if _, err := ep.pool.Get(t.Context(), time.Now(), 0); err != net.ErrClosed {
		t.Errorf("got %v, want the error of opening a connection: %v", err, net.ErrClosed)
	}
}

// singleRequest returns a request to one service.
func singleRequest(t *testing.T) *Request {
	t.Helper()
	policy := route.Policy{Idempotent: true, Timeout: time.Second, Goal: time.Second, MaxAttempts: 2}
	r, err := route.NewRoute("r", "h", "/r/", route.Single{Service: "one"}, policy)
	if err != nil {
		t.Fatal(err)
	}
	return &Request{ID: "1", Route: r, Head: []byte("GET /r/ HTTP/1.1\r\n"), CallerGone: func() bool { return false }}
}
