package peer

import (
	"context"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// UnimplementedHandler refuses the exchanges of roles that a process does not have. A handler embeds it and implements the others.
type UnimplementedHandler struct{}

// Batch refuses all sub-requests as not run.
func (UnimplementedHandler) Batch(_ context.Context, batch *wire.Batch, reply func(*wire.BatchReply) error) {
	replies := make([]*wire.SubReply, len(batch.GetItems()))
	for i, item := range batch.GetItems() {
		replies[i] = wire.SubReply_builder{
			AttemptId: item.GetAttemptId(),
			Shard:     item.GetShard(),
			Snapshot:  batch.GetSnapshot(),
			Reason:    wire.Reason_REASON_NOT_OWNER,
		}.Build()
	}
	// A failed write means that the sender is gone and needs no reply.
	_ = reply(wire.BatchReply_builder{QueryId: batch.GetQueryId(), Replies: replies, Last: true}.Build())
}

// Cancel does nothing, since no attempt runs.
func (UnimplementedHandler) Cancel(context.Context, *wire.Cancel) {}

// Forward replies that this process issued no token.
func (UnimplementedHandler) Forward(context.Context, *wire.Forward) *wire.Answer {
	return wire.Answer_builder{
		Run:    wire.RunState_RUN_STATE_UNKNOWN,
		Reason: wire.Reason_REASON_TOKEN_ISSUER_GONE,
	}.Build()
}

// Push drops the changes.
func (UnimplementedHandler) Push(context.Context, *wire.Push) {}

// Pull returns an empty reply.
func (UnimplementedHandler) Pull(context.Context, *wire.Pull) *wire.Push { return &wire.Push{} }
