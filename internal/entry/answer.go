package entry

import (
	"cmp"
	"slices"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// answer merges the results of all parts. The run state is "run" if at least one shard is reflected, "not run" only if
// no searcher can have run any part, and "unknown" otherwise.
func (f *fanout) answer() *wire.Answer {
	coverage := f.coverage()
	run, cause := f.runState(coverage)
	return wire.Answer_builder{
		Snapshot: f.snapshot.Version(),
		Hits:     f.hits(),
		Coverage: coverage,
		Run:      run,
		Reason:   cause,
		Detail:   reason.Text(cause),
	}.Build()
}

// runState derives the run state of the answer and, if no shard is reflected, the reason.
func (f *fanout) runState(coverage *wire.Coverage) (wire.RunState, wire.Reason) {
	if coverage.GetReflected() > 0 {
		return wire.RunState_RUN_STATE_RUN, wire.Reason_REASON_UNSPECIFIED
	}
	cause := coverage.GetMissing()[0].GetReason()
	for _, missing := range coverage.GetMissing() {
		if !provenNotRun(missing.GetReason()) {
			return wire.RunState_RUN_STATE_UNKNOWN, missing.GetReason()
		}
	}
	if f.mayHaveRun {
		return wire.RunState_RUN_STATE_UNKNOWN, cause
	}
	return wire.RunState_RUN_STATE_NOT_RUN, cause
}

// hits returns the top hits of all parts, ordered by descending score and then by id.
func (f *fanout) hits() []*wire.Hit {
	var all []*wire.Hit
	for i := range f.parts {
		all = append(all, f.parts[i].hits...)
	}
	slices.SortFunc(all, func(a, b *wire.Hit) int {
		if c := cmp.Compare(b.GetScore(), a.GetScore()); c != 0 {
			return c
		}
		return cmp.Compare(a.GetId(), b.GetId())
	})
	if limit := int(f.limit()); len(all) > limit {
		all = all[:limit]
	}
	return all
}
