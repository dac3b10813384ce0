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
	// baseDecrease applies when no owner refused; each refused reply adds up to refusedDecrease.
	baseDecrease       = 0.05
	maxRefusedDecrease = 0.6
	// increaseShare is the additive step of one round as a share of the geometric mean of the rate at the last decrease and
	// the demand. Such a step is in proportion to the entry's traffic, so that the sum over all entries moves alike
	// whatever their number, and entries that fell behind catch up. A step in proportion to the rate alone left single
	// entries near the least rate.
	increaseShare = 0.01
	// maxRounds bounds the round trips that one increase makes up for when replies are too rare for a round each.
	maxRounds = 8
	// unlimitedRatio is the learned rate over the offered rate at which the limit is lifted.
	unlimitedRatio = 2.0
	// minReplies is the number of replies that a round needs.
	minReplies           = 4
	initialQueryDuration = 100 * time.Millisecond
	minRound             = 20 * time.Millisecond
	maxRound             = 2 * time.Second
	// queryDurationWeight is the weight of a new sample in the learned round trip.
	queryDurationWeight = 1.0 / 16
	// demandWeight is the weight of a round in the measured demand.
	demandWeight = 1.0 / 4
	// learnedBurst is the time's worth of queries that a learned rate admits at once.
	learnedBurst = 50 * time.Millisecond
	// listedBurst is the time's worth of queries that a listed rate admits at once.
	listedBurst = time.Second
)

// planLimiter is the admission state of one plan at one collection.
type planLimiter struct {
	minRate float64

	mu sync.Mutex
	// listedLimiter enforces the list's rate.
	listedLimiter *rate.Limiter
	// learnedLimiter enforces the learned rate; its limit is rate.Inf while there is none.
	learnedLimiter *rate.Limiter
	inFlight       int
	lastUsedAt     time.Time

	// currentRate is the learned rate in queries/s, positive infinity while there is none.
	currentRate float64
	// baseRate is the rate at the last decrease; it follows when the rate has doubled since.
	baseRate float64
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
	// queryDuration is the learned duration of a query in seconds.
	queryDuration float64

	// The round counts since roundAt.
	roundStart  time.Time
	offered     int
	replies     int
	overloaded  int
	refused     int
	pressureSum float64
	// demand is the mean rate in queries/s that the list let pass in recent rounds.
	demand float64
}

func newPlanLimiter(now time.Time, leastRate float64) *planLimiter {
	return &planLimiter{
		minRate:        leastRate,
		listedLimiter:  rate.NewLimiter(0, 0),
		learnedLimiter: rate.NewLimiter(rate.Inf, 1),
		lastUsedAt:     now,
		currentRate:    math.Inf(1),
		queryDuration:  initialQueryDuration.Seconds(),
		roundStart:     now,
	}
}

func (g *planLimiter) admit(now time.Time, perSecond float64, concurrent int) wire.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsedAt = now
	if g.inFlight >= concurrent {
		return wire.Reason_REASON_OVER_CONCURRENT
	}
	if g.listedLimiter.Limit() != rate.Limit(perSecond) {
		g.setListedRate(now, perSecond)
	}
	if !g.listedLimiter.AllowN(now, 1) {
		return wire.Reason_REASON_OVER_RATE
	}
	g.offered++
	if !g.learnedLimiter.AllowN(now, 1) {
		return wire.Reason_REASON_ADMISSION
	}
	g.inFlight++
	return wire.Reason_REASON_UNSPECIFIED
}

// setListedRate applies an edited rate. A rate of 0 admits nothing.
func (g *planLimiter) setListedRate(now time.Time, perSecond float64) {
	tokens := 0
	if perSecond > 0 {
		tokens = int(math.Ceil(perSecond * listedBurst.Seconds()))
	}
	if g.listedLimiter.Burst() == 0 {
		g.listedLimiter = rate.NewLimiter(rate.Limit(perSecond), tokens)
		return
	}
	g.listedLimiter.SetLimitAt(now, rate.Limit(perSecond))
	g.listedLimiter.SetBurstAt(now, tokens)
}

func (g *planLimiter) release(now time.Time, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.lastUsedAt = now
	g.queryDuration += (max(took, 0).Seconds() - g.queryDuration) * queryDurationWeight
}

func (g *planLimiter) feedback(now time.Time, pressure float64, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replies++
	g.pressureSum += pressure
	if refused {
		g.refused++
	}
	if refused || pressure >= highPressure {
		g.overloaded++
	}
	if g.replies < minReplies || now.Sub(g.roundStart) < g.roundLength() {
		return
	}
	g.endRound(now)
}

// roundLength returns the time between two changes of the rate. It covers a round trip, so that each change shows in the
// replies before the next.
func (g *planLimiter) roundLength() time.Duration {
	round := time.Duration(g.queryDuration * float64(time.Second))
	return min(max(round, minRound), maxRound)
}

func (g *planLimiter) endRound(now time.Time) {
	demand := float64(g.offered) / now.Sub(g.roundStart).Seconds()
	if g.demand == 0 {
		g.demand = demand
	}
	g.demand += (demand - g.demand) * demandWeight
	replies := float64(g.replies)
	switch {
	case float64(g.overloaded) >= overloadedShare*replies:
		g.decrease(now, float64(g.refused)/replies)
	case g.pressureSum < lowPressure*replies:
		g.increase(now)
	}
	g.roundStart = now
	g.offered = 0
	g.replies = 0
	g.overloaded = 0
	g.refused = 0
	g.pressureSum = 0
}

// decreasedSince reports whether the rate was decreased after a time.
func (g *planLimiter) decreasedSince(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return at.Before(g.decreasedAt)
}

func (g *planLimiter) decrease(now time.Time, refused float64) {
	g.decreasedAt = now
	from := g.currentRate
	if math.IsInf(from, 1) {
		from = g.demand
	}
	g.baseRate = max(g.minRate, from*(1-baseDecrease-maxRefusedDecrease*refused))
	g.setLearnedRate(now, g.baseRate)
}

func (g *planLimiter) increase(now time.Time) {
	if math.IsInf(g.currentRate, 1) {
		return
	}
	if g.currentRate > unlimitedRatio*g.demand && g.currentRate > unlimitedRatio*g.minRate {
		g.setLearnedRate(now, math.Inf(1))
		return
	}
	if g.currentRate >= 2*g.baseRate {
		g.baseRate = g.currentRate
	}
	trips := min(float64(now.Sub(g.roundStart))/float64(g.roundLength()), maxRounds)
	g.setLearnedRate(now, g.currentRate+trips*increaseShare*math.Sqrt(g.baseRate*g.demand))
}

func (g *planLimiter) setLearnedRate(now time.Time, perSecond float64) {
	g.currentRate = perSecond
	if math.IsInf(perSecond, 1) {
		g.learnedLimiter.SetLimitAt(now, rate.Inf)
		return
	}
	g.learnedLimiter.SetLimitAt(now, rate.Limit(perSecond))
	g.learnedLimiter.SetBurstAt(now, max(1, int(math.Ceil(perSecond*learnedBurst.Seconds()))))
}

func (g *planLimiter) learnedRate() (float64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentRate, !math.IsInf(g.currentRate, 1)
}

func (g *planLimiter) isIdle(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && now.Sub(g.lastUsedAt) > idleTimeout
}
