package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/route"
)

// Guards against a choice that allocates for each attempt.
func TestChoiceAllocations(t *testing.T) {
	searchers := slices.Clone(spread)
	for i := len(searchers); i < inlineCandidates; i++ {
		searchers = append(searchers, placed{id: fmt.Sprintf("c%d", i), zone: "near-b"})
	}
	f := newHomeFleet(t, searchers, route.NewHomes("near"))
	run := newFanout(f.engine, time.Now(), f.request())
	defer run.cancel()
	p := &run.parts[0]
	p.tried = append(p.tried, f.endpoint("a1"))
	now := time.Now()
	if got := testing.AllocsPerRun(100, func() { f.engine.balancer.choose(now, run.demand(now, p)) }); got > 0 {
		t.Errorf("got %v allocations, want none", got)
	}
}
