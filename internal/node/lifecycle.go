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
	// tickInterval is how often the node looks at its clock and its state.
	tickInterval = 100 * time.Millisecond
	// drainPoll is how often a stopping node looks for requests in flight.
	drainPoll = 10 * time.Millisecond
	// resumeAfter ends the resuming phase of a node that hears nobody, which then reports itself alone.
	resumeAfter = 2 * time.Second
	// deliveryTime lets the last answers reach other nodes, at 20 ms between regions and with one loss.
	deliveryTime = 100 * time.Millisecond
	// closeTimeout bounds the closing of listeners once nothing is in flight.
	closeTimeout = time.Second
)

// maintain watches the clock, rebuilds the view and moves the phases until ctx ends.
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

// gate refuses requests by the phase, and while the process was paused without the next tick having noticed yet. The wall clock also
// counts the suspension of a VM.
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
		n.resume(ctx, now)
	}
	n.tickedAt.Store(now.UnixNano())
	switch n.phase.load() {
	case phaseStarting:
		if n.engine.Ready() {
			// The notice of the last document may still be on its way.
			n.rebuild(now)
			if n.phase.move(phaseStarting, phaseReady) {
				n.logger.Log(wire.Event_EVENT_NODE_READY)
			}
		}
	case phaseResuming:
		if n.refreshed.Load() || now.Sub(n.resumedAt) > resumeAfter {
			n.phase.move(phaseResuming, phaseReady)
		}
	}
	n.logMembership(now)
}

// resume drops everything that rests on the time before a pause.
func (n *Node) resume(ctx context.Context, now time.Time) {
	n.logger.Log(wire.Event_EVENT_PAUSE_DETECTED)
	n.resumedAt = now
	n.refreshed.Store(false)
	n.phase.move(phaseReady, phaseResuming)
	n.owner.HandlePause(now)
	n.members.HandlePause(now)
	n.tasks.Go(func() {
		if n.engine.Refresh(ctx) {
			n.refreshed.Store(true)
		}
	})
}

// shutdown leaves the directory, serves for as long as callers may keep its answers, refuses new work, and waits for
// what is in flight. It returns the number of requests that were in flight when kill ended or the limit passed.
func (n *Node) shutdown(kill context.Context) int {
	n.phase.set(phaseLeaving)
	n.logger.Log(wire.Event_EVENT_STOP_BEGUN)
	n.engine.SetStopping()
	valid := n.settings.GetDirectory().GetValid().AsDuration() + 2*n.settings.GetPeers().GetDigestInterval().AsDuration()
	if !delay.For(kill, valid) {
		return n.cutOff()
	}
	n.phase.set(phaseRefusing)
	n.logger.Log(wire.Event_EVENT_STOP_REFUSING)
	limit, cancel := context.WithTimeout(kill, n.settings.GetLimits().GetStop().AsDuration())
	defer cancel()
	for n.inFlight() > 0 || n.exchanges.Load() > 0 {
		if !delay.For(limit, drainPoll) {
			return n.cutOff()
		}
	}
	// Closing a connection discards what the transport has not sent yet.
	_ = delay.For(kill, deliveryTime)
	return 0
}

// inFlight counts callers' requests and other nodes' sub-requests.
func (n *Node) inFlight() int { return n.entry.InFlight() + n.owner.InFlight() }

// cutOff returns what is in flight and logs it when there is anything.
func (n *Node) cutOff() int {
	cut := n.inFlight()
	if cut > 0 {
		n.logger.Log(wire.Event_EVENT_STOP_CUT, zap.Int("requests", cut))
	}
	return cut
}

// closeListeners ends the requests that are left and closes the listeners and the connections to peers.
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

// closeRoles closes what the loops and the listeners used. They must have ended before, since they start tasks of the owner.
func (n *Node) closeRoles() {
	n.owner.Close()
	n.source.Close()
}
