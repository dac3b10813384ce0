package wake

import "time"

// Verdict is the result of Tick: Normal, Paused or Jumped.
type Verdict interface {
	verdict()
	// Stale reports whether the caller must drop expired work and refresh its views.
	Stale() bool
}

// Normal means that the tick came in time.
type Normal struct{}

// Paused means that the process did not run for some time.
type Paused struct{ gap time.Duration }

// Jumped means that the wall clock moved without the monotonic clock: the clock was set, or the VM was suspended, for which the monotonic
// clock does not advance.
type Jumped struct {
	offset time.Duration
	stale  bool
}

func (Normal) verdict() {}
func (Paused) verdict() {}
func (Jumped) verdict() {}

// Stale returns false.
func (Normal) Stale() bool { return false }

// Stale returns true.
func (Paused) Stale() bool { return true }

// Stale returns true when the clock moved forward by more than PauseThreshold, since the VM may have been suspended.
func (j Jumped) Stale() bool { return j.stale }

// Gap returns the time since the previous tick, by whichever clock shows more.
func (p Paused) Gap() time.Duration { return p.gap }

// Offset returns how far the wall clock moved relative to the monotonic clock. It is negative when the clock was set back.
func (j Jumped) Offset() time.Duration { return j.offset }
