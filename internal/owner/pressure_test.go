package owner

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// TestPressureIsTheMeanOverUpstreams guards against a pressure that rises with the number of shards: a rank with a small
// guaranteed share would then appear overloaded whenever a few of its items wait at any upstream.
func TestPressureIsTheMeanOverUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	searcher := shards.NewSearcher("s", "127.0.0.1:1", "r", "a", 2, 25)
	newTestUpstream := func() *upstream {
		return newUpstream(now, upstreamKey{collection: "c", searcher: "s"}, searcher, 10, Settings{}, time.Now, newReplyReader())
	}
	busy := newTestUpstream()
	item := func(attempt uint64) queue.Item[*task] {
		return queue.NewItem[*task](attempt, "p", plans.Bulk, 1, now.Add(time.Second), false, attempt, nil)
	}
	if _, refusal := busy.queue.Push(now, item(0)); refusal != nil {
		t.Fatal(refusal)
	}
	first, _ := busy.queue.Pop(now)
	busy.queue.Done(now, first, 20*time.Millisecond)
	for attempt := range uint64(5) {
		if _, refusal := busy.queue.Push(now, item(attempt+1)); refusal != nil {
			t.Fatal(refusal)
		}
	}
	busyPressure := busy.queue.Pressure(now, plans.Bulk, "p")
	if busyPressure <= 0 {
		t.Fatalf("got pressure %v of the busy upstream, want more than 0", busyPressure)
	}
	idle := newTestUpstream()
	b := newBatch(wire.Batch_builder{Plan: "p", Rank: plans.Bulk.Wire()}.Build(), now.Add(time.Second))
	for _, u := range []*upstream{busy, idle} {
		b.add(&task{batch: b, upstream: u})
	}
	pressure, load := b.meanPressureAndLoad(now)
	if pressure != busyPressure/2 {
		t.Errorf("pressure: got %v, want %v", pressure, busyPressure/2)
	}
	if load != 0.5 {
		t.Errorf("load of one saturated and one idle upstream: got %v, want 0.5", load)
	}
}
