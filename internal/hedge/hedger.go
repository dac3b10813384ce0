// Package hedge decides when the entry sends a second attempt for a shard that has not replied: after the learned p95 of the
// collection's shard latency, and within a budget that falls to 0 as the owners' pressure rises.
package hedge

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflylanding/fireflylanding/internal/budget"
)

const (
	// hedgeCost is the budget units of one hedge; each first attempt earns one unit, so that hedges are at most 5% of first attempts.
	hedgeCost = 20
	// defaultMaxSaved is the number of hedges that the budget saves up.
	defaultMaxSaved     = 200
	defaultInitialDelay = 50 * time.Millisecond
	defaultMinDelay     = time.Millisecond
	defaultMaxDelay     = 10 * time.Second
	// fullPressure is the pressure up to which the whole budget is available, noPressure that from which nothing is.
	fullPressure = 0.5
	noPressure   = 1.0
	quantile     = 95
	// generation is the number of samples after which the older half of the histogram is forgotten.
	generation = 2048
	// leastSamples is the number of samples before a delay counts as learned.
	leastSamples = 32
	// refresh is the number of samples between two computations of the delay.
	refresh = 128
	// Histograms count microseconds up to a minute with an error below 1%.
	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
	// maxCollections bounds the memory for histograms; further collections use the initial delay.
	maxCollections = 1024
)

// Settings configure a hedger. Zero fields take the default.
type Settings struct {
	// InitialDelay applies to a collection until its delay is learned.
	InitialDelay time.Duration
	// MinDelay and MaxDelay bound the learned delay.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MaxBudget is the number of hedges that the budget saves up while none are sent.
	MaxBudget int
	// Mode decides whether hedges are sent; nil means Budgeted.
	Mode Mode
}

// Mode decides whether hedges are sent: Budgeted or Never.
type Mode interface{ mode() }

// Budgeted sends hedges within the budget. It is the default.
type Budgeted struct{}

// Never sends none. The load tool compares with it.
type Never struct{}

func (Budgeted) mode() {}
func (Never) mode()    {}

func (s Settings) withDefaults() Settings {
	if s.InitialDelay <= 0 {
		s.InitialDelay = defaultInitialDelay
	}
	if s.MinDelay <= 0 {
		s.MinDelay = defaultMinDelay
	}
	if s.MaxDelay <= 0 {
		s.MaxDelay = defaultMaxDelay
	}
	if s.MaxBudget <= 0 {
		s.MaxBudget = defaultMaxSaved
	}
	return s
}

// Hedger holds the learned delays and the budget of one entry. It is safe for concurrent use.
type Hedger struct {
	settings Settings
	// budget is in units, between 0 and MaxSaved * hedgeCost.
	budget *budget.Budget

	mu          sync.RWMutex
	collections map[string]*latencies
}

// New returns a hedger with an empty budget and no learned delays.
func New(s Settings) *Hedger {
	s = s.withDefaults()
	return &Hedger{
		settings:    s,
		budget:      budget.New(0, int64(s.MaxBudget)*hedgeCost),
		collections: make(map[string]*latencies),
	}
}

// Sent earns budget for a number of first attempts.
func (h *Hedger) Sent(n int) { h.budget.Earn(n) }

// Allow spends budget for one hedge and reports whether it may be sent. A hedge costs more as the pressure of the shard's owner rises
// from 0.5 to 1, which scales the budget to 0.
func (h *Hedger) Allow(pressure float64) bool {
	if _, ok := h.settings.Mode.(Never); ok {
		return false
	}
	scale := (noPressure - pressure) / (noPressure - fullPressure)
	// The negated comparison refuses NaN.
	if !(scale > 0) {
		return false
	}
	cost := math.Ceil(hedgeCost / min(scale, 1))
	// Near noPressure the cost exceeds what an integer holds.
	return cost <= math.MaxInt64/2 && h.budget.Spend(int64(cost))
}

// Delay returns the time after which a shard of the collection counts as straggling.
func (h *Hedger) Delay(collection string) time.Duration {
	l := h.lookup(collection)
	if l == nil {
		return h.settings.InitialDelay
	}
	delay := time.Duration(l.delay.Load())
	if delay == 0 {
		return h.settings.InitialDelay
	}
	return min(max(delay, h.settings.MinDelay), h.settings.MaxDelay)
}

// Observe learns the latency of a first attempt at a shard, from its sending to its reply. For an attempt that lost
// against its hedge it is the time until it was cancelled; leaving those out would shorten the delay further and
// further.
func (h *Hedger) Observe(collection string, latency time.Duration) {
	l := h.lookup(collection)
	if l == nil {
		l = h.add(collection)
	}
	if l != nil {
		l.observe(latency)
	}
}

func (h *Hedger) lookup(collection string) *latencies {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.collections[collection]
}

func (h *Hedger) add(collection string) *latencies {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.collections[collection]; l != nil {
		return l
	}
	if len(h.collections) >= maxCollections {
		return nil
	}
	l := newLatencies()
	h.collections[collection] = l
	return l
}

// Retain forgets all collections that keep does not name. The caller calls it when the set of collections changed.
func (h *Hedger) Retain(keep func(collection string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for collection := range h.collections {
		if !keep(collection) {
			delete(h.collections, collection)
		}
	}
}

// latencies is the recent shard latency of one collection.
type latencies struct {
	// delay is the learned delay in nanoseconds, 0 while unknown.
	delay atomic.Int64

	mu sync.Mutex
	// current and previous hold the samples of this generation and the preceding one.
	current, previous *hdrhistogram.Histogram
	// untilRefresh counts down the samples until the delay is computed again.
	untilRefresh int
}

func newLatencies() *latencies {
	return &latencies{
		current:      hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		previous:     hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		untilRefresh: leastSamples,
	}
}

func (l *latencies) observe(latency time.Duration) {
	micros := min(max(latency.Microseconds(), histogramMin), histogramMax)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values out of range, which were clamped.
	_ = l.current.RecordValue(micros)
	l.untilRefresh--
	if l.untilRefresh > 0 {
		return
	}
	l.untilRefresh = refresh
	l.delay.Store(int64(l.quantile()))
	if l.current.TotalCount() >= generation {
		l.previous, l.current = l.current, l.previous
		l.current.Reset()
	}
}

// quantile returns the p95 of both generations, weighted by their number of samples.
func (l *latencies) quantile() time.Duration {
	now := float64(l.current.ValueAtQuantile(quantile))
	weight := float64(l.current.TotalCount())
	before := float64(l.previous.ValueAtQuantile(quantile))
	beforeWeight := max(0, float64(generation)-weight)
	if l.previous.TotalCount() == 0 {
		beforeWeight = 0
	}
	micros := (now*weight + before*beforeWeight) / (weight + beforeWeight)
	return time.Duration(micros * float64(time.Microsecond))
}
