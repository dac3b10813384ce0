package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/admit"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/hedge"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/picker"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/retry"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/token"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	testDelay    = 20 * time.Millisecond
	testDeadline = 200 * time.Millisecond
	replyTime    = time.Millisecond
	// firstID is the id of the first query. It selects the first replica of each shard, and shard 1 of 3 as the canary.
	firstID = 1000
)

// action is how a fake searcher handles one attempt. The zero value replies after replyTime.
type action struct {
	delay  time.Duration
	reason wire.Reason
	abrupt bool
	// never leaves the attempt without a reply.
	never bool
	// duplicate sends the reply twice.
	duplicate bool
	// alter modifies the reply before it is sent.
	alter func(*wire.SubReply)
	// queryID replaces the query id of the frame if it is not 0.
	queryID uint64
	// omit ends the stream without a reply.
	omit bool
	// load is the load that the frame reports.
	load float64
}

// ownerFault is how a fake owner fails a batch.
type ownerFault int

const (
	ownerServes ownerFault = iota
	ownerUnreachable
	ownerLost
)

// sentAttempt is an attempt that reached the fake owners.
type sentAttempt struct {
	id       uint64
	searcher string
	owner    string
	at       time.Duration
	batch    *wire.Batch
	// mayRun is set when a searcher may have run the attempt.
	mayRun bool
}

// harness runs an entry against fake owners and issuers with scripted behaviour.
type harness struct {
	entry             *Entry
	view              *view.Snapshot
	members           *member.View
	policies          Policies
	counters          *reason.Counters
	start             time.Time
	quarantineChanges int
	gate              *reason.Refusal

	mu        sync.Mutex
	actions   map[string][]action
	owners    map[string]ownerFault
	sent      []sentAttempt
	cancelled []uint64
	forward   func(address string, query *wire.Query) (*wire.Answer, error)
}

// replicaPairs returns two searcher ids for each of count shards, such as s0a and s0b.
func replicaPairs(count int) [][]string {
	all := make([][]string, count)
	for shard := range all {
		all[shard] = []string{fmt.Sprintf("s%da", shard), fmt.Sprintf("s%db", shard)}
	}
	return all
}

func testIndex(t *testing.T, snapshots map[uint64][][]string) *shards.Index {
	t.Helper()
	sections := make(map[string]string)
	for version, partition := range snapshots {
		sections[fmt.Sprintf("snapshot %d", version)] = fmt.Sprintf("shards = %d\n", len(partition))
		for shard, ids := range partition {
			sections[fmt.Sprintf("shard %d/%d", version, shard)] = "searchers = " + strings.Join(ids, ",") + "\n"
			for _, id := range ids {
				sections["searcher "+id] = "address = 127.0.0.1:1\nregion = r\navailability_zone = a\nslots = 2\nconnections = 25\n"
			}
		}
	}
	index, err := shards.ParseIndex("archive", 1, sections)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

func newHarness(t *testing.T, snapshots map[uint64][][]string, leaving ...string) *harness {
	t.Helper()
	vms := []shards.VM{
		shards.NewVM("e1", "r", "a", "127.0.0.1:11", "127.0.0.1:21"),
		shards.NewVM("e2", "r", "b", "127.0.0.1:12", "127.0.0.1:22"),
		shards.NewVM("e3", "r", "c", "127.0.0.1:13", "127.0.0.1:23"),
	}
	listed := slices.Clone(vms)
	for _, id := range leaving {
		sections := map[string]string{id: "kind = searcher\naddress = 127.0.0.1:1\nregion = r\navailability_zone = a\nstate = leaving\n"}
		vm, err := shards.ParseVMs("vms/r", sections)
		if err != nil {
			t.Fatal(err)
		}
		listed = append(listed, vm...)
	}
	lists := plans.NewLists(testPlans(t), testUses(t))
	h := &harness{
		view:     view.New(1, lists, listed, []*shards.Index{testIndex(t, snapshots)}),
		members:  member.New(member.NewNode("e1", 1), member.Settings{}),
		counters: reason.NewCounters(metrics.NewRegistry(), "reasons"),
		start:    time.Now(),
		actions:  make(map[string][]action),
		owners:   make(map[string]ownerFault),
		policies: Policies{
			Admission:  admit.New(admit.Settings{}),
			Hedger:     hedge.New(hedge.Settings{InitialDelay: testDelay}),
			Retrier:    retry.New(retry.Settings{InitialBudget: 100}, rand.New(rand.NewPCG(1, 2))),
			Picker:     picker.New(),
			Issuer:     token.New("127.0.0.1:21", 1, []byte("key")),
			Quarantine: quar.New(quar.Settings{}),
		},
	}
	h.members.SetVMs(h.start, vms)
	limits := wire.LimitSettings_builder{
		MaxHits:         100,
		DefaultDeadline: durationpb.New(testDeadline),
		MaxDeadline:     durationpb.New(time.Second),
	}.Build()
	hooks := Hooks{
		View:              func() *view.Snapshot { return h.view },
		Members:           h.members.Snapshot,
		OwnerFailed:       h.members.RecordFailure,
		QuarantineChanged: func() { h.quarantineChanges++ },
		Gate:              func() *reason.Refusal { return h.gate },
		Clock:             time.Now,
	}
	h.entry = New(vms[0], limits, h.policies, hooks, h, h, events.Discard(), h.counters, metrics.NewRegistry())
	h.entry.lastID.Store(firstID - 1)
	return h
}

func testPlans(t *testing.T) *plans.Plans {
	t.Helper()
	parsed, err := plans.ParsePlans(1, map[string]string{
		"tail":     "customer = c\nrank = urgent\nweight = 1\npreference = tail\n",
		"coverage": "customer = c\nrank = urgent\nweight = 1\npreference = coverage\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func testUses(t *testing.T) *plans.Uses {
	t.Helper()
	const use = "queries_per_second = 1000\nconcurrent = 100\n"
	parsed, err := plans.ParseUses(1, map[string]string{"tail/archive": use, "coverage/archive": use, "coverage/lost": use})
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// markCompleted records the query as completed before, so that it is sent to all shards without a canary.
func (h *harness) markCompleted(query *wire.Query) {
	h.policies.Quarantine.RecordCompletion(time.Now(), quar.Fingerprint(query.GetPlan(), query.GetCollection(), query.GetQuery()), false)
}

// setOwnerFaults sets the faults of the primary, secondary and standby owner of the first shard group, in this order.
func (h *harness) setOwnerFaults(faults ...ownerFault) {
	for i, fault := range faults {
		h.owners[h.view.Owners("archive", "s0a")[i].ID()] = fault
	}
}

// Batch implements OwnerClient. Each attempt takes the next of its searcher's actions; the last one repeats.
func (h *harness) Batch(ctx context.Context, to shards.VM, batch *wire.Batch, receive func(*wire.BatchReply)) error {
	fault := h.owners[to.ID()]
	if fault == ownerUnreachable {
		return errors.Mark(errors.New("no route"), peer.ErrNotSent)
	}
	var sends sync.WaitGroup
	var receiveMu sync.Mutex
	for _, item := range batch.GetItems() {
		act := h.accept(to, batch, item, fault)
		if fault != ownerServes || act.omit {
			continue
		}
		sends.Go(func() {
			if act.never {
				<-ctx.Done()
				return
			}
			time.Sleep(replyTime + act.delay)
			receiveMu.Lock()
			defer receiveMu.Unlock()
			frame := newFrame(batch, item, act)
			receive(frame)
			if act.duplicate {
				receive(frame)
			}
		})
	}
	sends.Wait()
	if fault == ownerLost {
		return errors.New("connection lost")
	}
	return ctx.Err()
}

func (h *harness) accept(to shards.VM, batch *wire.Batch, item *wire.SubRequest, fault ownerFault) action {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := item.GetSearcher()
	var act action
	if script := h.actions[id]; len(script) > 0 {
		act = script[0]
		h.actions[id] = script[min(1, len(script)-1):]
	}
	mayRun := fault == ownerLost || reason.RunState(act.reason) != wire.RunState_RUN_STATE_NOT_RUN
	h.sent = append(h.sent, sentAttempt{
		id: item.GetAttemptId(), searcher: id, owner: to.ID(), at: time.Since(h.start), batch: batch, mayRun: mayRun,
	})
	return act
}

func newFrame(batch *wire.Batch, item *wire.SubRequest, act action) *wire.BatchReply {
	reply := wire.SubReply_builder{
		AttemptId: item.GetAttemptId(),
		Shard:     item.GetShard(),
		Snapshot:  batch.GetSnapshot(),
		Reason:    act.reason,
		Abrupt:    act.abrupt,
	}.Build()
	if act.reason == wire.Reason_REASON_UNSPECIFIED {
		reply.SetHits([]*wire.Hit{wire.Hit_builder{Id: hitID(batch.GetSnapshot(), int(item.GetShard())), Score: 1}.Build()})
	}
	if act.alter != nil {
		act.alter(reply)
	}
	query := batch.GetQueryId()
	if act.queryID != 0 {
		query = act.queryID
	}
	return wire.BatchReply_builder{QueryId: query, Replies: []*wire.SubReply{reply}, Load: act.load}.Build()
}

func hitID(snapshot uint64, shard int) string {
	return strconv.FormatUint(snapshot, 10) + "/" + strconv.Itoa(shard)
}

// Cancel implements OwnerClient.
func (h *harness) Cancel(_ context.Context, _ shards.VM, cancel *wire.Cancel) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = append(h.cancelled, cancel.GetAttemptIds()...)
	return nil
}

// Forward implements IssuerClient.
func (h *harness) Forward(_ context.Context, address string, query *wire.Query) (*wire.Answer, error) {
	return h.forward(address, query)
}

// execute runs a query, waits until all exchanges with owners have ended, and returns the answer with its latency.
func (h *harness) execute(t *testing.T, query *wire.Query) (*wire.Answer, time.Duration) {
	t.Helper()
	start := time.Now()
	answer := h.entry.Query(t.Context(), start, query)
	elapsed := time.Since(start)
	h.entry.Close()
	synctest.Wait()
	h.checkAnswer(t, query, answer)
	return answer, elapsed
}

// checkAnswer checks the invariants of every answer: its hits are those of the reflected shards in one snapshot, the counts
// of its coverage add up, its run state is "not run" only if no attempt can have run, and a non-idempotent query ran at most
// once.
func (h *harness) checkAnswer(t *testing.T, query *wire.Query, answer *wire.Answer) {
	t.Helper()
	coverage := answer.GetCoverage()
	if got, want := int(coverage.GetReflected())+len(coverage.GetMissing()), int(coverage.GetTotal()); got != want {
		t.Errorf("coverage: got %d shards reflected or missing, want %d", got, want)
	}
	if got, want := len(answer.GetHits()), int(coverage.GetReflected()); got != want {
		t.Errorf("hits: got %d, want one for each of %d shards", got, want)
	}
	seen := make(map[string]bool)
	for _, missing := range coverage.GetMissing() {
		seen[hitID(answer.GetSnapshot(), int(missing.GetShard()))] = true
	}
	for _, hit := range answer.GetHits() {
		if version, _, _ := strings.Cut(hit.GetId(), "/"); version != strconv.FormatUint(answer.GetSnapshot(), 10) || seen[hit.GetId()] {
			t.Errorf("hits: got %s twice, from a missing shard or not from snapshot %d", hit.GetId(), answer.GetSnapshot())
		}
		seen[hit.GetId()] = true
	}
	mayRun := 0
	for _, s := range h.sent {
		if s.mayRun {
			mayRun++
		}
	}
	if answer.GetRun() == wire.RunState_RUN_STATE_NOT_RUN && answer.GetCoverage() != nil && mayRun > 0 {
		t.Errorf("run state: got not run, but %d attempts may have run", mayRun)
	}
	if query.GetNonIdempotent() && mayRun > 1 {
		t.Errorf("non-idempotent query: got %d attempts that may have run, want at most 1", mayRun)
	}
}

// searchers returns the ids of the searchers that received an attempt, in order.
func (h *harness) searchers() []string {
	var all []string
	for _, s := range h.sent {
		all = append(all, s.searcher)
	}
	return all
}
