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
	// quietTime is how long a stopping node must have had no connection before it ends early, and quietAfter the least time before.
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
			t.tick(t.clock())
		}
	}
}

func (t *Tier) tick(now time.Time) {
	if verdict := t.detector.Tick(now); verdict.Stale() {
		t.logger.Log(wire.Event_EVENT_PAUSE_DETECTED)
		t.roster.Resumed(now)
	}
	t.engine.Trim(now)
}

// rebuild makes the engine use the present routes and searchers, and makes the node ready once it has both.
func (t *Tier) rebuild() {
	table := t.follower.Table()
	if table == nil {
		return
	}
	t.engine.Update(t.fleet.Snapshot(), table, t.nodes())
	if t.ready.CompareAndSwap(false, true) {
		t.roster.SetPhase(roster.Ready)
		t.logger.Log(wire.Event_EVENT_NODE_READY, zap.Uint64("version", table.Version()))
		t.announce()
	}
}

// nodes counts the nodes that share the connections of searchers and the budget of repeats.
func (t *Tier) nodes() relay.Nodes {
	known := t.roster.Members()
	nodes := relay.Nodes{ByRegion: make(map[string]int), Total: len(known)}
	for _, state := range known {
		nodes.ByRegion[state.Region]++
	}
	return nodes
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
	go func() {
		defer close(closed)
		t.report("callers", t.edge.Shutdown())
	}()
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
