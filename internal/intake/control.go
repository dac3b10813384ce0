package intake

import (
	"math"
	"slices"
	"time"
)

const (
	// lateWeight is the weight of one request in the late share of its own rank. crossRankDecay is the fraction by which each request lowers
	// the late shares of all ranks, so that the share of an inactive rank decays.
	lateWeight     = 0.03
	crossRankDecay = 0.005
	// A request after a longer time weighs more, by its part of lateTime up to mostLateWeight: few requests to one searcher end in a second.
	lateTime       = 8 * time.Second
	mostLateWeight = 0.1
	// tightShare is the fraction of the goal from which on an answer in time counts as half late: latency rises before answers are late.
	tightShare = 0.75
	// Above highLateShare the limit falls, at most once in the time that a request takes, since its effect is not seen earlier; below
	// lowLateShare it grows by growth requests in as many as the limit.
	highLateShare = 0.25
	lowLateShare  = 0.1
	growth        = 1.0
	// While fewer than noLateShare are late the limit grows fastGrowth times as fast, since it is far from what the searchers can take.
	noLateShare = 0.01
	fastGrowth  = 4.0
	// minShedLimit is the limit below which requests that were turned away do not lower it, in requests of the costliest route: searchers
	// may turn requests away for other reasons than their number.
	minShedLimit = 4.0
	// A fall leaves what ends within targetShare of the goal, at least mildDecrease and at most strongDecrease of the limit.
	targetShare    = 0.6
	mildDecrease   = 0.9
	strongDecrease = 0.75
	// minUsedShare is the fraction of the limit that must be in use for the limit to change: below that, requests are late for other reasons, such
	// as paused searchers.
	minUsedShare = 0.8
	// latencyWeight is the weight of one request in the recent latency.
	latencyWeight = 0.1
)

// control learns the limit of the work in flight. Work and latency are in milliseconds.
type control struct {
	// learned is 0 until the limit has changed for the first time; until then initial is the work that the slots do within the goal.
	learned float64
	initial float64
	late    [numRanks]float64
	// latency is the recent latency of requests, goal the recent goal of the rank that is late most.
	latency   float64
	goals     [numRanks]float64
	sampledAt [numRanks]time.Time
	decreased time.Time
}

func (c *control) limit(unit float64) float64 {
	if c.learned == 0 {
		return min(max(c.initial, leastInitialLimit*unit), mostInitialLimit*unit)
	}
	return max(c.learned, minLimit*unit)
}

func (c *control) lateShare() float64 { return slices.Max(c.late[:]) }

// expect sets the initial limit from this node's part of the slots and the shortest goal.
func (c *control) expect(rank int, slots float64, goal time.Duration) {
	c.goals[rank] = milliseconds(goal)
	if c.learned > 0 {
		return
	}
	if slots == 0 {
		c.initial = math.Inf(1)
		return
	}
	least := math.Inf(1)
	for _, known := range c.goals {
		if known > 0 {
			least = min(least, known)
		}
	}
	c.initial = slots * least * targetShare
}

// shed lowers the limit below the work in flight when searchers turn requests away, however little of the limit is in use: requests that
// are turned away hardly use it.
func (c *control) shed(now time.Time, unit, inFlight float64) {
	if c.lateShare() <= highLateShare || milliseconds(now.Sub(c.decreased)) < c.latency || c.limit(unit) <= minShedLimit*unit {
		return
	}
	c.learned = min(c.limit(unit), max(inFlight, minShedLimit*unit))
	c.adjust(now, unit, inFlight)
	c.learned = max(c.learned, minShedLimit*unit)
}

// record counts an answer in time.
func (c *control) record(now time.Time, rank int, took, goal time.Duration) {
	sample := 0.0
	if float64(took) > tightShare*float64(goal) {
		sample = 0.5
	}
	c.sample(now, rank, sample, took)
}

// recordLate counts a request without an answer within the goal.
func (c *control) recordLate(now time.Time, rank int, took time.Duration) {
	c.sample(now, rank, 1, took)
}

func (c *control) sample(now time.Time, rank int, late float64, took time.Duration) {
	for other := range c.late {
		c.late[other] -= c.late[other] * crossRankDecay
	}
	weight := min(max(float64(now.Sub(c.sampledAt[rank]))/float64(lateTime), lateWeight), mostLateWeight)
	c.sampledAt[rank] = now
	c.late[rank] += (late - c.late[rank]) * weight
	c.recordLatency(took)
}

func (c *control) recordLatency(took time.Duration) {
	if c.latency == 0 {
		c.latency = milliseconds(took)
	}
	c.latency += (milliseconds(took) - c.latency) * latencyWeight
}

func (c *control) adjust(now time.Time, unit, inFlight float64) {
	limit, late := c.limit(unit), c.lateShare()
	switch {
	case late > highLateShare:
		if milliseconds(now.Sub(c.decreased)) < c.latency {
			return
		}
		c.decreased = now
		worst := slices.Index(c.late[:], late)
		sustained := c.rate(inFlight, unit) * c.goals[worst] * targetShare
		c.learned = max(min(max(sustained, limit*strongDecrease), limit*mildDecrease), minLimit*unit)
		c.late[worst] = (highLateShare + lowLateShare) / 2
	case late < lowLateShare:
		step := growth
		if late < noLateShare {
			step *= fastGrowth
		}
		c.learned = min(limit+step*unit*unit/limit, maxLimit*unit)
	}
}

// rate returns the work that ends per millisecond, by Little's law.
func (c *control) rate(inFlight, unit float64) float64 {
	latency := c.latency
	if latency == 0 {
		// Before the first answer it is not known; an answer is to come within the goal.
		latency = max(slices.Max(c.goals[:]), 1)
	}
	return max(inFlight, unit) / latency
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
