package bench

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/plans"
)

var testExamples = filepath.Join("..", "..", "examples")

// testCustomer returns a customer with its lists in examples/.
func testCustomer(t *testing.T, name string) (customerProfile, customerLists) {
	t.Helper()
	profile, err := findCustomer(name)
	if err != nil {
		t.Fatal(err)
	}
	lists, err := readLists(filepath.Join(testExamples, name))
	if err != nil {
		t.Fatal(err)
	}
	return profile, lists
}

// TestCustomerLists guards against a fleet that is measured with plans and uses other than those in examples/.
func TestCustomerLists(t *testing.T) {
	tests := map[string]struct {
		plans, uses int
		use         plans.Use
		rank        plans.Rank
	}{
		"nykterida": {plans: 6, uses: 11, use: plans.NewUse("dispatch", "dispatch-tool", 60, 100), rank: plans.Urgent},
		"swanline":  {plans: 6, uses: 10, use: plans.NewUse("proofs", "proof-studio", 200, 200), rank: plans.Bulk},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			profile, lists := testCustomer(t, name)
			if err := profile.validate(lists); err != nil {
				t.Error(err)
			}
			if got := len(lists.plans); got != test.plans {
				t.Errorf("plans: got %d, want %d", got, test.plans)
			}
			if got := len(lists.uses); got != test.uses {
				t.Errorf("uses: got %d, want %d", got, test.uses)
			}
			found := false
			for _, use := range lists.uses {
				found = found || use == test.use
			}
			if !found {
				t.Errorf("got uses %v, want %v among them", lists.uses, test.use)
			}
			if got := lists.rank(test.use.Plan()); got != test.rank {
				t.Errorf("rank: got %v, want %v", got, test.rank)
			}
			published := customerFleet(profile, lists, 1)
			if got, want := len(published.Plans())+len(published.Uses()), test.plans+test.uses; got != want {
				t.Errorf("published plans and uses: got %d, want %d", got, want)
			}
		})
	}
}

// TestCustomerRejects guards against a trial with an unknown customer or with lists that do not match the fleet.
func TestCustomerRejects(t *testing.T) {
	if _, err := RunCustomer(context.Background(), CustomerSettings{Name: "nobody", Examples: testExamples}); !errors.Is(err, ErrUnknownName) {
		t.Errorf("unknown customer: got %v, want %v", err, ErrUnknownName)
	}
	if _, err := RunCustomer(context.Background(), CustomerSettings{Name: "swanline", Examples: t.TempDir()}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no lists: got %v, want %v", err, os.ErrNotExist)
	}
	profile, _ := testCustomer(t, "swanline")
	_, other := testCustomer(t, "nykterida")
	if err := profile.validate(other); err == nil {
		t.Error("lists of the other customer: got no error, want one")
	}
	if err := profile.validate(customerLists{}); err == nil {
		t.Error("empty lists: got no error, want one")
	}
}

// TestCustomerLoads guards against a phase that lacks a use, overlaps another phase, or is flooded with queries that are not bulk.
func TestCustomerLoads(t *testing.T) {
	tests := map[string]struct {
		flood map[string]float64
	}{
		"nykterida": {flood: map[string]float64{"bulk-flood reports/care-desk": 3000}},
		"swanline":  {flood: map[string]float64{"bulk-flood proofs/proof-studio": 3000, "bulk-flood size-tables/captain-portal": 3000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			profile, lists := testCustomer(t, name)
			loads := customerLoads(profile, lists, 1)
			if got, want := len(loads), len(phases())*(len(lists.uses)+1); got != want {
				t.Errorf("loads: got %d, want %d", got, want)
			}
			flooded := 0
			for _, l := range loads {
				if want, ok := test.flood[l.name]; ok {
					flooded++
					if l.PerSecond != want {
						t.Errorf("%s: got %v queries/s, want %v", l.name, l.PerSecond, want)
					}
					continue
				}
				if l.PerSecond > listedShare*3*300 {
					t.Errorf("%s: got %v queries/s, want no flood", l.name, l.PerSecond)
				}
			}
			if want := len(test.flood); flooded != want {
				t.Errorf("flooded uses: got %d, want %d", flooded, want)
			}
		})
	}
	last := time.Duration(-1)
	for _, p := range phases() {
		w := windowOf(p, 1)
		if w.From <= last || w.To != w.From+phaseLength {
			t.Errorf("%s: got %v to %v after %v", p, w.From, w.To, last)
		}
		last = w.To
	}
}

// TestCustomerSize guards against a fleet that does not have the stated size.
func TestCustomerSize(t *testing.T) {
	tests := map[string]struct {
		customer string
		capacity float64
		shards   int
	}{
		"care-desk":      {customer: "nykterida", capacity: 600, shards: 10},
		"shop-front":     {customer: "nykterida", capacity: 600, shards: 15},
		"billing-run":    {customer: "nykterida", capacity: 400, shards: 8},
		"dispatch-tool":  {customer: "nykterida", capacity: 400, shards: 4},
		"captain-portal": {customer: "swanline", capacity: 600, shards: 10},
		"proof-studio":   {customer: "swanline", capacity: 600, shards: 15},
		"rider-sizing":   {customer: "swanline", capacity: 1200, shards: 2},
		"dispatch-board": {customer: "swanline", capacity: 1800, shards: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			profile, lists := testCustomer(t, test.customer)
			fleet := customerFleet(profile, lists, 1)
			if got := customerCapacity(fleet, name); got != test.capacity {
				t.Errorf("capacity: got %v, want %v", got, test.capacity)
			}
			if got := shardsOf(fleet, name); got != test.shards {
				t.Errorf("shards: got %d, want %d", got, test.shards)
			}
		})
	}
}

func shardsOf(fleet fakes.FleetSettings, name string) int {
	for _, c := range fleet.Collections() {
		if c.Name() == name {
			return c.Shards()
		}
	}
	return 0
}

// TestSummarize guards against a summary line that does not show the customer's primary metric.
func TestSummarize(t *testing.T) {
	results := []PhaseResult{
		{Name: "steady", Primary: RankResult{P99: 40, Coverage: 1}},
		{Name: "bulk-flood", Primary: RankResult{P99: 50, Coverage: 0.975, Refused: 0.25, Failed: 0.125}},
	}
	tests := map[string]string{
		"nykterida": "nykterida: urgent p99 (relative to steady) of dispatch and care: steady 40.0 ms (1.00), bulk-flood 50.0 ms (1.25)",
		"swanline":  "swanline: urgent coverage of archive and rush: steady 100.00% (answered 100.00%), bulk-flood 97.50% (answered 62.50%)",
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			profile, _ := testCustomer(t, name)
			if got := summarize(profile, results); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// TestCustomerTrial guards against a trial whose checker does not detect an injected violation or counts it in another phase,
// and against a report that lacks a phase or a row.
func TestCustomerTrial(t *testing.T) {
	profile, lists := testCustomer(t, "nykterida")
	trial := newCustomerTrial(profile, lists, CustomerSettings{Name: "nykterida", Seed: DefaultSeed, Scale: 0.1})
	defer trial.close()
	if err := trial.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := trial.run(context.Background()); err != nil {
		t.Fatal(err)
	}
	report := trial.report()
	for _, p := range report.Phases {
		for _, v := range p.Violations {
			t.Errorf("%s: violated %s: %s", p.Name, v.Promise, v.Detail)
		}
	}
	var table strings.Builder
	if err := report.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"steady", "slow-searcher", "lost-replica", "bulk-flood", "urgent", "routine", "bulk", "over_rate", report.Summary} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("got a table without %q:\n%s", want, table.String())
		}
	}
	injectUnknownSnapshot(t, trial, phaseLost)
	for _, p := range phases() {
		want := 0
		if p == phaseLost {
			want = 1
		}
		if got := len(trial.violations(p)); got != want {
			t.Errorf("%s after injecting a violation: got %d violations, want %d", p, got, want)
		}
	}
}

// injectUnknownSnapshot changes one answer of a phase to state a snapshot that was never published.
func injectUnknownSnapshot(t *testing.T, trial *customerTrial, p phase) {
	t.Helper()
	for number, l := range trial.loads {
		records := trial.records[number]
		for i := range records {
			if l.phase == p && records[i].answer.GetCoverage().GetReflected() > 0 {
				records[i].answer.SetSnapshot(9)
				return
			}
		}
	}
	t.Fatalf("%s: got no answer to inject a violation into", p)
}
