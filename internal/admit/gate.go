package admit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// highPressure is the pressure from which a reply counts as overloaded. It is below 1, at which owners refuse.
	highPressure = 0.7
	// lowPressure is the mean pressure below which the rate grows.
	lowPressure = 0.4
	// overloadedShare is the share of overloaded replies from which the rate decreases. A single straggling shard of many must not
	// throttle its whole collection.
	overloadedShare = 0.25
	// gentleDecrease applies when no owner refused; each refused reply adds up to refusedDecrease.
	gentleDecrease  = 0.05
	refusedDecrease = 0.6
	// increase is the additive step of one round as a share of the geometric mean of the rate at the last decrease and
	// the demand. Such a step is in proportion to the entry's traffic, so that the sum over all entries moves alike
	// whatever their number, and entries that fell behind catch up. A step in proportion to the rate alone left single
	// entries near the least rate.
	increase = 0.01
	// mostTrips bounds the round trips that one increase makes up for when replies are too rare for a round each.
	mostTrips = 8
	// liftAbove is the learned rate over the offered rate at which the limit is lifted.
	liftAbove = 2.0
	// leastReplies is the number of replies that a round needs.
	leastReplies  = 4
	firstRound    = 100 * time.Millisecond
	leastRound    = 20 * time.Millisecond
	greatestRound = 2 * time.Second
	// roundTripShare is the weight of a new sample in the learned round trip.
	roundTripShare = 1.0 / 16
	// demandShare is the weight of a round in the measured demand.
	demandShare = 1.0 / 4
	// burst is the time's worth of queries that a learned rate admits at once.
	burst = 50 * time.Millisecond
	// listBurst is the time's worth of queries that a listed rate admits at once.
	listBurst = time.Second
)

// gate is the admission state of one plan at one collection.
type gate struct {
	leastRate float64

	mu sync.Mutex
	// listed enforces the list's rate.
	listed *rate.Limiter
	// learned enforces the learned rate; its limit is rate.Inf while there is none.
	learned  *rate.Limiter
	inFlight int
	usedAt   time.Time

	// current is the learned rate in queries/s, positive infinity while there is none.
	current float64
	// base is the rate at the last decrease; it follows when the rate has doubled since.
	base float64
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
	// roundTrip is the learned duration of a query in seconds.
	roundTrip float64

	// The round counts since roundAt.
	roundAt    time.Time
	offered    int
	replies    int
	overloaded int
	refused    int
	pressure   float64
	// demand is the mean rate in queries/s that the list let pass in recent rounds.
	demand float64
}

func newGate(now time.Time, leastRate float64) *gate {
	return &gate{
		leastRate: leastRate,
		listed:    rate.NewLimiter(0, 0),
		learned:   rate.NewLimiter(rate.Inf, 1),
		usedAt:    now,
		current:   math.Inf(1),
		roundTrip: firstRound.Seconds(),
		roundAt:   now,
	}
}

func (g *gate) admit(now time.Time, perSecond float64, concurrent int) wire.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usedAt = now
	if g.inFlight >= concurrent {
		return wire.Reason_REASON_OVER_CONCURRENT
	}
	if g.listed.Limit() != rate.Limit(perSecond) {
		g.relist(now, perSecond)
	}
	if !g.listed.AllowN(now, 1) {
		return wire.Reason_REASON_OVER_RATE
	}
	g.offered++
	if !g.learned.AllowN(now, 1) {
		return wire.Reason_REASON_ADMISSION
	}
	g.inFlight++
	return wire.Reason_REASON_UNSPECIFIED
}

// relist applies an edited rate. A rate of 0 admits nothing.
func (g *gate) relist(now time.Time, perSecond float64) {
	tokens := 0
	if perSecond > 0 {
		tokens = int(math.Ceil(perSecond * listBurst.Seconds()))
	}
	if g.listed.Burst() == 0 {
		g.listed = rate.NewLimiter(rate.Limit(perSecond), tokens)
		return
	}
	g.listed.SetLimitAt(now, rate.Limit(perSecond))
	g.listed.SetBurstAt(now, tokens)
}

func (g *gate) release(now time.Time, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.usedAt = now
	g.roundTrip += (max(took, 0).Seconds() - g.roundTrip) * roundTripShare
}

func (g *gate) feedback(now time.Time, pressure float64, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replies++
	g.pressure += pressure
	if refused {
		g.refused++
	}
	if refused || pressure >= highPressure {
		g.overloaded++
	}
	if g.replies < leastReplies || now.Sub(g.roundAt) < g.round() {
		return
	}
	g.endRound(now)
}

// round returns the time between two changes of the rate. It covers a round trip, so that each change shows in the
// replies before the next.
func (g *gate) round() time.Duration {
	round := time.Duration(g.roundTrip * float64(time.Second))
	return min(max(round, leastRound), greatestRound)
}

func (g *gate) endRound(now time.Time) {
	demand := float64(g.offered) / now.Sub(g.roundAt).Seconds()
	if g.demand == 0 {
		g.demand = demand
	}
	g.demand += (demand - g.demand) * demandShare
	replies := float64(g.replies)
	switch {
	case float64(g.overloaded) >= overloadedShare*replies:
		g.decrease(now, float64(g.refused)/replies)
	case g.pressure < lowPressure*replies:
		g.increase(now)
	}
	g.roundAt = now
	g.offered = 0
	g.replies = 0
	g.overloaded = 0
	g.refused = 0
	g.pressure = 0
}

// decreasedSince reports whether the rate was decreased after a time.
func (g *gate) decreasedSince(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return at.Before(g.decreasedAt)
}

func (g *gate) decrease(now time.Time, refused float64) {
	g.decreasedAt = now
	from := g.current
	if math.IsInf(from, 1) {
		from = g.demand
	}
	g.base = max(g.leastRate, from*(1-gentleDecrease-refusedDecrease*refused))
	g.set(now, g.base)
}

func (g *gate) increase(now time.Time) {
	if math.IsInf(g.current, 1) {
		return
	}
	if g.current > liftAbove*g.demand && g.current > liftAbove*g.leastRate {
		g.set(now, math.Inf(1))
		return
	}
	if g.current >= 2*g.base {
		g.base = g.current
	}
	trips := min(float64(now.Sub(g.roundAt))/float64(g.round()), mostTrips)
	g.set(now, g.current+trips*increase*math.Sqrt(g.base*g.demand))
}

func (g *gate) set(now time.Time, perSecond float64) {
	g.current = perSecond
	if math.IsInf(perSecond, 1) {
		g.learned.SetLimitAt(now, rate.Inf)
		return
	}
	g.learned.SetLimitAt(now, rate.Limit(perSecond))
	g.learned.SetBurstAt(now, max(1, int(math.Ceil(perSecond*burst.Seconds()))))
}

func (g *gate) learnedRate() (float64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current, !math.IsInf(g.current, 1)
}

func (g *gate) idle(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && now.Sub(g.usedAt) > keepIdle
}
