// Package wake detects that the process was paused or that its clock was set, so that the process does not continue with expired work and
// outdated views as if no time had passed.
package wake

import (
	"sync"
	"time"
)

// Defaults of Settings.
const (
	DefaultTickInterval   = 100 * time.Millisecond
	DefaultPauseThreshold = 2 * time.Second
	DefaultJumpThreshold  = 500 * time.Millisecond
)

// Settings describe the loop that calls Tick. A zero field takes its default.
type Settings struct {
	// TickInterval is the time between ticks.
	TickInterval time.Duration
	// PauseThreshold is the delay of a tick, or the forward jump of the wall clock, above which the process counts as paused.
	PauseThreshold time.Duration
	// JumpThreshold is the difference between the two clocks from which a jump is reported. It is above what a time service corrects by
	// slewing between two ticks.
	JumpThreshold time.Duration
}

// Detector compares successive ticks. It is safe for concurrent use, including by several loops.
type Detector struct {
	settings Settings

	mu sync.Mutex
	// last is the time of the latest tick, or zero before the first.
	last time.Time
}

// New returns a detector that has seen no tick.
func New(s Settings) *Detector {
	if s.TickInterval <= 0 {
		s.TickInterval = DefaultTickInterval
	}
	if s.PauseThreshold <= 0 {
		s.PauseThreshold = DefaultPauseThreshold
	}
	if s.JumpThreshold <= 0 {
		s.JumpThreshold = DefaultJumpThreshold
	}
	return &Detector{settings: s}
}

// Tick reports what happened between the previous tick and now. The time should carry a monotonic reading, as that of time.Now does;
// without one, a pause cannot be told from a clock that was set forward. The first tick is Normal. A tick older than the latest, from a
// loop that was delayed between reading the clock and calling Tick, is Normal and changes nothing.
func (d *Detector) Tick(now time.Time) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.last
	if last.IsZero() {
		d.last = now
		return Normal{}
	}
	monotonic := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	if monotonic < 0 && (hasMonotonic(now) || -monotonic < d.settings.JumpThreshold) {
		return Normal{}
	}
	d.last = now
	if !hasMonotonic(now) && wall < 0 {
		monotonic = 0
	}
	return d.settings.classify(monotonic, wall)
}

// classify compares the time that passed on each clock with the tick interval.
func (s Settings) classify(monotonic, wall time.Duration) Verdict {
	if monotonic-s.TickInterval > s.PauseThreshold {
		return Paused{gap: max(monotonic, wall)}
	}
	offset := wall - monotonic
	if offset.Abs() < s.JumpThreshold {
		return Normal{}
	}
	return Jumped{offset: offset, stale: offset > s.PauseThreshold}
}

// hasMonotonic reports whether a time carries a monotonic reading, which Round strips.
func hasMonotonic(t time.Time) bool { return t != t.Round(0) }
