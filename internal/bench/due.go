package bench

import (
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
)

// demand is what a plan offers, in queries/s.
type demand struct {
	plan   benchPlan
	offers float64
}

// dueShares returns the queries/s that each plan is due of a capacity: each rank up to its floor, the rest by
// priority, and within a rank by weight. No plan is due more than it offers.
func dueShares(capacity float64, demands []demand) map[string]float64 {
	var offers, granted [plans.NumRanks]float64
	for _, d := range demands {
		offers[d.plan.rank] += d.offers
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
		divide(granted[rank], rank, demands, due)
	}
	return due
}

// divide shares a rank's part among its plans by weight; what a plan does not need goes to the others.
func divide(part float64, rank plans.Rank, demands []demand, due map[string]float64) {
	var hungry []demand
	for _, d := range demands {
		if d.plan.rank == rank && d.offers > 0 {
			hungry = append(hungry, d)
		}
	}
	for len(hungry) > 0 {
		weights := 0.0
		for _, d := range hungry {
			weights += float64(d.plan.weight)
		}
		var rest []demand
		given := 0.0
		for _, d := range hungry {
			if d.offers <= part*float64(d.plan.weight)/weights {
				due[d.plan.name] = d.offers
				given += d.offers
				continue
			}
			rest = append(rest, d)
		}
		if given == 0 {
			for _, d := range rest {
				due[d.plan.name] = part * float64(d.plan.weight) / weights
			}
			return
		}
		part -= given
		hungry = rest
	}
}
