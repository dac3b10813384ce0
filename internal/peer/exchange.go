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

// errUnexpectedMessage is the error of a reply of another kind than the request asks for.
var errUnexpectedMessage = errors.New("peer replied with an unexpected message type")

// Batch sends sub-requests to an owner and calls receive for each frame of the reply, including the last. An error marked with ErrNotSent
// means that the owner received nothing. After any other error it is unknown whether the unanswered sub-requests ran.
func (t *Transport) Batch(ctx context.Context, to shards.VM, batch *wire.Batch, receive func(*wire.BatchReply)) error {
	return t.exchange(ctx, to, wire.PeerRequest_builder{Batch: batch}.Build(), func(stream *quic.Stream) error {
		reader := bufio.NewReader(progressReader{stream: stream})
		for {
			reply := &wire.PeerReply{}
			if err := t.receive(reader, reply); err != nil {
				return err
			}
			if !reply.HasBatch() {
				return errUnexpectedMessage
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

// isProgress reports whether a frame only says that the owner is still working on the batch.
func isProgress(frame *wire.BatchReply) bool {
	return !frame.GetLast() && len(frame.GetReplies()) == 0
}

// progressReader fails when nothing arrives for progressTimeout, so that a silent owner is detected before a late deadline.
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

// Cancel tells an owner to stop attempts. There is no reply.
func (t *Transport) Cancel(ctx context.Context, to shards.VM, cancel *wire.Cancel) error {
	return t.exchange(ctx, to, wire.PeerRequest_builder{Cancel: cancel}.Build(), nil)
}

// Forward sends a non-idempotent request to the issuer of its token.
func (t *Transport) Forward(ctx context.Context, address string, query *wire.Query) (*wire.Answer, error) {
	request := wire.PeerRequest_builder{Forward: wire.Forward_builder{Query: query}.Build()}.Build()
	var reply *wire.PeerReply
	var err error
	if reply, err = t.request(ctx, shards.NewVM("", "", "", "", address), request); err != nil {
		return nil, err
	}
	if !reply.HasAnswer() {
		return nil, errUnexpectedMessage
	}
	return reply.GetAnswer(), nil
}

// Digest exchanges digests with a neighbour.
func (t *Transport) Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error) {
	var reply *wire.PeerReply
	var err error
	if reply, err = t.request(ctx, to, wire.PeerRequest_builder{Digest: digest}.Build()); err != nil {
		return nil, err
	}
	if !reply.HasDigest() {
		return nil, errUnexpectedMessage
	}
	return reply.GetDigest(), nil
}

// Push sends changes to a neighbour. There is no reply.
func (t *Transport) Push(ctx context.Context, to shards.VM, push *wire.Push) error {
	return t.exchange(ctx, to, wire.PeerRequest_builder{Push: push}.Build(), nil)
}

// Pull asks a neighbour for newer entries.
func (t *Transport) Pull(ctx context.Context, to shards.VM, pull *wire.Pull) (*wire.Push, error) {
	var reply *wire.PeerReply
	var err error
	if reply, err = t.request(ctx, to, wire.PeerRequest_builder{Pull: pull}.Build()); err != nil {
		return nil, err
	}
	if !reply.HasPush() {
		return nil, errUnexpectedMessage
	}
	return reply.GetPush(), nil
}

// request sends a request and returns its only reply.
func (t *Transport) request(ctx context.Context, to shards.VM, request *wire.PeerRequest) (*wire.PeerReply, error) {
	reply := &wire.PeerReply{}
	read := func(stream *quic.Stream) error { return t.receive(bufio.NewReader(stream), reply) }
	if err := t.exchange(ctx, to, request, read); err != nil {
		return nil, err
	}
	return reply, nil
}

// exchange opens a stream, sends the request and, if read is not nil, reads the reply. If it fails after at least silenceThreshold without
// any packet from the peer, the connection is replaced.
func (t *Transport) exchange(ctx context.Context, to shards.VM, request *wire.PeerRequest, read func(*quic.Stream) error) error {
	var c *connection
	var stream *quic.Stream
	var err error
	if c, stream, err = t.openStream(ctx, to.PeerAddress()); err != nil {
		return err
	}
	began, received := time.Now(), c.conn.ConnectionStats().PacketsReceived
	if err = t.runExchange(ctx, to, stream, request, read); err == nil {
		return nil
	}
	if c.conn.ConnectionStats().PacketsReceived == received && time.Since(began) >= silenceThreshold {
		t.replaceConn(to.PeerAddress(), c)
	}
	return err
}

func (t *Transport) runExchange(ctx context.Context, to shards.VM, stream *quic.Stream, request *wire.PeerRequest, read func(*quic.Stream) error) error {
	stop := context.AfterFunc(ctx, func() { abortStream(stream) })
	defer stop()
	if err := t.send(stream, request); err != nil {
		abortStream(stream)
		return errors.Wrapf(exchangeError(ctx, err), "send to %s", to.PeerAddress())
	}
	if err := stream.Close(); err != nil {
		return errors.Wrapf(err, "send to %s", to.PeerAddress())
	}
	if read == nil {
		stream.CancelRead(0)
		return nil
	}
	if err := read(stream); err != nil {
		abortStream(stream)
		return errors.Wrapf(exchangeError(ctx, err), "read from %s", to.PeerAddress())
	}
	return nil
}

// exchangeError returns why an exchange failed: the error of its context if that interrupted the stream.
func exchangeError(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}

func abortStream(stream *quic.Stream) {
	stream.CancelRead(0)
	stream.CancelWrite(0)
	_ = stream.SetDeadline(time.Unix(1, 0))
}
