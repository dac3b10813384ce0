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
	// firstID makes queries start at the first replica of each shard, and at shard 1 of 3 as canary.
	firstID = 1000
)

// action is what a searcher does with one attempt; the zero value replies after replyTime.
type action struct {
	after  time.Duration
	reason wire.Reason
	abrupt bool
	// never leaves the attempt without an outcome.
	never bool
	// twice sends the reply a second time.
	twice bool
	// change alters the reply before it is sent.
	change func(*wire.SubReply)
	// query replaces the query id of the frame.
	query uint64
	// drop ends the stream without the reply.
	drop bool
	// load is what the frame says of the owner's searchers.
	load float64
}

// ownerFault is what an owner does with a batch instead of serving it.
type ownerFault int

const (
	ownerServes ownerFault = iota
	ownerUnreachable
	ownerLost
)

// sent is one attempt that reached the fake owners.
type sent struct {
	id       uint64
	searcher string
	owner    string
	at       time.Duration
	batch    *wire.Batch
	// mayRun is set when a searcher may have run the attempt.
	mayRun bool
}

// world is an entry in front of scripted owners and issuers.
type world struct {
	entry    *Entry
	view     *view.Snapshot
	members  *member.View
	policies Policies
	counters *reason.Counters
	start    time.Time
	marked   int
	gate     *reason.Refusal

	mu        sync.Mutex
	actions   map[string][]action
	owners    map[string]ownerFault
	sent      []sent
	cancelled []uint64
	forward   func(address string, query *wire.Query) (*wire.Answer, error)
}

// replicas returns two searchers for each of a number of shards, such as s0a and s0b.
func replicas(count int) [][]string {
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

func newWorld(t *testing.T, snapshots map[uint64][][]string, leaving ...string) *world {
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
	w := &world{
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
	w.members.SetVMs(w.start, vms)
	limits := wire.LimitSettings_builder{
		MaxHits:         100,
		DefaultDeadline: durationpb.New(testDeadline),
		MaxDeadline:     durationpb.New(time.Second),
	}.Build()
	sources := Hooks{
		View:              func() *view.Snapshot { return w.view },
		Members:           w.members.Snapshot,
		OwnerFailed:       w.members.RecordFailure,
		QuarantineChanged: func() { w.marked++ },
		Gate:              func() *reason.Refusal { return w.gate },
		Clock:             time.Now,
	}
	w.entry = New(vms[0], limits, w.policies, sources, w, w, events.Discard(), w.counters, metrics.NewRegistry())
	w.entry.lastID.Store(firstID - 1)
	return w
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

// complete makes the entry know the query, so that it goes to all shards at once.
func (w *world) complete(query *wire.Query) {
	w.policies.Quarantine.RecordCompletion(time.Now(), quar.Fingerprint(query.GetPlan(), query.GetCollection(), query.GetQuery()), false)
}

// faultOwners gives the primary, the secondary and the standby of the archive's first group a fault each.
func (w *world) faultOwners(faults ...ownerFault) {
	for i, fault := range faults {
		w.owners[w.view.Owners("archive", "s0a")[i].ID()] = fault
	}
}

// Batch is part of Owners. Each attempt takes the next of its searcher's actions; the last one repeats.
func (w *world) Batch(ctx context.Context, to shards.VM, batch *wire.Batch, receive func(*wire.BatchReply)) error {
	fault := w.owners[to.ID()]
	if fault == ownerUnreachable {
		return errors.Mark(errors.New("no route"), peer.ErrNotSent)
	}
	var waiting sync.WaitGroup
	var receiving sync.Mutex
	for _, item := range batch.GetItems() {
		todo := w.accept(to, batch, item, fault)
		if fault != ownerServes || todo.drop {
			continue
		}
		waiting.Go(func() {
			if todo.never {
				<-ctx.Done()
				return
			}
			time.Sleep(replyTime + todo.after)
			receiving.Lock()
			defer receiving.Unlock()
			frame := frameOf(batch, item, todo)
			receive(frame)
			if todo.twice {
				receive(frame)
			}
		})
	}
	waiting.Wait()
	if fault == ownerLost {
		return errors.New("connection lost")
	}
	return ctx.Err()
}

func (w *world) accept(to shards.VM, batch *wire.Batch, item *wire.SubRequest, fault ownerFault) action {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := item.GetSearcher()
	var todo action
	if script := w.actions[id]; len(script) > 0 {
		todo = script[0]
		w.actions[id] = script[min(1, len(script)-1):]
	}
	mayRun := fault == ownerLost || reason.RunState(todo.reason) != wire.RunState_RUN_STATE_NOT_RUN
	w.sent = append(w.sent, sent{
		id: item.GetAttemptId(), searcher: id, owner: to.ID(), at: time.Since(w.start), batch: batch, mayRun: mayRun,
	})
	return todo
}

func frameOf(batch *wire.Batch, item *wire.SubRequest, todo action) *wire.BatchReply {
	reply := wire.SubReply_builder{
		AttemptId: item.GetAttemptId(),
		Shard:     item.GetShard(),
		Snapshot:  batch.GetSnapshot(),
		Reason:    todo.reason,
		Abrupt:    todo.abrupt,
	}.Build()
	if todo.reason == wire.Reason_REASON_UNSPECIFIED {
		reply.SetHits([]*wire.Hit{wire.Hit_builder{Id: hitID(batch.GetSnapshot(), int(item.GetShard())), Score: 1}.Build()})
	}
	if todo.change != nil {
		todo.change(reply)
	}
	query := batch.GetQueryId()
	if todo.query != 0 {
		query = todo.query
	}
	return wire.BatchReply_builder{QueryId: query, Replies: []*wire.SubReply{reply}, Load: todo.load}.Build()
}

func hitID(snapshot uint64, shard int) string {
	return strconv.FormatUint(snapshot, 10) + "/" + strconv.Itoa(shard)
}

// Cancel is part of Owners.
func (w *world) Cancel(_ context.Context, _ shards.VM, cancel *wire.Cancel) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled = append(w.cancelled, cancel.GetAttemptIds()...)
	return nil
}

// Forward is part of Issuers.
func (w *world) Forward(_ context.Context, address string, query *wire.Query) (*wire.Answer, error) {
	return w.forward(address, query)
}

// ask asks and returns the answer with the time that it took, once all exchanges are over.
func (w *world) ask(t *testing.T, query *wire.Query) (*wire.Answer, time.Duration) {
	t.Helper()
	began := time.Now()
	answer := w.entry.Query(t.Context(), began, query)
	took := time.Since(began)
	w.entry.Close()
	synctest.Wait()
	w.checkAnswer(t, query, answer)
	return answer, took
}

// checkAnswer checks what holds for every answer: its hits are those of the reflected shards in its one snapshot, the
// coverage adds up, it is "not run" only when no attempt may have run, and a non-idempotent query ran at most once.
func (w *world) checkAnswer(t *testing.T, query *wire.Query, answer *wire.Answer) {
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
	for _, s := range w.sent {
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

// searchers returns the searchers that got an attempt, in order.
func (w *world) searchers() []string {
	var all []string
	for _, s := range w.sent {
		all = append(all, s.searcher)
	}
	return all
}
