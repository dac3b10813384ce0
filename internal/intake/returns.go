package intake

import (
	"math"
	"time"
)

const (
	// maxReturnPart is the part of the time left, a third, beyond which callers do not follow a retry delay.
	maxReturnPart = 3
	// returnRateShare is the fraction of the rate at which work ends that is expected to be free for callers that come back.
	returnRateShare = 0.5
	// minReturn is the least retry delay: what was refused now would be refused again at once.
	minReturn = 10 * time.Millisecond
	// spreadStep is the golden section, whose multiples are spread evenly however many are taken.
	spreadStep = 0.6180339887498949
)

// returns schedules when refused callers come back: one after another at the rate at which room is expected, urgent ranks first.
type returns struct {
	// nextAt is when the next caller of a rank is to come back.
	nextAt [numRanks]time.Time
	spread float64
}

// next returns the retry delay for a refused request, while work ends at a rate.
func (r *returns) next(now time.Time, t *Ticket, rate float64) time.Duration {
	at := r.earliest(now, t.rank).Add(duration(t.cost / (rate * returnRateShare)))
	useful, most := usefulReturn(now, t), LongestReturn(t.request.Deadline.Sub(now))
	if after := at.Sub(now); after <= useful {
		r.nextAt[t.rank] = at
		return after
	}
	// The callers that are due already take all room that is expected before an answer is late. This one comes back behind them.
	if behind := now.Add(useful); behind.After(r.nextAt[t.rank]) {
		r.nextAt[t.rank] = behind
	}
	r.spread = math.Mod(r.spread+spreadStep, 1)
	return useful + time.Duration(float64(most-useful)*r.spread)
}

// peek returns about what next would return.
func (r *returns) peek(now time.Time, t *Ticket) time.Duration {
	return min(r.earliest(now, t.rank).Sub(now), usefulReturn(now, t))
}

// earliest returns when the callers of a rank and of more urgent ones that were refused before are back.
func (r *returns) earliest(now time.Time, rank int) time.Time {
	at := now.Add(minReturn)
	for urgent := range rank + 1 {
		if r.nextAt[urgent].After(at) {
			at = r.nextAt[urgent]
		}
	}
	return at
}

// LongestReturn returns the longest retry delay that a caller follows which has so much time left.
func LongestReturn(left time.Duration) time.Duration { return max(left, 0) / maxReturnPart }

// usefulReturn returns the longest retry delay after which a caller can still be served in time, or the longest that it follows if that is shorter
// or if it is too late.
func usefulReturn(now time.Time, t *Ticket) time.Duration {
	longest := LongestReturn(t.request.Deadline.Sub(now))
	if useful := t.request.Goal.Sub(now) - t.service; useful > minReturn {
		return min(useful, longest)
	}
	return longest
}
