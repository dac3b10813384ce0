// Package limit learns how many sub-requests one searcher runs at once without queueing or shedding.
package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meanSamples is the number of samples that the mean latency spans.
	meanSamples = 16
	// warmSamples is the number of samples before the mean counts as a minimum.
	warmSamples = 8
	// tolerance is the mean latency over its reference above which the limit shrinks.
	tolerance = 2.0
	// leastGradient bounds one decrease on inflated latency.
	leastGradient = 0.5
	shedFactor    = 0.75
	lostFactor    = 0.5
	// minimumWindow is the time after which a minimum is forgotten, at most twice that. A searcher whose work became
	// slower for good would otherwise stay at a limit of 1.
	minimumWindow = 10 * time.Second
	// leastRound is the least time between two decreases.
	leastRound = time.Millisecond
)

// Settings configure a limit.
type Settings struct {
	// Slots is the number of sub-requests that the searcher runs at once.
	Slots int
	// Connections is this node's share of the searcher's connections.
	Connections int
	// Headroom is the number of sub-requests beyond the slots that keep the searcher busy during a round trip. Zero means a
	// quarter of the slots, at least 1.
	Headroom int
	// Mode is how the limit is found; nil means Adaptive.
	Mode Mode
}

// Mode is how the limit is found: Adaptive or Constant.
type Mode interface{ mode() }

// Adaptive learns the limit from outcomes. It is the default.
type Adaptive struct{}

// Constant allows as many sub-requests as connections. The load tool compares with it.
type Constant struct{}

func (Adaptive) mode() {}
func (Constant) mode() {}

func (s Settings) bound() int {
	slots := max(s.Slots, 1)
	allowance := s.Headroom
	if allowance <= 0 {
		allowance = max(1, slots/4)
	}
	return min(slots+allowance, max(s.Connections, 1))
}

// Outcome is what happened to one sub-request at the searcher: Completed, Shed or Lost.
type Outcome interface{ outcome() }

// Completed is a sub-request with a reply.
type Completed struct {
	// Latency is the time from the write of the sub-request to its reply.
	Latency time.Duration
	// Service is the service time that the searcher reported, zero when unknown. Slow work then does not count as queueing.
	Service time.Duration
}

// Shed is a sub-request that the searcher refused because of load.
type Shed struct{}

// Lost is a sub-request whose connection was lost.
type Lost struct{}

func (Completed) outcome() {}
func (Shed) outcome()      {}
func (Lost) outcome()      {}

// Limit is the concurrency limit of one searcher. It is safe for concurrent use.
type Limit struct {
	bound    int
	constant bool
	// allowed is the whole part of current, which Allowed reads without the mutex.
	allowed atomic.Int64

	mu sync.Mutex
	// current is between 1 and bound.
	current float64
	// slowStart doubles the limit each round until the first sign of load.
	slowStart bool
	observed  bool
	latency   float64
	service   float64
	samples   int
	// minimum and previous are the least mean latencies in seconds of this and the preceding minimumWindow.
	minimum, previous float64
	windowEnd         time.Time
	// decreased is the time of the last decrease.
	decreased time.Time
}

// New returns the limit of a searcher that may be cold: it starts at a quarter of the slots, at least 1.
func New(s Settings) *Limit {
	if _, ok := s.Mode.(Constant); ok {
		return newConstant(max(s.Connections, 1))
	}
	bound := s.bound()
	l := &Limit{
		bound:     bound,
		slowStart: true,
		minimum:   math.Inf(1),
		previous:  math.Inf(1),
	}
	l.set(float64(min(bound, max(1, s.Slots/4))))
	return l
}

func newConstant(bound int) *Limit {
	l := &Limit{bound: bound, constant: true}
	l.set(float64(bound))
	return l
}

// Allowed returns how many sub-requests may be in flight to the searcher, at least 1.
func (l *Limit) Allowed(time.Time) int { return int(l.allowed.Load()) }

// Max returns the greatest value of Allowed.
func (l *Limit) Max() int { return l.bound }

// Hint takes the free slots that the searcher's load endpoint reports. Since the endpoint lags or misleads, a hint can only
// lower the starting point and has no effect after the first outcome.
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

// Observe learns from one outcome.
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
		l.shrink(now, shedFactor)
	case Lost:
		l.lost(now)
	}
}

func (l *Limit) completed(now time.Time, o Completed) {
	l.learn(now, o)
	if l.samples < warmSamples {
		l.grow()
		return
	}
	gradient := tolerance * l.reference() / l.latency
	if gradient < 1 {
		l.shrink(now, max(gradient, leastGradient))
		return
	}
	l.grow()
}

// reference returns the latency in seconds that the searcher has without queueing.
func (l *Limit) reference() float64 {
	return max(min(l.minimum, l.previous), l.service)
}

func (l *Limit) learn(now time.Time, o Completed) {
	l.samples = min(l.samples+1, meanSamples)
	share := 1 / float64(l.samples)
	l.latency += (o.Latency.Seconds() - l.latency) * share
	l.service += (min(o.Service, o.Latency).Seconds() - l.service) * share
	if now.After(l.windowEnd) {
		l.previous = l.minimum
		l.minimum = math.Inf(1)
		l.windowEnd = now.Add(minimumWindow)
	}
	if l.samples >= warmSamples {
		l.minimum = min(l.minimum, l.latency)
	}
}

func (l *Limit) grow() {
	if l.slowStart {
		l.set(l.current + 1)
		return
	}
	l.set(l.current + 1/l.current)
}

// shrink multiplies the limit at most once per round trip, since all sub-requests of a round tell of the same state.
func (l *Limit) shrink(now time.Time, factor float64) bool {
	l.slowStart = false
	round := max(time.Duration(l.latency*float64(time.Second)), leastRound)
	if now.Sub(l.decreased) < round {
		return false
	}
	l.decreased = now
	l.set(l.current * factor)
	return true
}

// lost shrinks the limit and forgets the latency, since a searcher that closed its connections may have restarted cold.
func (l *Limit) lost(now time.Time) {
	if !l.shrink(now, lostFactor) {
		return
	}
	l.samples = 0
	l.minimum = math.Inf(1)
	l.previous = math.Inf(1)
}

func (l *Limit) set(limit float64) {
	l.current = min(max(limit, 1), float64(l.bound))
	l.allowed.Store(int64(l.current))
}
