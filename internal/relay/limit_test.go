package relay

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// nameLimit makes the first searchers of the service one name a limit, and tells the engine of six nodes that share it.
func nameLimit(e *Engine, searchers int, limit float64) []*endpoint {
	members := pace.NewMembers("self", map[string][]string{"near": {"self", "b"}, "far": {"c", "d", "e", "f"}})
	endpoints := e.balancer.current.Load().byService["one"][:searchers]
	for _, ep := range endpoints {
		ep.pacer.SetMembers(start, members)
		ep.pacer.Observe(start, start, pace.PerSecond(limit))
	}
	return endpoints
}

// Guards against attempts, hedges among them, beyond this node's share of the limit that a searcher names.
func TestLimitedSearcherGetsItsShare(t *testing.T) {
	const limit, seconds = 10.0, 10
	e, f := newGatherFanout(t)
	limited := nameLimit(e, 2, limit)
	sent := make(map[*endpoint]int)
	for at := time.Duration(0); at < seconds*time.Second; at += 5 * time.Millisecond {
		now := start.Add(at)
		p := &part{service: "one"}
		f.mu.Lock()
		f.startAttempt(now, p, wire.Reason_REASON_UNSPECIFIED)
		f.hedge(now, p)
		f.mu.Unlock()
		for _, ep := range p.tried {
			sent[ep]++
		}
	}
	for _, ep := range limited {
		// No node has more than three quarters of a limit, and one request may have been saved up.
		if got, most := sent[ep], int(0.75*limit*seconds)+1; got > most {
			t.Errorf("searcher %s: got %d requests in %d s, want at most %d", ep.searcher.ID(), got, seconds, most)
		}
	}
}

// Guards against requests that wait for their deadline though the limits of all searchers leave no room, and against a false promise that
// such a request has run.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	e, f := newGatherFanout(t)
	nameLimit(e, 4, 1)
	began := time.Now()
	answer, ok := f.run().(Refused)
	if !ok || !answer.NotRun || answer.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal as not run, with a retry delay", answer)
	}
	if got, want := f.parts[0].reason, wire.Reason_REASON_SEARCHER_LIMIT; got != want {
		t.Errorf("got reason %v of the part, want %v", got, want)
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
}

// Guards against a starting node that takes a whole limit for itself, because it does not know the other nodes yet.
func TestDiscoveringNodeTakesNoShare(t *testing.T) {
	tests := map[string]struct {
		discovering bool
		want        bool
	}{
		"discovering":   {discovering: true},
		"the only node": {want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, _ := newGatherFanout(t)
			e.SetNodes(NodeCounts{
				Active: 1, ByRegion: map[string]int{"near": 1}, SelfActive: true, Discovering: test.discovering,
				Members: pace.NewMembers("self", map[string][]string{"near": {"self"}}),
			})
			ep := e.balancer.current.Load().byService["one"][0]
			ep.pacer.Observe(start, start, pace.PerSecond(10))
			e.balancer.maintain(start)
			if got := ep.pacer.Available(start.Add(time.Second)); got != test.want {
				t.Errorf("a second after the limit was named: got available %v, want %v", got, test.want)
			}
		})
	}
}
