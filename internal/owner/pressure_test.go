package owner

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// TestPressureIsTheMeanOverStations guards against a pressure that rises with the number of shards: a rank with a
// small floor then seems overloaded whenever a few of its items wait at any station.
func TestPressureIsTheMeanOverStations(t *testing.T) {
	now := time.Unix(1000, 0)
	searcher := shards.NewSearcher("s", "127.0.0.1:1", "r", "a", 2, 25)
	newTestStation := func() *station {
		return newStation(now, stationKey{collection: "c", searcher: "s"}, searcher, 10, Settings{}, time.Now)
	}
	busy := newTestStation()
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
	alone := busy.queue.Pressure(now, plans.Bulk, "p")
	if alone <= 0 {
		t.Fatalf("got pressure %v of the busy station, want more than 0", alone)
	}
	idle := newTestStation()
	b := newBatch(wire.Batch_builder{Plan: "p", Rank: plans.Bulk.Wire()}.Build(), now.Add(time.Second))
	for _, s := range []*station{busy, idle} {
		b.add(&task{batch: b, station: s})
	}
	pressure, load := b.measure(now)
	if pressure != alone/2 {
		t.Errorf("pressure: got %v, want %v", pressure, alone/2)
	}
	if load != 0.5 {
		t.Errorf("load of one saturated and one idle station: got %v, want 0.5", load)
	}
}
