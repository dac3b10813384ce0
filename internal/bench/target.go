package bench

import (
	"fmt"
	"math"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
)

// Bounds of the targets on the design page.
const (
	maxUrgentInflation = 1.3
	minFloorShare      = 0.90
	maxDueDeviation    = 0.10
	minOverloadGoodput = 0.95
	maxHedgedTailRatio = 0.5
	maxHedgesSteady    = 0.05
	maxHedgesSaturated = 0.005
	minThroughputShare = 0.60
	windowSteady       = "steady"
	windowFlood        = "flood"
	windowFault        = "fault"
	scenarioSteady     = "steady"
	scenarioBulk       = "bulk-flood"
	scenarioUrgent     = "urgent-flood"
	scenarioStragglers = "stragglers"
	scenarioHalfOpen   = "half-open"
)

// Target is a target of the design page with the measured value.
type Target struct {
	Name     string `json:"name"`
	Wanted   string `json:"wanted"`
	Measured string `json:"measured"`
	Met      bool   `json:"met"`
}

// find returns the result of a window, or false if it was not measured.
func (r *Report) find(scenario, variant, window string) (WindowResult, bool) {
	for _, result := range r.Results {
		if result.Scenario != scenario || result.Variant != variant {
			continue
		}
		for _, w := range result.Windows {
			if w.Name == window {
				return w, true
			}
		}
	}
	return WindowResult{}, false
}

// bestGoodput returns the highest goodput of any window under the full policy.
func (r *Report) bestGoodput() float64 {
	best := 0.0
	for _, result := range r.Results {
		if result.Variant != variantFull {
			continue
		}
		for _, w := range result.Windows {
			best = max(best, w.Goodput())
		}
	}
	return best
}

// evaluate compares the results with the targets. It omits targets that were not measured.
func (r *Report) evaluate() {
	r.Targets = nil
	r.evaluateUrgent()
	r.evaluateFloods()
	r.evaluateHedging()
	if t := r.Throughput; t != nil {
		r.addTarget("sub-requests/s through the tier over a bare client", atLeast(minThroughputShare), t.Share(), t.Share() >= minThroughputShare)
	}
	violations := r.Violations()
	r.Targets = append(r.Targets, Target{Name: "violated promises", Wanted: "0", Measured: fmt.Sprint(violations), Met: violations == 0})
}

func (r *Report) addTarget(name, wanted string, measured float64, met bool) {
	r.Targets = append(r.Targets, Target{Name: name, Wanted: wanted, Measured: fmt.Sprintf("%.3f", measured), Met: met})
}

func atLeast(bound float64) string { return fmt.Sprintf(">= %.3f", bound) }

func atMost(bound float64) string { return fmt.Sprintf("<= %.3f", bound) }

func (r *Report) evaluateUrgent() {
	for _, overload := range []struct{ scenario, window string }{{scenarioBulk, windowFlood}, {scenarioHalfOpen, windowFault}} {
		steady, known := r.find(overload.scenario, variantFull, windowSteady)
		loaded, ok := r.find(overload.scenario, variantFull, overload.window)
		if !known || !ok {
			continue
		}
		inflation := ratio(loaded.Rank(plans.Urgent).P99, steady.Rank(plans.Urgent).P99)
		r.addTarget(overload.scenario+": urgent p99 over its steady p99", atMost(maxUrgentInflation), inflation, inflation <= maxUrgentInflation)
	}
}

func (r *Report) evaluateFloods() {
	best := r.bestGoodput()
	for _, scenario := range []string{scenarioBulk, scenarioUrgent} {
		flood, ok := r.find(scenario, variantFull, windowFlood)
		if !ok {
			continue
		}
		for _, rank := range plans.Ranks() {
			r.evaluateFloor(scenario, flood, rank, best)
		}
		worst := 0.0
		for _, p := range flood.Plans {
			worst = max(worst, math.Abs(ratio(p.Goodput, p.Due)-1))
		}
		r.addTarget(scenario+": greatest deviation of a plan from its due share", atMost(maxDueDeviation), worst, worst <= maxDueDeviation)
		kept := ratio(flood.Goodput(), best)
		r.addTarget(scenario+": goodput over the best measured", atLeast(minOverloadGoodput), kept, kept >= minOverloadGoodput)
		r.addTarget(scenario+": hedges when saturated", atMost(maxHedgesSaturated), flood.Hedged(), flood.Hedged() <= maxHedgesSaturated)
	}
}

// evaluateFloor compares a rank's goodput with its floor, which is a share of the best goodput, or with its offered load if that is less.
func (r *Report) evaluateFloor(scenario string, w WindowResult, rank plans.Rank, best float64) {
	got := w.Rank(rank)
	kept := ratio(got.Goodput, min(got.Offered, queue.DefaultFloors()[rank]*best))
	r.addTarget(fmt.Sprintf("%s: %s goodput over its floor", scenario, rank), atLeast(minFloorShare), kept, kept >= minFloorShare)
}

func (r *Report) evaluateHedging() {
	if steady, ok := r.find(scenarioSteady, variantFull, windowSteady); ok {
		r.addTarget("steady: hedges over needed attempts", atMost(maxHedgesSteady), steady.Hedged(), steady.Hedged() <= maxHedgesSteady)
	}
	with, ok := r.find(scenarioStragglers, variantFull, windowFault)
	without, known := r.find(scenarioStragglers, variantNoHedging, windowFault)
	if !ok || !known {
		return
	}
	for _, rank := range plans.Ranks() {
		share := ratio(with.Rank(rank).P99, without.Rank(rank).P99)
		r.addTarget(fmt.Sprintf("stragglers: %s p99 with hedging over without", rank), atMost(maxHedgedTailRatio), share, share <= maxHedgedTailRatio)
	}
}
