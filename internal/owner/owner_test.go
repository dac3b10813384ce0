package owner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	testSnapshot = 7
	// waitTimeout limits each wait of a test. The test fails if it is reached.
	waitTimeout = 5 * time.Second
)

// TestMain guards against goroutines that outlive Close. It ignores the cleanup goroutines of fasthttp clients, which end within 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// harness runs an owner against one fake searcher that holds shard 0.
type harness struct {
	*Owner
	searcher *fakes.Searcher
	counters *reason.Counters
	view     *view.Snapshot
}

func newHarness(t *testing.T, change func(fakes.SearcherSettings) fakes.SearcherSettings) *harness {
	t.Helper()
	settings := fakes.NewSearcherSettings("s1").WithIndex("archive", testSnapshot, 0)
	if change != nil {
		settings = change(settings)
	}
	searcher, err := fakes.StartSearcher(settings)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{searcher: searcher, counters: reason.NewCounters(metrics.NewRegistry(), "reasons")}
	h.setView(t, searcher.Address(), false, "e1")
	h.Owner = New("e1", func() *view.Snapshot { return h.view }, Settings{}, time.Now, events.Discard(), h.counters, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		h.Close()
		searcher.Close()
	})
	return h
}

// setView sets the view with the searcher's address, whether the VM list marks it as leaving, and the entry VMs.
func (h *harness) setView(t *testing.T, address string, leaving bool, entries ...string) {
	t.Helper()
	index, err := shards.ParseIndex("archive", 1, map[string]string{
		"searcher s1": fmt.Sprintf("address = %s\nregion = r\navailability_zone = a\nslots = %d\nconnections = %d\n",
			address, h.searcher.Settings().Slots(), h.searcher.Settings().Connections()),
		"snapshot 7": "shards = 1\n",
		"shard 7/0":  "searchers = s1\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	var vms []shards.VM
	for i, id := range entries {
		vms = append(vms, shards.NewVM(id, "r", string(rune('a'+i)), "127.0.0.1:1", "127.0.0.1:2"))
	}
	if leaving {
		leavingVM := shards.NewVM("s1", "r", "a", address, "").AsLeaving()
		vms = append(vms, leavingVM)
	}
	h.view = view.New(1, plans.NewLists(nil, nil), vms, []*shards.Index{index})
}

func testBatch(query string, ids ...uint64) *wire.Batch {
	items := make([]*wire.SubRequest, len(ids))
	for i, id := range ids {
		items[i] = wire.SubRequest_builder{AttemptId: id, Searcher: "s1"}.Build()
	}
	return wire.Batch_builder{
		QueryId: 1, Plan: "p", Rank: wire.Rank_RANK_URGENT, Weight: 1, Collection: "archive", Snapshot: testSnapshot, Query: query,
		Remaining: durationpb.New(waitTimeout), Limit: 5, Items: items,
	}.Build()
}

// run sends a batch and returns its replies by attempt id. It checks that only the final frame has the last flag.
func (h *harness) run(t *testing.T, batch *wire.Batch) map[uint64]*wire.SubReply {
	t.Helper()
	replies := make(map[uint64]*wire.SubReply)
	var last []bool
	h.Batch(t.Context(), batch, func(frame *wire.BatchReply) error {
		for _, reply := range frame.GetReplies() {
			replies[reply.GetAttemptId()] = reply
		}
		last = append(last, frame.GetLast())
		return nil
	})
	if len(last) == 0 || slices.Index(last, true) != len(last)-1 || len(replies) != len(batch.GetItems()) {
		t.Errorf("got %d replies in frames with last flags %v, want %d and the flag on the final frame", len(replies), last, len(batch.GetItems()))
	}
	return replies
}

// eventually waits until the condition holds, and fails the test if it does not within waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("%s: not seen within %v", what, waitTimeout)
}

// TestOutcomes guards against outcomes that are mapped to a wrong reason: with a wrong run state, a query may run twice or lose its answer.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		settings func(fakes.SearcherSettings) fakes.SearcherSettings
		prepare  func(t *testing.T, h *harness)
		batch    func(*wire.Batch)
		query    string
		want     wire.Reason
		abrupt   bool
		hits     int
		started  int
	}{
		"served":             {hits: 5, started: 1},
		"leaving in reply":   {prepare: func(_ *testing.T, h *harness) { h.searcher.Leave() }, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"leaving in VM list": {prepare: func(t *testing.T, h *harness) { h.setView(t, h.searcher.Address(), true, "e1") }, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"snapshot gone":      {prepare: func(_ *testing.T, h *harness) { h.searcher.DropSnapshot("archive", testSnapshot) }, want: wire.Reason_REASON_SNAPSHOT_GONE},
		"misrouted reply":    {prepare: func(_ *testing.T, h *harness) { h.searcher.InjectFaults(fakes.WrongAttemptID{}) }, want: wire.Reason_REASON_REPLY_MISMATCH, started: 1},
		"truncated reply":    {prepare: func(_ *testing.T, h *harness) { h.searcher.InjectFaults(fakes.TruncateHits{}) }, want: wire.Reason_REASON_REPLY_MISMATCH, started: 1},
		"wrong snapshot":     {prepare: func(_ *testing.T, h *harness) { h.searcher.InjectFaults(fakes.WrongSnapshot{}) }, want: wire.Reason_REASON_REPLY_MISMATCH, started: 1},
		"crash":              {settings: func(s fakes.SearcherSettings) fakes.SearcherSettings { return s.WithCrash("boom", 0) }, query: "boom", want: wire.Reason_REASON_CONNECTION_LOST, abrupt: true, started: 1},
		"down":               {prepare: func(_ *testing.T, h *harness) { h.searcher.Crash() }, want: wire.Reason_REASON_CONNECT_FAILED},
		"unknown searcher":   {batch: func(b *wire.Batch) { b.GetItems()[0].SetSearcher("s9") }, want: wire.Reason_REASON_NOT_OWNER},
		"no remaining time":  {batch: func(b *wire.Batch) { b.SetRemaining(durationpb.New(0)) }, want: wire.Reason_REASON_EXPIRED},
		"deadline while running": {settings: func(s fakes.SearcherSettings) fakes.SearcherSettings {
			return s.WithServiceTime(fakes.Fixed{Time: time.Second}, 1)
		}, batch: func(b *wire.Batch) { b.SetRemaining(durationpb.New(100 * time.Millisecond)) }, want: wire.Reason_REASON_DEADLINE, started: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, test.settings)
			if test.prepare != nil {
				test.prepare(t, h)
			}
			batch := testBatch(test.query, 1)
			if test.batch != nil {
				test.batch(batch)
			}
			reply := h.run(t, batch)[1]
			got := reply.GetReason()
			// The searcher may report that the deadline has passed just before the client notices it. Both reasons mean that it may have run.
			if got == wire.Reason_REASON_CANCELLED_RUNNING {
				got = wire.Reason_REASON_DEADLINE
			}
			if got != test.want || reply.GetAbrupt() != test.abrupt || len(reply.GetHits()) != test.hits {
				t.Errorf("got %v, abrupt %v, %d hits; want %v, %v, %d", got, reply.GetAbrupt(), len(reply.GetHits()), test.want, test.abrupt, test.hits)
			}
			if got := h.searcher.Started(); got != test.started {
				t.Errorf("got %d runs at the searcher, want %d", got, test.started)
			}
			if h.InFlight() != 0 {
				t.Errorf("got %d sub-requests in flight, want none", h.InFlight())
			}
		})
	}
}

// TestLeavingByHealth guards against a leaving signal that is missed because only the health endpoint reports it.
func TestLeavingByHealth(t *testing.T) {
	h := newHarness(t, nil)
	h.run(t, testBatch("q", 1))
	h.searcher.Leave()
	eventually(t, "leaving", func() bool { return h.Upstreams(time.Now())[0].Leaving() })
}

// TestIdleCloseIsNotAbrupt guards against reporting an abrupt loss when the searcher closed an idle connection.
func TestIdleCloseIsNotAbrupt(t *testing.T) {
	h := newHarness(t, nil)
	h.run(t, testBatch("q", 1))
	if err := h.searcher.Restart(); err != nil {
		t.Fatal(err)
	}
	if reply := h.run(t, testBatch("q", 2))[2]; reply.GetAbrupt() {
		t.Errorf("got abrupt with %v, want not abrupt", reply.GetReason())
	}
}

// TestCancel guards against cancelled sub-requests that keep their slot at the searcher or their place in the queue.
func TestCancel(t *testing.T) {
	h := newHarness(t, func(s fakes.SearcherSettings) fakes.SearcherSettings {
		return s.WithSlots(1).WithServiceTime(fakes.Fixed{Time: 4 * time.Second}, 1)
	})
	h.settings.Stall.Minimum = time.Minute
	done := make(chan map[uint64]*wire.SubReply, 1)
	go func() { done <- h.run(t, testBatch("q", 1, 2, 3)) }()
	eventually(t, "one running, the rest waiting", func() bool { return h.searcher.Started() == 1 && h.InFlight() == 3 })
	h.Cancel(t.Context(), wire.Cancel_builder{QueryId: 9, AttemptIds: []uint64{1, 2, 3}}.Build())
	if h.InFlight() != 3 {
		t.Errorf("cancel of another query: got %d in flight, want 3", h.InFlight())
	}
	start := time.Now()
	h.Cancel(t.Context(), wire.Cancel_builder{QueryId: 1, AttemptIds: []uint64{3, 2, 1}}.Build())
	replies := <-done
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("got the replies after %v, want them before the service time has passed", elapsed)
	}
	for id, want := range map[uint64]wire.Reason{1: wire.Reason_REASON_CANCELLED_RUNNING, 2: wire.Reason_REASON_CANCELLED, 3: wire.Reason_REASON_CANCELLED} {
		if got := replies[id].GetReason(); got != want {
			t.Errorf("attempt %d: got %v, want %v", id, got, want)
		}
	}
}

// TestEndpointsWhileBusy guards against a lost cancellation or leaving signal while running sub-requests hold all connections of the share.
func TestEndpointsWhileBusy(t *testing.T) {
	h := newHarness(t, func(s fakes.SearcherSettings) fakes.SearcherSettings {
		return s.WithServiceTime(fakes.Fixed{Time: 4 * time.Second}, 1)
	})
	h.settings.Stall.Minimum = time.Minute
	h.view = view.New(2, h.view.Lists(), h.view.VMs(), []*shards.Index{h.oneConnection(t)})
	done := make(chan map[uint64]*wire.SubReply, 1)
	go func() { done <- h.run(t, testBatch("q", 1)) }()
	eventually(t, "one running", func() bool { return h.searcher.Started() == 1 })
	start := time.Now()
	h.searcher.Leave()
	eventually(t, "leaving", func() bool { return h.Upstreams(time.Now())[0].Leaving() })
	if elapsed := time.Since(start); elapsed > 3*time.Second {
		t.Errorf("got the leaving signal after %v, want it within 3s", elapsed)
	}
	h.Cancel(t.Context(), wire.Cancel_builder{QueryId: 1, AttemptIds: []uint64{1}}.Build())
	if got := (<-done)[1].GetReason(); got != wire.Reason_REASON_CANCELLED_RUNNING {
		t.Errorf("got %v, want a cancelled run", got)
	}
}

// oneConnection returns an index in which the searcher allows only one connection.
func (h *harness) oneConnection(t *testing.T) *shards.Index {
	t.Helper()
	index, err := shards.ParseIndex("archive", 2, map[string]string{
		"searcher s1": "address = " + h.searcher.Address() + "\nregion = r\navailability_zone = a\nslots = 2\nconnections = 1\n",
		"snapshot 7":  "shards = 1\n",
		"shard 7/0":   "searchers = s1\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// TestShareOfConnections guards against connections beyond this node's share, also after the share changed while requests were in flight.
func TestShareOfConnections(t *testing.T) {
	h := newHarness(t, func(s fakes.SearcherSettings) fakes.SearcherSettings {
		return s.WithSlots(4).WithConnections(10, 0).WithServiceTime(fakes.Fixed{Time: 50 * time.Millisecond}, 1)
	})
	ids := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	h.run(t, testBatch("q", ids...))
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.run(t, testBatch("q", ids...))
	}()
	eventually(t, "work in flight", func() bool { return h.Upstreams(time.Now())[0].InFlight() > 1 })
	h.setView(t, h.searcher.Address(), false, "e2", "e3", "e4")
	h.Refresh(time.Now())
	<-done
	const otherNode = 1
	if got := h.Upstreams(time.Now())[0].Share(); got != otherNode {
		t.Errorf("got a share of %d, want %d", got, otherNode)
	}
	eventually(t, "connections within the share", func() bool { return h.searcher.Connections() <= otherNode })
	if got := h.searcher.RefusedConnections(); got != 0 {
		t.Errorf("got %d connections beyond the searcher's maximum, want none", got)
	}
}

// TestSilentConnection guards against sub-requests that wait on a silent connection until their deadline.
func TestSilentConnection(t *testing.T) {
	h := newHarness(t, func(s fakes.SearcherSettings) fakes.SearcherSettings {
		return s.WithServiceTime(fakes.Fixed{Time: 20 * time.Millisecond}, 1)
	})
	h.run(t, testBatch("q", 1))
	h.searcher.SilenceConnections(h.searcher.Connections())
	if got := h.run(t, testBatch("q", 2))[2].GetReason(); got != wire.Reason_REASON_CONNECTION_SILENT {
		t.Errorf("got %v, want a silent connection", got)
	}
	id := uint64(2)
	eventually(t, "service on a new connection", func() bool {
		id++
		return h.run(t, testBatch("q", id))[id].GetReason() == wire.Reason_REASON_UNSPECIFIED
	})
}

// TestMovedSearcher guards against sub-requests to the previous address of a searcher that moved.
func TestMovedSearcher(t *testing.T) {
	h := newHarness(t, nil)
	h.run(t, testBatch("q", 1))
	moved, err := fakes.StartSearcher(fakes.NewSearcherSettings("s1").WithIndex("archive", testSnapshot, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	h.setView(t, moved.Address(), false, "e1")
	h.Refresh(time.Now())
	if got := h.run(t, testBatch("q", 2))[2].GetReason(); got != wire.Reason_REASON_UNSPECIFIED || moved.Started() != 1 {
		t.Errorf("got %v and %d runs at the new address, want 1", got, moved.Started())
	}
}

// TestExpiredWork guards against sub-requests that take a slot at the searcher although their deadline passed while they waited.
func TestExpiredWork(t *testing.T) {
	tests := map[string]func(*harness){
		"by the tick":   func(*harness) {},
		"after a pause": func(h *harness) { h.HandlePause(time.Now().Add(time.Minute)) },
	}
	for name, drop := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(s fakes.SearcherSettings) fakes.SearcherSettings {
				return s.WithSlots(1).WithServiceTime(fakes.Fixed{Time: 600 * time.Millisecond}, 1)
			})
			h.settings.Stall.Minimum = time.Minute
			done := make(chan struct{})
			go func() {
				defer close(done)
				h.run(t, testBatch("q", 1))
			}()
			eventually(t, "one running", func() bool { return h.searcher.Started() == 1 })
			batch := testBatch("q", 2)
			batch.SetRemaining(durationpb.New(300 * time.Millisecond))
			replied := make(chan wire.Reason, 1)
			go func() { replied <- h.run(t, batch)[2].GetReason() }()
			eventually(t, "waiting", func() bool { return h.Upstreams(time.Now())[0].Waiting() == 1 })
			drop(h)
			if got := <-replied; got != wire.Reason_REASON_EXPIRED {
				t.Errorf("got %v, want expired", got)
			}
			<-done
			if got := h.searcher.Started(); got != 1 {
				t.Errorf("got %d runs at the searcher, want 1", got)
			}
		})
	}
}

// TestShares guards against connection shares with which the owners together exceed a searcher's maximum.
func TestShares(t *testing.T) {
	h := newHarness(t, func(s fakes.SearcherSettings) fakes.SearcherSettings { return s.WithConnections(25, 0) })
	h.setView(t, h.searcher.Address(), false, "e1", "e2", "e3")
	key := upstreamKey{collection: "archive", searcher: "s1"}
	searcher, _ := findSearcher(h.view, key)
	sum := 0
	var got []int
	for _, vm := range h.view.Owners("archive", "s1") {
		o := &Owner{self: vm.ID()}
		got = append(got, o.share(h.view, key, searcher))
		sum += got[len(got)-1]
	}
	if want := []int{15, 7, 2}; !slices.Equal(got, want) || sum > 25 {
		t.Errorf("got shares %v, want %v and at most 25 together", got, want)
	}
}
