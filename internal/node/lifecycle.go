package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wake"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// tickInterval is the interval at which the node checks its clock and its phase.
	tickInterval = 100 * time.Millisecond
	// drainPollInterval is the interval at which a stopping node checks for requests in flight.
	drainPollInterval = 10 * time.Millisecond
	// resumeTimeout ends the resuming phase of a node that no peer answers. The node then reports itself as alone.
	resumeTimeout = 2 * time.Second
	// deliveryDelay gives the last replies time to reach other nodes: it allows for 20 ms between regions and one lost packet.
	deliveryDelay = 100 * time.Millisecond
	// closeTimeout bounds the closing of listeners once nothing is in flight.
	closeTimeout = time.Second
)

// maintain detects pauses of the process, rebuilds the view and advances the phase until ctx ends.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.dirty:
			n.rebuild(n.clock())
		case <-ticker.C:
			n.tick(ctx, n.clock())
		}
	}
}

// gate returns the refusal of new requests, or nil when they are accepted. Besides the phase it checks for a pause of the process
// that the next tick has not detected yet. It compares wall-clock times, which also advance while a VM is suspended.
func (n *Node) gate() *reason.Refusal {
	if refusal := n.phase.refusal(); refusal != nil {
		return refusal
	}
	last := n.tickedAt.Load()
	if last != 0 && n.clock().UnixNano()-last > int64(wake.DefaultPauseThreshold) {
		return reason.New(wire.Reason_REASON_NOT_READY, "the node resumes from a pause")
	}
	return nil
}

func (n *Node) tick(ctx context.Context, now time.Time) {
	if verdict := n.detector.Tick(now); verdict.Stale() {
		n.handlePause(ctx, now)
	}
	n.tickedAt.Store(now.UnixNano())
	n.guard.Tick(now)
	switch n.phase.load() {
	case phaseStarting:
		if n.engine.Ready() {
			// The notification of the last document may still be pending.
			n.rebuild(now)
			if n.phase.transition(phaseStarting, phaseReady) {
				n.logger.Log(wire.Event_EVENT_NODE_READY)
			}
		}
	case phaseResuming:
		if n.refreshed.Load() || now.Sub(n.resumedAt) > resumeTimeout {
			n.phase.transition(phaseResuming, phaseReady)
		}
	}
	n.logMembership(now)
}

// handlePause discards all state that depends on the time before a pause.
func (n *Node) handlePause(ctx context.Context, now time.Time) {
	n.logger.Log(wire.Event_EVENT_PAUSE_DETECTED)
	n.resumedAt = now
	n.refreshed.Store(false)
	n.phase.transition(phaseReady, phaseResuming)
	n.owner.HandlePause(now)
	n.members.HandlePause(now)
	n.tasks.Go(func() {
		if n.engine.Refresh(ctx) {
			n.refreshed.Store(true)
		}
	})
}

// shutdown removes the node from the directory, keeps serving for as long as callers may cache directory answers, then refuses new
// work and waits for the requests in flight. It returns the number of requests still in flight when kill ended or the time limit
// passed.
func (n *Node) shutdown(kill context.Context) int {
	n.phase.set(phaseLeaving)
	n.logger.Log(wire.Event_EVENT_STOP_BEGUN)
	n.engine.SetStopping()
	valid := n.settings.GetDirectory().GetValid().AsDuration() + 2*n.settings.GetPeers().GetDigestInterval().AsDuration()
	if !delay.Sleep(kill, valid) {
		return n.reportCutOff()
	}
	n.phase.set(phaseRefusing)
	n.logger.Log(wire.Event_EVENT_STOP_REFUSING)
	limit, cancel := context.WithTimeout(kill, n.settings.GetLimits().GetStop().AsDuration())
	defer cancel()
	for n.inFlight() > 0 || n.peerRequests.Load() > 0 {
		if !delay.Sleep(limit, drainPollInterval) {
			return n.reportCutOff()
		}
	}
	// Closing a connection discards the data that the transport has not sent yet.
	_ = delay.Sleep(kill, deliveryDelay)
	return 0
}

// inFlight returns the number of callers' requests and sub-requests in flight.
func (n *Node) inFlight() int { return n.entry.InFlight() + n.owner.InFlight() }

// reportCutOff returns the number of requests in flight and logs it unless it is 0.
func (n *Node) reportCutOff() int {
	cut := n.inFlight()
	if cut > 0 {
		n.logger.Log(wire.Event_EVENT_STOP_CUT, zap.Int("requests", cut))
	}
	return cut
}

// closeListeners ends the remaining requests and closes the listeners and the connections to peers.
func (n *Node) closeListeners() {
	n.phase.set(phaseRefusing)
	n.entry.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.front.Shutdown(ctx)
	_ = n.status.Shutdown(ctx)
	_ = n.transport.Close()
	_ = n.listeners.Peers.Close()
}

// closeComponents closes the components that the background loops and the listeners use. Both must have ended before, since they start
// tasks of the owner.
func (n *Node) closeComponents() {
	n.owner.Close()
	n.source.Close()
}
