package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// neighbours sends what the spread of documents needs. A digest without an answer replaces the connection, which may have gone
// silent.
type neighbours struct {
	*peer.Transport
	self string
}

// Digest is part of spread.Peers.
func (n *neighbours) Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error) {
	var reply *wire.Digest
	var err error
	if reply, err = n.Transport.Digest(ctx, to, digest); err != nil {
		n.Transport.Reconnect(to.PeerAddress())
		return nil, err
	}
	return reply, nil
}

// Push is part of spread.Peers. It names the sender.
func (n *neighbours) Push(ctx context.Context, to shards.VM, push *wire.Push) error {
	signed := proto.CloneOf(push)
	signed.SetFrom(n.self)
	return n.Transport.Push(ctx, to, signed)
}

// marks is the quarantine table as the spread of documents sees it.
type marks struct {
	*quar.Table
	clock func() time.Time
}

// Hash is part of spread.Quarantine.
func (m marks) Hash() uint64 { return m.Table.Hash(m.clock()) }
