package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Result is the result of one trial.
type Result struct {
	Scenario   string         `json:"scenario"`
	Variant    string         `json:"variant"`
	Seed       uint64         `json:"seed"`
	Windows    []WindowResult `json:"windows"`
	Violations []Violation    `json:"violations"`
	// Checked is the number of answers that were checked.
	Checked int `json:"checked"`
	// LagP99 is the p99 of the delay with which the tool sent queries, in milliseconds. Latencies include the delay.
	LagP99 float64 `json:"lag_p99_ms"`
}

// WindowResult is the result of one window.
type WindowResult struct {
	Name     string         `json:"name"`
	Seconds  float64        `json:"seconds"`
	Ranks    []RankResult   `json:"ranks"`
	Plans    []PlanResult   `json:"plans"`
	Refusals map[string]int `json:"refusals"`
	Missing  map[string]int `json:"missing_shards"`
	// Needed is the number of first attempts, Sent that of all attempts, Hedges that of hedges, and Runs that of sub-requests that
	// occupied a slot of a searcher.
	Needed int64 `json:"needed"`
	Sent   int64 `json:"sent"`
	Hedges int64 `json:"hedges"`
	Runs   int64 `json:"runs"`
	// CPUPerSubQuery and ObjectsPerSubQuery are the microseconds of CPU time and the heap objects of the whole process,
	// including stand-ins and caller, for each attempt.
	CPUPerSubQuery     float64 `json:"cpu_us_per_sub_query"`
	ObjectsPerSubQuery float64 `json:"objects_per_sub_query"`
}

// RankResult is the result of the queries of one rank. Rates are in queries/s. Latencies are in milliseconds, from the intended
// send time, over all queries that were not refused.
type RankResult struct {
	Rank    string  `json:"rank"`
	Offered float64 `json:"offered"`
	// Goodput is the rate of complete answers within the deadline.
	Goodput float64 `json:"goodput"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	// Samples is the number of queries whose latency was measured.
	Samples int64 `json:"samples"`
	// Coverage is the share of shards that are reflected in answers, Complete the share of answers that reflect all shards.
	Coverage float64 `json:"coverage"`
	Complete float64 `json:"whole"`
	// Refused is the share of queries that were refused as not run, Failed the share without an answer or with an unknown outcome.
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
}

// PlanResult compares a plan's goodput with its due share of the window's goodput, in queries/s.
type PlanResult struct {
	Plan    string  `json:"plan"`
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	Due     float64 `json:"due"`
}

// Goodput returns the goodput of all ranks.
func (w WindowResult) Goodput() float64 {
	sum := 0.0
	for _, r := range w.Ranks {
		sum += r.Goodput
	}
	return sum
}

// Extra returns the ratio of further attempts to needed attempts.
func (w WindowResult) Extra() float64 { return ratio(float64(w.Sent-w.Needed), float64(w.Needed)) }

// Hedged returns the ratio of hedges to needed attempts.
func (w WindowResult) Hedged() float64 { return ratio(float64(w.Hedges), float64(w.Needed)) }

// Upstream returns the ratio of runs, as counted by the stand-ins, to needed attempts.
func (w WindowResult) Upstream() float64 { return ratio(float64(w.Runs), float64(w.Needed)) }

// Rank returns the result of a rank, or the zero value if the rank offered no load.
func (w WindowResult) Rank(rank plans.Rank) RankResult {
	for _, r := range w.Ranks {
		if r.Rank == rank.String() {
			return r
		}
	}
	return RankResult{}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// tally accumulates the records of one rank or plan.
type tally struct {
	latency   *hdrhistogram.Histogram
	offered   int
	answers   int
	complete  int
	timely    int
	shards    int
	reflected int
	refused   int
	failed    int
}

func newTally() *tally {
	return &tally{latency: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func (t *trial) result() *Result {
	for i := range t.records {
		t.records[i].decode()
	}
	evidence := t.evidence()
	result := &Result{Scenario: t.scenario.name, Variant: t.variant.name, Seed: t.seed, Violations: evidence.violations()}
	lag := newHistogram()
	for i := range t.records {
		_ = lag.RecordValue(max(1, t.records[i].lag.Microseconds()))
		if t.records[i].answer != nil {
			result.Checked++
		}
	}
	result.LagP99 = milliseconds(lag, 99)
	for _, w := range t.scenario.windows {
		result.Windows = append(result.Windows, t.windowResult(w))
	}
	return result
}

// windowResult returns the result of a window.
func (t *trial) windowResult(w Window) WindowResult {
	growth := t.growth(w)
	result := WindowResult{
		Name:               w.name,
		Seconds:            w.seconds(),
		Refusals:           make(map[string]int),
		Missing:            make(map[string]int),
		Needed:             growth.needed,
		Sent:               growth.sent,
		Hedges:             growth.hedges,
		Runs:               growth.runs,
		CPUPerSubQuery:     ratio(float64(growth.cpu.Microseconds()), float64(growth.sent)),
		ObjectsPerSubQuery: ratio(float64(growth.objects), float64(growth.sent)),
	}
	ranks := make(map[plans.Rank]*tally)
	byPlan := make(map[string]*tally)
	for i := range t.records {
		r := &t.records[i]
		if r.repeated || !w.contains(r.intended) {
			continue
		}
		rank, _ := rankOf(r.load.Plan)
		for _, sum := range []*tally{getOrCreate(ranks, rank), getOrCreate(byPlan, r.load.Plan)} {
			sum.add(r)
		}
		result.count(r)
	}
	for _, rank := range plans.Ranks() {
		if sum, ok := ranks[rank]; ok {
			result.Ranks = append(result.Ranks, sum.rank(rank, w.seconds()))
		}
	}
	result.Plans = planResults(byPlan, result.Goodput(), w.seconds())
	return result
}

func getOrCreate[K comparable](tallies map[K]*tally, key K) *tally {
	sum, ok := tallies[key]
	if !ok {
		sum = newTally()
		tallies[key] = sum
	}
	return sum
}

// count counts refusals and missing shards by reason.
func (w *WindowResult) count(r *record) {
	if r.answer == nil {
		w.Refusals["no answer"]++
		return
	}
	if r.answer.GetRun() != wire.RunState_RUN_STATE_RUN {
		w.Refusals[reason.Name(r.answer.GetReason())]++
	}
	for _, missing := range r.answer.GetCoverage().GetMissing() {
		w.Missing[reason.Name(missing.GetReason())]++
	}
}

// add adds one record to the tally.
func (s *tally) add(r *record) {
	s.offered++
	if r.answer != nil && r.answer.GetRun() == wire.RunState_RUN_STATE_NOT_RUN {
		s.refused++
		return
	}
	_ = s.latency.RecordValue(max(1, r.latency.Microseconds()))
	if r.answer == nil || r.answer.GetRun() != wire.RunState_RUN_STATE_RUN {
		s.failed++
		return
	}
	coverage := r.answer.GetCoverage()
	s.answers++
	s.shards += int(coverage.GetTotal())
	s.reflected += int(coverage.GetReflected())
	if coverage.GetReflected() < coverage.GetTotal() {
		return
	}
	s.complete++
	if r.latency <= r.load.Deadline {
		s.timely++
	}
}

func (s *tally) rank(rank plans.Rank, seconds float64) RankResult {
	return RankResult{
		Rank:     rank.String(),
		Offered:  float64(s.offered) / seconds,
		Goodput:  float64(s.timely) / seconds,
		P50:      milliseconds(s.latency, 50),
		P99:      milliseconds(s.latency, 99),
		P999:     milliseconds(s.latency, 99.9),
		Samples:  s.latency.TotalCount(),
		Coverage: ratio(float64(s.reflected), float64(s.shards)),
		Complete: ratio(float64(s.complete), float64(s.answers)),
		Refused:  ratio(float64(s.refused), float64(s.offered)),
		Failed:   ratio(float64(s.failed), float64(s.offered)),
	}
}

func planResults(byPlan map[string]*tally, goodput, seconds float64) []PlanResult {
	var demands []demand
	for _, p := range benchPlans() {
		if sum, ok := byPlan[p.name]; ok {
			demands = append(demands, demand{plan: p, offered: float64(sum.offered) / seconds})
		}
	}
	due := dueShares(goodput, demands)
	var results []PlanResult
	for _, d := range demands {
		results = append(results, PlanResult{
			Plan:    d.plan.name,
			Offered: d.offered,
			Goodput: float64(byPlan[d.plan.name].timely) / seconds,
			Due:     due[d.plan.name],
		})
	}
	return results
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
