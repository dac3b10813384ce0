package queue

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Item is one attempt of a sub-request that waits for a searcher. T is the caller's payload.
type Item[T any] struct {
	attempt      uint64
	plan         string
	rank         plans.Rank
	weight       int
	deadline     time.Time
	exclusive    bool
	dropPriority uint64
	payload      T

	// charged is the estimated service time that Pop accounted for. Done replaces it by the measured one.
	charged time.Duration
	// epoch is the queue's epoch at Pop. A sample from an older epoch includes a process pause and is discarded.
	epoch uint64
}

// NewItem returns an item. An unknown rank counts as bulk. weight is the plan's weight within its rank, at least 1.
// dropPriority is a hash of the query id: it is the same at all shards of a query, so that all queues drop the same
// queries.
func NewItem[T any](attempt uint64, plan string, rank plans.Rank, weight int, deadline time.Time, exclusive bool, dropPriority uint64, payload T) Item[T] {
	if rank < 0 || rank >= plans.NumRanks {
		rank = plans.Bulk
	}
	return Item[T]{
		attempt:      attempt,
		plan:         plan,
		rank:         rank,
		weight:       max(weight, 1),
		deadline:     deadline,
		exclusive:    exclusive,
		dropPriority: dropPriority,
		payload:      payload,
	}
}

// Attempt returns the id of the attempt.
func (it Item[T]) Attempt() uint64 { return it.attempt }

// Plan returns the name of the plan.
func (it Item[T]) Plan() string { return it.plan }

// Rank returns the rank of the plan.
func (it Item[T]) Rank() plans.Rank { return it.rank }

// Weight returns the plan's weight within its rank.
func (it Item[T]) Weight() int { return it.weight }

// Deadline returns the time from which a reply is of no use.
func (it Item[T]) Deadline() time.Time { return it.deadline }

// Exclusive reports whether the item must run alone.
func (it Item[T]) Exclusive() bool { return it.exclusive }

// DropPriority returns the hash that selects the items to drop. Items with a higher value are dropped first.
func (it Item[T]) DropPriority() uint64 { return it.dropPriority }

// Payload returns the caller's payload.
func (it Item[T]) Payload() T { return it.payload }

// DroppedItem is an item that the queue dropped without running it.
type DroppedItem[T any] struct {
	item   Item[T]
	reason wire.Reason
}

// Item returns the dropped item.
func (d DroppedItem[T]) Item() Item[T] { return d.item }

// Reason returns why the item was dropped: EXPIRED, CANNOT_MEET_DEADLINE or QUEUE_FULL.
func (d DroppedItem[T]) Reason() wire.Reason { return d.reason }

// Handle identifies a waiting item. It is invalid for good once the item has left the queue.
type Handle struct {
	index      uint32
	generation uint32
}
