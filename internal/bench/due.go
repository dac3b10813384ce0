package bench

import (
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
)

// demand is the load that a plan offers, in queries/s.
type demand struct {
	plan    benchPlan
	offered float64
}

// dueShares returns the share of a capacity, in queries/s, that each plan is due. Each rank gets up to its floor, the rest goes
// to the ranks by priority, and within a rank to the plans by weight. No plan is due more than it offers.
func dueShares(capacity float64, demands []demand) map[string]float64 {
	var offers, granted [plans.NumRanks]float64
	for _, d := range demands {
		offers[d.plan.rank] += d.offered
	}
	left := capacity
	for rank, floor := range queue.DefaultFloors() {
		granted[rank] = min(offers[rank], floor*capacity)
		left -= granted[rank]
	}
	for rank := range granted {
		more := min(offers[rank]-granted[rank], max(left, 0))
		granted[rank] += more
		left -= more
	}
	due := make(map[string]float64)
	for _, rank := range plans.Ranks() {
		divideByWeight(granted[rank], rank, demands, due)
	}
	return due
}

// divideByWeight divides a rank's share of the capacity among its plans by weight. A plan that offers less than its share gets what it
// offers, and the others get the remainder.
func divideByWeight(capacity float64, rank plans.Rank, demands []demand, due map[string]float64) {
	var unsatisfied []demand
	for _, d := range demands {
		if d.plan.rank == rank && d.offered > 0 {
			unsatisfied = append(unsatisfied, d)
		}
	}
	for len(unsatisfied) > 0 {
		weights := 0.0
		for _, d := range unsatisfied {
			weights += float64(d.plan.weight)
		}
		var remaining []demand
		satisfied := 0.0
		for _, d := range unsatisfied {
			if d.offered <= capacity*float64(d.plan.weight)/weights {
				due[d.plan.name] = d.offered
				satisfied += d.offered
				continue
			}
			remaining = append(remaining, d)
		}
		if satisfied == 0 {
			for _, d := range remaining {
				due[d.plan.name] = capacity * float64(d.plan.weight) / weights
			}
			return
		}
		capacity -= satisfied
		unsatisfied = remaining
	}
}
