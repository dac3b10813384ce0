package proof

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// Guards against searchers whose replies do not end that make a node exceed its memory, or keep it from serving other callers.
func TestNodeOutlivesEndlessReplies(t *testing.T) {
	const (
		askers      = 12
		playTime    = 4 * time.Second
		otherLimit  = time.Second
		memoryLimit = stand.NodeMemoryMB << 20
	)
	searcher := fakes.NewSearcherSettings("").WithServiceTime(fakes.Fixed{Time: time.Millisecond}, 1).WithConnections(50, 0).WithSlots(8)
	settings := fakes.NewFleetSettings(fakes.NewRegion("north", "north-a"), fakes.NewRegion("south", "south-a"), fakes.NewRegion("west", "west-a")).
		WithCollections(fakes.NewCollectionSettings(lamps, 20, 3).WithSearcher(searcher), fakes.NewCollectionSettings(orders, 2, 2).WithSearcher(searcher)).
		WithPlans(plans.NewPlan(urgentPlan, "proof", plans.Urgent, 1, plans.Coverage{})).
		WithUses(plans.NewUse(urgentPlan, lamps, 100000, 10000), plans.NewUse(urgentPlan, orders, 100000, 10000))
	searchers, err := fakes.StartFleet(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(searchers.Close)
	node := startProcess(t, buildBinary(t), searchers, "north-1", "north")
	caller := newCaller(5 * time.Second)
	// ask reports whether the answer reflects all shards.
	ask := func(query *wire.Query) bool {
		got, err := caller.ask(context.Background(), node.vm.Address(), query)
		return err == nil && got.status == 200 && len(got.answer.GetCoverage().GetMissing()) == 0
	}
	other := func(text string) *wire.Query {
		query := searchQuery(text, otherLimit)
		query.SetCollection(orders)
		return query
	}
	await(t, waitTimeout, "the node answers", func() bool { return ask(searchQuery("warm", otherLimit)) && ask(other("warm")) })
	// The limits of the searchers grow with the requests that they serve.
	for i := range 200 {
		ask(searchQuery(fmt.Sprint("warm ", i), otherLimit))
	}
	faulty := 0
	for i, s := range searchers.Searchers(lamps) {
		if i%3 == 0 {
			s.SetEndless(true)
			faulty++
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), playTime)
	defer cancel()
	var sent, served, others, othersServed atomic.Int64
	var load conc.WaitGroup
	for i := range askers {
		load.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				sent.Add(1)
				if ask(searchQuery(fmt.Sprint(i, " ", n), otherLimit)) {
					served.Add(1)
				}
			}
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		others.Add(1)
		if ask(other(fmt.Sprint(n))) {
			othersServed.Add(1)
		}
	}
	load.Wait()
	peak, err := stand.PeakMemory(node.command.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d searchers without end: peak memory %d MB, %d of %d queries and %d of %d others served", faulty, peak>>20, served.Load(), sent.Load(),
		othersServed.Load(), others.Load())
	if peak > memoryLimit {
		t.Errorf("got a peak of %d MB, want at most %d", peak>>20, int64(memoryLimit)>>20)
	}
	if got, want := served.Load(), sent.Load()*9/10; got < want || got == 0 {
		t.Errorf("got %d queries served, want at least %d", got, want)
	}
	if got, want := othersServed.Load(), others.Load()*99/100; got < want || got == 0 {
		t.Errorf("got %d other queries served, want at least %d", got, want)
	}
}
