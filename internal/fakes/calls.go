package fakes

import (
	"sync"
	"time"
)

// Calls is what the call meter of a Platform counted.
type Calls struct {
	total   int
	watches int
	refused int
	peak    int
}

// Total returns all calls, refused ones included.
func (c Calls) Total() int { return c.total }

// Watches returns the calls that asked to wait, refused ones included.
func (c Calls) Watches() int { return c.watches }

// Refused returns the calls above the rate.
func (c Calls) Refused() int { return c.refused }

// Peak returns the greatest number of calls in any one second, refused ones included.
func (c Calls) Peak() int { return c.peak }

// callMeter admits a number of calls in any one window. A watch counts once, when it begins.
type callMeter struct {
	rate   int
	window time.Duration

	mu       sync.Mutex
	counted  Calls
	arrived  callTimes
	admitted callTimes
}

// call counts one call and reports whether it is within the rate.
func (m *callMeter) call(now time.Time, watch bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counted.total++
	if watch {
		m.counted.watches++
	}
	m.counted.peak = max(m.counted.peak, m.arrived.add(now, m.window))
	if m.admitted.trim(now, m.window) >= m.rate {
		m.counted.refused++
		return false
	}
	m.admitted.add(now, m.window)
	return true
}

func (m *callMeter) calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counted
}

// callTimes holds the times of the calls of the last window, oldest first.
type callTimes struct {
	times []time.Time
}

// add records a call and returns the number of calls of the window.
func (c *callTimes) add(now time.Time, window time.Duration) int {
	c.trim(now, window)
	c.times = append(c.times, now)
	return len(c.times)
}

// trim drops older calls and returns the number left.
func (c *callTimes) trim(now time.Time, window time.Duration) int {
	begin := now.Add(-window)
	old := 0
	for old < len(c.times) && !c.times[old].After(begin) {
		old++
	}
	c.times = c.times[old:]
	return len(c.times)
}
