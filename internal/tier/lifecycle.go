package tier

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/roster"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// tickInterval is how often a node looks at its clock and its state.
	tickInterval = 250 * time.Millisecond
	// directoryValid is how long callers keep an answer of the directory, unless the platform allows less.
	directoryValid = 2 * time.Second
	// leaveShare is the part of the stop time in which a stopping node still takes requests of callers that have not asked again.
	leaveShare = 0.58
	// endMargin is kept between the end of the last request and the end of the stop time.
	endMargin = 500 * time.Millisecond
	// drainPoll is how often a stopping node looks for requests in flight.
	drainPoll = 10 * time.Millisecond
	// quietAfter is the time after which a stopping node without connections ends early.
	quietAfter = 2500 * time.Millisecond
)

// maintain watches the clock and the phase until ctx ends.
func (t *Tier) maintain(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.tick(ctx, t.clock())
		}
	}
}

func (t *Tier) tick(ctx context.Context, now time.Time) {
	if verdict := t.detector.Tick(now); verdict.Stale() {
		t.logger.Log(wire.Event_EVENT_PAUSE_DETECTED)
		t.roster.Resumed(now)
		t.follower.Resumed()
	}
	t.engine.Tick(ctx, now)
	if nodes := t.nodes(now); !nodes.Equal(t.shared) {
		t.shared = nodes
		t.updates.Lock()
		t.engine.SetNodes(nodes)
		t.updates.Unlock()
	}
}

// rebuild makes the engine use the present routes and searchers, and makes the node ready once it has both.
func (t *Tier) rebuild() {
	table := t.follower.Table()
	if table == nil {
		return
	}
	t.updates.Lock()
	t.engine.Update(t.fleet.Snapshot(), table)
	t.updates.Unlock()
	if t.ready.CompareAndSwap(false, true) {
		t.roster.SetPhase(roster.Ready)
		t.logger.Log(wire.Event_EVENT_NODE_READY, zap.Uint64("version", table.Version()))
		t.announce()
	}
}

// nodes counts the nodes that share the connections of searchers and the budget of repeats.
func (t *Tier) nodes(now time.Time) relay.NodeCounts {
	self := t.roster.Self()
	nodes := relay.NodeCounts{ByRegion: t.roster.Sharers(now, leastLoad), Discovering: t.unmet(now)}
	for _, count := range nodes.ByRegion {
		nodes.Active += count
	}
	// A stopping node and one that others still send callers to keep their share while they serve.
	nodes.SelfActive = t.roster.IsActive(now) || self.Load >= leastLoad || self.Phase == roster.Stopping
	return nodes
}

// meetTime is the time after its start in which a node may not know the others yet.
const meetTime = 1500 * time.Millisecond

// unmet reports whether this node may not know the others yet. Without another node's address to start from there are none.
func (t *Tier) unmet(now time.Time) bool {
	alone := true
	for _, seed := range t.settings.Load().Seeds {
		alone = alone && seed == t.roster.Self().PeerAddress
	}
	return !alone && now.Sub(t.startedAt) < meetTime
}

// leastLoad is the load in cores from which a node counts among those that share, though callers are not sent to it.
const leastLoad = 0.01

// readersPerRegion is the number of nodes of a region that read the source; one of them may be lost unnoticed.
const readersPerRegion = 2

// reader reports whether this node is one of those that read the source for their region.
func (t *Tier) reader() bool {
	for _, state := range t.roster.First(t.clock(), readersPerRegion) {
		if state.ID == t.roster.Self().ID {
			return true
		}
	}
	return false
}

// shutdown leaves the directory, serves callers that have not asked again, closes the listener and waits for what is in flight. It
// returns the number of requests that were cut off.
func (t *Tier) shutdown() int {
	started := t.clock()
	stopTime := t.settings.Load().StopTime
	t.stopping.Store(true)
	t.roster.SetPhase(roster.Stopping)
	t.logger.Log(wire.Event_EVENT_STOP_BEGUN)
	t.announce()
	leave := started.Add(time.Duration(leaveShare * float64(stopTime)))
	for now := started; now.Before(leave); now = t.clock() {
		if now.Sub(started) > quietAfter && t.edge.Connections() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	t.logger.Log(wire.Event_EVENT_STOP_REFUSING)
	closed := make(chan struct{})
	t.background.Go(func() {
		defer close(closed)
		t.report("callers", t.edge.Shutdown())
	})
	timer := time.NewTimer(started.Add(stopTime - endMargin).Sub(t.clock()))
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
	cut := t.engine.InFlight()
	if cut > 0 {
		t.logger.Log(wire.Event_EVENT_STOP_CUT, zap.Int("requests", cut))
	}
	return cut
}
