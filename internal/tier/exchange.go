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
	newMarks := h.tier.engine.MergeMarks(h.tier.clock(), push.GetFrom(), push.GetMarks())
	// A node that starts lacks what all others know, so that only the few leaders pass on what they were found to lack.
	if len(newMarks) > 0 && (!push.GetRepair() || h.tier.roster.LeadsZone()) {
		h.tier.propagateMarks(newMarks)
	}
}

// Pull implements peer.Handler.
func (h handler) Pull(_ context.Context, pull *wire.Pull) *wire.Push {
	if pull.GetQuarantine() {
		return h.tier.marksFor(h.tier.clock(), pull.GetMarkBuckets())
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

// marksFor returns the marks for a node that compares its own by the hashes of their buckets, or all marks for one that sends no hashes.
func (t *Tier) marksFor(now time.Time, buckets []uint64) *wire.Push {
	push := wire.Push_builder{From: t.settings.Load().Node}
	if len(buckets) == 0 {
		push.Marks = t.engine.Marks(now)
	} else {
		push.Compared = true
		push.DifferingBuckets, push.Marks = t.engine.CompareMarks(now, buckets)
	}
	return push.Build()
}

// compareMarks compares quarantine marks with a node, takes over those that this node lacks, and sends those that the other lacks.
func (t *Tier) compareMarks(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	to := shards.NewVM("", "", "", "", address)
	buckets := t.engine.MarkBuckets(t.clock())
	var push *wire.Push
	var err error
	if push, err = t.peers.Pull(ctx, to, wire.Pull_builder{Quarantine: true, MarkBuckets: buckets}.Build()); err != nil {
		return err
	}
	differing := push.GetDifferingBuckets()
	if !push.GetCompared() {
		// An earlier version of the program has sent all of its marks.
		differing = allBuckets(len(buckets))
	}
	now := t.clock()
	lacking := t.engine.MarksLacking(now, len(buckets), differing, push.GetMarks())
	t.engine.MergeMarks(now, push.GetFrom(), push.GetMarks())
	if len(lacking) == 0 {
		return nil
	}
	return t.peers.Push(ctx, to, wire.Push_builder{From: t.settings.Load().Node, Marks: lacking, Repair: true}.Build())
}

func allBuckets(n int) []uint32 {
	buckets := make([]uint32, n)
	for i := range buckets {
		buckets[i] = uint32(i)
	}
	return buckets
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
		now := t.clock()
		t.merge(now, answer)
		// Only the node that has started the exchange compares marks, since both have those of the other afterwards.
		if t.repair.Begin(now, t.engine.MarksHash(now), answer.GetQuarantineHash()) {
			t.repair.End(t.compareMarks(address) != nil)
		}
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
