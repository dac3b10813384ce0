package tier

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/follow"
	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/roster"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// greetInterval is the time between two heartbeats.
	greetInterval = 500 * time.Millisecond
	// newsFanout is the number of nodes of the region that learn of a change at once; they tell as many others.
	newsFanout   = 4
	greetTimeout = 800 * time.Millisecond
	// pullTimeout bounds the transfer of entries between nodes.
	pullTimeout = 2 * time.Second
)

// handler serves the exchanges that other nodes open.
type handler struct {
	peer.Refusing
	tier *Tier
}

// Digest is part of peer.Handler.
func (h handler) Digest(_ context.Context, digest *wire.Digest) *wire.Digest {
	now := h.tier.clock()
	states := h.tier.merge(now, digest)
	return h.tier.digest(now, h.tier.roster.Reply(now, states))
}

// Push is part of peer.Handler. It takes in marks of requests that crash searchers, and passes on what is new.
func (h handler) Push(_ context.Context, push *wire.Push) {
	if news := h.tier.engine.MergeMarks(h.tier.clock(), push.GetMarks()); len(news) > 0 {
		h.tier.spreadMarks(news)
	}
}

// Pull is part of peer.Handler.
func (h handler) Pull(_ context.Context, pull *wire.Pull) *wire.Push {
	return h.tier.entriesAfter(pull.GetEntriesAfter())
}

func (t *Tier) digest(now time.Time, states []roster.State) *wire.Digest {
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
			Beat:             s.Beat,
			Cores:            float32(s.Cores),
			Load:             float32(s.Load),
		}.Build()
	}
	return wire.Digest_builder{Id: t.settings.Load().Node, Nodes: nodes, Source: t.position(now)}.Build()
}

func (t *Tier) position(now time.Time) *wire.SourcePosition {
	p := t.follower.Position(now)
	return wire.SourcePosition_builder{
		Revision: p.Revision,
		AgeMs:    uint64(max(p.Age.Milliseconds(), 0)),
		DoubtMs:  uint64(p.RemovalHold.Milliseconds()),
	}.Build()
}

func positionOf(p *wire.SourcePosition) follow.Position {
	return follow.Position{
		Revision:    p.GetRevision(),
		Age:         time.Duration(p.GetAgeMs()) * time.Millisecond,
		RemovalHold: time.Duration(p.GetDoubtMs()) * time.Millisecond,
	}
}

// merge takes in a digest and returns its states, the sender's first.
func (t *Tier) merge(now time.Time, digest *wire.Digest) []roster.State {
	states := make([]roster.State, len(digest.GetNodes()))
	for i, n := range digest.GetNodes() {
		states[i] = roster.State{
			ID:            n.GetId(),
			Region:        n.GetRegion(),
			Zone:          n.GetAvailabilityZone(),
			CallerAddress: n.GetCallerAddress(),
			PeerAddress:   n.GetPeerAddress(),
			Phase:         roster.Phase(n.GetPhase()),
			Generation:    n.GetGeneration(),
			Beat:          n.GetBeat(),
			Cores:         float64(n.GetCores()),
			Load:          float64(n.GetLoad()),
		}
	}
	t.roster.Merge(now, states)
	t.roster.Heard(now, digest.GetId())
	if len(states) > 0 && t.hear(now, states[0], positionOf(digest.GetSource())) {
		t.pull(states[0].PeerAddress)
	}
	return states
}

// hear takes in how far another node follows the source, and reports whether it knows entries that this node needs.
func (t *Tier) hear(now time.Time, sender roster.State, position follow.Position) bool {
	if sender.Region == t.roster.Self().Region {
		return t.follower.ObservePeer(now, position)
	}
	return t.follower.ObserveRemotePeer(now, position)
}

// pull takes the entries that another node knows. One transfer runs at a time; what it leaves out the next heartbeat shows.
func (t *Tier) pull(address string) {
	if !t.pulling.CompareAndSwap(false, true) {
		return
	}
	t.background.Go(func() {
		defer t.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		asked := t.clock()
		after := t.follower.Position(asked).Revision
		push, err := t.peers.Pull(ctx, shards.NewVM("", "", "", "", address), wire.Pull_builder{EntriesAfter: after}.Build())
		if err != nil {
			// Another heartbeat, or the source itself, tells the same.
			return
		}
		batch := follow.Batch{Revision: push.GetSource().GetRevision(), Complete: push.GetComplete()}
		for _, e := range push.GetEntries() {
			batch.Entries = append(batch.Entries, follow.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved()})
		}
		position := positionOf(push.GetSource())
		position.Age += t.clock().Sub(asked)
		t.follower.ReceiveBatch(t.clock(), batch, position)
	})
}

func (t *Tier) entriesAfter(revision uint64) *wire.Push {
	batch := t.follower.EntriesAfter(revision)
	list := make([]*wire.SourceEntry, len(batch.Entries))
	for i, e := range batch.Entries {
		list[i] = wire.SourceEntry_builder{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed}.Build()
	}
	return wire.Push_builder{Entries: list, Complete: batch.Complete, Source: t.position(t.clock())}.Build()
}

// greet exchanges states with some nodes at each heartbeat until ctx ends.
func (t *Tier) greet(ctx context.Context) {
	ticker := time.NewTicker(greetInterval)
	defer ticker.Stop()
	for {
		now := t.clock()
		t.roster.Beat(t.engine.Load(now))
		for _, greeting := range t.roster.Greet(now, t.settings.Load().Seeds) {
			t.exchange(ctx, greeting.Address, greeting.States)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce tells neighbours of a change at once.
func (t *Tier) announce() {
	self := []roster.State{t.roster.Self()}
	for _, address := range t.roster.Neighbours(newsFanout) {
		t.exchange(context.Background(), address, self)
	}
}

// exchange swaps states with a node in a goroutine, so that a node that does not answer delays no other.
func (t *Tier) exchange(ctx context.Context, address string, states []roster.State) {
	t.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, greetTimeout)
		defer cancel()
		answer, err := t.peers.Digest(ctx, shards.NewVM("", "", "", "", address), t.digest(t.clock(), states))
		if err != nil {
			// The node is noticed by its silence. The connection may have gone silent on its own, so the next exchange opens another.
			t.peers.Reconnect(address)
			return
		}
		t.merge(t.clock(), answer)
	})
}

// spreadMarks tells some nodes of requests that crash searchers; those to which it is news tell as many others.
func (t *Tier) spreadMarks(marks []*wire.QuarantineMark) {
	push := wire.Push_builder{From: t.settings.Load().Node, Marks: marks}.Build()
	for _, address := range t.roster.Spread(newsFanout) {
		t.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), greetTimeout)
			defer cancel()
			if err := t.peers.Push(ctx, shards.NewVM("", "", "", "", address), push); err != nil {
				// As above: other nodes pass the marks on too.
				t.peers.Reconnect(address)
			}
		})
	}
}
