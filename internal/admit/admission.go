// Package admit decides at the entry which whole queries enter: within the list of uses, within a rate learned from the
// pressure of the owners, and within the node's bound on queries in flight.
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
	defaultLeastRate   = 0.2
	// keepIdle is the time for which the state of a pair without queries is kept when room is needed.
	keepIdle = time.Minute
	// firstSweep is the number of pairs at which idle ones are first removed.
	firstSweep = 4096
)

// Settings configure an admission. Zero fields take the default.
type Settings struct {
	// MaxInFlight is the greatest number of queries in flight at the node.
	MaxInFlight int
	// MinRate is the rate in queries/s below which the learned rate of a plan at a collection does not fall, so that it
	// notices when capacity returns.
	MinRate float64
	// RateMode is what bounds the rate of a plan beyond its list; nil means Learned.
	RateMode RateMode
}

// RateMode is what bounds the rate of a plan at a collection: Learned or Listed.
type RateMode interface{ rates() }

// Learned bounds the rate by the list and by what the pressure of the owners teaches. It is the default.
type Learned struct{}

// Listed bounds the rate by the list only. The load tool compares with it.
type Listed struct{}

func (Learned) rates() {}
func (Listed) rates()  {}

// pair names a plan's work at a collection.
type pair struct {
	collection string
	plan       string
}

// Admission holds the admission state of one entry. It is safe for concurrent use.
type Admission struct {
	maxInFlight int64
	leastRate   float64
	rates       RateMode
	inFlight    atomic.Int64
	// share holds the bits of the node's share of listed rates.
	share atomic.Uint64

	mu      sync.RWMutex
	gates   map[pair]*gate
	sweepAt int
}

// New returns an admission without learned rates.
func New(s Settings) *Admission {
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.MinRate <= 0 {
		s.MinRate = defaultLeastRate
	}
	a := &Admission{
		maxInFlight: int64(s.MaxInFlight),
		leastRate:   s.MinRate,
		rates:       s.RateMode,
		gates:       make(map[pair]*gate),
		sweepAt:     firstSweep,
	}
	a.SetRateShare(1)
	return a
}

// SetRateShare sets the part of each listed rate that this entry may admit, since the list states rates per region. It
// is 1 over the number of live entries of the region.
func (a *Admission) SetRateShare(share float64) {
	a.share.Store(math.Float64bits(min(max(share, 0), 1)))
}

// InFlight returns the number of admitted queries that are not released.
func (a *Admission) InFlight() int { return int(a.inFlight.Load()) }

// Grant is the admission of one query.
type Grant struct {
	admission *Admission
	gate      *gate
	at        time.Time
}

// Release ends the query. It must be called exactly once for each grant.
func (g Grant) Release(now time.Time) {
	if g.admission == nil {
		return
	}
	g.admission.inFlight.Add(-1)
	g.gate.release(now, now.Sub(g.at))
}

// Admit admits one query or refuses it with NODE_BUSY, OVER_CONCURRENT, OVER_RATE or ADMISSION.
func (a *Admission) Admit(now time.Time, collection, plan string, use plans.Use) (Grant, *reason.Refusal) {
	if a.inFlight.Add(1) > a.maxInFlight {
		a.inFlight.Add(-1)
		return Grant{}, reason.New(wire.Reason_REASON_NODE_BUSY, "")
	}
	g := a.gate(now, pair{collection: collection, plan: plan})
	share := math.Float64frombits(a.share.Load())
	if r := g.admit(now, use.QueriesPerSecond()*share, use.Concurrent()); r != wire.Reason_REASON_UNSPECIFIED {
		a.inFlight.Add(-1)
		return Grant{}, reason.New(r, "")
	}
	return Grant{admission: a, gate: g, at: now}, nil
}

// Feedback learns from one reply of an owner: the pressure that it reported, and whether it refused work of the query because of load.
func (a *Admission) Feedback(now time.Time, collection, plan string, pressure float64, refused bool) {
	if _, ok := a.rates.(Listed); ok {
		return
	}
	a.gate(now, pair{collection: collection, plan: plan}).feedback(now, pressure, refused)
}

// FeedbackForQuery is Feedback about a query that was admitted at a time. A query from before the last decrease says
// nothing about the decreased rate; when the replies of a queue that drains counted again and again, one overload
// pushed the rate far below the capacity.
func (a *Admission) FeedbackForQuery(now, admitted time.Time, collection, plan string, pressure float64, refused bool) {
	if _, ok := a.rates.(Listed); ok {
		return
	}
	g := a.gate(now, pair{collection: collection, plan: plan})
	if g.decreasedSince(admitted) {
		return
	}
	g.feedback(now, pressure, refused)
}

// Rate returns the learned rate in queries/s, or false while there is no limit.
func (a *Admission) Rate(collection, plan string) (float64, bool) {
	a.mu.RLock()
	g := a.gates[pair{collection: collection, plan: plan}]
	a.mu.RUnlock()
	if g == nil {
		return 0, false
	}
	return g.learnedRate()
}

func (a *Admission) gate(now time.Time, p pair) *gate {
	a.mu.RLock()
	g := a.gates[p]
	a.mu.RUnlock()
	if g != nil {
		return g
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.gates[p]; g != nil {
		return g
	}
	if len(a.gates) >= a.sweepAt {
		a.sweep(now)
	}
	g = newGate(now, a.leastRate)
	a.gates[p] = g
	return g
}

// sweep removes the gates of pairs that are no longer used; the next one follows when the rest has doubled.
func (a *Admission) sweep(now time.Time) {
	for p, g := range a.gates {
		if g.idle(now) {
			delete(a.gates, p)
		}
	}
	a.sweepAt = max(firstSweep, 2*len(a.gates))
}
