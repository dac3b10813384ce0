package relay

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Guards against an explanation that names another searcher, or another cause, than a request would get.
func TestPlacementVerdicts(t *testing.T) {
	record := func(f *homeFleet, id string, outcome health.Outcome, latency time.Duration) {
		tracker, now := f.endpoint(id).tracker, time.Now()
		for range 8 {
			tracker.End(now, tracker.Begin(now.Add(-latency), 0), outcome)
		}
	}
	tests := map[string]struct {
		searchers []placed
		homes     route.Homes
		change    func(f *homeFleet)
		want      map[string]string
		wantNone  wire.Reason
	}{
		"near before far": {searchers: []placed{{id: "a1", zone: "near-a"}, {id: "f1", zone: "far-a"}}, want: map[string]string{"a1": "chosen", "f1": "higher_cost"}},
		"home regions":    {searchers: []placed{{id: "a1", zone: "near-a"}, {id: "f1", zone: "far-a"}}, homes: route.NewHomes("far"), want: map[string]string{"a1": "outside_home_regions", "f1": "chosen"}},
		"no home region":  {searchers: []placed{{id: "a1", zone: "near-a"}}, homes: route.NewHomes(), want: map[string]string{"a1": "outside_home_regions"}, wantNone: wire.Reason_REASON_HOME_REGION},
		"evacuated":       {searchers: spread[1:3], change: func(f *homeFleet) { f.evacuate("near-a") }, want: map[string]string{"a2": "evacuated", "b1": "chosen"}},
		"all evacuated":   {searchers: spread[:1], change: func(f *homeFleet) { f.evacuate("near-a") }, want: map[string]string{"a1": "evacuated"}, wantNone: wire.Reason_REASON_ZONE_EVACUATED},
		"evacuated, then leaves": {searchers: spread[:1], change: func(f *homeFleet) {
			f.evacuate("near-a")
			f.register(placed{id: "a1", zone: "near-a", leaving: true})
			f.evacuate()
		}, want: map[string]string{"a1": "leaving"}, wantNone: wire.Reason_REASON_NO_REPLICA},
		"registered leave": {searchers: []placed{{id: "a1", zone: "near-a", leaving: true}, {id: "b1", zone: "near-b"}}, want: map[string]string{"a1": "leaving", "b1": "chosen"}},
		"stated leave":     {searchers: spread[:1], change: func(f *homeFleet) { f.endpoint("a1").leave() }, want: map[string]string{"a1": "leaving"}, wantNone: wire.Reason_REASON_NO_REPLICA},
		"replaced":         {searchers: spread[1:3], change: func(f *homeFleet) { f.endpoint("a2").replaced.Store(true) }, want: map[string]string{"a2": "replaced", "b1": "chosen"}},
		"paused":           {searchers: spread[1:3], change: func(f *homeFleet) { f.endpoint("a2").pacer.Pause(time.Now(), time.Minute) }, want: map[string]string{"a2": "paused", "b1": "chosen"}},
		"all paused":       {searchers: spread[:1], change: func(f *homeFleet) { f.endpoint("a1").pacer.Pause(time.Now(), time.Minute) }, want: map[string]string{"a1": "paused"}, wantNone: wire.Reason_REASON_SEARCHER_PAUSED},
		"limited": {searchers: spread[1:3], change: func(f *homeFleet) {
			f.endpoint("a2").pacer.Observe(time.Now(), time.Now(), pace.PerSecond(0.001))
		}, want: map[string]string{"a2": "limited", "b1": "chosen"}},
		"avoided": {searchers: spread[1:3], change: func(f *homeFleet) { record(f, "a2", health.Unreachable{}, 0) }, want: map[string]string{"a2": "avoided", "b1": "chosen"}},
		"stalled": {searchers: spread[1:3], change: func(f *homeFleet) { f.endpoint("a2").tracker.Begin(time.Now().Add(-100*time.Millisecond), 0) },
			want: map[string]string{"a2": "stalled", "b1": "chosen"}},
		"slow": {searchers: spread[1:3], change: func(f *homeFleet) {
			record(f, "a2", health.Replied{}, 100*time.Millisecond)
			record(f, "b1", health.Replied{}, 5*time.Millisecond)
		}, want: map[string]string{"a2": "higher_cost", "b1": "chosen"}},
		"no searchers": {wantNone: wire.Reason_REASON_NO_REPLICA},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newHomeFleet(t, test.searchers, test.homes)
			if test.change != nil {
				test.change(f)
			}
			now := time.Now()
			report := f.engine.Placement(now, f.table.Routes()[0], 0)
			service := report.Services[0]
			for _, s := range service.Searchers {
				if s.Verdict != test.want[s.ID] {
					t.Errorf("%s: got verdict %s, want %s", s.ID, s.Verdict, test.want[s.ID])
				}
			}
			if got := len(service.Searchers); got != len(test.want) {
				t.Errorf("got %d searchers, want %d", got, len(test.want))
			}
			run := newFanout(f.engine, now, f.request())
			defer run.cancel()
			chosen, ok := f.engine.balancer.choose(now, run.demand(now, &run.parts[0]))
			switch {
			case ok != (test.wantNone == wire.Reason_REASON_UNSPECIFIED):
				t.Errorf("got a searcher chosen for a request: %v, want refused for %v", ok, test.wantNone)
			case ok && (chosen.endpoint.searcher.ID() != service.Chosen || service.Refusal != ""):
				t.Errorf("got %q chosen and refusal %q, want %s as for a request", service.Chosen, service.Refusal, chosen.endpoint.searcher.ID())
			case !ok && (service.Chosen != "" || service.Refusal != nameOf(chosen.exclusionReason()) || service.Refusal != nameOf(test.wantNone)):
				t.Errorf("got %q chosen and refusal %q, want %s as for a request", service.Chosen, service.Refusal, nameOf(test.wantNone))
			}
		})
	}
}

// Guards against an explanation that takes the next service of a split route, a place in a limiter, or room at a searcher from a request.
func TestPlacementChangesNothing(t *testing.T) {
	f := newHomeFleet(t, []placed{{id: "a1", zone: "near-a"}}, route.Homes{})
	split, err := route.NewRoute("s", "h", "/s/", route.Split{Shares: []route.Share{{Service: "one", Weight: 1}, {Service: "two", Weight: 3}, {Service: "none", Weight: 0}}}, f.policy)
	if err != nil {
		t.Fatal(err)
	}
	gather, err := route.NewRoute("g", "h", "/g/", route.Gather{Shards: []string{"one"}, Top: 1, MinCoverage: 1}, f.policy)
	if err != nil {
		t.Fatal(err)
	}
	f.endpoint("a1").pacer.Observe(time.Now().Add(-time.Hour), time.Now().Add(-time.Hour), pace.PerSecond(1))
	f.engine.balancer.maintain(time.Now())
	var counts [2]int
	for range 400 {
		if service, _ := split.Next(); service == "two" {
			counts[0]++
		}
		f.engine.Placement(time.Now(), split, time.Second)
		report := f.engine.Placement(time.Now(), gather, time.Second)
		if got := report.Admission.Decision; got != "run" {
			t.Fatalf("got admission decision %q, want run", got)
		}
	}
	if got := counts[0]; got < 295 || got > 305 {
		t.Errorf("got %d of 400 requests for the service of weight 3 of 4, want 300", got)
	}
	if got := len(f.engine.Limits()); got != 0 {
		t.Errorf("got %d limiters, want none", got)
	}
	if got := f.engine.attempts.Count(); got != 0 || !f.endpoint("a1").pool.Empty() {
		t.Errorf("got %d attempts or open connections, want none", got)
	}
	report := f.engine.Placement(time.Now(), split, 0)
	if len(report.Services) != 3 || report.Services[1].Weight == nil || *report.Services[1].Weight != 3 || report.Refusal != "" {
		t.Errorf("got %+v, want all services with their weights", report)
	}
}

// Guards against a decision on admission that differs from what the limiter would do, and against an explanation that changes its state.
func TestPlacementAdmission(t *testing.T) {
	tests := map[string]struct {
		asked int
		want  string
	}{
		"free": {want: "run"},
		"full": {asked: 2000, want: "refuse"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newHomeFleet(t, []placed{{id: "a1", zone: "near-a"}}, route.Homes{})
			r, err := route.NewRoute("g", "h", "/g/", route.Gather{Shards: []string{"one"}, Top: 1, MinCoverage: 1}, f.policy)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Now()
			limiter := f.engine.limiterFor(r)
			request := f.engine.intakeRequest(r, now, now.Add(time.Second))
			for range test.asked {
				limiter.Ask(now, request)
			}
			before := limiter.State(now)
			if got := f.engine.Placement(now, r, 0).Admission.Decision; got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
			if got := limiter.State(now); got != before {
				t.Errorf("got state %+v after the explanation, want %+v", got, before)
			}
			if got := decisionName(limiter.Decision(limiter.Ask(now, request))); got != test.want {
				t.Errorf("got %s by the limiter, want %s", got, test.want)
			}
		})
	}
}

func decisionName(d intake.Decision) string {
	switch d.(type) {
	case intake.Run:
		return "run"
	case intake.Wait:
		return "wait"
	default:
		return "refuse"
	}
}

// Guards against an explanation of a node that reaches no searchers which says that it would serve.
func TestPlacementAtStrandedNode(t *testing.T) {
	f := newHomeFleet(t, []placed{{id: "a1", zone: "near-a"}}, route.Homes{})
	f.engine.stranded.Store(true)
	if got, want := f.engine.Placement(time.Now(), f.table.Routes()[0], 0).Refusal, nameOf(wire.Reason_REASON_LINKS_LOST); got != want {
		t.Errorf("got refusal %q, want %q", got, want)
	}
}

func nameOf(r wire.Reason) string { return reason.Name(r) }
