package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// customerTrial is a run of all phases against one customer's fleet.
type customerTrial struct {
	testbed
	profile  customerProfile
	lists    customerLists
	settings CustomerSettings
	loads    []customerLoad
	growth   map[phase]customerCounters

	mu sync.Mutex
	// records holds the records of each load by its index in loads.
	records map[int][]record
}

func newCustomerTrial(profile customerProfile, lists customerLists, settings CustomerSettings) *customerTrial {
	return &customerTrial{
		profile:  profile,
		lists:    lists,
		settings: settings,
		loads:    customerLoads(profile, lists, settings.Scale),
		growth:   make(map[phase]customerCounters),
		records:  make(map[int][]record),
	}
}

func (t *customerTrial) start(ctx context.Context) error {
	options := local.Options{ZoneDelay: t.profile.zoneDelay, RegionDelay: t.profile.regionDelay}
	if err := t.startFleet(ctx, customerFleet(t.profile, t.lists, t.settings.Seed), options); err != nil {
		return err
	}
	t.caller.delay = t.profile.clientDelay
	return nil
}

// run sends all queries at their intended times, injects the faults, and waits for the last answer.
func (t *customerTrial) run(ctx context.Context) error {
	var tasks conc.WaitGroup
	t.startedAt = time.Now()
	for number := range t.loads {
		tasks.Go(func() { t.generate(ctx, number) })
	}
	var failed error
	tasks.Go(func() { failed = t.injectFaults(ctx) })
	tasks.Wait()
	if failed != nil {
		return errors.Wrap(failed, "fault")
	}
	return ctx.Err()
}

// injectFaults begins and ends the fault of each phase and reads the counters before and after the phase.
func (t *customerTrial) injectFaults(ctx context.Context) error {
	for _, p := range phases() {
		w := windowOf(p, t.settings.Scale)
		if !t.sleepUntil(ctx, w.From) {
			return nil
		}
		before := t.readCounters()
		t.beginFault(p)
		if !t.sleepUntil(ctx, w.To) {
			return nil
		}
		after := t.readCounters()
		t.growth[p] = after.since(before)
		if err := t.endFault(p); err != nil {
			return err
		}
	}
	return nil
}

// beginFault injects the fault of a phase: the first searcher of each collection slows down, or the last one crashes.
func (t *customerTrial) beginFault(p phase) {
	for _, c := range t.profile.fleet.Collections() {
		all := t.searchers.Searchers(c.Name())
		switch p {
		case phaseSlow:
			all[0].SetSlowdown(slowFactor)
		case phaseLost:
			all[len(all)-1].Crash()
		}
	}
}

// endFault removes the fault of a phase.
func (t *customerTrial) endFault(p phase) error {
	for _, c := range t.profile.fleet.Collections() {
		all := t.searchers.Searchers(c.Name())
		switch p {
		case phaseSlow:
			all[0].SetSlowdown(1)
		case phaseLost:
			if err := all[len(all)-1].Restart(); err != nil {
				return err
			}
		}
	}
	return nil
}

// customerCounters holds the sums of the counters of all nodes at one moment, or their growth.
type customerCounters struct {
	sent   int64
	needed int64
	// reasons counts refusals and further attempts by reason.
	reasons map[string]int
}

func (m customerCounters) since(before customerCounters) customerCounters {
	growth := customerCounters{sent: m.sent - before.sent, needed: m.needed - before.needed, reasons: make(map[string]int)}
	for name, count := range m.reasons {
		if more := count - before.reasons[name]; more > 0 {
			growth.reasons[name] = more
		}
	}
	return growth
}

func (t *customerTrial) readCounters() customerCounters {
	m := customerCounters{reasons: make(map[string]int)}
	for _, n := range t.nodes.Nodes() {
		attempts := n.Node().Attempts()
		m.sent += attempts.Sent()
		m.needed += attempts.Needed()
		for name, count := range n.Node().Counters().NonZero() {
			m.reasons[name] += int(count)
		}
	}
	return m
}

// generate sends the queries of a load at their intended times, however late answers arrive (open-loop load).
func (t *customerTrial) generate(ctx context.Context, number int) {
	l := &t.loads[number]
	random := rand.New(rand.NewPCG(t.settings.Seed, uint64(number)+1))
	var calls conc.WaitGroup
	defer calls.Wait()
	for i, at := range arrivals(l.Load, l.PerSecond, random) {
		query := newQuery(&l.Load, customerText(l, i, random))
		query.SetCollection(l.collection)
		if !t.sleepUntil(ctx, at) {
			return
		}
		calls.Go(func() { t.addRecords(number, t.ask(&l.Load, i, at, query)) })
	}
}

func (t *customerTrial) addRecords(number int, records []record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[number] = append(t.records[number], records...)
}

// violations returns the violations that the answers of one phase and the run logs show.
func (t *customerTrial) violations(p phase) []Violation {
	var found []Violation
	for _, c := range t.profile.fleet.Collections() {
		e := &evidence{collection: c.Name(), shardCounts: map[uint64]int{1: c.Shards()}}
		for number, l := range t.loads {
			if l.phase == p && l.collection == c.Name() {
				e.records = append(e.records, t.records[number]...)
			}
		}
		for _, s := range t.searchers.Searchers(c.Name()) {
			e.logs = append(e.logs, searcherLog{id: s.ID(), runs: s.Runs(), dropped: s.RunsDropped(), lastRefused: s.LastRefused()})
		}
		found = append(found, e.violations()...)
	}
	return found
}

// report decodes all answers and returns the results of the phases.
func (t *customerTrial) report() *CustomerReport {
	report := &CustomerReport{Customer: t.profile.name, Seed: t.settings.Seed}
	for _, records := range t.records {
		for i := range records {
			records[i].decode()
			if records[i].answer != nil {
				report.Checked++
			}
		}
	}
	for _, p := range phases() {
		report.Phases = append(report.Phases, t.phaseResult(p))
	}
	report.Summary = summarize(t.profile, report.Phases)
	return report
}

// phaseResult returns the result of a phase.
func (t *customerTrial) phaseResult(p phase) PhaseResult {
	seconds := windowOf(p, t.settings.Scale).seconds()
	growth := t.growth[p]
	result := PhaseResult{Name: string(p), Needed: growth.needed, Sent: growth.sent, Reasons: growth.reasons, Violations: t.violations(p)}
	rows := make(map[string]*customerTally)
	primary := newCustomerTally()
	lag := newHistogram()
	for number := range t.loads {
		l := &t.loads[number]
		if l.phase != p {
			continue
		}
		for i := range t.records[number] {
			_ = lag.RecordValue(max(1, t.records[number][i].lag.Microseconds()))
		}
		name := t.lists.rank(l.Plan).String()
		if l.NonIdempotent {
			name = rowOrders
		}
		if _, ok := rows[name]; !ok {
			rows[name] = newCustomerTally()
		}
		rows[name].addAll(t.records[number])
		if !l.NonIdempotent && t.isPrimary(l.Plan) {
			primary.addAll(t.records[number])
		}
	}
	for _, name := range rowNames() {
		if row, ok := rows[name]; ok {
			result.Rows = append(result.Rows, row.row(name, seconds))
		}
	}
	result.LagP99 = milliseconds(lag, 99)
	result.Primary = primary.row("weighted", seconds).RankResult
	return result
}

func (t *customerTrial) isPrimary(plan string) bool {
	for _, name := range t.profile.primaryPlans {
		if name == plan && t.lists.rank(plan) == plans.Urgent {
			return true
		}
	}
	return false
}
