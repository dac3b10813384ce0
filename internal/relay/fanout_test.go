package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// newGatherFanout returns a fanout over one service and its engine, none of whose searchers can be reached.
func newGatherFanout(t *testing.T) (*Engine, *fanout) {
	t.Helper()
	e := newEngine(func() time.Time { return start })
	e.balancer = newTestBalancer(t, 4, 26, func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	policy := route.Policy{Idempotent: true, Timeout: time.Second, Goal: 150 * time.Millisecond, Rank: 1, MaxAttempts: 2}
	r, err := route.NewRoute("r", "h", "/r/", route.Gather{Shards: []string{"one"}, Top: 1, MinCoverage: 1}, policy)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := route.New(1, []*route.Route{r}, []route.Service{route.NewService("one", 26)}, route.Limits{}); err != nil {
		t.Fatal(err)
	}
	f := newFanout(e, start, &Request{ID: "1", Route: r, Head: []byte("GET /r/ HTTP/1.1\r\n"), CallerGone: func() bool { return false }})
	t.Cleanup(f.cancel)
	return e, f
}

// saturate lets requests run up to the limit.
func saturate(f *fanout) {
	r := f.engine.intakeRequest(f.request.Route, start, start.Add(time.Minute))
	r.Rank = 0
	for {
		if _, ok := f.limiter.Preview(start, r).(intake.Run); !ok {
			return
		}
		f.limiter.Ask(start, r)
	}
}

// Guards against hedges that take capacity from other queries while the searchers are overloaded.
func TestNoHedgeWhileSaturated(t *testing.T) {
	tests := map[string]struct {
		saturated  bool
		wantHedges int64
	}{
		"room":      {wantHedges: 1},
		"saturated": {saturated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, f := newGatherFanout(t)
			if test.saturated {
				saturate(f)
			}
			f.mu.Lock()
			f.hedge(start.Add(50*time.Millisecond), &f.parts[0])
			f.mu.Unlock()
			if got := e.hedges.Count(); got != test.wantHedges {
				t.Errorf("got %d hedges, want %d", got, test.wantHedges)
			}
		})
	}
}

// Guards against a query beyond the limit that is refused although it has run, and against one that is held until its goal before it is
// refused.
func TestQueryBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	e, f := newGatherFanout(t)
	saturate(f)
	began := time.Now()
	answer, ok := f.runAdmitted().(Refused)
	if !ok || answer.Reason != wire.Reason_REASON_ADMISSION || !answer.NotRun || answer.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal for lack of capacity, not run, with a retry delay", answer)
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v, want well before the goal of 150ms", took)
	}
	if got := e.attempts.Count(); got != 0 {
		t.Errorf("got %d attempts, want none", got)
	}
}

// Guards against a request that is said to have possibly run although its attempts only waited for a connection, so that the caller of a
// non-idempotent one could not send it again, and against an attempt that is sent after that.
func TestWaitingAttemptHasNotRun(t *testing.T) {
	tests := map[string]struct {
		sending bool
		want    bool
	}{
		"waiting for a connection": {want: true},
		"being sent":               {sending: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, f := newGatherFanout(t)
			f.mu.Lock()
			f.startAttempt(start, &f.parts[0], wire.Reason_REASON_UNSPECIFIED)
			var a *attempt
			for a = range f.attempts {
			}
			f.mu.Unlock()
			begins := func() bool {
				_, ok := a.beginSending(func() []byte { return nil })
				return ok
			}
			if test.sending && !begins() {
				t.Fatal("got an attempt that may not be sent before its request is finished")
			}
			answer, ok := f.finish(f.deadline.Add(-minRemaining)).(Refused)
			if !ok || answer.NotRun != test.want {
				t.Errorf("got %+v, want a refusal with not run %v", answer, test.want)
			}
			if !test.sending && begins() {
				t.Error("got an attempt that may be sent after its request was refused as not run")
			}
		})
	}
}

// Guards against a refusal as not run, on which callers rely, of a query over shards of which some have answered.
func TestQueryWithoutCoverageHasRun(t *testing.T) {
	_, f := newGatherFanout(t)
	f.parts = append(f.parts, part{service: "two"})
	f.pending = 2
	f.settle(&f.parts[0], wire.Reason_REASON_UNSPECIFIED)
	f.settle(&f.parts[1], wire.Reason_REASON_SEARCHER_SHED)
	if got, ok := f.finish(start).(Refused); !ok || got.Reason != wire.Reason_REASON_COVERAGE || got.NotRun {
		t.Errorf("got %+v, want a refusal for lack of coverage that may have run", got)
	}
}
