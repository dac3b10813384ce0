// Package hedge decides when the entry sends a second attempt for a shard that has not replied: after the measured p95 of
// the collection's shard latency, and within a budget that decreases to 0 as the pressure of the owner rises.
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
	// hedgeCost is the cost of one hedge in budget units. Each first attempt earns one unit, so that hedges are at most 5% of
	// first attempts.
	hedgeCost = 20
	// defaultMaxBudget is in hedges.
	defaultMaxBudget    = 200
	defaultInitialDelay = 50 * time.Millisecond
	defaultMinDelay     = time.Millisecond
	defaultMaxDelay     = 10 * time.Second
	// Up to fullBudgetPressure the whole budget is available. It decreases linearly to nothing at noBudgetPressure.
	fullBudgetPressure = 0.5
	noBudgetPressure   = 1.0
	// delayPercentile is the percentile of the shard latency after which a hedge is sent.
	delayPercentile = 95
	// generationSamples is the number of samples after which the current histogram replaces the previous one.
	generationSamples = 2048
	// minSamples is the number of samples before the first delay is computed.
	minSamples = 32
	// refreshSamples is the number of samples between two computations of the delay.
	refreshSamples = 128
	// Histograms record microseconds up to a minute with a relative error below 1%.
	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
	// maxCollections limits the memory for histograms. Further collections use the initial delay.
	maxCollections = 1024
)

// Settings configures a Hedger. Zero fields take their defaults.
type Settings struct {
	// InitialDelay applies to a collection until enough latencies were measured.
	InitialDelay time.Duration
	// MinDelay and MaxDelay bound the measured delay.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MaxBudget is the maximum number of hedges that accumulate in the budget while none are sent.
	MaxBudget int
	// Mode selects whether hedges are sent. Nil means Budgeted.
	Mode Mode
}

// Mode selects whether hedges are sent: Budgeted or Never.
type Mode interface{ mode() }

// Budgeted sends hedges within the budget. It is the default.
type Budgeted struct{}

// Never sends no hedges. It is the baseline of load tests.
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
		s.MaxBudget = defaultMaxBudget
	}
	return s
}

// Hedger holds the measured delays and the budget of one entry. It is safe for concurrent use.
type Hedger struct {
	settings Settings
	// budget is in units, between 0 and MaxBudget * hedgeCost.
	budget *budget.Budget

	mu          sync.RWMutex
	collections map[string]*latencyHistogram
}

// New returns a Hedger with an empty budget and without measured delays.
func New(s Settings) *Hedger {
	s = s.withDefaults()
	return &Hedger{
		settings:    s,
		budget:      budget.New(0, int64(s.MaxBudget)*hedgeCost),
		collections: make(map[string]*latencyHistogram),
	}
}

// Sent records n first attempts, which earn budget.
func (h *Hedger) Sent(n int) { h.budget.Earn(n) }

// Allow reports whether one hedge may be sent, and spends budget for it. The cost of a hedge rises with the pressure of the
// shard's owner above 0.5, so that the available hedges decrease to 0 at a pressure of 1.
func (h *Hedger) Allow(pressure float64) bool {
	if _, ok := h.settings.Mode.(Never); ok {
		return false
	}
	scale := (noBudgetPressure - pressure) / (noBudgetPressure - fullBudgetPressure)
	// The negated comparison also refuses NaN.
	if !(scale > 0) {
		return false
	}
	cost := math.Ceil(hedgeCost / min(scale, 1))
	// Close to noBudgetPressure the cost may overflow an int64.
	return cost <= math.MaxInt64/2 && h.budget.Spend(int64(cost))
}

// Delay returns the time without a reply after which a shard of the collection counts as a straggler.
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

// Observe records the latency of a first attempt at a shard, from sending it to its reply. For an attempt that lost to its
// hedge the caller passes the time until it was cancelled: leaving those out would shorten the delay further and further.
func (h *Hedger) Observe(collection string, latency time.Duration) {
	l := h.lookup(collection)
	if l == nil {
		l = h.add(collection)
	}
	if l != nil {
		l.observe(latency)
	}
}

func (h *Hedger) lookup(collection string) *latencyHistogram {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.collections[collection]
}

func (h *Hedger) add(collection string) *latencyHistogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.collections[collection]; l != nil {
		return l
	}
	if len(h.collections) >= maxCollections {
		return nil
	}
	l := newLatencyHistogram()
	h.collections[collection] = l
	return l
}

// Retain removes the delays of all collections for which keep is false. The caller calls it when the set of collections
// changed.
func (h *Hedger) Retain(keep func(collection string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for collection := range h.collections {
		if !keep(collection) {
			delete(h.collections, collection)
		}
	}
}

// latencyHistogram holds the recent shard latencies of one collection.
type latencyHistogram struct {
	// delay is the measured delay in nanoseconds, 0 while unknown.
	delay atomic.Int64

	mu sync.Mutex
	// current and previous hold the samples of the current generation and the one before.
	current, previous *hdrhistogram.Histogram
	// untilRefresh is the number of samples until the delay is computed again.
	untilRefresh int
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{
		current:      hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		previous:     hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		untilRefresh: minSamples,
	}
}

func (l *latencyHistogram) observe(latency time.Duration) {
	micros := min(max(latency.Microseconds(), histogramMin), histogramMax)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values out of range, and micros is clamped.
	_ = l.current.RecordValue(micros)
	l.untilRefresh--
	if l.untilRefresh > 0 {
		return
	}
	l.untilRefresh = refreshSamples
	l.delay.Store(int64(l.percentile()))
	if l.current.TotalCount() >= generationSamples {
		l.previous, l.current = l.current, l.previous
		l.current.Reset()
	}
}

// percentile returns the weighted average of the p95s of both generations. The previous one has the weight of the samples
// that the current one still lacks.
func (l *latencyHistogram) percentile() time.Duration {
	current := float64(l.current.ValueAtQuantile(delayPercentile))
	weight := float64(l.current.TotalCount())
	previous := float64(l.previous.ValueAtQuantile(delayPercentile))
	previousWeight := max(0, float64(generationSamples)-weight)
	if l.previous.TotalCount() == 0 {
		previousWeight = 0
	}
	micros := (current*weight + previous*previousWeight) / (weight + previousWeight)
	return time.Duration(micros * float64(time.Microsecond))
}
