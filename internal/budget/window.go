package budget

import (
	"sync"
	"time"
)

// buckets is the number of buckets of a window. The window slides by one bucket at a time.
const buckets = 10

// Window limits extra attempts to a share of the first attempts in a sliding window, plus an allowance. It is safe for
// concurrent use.
type Window struct {
	length time.Duration

	mu sync.Mutex
	// firstAttempts and extraAttempts hold the counts of the last two windows by bucket, indexed by the bucket's number
	// modulo their length.
	firstAttempts [2 * buckets]int
	extraAttempts [2 * buckets]int
	// bucket is the number of the latest bucket since start, the time of the first call. Times are compared by their
	// monotonic clock readings, so that a step of the wall clock has no effect.
	bucket int64
	start  time.Time
}

// NewWindow returns a window of the given length without attempts.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// RecordFirst counts a first attempt.
func (w *Window) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.firstAttempts[w.bucket%(2*buckets)]++
}

// TryExtra reports whether one more extra attempt is within share times the first attempts of the window plus the allowance,
// and counts it if so.
func (w *Window) TryExtra(now time.Time, share, allowance float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	firsts, extras := w.totals()
	if float64(extras+1) > share*float64(firsts)+allowance {
		return false
	}
	w.extraAttempts[w.bucket%(2*buckets)]++
	return true
}

// totals returns the numbers of first and extra attempts in the window.
func (w *Window) totals() (firsts, extras int) {
	for i := range int64(buckets) {
		index := (w.bucket - i + 2*buckets) % (2 * buckets)
		firsts += w.firstAttempts[index]
		extras += w.extraAttempts[index]
	}
	return firsts, extras
}

// advance moves to the bucket of the time now and clears the buckets that started since the last call.
func (w *Window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	bucket := int64(now.Sub(w.start) / (w.length / buckets))
	if bucket <= w.bucket {
		return
	}
	for range min(bucket-w.bucket, 2*buckets) {
		w.bucket++
		w.firstAttempts[w.bucket%(2*buckets)] = 0
		w.extraAttempts[w.bucket%(2*buckets)] = 0
	}
	w.bucket = bucket
}
