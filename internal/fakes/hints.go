package fakes

import (
	"sync"
	"sync/atomic"
	"time"
)

// HintMode selects what the health and load endpoints report: AccurateHints, DelayedHints or FalseHints.
type HintMode interface{ hintMode() }

// AccurateHints reports the current state.
type AccurateHints struct{}

// DelayedHints reports the state as of Lag ago, but never a state from before the mode was set.
type DelayedHints struct{ Lag time.Duration }

// FalseHints reports fixed values.
type FalseHints struct {
	Healthy bool
	Leaving bool
	Running int
	Waiting int
}

func (AccurateHints) hintMode() {}
func (DelayedHints) hintMode()  {}
func (FalseHints) hintMode()    {}

// delaySteps bounds the history of delayed hints: recorded states are at least Lag/delaySteps apart.
const delaySteps = 256

// state holds the values that the health and load endpoints report.
type state struct {
	healthy     bool
	leaving     bool
	running     int
	waiting     int
	connections int
	snapshots   []uint64
}

// hints determines the reported state from the current mode.
type hints struct {
	// recording is true in the DelayedHints mode, which needs a history.
	recording atomic.Bool

	mu      sync.Mutex
	mode    HintMode
	history []timedState
}

type timedState struct {
	at    time.Time
	state state
}

func (h *hints) set(mode HintMode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = mode
	h.history = nil
	_, recording := mode.(DelayedHints)
	h.recording.Store(recording)
}

// record adds the current state to the history of delayed hints. It reads the clock and the state under the lock, so that the history
// is in the order of the states.
func (h *hints) record(current func() state) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(time.Now(), current())
}

// add adds a state to the history in the DelayedHints mode; h.mu must be held.
func (h *hints) add(now time.Time, s state) {
	mode, ok := h.mode.(DelayedHints)
	if !ok {
		return
	}
	h.trim(now.Add(-mode.Lag))
	last := len(h.history) - 1
	if last > 0 && now.Sub(h.history[last-1].at) < mode.Lag/delaySteps {
		h.history[last].state = s
		return
	}
	h.history = append(h.history, timedState{at: now, state: s})
}

// trim drops the states that were already superseded at the cutoff.
func (h *hints) trim(cutoff time.Time) {
	for len(h.history) > 1 && !h.history[1].at.After(cutoff) {
		h.history = h.history[1:]
	}
}

// report returns the state to report, given the current state.
func (h *hints) report(now time.Time, current state) state {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch mode := h.mode.(type) {
	case DelayedHints:
		h.trim(now.Add(-mode.Lag))
		if len(h.history) == 0 {
			return current
		}
		return h.history[0].state
	case FalseHints:
		current.healthy = mode.Healthy
		current.leaving = mode.Leaving
		current.running = mode.Running
		current.waiting = mode.Waiting
		return current
	default:
		return current
	}
}
