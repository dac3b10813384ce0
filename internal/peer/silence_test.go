package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// batchHandler answers digests at once, and batches when runBatch returns.
type batchHandler struct {
	Handler
	runBatch func(ctx context.Context)
}

func (h batchHandler) Digest(context.Context, *wire.Digest) *wire.Digest { return &wire.Digest{} }

func (h batchHandler) Batch(ctx context.Context, batch *wire.Batch, reply func(*wire.BatchReply) error) {
	h.runBatch(ctx)
	_ = reply(wire.BatchReply_builder{QueryId: batch.GetQueryId(), Last: true}.Build())
}

// Guards against idle connections that send packets: a node at full size has thousands of them, which would exceed its budget.
func TestIdleConnectionSendsNothing(t *testing.T) {
	t.Parallel()
	a, b := startTransport(t, batchHandler{}), startTransport(t, batchHandler{})
	if _, err := a.Digest(context.Background(), b.vm, &wire.Digest{}); err != nil {
		t.Fatal(err)
	}
	// Packets that follow the handshake end by themselves, so several intervals are tried.
	quiet := func() bool {
		before := a.socket.sent.Load() + b.socket.sent.Load()
		time.Sleep(2 * time.Second)
		return a.socket.sent.Load()+b.socket.sent.Load() == before
	}
	for range 5 {
		if quiet() {
			return
		}
	}
	t.Error("got packets on an idle connection in each of 5 intervals of 2 s, want none in one of them")
}

// Guards against exchanges that keep failing on a connection that went silent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	a, b := startTransport(t, batchHandler{}), startTransport(t, batchHandler{})
	if _, err := a.Digest(context.Background(), b.vm, &wire.Digest{}); err != nil {
		t.Fatal(err)
	}
	b.socket.silent.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*silenceThreshold)
	defer cancel()
	if _, err := a.Digest(ctx, b.vm, &wire.Digest{}); err == nil {
		t.Fatal("got an answer from a silent peer")
	}
	b.socket.silent.Store(false)
	if _, err := a.Digest(context.Background(), b.vm, &wire.Digest{}); err != nil {
		t.Fatal(err)
	}
	if got, want := a.dials.Count(), int64(2); got != want {
		t.Errorf("got %d handshakes, want %d", got, want)
	}
}

// Guards against a new connection after every exchange that ends early on a working connection.
func TestAnsweringConnectionIsKept(t *testing.T) {
	t.Parallel()
	a, b := startTransport(t, batchHandler{}), startTransport(t, batchHandler{runBatch: func(ctx context.Context) { <-ctx.Done() }})
	ctx, cancel := context.WithTimeout(context.Background(), 2*silenceThreshold)
	defer cancel()
	if err := a.Batch(ctx, b.vm, &wire.Batch{}, func(*wire.BatchReply) {}); err == nil {
		t.Fatal("got an answer to a batch that never ends")
	}
	if _, err := a.Digest(context.Background(), b.vm, &wire.Digest{}); err != nil {
		t.Fatal(err)
	}
	if got, want := a.dials.Count(), int64(1); got != want {
		t.Errorf("got %d handshakes, want %d", got, want)
	}
}

// Guards against a long batch that is given up although its owner is still working on it.
func TestLongBatchOutlivesProgressTimeout(t *testing.T) {
	t.Parallel()
	a := startTransport(t, batchHandler{})
	b := startTransport(t, batchHandler{runBatch: func(context.Context) { time.Sleep(progressTimeout + progressInterval) }})
	frames := 0
	if err := a.Batch(context.Background(), b.vm, &wire.Batch{}, func(*wire.BatchReply) { frames++ }); err != nil {
		t.Fatal(err)
	}
	if frames != 1 {
		t.Errorf("got %d frames, want only the last one", frames)
	}
}

// Guards against a batch that waits until its late deadline for an owner that went silent.
func TestSilentOwnerEndsBatchBeforeItsDeadline(t *testing.T) {
	t.Parallel()
	a := startTransport(t, batchHandler{})
	// The handler runs on another goroutine, and nothing but the network orders it after the assignment.
	var owner atomic.Pointer[endpoint]
	b := startTransport(t, batchHandler{runBatch: func(ctx context.Context) {
		owner.Load().socket.silent.Store(true)
		<-ctx.Done()
	}})
	owner.Store(b)
	ctx, cancel := context.WithTimeout(context.Background(), 4*progressTimeout)
	defer cancel()
	err := a.Batch(ctx, b.vm, &wire.Batch{}, func(*wire.BatchReply) {})
	if err == nil || errors.Is(err, ErrNotSent) || ctx.Err() != nil {
		t.Errorf("got error %v with the context's error %v, want an error of the exchange before the deadline", err, ctx.Err())
	}
}
