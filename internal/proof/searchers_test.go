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

// leavingBound is the promise for a searcher that is leaving.
const leavingBound = 3 * time.Second

// checkLeaving returns an error when a run began later than the bound after the signal.
func checkLeaving(signal time.Time, started []time.Time) error {
	for _, at := range started {
		if at.Sub(signal) > leavingBound {
			return errors.Newf("a run began %v after the signal, want none after %v", at.Sub(signal), leavingBound)
		}
	}
	return nil
}

// Guards against a checker that passes work after the bound (P6).
func TestCheckLeavingFindsLateWork(t *testing.T) {
	signal := time.Now()
	if err := checkLeaving(signal, []time.Time{signal.Add(time.Second)}); err != nil {
		t.Errorf("got %v for a run after 1s, want none", err)
	}
	if err := checkLeaving(signal, []time.Time{signal.Add(4 * time.Second)}); err == nil {
		t.Error("got no error for a run after 4s, want one")
	}
}

// Guards against new work for a leaving searcher more than 3 s after the first signal (P6), when only one signal says
// so and the others say the contrary. The searcher in each case still serves, so that its run log shows every request.
// The signal by reply is not covered: a stand-in that gives it refuses, so its log shows no request.
func TestLeavingSearcherGetsNoNewWork(t *testing.T) {
	tests := map[string]struct {
		signal func(t *testing.T, f *local.Fleet, s *fakes.Searcher)
	}{
		"health endpoint alone": {signal: func(_ *testing.T, _ *local.Fleet, s *fakes.Searcher) {
			s.SetHints(fakes.FalseHints{Healthy: true, Leaving: true})
		}},
		"VM list alone, health lies": {signal: func(t *testing.T, f *local.Fleet, s *fakes.Searcher) {
			s.SetHints(fakes.FalseHints{Healthy: true, Leaving: false})
			must(t, f.Searchers().MarkLeaving(s.ID()))
		}},
		"VM list alone, health lags": {signal: func(t *testing.T, f *local.Fleet, s *fakes.Searcher) {
			s.SetHints(fakes.DelayedHints{Lag: time.Minute})
			must(t, f.Searchers().MarkLeaving(s.ID()))
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
				load.Go(func() { askUntil(ctx, n) })
			}
			await(t, patience, "work at the searcher", func() bool { return searcher.Started() > 10 })
			signal := time.Now()
			test.signal(t, f, searcher)
			await(t, patience, "the bound and a second more", func() bool { return time.Since(signal) > leavingBound+time.Second })
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

// askUntil sends queries to a node until ctx ends.
func askUntil(ctx context.Context, n *local.Node) {
	c := newCaller(5 * time.Second)
	for i := 0; ctx.Err() == nil && i < 100000; i++ {
		_, _ = c.ask(context.Background(), n.VM().Address(), search(fmt.Sprintf("leaving %d", i%8), time.Second))
		// A pause keeps the run logs whole on a fast machine.
		time.Sleep(5 * time.Millisecond)
	}
}

// checkCrashes returns an error when a crashing request ran on more than two searchers.
func checkCrashes(searchers int) error {
	if searchers > 2 {
		return errors.Newf("the request ran on %d searchers, want at most 2", searchers)
	}
	return nil
}

// Guards against a checker that passes a third crashed searcher.
func TestCheckCrashesFindsThirdSearcher(t *testing.T) {
	if err := checkCrashes(2); err != nil {
		t.Errorf("got %v for 2 searchers, want none", err)
	}
	if err := checkCrashes(3); err == nil {
		t.Error("got no error for 3 searchers, want one")
	}
}

// Guards against a crashing request that takes down searcher after searcher while its caller sends it again
// everywhere, and against innocent requests that are refused as quarantined because unrelated searchers crash at the
// same time.
func TestCrashingRequestTouchesTwoSearchers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	c := newCaller(5 * time.Second)
	addresses := f.Addresses()
	for i := range 9 {
		_, _ = c.ask(context.Background(), addresses[i%len(addresses)], search(crashMarker, time.Second))
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
	got, err := c.ask(context.Background(), addresses[0], search(crashMarker, time.Second))
	if err != nil || got.answer.GetReason() != wire.Reason_REASON_QUARANTINED {
		t.Errorf("got %v and error %v for the next resend, want it quarantined", got.answer, err)
	}
	for i, searcher := range f.Searchers().Searchers(lamps) {
		if i%4 == 0 {
			searcher.Crash()
		}
		for j := range 4 {
			query := search(fmt.Sprintf("innocent %d", j), time.Second)
			got, err := c.ask(context.Background(), addresses[j%len(addresses)], query)
			if err != nil || got.answer.GetReason() == wire.Reason_REASON_QUARANTINED {
				t.Errorf("got %v and error %v for an innocent request, want it not quarantined", got.answer, err)
			}
		}
	}
}
