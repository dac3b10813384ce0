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
func (n *peerClient) Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error) {
	var reply *wire.Digest
	var err error
	if reply, err = n.Transport.Digest(ctx, to, digest); err != nil {
		n.Transport.Reconnect(to.PeerAddress())
		return nil, err
	}
	return reply, nil
}

// Push implements spread.Peers. It adds the sender's ID to the message.
func (n *peerClient) Push(ctx context.Context, to shards.VM, push *wire.Push) error {
	withSender := proto.CloneOf(push)
	withSender.SetFrom(n.self)
	return n.Transport.Push(ctx, to, withSender)
}

// quarantineTable adapts the quarantine table to spread.Quarantine.
type quarantineTable struct {
	*quar.Table
	clock func() time.Time
}

// Hash implements spread.Quarantine.
func (m quarantineTable) Hash() uint64 { return m.Table.Hash(m.clock()) }
