package tier

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/roster"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// tickInterval is the time between two checks of the clock and of the node's state.
	tickInterval = 250 * time.Millisecond
	// maxDirectoryValidity is how long callers may cache a directory answer, unless the platform sets a shorter time.
	maxDirectoryValidity = time.Second
	// drainShare is the share of the stop time during which a stopping node still accepts requests from callers with a cached directory answer.
	drainShare = 0.58
	// shutdownMargin is kept between the end of the last request and the end of the stop time, and answerTime before it for the answers of
	// requests that the stop ends.
	shutdownMargin = 500 * time.Millisecond
	answerTime     = 200 * time.Millisecond
	// exitMargin is kept between the end of the process and the end of the stop time, whatever connections are still open.
	exitMargin = 250 * time.Millisecond
	// drainPollInterval is how often a stopping node checks for open connections.
	drainPollInterval = 10 * time.Millisecond
	// earlyShutdownDelay is the time after which a stopping node without connections stops early.
	earlyShutdownDelay = 2500 * time.Millisecond
)

// maintain runs the periodic checks until ctx ends.
func (t *Tier) maintain(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.runTick(ctx, t.clock())
		}
	}
}

func (t *Tier) runTick(ctx context.Context, now time.Time) {
	if verdict := t.detector.Tick(now); verdict.Stale() {
		t.logger.Log(wire.Event_EVENT_PAUSE_DETECTED)
		t.roster.HandlePause(now)
		t.follower.Resumed()
	}
	t.engine.Tick(ctx, now)
	t.guard.Tick(now)
	if t.roster.SetReach(t.engine.Reach()) {
		t.relay([]roster.State{t.roster.Self()})
	}
	t.sendUrgent()
	t.engine.CompareReach(t.roster.BestReach(now))
	t.sendMarks(now)
	if nodes := t.nodeCounts(now); !nodes.Equal(t.lastNodeCounts) {
		t.lastNodeCounts = nodes
		t.engineUpdates.Lock()
		t.engine.SetNodes(nodes)
		t.engineUpdates.Unlock()
	}
}

// rebuild updates the engine with the current routes and searchers, and makes the node ready the first time that there are routes.
func (t *Tier) rebuild() {
	table := t.follower.Table()
	if table == nil {
		return
	}
	t.engineUpdates.Lock()
	t.fleet.SetServices(table.ServiceNames())
	t.engine.Update(t.fleet.Snapshot(), table)
	t.engineUpdates.Unlock()
	if t.ready.CompareAndSwap(false, true) {
		t.roster.SetPhase(roster.Ready)
		t.logger.Log(wire.Event_EVENT_NODE_READY, zap.Uint64("version", table.Version()))
		t.propagateState()
	}
}

// nodeCounts counts the nodes that share the searchers' connections and the budget of retries and hedges.
func (t *Tier) nodeCounts(now time.Time) relay.NodeCounts {
	self := t.roster.Self()
	sharing := t.roster.SharingNodes(now, minSharingLoad)
	nodes := relay.NodeCounts{
		ByRegion:    make(map[string]int, len(sharing)),
		Discovering: t.discovering(now),
		Members:     pace.NewMembers(self.ID, sharing),
	}
	if table := t.follower.Table(); table != nil && table.LimitsWarmups() {
		nodes.Census = t.census(now)
	}
	for region, ids := range sharing {
		nodes.ByRegion[region] = len(ids)
		nodes.Active += len(ids)
	}
	// A stopping node, and a node that still receives callers from others, keeps its share while it serves.
	nodes.SelfActive = t.roster.IsActive(now) || self.Load >= minSharingLoad || self.Phase == roster.Stopping
	return nodes
}

// census counts the nodes that are live, the silent ones, and the seeds that belong to no known node.
func (t *Tier) census(now time.Time) pace.Census {
	var c pace.Census
	for _, s := range t.roster.Live(now) {
		c.Live = append(c.Live, s.ID)
	}
	addresses := make(map[string]bool)
	for _, s := range t.roster.Members() {
		c.Known = append(c.Known, s.ID)
		addresses[s.PeerAddress] = true
	}
	for _, seed := range t.settings.Load().Seeds {
		if !addresses[seed] {
			c.Unmet++
		}
	}
	slices.Sort(c.Live)
	slices.Sort(c.Known)
	return c
}

// discoveryTime is the time after the start during which a node may not know the others yet.
const discoveryTime = 1500 * time.Millisecond

// discovering reports whether this node may not know the others yet. Without a seed other than itself there are no others to discover.
func (t *Tier) discovering(now time.Time) bool {
	alone := true
	for _, seed := range t.settings.Load().Seeds {
		alone = alone && seed == t.roster.Self().PeerAddress
	}
	return !alone && now.Sub(t.startedAt) < discoveryTime
}

// minSharingLoad is the load in cores from which a node counts as sharing, even though callers are not directed to it.
const minSharingLoad = 0.01

// readersPerRegion is the number of nodes of a region that read the source: more than one, since one may be lost before others notice.
const readersPerRegion = 2

// isReader reports whether this node is one of those that read the source for their region.
func (t *Tier) isReader() bool {
	for _, state := range t.roster.FirstInRegion(t.clock(), readersPerRegion) {
		if state.ID == t.roster.Self().ID {
			return true
		}
	}
	return false
}

// shutdown leaves the directory, keeps serving callers with a cached directory answer, then refuses new requests, closes the listener and waits
// for the requests in flight, which end with an answer before the stop time does. It returns the number of requests that were cut off.
func (t *Tier) shutdown() int {
	started := t.clock()
	stopTime := t.settings.Load().StopTime
	t.stopping.Store(true)
	t.roster.SetPhase(roster.Stopping)
	t.logger.Log(wire.Event_EVENT_STOP_BEGUN)
	t.propagateState()
	t.engine.EndBy(started.Add(stopTime - shutdownMargin - answerTime))
	drainEnd := started.Add(time.Duration(drainShare * float64(stopTime)))
	for now := started; now.Before(drainEnd); now = t.clock() {
		if now.Sub(started) > earlyShutdownDelay && t.edge.Connections() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	t.refusingRequests.Store(true)
	t.logger.Log(wire.Event_EVENT_STOP_REFUSING)
	closed := make(chan struct{})
	t.background.Go(func() {
		defer close(closed)
		// Connections on which a caller has sent a part of a request may stay open for longer.
		ctx, cancel := context.WithTimeout(context.Background(), started.Add(stopTime-exitMargin).Sub(t.clock()))
		defer cancel()
		// An error means that connections are still open, which closeSockets and the end of the process close.
		_ = t.edge.Shutdown(ctx)
	})
	timer := time.NewTimer(started.Add(stopTime - shutdownMargin).Sub(t.clock()))
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
