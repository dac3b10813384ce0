package relay

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/route"
)

// Guards against a choice that allocates for each attempt.
func TestChoiceAllocations(t *testing.T) {
	f := newHomeFleet(t, append(spread, placed{id: "a3", zone: "near-a"}, placed{id: "f3", zone: "far-a"}), route.NewHomes("near"))
	run := newFanout(f.engine, time.Now(), f.request())
	defer run.cancel()
	p := &run.parts[0]
	p.tried = append(p.tried, f.endpoint("a1"))
	now := time.Now()
	if got := testing.AllocsPerRun(100, func() { f.engine.balancer.choose(now, run.demand(now, p)) }); got > 0 {
		t.Errorf("got %v allocations, want none", got)
	}
}
