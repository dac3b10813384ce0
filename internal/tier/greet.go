package tier

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/roster"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// greetInterval is the time between two heartbeats, and greetFanout the number of nodes that each goes to.
	greetInterval = 500 * time.Millisecond
	greetFanout   = 2
	// announceFanout is the number of nodes that learn of a change of phase at once.
	announceFanout = 16
	greetTimeout   = 800 * time.Millisecond
)

// handler serves the exchanges that other nodes open.
type handler struct {
	peer.Refusing
	tier *Tier
}

// Digest is part of peer.Handler.
func (h handler) Digest(_ context.Context, digest *wire.Digest) *wire.Digest {
	h.tier.merge(digest)
	return h.tier.digest()
}

func (t *Tier) digest() *wire.Digest {
	states := t.roster.States(t.clock())
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
		}.Build()
	}
	return wire.Digest_builder{Id: t.settings.Load().Node, Nodes: nodes}.Build()
}

func (t *Tier) merge(digest *wire.Digest) {
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
		}
	}
	if t.roster.Merge(t.clock(), states) {
		t.rebuild()
	}
}

// greet exchanges states with some nodes at each heartbeat until ctx ends.
func (t *Tier) greet(ctx context.Context) {
	ticker := time.NewTicker(greetInterval)
	defer ticker.Stop()
	for {
		t.roster.Beat()
		t.exchange(ctx, greetFanout)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce tells the nearest nodes of a change of phase at once.
func (t *Tier) announce() { t.exchange(context.Background(), announceFanout) }

// exchange swaps states with up to n nodes, each in its own goroutine, so that a node that does not answer delays no other.
func (t *Tier) exchange(ctx context.Context, n int) {
	for _, address := range t.roster.Greet(t.clock(), n, t.settings.Load().Seeds) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, greetTimeout)
			defer cancel()
			// A node that does not answer is noticed by its silence.
			answer, err := t.peers.Digest(ctx, shards.NewVM("", "", "", "", address), t.digest())
			if err == nil {
				t.merge(answer)
			}
		}()
	}
}
