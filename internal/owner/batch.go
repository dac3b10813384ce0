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

// linger is how long a frame waits for further replies. It trades a millisecond against a message per reply.
const linger = time.Millisecond

// batch collects the outcomes of one Batch message.
type batch struct {
	message  *wire.Batch
	deadline time.Time
	// ready holds a token while there is something to send.
	ready chan struct{}

	mu      sync.Mutex
	tasks   []*task
	pending []*wire.SubReply
	// left is the number of items without an outcome.
	left int
}

func newBatch(message *wire.Batch, deadline time.Time) *batch {
	return &batch{message: message, deadline: deadline, ready: make(chan struct{}, 1), left: len(message.GetItems())}
}

func (b *batch) add(t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tasks = append(b.tasks, t)
}

// deliver records the outcome of one task.
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
	b.left--
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take returns the replies to send and whether they are the last.
func (b *batch) take() ([]*wire.SubReply, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.pending
	b.pending = nil
	return pending, b.left == 0
}

func (b *batch) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left == 0
}

// stream sends frames until the last one or until ctx ends.
func (b *batch) stream(ctx context.Context, clock func() time.Time, send func(*wire.BatchReply) error) {
	for {
		if !b.complete() && !b.await(ctx) {
			return
		}
		replies, last := b.take()
		pressure, load := b.measure(clock())
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

// await waits for replies and then a little longer for more. It returns false when ctx ended.
func (b *batch) await(ctx context.Context) bool {
	select {
	case <-b.ready:
	case <-ctx.Done():
		return false
	}
	timer := time.NewTimer(linger)
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

// measure returns the mean pressure of the plan's work and the mean load over the stations of the batch. The greatest
// pressure would rise with the number of shards: a rank with a small floor then seems overloaded whenever a few of its
// items wait anywhere.
func (b *batch) measure(now time.Time) (pressure, load float64) {
	b.mu.Lock()
	tasks := b.tasks
	b.mu.Unlock()
	rank := plans.RankFromWire(b.message.GetRank())
	count := 0
	var asked *station
	for _, t := range tasks {
		// Neighbouring items often share a searcher.
		if t.station == asked {
			continue
		}
		asked = t.station
		pressure += asked.queue.Pressure(now, rank, b.message.GetPlan())
		load += asked.load(now)
		count++
	}
	stations := float64(max(count, 1))
	return pressure / stations, load / stations
}

// withdraw calls remove for each task that may still wait.
func (b *batch) withdraw(remove func(*task)) {
	if b.complete() {
		return
	}
	b.mu.Lock()
	tasks := b.tasks
	b.mu.Unlock()
	for _, t := range tasks {
		remove(t)
	}
}

// task is one sub-request at its owner.
type task struct {
	batch   *batch
	item    *wire.SubRequest
	station *station
	ended   atomic.Bool

	mu     sync.Mutex
	ticket queue.Handle
}

func newTask(b *batch, item *wire.SubRequest) *task {
	return &task{batch: b, item: item}
}

func (t *task) id() uint64 { return t.item.GetAttemptId() }

// wait records the ticket of the queue; a ticket of an item that has left the queue has no effect.
func (t *task) wait(ticket queue.Handle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ticket = ticket
}

func (t *task) waitingTicket() queue.Handle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ticket
}

// end reports whether this call ended the task.
func (t *task) end() bool { return !t.ended.Swap(true) }

// outcome is the result of a task.
type outcome struct {
	// reason is unspecified when the shard was searched.
	reason  wire.Reason
	hits    []*wire.Hit
	service time.Duration
	// abrupt is set when the searcher was lost while it held the sub-request.
	abrupt bool
	// leaving is set when the searcher said that it is leaving.
	leaving bool
	// gone is set when nothing listens at the searcher's address.
	gone bool
}
