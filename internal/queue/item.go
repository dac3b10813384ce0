package queue

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Item is one attempt of a sub-request that waits for a searcher. T is the caller's payload.
type Item[T any] struct {
	attempt   uint64
	plan      string
	rank      plans.Rank
	weight    int
	deadline  time.Time
	exclusive bool
	order     uint64
	payload   T

	// charged is the service time that Pop accounted; Done replaces it by the measured one.
	charged time.Duration
	// epoch is the queue's epoch at Pop; a sample of an older epoch includes a pause and is not learned.
	epoch uint64
}

// NewItem returns an item. Weight is the plan's share within its rank, at least 1. Order is a hash of the query id,
// which is the same at all shards of a query, so that all queues drop the same queries.
func NewItem[T any](attempt uint64, plan string, rank plans.Rank, weight int, deadline time.Time, exclusive bool, order uint64, payload T) Item[T] {
	if rank < 0 || rank >= plans.NumRanks {
		rank = plans.Bulk
	}
	return Item[T]{
		attempt:   attempt,
		plan:      plan,
		rank:      rank,
		weight:    max(weight, 1),
		deadline:  deadline,
		exclusive: exclusive,
		order:     order,
		payload:   payload,
	}
}

// Attempt returns the attempt id.
func (it Item[T]) Attempt() uint64 { return it.attempt }

// Plan returns the name of the plan.
func (it Item[T]) Plan() string { return it.plan }

// Rank returns the rank of the plan.
func (it Item[T]) Rank() plans.Rank { return it.rank }

// Weight returns the plan's share within its rank.
func (it Item[T]) Weight() int { return it.weight }

// Deadline returns the time at which the reply is worthless.
func (it Item[T]) Deadline() time.Time { return it.deadline }

// Exclusive reports whether the item runs alone.
func (it Item[T]) Exclusive() bool { return it.exclusive }

// DropPriority returns the hash that selects victims; a higher value is dropped first.
func (it Item[T]) DropPriority() uint64 { return it.order }

// Payload returns the caller's payload.
func (it Item[T]) Payload() T { return it.payload }

// DroppedItem is an item that left the queue without running.
type DroppedItem[T any] struct {
	item   Item[T]
	reason wire.Reason
}

// Item returns the dropped item.
func (d DroppedItem[T]) Item() Item[T] { return d.item }

// Reason returns why it was dropped: EXPIRED, CANNOT_MEET_DEADLINE or QUEUE_FULL.
func (d DroppedItem[T]) Reason() wire.Reason { return d.reason }

// Handle identifies a waiting item. It stays invalid once the item has left the queue.
type Handle struct {
	slot       uint32
	generation uint32
}
