// Package limit finds an adaptive concurrency limit for one searcher: how many sub-requests it runs at once without queueing
// or shedding.
package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meanSamples is the number of samples that the moving averages of latency and service time span.
	meanSamples = 16
	// minSamples is the number of samples before the mean latency is compared and counts towards its minimum.
	minSamples = 8
	// latencyTolerance is the ratio of the mean latency to the baseline latency above which the limit decreases.
	latencyTolerance = 2.0
	// minGradient is the lowest factor of one decrease because of high latency. shedFactor and lostFactor apply when a
	// sub-request was shed and when its connection was lost.
	minGradient = 0.5
	shedFactor  = 0.75
	lostFactor  = 0.5
	// minLatencyWindow is the time for which a minimum latency is kept: at least one window and at most two. Without
	// expiry a searcher whose work became slower permanently would stay at a limit of 1.
	minLatencyWindow = 10 * time.Second
	// minDecreaseInterval is the minimum time between two decreases.
	minDecreaseInterval = time.Millisecond
)

// Settings configures a Limit.
type Settings struct {
	// Slots is the number of sub-requests that the searcher runs at once.
	Slots int
	// Connections is this node's share of the searcher's connections.
	Connections int
	// Headroom is the number of sub-requests beyond the slots that keep the searcher busy during a network round trip.
	// Zero means a quarter of the slots, at least 1.
	Headroom int
	// Mode selects how the limit is found. Nil means Adaptive.
	Mode Mode
}

// Mode selects how the limit is found: Adaptive or Constant.
type Mode interface{ mode() }

// Adaptive adapts the limit to the outcomes of sub-requests. It is the default.
type Adaptive struct{}

// Constant always allows as many sub-requests as there are connections. It is the baseline of load tests.
type Constant struct{}

func (Adaptive) mode() {}
func (Constant) mode() {}

// maxLimit returns the upper bound of the adaptive limit: the slots plus headroom, but no more than the connections.
func (s Settings) maxLimit() int {
	slots := max(s.Slots, 1)
	headroom := s.Headroom
	if headroom <= 0 {
		headroom = max(1, slots/4)
	}
	return min(slots+headroom, max(s.Connections, 1))
}

// Outcome is the outcome of one sub-request at the searcher: Completed, Shed or Lost.
type Outcome interface{ outcome() }

// Completed means that the searcher replied.
type Completed struct {
	// Latency is the time from writing the sub-request to receiving its reply.
	Latency time.Duration
	// Service is the service time that the searcher reported, zero when unknown. It keeps slow work from being taken for
	// queueing.
	Service time.Duration
}

// Shed means that the searcher refused the sub-request because of load.
type Shed struct{}

// Lost means that the connection was lost during the sub-request.
type Lost struct{}

func (Completed) outcome() {}
func (Shed) outcome()      {}
func (Lost) outcome()      {}

// Limit is the concurrency limit of one searcher. It is safe for concurrent use.
type Limit struct {
	maxLimit int
	constant bool
	// allowed is the integer part of current. Allowed reads it without holding mu.
	allowed atomic.Int64

	mu sync.Mutex
	// current is the limit, between 1 and maxLimit.
	current float64
	// slowStart is set until the first sign of load. While it is set, the limit doubles each round trip.
	slowStart bool
	// observed is set by the first outcome.
	observed bool
	// meanLatency and meanService are moving averages in seconds over samples replies, at most meanSamples.
	meanLatency float64
	meanService float64
	samples     int
	// minLatency and previousMinLatency are the lowest mean latencies in seconds of this and the preceding
	// minLatencyWindow.
	minLatency, previousMinLatency float64
	minLatencyWindowEnd            time.Time
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
}

// New returns the limit of one searcher. It starts at a quarter of the slots, at least 1, since the searcher may be cold.
func New(s Settings) *Limit {
	if _, ok := s.Mode.(Constant); ok {
		return newConstant(max(s.Connections, 1))
	}
	maxLimit := s.maxLimit()
	l := &Limit{
		maxLimit:           maxLimit,
		slowStart:          true,
		minLatency:         math.Inf(1),
		previousMinLatency: math.Inf(1),
	}
	l.set(float64(min(maxLimit, max(1, s.Slots/4))))
	return l
}

func newConstant(maxLimit int) *Limit {
	l := &Limit{maxLimit: maxLimit, constant: true}
	l.set(float64(maxLimit))
	return l
}

// Allowed returns how many sub-requests may be in flight to the searcher, at least 1.
func (l *Limit) Allowed(time.Time) int { return int(l.allowed.Load()) }

// Max returns the upper bound of Allowed.
func (l *Limit) Max() int { return l.maxLimit }

// Hint passes the number of free slots that the searcher's load endpoint reports. Since the endpoint lags or misreports, a
// hint can only lower the initial limit and has no effect after the first outcome.
func (l *Limit) Hint(free int) {
	if l.constant {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed {
		return
	}
	l.set(min(l.current, float64(free)))
}

// Observe adapts the limit to one outcome.
func (l *Limit) Observe(now time.Time, o Outcome) {
	if l.constant {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = true
	switch o := o.(type) {
	case Completed:
		l.completed(now, o)
	case Shed:
		l.decrease(now, shedFactor)
	case Lost:
		l.lost(now)
	}
}

func (l *Limit) completed(now time.Time, o Completed) {
	l.updateMeans(now, o)
	if l.samples < minSamples {
		l.increase()
		return
	}
	gradient := latencyTolerance * l.baselineLatency() / l.meanLatency
	if gradient < 1 {
		l.decrease(now, max(gradient, minGradient))
		return
	}
	l.increase()
}

// baselineLatency returns the estimated latency in seconds of the searcher without queueing.
func (l *Limit) baselineLatency() float64 {
	return max(min(l.minLatency, l.previousMinLatency), l.meanService)
}

func (l *Limit) updateMeans(now time.Time, o Completed) {
	l.samples = min(l.samples+1, meanSamples)
	share := 1 / float64(l.samples)
	l.meanLatency += (o.Latency.Seconds() - l.meanLatency) * share
	l.meanService += (min(o.Service, o.Latency).Seconds() - l.meanService) * share
	if now.After(l.minLatencyWindowEnd) {
		l.previousMinLatency = l.minLatency
		l.minLatency = math.Inf(1)
		l.minLatencyWindowEnd = now.Add(minLatencyWindow)
	}
	if l.samples >= minSamples {
		l.minLatency = min(l.minLatency, l.meanLatency)
	}
}

func (l *Limit) increase() {
	if l.slowStart {
		l.set(l.current + 1)
		return
	}
	l.set(l.current + 1/l.current)
}

// decrease multiplies the limit by factor, at most once per round trip, since all sub-requests of one round trip reflect the
// same state. It reports whether it did.
func (l *Limit) decrease(now time.Time, factor float64) bool {
	l.slowStart = false
	round := max(time.Duration(l.meanLatency*float64(time.Second)), minDecreaseInterval)
	if now.Sub(l.decreasedAt) < round {
		return false
	}
	l.decreasedAt = now
	l.set(l.current * factor)
	return true
}

// lost decreases the limit and resets the latency estimates, since a searcher that closed its connections may have restarted
// cold.
func (l *Limit) lost(now time.Time) {
	if !l.decrease(now, lostFactor) {
		return
	}
	l.samples = 0
	l.minLatency = math.Inf(1)
	l.previousMinLatency = math.Inf(1)
}

func (l *Limit) set(limit float64) {
	l.current = min(max(limit, 1), float64(l.maxLimit))
	l.allowed.Store(int64(l.current))
}
