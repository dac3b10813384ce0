package intake

import (
	"slices"
	"time"
)

const (
	// lateWeight is the weight of one request in the late share of its own rank. crossRankDecay is the fraction by which each request lowers
	// the late shares of all ranks, so that the share of an inactive rank decays.
	lateWeight     = 0.05
	crossRankDecay = 0.005
	// The limit is multiplied by decreaseFactor for each request that ends while the late share is above highLateShare. It grows by one request
	// of the costliest route in as many as the limit while the late share is below lowLateShare.
	highLateShare  = 0.25
	lowLateShare   = 0.1
	decreaseFactor = 0.95
	// minUsedShare is the fraction of the limit that must be in use for the limit to change: below that, requests are late for other reasons, such
	// as paused searchers.
	minUsedShare = 0.5
	// latencyWeight is the weight of one request in the recent latency.
	latencyWeight = 0.1
)

// control learns the limit of the work in flight. Work and latency are in milliseconds.
type control struct {
	// learned is the limit in requests of the costliest route.
	learned float64
	late    [numRanks]float64
	// latency is the recent latency of requests, goals the recent goals by rank.
	latency float64
	goals   [numRanks]float64
}

func (c *control) limit(unit float64) float64 { return c.learned * unit }

func (c *control) lateShare() float64 { return slices.Max(c.late[:]) }

// expect records the goal of a request.
func (c *control) expect(rank int, goal time.Duration) { c.goals[rank] = milliseconds(goal) }

// record counts a request that was answered in time or not.
func (c *control) record(rank int, late bool, took time.Duration) {
	sample := 0.0
	if late {
		sample = 1
	}
	for other := range c.late {
		c.late[other] -= c.late[other] * crossRankDecay
	}
	c.late[rank] += (sample - c.late[rank]) * lateWeight
	c.recordLatency(took)
}

func (c *control) recordLatency(took time.Duration) {
	if c.latency == 0 {
		c.latency = milliseconds(took)
	}
	c.latency += (milliseconds(took) - c.latency) * latencyWeight
}

func (c *control) adjust() {
	switch late := c.lateShare(); {
	case late > highLateShare:
		c.learned = max(c.learned*decreaseFactor, minLimit)
	case late < lowLateShare:
		c.learned = min(c.learned+1/c.learned, maxLimit)
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
