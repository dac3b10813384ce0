package admit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// highPressure is the pressure from which a reply counts as overloaded. It is below 1, the pressure at which owners
	// refuse work.
	highPressure = 0.7
	// lowPressure is the mean pressure of a round below which the rate increases.
	lowPressure = 0.4
	// overloadedShare is the fraction of overloaded replies in a round from which the rate decreases. It is well above 0 so
	// that a single straggling shard of many does not throttle its whole collection.
	overloadedShare = 0.25
	// A decrease lowers the rate by the fraction baseDecrease, plus maxRefusedDecrease times the fraction of refused
	// replies.
	baseDecrease       = 0.05
	maxRefusedDecrease = 0.6
	// increaseShare is the additive step of one round as a fraction of the geometric mean of the rate at the last decrease
	// and the demand. Such a step is proportional to the entry's traffic, so that the sum over all entries changes equally
	// fast for any number of entries, and entries that fell behind catch up. Steps proportional to the rate alone left
	// single entries near the minimum rate.
	increaseShare = 0.01
	// maxRounds is the maximum number of steps that one increase makes up for when replies are too rare to end a round in
	// time.
	maxRounds = 8
	// unlimitedRatio is the ratio of the adaptive rate to the demand above which the limit is removed.
	unlimitedRatio = 2.0
	// minReplies is the minimum number of replies of a round.
	minReplies = 4
	// initialQueryDuration is the initial value of the average query duration.
	initialQueryDuration = 100 * time.Millisecond
	// minRound and maxRound bound the length of a round.
	minRound = 20 * time.Millisecond
	maxRound = 2 * time.Second
	// queryDurationWeight is the weight of a new sample in the average query duration.
	queryDurationWeight = 1.0 / 16
	// demandWeight is the weight of a new round in the average demand.
	demandWeight = 1.0 / 4
	// adaptiveBurst times the adaptive rate is the burst that it admits.
	adaptiveBurst = 50 * time.Millisecond
	// listedBurst times the listed rate is the burst that it admits.
	listedBurst = time.Second
)

// planLimiter limits the queries of one plan to one collection.
type planLimiter struct {
	minRate float64

	mu sync.Mutex
	// listedLimiter enforces this entry's share of the listed rate.
	listedLimiter *rate.Limiter
	// adaptiveLimiter enforces the adaptive rate. Its limit is rate.Inf while there is none.
	adaptiveLimiter *rate.Limiter
	inFlight        int
	lastUsedAt      time.Time

	// currentRate is the adaptive rate in queries/s, positive infinity while there is none.
	currentRate float64
	// baseRate is the rate after the last decrease, raised to the current rate whenever that has doubled since.
	baseRate float64
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
	// queryDuration is the average duration of a query in seconds.
	queryDuration float64

	// The fields from roundStart to pressureSum count the current round.
	roundStart  time.Time
	offered     int
	replies     int
	overloaded  int
	refused     int
	pressureSum float64
	// demand is the average rate, in queries/s, of the queries that passed the listed limits in recent rounds.
	demand float64
}

func newPlanLimiter(now time.Time, minRate float64) *planLimiter {
	return &planLimiter{
		minRate:         minRate,
		listedLimiter:   rate.NewLimiter(0, 0),
		adaptiveLimiter: rate.NewLimiter(rate.Inf, 1),
		lastUsedAt:      now,
		currentRate:     math.Inf(1),
		queryDuration:   initialQueryDuration.Seconds(),
		roundStart:      now,
	}
}

// admit admits one query, or returns why it is refused.
func (l *planLimiter) admit(now time.Time, perSecond float64, concurrent int) wire.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsedAt = now
	if l.inFlight >= concurrent {
		return wire.Reason_REASON_OVER_CONCURRENT
	}
	if l.listedLimiter.Limit() != rate.Limit(perSecond) {
		l.setListedRate(now, perSecond)
	}
	if !l.listedLimiter.AllowN(now, 1) {
		return wire.Reason_REASON_OVER_RATE
	}
	l.offered++
	if !l.adaptiveLimiter.AllowN(now, 1) {
		return wire.Reason_REASON_ADMISSION
	}
	l.inFlight++
	return wire.Reason_REASON_UNSPECIFIED
}

// setListedRate applies a changed listed rate. A rate of 0 admits nothing.
func (l *planLimiter) setListedRate(now time.Time, perSecond float64) {
	tokens := 0
	if perSecond > 0 {
		tokens = int(math.Ceil(perSecond * listedBurst.Seconds()))
	}
	if l.listedLimiter.Burst() == 0 {
		l.listedLimiter = rate.NewLimiter(rate.Limit(perSecond), tokens)
		return
	}
	l.listedLimiter.SetLimitAt(now, rate.Limit(perSecond))
	l.listedLimiter.SetBurstAt(now, tokens)
}

func (l *planLimiter) release(now time.Time, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.lastUsedAt = now
	l.queryDuration += (max(duration, 0).Seconds() - l.queryDuration) * queryDurationWeight
}

func (l *planLimiter) feedback(now time.Time, pressure float64, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies++
	l.pressureSum += pressure
	if refused {
		l.refused++
	}
	if refused || pressure >= highPressure {
		l.overloaded++
	}
	if l.replies < minReplies || now.Sub(l.roundStart) < l.roundLength() {
		return
	}
	l.endRound(now)
}

// roundLength returns the minimum time between two changes of the rate. It covers the duration of a query, so that the
// replies reflect each change before the next one.
func (l *planLimiter) roundLength() time.Duration {
	round := time.Duration(l.queryDuration * float64(time.Second))
	return min(max(round, minRound), maxRound)
}

func (l *planLimiter) endRound(now time.Time) {
	demand := float64(l.offered) / now.Sub(l.roundStart).Seconds()
	if l.demand == 0 {
		l.demand = demand
	}
	l.demand += (demand - l.demand) * demandWeight
	replies := float64(l.replies)
	switch {
	case float64(l.overloaded) >= overloadedShare*replies:
		l.decrease(now, float64(l.refused)/replies)
	case l.pressureSum < lowPressure*replies:
		l.increase(now)
	}
	l.roundStart = now
	l.offered = 0
	l.replies = 0
	l.overloaded = 0
	l.refused = 0
	l.pressureSum = 0
}

// decreasedSince reports whether the rate was decreased after the given time.
func (l *planLimiter) decreasedSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return at.Before(l.decreasedAt)
}

// decrease lowers the rate, where refused is the fraction of refused replies. Without a limit it starts from the demand.
func (l *planLimiter) decrease(now time.Time, refused float64) {
	l.decreasedAt = now
	from := l.currentRate
	if math.IsInf(from, 1) {
		from = l.demand
	}
	l.baseRate = max(l.minRate, from*(1-baseDecrease-maxRefusedDecrease*refused))
	l.setAdaptiveRate(now, l.baseRate)
}

// increase raises the rate, or removes the limit when it is well above the demand.
func (l *planLimiter) increase(now time.Time) {
	if math.IsInf(l.currentRate, 1) {
		return
	}
	if l.currentRate > unlimitedRatio*l.demand && l.currentRate > unlimitedRatio*l.minRate {
		l.setAdaptiveRate(now, math.Inf(1))
		return
	}
	if l.currentRate >= 2*l.baseRate {
		l.baseRate = l.currentRate
	}
	rounds := min(float64(now.Sub(l.roundStart))/float64(l.roundLength()), maxRounds)
	l.setAdaptiveRate(now, l.currentRate+rounds*increaseShare*math.Sqrt(l.baseRate*l.demand))
}

func (l *planLimiter) setAdaptiveRate(now time.Time, perSecond float64) {
	l.currentRate = perSecond
	if math.IsInf(perSecond, 1) {
		l.adaptiveLimiter.SetLimitAt(now, rate.Inf)
		return
	}
	l.adaptiveLimiter.SetLimitAt(now, rate.Limit(perSecond))
	l.adaptiveLimiter.SetBurstAt(now, max(1, int(math.Ceil(perSecond*adaptiveBurst.Seconds()))))
}

func (l *planLimiter) adaptiveRate() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRate, !math.IsInf(l.currentRate, 1)
}

func (l *planLimiter) isIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight == 0 && now.Sub(l.lastUsedAt) > idleTimeout
}
