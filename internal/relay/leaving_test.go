package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/pace"
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

// Guards against requests that wait for a connection while their searcher starts to leave, asks for no requests for a while, or becomes cold,
// and are sent as soon as there is one.
func TestNoRequestIsSentToLeavingSearcher(t *testing.T) {
	leave := func(e *Engine, _ *endpoint) { registerOne(t, e, true, 2) }
	state := func(_ *Engine, ep *endpoint) { ep.leave() }
	pause := func(_ *Engine, ep *endpoint) { ep.pacer.Pause(time.Now(), time.Minute) }
	cool := func(_ *Engine, ep *endpoint) {
		cold := pace.Cold{PerSecond: 5, Until: time.Now().Add(time.Minute)}
		ep.pacer.SetCold(time.Now(), cold, pace.NewViews(), pace.DefaultAllowance)
	}
	stay := func(*Engine, *endpoint) {}
	tests := map[string]struct {
		// busy is set when another request has the only connection; otherwise a connection is being opened.
		busy   bool
		change func(e *Engine, ep *endpoint)
		// want is the reason why the request is not sent, if any.
		want wire.Reason
	}{
		"waiting for a connection":           {busy: true, change: leave, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"opening a connection":               {change: leave, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"waiting, stated in a reply":         {busy: true, change: state, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"opening, stated in a reply":         {change: state, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"waiting, searcher asks for a pause": {busy: true, change: pause, want: wire.Reason_REASON_SEARCHER_PAUSED},
		"opening, searcher asks for a pause": {change: pause, want: wire.Reason_REASON_SEARCHER_PAUSED},
		"waiting, searcher becomes cold":     {busy: true, change: cool, want: wire.Reason_REASON_SEARCHER_COLD},
		"opening, searcher becomes cold":     {change: cool, want: wire.Reason_REASON_SEARCHER_COLD},
		"waiting, searcher stays":            {busy: true, change: stay},
		"opening, searcher stays":            {change: stay},
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
			test.change(e, ep)
			release()
			r := <-ended
			held := test.want != wire.Reason_REASON_UNSPECIFIED
			if got, want := r.sent, !held; got != want || got != (len(received) > 0) {
				t.Errorf("got sent %v and %d requests at the searcher, want sent %v", got, len(received), want)
			}
			if held && r.reason != test.want {
				t.Errorf("got reason %v, want %v", r.reason, test.want)
			}
		})
	}
}

// Guards against a searcher that withdraws its report of leaving and gets no requests any more.
func TestSearcherThatStaysIsUsedAgain(t *testing.T) {
	e := newEngine(time.Now)
	registerOne(t, e, false, 1)
	registerOne(t, e, true, 2)
	if _, ok := e.balancer.choose(start, demand{service: "one", timeLeft: time.Second}); ok {
		t.Error("got a leaving searcher chosen, want none")
	}
	ep := registerOne(t, e, false, 3)
	if _, err := ep.pool.Get(t.Context(), time.Now(), 0); err != net.ErrClosed {
		t.Errorf("got %v, want the error of opening a connection: %v", err, net.ErrClosed)
	}
}

// Guards against a searcher that stated in a reply that it leaves, and is used again since its registration says otherwise.
func TestStatementOutlivesRegistration(t *testing.T) {
	e := newEngine(time.Now)
	registerOne(t, e, false, 1).leave()
	for i, leaving := range []bool{false, true, false} {
		registerOne(t, e, leaving, epoch.Revision(i+2))
		if _, ok := e.balancer.choose(start, demand{service: "one", timeLeft: time.Second}); ok {
			t.Errorf("after registration %d: got the searcher chosen, want none", i)
		}
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
