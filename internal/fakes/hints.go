package fakes

import (
	"sync"
	"sync/atomic"
	"time"
)

// HintMode decides what the health and load endpoints answer: HonestHints, LaggingHints or FalseHints.
type HintMode interface{ hintMode() }

// AccurateHints answers with the present state.
type AccurateHints struct{}

// DelayedHints answers with the state as it was a time ago, at the earliest when the mode was set.
type DelayedHints struct{ Lag time.Duration }

// FalseHints answers with fixed figures.
type FalseHints struct {
	Healthy bool
	Leaving bool
	Running int
	Waiting int
}

func (AccurateHints) hintMode() {}
func (DelayedHints) hintMode()  {}
func (FalseHints) hintMode()    {}

// lagSteps bounds the history of a lagging endpoint: states are kept at least lag/lagSteps apart.
const lagSteps = 256

// state is what the health and load endpoints report.
type state struct {
	healthy     bool
	leaving     bool
	running     int
	waiting     int
	connections int
	snapshots   []uint64
}

// hints answers for the endpoints in the present mode.
type hints struct {
	// lags is set while a history is needed.
	lags atomic.Bool

	mu      sync.Mutex
	mode    HintMode
	history []datedState
}

type datedState struct {
	at    time.Time
	state state
}

func (h *hints) set(mode HintMode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = mode
	h.history = nil
	_, lags := mode.(DelayedHints)
	h.lags.Store(lags)
}

// record adds the present state to the history of a lagging endpoint. It reads the clock and the state under the lock, so that
// the history is in the order of the states.
func (h *hints) record(present func() state) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(time.Now(), present())
}

// add adds a state to the history; the lock is held.
func (h *hints) add(now time.Time, s state) {
	mode, ok := h.mode.(DelayedHints)
	if !ok {
		return
	}
	h.trim(now.Add(-mode.Lag))
	last := len(h.history) - 1
	if last > 0 && now.Sub(h.history[last-1].at) < mode.Lag/lagSteps {
		h.history[last].state = s
		return
	}
	h.history = append(h.history, datedState{at: now, state: s})
}

// trim drops the states that were replaced before the moment.
func (h *hints) trim(moment time.Time) {
	for len(h.history) > 1 && !h.history[1].at.After(moment) {
		h.history = h.history[1:]
	}
}

// answer returns what the endpoints report, given the present state.
func (h *hints) answer(now time.Time, present state) state {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch mode := h.mode.(type) {
	case DelayedHints:
		h.trim(now.Add(-mode.Lag))
		if len(h.history) == 0 {
			return present
		}
		return h.history[0].state
	case FalseHints:
		present.healthy = mode.Healthy
		present.leaving = mode.Leaving
		present.running = mode.Running
		present.waiting = mode.Waiting
		return present
	default:
		return present
	}
}
