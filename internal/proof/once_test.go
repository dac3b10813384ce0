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

// presentation is the outcome of sending a non-idempotent request once. The run state is unspecified if there was no answer.
type presentation struct {
	run    wire.RunState
	reason wire.Reason
}

// checkOnce compares the run states that the presentations of one token got with the number of runs in the searchers' run logs.
func checkOnce(presentations []presentation, runs int) error {
	if runs > 1 {
		return errors.Newf("%d runs, want at most 1", runs)
	}
	for _, p := range presentations {
		if p.run == wire.RunState_RUN_STATE_NOT_RUN && runs != 0 {
			return errors.Newf("reported as not run (%v), but ran %d times", p.reason, runs)
		}
		if p.run == wire.RunState_RUN_STATE_RUN && runs != 1 {
			return errors.Newf("reported as run (%v), but ran %d times", p.reason, runs)
		}
	}
	return nil
}

// Guards against a checker that accepts a duplicate run of a request (P5) or a wrong "not run" (P4).
func TestCheckOnceFindsViolations(t *testing.T) {
	presentationsOf := func(states ...wire.RunState) []presentation {
		var list []presentation
		for _, state := range states {
			list = append(list, presentation{run: state})
		}
		return list
	}
	const run, notRun, unknown = wire.RunState_RUN_STATE_RUN, wire.RunState_RUN_STATE_NOT_RUN, wire.RunState_RUN_STATE_UNKNOWN
	tests := map[string]struct {
		presentations []presentation
		runs          int
		valid         bool
	}{
		"run once":                     {presentations: presentationsOf(run, run), runs: 1, valid: true},
		"not run":                      {presentations: presentationsOf(notRun, notRun), valid: true},
		"unknown and run":              {presentations: presentationsOf(unknown), runs: 1, valid: true},
		"unknown and not run":          {presentations: presentationsOf(unknown), valid: true},
		"run twice":                    {presentations: presentationsOf(unknown, run), runs: 2},
		"reported as not run, but run": {presentations: presentationsOf(unknown, notRun), runs: 1},
		"reported as run, but not run": {presentations: presentationsOf(run)},
		"contradictory reports":        {presentations: presentationsOf(run, notRun), runs: 1},
		"no answer and run twice":      {runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkOnce(test.presentations, test.runs)
			if got := err == nil; got != test.valid {
				t.Errorf("got error %v, want a valid outcome: %v", err, test.valid)
			}
		})
	}
}

// tokenRequest is a non-idempotent request with the outcomes of its presentations.
type tokenRequest struct {
	text          string
	presentations []presentation
}

// present sends the request with the same token to several entries, one after the other.
func (o *tokenRequest) present(c *caller, token string, deadline time.Duration, addresses ...string) {
	for _, address := range addresses {
		got, err := c.ask(context.Background(), address, orderRequest(o.text, token, deadline))
		if err != nil {
			o.presentations = append(o.presentations, presentation{})
			continue
		}
		o.presentations = append(o.presentations, presentation{run: got.answer.GetRun(), reason: got.answer.GetReason()})
	}
}

// runsByQuery counts the runs of all searchers of the collection orders.
func runsByQuery(t *testing.T, f *local.Fleet) map[string]int {
	t.Helper()
	runs := make(map[string]int)
	for _, searcher := range f.Searchers().Searchers(orders) {
		if dropped := searcher.RunsDropped(); dropped > 0 {
			t.Fatalf("got a run log that dropped %d runs, want 0", dropped)
		}
		for _, run := range searcher.Runs() {
			runs[run.Query()]++
		}
	}
	return runs
}

// Guards against non-idempotent requests that run twice (P5), and against "not run" for a request that ran (P4), when
// replies are lost and requests are resent with the same token to other entries.
func TestAtMostOnceUnderFailure(t *testing.T) {
	const count = 120
	tests := map[string]struct {
		before, during func(t *testing.T, f *local.Fleet)
		deadline       time.Duration
		// abandon is the time after which the caller closes the connection to the first entry, so that its answer is lost.
		abandon time.Duration
	}{
		"no failure":                      {},
		"caller's connection lost":        {abandon: 5 * time.Millisecond},
		"deadline in the middle of a run": {deadline: 30 * time.Millisecond},
		"issuer killed":                   {during: func(_ *testing.T, f *local.Fleet) { f.Kill("north-1") }},
		"silent connections":              {during: silenceOrderConnections},
		"crossed replies":                 {before: injectOrderFaults(fakes.WrongAttemptID{Every: 3})},
		"truncated replies":               {before: injectOrderFaults(fakes.TruncateHits{Every: 3})},
		"malformed replies": {before: func(_ *testing.T, f *local.Fleet) {
			f.Searchers().Searchers(orders)[0].SetMalformed(true)
		}},
		"replies lost in searcher crashes": {during: crashOrderSearchers},
		"ownership change": {during: func(t *testing.T, f *local.Fleet) {
			expectNoError(t, f.Start("south-9", "south", "south-a"))
			f.Kill("south-1")
		}},
		"network cut between regions": {during: func(_ *testing.T, f *local.Fleet) {
			f.Network().Partition(nodesInRegion(f, "north"), append(nodesInRegion(f, "south"), nodesInRegion(f, "west")...))
		}},
		"repartition": {during: func(t *testing.T, f *local.Fleet) {
			expectNoError(t, f.Searchers().PublishSnapshot(orders, 2, 3))
			expectNoError(t, f.Searchers().RetireSnapshot(orders, 1))
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
			abandoning := c
			if test.abandon > 0 {
				abandoning = newCaller(test.abandon)
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
			faultsDone := make(chan struct{})
			go func() {
				defer close(faultsDone)
				time.Sleep(20 * time.Millisecond)
				if test.during != nil {
					test.during(t, f)
				}
			}()
			all := make([]tokenRequest, count)
			workers := pool.New().WithMaxGoroutines(8)
			for i := range all {
				workers.Go(func() {
					all[i].text = fmt.Sprintf("order %d", i)
					first, second, third := addresses[i%3], addresses[(i+1)%3], addresses[(i+2)%3]
					all[i].present(abandoning, tokens[i], deadline, first)
					all[i].present(c, tokens[i], deadline, second, third, first)
				})
			}
			workers.Wait()
			<-faultsDone
			time.Sleep(100 * time.Millisecond)
			runs := runsByQuery(t, f)
			if len(runs) == 0 {
				t.Error("got no runs, want some")
			}
			for i := range all {
				if err := checkOnce(all[i].presentations, runs[all[i].text]); err != nil {
					t.Errorf("%s: %v; presentations %v", all[i].text, err, all[i].presentations)
				}
			}
		})
	}
}

func injectOrderFaults(fault fakes.Fault) func(*testing.T, *local.Fleet) {
	return func(_ *testing.T, f *local.Fleet) {
		for _, searcher := range f.Searchers().Searchers(orders) {
			searcher.InjectFaults(fault)
		}
	}
}

func silenceOrderConnections(_ *testing.T, f *local.Fleet) {
	for _, searcher := range f.Searchers().Searchers(orders) {
		searcher.SilenceConnections(2)
	}
}

func crashOrderSearchers(_ *testing.T, f *local.Fleet) {
	for _, searcher := range f.Searchers().Searchers(orders) {
		searcher.Crash()
		time.Sleep(50 * time.Millisecond)
	}
}
