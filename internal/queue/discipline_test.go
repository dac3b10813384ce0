package queue

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// TestFIFOServesInOrderOfArrival guards against a FIFO baseline that prefers a rank or refuses work that would be late.
func TestFIFOServesInOrderOfArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New[int](Settings{Discipline: FIFO{}})
	q.serviceTime.add(time.Minute)
	q.lastSampleAt = now
	ranks := []plans.Rank{plans.Bulk, plans.Urgent, plans.Bulk, plans.Routine}
	for i, rank := range ranks {
		it := NewItem(uint64(i), rank.String(), rank, 1, now.Add(time.Second), false, 0, i)
		if _, refusal := q.Push(now, it); refusal != nil {
			t.Fatalf("item %d: got refusal %v, want none", i, refusal)
		}
	}
	for want := range ranks {
		it, ok := q.Pop(now)
		if !ok || it.Payload() != want {
			t.Errorf("got item %d, %v, want %d", it.Payload(), ok, want)
		}
	}
}
