package node

import (
	"context"

	"github.com/fireflylanding/fireflylanding/internal/owner"
	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// router sends batches to the owner in this process or, over the network, to the owner on another node.
type router struct {
	self      string
	owner     *owner.Owner
	transport *peer.Transport
}

// Batch implements entry.OwnerClient.
func (r *router) Batch(ctx context.Context, to shards.VM, batch *wire.Batch, receive func(*wire.BatchReply)) error {
	if to.ID() != r.self {
		return r.transport.Batch(ctx, to, batch, receive)
	}
	r.owner.Batch(ctx, batch, func(reply *wire.BatchReply) error {
		receive(reply)
		return nil
	})
	return ctx.Err()
}

// Cancel implements entry.OwnerClient.
func (r *router) Cancel(ctx context.Context, to shards.VM, cancel *wire.Cancel) error {
	if to.ID() != r.self {
		return r.transport.Cancel(ctx, to, cancel)
	}
	r.owner.Cancel(ctx, cancel)
	return nil
}
