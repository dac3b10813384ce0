package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// leavingBound is the promised time after the first signal within which a leaving searcher stops getting new work.
const leavingBound = 3 * time.Second

// Promise identifies a promise of the system by its number on the design page.
type Promise string

// Promises that the checker verifies. Evidence is a requirement on the checker's own input: a run log that dropped runs proves nothing.
const (
	Snapshot   Promise = "P1"
	Coverage   Promise = "P2"
	OwnReplies Promise = "P3"
	NotRun     Promise = "P4"
	AtMostOnce Promise = "P5"
	Leaving    Promise = "P6"
	Evidence   Promise = "evidence"
)

// Violation is a promise that an observation contradicts.
type Violation struct {
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// searcherLog is the record of one searcher.
type searcherLog struct {
	id      string
	runs    []fakes.Run
	dropped int
	// leavingSince is the time of the first signal that the searcher is leaving, or zero if there was none. lastRefused is the
	// last time at which it refused a sub-request because it was leaving.
	leavingSince time.Time
	lastRefused  time.Time
}

// evidence is the input of the checker.
type evidence struct {
	collection string
	// shardCounts maps each published snapshot to its number of shards.
	shardCounts map[uint64]int
	records     []record
	logs        []searcherLog
}

// violations returns all violations that the answers and run logs show.
func (e *evidence) violations() []Violation {
	var found []Violation
	for i := range e.records {
		if e.records[i].answer != nil {
			found = append(found, e.checkAnswer(e.records[i].query, e.records[i].answer)...)
		}
	}
	found = append(found, e.checkRuns()...)
	for _, w := range e.logs {
		found = append(found, w.check()...)
	}
	return found
}

// checkAnswer checks one answer against the published snapshots and the hits that its shards must return.
func (e *evidence) checkAnswer(query *wire.Query, answer *wire.Answer) []Violation {
	coverage := answer.GetCoverage()
	if answer.GetRun() != wire.RunState_RUN_STATE_RUN || coverage.GetReflected() == 0 {
		if len(answer.GetHits()) > 0 || coverage.GetReflected() > 0 {
			return []Violation{{Coverage, fmt.Sprintf("%s: state %v with %d hits and %d shards", query.GetQuery(), answer.GetRun(), len(answer.GetHits()), coverage.GetReflected())}}
		}
		return nil
	}
	count, ok := e.shardCounts[answer.GetSnapshot()]
	if !ok {
		return []Violation{{Snapshot, fmt.Sprintf("%s: snapshot %d was never published", query.GetQuery(), answer.GetSnapshot())}}
	}
	reflected, ok := reflectedShards(query, coverage, count)
	if !ok {
		return []Violation{{Coverage, fmt.Sprintf("%s: %d of %d shards reflected and %d missing, of %d in snapshot %d", query.GetQuery(),
			coverage.GetReflected(), coverage.GetTotal(), len(coverage.GetMissing()), count, answer.GetSnapshot())}}
	}
	want := e.merge(query, answer.GetSnapshot(), reflected)
	if !slices.EqualFunc(answer.GetHits(), want, equalHits) {
		return []Violation{{OwnReplies, fmt.Sprintf("%s: hits differ from those of the %d shards that snapshot %d reflects", query.GetQuery(), len(reflected), answer.GetSnapshot())}}
	}
	return nil
}

// reflectedShards returns the shards that an answer's coverage states as reflected, or false if the coverage is inconsistent.
func reflectedShards(query *wire.Query, coverage *wire.Coverage, count int) ([]int, bool) {
	targets := make([]int, count)
	for i := range targets {
		targets[i] = i
	}
	if query.GetNonIdempotent() {
		targets = []int{int(xxhash.Sum64String(query.GetKey()) % uint64(count))}
	}
	if int(coverage.GetTotal()) != len(targets) {
		return nil, false
	}
	for _, missing := range coverage.GetMissing() {
		at := slices.Index(targets, int(missing.GetShard()))
		if at < 0 || missing.GetReason() == wire.Reason_REASON_UNSPECIFIED {
			return nil, false
		}
		targets = slices.Delete(targets, at, at+1)
	}
	return targets, len(targets) == int(coverage.GetReflected())
}

// merge returns the hits with the highest scores among those of the given shards, up to the limit of the query.
func (e *evidence) merge(query *wire.Query, snapshot uint64, reflected []int) []*wire.Hit {
	var all []*wire.Hit
	for _, shard := range reflected {
		all = append(all, fakes.Hits(e.collection, snapshot, shard, query.GetQuery(), int(query.GetLimit()))...)
	}
	slices.SortFunc(all, func(a, b *wire.Hit) int {
		return cmp.Or(cmp.Compare(b.GetScore(), a.GetScore()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return all[:min(len(all), int(query.GetLimit()))]
}

func equalHits(a, b *wire.Hit) bool {
	return a.GetId() == b.GetId() && a.GetScore() == b.GetScore()
}

// claim summarizes the run states that callers got for one query text.
type claim struct {
	// notRun is set if every presentation was refused as not run.
	notRun        bool
	nonIdempotent bool
}

// checkRuns compares the run states that callers got with the run logs.
func (e *evidence) checkRuns() []Violation {
	claims := make(map[string]claim)
	for i := range e.records {
		r := &e.records[i]
		text := r.query.GetQuery()
		before, seen := claims[text]
		refused := r.answer != nil && r.answer.GetRun() == wire.RunState_RUN_STATE_NOT_RUN
		claims[text] = claim{notRun: refused && (!seen || before.notRun), nonIdempotent: r.query.GetNonIdempotent()}
	}
	runs := make(map[string]int)
	for _, w := range e.logs {
		for _, run := range w.runs {
			runs[run.Query()]++
		}
	}
	var found []Violation
	for text, c := range claims {
		if c.notRun && runs[text] > 0 {
			found = append(found, Violation{NotRun, fmt.Sprintf("%s: refused as not run, yet %d runs", text, runs[text])})
		}
		if c.nonIdempotent && runs[text] > 1 {
			found = append(found, Violation{AtMostOnce, fmt.Sprintf("%s: non-idempotent, yet %d runs", text, runs[text])})
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return found
}

// check checks that the log dropped no runs and that a leaving searcher got no new work after the bound.
func (l searcherLog) check() []Violation {
	var found []Violation
	if l.dropped > 0 {
		found = append(found, Violation{Evidence, fmt.Sprintf("%s: the run log dropped %d runs", l.id, l.dropped)})
	}
	if l.leavingSince.IsZero() {
		return found
	}
	late := 0
	for _, run := range l.runs {
		if run.Started().Sub(l.leavingSince) > leavingBound {
			late++
		}
	}
	if l.lastRefused.Sub(l.leavingSince) > leavingBound {
		late++
	}
	if late > 0 {
		found = append(found, Violation{Leaving, fmt.Sprintf("%s: %d sub-requests arrived later than %v after it began to leave", l.id, late, leavingBound)})
	}
	return found
}
