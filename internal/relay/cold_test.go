package relay

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const warmup = 10 * time.Second

// coldStage is an engine, the registrations it knows and the time.
type coldStage struct {
	t        *testing.T
	e        *Engine
	registry *fleet.Registry
	table    *route.Table
	now      time.Time
	revision epoch.Revision
}

func newColdStage(t *testing.T, perSecond float64) *coldStage {
	t.Helper()
	table, err := route.New(1, nil, []route.Service{route.NewService("one", 26).WithWarmup(route.Warmup{Duration: warmup, PerSecond: perSecond})}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	s := &coldStage{t: t, registry: fleet.New(), table: table, now: start}
	s.e = newEngine(func() time.Time { return s.now })
	s.e.SetNodes(NodeCounts{
		Active: 1, ByRegion: map[string]int{"": 1}, SelfActive: true, Members: pace.NewMembers("self", map[string][]string{"": {"self"}}),
		Census: pace.Census{Live: []string{"self"}, Known: []string{"self"}},
	})
	return s
}

// pass lets time pass.
func (s *coldStage) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.e.balancer.maintain(s.now)
}

func (s *coldStage) update() { s.e.Update(s.registry.Snapshot(), s.table) }

// register registers the searcher again.
func (s *coldStage) register(born time.Time, left time.Duration) {
	s.revision++
	searcher := fleet.NewSearcher("i-1", "one", "127.0.0.1:1", "z", 2, false, born.UnixMilli(), s.revision, fleet.WarmupLeft(left))
	s.registry.Apply(s.now, []*fleet.Searcher{searcher}, nil, time.Time{})
	s.update()
}

func (s *coldStage) evacuate(zones ...string) {
	s.registry.SetEvacuated(zones)
	s.update()
}

func (s *coldStage) unregister() {
	s.registry.Apply(s.now, nil, []string{"i-1"}, time.Time{})
	s.update()
}

func (s *coldStage) cold() bool {
	s.t.Helper()
	for _, ep := range s.e.balancer.current.Load().byService["one"] {
		return ep.pacer.Cold(s.now)
	}
	s.t.Fatal("got no searcher")
	return false
}

// Guards against a searcher that gets the full load while it is cold, and against one that is limited though it is warm, in particular all of
// them after this node has started.
func TestWhenSearcherIsCold(t *testing.T) {
	longAgo, recently := start.Add(-3*time.Hour), start.Add(-2*time.Second)
	tests := map[string]struct {
		perSecond float64
		play      func(s *coldStage)
		// want is the time for which the searcher is cold from then on.
		want time.Duration
	}{
		"long-running when the node starts": {perSecond: 5, play: func(s *coldStage) { s.register(longAgo, 0) }},
		"just started when the node starts": {perSecond: 5, play: func(s *coldStage) { s.register(recently, 0) }, want: 8 * time.Second},
		"its clock is far ahead":            {perSecond: 5, play: func(s *coldStage) { s.register(start.Add(time.Hour), 0) }},
		"its clock is a bit ahead":          {perSecond: 5, play: func(s *coldStage) { s.register(start.Add(3*time.Second), 0) }, want: warmup},
		"states it when the node starts":    {perSecond: 5, play: func(s *coldStage) { s.register(longAgo, 4*time.Second) }, want: 4 * time.Second},
		"becomes cold again": {perSecond: 5, play: func(s *coldStage) {
			s.register(longAgo, 0)
			s.pass(time.Minute)
			s.register(longAgo, 7*time.Second)
		}, want: 7 * time.Second},
		"the same registration is applied again": {perSecond: 5, play: func(s *coldStage) {
			s.register(longAgo, 4*time.Second)
			s.pass(3 * time.Second)
			s.update()
		}, want: time.Second},
		"starts during traffic": {perSecond: 5, play: func(s *coldStage) {
			s.update()
			s.register(longAgo, 0)
		}, want: warmup},
		"restarts under its id": {perSecond: 5, play: func(s *coldStage) {
			s.register(longAgo, 0)
			s.pass(time.Minute)
			s.register(longAgo.Add(time.Second), 0)
		}, want: warmup},
		"registers again": {perSecond: 5, play: func(s *coldStage) {
			s.register(longAgo, 0)
			s.unregister()
			s.pass(time.Minute)
			s.register(longAgo, 0)
		}, want: warmup},
		"returns from an evacuation": {perSecond: 5, play: func(s *coldStage) {
			s.register(longAgo, 0)
			s.evacuate("z")
			s.pass(time.Minute)
			s.evacuate()
		}, want: warmup},
		"renewals of a warm searcher": {perSecond: 5, play: func(s *coldStage) {
			s.register(longAgo, 0)
			for range 5 {
				s.pass(1200 * time.Millisecond)
				s.register(longAgo, 0)
			}
		}},
		"no rate": {play: func(s *coldStage) {
			s.update()
			s.register(longAgo, time.Minute)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newColdStage(t, test.perSecond)
			test.play(s)
			const margin = 10 * time.Millisecond
			if test.want > 0 {
				s.pass(test.want - margin)
				if !s.cold() {
					t.Errorf("got warm %v before the end of its warm-up", margin)
				}
				s.pass(2 * margin)
			}
			if s.cold() {
				t.Error("got cold, want warm")
			}
		})
	}
}

// Guards against requests that a cold searcher has no room for and that are not refused as such, and against a sole cold searcher that is never
// used.
func TestColdSearcherGetsItsShare(t *testing.T) {
	const perSecond, step = 5.0, 10 * time.Millisecond
	s := newColdStage(t, perSecond)
	s.update()
	s.register(start, 0)
	sent := 0
	for range int(warmup / step) {
		s.pass(step)
		chosen, ok := s.e.balancer.choose(s.now, demand{service: "one", timeLeft: time.Second})
		if !ok {
			if got := chosen.exclusionReason(); got != wire.Reason_REASON_SEARCHER_COLD || !chosen.temporarilyExcluded() {
				t.Fatalf("got reason %v, temporary %v, want searcher_cold for a while", got, chosen.temporarilyExcluded())
			}
			continue
		}
		if !chosen.endpoint.pacer.Take(s.now) {
			t.Fatal("got a searcher without room chosen")
		}
		sent++
	}
	if most := perSecond * warmup.Seconds(); sent < int(most/4) || sent > int(most) {
		t.Errorf("got %d requests while it warmed up, want %v to %v", sent, most/4, most)
	}
}

// Guards against a searcher that gets as many requests as others though it reports that requests wait or that its machine is slow, and against
// old figures that still keep requests from it.
func TestReportedLoad(t *testing.T) {
	const requests = 400
	report := func(running, waiting, slowness float64) health.Load {
		load, ok := health.NewLoad(running, waiting, 4, slowness)
		if !ok {
			t.Fatal("got no figures")
		}
		return load
	}
	tests := map[string]struct {
		load health.Load
		age  time.Duration
		// most is the greatest share of the requests; an even one is half.
		most, least float64
	}{
		"none":              {least: 0.35, most: 0.65},
		"free slots":        {load: report(3, 0, 1), least: 0.35, most: 0.65},
		"a queue":           {load: report(4, 9, 1), most: 0.1},
		"a slow machine":    {load: report(1, 0, 4), most: 0.1},
		"an old queue":      {load: report(4, 9, 1), age: 2 * time.Second, least: 0.35, most: 0.65},
		"an old slow state": {load: report(1, 0, 4), age: 2 * time.Second, least: 0.35, most: 0.65},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 4, 26, nil)
			var near, far []*endpoint
			for _, ep := range b.current.Load().byService["one"] {
				if ep.searcher.Zone() == "z-near" {
					near = append(near, ep)
				} else {
					far = append(far, ep)
				}
				for range 5 {
					ep.tracker.End(start, ep.tracker.Begin(start.Add(-10*time.Millisecond), 0), health.Replied{})
				}
			}
			near[0].tracker.ObserveLoad(start, test.load)
			chosenFirst := 0
			for range requests {
				chosen, ok := b.choose(start.Add(test.age), demand{service: "one", timeLeft: 100 * time.Millisecond, tried: far})
				if !ok {
					t.Fatal("got no searcher")
				}
				if chosen.endpoint == near[0] {
					chosenFirst++
				}
			}
			if got := float64(chosenFirst) / requests; got < test.least || got > test.most {
				t.Errorf("got a share of %.2f, want %.2f to %.2f", got, test.least, test.most)
			}
		})
	}
}

// Guards against a query that loads the searchers of other shards, and that may have run, though it is certain that a shard that it needs has no
// room at its cold searchers.
func TestQueryOverColdShardIsNotBegun(t *testing.T) {
	s := newColdStage(t, 5)
	warm := route.NewService("two", 26)
	cold, _ := s.table.Service("one")
	r, err := route.NewRoute("r", "h", "/r/", route.Gather{Shards: []string{"one", "two"}, Top: 1, MinCoverage: 0.9},
		route.Policy{Idempotent: true, Timeout: time.Second, Goal: time.Second, MaxAttempts: 1})
	if err != nil {
		t.Fatal(err)
	}
	if s.table, err = route.New(2, []*route.Route{r}, []route.Service{cold, warm}, route.Limits{}); err != nil {
		t.Fatal(err)
	}
	s.registry.Apply(s.now, []*fleet.Searcher{fleet.NewSearcher("i-2", "two", "127.0.0.1:2", "z", 2, false, 1, 1)}, nil, time.Time{})
	s.update()
	s.register(start, 0)
	answer, ok := s.e.Serve(s.now, &Request{ID: "1", Route: r, Head: []byte("GET /r/ HTTP/1.1\r\n"), CallerGone: func() bool { return false }}).(Refused)
	if !ok || !answer.NotRun || answer.Reason != wire.Reason_REASON_SEARCHER_COLD {
		t.Errorf("got %+v, want a refusal as not run with reason searcher_cold", answer)
	}
	if got := s.e.attempts.Count(); got != 0 {
		t.Errorf("got %d attempts, want none", got)
	}
}
