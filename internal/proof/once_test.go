package proof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// presentation is one sending of a non-idempotent request and the run state that came back; it is unspecified when no answer came.
type presentation struct {
	run    wire.RunState
	reason wire.Reason
}

// checkOnce compares what the presentations of one token were told with the number of runs in the logs of the searchers.
func checkOnce(presentations []presentation, runs int) error {
	if runs > 1 {
		return errors.Newf("%d runs, want at most 1", runs)
	}
	for _, p := range presentations {
		if p.run == wire.RunState_RUN_STATE_NOT_RUN && runs != 0 {
			return errors.Newf("told not run (%v), but %d run", p.reason, runs)
		}
		if p.run == wire.RunState_RUN_STATE_RUN && runs != 1 {
			return errors.Newf("told run (%v), but %d runs", p.reason, runs)
		}
	}
	return nil
}

// Guards against a checker that passes a duplicated request (P5) or a wrong "not run" (P4).
func TestCheckOnceFindsViolations(t *testing.T) {
	told := func(states ...wire.RunState) []presentation {
		var list []presentation
		for _, state := range states {
			list = append(list, presentation{run: state})
		}
		return list
	}
	const run, notRun, unknown = wire.RunState_RUN_STATE_RUN, wire.RunState_RUN_STATE_NOT_RUN, wire.RunState_RUN_STATE_UNKNOWN
	tests := map[string]struct {
		told  []presentation
		runs  int
		valid bool
	}{
		"run once":                   {told: told(run, run), runs: 1, valid: true},
		"not run":                    {told: told(notRun, notRun), valid: true},
		"unknown and run":            {told: told(unknown), runs: 1, valid: true},
		"unknown and not run":        {told: told(unknown), valid: true},
		"run twice":                  {told: told(unknown, run), runs: 2},
		"told not run, but run":      {told: told(unknown, notRun), runs: 1},
		"told run, but not run":      {told: told(run)},
		"one of two told otherwise":  {told: told(run, notRun), runs: 1},
		"no answer at all and twice": {runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkOnce(test.told, test.runs)
			if got := err == nil; got != test.valid {
				t.Errorf("got error %v, want a valid outcome: %v", err, test.valid)
			}
		})
	}
}

// ordered is one non-idempotent request and what its presentations came to.
type ordered struct {
	text string
	told []presentation
}

// present sends a request with one token to several entries, one after the other.
func (o *ordered) present(c *caller, token string, deadline time.Duration, addresses ...string) {
	for _, address := range addresses {
		got, err := c.ask(context.Background(), address, order(o.text, token, deadline))
		if err != nil {
			o.told = append(o.told, presentation{})
			continue
		}
		o.told = append(o.told, presentation{run: got.answer.GetRun(), reason: got.answer.GetReason()})
	}
}

// runsByQuery counts the runs of all searchers of the collection orders.
func runsByQuery(t *testing.T, f *local.Fleet) map[string]int {
	t.Helper()
	runs := make(map[string]int)
	for _, searcher := range f.Searchers().Searchers(orders) {
		if dropped := searcher.RunsDropped(); dropped > 0 {
			t.Fatalf("got a run log that dropped %d runs, want all", dropped)
		}
		for _, run := range searcher.Runs() {
			runs[run.Query()]++
		}
	}
	return runs
}

// Guards against non-idempotent requests that run twice (P5), and against "not run" for a request that ran (P4), when
// replies are lost and requests are sent again with the same token at other entries.
func TestAtMostOnceUnderFailure(t *testing.T) {
	const count = 120
	tests := map[string]struct {
		before, during func(t *testing.T, f *local.Fleet)
		deadline       time.Duration
		// abandon closes the connection to the entry after this time, so that its answer is lost.
		abandon time.Duration
	}{
		"no failure":                       {},
		"caller's connection lost":         {abandon: 5 * time.Millisecond},
		"deadline in the middle of a run":  {deadline: 30 * time.Millisecond},
		"issuer killed":                    {during: func(_ *testing.T, f *local.Fleet) { f.Kill("north-1") }},
		"silent connections":               {during: silenceOrders},
		"crossed replies":                  {before: plantOrders(fakes.WrongAttemptID{Every: 3})},
		"truncated replies":                {before: plantOrders(fakes.TruncateHits{Every: 3})},
		"replies lost in searcher crashes": {during: crashOrders},
		"ownership change": {during: func(t *testing.T, f *local.Fleet) {
			must(t, f.Start("south-9", "south", "south-a"))
			f.Kill("south-1")
		}},
		"network cut between regions": {during: func(_ *testing.T, f *local.Fleet) {
			f.Network().Partition(region(f, "north"), append(region(f, "south"), region(f, "west")...))
		}},
		"repartition": {during: func(t *testing.T, f *local.Fleet) {
			must(t, f.Searchers().PublishSnapshot(orders, 2, 3))
			must(t, f.Searchers().RetireSnapshot(orders, 1))
		}},
		"leaving searcher": {during: func(_ *testing.T, f *local.Fleet) { f.Searchers().Searchers(orders)[0].Leave() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{serviceTime: 10 * time.Millisecond})
			if test.before != nil {
				test.before(t, f)
			}
			deadline := test.deadline
			if deadline == 0 {
				deadline = time.Second
			}
			c := newCaller(deadline + 5*time.Second)
			hasty := c
			if test.abandon > 0 {
				hasty = newCaller(test.abandon)
			}
			addresses := f.Addresses()
			var tokens []string
			for len(tokens) < count {
				entries, err := c.entries(context.Background(), addresses[len(tokens)%len(addresses)])
				if err != nil {
					t.Fatal(err)
				}
				tokens = append(tokens, entries.GetTokens()...)
			}
			disturbed := make(chan struct{})
			go func() {
				defer close(disturbed)
				time.Sleep(20 * time.Millisecond)
				if test.during != nil {
					test.during(t, f)
				}
			}()
			all := make([]ordered, count)
			workers := pool.New().WithMaxGoroutines(8)
			for i := range all {
				workers.Go(func() {
					all[i].text = fmt.Sprintf("order %d", i)
					first, second, third := addresses[i%3], addresses[(i+1)%3], addresses[(i+2)%3]
					all[i].present(hasty, tokens[i], deadline, first)
					all[i].present(c, tokens[i], deadline, second, third, first)
				})
			}
			workers.Wait()
			<-disturbed
			time.Sleep(100 * time.Millisecond)
			runs := runsByQuery(t, f)
			if len(runs) == 0 {
				t.Error("got no run at all, want some")
			}
			for i := range all {
				if err := checkOnce(all[i].told, runs[all[i].text]); err != nil {
					t.Errorf("%s: %v; presentations %v", all[i].text, err, all[i].told)
				}
			}
		})
	}
}

func plantOrders(fault fakes.Fault) func(*testing.T, *local.Fleet) {
	return func(_ *testing.T, f *local.Fleet) {
		for _, searcher := range f.Searchers().Searchers(orders) {
			searcher.InjectFaults(fault)
		}
	}
}

func silenceOrders(_ *testing.T, f *local.Fleet) {
	for _, searcher := range f.Searchers().Searchers(orders) {
		searcher.SilenceConnections(2)
	}
}

func crashOrders(_ *testing.T, f *local.Fleet) {
	for _, searcher := range f.Searchers().Searchers(orders) {
		searcher.Crash()
		time.Sleep(50 * time.Millisecond)
	}
}
