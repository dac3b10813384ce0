package proof

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// defaultHits is the number of hits in an answer to a query that sets no limit.
const defaultHits = 10

// publishedSnapshots maps each index snapshot that was ever published to its number of shards.
type publishedSnapshots map[uint64]int

// checkAnswer recomputes an answer from the shards that its coverage states as reflected. It returns nil if the answer is
// from one published snapshot, its coverage is consistent, and its hits are exactly the merge of the reflected shards.
func checkAnswer(query *wire.Query, answer *wire.Answer, snapshots publishedSnapshots) error {
	total, ok := snapshots[answer.GetSnapshot()]
	if !ok {
		return errors.Newf("snapshot %d was never published", answer.GetSnapshot())
	}
	coverage := answer.GetCoverage()
	if int(coverage.GetTotal()) != total {
		return errors.Newf("coverage is of %d shards, snapshot %d has %d", coverage.GetTotal(), answer.GetSnapshot(), total)
	}
	missing := make(map[int]bool)
	for _, shard := range coverage.GetMissing() {
		if int(shard.GetShard()) >= total || missing[int(shard.GetShard())] {
			return errors.Newf("missing shard %d is out of range or named twice", shard.GetShard())
		}
		if shard.GetReason() == wire.Reason_REASON_UNSPECIFIED {
			return errors.Newf("missing shard %d has no reason", shard.GetShard())
		}
		missing[int(shard.GetShard())] = true
	}
	if int(coverage.GetReflected())+len(missing) != total {
		return errors.Newf("%d shards reflected and %d missing of %d", coverage.GetReflected(), len(missing), total)
	}
	return compareHits(answer.GetHits(), expectedHits(query, answer.GetSnapshot(), total, missing))
}

// expectedHits merges the hits of all shards that are not missing.
func expectedHits(query *wire.Query, snapshot uint64, total int, missing map[int]bool) []*wire.Hit {
	limit := int(query.GetLimit())
	if limit == 0 {
		limit = defaultHits
	}
	var all []*wire.Hit
	for shard := range total {
		if !missing[shard] {
			all = append(all, fakes.Hits(query.GetCollection(), snapshot, shard, query.GetQuery(), limit)...)
		}
	}
	slices.SortFunc(all, func(a, b *wire.Hit) int {
		return cmp.Or(cmp.Compare(b.GetScore(), a.GetScore()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return all[:min(limit, len(all))]
}

func compareHits(got, want []*wire.Hit) error {
	if len(got) != len(want) {
		return errors.Newf("got %d hits, want %d", len(got), len(want))
	}
	for i := range got {
		if !proto.Equal(got[i], want[i]) {
			return errors.Newf("hit %d: got %v, want %v", i, got[i], want[i])
		}
	}
	return nil
}

// correctAnswer returns a valid answer from snapshot 2, which has 3 shards, with some shards missing.
func correctAnswer(query *wire.Query, missing ...int) *wire.Answer {
	omitted := make(map[int]bool)
	var list []*wire.MissingShard
	for _, shard := range missing {
		omitted[shard] = true
		list = append(list, wire.MissingShard_builder{Shard: uint32(shard), Reason: wire.Reason_REASON_DEADLINE}.Build())
	}
	return wire.Answer_builder{
		Snapshot: 2,
		Hits:     expectedHits(query, 2, 3, omitted),
		Coverage: wire.Coverage_builder{Total: 3, Reflected: uint32(3 - len(missing)), Missing: list}.Build(),
		Run:      wire.RunState_RUN_STATE_RUN,
	}.Build()
}

// Guards against an answer checker that accepts a violation of P1, P2 or P3.
func TestCheckAnswerFindsViolations(t *testing.T) {
	query := searchQuery("checker", time.Second)
	snapshots := publishedSnapshots{1: 3, 2: 3}
	tests := map[string]struct {
		answer func() *wire.Answer
		valid  bool
	}{
		"whole":   {answer: func() *wire.Answer { return correctAnswer(query) }, valid: true},
		"partial": {answer: func() *wire.Answer { return correctAnswer(query, 1) }, valid: true},
		"another caller's hits": {answer: func() *wire.Answer {
			answer := correctAnswer(query)
			answer.SetHits(expectedHits(searchQuery("other", time.Second), 2, 3, nil))
			return answer
		}},
		"one shard from another snapshot": {answer: func() *wire.Answer {
			answer := correctAnswer(query)
			answer.GetHits()[0] = fakes.Hits(lamps, 1, 0, "checker", 1)[0]
			return answer
		}},
		"unknown snapshot": {answer: func() *wire.Answer {
			answer := correctAnswer(query)
			answer.SetSnapshot(3)
			return answer
		}},
		"coverage claims a shard without its hits": {answer: func() *wire.Answer {
			answer := correctAnswer(query, 1)
			answer.GetCoverage().SetMissing(nil)
			answer.GetCoverage().SetReflected(3)
			return answer
		}},
		"hits of a shard that is stated missing": {answer: func() *wire.Answer {
			answer := correctAnswer(query)
			answer.SetCoverage(correctAnswer(query, 1).GetCoverage())
			return answer
		}},
		"coverage does not add up": {answer: func() *wire.Answer {
			answer := correctAnswer(query, 1)
			answer.GetCoverage().SetReflected(3)
			return answer
		}},
		"total of another snapshot": {answer: func() *wire.Answer {
			answer := correctAnswer(query)
			answer.GetCoverage().SetTotal(4)
			return answer
		}},
		"truncated hits": {answer: func() *wire.Answer {
			answer := correctAnswer(query)
			answer.SetHits(answer.GetHits()[:5])
			return answer
		}},
		"missing shard without a reason": {answer: func() *wire.Answer {
			answer := correctAnswer(query, 1)
			answer.GetCoverage().GetMissing()[0].SetReason(wire.Reason_REASON_UNSPECIFIED)
			return answer
		}},
		"missing shard named twice": {answer: func() *wire.Answer {
			answer := correctAnswer(query, 1, 2)
			answer.GetCoverage().GetMissing()[1].SetShard(1)
			return answer
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkAnswer(query, test.answer(), snapshots)
			if got := err == nil; got != test.valid {
				t.Errorf("got error %v, want a valid answer: %v", err, test.valid)
			}
		})
	}
}

// outcomeCounts counts the outcomes of queries.
type outcomeCounts struct {
	answers  atomic.Int64
	complete atomic.Int64
	refused  atomic.Int64
	lost     atomic.Int64
}

// sendQueries sends numbered queries from concurrent callers to all nodes in turn and checks every answer. A query to a
// killed node may get no answer.
func sendQueries(t *testing.T, f *local.Fleet, name string, count int, deadline time.Duration, snapshots publishedSnapshots) *outcomeCounts {
	t.Helper()
	result := &outcomeCounts{}
	c := newCaller(deadline + 5*time.Second)
	addresses := f.Addresses()
	workers := pool.New().WithMaxGoroutines(8)
	for i := range count {
		workers.Go(func() {
			query := searchQuery(fmt.Sprintf("%s %d", name, i), deadline)
			if i%4 == 3 {
				query.SetPlan(bulkPlan)
			}
			if i%3 == 2 {
				query.SetLimit(25)
			}
			got, err := c.ask(context.Background(), addresses[i%len(addresses)], query)
			result.record(t, query, got, err, snapshots)
		})
	}
	workers.Wait()
	return result
}

func (a *outcomeCounts) record(t *testing.T, query *wire.Query, got reply, err error, snapshots publishedSnapshots) {
	switch {
	case err != nil:
		a.lost.Add(1)
	case got.answer.GetReason() != wire.Reason_REASON_UNSPECIFIED:
		a.refused.Add(1)
		if len(got.answer.GetHits()) > 0 {
			t.Errorf("%s: got a refusal %v with hits", query.GetQuery(), got.answer.GetReason())
		}
	default:
		a.answers.Add(1)
		if err := checkAnswer(query, got.answer, snapshots); err != nil {
			t.Errorf("%s: %v in answer %v", query.GetQuery(), err, got.answer)
		}
		if len(got.answer.GetCoverage().GetMissing()) == 0 {
			a.complete.Add(1)
		}
	}
}

// injectFaults sets the faults that all searchers of the collection lamps inject into their replies.
func injectFaults(f *local.Fleet, faults ...fakes.Fault) {
	for _, searcher := range f.Searchers().Searchers(lamps) {
		searcher.InjectFaults(faults...)
	}
}

// injectedFaults returns the number of faults that all searchers of the collection lamps injected into replies.
func injectedFaults(f *local.Fleet) int {
	total := 0
	for _, searcher := range f.Searchers().Searchers(lamps) {
		total += searcher.InjectedFaults()
	}
	return total
}

func expectNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// nodesInRegion returns the ids of the nodes in a region.
func nodesInRegion(f *local.Fleet, name string) []string {
	var ids []string
	for _, n := range f.Nodes() {
		if n.VM().Region() == name {
			ids = append(ids, n.VM().ID())
		}
	}
	return ids
}

// Guards against answers that mix snapshots (P1), misstate their coverage (P2), or contain late, crossed or truncated
// replies or those of another request (P3), while the failures listed in section 1.6 of the design occur during the queries.
func TestAnswersUnderFailure(t *testing.T) {
	const count = 240
	snapshots := publishedSnapshots{1: 4, 2: 6, 3: 4}
	tests := map[string]struct {
		nodesPerRegion int
		// before runs before the first query, during runs while queries are in flight.
		before, during func(t *testing.T, f *local.Fleet)
		// faulty is set if at least one fault must have been injected into a reply.
		faulty bool
		// incomplete permits that every answer is partial.
		incomplete bool
		// lossy permits requests without an answer, since their entry was killed.
		lossy bool
	}{
		"straggling searcher": {before: func(_ *testing.T, f *local.Fleet) {
			f.Searchers().Searchers(lamps)[0].SetSlowdown(200)
		}},
		"lost replicas": {during: func(_ *testing.T, f *local.Fleet) {
			for _, searcher := range f.Searchers().Searchers(lamps)[:4] {
				searcher.Crash()
			}
		}},
		"all replicas of a shard lost": {before: func(t *testing.T, f *local.Fleet) {
			index, err := f.Searchers().Index(lamps)
			if err != nil {
				t.Fatal(err)
			}
			for _, id := range index.Snapshots()[0].Replicas(1) {
				for _, searcher := range f.Searchers().Searchers(lamps) {
					if searcher.ID() == id {
						searcher.Close()
					}
				}
			}
		}, incomplete: true},
		"repartition": {during: func(t *testing.T, f *local.Fleet) {
			expectNoError(t, f.Searchers().PublishSnapshot(lamps, 2, 6))
			expectNoError(t, f.Searchers().PublishSnapshot(lamps, 3, 4))
		}},
		"repartition and retirement": {during: func(t *testing.T, f *local.Fleet) {
			expectNoError(t, f.Searchers().PublishSnapshot(lamps, 2, 6))
			expectNoError(t, f.Searchers().RetireSnapshot(lamps, 1))
		}},
		"snapshot dropped by searchers before the index retires it": {before: func(t *testing.T, f *local.Fleet) {
			expectNoError(t, f.Searchers().PublishSnapshot(lamps, 2, 6))
		}, during: func(_ *testing.T, f *local.Fleet) {
			for _, searcher := range f.Searchers().Searchers(lamps) {
				searcher.DropSnapshot(lamps, 2)
			}
		}},
		"crossed replies": {before: func(_ *testing.T, f *local.Fleet) { injectFaults(f, fakes.WrongAttemptID{Every: 5}) }, faulty: true},
		"malformed replies": {before: func(_ *testing.T, f *local.Fleet) {
			// One of the three replicas of each shard.
			for i, searcher := range f.Searchers().Searchers(lamps) {
				searcher.SetMalformed(i%3 == 0)
			}
		}},
		"truncated replies": {before: func(_ *testing.T, f *local.Fleet) { injectFaults(f, fakes.TruncateHits{Every: 5}) }, faulty: true},
		"replies from another snapshot": {before: func(t *testing.T, f *local.Fleet) {
			expectNoError(t, f.Searchers().PublishSnapshot(lamps, 2, 6))
			injectFaults(f, fakes.WrongSnapshot{Every: 5})
		}, faulty: true},
		"every reply crossed": {before: func(_ *testing.T, f *local.Fleet) { injectFaults(f, fakes.WrongAttemptID{}) }, faulty: true, incomplete: true},
		"owner node killed": {nodesPerRegion: 2, during: func(_ *testing.T, f *local.Fleet) {
			f.Kill("south-1")
		}, lossy: true},
		"network cut between regions": {during: func(_ *testing.T, f *local.Fleet) {
			others := append(nodesInRegion(f, "south"), nodesInRegion(f, "west")...)
			f.Network().Partition(nodesInRegion(f, "north"), others)
		}},
		"silent connections": {during: func(_ *testing.T, f *local.Fleet) {
			for _, searcher := range f.Searchers().Searchers(lamps) {
				searcher.SilenceConnections(1)
			}
		}},
		"several failures at once": {nodesPerRegion: 2, before: func(_ *testing.T, f *local.Fleet) {
			injectFaults(f, fakes.WrongAttemptID{Every: 7}, fakes.TruncateHits{Every: 11})
			f.Searchers().Searchers(lamps)[1].SetSlowdown(100)
		}, during: func(t *testing.T, f *local.Fleet) {
			expectNoError(t, f.Searchers().PublishSnapshot(lamps, 2, 6))
			f.Searchers().Searchers(lamps)[2].Crash()
			f.Kill("west-2")
			expectNoError(t, f.Searchers().RetireSnapshot(lamps, 1))
		}, faulty: true, lossy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{nodesPerRegion: test.nodesPerRegion})
			if test.before != nil {
				test.before(t, f)
			}
			first := sendQueries(t, f, "first", count/4, 2*time.Second, snapshots)
			faultsDone := make(chan struct{})
			go func() {
				defer close(faultsDone)
				if test.during != nil {
					test.during(t, f)
				}
			}()
			second := sendQueries(t, f, "second", count/2, 2*time.Second, snapshots)
			<-faultsDone
			third := sendQueries(t, f, "third", count/4, 2*time.Second, snapshots)
			for _, part := range []*outcomeCounts{first, second, third} {
				if lost := part.lost.Load(); lost > 0 && !test.lossy {
					t.Errorf("got %d requests without an answer, want 0", lost)
				}
				t.Logf("answers %d, complete %d, refused %d, lost %d", part.answers.Load(), part.complete.Load(), part.refused.Load(), part.lost.Load())
			}
			answers := first.answers.Load() + second.answers.Load() + third.answers.Load()
			complete := first.complete.Load() + second.complete.Load() + third.complete.Load()
			if !test.incomplete && complete == 0 {
				t.Errorf("got no complete answer among %d, want some", answers)
			}
			if got := injectedFaults(f); test.faulty && got == 0 {
				t.Error("got no injected fault, want some")
			}
		})
	}
}
