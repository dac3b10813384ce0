package node

import (
	"sync/atomic"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/status"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Phases of a node, in order. A node only moves to a later phase, except from resuming back to ready.
const (
	phaseStarting int32 = iota
	phaseReady
	phaseResuming
	// phaseLeaving still serves requests, but the directory no longer lists the node.
	phaseLeaving
	// phaseRefusing completes the requests in flight and refuses new ones.
	phaseRefusing
)

// phase is the current phase of a node. It is safe for concurrent use.
type phase struct {
	value atomic.Int32
}

func (p *phase) load() int32 { return p.value.Load() }

// transition changes the phase if the current one is from, and reports whether it did.
func (p *phase) transition(from, to int32) bool { return p.value.CompareAndSwap(from, to) }

func (p *phase) set(to int32) { p.value.Store(to) }

// refusal returns why a node in this phase refuses new requests, or nil.
func (p *phase) refusal() *reason.Refusal {
	switch p.load() {
	case phaseStarting:
		return reason.New(wire.Reason_REASON_NOT_READY, "the node is starting")
	case phaseResuming:
		return reason.New(wire.Reason_REASON_NOT_READY, "the node resumes from a pause")
	case phaseRefusing:
		return reason.New(wire.Reason_REASON_STOPPING, "")
	default:
		return nil
	}
}

func (p *phase) stopping() bool { return p.load() >= phaseLeaving }

func (p *phase) state() status.State {
	switch p.load() {
	case phaseStarting:
		return status.Starting
	case phaseReady:
		return status.Ready
	case phaseResuming:
		return status.Resuming
	default:
		return status.Stopping
	}
}
