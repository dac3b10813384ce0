package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// errUnexpected is the error of an answer of another kind than was asked for.
var errUnexpected = errors.New("peer sent an unexpected message")

// Batch sends sub-requests to an owner and calls receive for each frame of the answer, the last one included. An error
// marked with ErrNotSent means that the owner got nothing; after any other error the fate of the unanswered
// sub-requests is unknown.
func (t *Transport) Batch(ctx context.Context, to shards.VM, batch *wire.Batch, receive func(*wire.BatchReply)) error {
	return t.exchange(ctx, to, wire.PeerRequest_builder{Batch: batch}.Build(), func(stream *quic.Stream) error {
		reader := bufio.NewReader(progressReader{stream: stream})
		for {
			reply := &wire.PeerReply{}
			if err := t.receive(reader, reply); err != nil {
				return err
			}
			if !reply.HasBatch() {
				return errUnexpected
			}
			if isProgress(reply.GetBatch()) {
				continue
			}
			receive(reply.GetBatch())
			if reply.GetBatch().GetLast() {
				return nil
			}
		}
	})
}

// isProgress reports whether a frame only says that the owner still works on the batch.
func isProgress(frame *wire.BatchReply) bool {
	return !frame.GetLast() && len(frame.GetReplies()) == 0
}

// progressReader fails when nothing arrives for progressTimeout, so that an owner that went silent is noticed before a late deadline.
type progressReader struct {
	stream *quic.Stream
}

// Read reads from the stream.
func (r progressReader) Read(p []byte) (int, error) {
	if err := r.stream.SetReadDeadline(time.Now().Add(progressTimeout)); err != nil {
		return 0, err
	}
	return r.stream.Read(p)
}

// Cancel tells an owner to stop attempts. There is no answer.
func (t *Transport) Cancel(ctx context.Context, to shards.VM, cancel *wire.Cancel) error {
	return t.exchange(ctx, to, wire.PeerRequest_builder{Cancel: cancel}.Build(), nil)
}

// Forward sends a non-idempotent request to the issuer of its token.
func (t *Transport) Forward(ctx context.Context, address string, query *wire.Query) (*wire.Answer, error) {
	request := wire.PeerRequest_builder{Forward: wire.Forward_builder{Query: query}.Build()}.Build()
	var reply *wire.PeerReply
	var err error
	if reply, err = t.ask(ctx, shards.NewVM("", "", "", "", address), request); err != nil {
		return nil, err
	}
	if !reply.HasAnswer() {
		return nil, errUnexpected
	}
	return reply.GetAnswer(), nil
}

// Digest exchanges digests with a neighbour.
func (t *Transport) Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error) {
	var reply *wire.PeerReply
	var err error
	if reply, err = t.ask(ctx, to, wire.PeerRequest_builder{Digest: digest}.Build()); err != nil {
		return nil, err
	}
	if !reply.HasDigest() {
		return nil, errUnexpected
	}
	return reply.GetDigest(), nil
}

// Push sends news to a neighbour. There is no answer.
func (t *Transport) Push(ctx context.Context, to shards.VM, push *wire.Push) error {
	return t.exchange(ctx, to, wire.PeerRequest_builder{Push: push}.Build(), nil)
}

// Pull asks a neighbour for what is newer.
func (t *Transport) Pull(ctx context.Context, to shards.VM, pull *wire.Pull) (*wire.Push, error) {
	var reply *wire.PeerReply
	var err error
	if reply, err = t.ask(ctx, to, wire.PeerRequest_builder{Pull: pull}.Build()); err != nil {
		return nil, err
	}
	if !reply.HasPush() {
		return nil, errUnexpected
	}
	return reply.GetPush(), nil
}

// ask sends a request and returns its only reply.
func (t *Transport) ask(ctx context.Context, to shards.VM, request *wire.PeerRequest) (*wire.PeerReply, error) {
	reply := &wire.PeerReply{}
	read := func(stream *quic.Stream) error { return t.receive(bufio.NewReader(stream), reply) }
	if err := t.exchange(ctx, to, request, read); err != nil {
		return nil, err
	}
	return reply, nil
}

// exchange opens a stream, sends the request and reads the answer when read is not nil. When it fails and no packet
// came from the peer, the connection is replaced.
func (t *Transport) exchange(ctx context.Context, to shards.VM, request *wire.PeerRequest, read func(*quic.Stream) error) error {
	var c *connection
	var stream *quic.Stream
	var err error
	if c, stream, err = t.open(ctx, to.PeerAddress()); err != nil {
		return err
	}
	began, received := time.Now(), c.conn.ConnectionStats().PacketsReceived
	if err = t.converse(ctx, to, stream, request, read); err == nil {
		return nil
	}
	if c.conn.ConnectionStats().PacketsReceived == received && time.Since(began) >= silentAfter {
		t.replace(to.PeerAddress(), c)
	}
	return err
}

func (t *Transport) converse(ctx context.Context, to shards.VM, stream *quic.Stream, request *wire.PeerRequest, read func(*quic.Stream) error) error {
	stop := context.AfterFunc(ctx, func() { interrupt(stream) })
	defer stop()
	if err := t.send(stream, request); err != nil {
		interrupt(stream)
		return errors.Wrapf(cause(ctx, err), "send to %s", to.PeerAddress())
	}
	if err := stream.Close(); err != nil {
		return errors.Wrapf(err, "send to %s", to.PeerAddress())
	}
	if read == nil {
		stream.CancelRead(0)
		return nil
	}
	if err := read(stream); err != nil {
		interrupt(stream)
		return errors.Wrapf(cause(ctx, err), "read from %s", to.PeerAddress())
	}
	return nil
}

// cause returns why an exchange failed: the end of its context when that interrupted the stream.
func cause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}

func interrupt(stream *quic.Stream) {
	stream.CancelRead(0)
	stream.CancelWrite(0)
	_ = stream.SetDeadline(time.Unix(1, 0))
}
