package wake

import "time"

// Verdict is the result of Tick: Normal, Paused or Jumped.
type Verdict interface {
	verdict()
	// Stale reports whether the caller must drop expired work and refresh its views.
	Stale() bool
}

// Normal says that the tick came in time.
type Normal struct{}

// Paused says that the process did not run for a while.
type Paused struct{ gap time.Duration }

// Jumped says that the wall clock moved without the monotonic clock: it was set, or the VM was suspended, which the monotonic clock
// does not count.
type Jumped struct {
	by    time.Duration
	stale bool
}

func (Normal) verdict() {}
func (Paused) verdict() {}
func (Jumped) verdict() {}

// Stale returns false.
func (Normal) Stale() bool { return false }

// Stale returns true.
func (Paused) Stale() bool { return true }

// Stale returns true when the clock moved forward by more than a pause, since the VM may have been suspended.
func (j Jumped) Stale() bool { return j.stale }

// Gap returns the time since the tick before, by whichever clock shows more.
func (p Paused) Gap() time.Duration { return p.gap }

// By returns how far the wall clock moved beyond the monotonic clock; it is negative when the clock was set back.
func (j Jumped) By() time.Duration { return j.by }
