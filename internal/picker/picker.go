// Package picker ranks the replicas of a shard by the latency that this entry observed: a moving average that rises fast, weighted
// by the attempts in flight. Latency includes the network, so near replicas win while they are fast.
package picker

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// decay is the time constant of the average. A replica that is passed over is tried again after about one of them.
	decay = 3 * time.Second
	// rise is the weight of a sample above the average. One outlier moves less than a few replies in a row.
	rise = 0.25
	// maxSearchers bounds the memory; it admits all searchers of a region's share at full size.
	maxSearchers = 65536
	// equalCost is the cost of each replica that is used in turn; 0 would mean that the latency is unknown.
	equalCost = time.Nanosecond
)

// Settings configure a picker. Zero fields take the default.
type Settings struct {
	// Ranking is how replicas are ranked; nil means ByLatency.
	Ranking Ranking
}

// Ranking is how replicas are ranked: ByLatency or InTurn.
type Ranking interface{ choice() }

// ByLatency ranks replicas by their observed latency. It is the default.
type ByLatency struct{}

// EqualCost ranks all replicas alike, so that queries use them in turn. The load tool compares with it.
type EqualCost struct{}

func (ByLatency) choice() {}
func (EqualCost) choice() {}

// Picker holds the observed latency of searchers. It is safe for concurrent use.
type Picker struct {
	settings  Settings
	searchers sync.Map
	count     atomic.Int64
}

// New returns a picker that has seen no searcher.
func New() *Picker { return NewWith(Settings{}) }

// NewWith returns a picker with settings that has seen no searcher.
func NewWith(s Settings) *Picker { return &Picker{settings: s} }

// track is what is known of one searcher.
type track struct {
	inFlight atomic.Int64

	mu sync.Mutex
	// average is the moving average in nanoseconds at the time at.
	average float64
	at      time.Time
}

func (p *Picker) track(searcher string) *track {
	if value, ok := p.searchers.Load(searcher); ok {
		return value.(*track)
	}
	if p.count.Load() >= maxSearchers {
		// Forgetting everything costs a few samples per searcher; it happens only when thousands of searchers were replaced.
		p.searchers.Clear()
		p.count.Store(0)
	}
	value, loaded := p.searchers.LoadOrStore(searcher, &track{})
	if !loaded {
		p.count.Add(1)
	}
	return value.(*track)
}

// Sent records that an attempt began.
func (p *Picker) Sent(searcher string) { p.track(searcher).inFlight.Add(1) }

// Replied records that an attempt ended with a reply after the given time.
func (p *Picker) Replied(now time.Time, searcher string, latency time.Duration) {
	t := p.track(searcher)
	t.inFlight.Add(-1)
	t.observe(now, latency)
}

// Abandoned records that an attempt ended without a reply. The time waited counts only when it is above the average, since the reply
// would have taken longer.
func (p *Picker) Abandoned(now time.Time, searcher string, waited time.Duration) {
	t := p.track(searcher)
	t.inFlight.Add(-1)
	if waited > t.present(now) {
		t.observe(now, waited)
	}
}

// Cost returns the expected latency of a further attempt, 0 for a searcher without samples.
func (p *Picker) Cost(now time.Time, searcher string) time.Duration {
	if _, ok := p.settings.Ranking.(EqualCost); ok {
		return equalCost
	}
	value, ok := p.searchers.Load(searcher)
	if !ok {
		return 0
	}
	t := value.(*track)
	return t.present(now) * time.Duration(1+max(0, t.inFlight.Load()))
}

// observe moves the average: by count to a higher value, by time to a lower one, so that a searcher that became slow
// is noticed within a few replies at any rate.
func (t *track) observe(now time.Time, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := float64(latency)
	if sample > t.average {
		t.average += rise * (sample - t.average)
	} else {
		weight := math.Exp(-float64(now.Sub(t.at)) / float64(decay))
		t.average = weight*t.average + (1-weight)*sample
	}
	t.at = now
}

// present returns the average decayed to the present time.
func (t *track) present(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := max(0, now.Sub(t.at))
	return time.Duration(t.average * math.Exp(-float64(age)/float64(decay)))
}
