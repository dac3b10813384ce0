// Package retry decides whether the entry sends another attempt for a shard whose attempt failed: only if a retry is safe, can
// meet the deadline and is within the budget.
package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/budget"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// retryCost is the cost of one retry in budget units. Each first attempt earns one unit, so that retries are at most 10%
	// of first attempts.
	retryCost          = 10
	defaultMaxBudget   = 1000
	defaultMaxAttempts = 3
	defaultBaseDelay   = 4 * time.Millisecond
	defaultMaxDelay    = 100 * time.Millisecond
	// latencyWeight is the weight of a new sample in the mean latency of a collection.
	latencyWeight = 1.0 / 16
	// maxCollections limits the memory for mean latencies. Further collections have an expected latency of 0.
	maxCollections = 4096
)

// Settings configures a Retrier. Zero fields take their defaults.
type Settings struct {
	// MaxAttempts is the maximum number of attempts for a shard of a query, including the first.
	MaxAttempts int
	// BaseDelay is the upper bound of the delay before the first retry. The bound doubles with each attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MaxBudget is the maximum number of retries that accumulate in the budget while none are sent.
	MaxBudget int
	// InitialBudget is the number of retries in the budget of a new process, in addition to 10% of first attempts.
	InitialBudget int
}

func (s Settings) withDefaults() Settings {
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	if s.BaseDelay <= 0 {
		s.BaseDelay = defaultBaseDelay
	}
	if s.MaxDelay <= 0 {
		s.MaxDelay = defaultMaxDelay
	}
	if s.MaxBudget <= 0 {
		s.MaxBudget = defaultMaxBudget
	}
	s.InitialBudget = min(max(s.InitialBudget, 0), s.MaxBudget)
	return s
}

// FailedAttempt describes a failed attempt of a sub-request.
type FailedAttempt struct {
	// Collection names the collection whose expected latency applies.
	Collection string
	// Reason is why the attempt failed.
	Reason wire.Reason
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Attempts is the number of attempts made for the shard, including this one.
	Attempts int
	// Deadline is the time at which the query's answer is due.
	Deadline time.Time
}

// Decision is the decision after a failed attempt: Again or Stop.
type Decision interface{ decision() }

// Again means that the caller must send another attempt.
type Again struct {
	// After is the delay before the attempt, possibly zero.
	After time.Duration
}

// Stop means that the caller must not send another attempt.
type Stop struct {
	// Reason is a RETRY reason, or the reason of the attempt itself when another attempt would fail likewise.
	Reason wire.Reason
}

func (Again) decision() {}
func (Stop) decision()  {}

// Retrier holds the retry budget and the mean latencies of one entry. It is safe for concurrent use.
type Retrier struct {
	settings Settings
	// budget is in units, between 0 and MaxBudget * retryCost.
	budget *budget.Budget

	randomMu sync.Mutex
	random   *rand.Rand

	mu sync.RWMutex
	// meanLatencies maps a collection to its mean latency in seconds, as the bits of a float64.
	meanLatencies map[string]*atomic.Uint64
}

// New returns a Retrier. It draws the jitter from random, which the caller must not use afterwards.
func New(s Settings, random *rand.Rand) *Retrier {
	s = s.withDefaults()
	return &Retrier{
		settings:      s,
		budget:        budget.New(int64(s.InitialBudget)*retryCost, int64(s.MaxBudget)*retryCost),
		random:        random,
		meanLatencies: make(map[string]*atomic.Uint64),
	}
}

// Sent records n first attempts, which earn budget.
func (r *Retrier) Sent(n int) { r.budget.Earn(n) }

// Observe records the latency of a successful attempt, from which the time that a retry takes is estimated.
func (r *Retrier) Observe(collection string, latency time.Duration) {
	stored := r.meanLatency(collection)
	if stored == nil {
		stored = r.addMeanLatency(collection)
	}
	if stored == nil {
		return
	}
	sample := max(latency, 0).Seconds()
	for {
		bits := stored.Load()
		mean := math.Float64frombits(bits)
		if bits == 0 {
			mean = sample
		}
		mean += (sample - mean) * latencyWeight
		if stored.CompareAndSwap(bits, math.Float64bits(mean)) {
			return
		}
	}
}

func (r *Retrier) meanLatency(collection string) *atomic.Uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.meanLatencies[collection]
}

func (r *Retrier) addMeanLatency(collection string) *atomic.Uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored := r.meanLatencies[collection]; stored != nil {
		return stored
	}
	if len(r.meanLatencies) >= maxCollections {
		return nil
	}
	stored := &atomic.Uint64{}
	r.meanLatencies[collection] = stored
	return stored
}

// ExpectedLatency returns the estimated latency of an attempt at the collection, zero while unknown.
func (r *Retrier) ExpectedLatency(collection string) time.Duration {
	stored := r.meanLatency(collection)
	if stored == nil {
		return 0
	}
	return time.Duration(math.Float64frombits(stored.Load()) * float64(time.Second))
}

// Decide decides whether to retry a failed attempt. It spends budget when it returns Again, so the caller must then send
// the attempt.
func (r *Retrier) Decide(now time.Time, a FailedAttempt) Decision {
	if !safeToRetry(a) {
		return Stop{Reason: wire.Reason_REASON_RETRY_UNSAFE}
	}
	if isFinal(a.Reason) {
		return Stop{Reason: a.Reason}
	}
	if a.Attempts >= r.settings.MaxAttempts {
		return Stop{Reason: wire.Reason_REASON_RETRY_ATTEMPTS}
	}
	slack := a.Deadline.Sub(now) - r.ExpectedLatency(a.Collection)
	if slack <= 0 {
		return Stop{Reason: wire.Reason_REASON_RETRY_NO_TIME}
	}
	if !r.budget.Spend(retryCost) {
		return Stop{Reason: wire.Reason_REASON_RETRY_BUDGET}
	}
	if retriesElsewhere(a.Reason) {
		return Again{}
	}
	return Again{After: min(r.backoff(a.Attempts), slack)}
}

// safeToRetry reports whether another attempt is certain not to run a non-idempotent request twice.
func safeToRetry(a FailedAttempt) bool {
	return a.Idempotent || reason.RunState(a.Reason) == wire.RunState_RUN_STATE_NOT_RUN
}

// isFinal reports whether another attempt is pointless, because the whole request was refused, abandoned or answered.
func isFinal(r wire.Reason) bool {
	switch r {
	case wire.Reason_REASON_EXPIRED,
		wire.Reason_REASON_CANCELLED,
		wire.Reason_REASON_DEADLINE,
		wire.Reason_REASON_ANSWERED_EARLY,
		wire.Reason_REASON_CANCELLED_RUNNING:
		return true
	case wire.Reason_REASON_REPLY_MALFORMED, wire.Reason_REASON_REPLY_TOO_LONG:
		return false
	default:
		return r < wire.Reason_REASON_EXPIRED || r > wire.Reason_REASON_CANCELLED_RUNNING
	}
}

// retriesElsewhere reports whether the reason says that the searcher or owner will not serve the shard, so that the next
// attempt goes to another one and need not wait for this one to recover.
func retriesElsewhere(r wire.Reason) bool {
	switch r {
	case wire.Reason_REASON_SEARCHER_LEAVING,
		wire.Reason_REASON_SNAPSHOT_GONE,
		wire.Reason_REASON_NOT_OWNER:
		return true
	default:
		return false
	}
}

// backoff returns the delay after the given number of attempts: exponential backoff with full jitter, uniform between 0 and
// a bound that doubles with each attempt.
func (r *Retrier) backoff(attempts int) time.Duration {
	bound := r.settings.BaseDelay
	for i := 1; i < attempts && bound < r.settings.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, r.settings.MaxDelay)
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return time.Duration(r.random.Int64N(int64(bound) + 1))
}
