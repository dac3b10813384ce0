// Package retry decides whether the entry sends another attempt for a shard whose attempt failed: only when that is safe, in time
// and within the budget.
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
	// retryCost is the budget units of one retry; each first attempt earns one unit, so that retries are at most 10%
	// of first attempts.
	retryCost          = 10
	defaultMaxSaved    = 1000
	defaultMaxAttempts = 3
	defaultBaseDelay   = 4 * time.Millisecond
	defaultMaxDelay    = 100 * time.Millisecond
	// needShare is the weight of a new sample in the learned need.
	needShare = 1.0 / 16
	// maxCollections bounds the memory for learned needs; further collections count as without need.
	maxCollections = 4096
)

// Settings configure a retrier. Zero fields take the default.
type Settings struct {
	// MaxAttempts is the greatest number of attempts for a shard of a query, the first included.
	MaxAttempts int
	// BaseDelay is the greatest wait before the first retry; it doubles with each attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MaxBudget is the number of retries that the budget saves up while none are sent.
	MaxBudget int
	// InitialBudget is the number of retries in the budget of a new process, beyond 10% of first attempts.
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
		s.MaxBudget = defaultMaxSaved
	}
	s.InitialBudget = min(max(s.InitialBudget, 0), s.MaxBudget)
	return s
}

// FailedAttempt is a failed attempt of a sub-request.
type FailedAttempt struct {
	// Collection names the collection whose learned need applies.
	Collection string
	// Reason is why the attempt failed.
	Reason wire.Reason
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Attempts is the number of attempts made for the shard, this one included.
	Attempts int
	// Deadline is the time at which the query's answer is due.
	Deadline time.Time
}

// Decision is what follows a failed attempt: Again or Stop.
type Decision interface{ decision() }

// Again sends another attempt.
type Again struct {
	// After is the wait before it, possibly zero.
	After time.Duration
}

// Stop sends no further attempt.
type Stop struct {
	// Reason is a RETRY reason, or the attempt's own when another attempt would meet the same fate.
	Reason wire.Reason
}

func (Again) decision() {}
func (Stop) decision()  {}

// Retrier holds the retry budget and the learned needs of one entry. It is safe for concurrent use.
type Retrier struct {
	settings Settings
	// budget is in units, between 0 and MaxSaved * retryCost.
	budget *budget.Budget

	randomMu sync.Mutex
	random   *rand.Rand

	mu sync.RWMutex
	// needs maps a collection to the bits of its mean latency in seconds.
	needs map[string]*atomic.Uint64
}

// New returns a retrier. Random draws the jitter; the retrier alone uses it from then on.
func New(s Settings, random *rand.Rand) *Retrier {
	s = s.withDefaults()
	return &Retrier{
		settings: s,
		budget:   budget.New(int64(s.InitialBudget)*retryCost, int64(s.MaxBudget)*retryCost),
		random:   random,
		needs:    make(map[string]*atomic.Uint64),
	}
}

// Sent earns budget for a number of first attempts.
func (r *Retrier) Sent(n int) { r.budget.Earn(n) }

// Observe learns the latency of a successful attempt, which is the time that a retry needs.
func (r *Retrier) Observe(collection string, latency time.Duration) {
	need := r.need(collection)
	if need == nil {
		need = r.addNeed(collection)
	}
	if need == nil {
		return
	}
	sample := max(latency, 0).Seconds()
	for {
		bits := need.Load()
		mean := math.Float64frombits(bits)
		if bits == 0 {
			mean = sample
		}
		mean += (sample - mean) * needShare
		if need.CompareAndSwap(bits, math.Float64bits(mean)) {
			return
		}
	}
}

func (r *Retrier) need(collection string) *atomic.Uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.needs[collection]
}

func (r *Retrier) addNeed(collection string) *atomic.Uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if need := r.needs[collection]; need != nil {
		return need
	}
	if len(r.needs) >= maxCollections {
		return nil
	}
	need := &atomic.Uint64{}
	r.needs[collection] = need
	return need
}

// ExpectedLatency returns the learned time that an attempt at the collection needs, zero while unknown.
func (r *Retrier) ExpectedLatency(collection string) time.Duration {
	need := r.need(collection)
	if need == nil {
		return 0
	}
	return time.Duration(math.Float64frombits(need.Load()) * float64(time.Second))
}

// Decide decides what follows a failed attempt. Again spends budget, so the caller must then send the attempt.
func (r *Retrier) Decide(now time.Time, a FailedAttempt) Decision {
	if !safe(a) {
		return Stop{Reason: wire.Reason_REASON_RETRY_UNSAFE}
	}
	if final(a.Reason) {
		return Stop{Reason: a.Reason}
	}
	if a.Attempts >= r.settings.MaxAttempts {
		return Stop{Reason: wire.Reason_REASON_RETRY_ATTEMPTS}
	}
	spare := a.Deadline.Sub(now) - r.ExpectedLatency(a.Collection)
	if spare <= 0 {
		return Stop{Reason: wire.Reason_REASON_RETRY_NO_TIME}
	}
	if !r.budget.Spend(retryCost) {
		return Stop{Reason: wire.Reason_REASON_RETRY_BUDGET}
	}
	if definite(a.Reason) {
		return Again{}
	}
	return Again{After: min(r.wait(a.Attempts), spare)}
}

// safe reports whether another attempt cannot run a non-idempotent request twice.
func safe(a FailedAttempt) bool {
	return a.Idempotent || reason.RunState(a.Reason) == wire.RunState_RUN_STATE_NOT_RUN
}

// final reports whether no attempt could do better, because the whole request was refused, given up or answered.
func final(r wire.Reason) bool {
	switch r {
	case wire.Reason_REASON_EXPIRED,
		wire.Reason_REASON_CANCELLED,
		wire.Reason_REASON_DEADLINE,
		wire.Reason_REASON_ANSWERED_EARLY,
		wire.Reason_REASON_CANCELLED_RUNNING:
		return true
	default:
		return r < wire.Reason_REASON_EXPIRED || r > wire.Reason_REASON_CANCELLED_RUNNING
	}
}

// definite reports whether a refusal says that the searcher or owner will not serve the shard, so that another attempt
// goes elsewhere and need not wait for this one to recover.
func definite(r wire.Reason) bool {
	switch r {
	case wire.Reason_REASON_SEARCHER_LEAVING,
		wire.Reason_REASON_SNAPSHOT_GONE,
		wire.Reason_REASON_NOT_OWNER:
		return true
	default:
		return false
	}
}

// wait draws the jittered wait after a number of attempts: uniform up to a bound that doubles.
func (r *Retrier) wait(attempts int) time.Duration {
	bound := r.settings.BaseDelay
	for i := 1; i < attempts && bound < r.settings.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, r.settings.MaxDelay)
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return time.Duration(r.random.Int64N(int64(bound) + 1))
}
