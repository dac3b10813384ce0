// Package admit is the admission control of the entry. It admits or refuses whole queries by the limits of the list of uses,
// by an adaptive rate limit that follows the pressure reported by owners, and by the node's limit of queries in flight.
package admit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	defaultMaxInFlight = 4096
	defaultMinRate     = 0.2
	// idleTimeout is the time without queries after which a sweep may remove a limiter.
	idleTimeout = time.Minute
	// minSweepSize is the number of limiters from which sweeps remove idle ones.
	minSweepSize = 4096
)

// Settings configures an Admission. Zero fields take their defaults.
type Settings struct {
	// MaxInFlight is the maximum number of queries in flight at the node.
	MaxInFlight int
	// MinRate is the lower bound, in queries/s, of the adaptive rate of a plan at a collection. It lets through enough
	// queries to notice when capacity returns.
	MinRate float64
	// RateMode selects what limits the rate of a plan at a collection. Nil means Adaptive.
	RateMode RateMode
}

// RateMode selects what limits the rate of a plan at a collection: Adaptive or Listed.
type RateMode interface{ rateMode() }

// Adaptive limits the rate by the list of uses and by an adaptive limit that follows the pressure reported by owners. It is
// the default.
type Adaptive struct{}

// Listed limits the rate by the list of uses only. It is the baseline of load tests.
type Listed struct{}

func (Adaptive) rateMode() {}
func (Listed) rateMode()   {}

// limiterKey identifies a plan's queries to a collection.
type limiterKey struct {
	collection string
	plan       string
}

// Admission is the admission control of one entry. It is safe for concurrent use.
type Admission struct {
	maxInFlight int64
	minRate     float64
	rateMode    RateMode
	inFlight    atomic.Int64
	// rateShare is the node's share of listed rates, as the bits of a float64.
	rateShare atomic.Uint64

	mu       sync.RWMutex
	limiters map[limiterKey]*planLimiter
	// sweepAt is the number of limiters at which the next sweep runs.
	sweepAt int
}

// New returns an Admission without adaptive rate limits.
func New(s Settings) *Admission {
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.MinRate <= 0 {
		s.MinRate = defaultMinRate
	}
	a := &Admission{
		maxInFlight: int64(s.MaxInFlight),
		minRate:     s.MinRate,
		rateMode:    s.RateMode,
		limiters:    make(map[limiterKey]*planLimiter),
		sweepAt:     minSweepSize,
	}
	a.SetRateShare(1)
	return a
}

// SetRateShare sets the fraction of each listed rate that this entry may admit: 1 over the number of live entries of the
// region, since the list states rates per region.
func (a *Admission) SetRateShare(share float64) {
	a.rateShare.Store(math.Float64bits(min(max(share, 0), 1)))
}

// InFlight returns the number of admitted queries that have not been released.
func (a *Admission) InFlight() int { return int(a.inFlight.Load()) }

// Grant is the admission of one query.
type Grant struct {
	admission  *Admission
	limiter    *planLimiter
	admittedAt time.Time
}

// Release ends the query. The caller must call it exactly once for each grant.
func (g Grant) Release(now time.Time) {
	if g.admission == nil {
		return
	}
	g.admission.inFlight.Add(-1)
	g.limiter.release(now, now.Sub(g.admittedAt))
}

// Admit admits one query or refuses it with NODE_BUSY, OVER_CONCURRENT, OVER_RATE or ADMISSION.
func (a *Admission) Admit(now time.Time, collection, plan string, use plans.Use) (Grant, *reason.Refusal) {
	if a.inFlight.Add(1) > a.maxInFlight {
		a.inFlight.Add(-1)
		return Grant{}, reason.New(wire.Reason_REASON_NODE_BUSY, "")
	}
	l := a.limiter(now, limiterKey{collection: collection, plan: plan})
	share := math.Float64frombits(a.rateShare.Load())
	if r := l.admit(now, use.QueriesPerSecond()*share, use.Concurrent()); r != wire.Reason_REASON_UNSPECIFIED {
		a.inFlight.Add(-1)
		return Grant{}, reason.New(r, "")
	}
	return Grant{admission: a, limiter: l, admittedAt: now}, nil
}

// Feedback adapts the rate limit to one reply of an owner: the pressure that it reported, and whether it refused work of the
// query because of load.
func (a *Admission) Feedback(now time.Time, collection, plan string, pressure float64, refused bool) {
	if _, ok := a.rateMode.(Listed); ok {
		return
	}
	a.limiter(now, limiterKey{collection: collection, plan: plan}).feedback(now, pressure, refused)
}

// FeedbackForQuery is like Feedback for a query that was admitted at the given time. It ignores queries from before the last
// decrease, since they say nothing about the decreased rate. When the replies of a draining queue counted repeatedly, a
// single overload pushed the rate far below capacity.
func (a *Admission) FeedbackForQuery(now, admitted time.Time, collection, plan string, pressure float64, refused bool) {
	if _, ok := a.rateMode.(Listed); ok {
		return
	}
	l := a.limiter(now, limiterKey{collection: collection, plan: plan})
	if l.decreasedSince(admitted) {
		return
	}
	l.feedback(now, pressure, refused)
}

// Rate returns the adaptive rate limit in queries/s, or false while there is none.
func (a *Admission) Rate(collection, plan string) (float64, bool) {
	a.mu.RLock()
	l := a.limiters[limiterKey{collection: collection, plan: plan}]
	a.mu.RUnlock()
	if l == nil {
		return 0, false
	}
	return l.adaptiveRate()
}

// limiter returns the limiter of a plan at a collection and creates it if needed.
func (a *Admission) limiter(now time.Time, key limiterKey) *planLimiter {
	a.mu.RLock()
	l := a.limiters[key]
	a.mu.RUnlock()
	if l != nil {
		return l
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.limiters[key]; l != nil {
		return l
	}
	if len(a.limiters) >= a.sweepAt {
		a.sweep(now)
	}
	l = newPlanLimiter(now, a.minRate)
	a.limiters[key] = l
	return l
}

// sweep removes idle limiters. The next sweep runs when the number of remaining ones has doubled.
func (a *Admission) sweep(now time.Time) {
	for key, l := range a.limiters {
		if l.isIdle(now) {
			delete(a.limiters, key)
		}
	}
	a.sweepAt = max(minSweepSize, 2*len(a.limiters))
}
