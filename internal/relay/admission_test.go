package relay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// newSingleFanout returns a fanout over one of the searchers of a service.
func newSingleFanout(t *testing.T) (*Engine, *fanout) {
	t.Helper()
	e, gather := newGatherFanout(t)
	policy := gather.request.Route.Policy()
	r, err := route.NewRoute("single", "h", "/s/", route.Single{Service: "one"}, policy)
	if err != nil {
		t.Fatal(err)
	}
	table, err := route.New(1, []*route.Route{r}, []route.Service{route.NewService("one", 26)}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	var seen []*fleet.Searcher
	for _, ep := range e.balancer.current.Load().byService["one"] {
		seen = append(seen, ep.searcher)
	}
	registry := fleet.New()
	registry.Apply(start, seen, nil, time.Time{})
	e.Update(registry.Snapshot(), table)
	request := *gather.request
	request.Route = r
	f := newFanout(e, start, &request)
	t.Cleanup(f.cancel)
	return e, f
}

// Guards against requests to one searcher that are admitted without bound, and against a refusal whose log line does not tell why or whose
// delay is longer than callers follow.
func TestRequestToOneSearcherIsAdmittedWithinTheLimit(t *testing.T) {
	e, f := newSingleFanout(t)
	var log bytes.Buffer
	logger, err := events.New(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	e.logger = logger
	if got := e.intakeRequest(f.request.Route, start, f.deadline); !got.LateCounts {
		t.Errorf("got %+v, want a late answer that counts", got)
	}
	if got := e.PreviewAdmission(start, f.request.Route, f.deadline); got != (intake.Run{}) {
		t.Errorf("got preview %v, want Run", got)
	}
	saturate(f)
	expired := *f.request
	expired.Timeout = time.Nanosecond
	for name, refused := range map[string]*fanout{"saturated": f, "expired": newFanout(e, start, &expired)} {
		answer, ok := refused.runAdmitted().(Refused)
		if !ok || !answer.NotRun {
			t.Errorf("%s: got %+v, want a refusal as not run", name, answer)
		}
		if most := refused.deadline.Sub(start) / 3; answer.RetryAfter > most {
			t.Errorf("%s: got retry delay %v, want at most %v", name, answer.RetryAfter, most)
		}
	}
	for _, field := range []string{"limit", "in_flight", "waiting", "late", "per_second", "latency", "waited", "retry_after", "rank", "cannot_meet_deadline"} {
		if !strings.Contains(strings.ToLower(log.String()), field) {
			t.Errorf("got log without %s: %s", field, log.String())
		}
	}
	if got := e.attempts.Count(); got != 0 {
		t.Errorf("got %d attempts, want none", got)
	}
}

// Guards against retries that take room from first attempts that wait, and against a query over shards that loses the work of all its other
// parts for one retry.
func TestRetryGivesWayWhileRequestsWait(t *testing.T) {
	tests := map[string]struct {
		fanout      func(*testing.T) (*Engine, *fanout)
		waiting     bool
		minCoverage float64
		want        bool
	}{
		"nothing waits":                          {fanout: newSingleFanout, minCoverage: 1, want: true},
		"to one searcher":                        {fanout: newSingleFanout, minCoverage: 1, waiting: true},
		"over shards, the answer needs it":       {fanout: newGatherFanout, minCoverage: 1, waiting: true, want: true},
		"over shards, for completeness":          {fanout: newGatherFanout, waiting: true},
		"over shards, for completeness, no wait": {fanout: newGatherFanout, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, f := test.fanout(t)
			f.minCoverage = test.minCoverage
			if test.waiting {
				saturate(f)
				for !f.limiter.Waits() {
					r := e.intakeRequest(f.request.Route, start, start.Add(time.Minute))
					r.Goal, r.Rank = r.Deadline, 0
					f.limiter.Ask(start, r)
				}
			}
			f.mu.Lock()
			got := f.mayRetry(start, &f.parts[0], result{reason: wire.Reason_REASON_SEARCHER_SHED})
			f.mu.Unlock()
			if got != test.want {
				t.Errorf("got retry %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a log line for each refused request of an overload, and against an overload whose end is not logged.
func TestOverloadIsLoggedOnceForAGroup(t *testing.T) {
	e, f := newGatherFanout(t)
	var log bytes.Buffer
	logger, err := events.New(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	e.logger = logger
	saturate(f)
	for range 500 {
		f.limiter.Ask(start, e.intakeRequest(f.request.Route, start, f.deadline))
		e.observeOverload(start)
	}
	for range 3 {
		e.observeOverload(start.Add(time.Minute))
	}
	for event, want := range map[string]int{`"event":524`: 1, `"event":525`: 1} {
		if got := strings.Count(log.String(), event); got != want {
			t.Errorf("got %d events %s, want %d: %s", got, event, want, log.String())
		}
	}
}

// Guards against a limit that falls for failures that say nothing about the load, and against one that ignores searchers that shed.
func TestAdmissionOutcome(t *testing.T) {
	late := start.Add(time.Second)
	tests := map[string]struct {
		answer     Answer
		partReason wire.Reason
		now        time.Time
		want       intake.Outcome
	}{
		"merged":                {answer: Merged{}, now: start, want: intake.InTime{}},
		"merged late":           {answer: Merged{}, now: late, want: intake.Late{}},
		"caller gone":           {answer: Refused{Reason: wire.Reason_REASON_CALLER_GONE}, now: late, want: intake.Ignored{}},
		"shed":                  {answer: Refused{Reason: wire.Reason_REASON_COVERAGE}, partReason: wire.Reason_REASON_SEARCHER_SHED, now: start, want: intake.Late{}},
		"a searcher is missing": {answer: Refused{Reason: wire.Reason_REASON_COVERAGE}, partReason: wire.Reason_REASON_NO_REPLICA, now: start, want: intake.Ignored{}},
		"deadline":              {answer: Refused{Reason: wire.Reason_REASON_DEADLINE}, now: late, want: intake.Late{}},
		"forwarded error":       {answer: Forwarded{}, now: late, want: intake.Ignored{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, f := newGatherFanout(t)
			e.clock = func() time.Time { return test.now }
			f.parts[0].settled, f.parts[0].reason = test.partReason != wire.Reason_REASON_UNSPECIFIED, test.partReason
			if got := f.admissionOutcome(test.answer); got != test.want {
				t.Errorf("got %T, want %T", got, test.want)
			}
		})
	}
}

// Guards against a waiting request that keeps its place for seconds after its caller has left or the node's stop time has come.
func TestWaitingRequestIsWithdrawn(t *testing.T) {
	tests := map[string]struct {
		gone  bool
		endIn time.Duration
		want  wire.Reason
	}{
		"caller gone": {gone: true, want: wire.Reason_REASON_CALLER_GONE},
		"node stops":  {endIn: 150 * time.Millisecond, want: wire.Reason_REASON_DEADLINE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, f := newSingleFanout(t)
			e.clock = time.Now
			now := time.Now()
			f.started, f.deadline = now, now.Add(10*time.Second)
			f.request.CallerGone = func() bool { return test.gone }
			r := e.intakeRequest(f.request.Route, now, f.deadline)
			r.Goal, r.Rank = r.Deadline, 0
			for {
				if _, ok := f.limiter.Preview(now, r).(intake.Run); !ok {
					break
				}
				f.limiter.Ask(now, r)
			}
			ticket := f.limiter.Ask(now, r)
			if !ticket.Waited() {
				t.Fatal("the request does not wait")
			}
			if test.endIn > 0 {
				e.EndBy(now.Add(test.endIn))
			}
			answer, ok := f.await(ticket).(intake.Refuse)
			if took := time.Since(now); !ok || answer.Reason != test.want || took > time.Second || f.limiter.Waits() {
				t.Errorf("got %+v after %v, waiting %v, want a refusal for %v", answer, took, f.limiter.Waits(), test.want)
			}
		})
	}
}

// Guards against a limit that does not fall for requests without a goal, which end just before their deadline when searchers are overloaded.
func TestDeadlineOfRequestWithoutGoalIsLate(t *testing.T) {
	e, f := newGatherFanout(t)
	policy := f.request.Route.Policy()
	policy.Goal = 0
	r, err := route.NewRoute("r", "h", "/r/", f.request.Route.Target(), policy)
	if err != nil {
		t.Fatal(err)
	}
	f.request.Route = r
	tests := map[string]struct {
		now  time.Time
		want intake.Outcome
	}{
		"at the deadline":    {now: f.deadline.Add(-minRemaining), want: intake.Late{}},
		"by a stop, earlier": {now: start.Add(policy.Timeout / 2), want: intake.Ignored{}},
	}
	for name, test := range tests {
		e.clock = func() time.Time { return test.now }
		if got := f.admissionOutcome(Refused{Reason: wire.Reason_REASON_DEADLINE}); got != test.want {
			t.Errorf("%s: got %T, want %T", name, got, test.want)
		}
	}
}

// Guards against room that is never given back when a request panics: the limiter would refuse more and more.
func TestPanicReleasesRoom(t *testing.T) {
	e, f := newSingleFanout(t)
	now := start
	e.clock = func() time.Time { return now }
	f.request.CallerGone = func() bool { panic("caller") }
	func() {
		defer func() { _ = recover() }()
		now = now.Add(2 * disconnectPollInterval)
		f.runAdmitted()
	}()
	if got := f.limiter.State(now).Running; got != 0 {
		t.Errorf("got %d running requests, want none", got)
	}
}
