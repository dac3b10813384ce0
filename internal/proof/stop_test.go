package proof

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// stopCounts counts the outcomes of requests during the shutdown of a node.
type stopCounts struct {
	served, refused, cut atomic.Int64
}

// count classifies one outcome: an accepted request must get a complete answer, and a request that is not accepted must be
// refused as not run, or find the listener closed before it was written. It describes an outcome that is neither, and returns
// the empty string otherwise.
func (s *stopCounts) count(got reply, err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.refused.Add(1)
	case err != nil:
		s.cut.Add(1)
		return err.Error()
	case got.answer.GetReason() == wire.Reason_REASON_UNSPECIFIED && len(got.answer.GetCoverage().GetMissing()) == 0:
		s.served.Add(1)
	case got.answer.GetReason() == wire.Reason_REASON_STOPPING && got.answer.GetRun() == wire.RunState_RUN_STATE_NOT_RUN:
		s.refused.Add(1)
	default:
		s.cut.Add(1)
		return got.answer.String()
	}
	return ""
}

// Guards against counting a request that was cut off as served.
func TestStopCountFindsCutRequests(t *testing.T) {
	whole := correctAnswer(searchQuery("stop", time.Second))
	partial := correctAnswer(searchQuery("stop", time.Second), 1)
	unknown := wire.Answer_builder{Run: wire.RunState_RUN_STATE_UNKNOWN, Reason: wire.Reason_REASON_OWNER_LOST}.Build()
	stopping := wire.Answer_builder{Run: wire.RunState_RUN_STATE_NOT_RUN, Reason: wire.Reason_REASON_STOPPING}.Build()
	tests := map[string]struct {
		answer *wire.Answer
		err    error
		cut    int64
	}{
		"whole":        {answer: whole},
		"refused":      {answer: stopping},
		"partial":      {answer: partial, cut: 1},
		"unknown":      {answer: unknown, cut: 1},
		"not accepted": {err: syscall.ECONNREFUSED},
		"connection":   {err: context.Canceled, cut: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var counts stopCounts
			counts.count(reply{answer: test.answer}, test.err)
			if got := counts.cut.Load(); got != test.cut {
				t.Errorf("got %d cut, want %d", got, test.cut)
			}
		})
	}
}

// Guards against a graceful shutdown that cuts off requests in flight (P7): callers' requests at the stopping node, and
// sub-requests of other entries for searchers that it owns.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	tests := map[string]struct {
		nonIdempotent bool
	}{
		"searches":       {},
		"non-idempotent": {nonIdempotent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{nodesPerRegion: 2, serviceTime: 10 * time.Millisecond, settings: func(s *wire.Settings) {
				s.GetDirectory().SetTokens(8)
			}})
			var counts stopCounts
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var load conc.WaitGroup
			for _, n := range f.Nodes() {
				load.Go(func() { askUntilStopping(ctx, t, n.VM(), &counts, test.nonIdempotent) })
				load.Go(func() { askUntilStopping(ctx, t, n.VM(), &counts, test.nonIdempotent) })
			}
			await(t, waitTimeout, "load", func() bool { return counts.served.Load() > 50 })
			begun := time.Now()
			if got := f.Stop("north-1"); got != 0 {
				t.Errorf("got %d requests cut off by the stop, want 0", got)
			}
			took := time.Since(begun)
			if least := directoryValid + 2*digestInterval; took < least {
				t.Errorf("got a stop after %v, want at least %v: the node first serves for the directory's validity and two digest intervals", took, least)
			}
			if most := 10 * time.Second; took > most {
				t.Errorf("got a stop after %v, want at most %v, since requests in flight take at most 2 s", took, most)
			}
			before := counts.served.Load()
			await(t, waitTimeout, "requests served by the other nodes", func() bool { return counts.served.Load() > before+50 })
			cancel()
			load.Wait()
			t.Logf("served %d, refused %d, cut %d, stop took %v", counts.served.Load(), counts.refused.Load(), counts.cut.Load(), took)
			if got := counts.cut.Load(); got != 0 {
				t.Errorf("got %d requests cut off, want 0", got)
			}
		})
	}
}

// askUntilStopping sends requests to one node until ctx is done or the node refuses them because it is stopping.
func askUntilStopping(ctx context.Context, t *testing.T, vm shards.VM, counts *stopCounts, nonIdempotent bool) {
	c := newCaller(10 * time.Second)
	address := vm.Address()
	for i := 0; ctx.Err() == nil && i < 100000; i++ {
		query := searchQuery(fmt.Sprintf("stop %s %d", vm.ID(), i%16), 2*time.Second)
		if nonIdempotent {
			entries, err := c.entries(context.Background(), address)
			if err != nil || len(entries.GetTokens()) == 0 {
				return
			}
			query = orderRequest(fmt.Sprintf("stop %s %d", vm.ID(), i), entries.GetTokens()[0], 2*time.Second)
		}
		got, err := c.ask(context.Background(), address, query)
		if problem := counts.count(got, err); problem != "" {
			t.Errorf("%s request %d: %s", vm.ID(), i, problem)
			return
		}
		if err != nil || got.answer.GetReason() == wire.Reason_REASON_STOPPING {
			return
		}
	}
}
