package budget

import (
	"sync"
	"time"
)

// buckets is the number of parts of a window; the oldest part leaves at a time.
const buckets = 10

// Window bounds extra attempts to a share of the first attempts in a sliding window, plus a fixed allowance. It is safe for
// concurrent use.
type Window struct {
	length time.Duration

	mu sync.Mutex
	// firsts and extras hold the counts of the last two windows by part, indexed by the part's number.
	firsts [2 * buckets]int
	extras [2 * buckets]int
	// part is the number of the latest part since began, the time of the first call. Times are compared by their monotonic readings, so
	// that a jump of the clock moves nothing.
	part  int64
	began time.Time
}

// NewWindow returns a window of the given length without attempts.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// RecordFirst counts a first attempt.
func (w *Window) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.firsts[w.part%(2*buckets)]++
}

// TryExtra counts an extra attempt and reports whether it is within share times the first attempts of the window, plus the allowance.
func (w *Window) TryExtra(now time.Time, share, allowance float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	firsts, extras := w.sums()
	if float64(extras+1) > share*float64(firsts)+allowance {
		return false
	}
	w.extras[w.part%(2*buckets)]++
	return true
}

// sums returns the first and extra attempts of the last window.
func (w *Window) sums() (firsts, extras int) {
	for i := range int64(buckets) {
		at := (w.part - i + 2*buckets) % (2 * buckets)
		firsts += w.firsts[at]
		extras += w.extras[at]
	}
	return firsts, extras
}

// advance empties the parts that began since the last call.
func (w *Window) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	part := int64(now.Sub(w.began) / (w.length / buckets))
	if part <= w.part {
		return
	}
	for range min(part-w.part, 2*buckets) {
		w.part++
		w.firsts[w.part%(2*buckets)] = 0
		w.extras[w.part%(2*buckets)] = 0
	}
	w.part = part
}
