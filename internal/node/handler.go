package node

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/lookup"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// handler serves the requests of other nodes.
type handler struct {
	node *Node
}

// Batch implements peer.Handler.
func (h handler) Batch(ctx context.Context, batch *wire.Batch, reply func(*wire.BatchReply) error) {
	h.node.peerRequests.Add(1)
	defer h.node.peerRequests.Add(-1)
	if h.node.phase.load() == phaseRefusing {
		_ = reply(refuseBatch(batch))
		return
	}
	h.node.owner.Batch(ctx, batch, reply)
}

// refuseBatch returns a reply that refuses all items of a batch as not run because the node is stopping.
func refuseBatch(batch *wire.Batch) *wire.BatchReply {
	var replies []*wire.SubReply
	for _, item := range batch.GetItems() {
		replies = append(replies, wire.SubReply_builder{
			AttemptId: item.GetAttemptId(),
			Shard:     item.GetShard(),
			Snapshot:  batch.GetSnapshot(),
			Reason:    wire.Reason_REASON_STOPPING,
		}.Build())
	}
	return wire.BatchReply_builder{QueryId: batch.GetQueryId(), Replies: replies, Last: true}.Build()
}

// Cancel implements peer.Handler.
func (h handler) Cancel(ctx context.Context, cancel *wire.Cancel) {
	h.node.owner.Cancel(ctx, cancel)
}

// Forward implements peer.Handler.
func (h handler) Forward(ctx context.Context, forward *wire.Forward) *wire.Answer {
	h.node.peerRequests.Add(1)
	defer h.node.peerRequests.Add(-1)
	return h.node.entry.QueryForwarded(ctx, h.node.clock(), forward.GetQuery())
}

// Digest implements peer.Handler.
func (h handler) Digest(_ context.Context, digest *wire.Digest) *wire.Digest {
	return h.node.engine.HandleDigest(h.node.clock(), digest)
}

// Push implements peer.Handler.
func (h handler) Push(_ context.Context, push *wire.Push) {
	h.node.engine.HandlePush(h.node.clock(), push.GetFrom(), push)
}

// Pull implements peer.Handler.
func (h handler) Pull(_ context.Context, pull *wire.Pull) *wire.Push {
	return h.node.engine.HandlePull(h.node.clock(), pull)
}

// Query implements front.Querier.
func (n *Node) Query(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	return n.entry.Query(ctx, now, query)
}

// Entries implements front.Directory.
func (n *Node) Entries(now time.Time, caller, zone string) (*wire.Entries, *reason.Refusal) {
	if n.phase.load() == phaseStarting {
		return nil, n.phase.refusal()
	}
	nodeStatus := lookup.NodeStatus{Stopping: n.phase.stopping(), Resuming: n.phase.load() == phaseResuming}
	return n.directory.Entries(caller, zone, n.view.Load().Entries(), n.members.Snapshot(now), nodeStatus), nil
}
