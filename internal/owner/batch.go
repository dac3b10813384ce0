package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// coalesceDelay is how long a frame is held back to collect further replies. It costs up to a millisecond of latency and avoids
// one message per reply.
const coalesceDelay = time.Millisecond

// batch tracks the tasks of one Batch message and collects their replies.
type batch struct {
	message  *wire.Batch
	deadline time.Time
	// ready holds a value while there are replies to send.
	ready chan struct{}

	mu      sync.Mutex
	tasks   []*task
	pending []*wire.SubReply
	// remaining is the number of items without a reply.
	remaining int
}

func newBatch(message *wire.Batch, deadline time.Time) *batch {
	return &batch{message: message, deadline: deadline, ready: make(chan struct{}, 1), remaining: len(message.GetItems())}
}

func (b *batch) add(t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tasks = append(b.tasks, t)
}

// deliver queues the reply for the outcome of one task.
func (b *batch) deliver(t *task, result outcome) {
	reply := wire.SubReply_builder{
		AttemptId: t.id(),
		Shard:     t.item.GetShard(),
		Snapshot:  b.message.GetSnapshot(),
		Reason:    result.reason,
		Hits:      result.hits,
		Service:   durationpb.New(result.service),
		Abrupt:    result.abrupt,
	}.Build()
	b.mu.Lock()
	b.pending = append(b.pending, reply)
	b.remaining--
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// takePending removes and returns the pending replies, and reports whether they are the last.
func (b *batch) takePending() ([]*wire.SubReply, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.pending
	b.pending = nil
	return pending, b.remaining == 0
}

// complete reports whether every item has a reply.
func (b *batch) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining == 0
}

// stream sends frames until the last one was sent, send fails or ctx is done.
func (b *batch) stream(ctx context.Context, clock func() time.Time, send func(*wire.BatchReply) error) {
	for {
		if !b.complete() && !b.waitForReplies(ctx) {
			return
		}
		replies, last := b.takePending()
		pressure, load := b.meanPressureAndLoad(clock())
		frame := wire.BatchReply_builder{
			QueryId:  b.message.GetQueryId(),
			Replies:  replies,
			Pressure: pressure,
			Load:     load,
			Last:     last,
		}.Build()
		if err := send(frame); err != nil || last {
			return
		}
	}
}

// waitForReplies waits for the first reply and then up to coalesceDelay for more. It returns false if ctx is done.
func (b *batch) waitForReplies(ctx context.Context) bool {
	select {
	case <-b.ready:
	case <-ctx.Done():
		return false
	}
	timer := time.NewTimer(coalesceDelay)
	defer timer.Stop()
	for !b.complete() {
		select {
		case <-b.ready:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// meanPressureAndLoad returns the mean pressure on the batch's plan and the mean load over the upstreams of the batch. The
// maximum pressure would rise with the number of shards: a rank with a small guaranteed share would then appear overloaded
// whenever a few of its items wait at any upstream.
func (b *batch) meanPressureAndLoad(now time.Time) (pressure, load float64) {
	b.mu.Lock()
	tasks := b.tasks
	b.mu.Unlock()
	rank := plans.RankFromWire(b.message.GetRank())
	count := 0
	var previous *upstream
	for _, t := range tasks {
		// Consecutive items often go to the same searcher, which is then counted only once.
		if t.upstream == previous {
			continue
		}
		previous = t.upstream
		pressure += previous.queue.Pressure(now, rank, b.message.GetPlan())
		load += previous.load(now)
		count++
	}
	n := float64(max(count, 1))
	return pressure / n, load / n
}

// forEachTask calls fn for all tasks, unless every item already has a reply.
func (b *batch) forEachTask(fn func(*task)) {
	if b.complete() {
		return
	}
	b.mu.Lock()
	tasks := b.tasks
	b.mu.Unlock()
	for _, t := range tasks {
		fn(t)
	}
}

// task is a sub-request in progress at its owner.
type task struct {
	batch    *batch
	item     *wire.SubRequest
	upstream *upstream
	ended    atomic.Bool

	mu     sync.Mutex
	handle queue.Handle
}

func newTask(b *batch, item *wire.SubRequest) *task {
	return &task{batch: b, item: item}
}

func (t *task) id() uint64 { return t.item.GetAttemptId() }

// setHandle stores the handle of the queued item. The handle has no effect once the item has left the queue.
func (t *task) setHandle(handle queue.Handle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handle = handle
}

func (t *task) queueHandle() queue.Handle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handle
}

// markEnded marks the task as ended and reports whether it was not ended before.
func (t *task) markEnded() bool { return !t.ended.Swap(true) }

// outcome is the result of a task.
type outcome struct {
	// reason is unspecified if the shard was searched.
	reason  wire.Reason
	hits    []*wire.Hit
	service time.Duration
	// abrupt is set if the searcher was lost while it was processing the sub-request.
	abrupt bool
	// leaving is set if the searcher replied that it is leaving.
	leaving bool
	// dialFailed is set if no connection to the searcher's address could be established.
	dialFailed bool
	// err is why a reply was malformed.
	err error
}
