package tier

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/follow"
	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/reach"
	"github.com/fireflylanding/fireflylanding/internal/roster"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// changeFanout is the number of nodes of the region that a node tells of a change immediately. Those that learn a new revision tell as
	// many others.
	changeFanout    = 4
	exchangeTimeout = 800 * time.Millisecond
	// pullTimeout bounds a transfer of entries between nodes.
	pullTimeout = 2 * time.Second
)

// handler serves the exchanges that other nodes open.
type handler struct {
	peer.UnimplementedHandler
	tier *Tier
}

// Digest implements peer.Handler.
func (h handler) Digest(_ context.Context, digest *wire.Digest) *wire.Digest {
	now := h.tier.clock()
	states := h.tier.merge(now, digest)
	return h.tier.digest(now, h.tier.roster.Reply(now, states))
}

// Push implements peer.Handler. It merges quarantine marks and forwards those that are new.
func (h handler) Push(_ context.Context, push *wire.Push) {
	if nodes := push.GetNodes(); len(nodes) > 0 {
		h.tier.relay(h.tier.roster.Merge(h.tier.clock(), statesOf(nodes)))
	}
	if newMarks := h.tier.engine.MergeMarks(h.tier.clock(), push.GetFrom(), push.GetMarks()); len(newMarks) > 0 {
		h.tier.propagateMarks(newMarks)
	}
}

// Pull implements peer.Handler.
func (h handler) Pull(_ context.Context, pull *wire.Pull) *wire.Push {
	if pull.GetQuarantine() {
		return wire.Push_builder{From: h.tier.settings.Load().Node, Marks: h.tier.engine.Marks(h.tier.clock())}.Build()
	}
	return h.tier.entriesAfter(epoch.Revision(pull.GetEntriesAfter()))
}

func (t *Tier) digest(now time.Time, states []roster.State) *wire.Digest {
	return wire.Digest_builder{
		Id:             t.settings.Load().Node,
		Nodes:          nodeStates(states),
		Source:         t.position(now),
		QuarantineHash: t.engine.MarksHash(now),
	}.Build()
}

func nodeStates(states []roster.State) []*wire.NodeState {
	nodes := make([]*wire.NodeState, len(states))
	for i, s := range states {
		nodes[i] = wire.NodeState_builder{
			Id:               s.ID,
			Region:           s.Region,
			AvailabilityZone: s.Zone,
			CallerAddress:    s.CallerAddress,
			PeerAddress:      s.PeerAddress,
			Phase:            uint32(s.Phase),
			Generation:       s.Generation,
			Beat:             s.Heartbeat,
			Cores:            float32(s.Cores),
			Load:             float32(s.Load),
			ReachKnown:       s.Reach.Known(),
			Reach:            float32(s.Reach.Share()),
		}.Build()
	}
	return nodes
}

func (t *Tier) position(now time.Time) *wire.SourcePosition {
	p := t.follower.Position(now)
	return wire.SourcePosition_builder{
		Revision: uint64(p.Revision),
		AgeMs:    uint64(max(p.Age.Milliseconds(), 0)),
		DoubtMs:  uint64(p.RemovalHold.Milliseconds()),
	}.Build()
}

func positionOf(p *wire.SourcePosition) follow.Position {
	return follow.Position{
		Revision:    epoch.Revision(p.GetRevision()),
		Age:         time.Duration(p.GetAgeMs()) * time.Millisecond,
		RemovalHold: time.Duration(p.GetDoubtMs()) * time.Millisecond,
	}
}

// merge merges a digest into the roster and returns its states, the sender's first.
func (t *Tier) merge(now time.Time, digest *wire.Digest) []roster.State {
	states := statesOf(digest.GetNodes())
	t.relay(t.roster.Merge(now, states))
	t.roster.RecordContact(now, digest.GetId())
	if len(states) == 0 {
		return states
	}
	sender := states[0]
	if t.observePosition(now, sender, positionOf(digest.GetSource())) {
		t.pullEntries(sender.PeerAddress)
	}
	if t.repair.Begin(now, t.engine.MarksHash(now), digest.GetQuarantineHash()) {
		t.pullMarks(sender.PeerAddress)
	}
	return states
}

func statesOf(nodes []*wire.NodeState) []roster.State {
	states := make([]roster.State, len(nodes))
	for i, n := range nodes {
		states[i] = roster.State{
			ID:            n.GetId(),
			Region:        n.GetRegion(),
			Zone:          n.GetAvailabilityZone(),
			CallerAddress: n.GetCallerAddress(),
			PeerAddress:   n.GetPeerAddress(),
			Phase:         roster.Phase(n.GetPhase()),
			Generation:    n.GetGeneration(),
			Heartbeat:     n.GetBeat(),
			Cores:         float64(n.GetCores()),
			Load:          float64(n.GetLoad()),
			Reach:         reachOf(n),
		}
	}
	return states
}

// relay keeps states that other nodes should learn soon for the next tick. Each node passes a change on once, since it is no change to those
// that know it.
func (t *Tier) relay(urgent []roster.State) {
	if len(urgent) == 0 {
		return
	}
	t.urgentMu.Lock()
	defer t.urgentMu.Unlock()
	for _, s := range urgent {
		t.urgent[s.ID] = s
	}
}

// sendUrgent passes on the states that were kept since the last tick.
func (t *Tier) sendUrgent() {
	t.urgentMu.Lock()
	states := slices.Collect(maps.Values(t.urgent))
	clear(t.urgent)
	t.urgentMu.Unlock()
	if len(states) > 0 {
		t.push(wire.Push_builder{From: t.settings.Load().Node, Nodes: nodeStates(states)}.Build())
	}
}

func reachOf(n *wire.NodeState) reach.Reach {
	if !n.GetReachKnown() {
		return reach.Unknown
	}
	return reach.Of(float64(n.GetReach()))
}

// observePosition records how far another node follows the source, and reports whether it has entries that this node needs.
func (t *Tier) observePosition(now time.Time, sender roster.State, position follow.Position) bool {
	if sender.Region == t.roster.Self().Region {
		return t.follower.ObservePeer(now, position)
	}
	return t.follower.ObserveRemotePeer(now, position)
}

// pullEntries transfers the entries that another node has. One transfer runs at a time; a later heartbeat triggers another for the rest.
func (t *Tier) pullEntries(address string) {
	if !t.pulling.CompareAndSwap(false, true) {
		return
	}
	t.background.Go(func() {
		defer t.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		requestedAt := t.clock()
		after := t.follower.Position(requestedAt).Revision
		push, err := t.peers.Pull(ctx, shards.NewVM("", "", "", "", address), wire.Pull_builder{EntriesAfter: uint64(after)}.Build())
		if err != nil {
			// A later heartbeat or the source itself delivers the same entries.
			return
		}
		batch := follow.Batch{Revision: epoch.Revision(push.GetSource().GetRevision()), Complete: push.GetComplete()}
		for _, e := range push.GetEntries() {
			batch.Entries = append(batch.Entries, follow.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: epoch.Revision(e.GetRevision()), Removed: e.GetRemoved()})
		}
		position := positionOf(push.GetSource())
		position.Age += t.clock().Sub(requestedAt)
		t.follower.ReceiveBatch(t.clock(), batch, position)
	})
}

// pullMarks takes over the quarantine marks of a node. They are not passed on: nodes that lack them pull them as well.
func (t *Tier) pullMarks(address string) {
	t.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		push, err := t.peers.Pull(ctx, shards.NewVM("", "", "", "", address), wire.Pull_builder{Quarantine: true}.Build())
		learned := 0
		if err == nil {
			learned = len(t.engine.MergeMarks(t.clock(), push.GetFrom(), push.GetMarks()))
		}
		// After an error a later exchange pulls again.
		t.repair.End(err == nil && learned == 0)
	})
}

func (t *Tier) entriesAfter(revision epoch.Revision) *wire.Push {
	batch := t.follower.EntriesAfter(revision)
	entries := make([]*wire.SourceEntry, len(batch.Entries))
	for i, e := range batch.Entries {
		entries[i] = wire.SourceEntry_builder{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Removed: e.Removed}.Build()
	}
	return wire.Push_builder{Entries: entries, Complete: batch.Complete, Source: t.position(t.clock())}.Build()
}

// runHeartbeats exchanges states with other nodes at each heartbeat until ctx ends.
func (t *Tier) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		now := t.clock()
		t.roster.RecordHeartbeat(t.engine.Load(now))
		for _, e := range t.roster.NextExchanges(now, t.settings.Load().Seeds) {
			t.exchange(ctx, e.Address, e.States)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// propagateState sends this node's state to some nodes of the region immediately.
func (t *Tier) propagateState() {
	self := []roster.State{t.roster.Self()}
	for _, address := range t.roster.ChangeTargets(changeFanout) {
		t.exchange(context.Background(), address, self)
	}
}

// exchange swaps states with a node in a goroutine, so that an unresponsive node delays no other.
func (t *Tier) exchange(ctx context.Context, address string, states []roster.State) {
	t.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answer, err := t.peers.Digest(ctx, shards.NewVM("", "", "", "", address), t.digest(t.clock(), states))
		if err != nil {
			// The silence of the node is detected by the roster. The connection alone may have gone silent, so the next exchange opens another.
			t.peers.Reconnect(address)
			return
		}
		t.merge(t.clock(), answer)
	})
}

// propagateMarks sends quarantine marks to other nodes as the outbox allows; those to which a mark is new forward it in turn.
func (t *Tier) propagateMarks(marks []*wire.QuarantineMark) {
	t.marks.Add(marks)
	t.sendMarks(t.clock())
}

// sendMarks sends the marks that are due.
func (t *Tier) sendMarks(now time.Time) {
	due := t.marks.Take(now)
	if len(due) == 0 {
		return
	}
	t.push(wire.Push_builder{From: t.settings.Load().Node, Marks: due}.Build())
}

// push sends a push to the nodes from which all others learn it.
func (t *Tier) push(push *wire.Push) {
	for _, address := range t.roster.PushTargets() {
		t.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			if err := t.peers.Push(ctx, shards.NewVM("", "", "", "", address), push); err != nil {
				// What is lost is delivered by other nodes. The connection may have gone silent, so the next exchange opens another.
				t.peers.Reconnect(address)
			}
		})
	}
}
