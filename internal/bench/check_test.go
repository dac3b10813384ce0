package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// testText is the query text that the bare client sends.
const testText = "popular 0"

// validAnswer returns an answer that the checker accepts, with shard 3 missing.
func validAnswer(e *evidence, query *wire.Query) *wire.Answer {
	reflected := []int{0, 1, 2}
	return wire.Answer_builder{
		Snapshot: 1,
		Hits:     e.merge(query, 1, reflected),
		Coverage: wire.Coverage_builder{
			Total:     4,
			Reflected: 3,
			Missing:   []*wire.MissingShard{wire.MissingShard_builder{Shard: 3, Reason: wire.Reason_REASON_DEADLINE}.Build()},
		}.Build(),
		Run: wire.RunState_RUN_STATE_RUN,
	}.Build()
}

// TestCheckAnswerFindsPlantedViolations guards against a checker that accepts answers that mix two snapshots, state a false
// coverage or belong to another request.
func TestCheckAnswerFindsPlantedViolations(t *testing.T) {
	query := newQuery(&Load{Plan: "urgent-1", Deadline: time.Second}, testText)
	other := newQuery(&Load{Plan: "urgent-1", Deadline: time.Second}, "another")
	tests := map[string]struct {
		inject func(e *evidence, answer *wire.Answer)
		want   []Promise
	}{
		"sound":            {inject: func(*evidence, *wire.Answer) {}},
		"unknown snapshot": {inject: func(_ *evidence, a *wire.Answer) { a.SetSnapshot(9) }, want: []Promise{Snapshot}},
		"two snapshots":    {inject: func(e *evidence, a *wire.Answer) { a.SetHits(e.merge(query, 2, []int{0, 1, 2})) }, want: []Promise{OwnReplies}},
		"claims too many":  {inject: func(_ *evidence, a *wire.Answer) { a.GetCoverage().SetReflected(4) }, want: []Promise{Coverage}},
		"hides a shard":    {inject: claimFullCoverage, want: []Promise{OwnReplies}},
		"other total":      {inject: func(_ *evidence, a *wire.Answer) { a.GetCoverage().SetTotal(3) }, want: []Promise{Coverage}},
		"no reason": {inject: func(_ *evidence, a *wire.Answer) {
			a.GetCoverage().GetMissing()[0].SetReason(wire.Reason_REASON_UNSPECIFIED)
		}, want: []Promise{Coverage}},
		"crossed answer":    {inject: func(e *evidence, a *wire.Answer) { a.SetHits(e.merge(other, 1, []int{0, 1, 2})) }, want: []Promise{OwnReplies}},
		"truncated":         {inject: func(_ *evidence, a *wire.Answer) { a.SetHits(a.GetHits()[:5]) }, want: []Promise{OwnReplies}},
		"not run with hits": {inject: func(_ *evidence, a *wire.Answer) { a.SetRun(wire.RunState_RUN_STATE_NOT_RUN) }, want: []Promise{Coverage}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &evidence{collection: collection, shardCounts: map[uint64]int{1: 4, 2: 4}}
			answer := proto.Clone(validAnswer(e, query)).(*wire.Answer)
			test.inject(e, answer)
			e.records = []record{{query: query, answer: answer}}
			if got := promisesOf(e.violations()); !slices.Equal(got, test.want) {
				t.Errorf("got violations of %v, want %v", got, test.want)
			}
		})
	}
}

// claimFullCoverage changes an answer to state that all four shards are reflected, while its hits are those of three.
func claimFullCoverage(_ *evidence, a *wire.Answer) {
	a.GetCoverage().SetReflected(4)
	a.GetCoverage().SetMissing(nil)
}

func promisesOf(found []Violation) []Promise {
	var all []Promise
	for _, v := range found {
		all = append(all, v.Promise)
	}
	return all
}

// TestCheckFindsPlantedRuns guards against a checker that does not detect a run of a refused request, a second run of a
// non-idempotent request, new work at a leaving searcher, or an incomplete run log. The runs come from a stand-in.
func TestCheckFindsPlantedRuns(t *testing.T) {
	runs := duplicateRuns(t)
	once := newQuery(&Load{Plan: "urgent-1", Deadline: time.Second, NonIdempotent: true}, testText)
	refused := wire.Answer_builder{Run: wire.RunState_RUN_STATE_NOT_RUN, Reason: wire.Reason_REASON_ADMISSION}.Build()
	unknown := wire.Answer_builder{Run: wire.RunState_RUN_STATE_UNKNOWN, Reason: wire.Reason_REASON_DEADLINE}.Build()
	began := runs[0].Started()
	tests := map[string]struct {
		answers []*wire.Answer
		log     searcherLog
		want    []Promise
	}{
		"ran once":                {answers: []*wire.Answer{unknown}, log: searcherLog{runs: runs[:1]}},
		"refused and not run":     {answers: []*wire.Answer{refused}, log: searcherLog{}},
		"ran after a refusal":     {answers: []*wire.Answer{refused, unknown}, log: searcherLog{runs: runs[:1]}},
		"refused yet run":         {answers: []*wire.Answer{refused}, log: searcherLog{runs: runs[:1]}, want: []Promise{NotRun}},
		"ran twice":               {answers: []*wire.Answer{unknown}, log: searcherLog{runs: runs}, want: []Promise{AtMostOnce}},
		"left just before":        {answers: []*wire.Answer{unknown}, log: searcherLog{runs: runs[:1], leavingSince: began.Add(-leavingBound)}},
		"left long before":        {answers: []*wire.Answer{unknown}, log: searcherLog{runs: runs[:1], leavingSince: began.Add(-leavingBound - 1)}, want: []Promise{Leaving}},
		"refused work long after": {log: searcherLog{leavingSince: began, lastRefused: began.Add(leavingBound + 1)}, want: []Promise{Leaving}},
		"incomplete log":          {log: searcherLog{dropped: 1}, want: []Promise{Evidence}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &evidence{collection: collection, shardCounts: map[uint64]int{1: 1}, logs: []searcherLog{test.log}}
			for _, answer := range test.answers {
				e.records = append(e.records, record{query: once, answer: answer})
			}
			if got := promisesOf(e.violations()); !slices.Equal(got, test.want) {
				t.Errorf("got violations of %v, want %v", got, test.want)
			}
		})
	}
}

// duplicateRuns sends the same sub-request to a stand-in twice and returns its two runs.
func duplicateRuns(t *testing.T) []fakes.Run {
	t.Helper()
	fleet, err := fakes.StartFleet(fleetSettings(header{}, 1, fakes.Fixed{}))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	bare := newBareClient(fleet)
	defer bare.close()
	bare.searchers = bare.searchers[:1]
	for range 2 {
		if bare.call(0) != 1 {
			t.Fatal("got no reply from the stand-in, want one")
		}
	}
	runs := fleet.Searchers(collection)[0].Runs()
	if len(runs) != 2 {
		t.Fatalf("got %d runs, want 2", len(runs))
	}
	return runs
}

// TestArrivals guards against arrivals that are not determined by the seed, lie outside the time of the load, or miss its rate.
func TestArrivals(t *testing.T) {
	const perSecond = 1000
	for _, kind := range []string{arrivalsPoisson, arrivalsFixed} {
		l := Load{Arrivals: kind, From: time.Second, To: 11 * time.Second}
		times := arrivals(l, perSecond, rand.New(rand.NewPCG(1, 2)))
		if again := arrivals(l, perSecond, rand.New(rand.NewPCG(1, 2))); !slices.Equal(times, again) {
			t.Errorf("%s: got different arrivals from the same seed, want equal ones", kind)
		}
		if !slices.IsSorted(times) || times[0] < l.From || times[len(times)-1] >= l.To {
			t.Errorf("%s: got arrivals from %v to %v, want them in order within %v to %v", kind, times[0], times[len(times)-1], l.From, l.To)
		}
		// The number of Poisson arrivals has a standard deviation of 100; the seed is fixed.
		if got := float64(len(times)); math.Abs(got-10*perSecond) > 300 {
			t.Errorf("%s: got %v arrivals, want about %v", kind, got, 10*perSecond)
		}
	}
}

// TestDueShares guards against due shares that ignore the floors, the priority of ranks, the weights of plans, or that a plan offers
// less than its share.
func TestDueShares(t *testing.T) {
	all := benchPlans()
	offer := func(offers ...float64) []demand {
		var demands []demand
		for i, o := range offers {
			demands = append(demands, demand{plan: all[i], offered: o})
		}
		return demands
	}
	tests := map[string]struct {
		demands []demand
		want    []float64
	}{
		"enough for all":        {demands: offer(10, 10, 10, 10, 10, 10), want: []float64{10, 10, 10, 10, 10, 10}},
		"bulk flood":            {demands: offer(10, 10, 20, 0, 500, 500), want: []float64{10, 10, 20, 0, 20, 40}},
		"urgent flood":          {demands: offer(500, 500, 30, 0, 15, 0), want: []float64{25, 50, 20, 0, 5, 0}},
		"two urgent plans only": {demands: offer(500, 500, 0, 0, 0, 0), want: []float64{100. / 3, 200. / 3, 0, 0, 0, 0}},
		"small demand":          {demands: offer(10, 500, 0, 0, 0, 0), want: []float64{10, 90, 0, 0, 0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := dueShares(100, test.demands)
			for i, want := range test.want {
				if math.Abs(got[all[i].name]-want) > 1e-9 {
					t.Errorf("%s: got %v, want %v", all[i].name, got[all[i].name], want)
				}
			}
		})
	}
}

// TestScenariosAreValid guards against embedded scenarios that the tool rejects.
func TestScenariosAreValid(t *testing.T) {
	all, err := Scenarios()
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 12 {
		t.Errorf("got %d scenarios, want 12", len(all))
	}
}

// TestParseScenarioRefuses guards against misspelt keys that silently leave a default in effect.
func TestParseScenarioRefuses(t *testing.T) {
	const sound = "[scenario]\nduration = 1s\n[load a]\nplan = urgent-1\nrate = 1\n[window w]\nfrom = 0s\nto = 1s\n"
	if _, err := ParseScenario("sound.ini", []byte(sound)); err != nil {
		t.Fatal(err)
	}
	tests := map[string]string{
		"unknown key":     strings.Replace(sound, "rate = 1", "rat = 1", 1),
		"unknown section": sound + "[lod b]\n",
		"unknown plan":    strings.Replace(sound, "urgent-1", "urgent-9", 1),
		"unknown fault":   sound + "[fault f]\nkind = magic\n",
		"bad value":       strings.Replace(sound, "rate = 1", "rate = x", 1),
		"window too late": strings.Replace(sound, "to = 1s", "to = 2s", 1),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseScenario("test.ini", []byte(text)); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// TestTrial guards against a tool that cannot run a scenario, reports violations although the system keeps its promises, or
// omits a rank from the table.
func TestTrial(t *testing.T) {
	const text = "[scenario]\nduration = 600ms\n[load a]\nplan = urgent-1\nper_second = 20\narrivals = fixed\n" +
		"[load o]\nplan = bulk-1\nper_second = 10\narrivals = fixed\nonce = true\n[window w]\nfrom = 0s\nto = 600ms\n"
	s, err := ParseScenario("tiny.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	result, err := runTrial(context.Background(), s, allVariants()[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Violations) > 0 {
		t.Errorf("got violations %v, want none", result.Violations)
	}
	report := &Report{Results: []*Result{result}}
	report.evaluate()
	var table strings.Builder
	if err := report.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"tiny, full, seed 1", "urgent", "bulk", "violated promises"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("got a table without %q:\n%s", want, table.String())
		}
	}
}
