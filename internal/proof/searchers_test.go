package proof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// leavingBound is the promised time after the first signal within which a leaving searcher stops getting new work.
const leavingBound = 3 * time.Second

// checkLeaving returns an error if a run began later than the bound after the signal.
func checkLeaving(signal time.Time, started []time.Time) error {
	for _, at := range started {
		if at.Sub(signal) > leavingBound {
			return errors.Newf("a run began %v after the signal, want none after %v", at.Sub(signal), leavingBound)
		}
	}
	return nil
}

// Guards against a checker that accepts work after the bound (P6).
func TestCheckLeavingFindsLateWork(t *testing.T) {
	signal := time.Now()
	if err := checkLeaving(signal, []time.Time{signal.Add(time.Second)}); err != nil {
		t.Errorf("got %v for a run after 1s, want none", err)
	}
	if err := checkLeaving(signal, []time.Time{signal.Add(4 * time.Second)}); err == nil {
		t.Error("got no error for a run after 4s, want one")
	}
}

// Guards against new work for a leaving searcher more than 3 s after the first signal (P6), when only one signal says that
// it is leaving and the others contradict it. The searcher still serves in each case, so that its run log shows every
// request. The signal in a reply is not covered: a stand-in that gives it refuses the request, so its run log shows nothing.
func TestLeavingSearcherGetsNoNewWork(t *testing.T) {
	tests := map[string]struct {
		signal func(t *testing.T, f *local.Fleet, s *fakes.Searcher)
	}{
		"health endpoint alone": {signal: func(_ *testing.T, _ *local.Fleet, s *fakes.Searcher) {
			s.SetHints(fakes.FalseHints{Healthy: true, Leaving: true})
		}},
		"VM list alone, health reports false state": {signal: func(t *testing.T, f *local.Fleet, s *fakes.Searcher) {
			s.SetHints(fakes.FalseHints{Healthy: true, Leaving: false})
			expectNoError(t, f.Searchers().MarkLeaving(s.ID()))
		}},
		"VM list alone, health reports old state": {signal: func(t *testing.T, f *local.Fleet, s *fakes.Searcher) {
			s.SetHints(fakes.DelayedHints{Lag: time.Minute})
			expectNoError(t, f.Searchers().MarkLeaving(s.ID()))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{})
			searcher := f.Searchers().Searchers(lamps)[0]
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var load conc.WaitGroup
			defer load.Wait()
			defer cancel()
			for _, n := range f.Nodes() {
				load.Go(func() { askUntilDone(ctx, n) })
			}
			await(t, waitTimeout, "work at the searcher", func() bool { return searcher.Started() > 10 })
			signal := time.Now()
			test.signal(t, f, searcher)
			await(t, waitTimeout, "the bound and one more second", func() bool { return time.Since(signal) > leavingBound+time.Second })
			cancel()
			load.Wait()
			var started []time.Time
			for _, run := range searcher.Runs() {
				started = append(started, run.Started())
			}
			if err := checkLeaving(signal, started); err != nil {
				t.Error(err)
			}
		})
	}
}

// askUntilDone sends queries to a node until ctx is done.
func askUntilDone(ctx context.Context, n *local.Node) {
	c := newCaller(5 * time.Second)
	for i := 0; ctx.Err() == nil && i < 100000; i++ {
		_, _ = c.ask(context.Background(), n.VM().Address(), searchQuery(fmt.Sprintf("leaving %d", i%8), time.Second))
		// The pause limits the rate, so that the run logs drop no run on a fast machine.
		time.Sleep(5 * time.Millisecond)
	}
}

// checkCrashes returns an error if a crashing request ran on more than two searchers.
func checkCrashes(searchers int) error {
	if searchers > 2 {
		return errors.Newf("the request ran on %d searchers, want at most 2", searchers)
	}
	return nil
}

// Guards against a checker that accepts a third crashed searcher.
func TestCheckCrashesFindsThirdSearcher(t *testing.T) {
	if err := checkCrashes(2); err != nil {
		t.Errorf("got %v for 2 searchers, want none", err)
	}
	if err := checkCrashes(3); err == nil {
		t.Error("got no error for 3 searchers, want one")
	}
}

// Guards against a crashing request that crashes one searcher after another while its caller resends it to all nodes, and
// against other requests that are refused as quarantined because searchers crash at the same time for unrelated reasons.
func TestCrashingRequestTouchesTwoSearchers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	c := newCaller(5 * time.Second)
	addresses := f.Addresses()
	for i := range 9 {
		_, _ = c.ask(context.Background(), addresses[i%len(addresses)], searchQuery(crashMarker, time.Second))
	}
	touched := 0
	for _, searcher := range f.Searchers().Searchers(lamps) {
		for _, run := range searcher.Runs() {
			if run.Query() == crashMarker {
				touched++
				break
			}
		}
	}
	if touched == 0 {
		t.Error("got no searcher that ran the crashing request, want some")
	}
	if err := checkCrashes(touched); err != nil {
		t.Error(err)
	}
	got, err := c.ask(context.Background(), addresses[0], searchQuery(crashMarker, time.Second))
	if err != nil || got.answer.GetReason() != wire.Reason_REASON_QUARANTINED {
		t.Errorf("got %v and error %v for the next resend, want a refusal as quarantined", got.answer, err)
	}
	for i, searcher := range f.Searchers().Searchers(lamps) {
		if i%4 == 0 {
			searcher.Crash()
		}
		for j := range 4 {
			query := searchQuery(fmt.Sprintf("unrelated %d", j), time.Second)
			got, err := c.ask(context.Background(), addresses[j%len(addresses)], query)
			if err != nil || got.answer.GetReason() == wire.Reason_REASON_QUARANTINED {
				t.Errorf("got %v and error %v for an unrelated request, want no refusal as quarantined", got.answer, err)
			}
		}
	}
}
