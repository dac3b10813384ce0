package entry

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/hedge"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/token"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

func testQuery() *wire.Query {
	return wire.Query_builder{Plan: "coverage", Collection: "archive", Query: "lamp", Limit: 100}.Build()
}

// failWith returns an action that fails the attempt with a reason.
func failWith(r wire.Reason) action { return action{reason: r} }

// altered returns an action that sends a modified reply.
func altered(alter func(*wire.SubReply)) action { return action{alter: alter} }

var (
	neverReplies = []action{{never: true}}
	abruptLoss   = []action{{reason: wire.Reason_REASON_CONNECTION_LOST, abrupt: true}}
)

// TestQuery guards against answers with a wrong coverage, run state, snapshot or latency after each kind of failure, and
// against hedges and retries that are not allowed. The query has 3 shards of 2 replicas unless the test case says otherwise.
func TestQuery(t *testing.T) {
	const (
		run     = wire.RunState_RUN_STATE_RUN
		notRun  = wire.RunState_RUN_STATE_NOT_RUN
		unknown = wire.RunState_RUN_STATE_UNKNOWN
	)
	two := map[uint64][][]string{1: {{"s0a"}, {"s1a"}}, 2: {{"s0b"}, {"s1b"}}}
	tests := map[string]struct {
		snapshots     map[uint64][][]string
		leaving       []string
		actions       map[string][]action
		owners        []ownerFault
		plan          string
		nonIdempotent bool
		unknownQuery  bool
		noBudget      bool

		wantRun       wire.RunState
		wantReason    wire.Reason
		wantSnapshot  uint64
		wantMissing   map[uint32]wire.Reason
		wantSent      int
		wantCancelled int
		// wantElapsed is not checked if it is 0.
		wantElapsed time.Duration
		wantCount   map[wire.Reason]int64
	}{
		"all reply": {wantRun: run, wantSent: 3, wantElapsed: replyTime},

		// Canary.
		"unknown query goes to one shard first": {unknownQuery: true, wantRun: run, wantSent: 3, wantElapsed: 2 * replyTime},
		"slow canary delays by the hedge delay": {unknownQuery: true, actions: map[string][]action{"s1a": {{delay: 30 * time.Millisecond}}}, noBudget: true, wantRun: run, wantSent: 3, wantElapsed: 31 * time.Millisecond},
		"canary without a replica":              {unknownQuery: true, leaving: []string{"s1a", "s1b"}, wantRun: run, wantMissing: map[uint32]wire.Reason{1: wire.Reason_REASON_NO_REPLICA}, wantSent: 2, wantElapsed: replyTime},

		// Hedging.
		"straggler is hedged and cancelled": {actions: map[string][]action{"s0a": neverReplies}, wantRun: run, wantSent: 4, wantCancelled: 1, wantElapsed: testDelay + replyTime, wantCount: map[wire.Reason]int64{wire.Reason_REASON_HEDGE: 1}},
		"hedge loses to the first attempt":  {actions: map[string][]action{"s0a": {{delay: testDelay}}, "s0b": neverReplies}, wantRun: run, wantSent: 4, wantCancelled: 1, wantElapsed: testDelay + replyTime},
		"no hedge without budget":           {actions: map[string][]action{"s0a": neverReplies}, noBudget: true, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_DEADLINE}, wantSent: 3, wantCancelled: 1, wantElapsed: testDeadline},
		"non-idempotent is never hedged":    {nonIdempotent: true, actions: map[string][]action{"s0a": neverReplies, "s1a": neverReplies, "s2a": neverReplies}, wantRun: unknown, wantReason: wire.Reason_REASON_DEADLINE, wantSent: 1, wantCancelled: 1, wantElapsed: testDeadline},
		"failed hedge leaves the first":     {actions: map[string][]action{"s0a": {{delay: 40 * time.Millisecond}}, "s0b": {failWith(wire.Reason_REASON_CONNECT_FAILED)}}, wantRun: run, wantSent: 4, wantElapsed: 41 * time.Millisecond},
		"all replicas straggle":             {actions: map[string][]action{"s0a": neverReplies, "s0b": neverReplies}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_DEADLINE}, wantSent: 4, wantCancelled: 2, wantElapsed: testDeadline},

		// Retry on another replica.
		"leaving searcher":                    {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_SEARCHER_LEAVING)}}, wantRun: run, wantSent: 4, wantElapsed: 2 * replyTime},
		"shed":                                {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_SEARCHER_SHED)}}, wantRun: run, wantSent: 4},
		"connection lost":                     {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_CONNECTION_LOST)}}, wantRun: run, wantSent: 4},
		"malformed reply":                     {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_REPLY_MALFORMED)}}, wantRun: run, wantSent: 4},
		"non-idempotent, malformed reply":     {nonIdempotent: true, actions: forAllShards("a", failWith(wire.Reason_REASON_REPLY_MALFORMED)), wantRun: unknown, wantReason: wire.Reason_REASON_REPLY_MALFORMED, wantSent: 1, wantCount: map[wire.Reason]int64{wire.Reason_REASON_RETRY_UNSAFE: 1}},
		"expired is not retried":              {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_EXPIRED)}}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_EXPIRED}, wantSent: 3},
		"both replicas fail":                  {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_CONNECT_FAILED)}, "s0b": {failWith(wire.Reason_REASON_SEARCHER_ERROR)}}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_SEARCHER_ERROR}, wantSent: 4},
		"no reachable replica":                {leaving: []string{"s0a", "s0b"}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_NO_REPLICA}, wantSent: 2},
		"no usable searcher":                  {leaving: []string{"s0a", "s0b", "s1a", "s1b", "s2a", "s2b"}, wantRun: notRun, wantReason: wire.Reason_REASON_NO_REPLICA, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_NO_REPLICA, 1: wire.Reason_REASON_NO_REPLICA, 2: wire.Reason_REASON_NO_REPLICA}},
		"non-idempotent, refused and retried": {nonIdempotent: true, actions: forAllShards("a", failWith(wire.Reason_REASON_CONNECT_FAILED)), wantRun: run, wantSent: 2},
		"non-idempotent, refused twice":       {nonIdempotent: true, actions: forAllShards("ab", failWith(wire.Reason_REASON_CONNECT_FAILED)), wantRun: notRun, wantReason: wire.Reason_REASON_CONNECT_FAILED, wantSent: 2},
		"non-idempotent, lost":                {nonIdempotent: true, actions: forAllShards("a", failWith(wire.Reason_REASON_CONNECTION_LOST)), wantRun: unknown, wantReason: wire.Reason_REASON_CONNECTION_LOST, wantSent: 1, wantCount: map[wire.Reason]int64{wire.Reason_REASON_RETRY_UNSAFE: 1}},
		"non-idempotent, refused then lost":   {nonIdempotent: true, actions: merge(forAllShards("a", failWith(wire.Reason_REASON_SEARCHER_SHED)), forAllShards("b", failWith(wire.Reason_REASON_CONNECTION_SILENT))), wantRun: unknown, wantReason: wire.Reason_REASON_CONNECTION_SILENT, wantSent: 2},
		"non-idempotent, mismatched reply":    {nonIdempotent: true, actions: forAllShards("a", altered(func(r *wire.SubReply) { r.SetSnapshot(9) })), wantRun: unknown, wantReason: wire.Reason_REASON_REPLY_MISMATCH, wantSent: 1},
		"lost once, then refused":             {snapshots: map[uint64][][]string{1: {{"s0a", "s0b"}}}, actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_CONNECTION_LOST)}, "s0b": {failWith(wire.Reason_REASON_CONNECT_FAILED)}}, wantRun: unknown, wantReason: wire.Reason_REASON_CONNECT_FAILED, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_CONNECT_FAILED}, wantSent: 2},
		"hedge refused, first in flight":      {snapshots: map[uint64][][]string{1: {{"s0a", "s0b"}}}, actions: map[string][]action{"s0a": neverReplies, "s0b": {failWith(wire.Reason_REASON_QUEUE_FULL)}}, wantRun: unknown, wantReason: wire.Reason_REASON_DEADLINE, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_DEADLINE}, wantSent: 2, wantCancelled: 1},

		// Owners.
		"primary owner unreachable":                 {owners: []ownerFault{ownerUnreachable}, wantRun: run, wantSent: 3},
		"two owners unreachable":                    {owners: []ownerFault{ownerUnreachable, ownerUnreachable}, wantRun: run, wantSent: 3},
		"all owners unreachable":                    {owners: []ownerFault{ownerUnreachable, ownerUnreachable, ownerUnreachable}, wantRun: notRun, wantReason: wire.Reason_REASON_OWNER_UNREACHABLE, wantMissing: allMissing(wire.Reason_REASON_OWNER_UNREACHABLE)},
		"primary owner lost":                        {owners: []ownerFault{ownerLost}, wantRun: run, wantSent: 6},
		"owner lost, rest unreachable":              {snapshots: map[uint64][][]string{1: replicaPairs(1)}, owners: []ownerFault{ownerLost, ownerUnreachable, ownerUnreachable}, wantRun: unknown, wantReason: wire.Reason_REASON_OWNER_UNREACHABLE, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_OWNER_UNREACHABLE}, wantSent: 1},
		"non-idempotent, primary owner unreachable": {nonIdempotent: true, owners: []ownerFault{ownerUnreachable}, wantRun: run, wantSent: 1},
		"non-idempotent, all owners unreachable":    {nonIdempotent: true, owners: []ownerFault{ownerUnreachable, ownerUnreachable, ownerUnreachable}, wantRun: notRun, wantReason: wire.Reason_REASON_OWNER_UNREACHABLE},
		"non-idempotent, primary owner lost":        {nonIdempotent: true, owners: []ownerFault{ownerLost}, wantRun: unknown, wantReason: wire.Reason_REASON_OWNER_LOST, wantSent: 1},

		// Queries of plans that prefer the tail are answered twice the hedge delay after the hedge.
		"tail, 1 of 20 straggles":     {plan: "tail", snapshots: map[uint64][][]string{1: replicaPairs(20)}, actions: map[string][]action{"s0a": neverReplies, "s0b": neverReplies}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_ANSWERED_EARLY}, wantSent: 21, wantCancelled: 2, wantElapsed: 3 * testDelay},
		"tail, 2 of 20 straggle":      {plan: "tail", snapshots: map[uint64][][]string{1: replicaPairs(20)}, actions: map[string][]action{"s0a": neverReplies, "s0b": neverReplies, "s1a": neverReplies, "s1b": neverReplies}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_DEADLINE, 1: wire.Reason_REASON_DEADLINE}, wantSent: 22, wantCancelled: 4, wantElapsed: testDeadline},
		"coverage, 1 of 20 straggles": {snapshots: map[uint64][][]string{1: replicaPairs(20)}, actions: map[string][]action{"s0a": neverReplies, "s0b": neverReplies}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_DEADLINE}, wantSent: 21, wantCancelled: 2, wantElapsed: testDeadline},

		// Late, misrouted and duplicate frames.
		"duplicate reply":        {actions: map[string][]action{"s0a": {{duplicate: true}}, "s1a": {{delay: replyTime}}}, wantRun: run, wantSent: 3},
		"reply of another shard": {actions: map[string][]action{"s0a": {altered(func(r *wire.SubReply) { r.SetShard(1) })}}, wantRun: run, wantSent: 4, wantCount: map[wire.Reason]int64{wire.Reason_REASON_REPLY_MISMATCH: 1}},
		"reply of a snapshot":    {actions: map[string][]action{"s0a": {altered(func(r *wire.SubReply) { r.SetSnapshot(9) })}}, wantRun: run, wantSent: 4, wantCount: map[wire.Reason]int64{wire.Reason_REASON_REPLY_MISMATCH: 1}},
		"frame of another query": {actions: map[string][]action{"s0a": {{queryID: 7}}}, wantRun: run, wantSent: 4, wantCount: map[wire.Reason]int64{wire.Reason_REASON_REPLY_MISMATCH: 1}},
		"unknown attempt":        {actions: map[string][]action{"s0a": {altered(func(r *wire.SubReply) { r.SetAttemptId(7) })}}, wantRun: run, wantSent: 4, wantCount: map[wire.Reason]int64{wire.Reason_REASON_OWNER_LOST: 1}},
		"stream without a reply": {actions: map[string][]action{"s0a": {{omit: true}}}, wantRun: run, wantSent: 4, wantCount: map[wire.Reason]int64{wire.Reason_REASON_OWNER_LOST: 1}},

		// Snapshots.
		"newest on a tie":                    {snapshots: two, wantRun: run, wantSnapshot: 2, wantSent: 2},
		"best coverage":                      {snapshots: two, leaving: []string{"s1b"}, wantRun: run, wantSnapshot: 1, wantSent: 2},
		"gone everywhere, older is complete": {snapshots: two, actions: map[string][]action{"s0b": {failWith(wire.Reason_REASON_SNAPSHOT_GONE)}, "s1b": {failWith(wire.Reason_REASON_SNAPSHOT_GONE)}}, wantRun: run, wantSnapshot: 1, wantSent: 4, wantCancelled: 1},
		"gone in one shard after replies":    {snapshots: two, actions: map[string][]action{"s1b": {{reason: wire.Reason_REASON_SNAPSHOT_GONE, delay: replyTime}}}, wantRun: run, wantSnapshot: 1, wantSent: 4},
		"gone, other replica has it":         {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_SNAPSHOT_GONE)}}, wantRun: run, wantSent: 4},
		"gone, no other snapshot":            {actions: map[string][]action{"s0a": {failWith(wire.Reason_REASON_SNAPSHOT_GONE)}, "s0b": {failWith(wire.Reason_REASON_SNAPSHOT_GONE)}}, wantRun: run, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_SNAPSHOT_GONE}, wantSent: 4},
		"non-idempotent, gone, then refused": {snapshots: two, nonIdempotent: true, actions: merge(forAllShards("b", failWith(wire.Reason_REASON_SNAPSHOT_GONE)), forAllShards("a", failWith(wire.Reason_REASON_CONNECT_FAILED))), wantRun: notRun, wantReason: wire.Reason_REASON_CONNECT_FAILED, wantSnapshot: 1, wantSent: 2},
		"gone after replies, then refused":   {snapshots: two, actions: merge(map[string][]action{"s1b": {{reason: wire.Reason_REASON_SNAPSHOT_GONE, delay: replyTime}}}, forAllShards("a", failWith(wire.Reason_REASON_CONNECT_FAILED))), wantRun: unknown, wantReason: wire.Reason_REASON_CONNECT_FAILED, wantSnapshot: 1, wantMissing: map[uint32]wire.Reason{0: wire.Reason_REASON_CONNECT_FAILED, 1: wire.Reason_REASON_CONNECT_FAILED}, wantSent: 4},

		// Queries that crash searchers.
		"one crash, then exclusive":    {unknownQuery: true, actions: map[string][]action{"s1a": abruptLoss}, wantRun: run, wantSent: 4},
		"two crashes":                  {unknownQuery: true, actions: map[string][]action{"s1a": abruptLoss, "s1b": abruptLoss}, wantRun: unknown, wantReason: wire.Reason_REASON_QUARANTINED, wantMissing: allMissing(wire.Reason_REASON_QUARANTINED), wantSent: 2},
		"crash, other replica leaving": {unknownQuery: true, leaving: []string{"s1b"}, actions: map[string][]action{"s1a": abruptLoss}, wantRun: run, wantMissing: map[uint32]wire.Reason{1: wire.Reason_REASON_CONNECTION_LOST}, wantSent: 3},
		"crash among others in flight": {actions: map[string][]action{"s0a": {{reason: wire.Reason_REASON_CONNECTION_LOST, abrupt: true, delay: replyTime}}, "s1a": {{delay: 5 * time.Millisecond}}}, wantRun: run, wantSent: 5, wantCancelled: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if test.snapshots == nil {
					test.snapshots = map[uint64][][]string{1: replicaPairs(3)}
				}
				h := newHarness(t, test.snapshots, test.leaving...)
				h.actions = maps.Clone(test.actions)
				h.setOwnerFaults(test.owners...)
				if !test.noBudget {
					h.policies.Hedger.Sent(1000)
				}
				query := testQuery()
				if test.plan != "" {
					query.SetPlan(test.plan)
				}
				if test.nonIdempotent {
					query.SetNonIdempotent(true)
					query.SetKey("order")
					query.SetToken(h.policies.Issuer.Issue(1)[0])
				}
				if !test.unknownQuery {
					h.markCompleted(query)
				}
				answer, elapsed := h.execute(t, query)
				if answer.GetRun() != test.wantRun || answer.GetReason() != test.wantReason {
					t.Errorf("got %v with %v, want %v with %v", answer.GetRun(), answer.GetReason(), test.wantRun, test.wantReason)
				}
				if want := max(test.wantSnapshot, 1); answer.GetSnapshot() != want {
					t.Errorf("got snapshot %d, want %d", answer.GetSnapshot(), want)
				}
				missing := make(map[uint32]wire.Reason)
				for _, m := range answer.GetCoverage().GetMissing() {
					missing[m.GetShard()] = m.GetReason()
				}
				if !test.nonIdempotent && !maps.Equal(missing, test.wantMissing) {
					t.Errorf("got missing shards %v, want %v", missing, test.wantMissing)
				}
				if len(h.sent) != test.wantSent || len(h.cancelled) != test.wantCancelled {
					t.Errorf("got %d attempts %v and %d cancelled, want %d and %d", len(h.sent), h.searchers(), len(h.cancelled), test.wantSent, test.wantCancelled)
				}
				if test.wantElapsed != 0 && elapsed != test.wantElapsed {
					t.Errorf("got an answer after %v, want %v", elapsed, test.wantElapsed)
				}
				for r, want := range test.wantCount {
					if got := h.counters.Count(r); got != want {
						t.Errorf("counter of %v: got %d, want %d", r, got, want)
					}
				}
			})
		})
	}
}

// forAllShards assigns one action to the replicas of all shards whose ids end with one of the given letters.
func forAllShards(letters string, act action) map[string][]action {
	all := make(map[string][]action)
	for _, ids := range replicaPairs(3) {
		for _, id := range ids {
			if slices.Contains([]byte(letters), id[len(id)-1]) {
				all[id] = []action{act}
			}
		}
	}
	return all
}

func merge(all ...map[string][]action) map[string][]action {
	merged := make(map[string][]action)
	for _, actions := range all {
		maps.Copy(merged, actions)
	}
	return merged
}

func allMissing(r wire.Reason) map[uint32]wire.Reason {
	return map[uint32]wire.Reason{0: r, 1: r, 2: r}
}

// TestQuarantine guards against a crashing query that reaches more than two searchers when it is resent, and against an
// answer that is sent before the other entries have learned of the loss.
func TestQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, map[uint64][][]string{1: replicaPairs(3)})
		h.actions = forAllShards("ab", abruptLoss[0])
		if _, elapsed := h.execute(t, testQuery()); elapsed < quar.PartialAnswerDelay {
			t.Errorf("got an answer after %v, want a delay of %v", elapsed, quar.PartialAnswerDelay)
		}
		if h.quarantineChanges != 2 {
			t.Errorf("got %d marks announced, want 2", h.quarantineChanges)
		}
		if first, second := h.sent[0], h.sent[1]; first.batch.GetExclusive() || !second.batch.GetExclusive() || first.searcher == second.searcher {
			t.Errorf("got attempts at %v, exclusive %v and %v; want two searchers, the second exclusive", h.searchers(), first.batch.GetExclusive(), second.batch.GetExclusive())
		}
		before := len(h.sent)
		answer, elapsed := h.execute(t, testQuery())
		if answer.GetReason() != wire.Reason_REASON_QUARANTINED || answer.GetRun() != wire.RunState_RUN_STATE_NOT_RUN || elapsed != 0 {
			t.Errorf("resend: got %v, %v after %v; want quarantined, not run, immediately", answer.GetReason(), answer.GetRun(), elapsed)
		}
		if len(h.sent) != before {
			t.Errorf("resend: got %d attempts, want none", len(h.sent)-before)
		}
		// The searchers may have ended for another reason.
		for i, test := range []struct {
			wait         time.Duration
			actions      map[string][]action
			wantSent     int
			wantAnswered bool
		}{{2 * time.Minute, forAllShards("ab", abruptLoss[0]), 1, false}, {9 * time.Minute, nil, 0, false}, {2 * time.Minute, nil, 3, true}, {0, nil, 3, true}} {
			time.Sleep(test.wait)
			quarantine := h.policies.Quarantine
			h = newHarness(t, map[uint64][][]string{1: replicaPairs(3)})
			h.actions, h.policies.Quarantine = test.actions, quarantine
			h.entry.policies = h.policies
			answer, _ := h.execute(t, testQuery())
			if got := len(h.sent); got != test.wantSent || (answer.GetCoverage().GetReflected() == 3) != test.wantAnswered {
				t.Errorf("trial %d: got %d attempts and %v, want %d and answered %v", i, got, answer, test.wantSent, test.wantAnswered)
			}
		}
	})
}

// TestSuspectWithoutReplica guards against a suspect query that waits until its deadline because the shard of its canary has no replica.
func TestSuspectWithoutReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, map[uint64][][]string{1: replicaPairs(3)}, "s1a", "s1b")
		query := testQuery()
		h.policies.Quarantine.RecordLoss(time.Now(), quar.Fingerprint(query.GetPlan(), query.GetCollection(), query.GetQuery()), "s9")
		answer, elapsed := h.execute(t, query)
		if got := answer.GetCoverage().GetReflected(); got != 2 || elapsed > testDelay {
			t.Errorf("got %d shards after %v, want 2 within %v", got, elapsed, testDelay)
		}
	})
}

// TestHedgeNeedsReplica guards against using up the hedge budget on shards without another replica.
func TestHedgeNeedsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, map[uint64][][]string{1: {{"s0a"}}})
		h.actions = map[string][]action{"s0a": {{delay: 3 * testDelay}}}
		h.policies.Hedger = hedge.New(hedge.Settings{InitialDelay: testDelay, MaxBudget: 1})
		h.entry.policies = h.policies
		h.policies.Hedger.Sent(100)
		query := testQuery()
		h.markCompleted(query)
		h.execute(t, query)
		if !h.policies.Hedger.Allow(0) {
			t.Error("got an empty hedge budget, want it unused since no hedge was sent")
		}
	})
}

// TestHedgeNeedsSpareCapacity guards against hedges that add load to searchers saturated by other plans.
func TestHedgeNeedsSpareCapacity(t *testing.T) {
	tests := map[string]struct {
		load float64
		want int64
	}{
		"spare":     {load: 0, want: 1},
		"saturated": {load: 1, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, map[uint64][][]string{1: replicaPairs(2)})
				h.actions = map[string][]action{"s0a": {{load: test.load}}, "s1a": {{delay: 3 * testDelay}}}
				h.policies.Hedger = hedge.New(hedge.Settings{InitialDelay: testDelay})
				h.entry.policies = h.policies
				h.policies.Hedger.Sent(100)
				query := testQuery()
				h.markCompleted(query)
				h.execute(t, query)
				if got := h.counters.Count(wire.Reason_REASON_HEDGE); got != test.want {
					t.Errorf("got %d hedges, want %d", got, test.want)
				}
			})
		})
	}
}

// TestCallerLeaves guards against attempts that continue after the caller has gone.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, map[uint64][][]string{1: replicaPairs(1)})
		h.actions = map[string][]action{"s0a": neverReplies, "s0b": neverReplies}
		query := testQuery()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		answer := h.entry.Query(ctx, time.Now(), query)
		h.entry.Close()
		if elapsed := time.Since(h.start); elapsed != 5*time.Millisecond || answer.GetRun() != wire.RunState_RUN_STATE_UNKNOWN {
			t.Errorf("got %v after %v, want unknown after 5ms", answer.GetRun(), elapsed)
		}
		if len(h.cancelled) != 1 || h.entry.InFlight() != 0 {
			t.Errorf("got %d attempts cancelled and %d requests in flight, want 1 and 0", len(h.cancelled), h.entry.InFlight())
		}
	})
}

// TestRefusals guards against malformed or unlisted queries that reach a searcher, and against refusals that are not counted.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(*wire.Query)
		gate   *reason.Refusal
		want   wire.Reason
	}{
		"no plan":                    {change: func(q *wire.Query) { q.SetPlan("") }, want: wire.Reason_REASON_BAD_REQUEST},
		"no collection":              {change: func(q *wire.Query) { q.SetCollection("") }, want: wire.Reason_REASON_BAD_REQUEST},
		"non-idempotent without key": {change: func(q *wire.Query) { q.SetNonIdempotent(true) }, want: wire.Reason_REASON_BAD_REQUEST},
		"limit too high":             {change: func(q *wire.Query) { q.SetLimit(101) }, want: wire.Reason_REASON_BAD_REQUEST},
		"zero deadline":              {change: func(q *wire.Query) { q.SetDeadline(durationpb.New(0)) }, want: wire.Reason_REASON_BAD_REQUEST},
		"negative deadline":          {change: func(q *wire.Query) { q.SetDeadline(durationpb.New(-1)) }, want: wire.Reason_REASON_BAD_REQUEST},
		"deadline too high":          {change: func(q *wire.Query) { q.SetDeadline(durationpb.New(time.Second + 1)) }, want: wire.Reason_REASON_BAD_REQUEST},
		"huge deadline":              {change: func(q *wire.Query) { q.SetDeadline(&durationpb.Duration{Seconds: 1 << 62}) }, want: wire.Reason_REASON_BAD_REQUEST},
		"unknown plan":               {change: func(q *wire.Query) { q.SetPlan("none") }, want: wire.Reason_REASON_PLAN_UNKNOWN},
		"use not listed":             {change: func(q *wire.Query) { q.SetPlan("tail"); q.SetCollection("lost") }, want: wire.Reason_REASON_USE_NOT_LISTED},
		"unknown collection":         {change: func(q *wire.Query) { q.SetCollection("lost") }, want: wire.Reason_REASON_COLLECTION_UNKNOWN},
		"stopping":                   {change: func(*wire.Query) {}, gate: reason.New(wire.Reason_REASON_STOPPING, ""), want: wire.Reason_REASON_STOPPING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, map[uint64][][]string{1: replicaPairs(1)})
				h.gate = test.gate
				query := testQuery()
				test.change(query)
				answer, _ := h.execute(t, query)
				if answer.GetReason() != test.want || answer.GetRun() != wire.RunState_RUN_STATE_NOT_RUN || answer.GetDetail() == "" {
					t.Errorf("got %v, %v, %q; want %v, not run, with a detail", answer.GetReason(), answer.GetRun(), answer.GetDetail(), test.want)
				}
				if got := h.counters.Count(test.want); got != 1 || len(h.sent) != 0 {
					t.Errorf("got %d counted and %d attempts, want 1 and 0", got, len(h.sent))
				}
			})
		})
	}
}

// TestTokens guards against a non-idempotent query that runs twice, and against a resend that is not answered from its token's state.
func TestTokens(t *testing.T) {
	const (
		run     = wire.RunState_RUN_STATE_RUN
		notRun  = wire.RunState_RUN_STATE_NOT_RUN
		unknown = wire.RunState_RUN_STATE_UNKNOWN
	)
	other := token.New("127.0.0.1:22", 7, []byte("other"))
	own := func(h *harness) string { return h.policies.Issuer.Issue(1)[0] }
	spent := func(state token.State) func(*harness) string {
		return func(h *harness) string {
			t := own(h)
			h.policies.Issuer.Finish(h.policies.Issuer.Begin(t).(token.Run).Sequence(), state)
			return t
		}
	}
	elsewhere := func(*harness) string { return other.Issue(1)[0] }
	tests := map[string]struct {
		token     func(*harness) string
		forward   error
		forwarded bool
		actions   map[string][]action
		gate      *reason.Refusal
		// queued is how long ago the query arrived.
		queued time.Duration
		change func(*wire.Query)

		wantRun    wire.RunState
		wantReason wire.Reason
		wantFresh  bool
		// wantResend is the expected reason of a second presentation; there is none if it is unspecified.
		wantResend   wire.Reason
		wantSent     int
		wantForwards int
	}{
		"missing":             {token: func(*harness) string { return "" }, wantRun: notRun, wantReason: wire.Reason_REASON_TOKEN_MISSING, wantFresh: true},
		"malformed":           {token: func(*harness) string { return "x" }, wantRun: notRun, wantReason: wire.Reason_REASON_TOKEN_INVALID, wantFresh: true},
		"issued":              {token: own, wantRun: run, wantSent: 1, wantResend: wire.Reason_REASON_TOKEN_COMPLETED},
		"issued, refused":     {token: own, actions: forAllShards("ab", failWith(wire.Reason_REASON_CONNECT_FAILED)), wantRun: notRun, wantReason: wire.Reason_REASON_CONNECT_FAILED, wantFresh: true, wantSent: 2, wantResend: wire.Reason_REASON_TOKEN_NOT_RUN},
		"issued, lost":        {token: own, actions: forAllShards("a", failWith(wire.Reason_REASON_CONNECTION_LOST)), wantRun: unknown, wantReason: wire.Reason_REASON_CONNECTION_LOST, wantSent: 1, wantResend: wire.Reason_REASON_TOKEN_UNKNOWN},
		"issued, stopping":    {token: own, gate: reason.New(wire.Reason_REASON_STOPPING, ""), wantRun: notRun, wantReason: wire.Reason_REASON_STOPPING, wantFresh: true, wantResend: wire.Reason_REASON_TOKEN_NOT_RUN},
		"completed, stopping": {token: spent(token.Completed), gate: reason.New(wire.Reason_REASON_STOPPING, ""), wantRun: run, wantReason: wire.Reason_REASON_TOKEN_COMPLETED},
		"not run":             {token: spent(token.NotRun), wantRun: notRun, wantReason: wire.Reason_REASON_TOKEN_NOT_RUN, wantFresh: true},
		"unknown":             {token: spent(token.Unknown), wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_UNKNOWN},
		"running":             {token: func(h *harness) string { t := own(h); h.policies.Issuer.Begin(t); return t }, wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_RUNNING},
		"expired":             {token: func(h *harness) string { t := own(h); h.policies.Issuer.Issue(token.WindowSize); return t }, wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_EXPIRED},
		"former incarnation":  {token: func(*harness) string { return token.New("127.0.0.1:21", 9, []byte("key")).Issue(1)[0] }, wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_ISSUER_GONE},
		"unlisted issuer":     {token: func(*harness) string { return token.New("10.0.0.9:22", 9, []byte("key")).Issue(1)[0] }, wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_ISSUER_GONE},
		"other issuer":        {token: elsewhere, wantRun: run, wantForwards: 1},
		"issuer unreachable":  {token: elsewhere, forward: errors.New("no route"), wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_ISSUER_GONE, wantForwards: 1},
		// An issuer refuses a deadline of zero or less as malformed and not run, though an earlier presentation may have run.
		"other issuer, late":        {token: elsewhere, queued: testDeadline, wantRun: unknown, wantReason: wire.Reason_REASON_DEADLINE},
		"completed, malformed":      {token: spent(token.Completed), change: func(q *wire.Query) { q.SetDeadline(durationpb.New(0)) }, wantRun: run, wantReason: wire.Reason_REASON_TOKEN_COMPLETED},
		"unknown, malformed":        {token: spent(token.Unknown), change: func(q *wire.Query) { q.SetKey("") }, wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_UNKNOWN},
		"issued, malformed":         {token: own, change: func(q *wire.Query) { q.SetDeadline(durationpb.New(0)) }, wantRun: notRun, wantReason: wire.Reason_REASON_BAD_REQUEST, wantFresh: true, wantResend: wire.Reason_REASON_TOKEN_NOT_RUN},
		"other issuer, no deadline": {token: elsewhere, change: func(q *wire.Query) { q.SetDeadline(durationpb.New(0)) }, wantRun: unknown, wantReason: wire.Reason_REASON_DEADLINE},
		"forwarded twice":           {token: elsewhere, forwarded: true, wantRun: unknown, wantReason: wire.Reason_REASON_TOKEN_ISSUER_GONE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, map[uint64][][]string{1: replicaPairs(3)})
				h.actions = maps.Clone(test.actions)
				h.gate = test.gate
				forwards := 0
				h.forward = func(address string, query *wire.Query) (*wire.Answer, error) {
					forwards++
					if got := query.GetDeadline().AsDuration(); address != "127.0.0.1:22" || got <= 0 || got > testDeadline {
						t.Errorf("forwarded to %s with %v left, want the issuer with at most %v", address, got, testDeadline)
					}
					return wire.Answer_builder{Run: run}.Build(), test.forward
				}
				query := testQuery()
				query.SetNonIdempotent(true)
				query.SetKey("order")
				query.SetToken(test.token(h))
				if test.change != nil {
					test.change(query)
				}
				answer := h.entry.serve(t.Context(), time.Now().Add(-test.queued), query, test.forwarded)
				h.entry.Close()
				if answer.GetRun() != test.wantRun || answer.GetReason() != test.wantReason {
					t.Errorf("got %v with %v, want %v with %v", answer.GetRun(), answer.GetReason(), test.wantRun, test.wantReason)
				}
				if got := answer.GetFreshToken() != ""; got != test.wantFresh {
					t.Errorf("got a fresh token %v, want %v", got, test.wantFresh)
				}
				if test.wantResend != wire.Reason_REASON_UNSPECIFIED {
					if again, _ := h.execute(t, query); again.GetReason() != test.wantResend {
						t.Errorf("resend: got %v, want %v", again.GetReason(), test.wantResend)
					}
				}
				if len(h.sent) != test.wantSent || forwards != test.wantForwards {
					t.Errorf("got %d attempts and %d forwards, want %d and %d", len(h.sent), forwards, test.wantSent, test.wantForwards)
				}
			})
		})
	}
}
