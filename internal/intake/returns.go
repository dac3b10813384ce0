package intake

import (
	"math"
	"time"
)

const (
	// maxReturnShare is the fraction of the time left beyond which callers do not follow a retry delay.
	maxReturnShare = 1.0 / 3
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

// next returns the retry delay for a refused request.
func (r *returns) next(now time.Time, request Request, rank int, cost, rate float64, service time.Duration) time.Duration {
	at := r.earliest(now, rank).Add(duration(cost / (rate * returnRateShare)))
	useful, most := usefulReturn(now, request, service), longestReturn(now, request)
	if after := at.Sub(now); after <= useful {
		r.nextAt[rank] = at
		return after
	}
	// The callers that are due already take all room that is expected before an answer is late. This one comes back behind them.
	if behind := now.Add(useful); behind.After(r.nextAt[rank]) {
		r.nextAt[rank] = behind
	}
	r.spread = math.Mod(r.spread+spreadStep, 1)
	return useful + time.Duration(float64(most-useful)*r.spread)
}

// peek returns about what next would return.
func (r *returns) peek(now time.Time, request Request, rank int, service time.Duration) time.Duration {
	return min(r.earliest(now, rank).Sub(now), usefulReturn(now, request, service))
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

// longestReturn returns the longest retry delay that callers follow.
func longestReturn(now time.Time, request Request) time.Duration {
	return max(time.Duration(float64(request.Deadline.Sub(now))*maxReturnShare), 0)
}

// usefulReturn returns the longest retry delay after which a caller can still be served in time, or longestReturn if that is shorter or if it is too
// late.
func usefulReturn(now time.Time, request Request, service time.Duration) time.Duration {
	if useful := request.Goal.Sub(now) - service; useful > minReturn {
		return min(useful, longestReturn(now, request))
	}
	return longestReturn(now, request)
}
