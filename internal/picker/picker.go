// Package picker ranks the replicas of a shard by the latency that this entry observed: a moving average that rises quickly,
// scaled by the number of attempts in flight. Latency includes the network, so near replicas are preferred while they are fast.
package picker

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// decayTime is the time constant of the moving average. A replica that is not chosen is tried again after about one time
	// constant.
	decayTime = 3 * time.Second
	// riseWeight is the weight of a sample above the average. It is below 1 so that one outlier has less effect than a few
	// slow replies in a row.
	riseWeight = 0.25
	// maxSearchers limits the memory. It suffices for all searchers of a region's share at full size.
	maxSearchers = 65536
	// uniformCost is the cost of every replica under EqualCost. It is not 0, which would mean that the latency is unknown.
	uniformCost = time.Nanosecond
)

// Settings configures a Picker. Zero fields take their defaults.
type Settings struct {
	// Ranking selects how replicas are ranked. Nil means ByLatency.
	Ranking Ranking
}

// Ranking selects how replicas are ranked: ByLatency or EqualCost.
type Ranking interface{ ranking() }

// ByLatency ranks replicas by their observed latency. It is the default.
type ByLatency struct{}

// EqualCost ranks all replicas equally, so that queries are spread evenly over them. It is the baseline of load tests.
type EqualCost struct{}

func (ByLatency) ranking() {}
func (EqualCost) ranking() {}

// Picker holds the observed latencies of searchers. It is safe for concurrent use.
type Picker struct {
	settings Settings
	// searchers maps searcher ids to *searcherStats.
	searchers sync.Map
	// count is the number of entries in searchers.
	count atomic.Int64
}

// New returns a Picker with default settings and no observed latencies.
func New() *Picker { return NewWith(Settings{}) }

// NewWith returns a Picker with the given settings and no observed latencies.
func NewWith(s Settings) *Picker { return &Picker{settings: s} }

// searcherStats holds the observations of one searcher.
type searcherStats struct {
	inFlight atomic.Int64

	mu sync.Mutex
	// ewma is the moving average of the latency in nanoseconds, as of updatedAt.
	ewma      float64
	updatedAt time.Time
}

func (p *Picker) stats(searcher string) *searcherStats {
	if value, ok := p.searchers.Load(searcher); ok {
		return value.(*searcherStats)
	}
	if p.count.Load() >= maxSearchers {
		// Discarding everything costs a few samples per searcher and happens only after thousands of searchers were replaced.
		p.searchers.Clear()
		p.count.Store(0)
	}
	value, loaded := p.searchers.LoadOrStore(searcher, &searcherStats{})
	if !loaded {
		p.count.Add(1)
	}
	return value.(*searcherStats)
}

// Sent records that an attempt was sent.
func (p *Picker) Sent(searcher string) { p.stats(searcher).inFlight.Add(1) }

// Replied records that an attempt ended with a reply after the given latency.
func (p *Picker) Replied(now time.Time, searcher string, latency time.Duration) {
	s := p.stats(searcher)
	s.inFlight.Add(-1)
	s.observe(now, latency)
}

// Abandoned records that an attempt ended without a reply. The time waited counts only if it is above the average: it is a
// lower bound of the latency, since the reply would have taken longer.
func (p *Picker) Abandoned(now time.Time, searcher string, waited time.Duration) {
	s := p.stats(searcher)
	s.inFlight.Add(-1)
	if waited > s.decayedAverage(now) {
		s.observe(now, waited)
	}
}

// Cost returns the expected latency of another attempt, 0 for a searcher without samples.
func (p *Picker) Cost(now time.Time, searcher string) time.Duration {
	if _, ok := p.settings.Ranking.(EqualCost); ok {
		return uniformCost
	}
	value, ok := p.searchers.Load(searcher)
	if !ok {
		return 0
	}
	s := value.(*searcherStats)
	return s.decayedAverage(now) * time.Duration(1+max(0, s.inFlight.Load()))
}

// observe adds a sample to the average: with a fixed weight per sample above it, and with a weight that grows with the elapsed
// time below it, so that a searcher that became slow is detected within a few replies at any request rate.
func (s *searcherStats) observe(now time.Time, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := float64(latency)
	if sample > s.ewma {
		s.ewma += riseWeight * (sample - s.ewma)
	} else {
		weight := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(decayTime))
		s.ewma = weight*s.ewma + (1-weight)*sample
	}
	s.updatedAt = now
}

// decayedAverage returns the average after exponential decay since the last sample.
func (s *searcherStats) decayedAverage(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := max(0, now.Sub(s.updatedAt))
	return time.Duration(s.ewma * math.Exp(-float64(age)/float64(decayTime)))
}
