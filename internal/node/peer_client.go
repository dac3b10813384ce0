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

// peerClient sends the messages that replicate documents between nodes. It replaces the connection after a digest without a reply,
// since the connection may have become unresponsive.
type peerClient struct {
	*peer.Transport
	self string
}

// Digest implements spread.Peers.
func (c *peerClient) Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error) {
	var reply *wire.Digest
	var err error
	if reply, err = c.Transport.Digest(ctx, to, digest); err != nil {
		c.Transport.Reconnect(to.PeerAddress())
		return nil, err
	}
	return reply, nil
}

// Push implements spread.Peers. It adds the sender's ID to the message.
func (c *peerClient) Push(ctx context.Context, to shards.VM, push *wire.Push) error {
	withSender := proto.CloneOf(push)
	withSender.SetFrom(c.self)
	return c.Transport.Push(ctx, to, withSender)
}

// quarantineTable adapts the quarantine table to spread.Quarantine.
type quarantineTable struct {
	*quar.Table
	clock func() time.Time
}

// Hash implements spread.Quarantine.
func (t quarantineTable) Hash() uint64 { return t.Table.Hash(t.clock()) }
