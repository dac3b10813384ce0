package fakes

import (
	"sync"
	"time"
)

// Calls holds the call counters of a Platform.
type Calls struct {
	total   int
	watches int
	refused int
	peak    int
}

// Total returns the number of calls, including refused ones.
func (c Calls) Total() int { return c.total }

// Watches returns the number of calls with a wait time, including refused ones.
func (c Calls) Watches() int { return c.watches }

// Refused returns the number of calls refused because of the rate limit.
func (c Calls) Refused() int { return c.refused }

// Peak returns the maximum number of calls within any one second, including refused ones.
func (c Calls) Peak() int { return c.peak }

// callMeter counts calls and admits at most rate calls within any window. A watch counts once, when it begins.
type callMeter struct {
	rate   int
	window time.Duration

	mu       sync.Mutex
	counts   Calls
	arrived  slidingWindow
	admitted slidingWindow
}

// allow counts one call and reports whether it is within the rate limit.
func (m *callMeter) allow(now time.Time, watch bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.total++
	if watch {
		m.counts.watches++
	}
	m.counts.peak = max(m.counts.peak, m.arrived.add(now, m.window))
	if m.admitted.trim(now, m.window) >= m.rate {
		m.counts.refused++
		return false
	}
	m.admitted.add(now, m.window)
	return true
}

func (m *callMeter) calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// slidingWindow holds the times of the calls within the last window, oldest first.
type slidingWindow struct {
	times []time.Time
}

// add records a call and returns the number of calls within the window.
func (w *slidingWindow) add(now time.Time, window time.Duration) int {
	w.trim(now, window)
	w.times = append(w.times, now)
	return len(w.times)
}

// trim drops calls before the window and returns the number of remaining calls.
func (w *slidingWindow) trim(now time.Time, window time.Duration) int {
	start := now.Add(-window)
	expired := 0
	for expired < len(w.times) && !w.times[expired].After(start) {
		expired++
	}
	w.times = w.times[expired:]
	return len(w.times)
}
