package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/node"
)

const (
	// startTimeout bounds the time in which a fleet starts.
	startTimeout = 30 * time.Second
	// settleTime is the time before the first query in which the nodes receive the documents.
	settleTime = 300 * time.Millisecond
	// popularTexts is the number of query texts that repeat; half of all queries have one of them.
	popularTexts = 64
	// resendEvery is the interval, in queries, at which a non-idempotent query is resent although its outcome is known.
	resendEvery = 4
)

// trial runs one scenario under one variant.
type trial struct {
	testbed
	scenario     *Scenario
	variant      variant
	seed         uint64
	shardCounts  map[uint64]int
	leavingSince map[string]time.Time
	// halfOpen holds the connections of a HalfOpen fault.
	halfOpen *halfOpen
	samples  []counters

	mu      sync.Mutex
	records []record
}

// runTrial runs a scenario under a variant and returns the result.
func runTrial(ctx context.Context, s *Scenario, v variant, seed uint64) (*Result, error) {
	t := &trial{scenario: s, variant: v, seed: seed, shardCounts: map[uint64]int{1: firstShards}, leavingSince: make(map[string]time.Time)}
	defer t.close()
	service := fakes.LogNormal{Median: serviceMedian, Sigma: serviceSigma}
	if err := t.start(ctx, service); err != nil {
		return nil, err
	}
	if err := t.runLoads(ctx); err != nil {
		return nil, err
	}
	return t.result(), nil
}

func (t *trial) start(ctx context.Context, service fakes.ServiceTime) error {
	var policies node.Policies
	t.variant.apply(&policies)
	options := local.Options{ZoneDelay: zoneDelay, RegionDelay: regionDelay, Policies: policies}
	return t.startFleet(ctx, fleetSettings(t.scenario.header, t.seed, service), options)
}

func (t *trial) close() {
	if t.halfOpen != nil {
		t.halfOpen.close()
	}
	t.testbed.close()
}

// runLoads sends all queries at their intended times, injects the faults, and waits for the last answer.
func (t *trial) runLoads(ctx context.Context) error {
	var tasks conc.WaitGroup
	t.startedAt = time.Now()
	for i := range t.scenario.loads {
		tasks.Go(func() { t.generate(ctx, i) })
	}
	var failed error
	tasks.Go(func() { failed = t.injectFaults(ctx) })
	tasks.Go(func() { t.sampleCounters(ctx) })
	tasks.Wait()
	if failed != nil {
		return errors.Wrap(failed, "fault")
	}
	return ctx.Err()
}

func (t *trial) injectFaults(ctx context.Context) error {
	for _, f := range t.scenario.schedule() {
		if !t.sleepUntil(ctx, f.at) {
			return nil
		}
		if err := t.inject(f.fault); err != nil {
			return err
		}
	}
	return nil
}

// generate sends the queries of a load at their intended times, however late answers arrive (open-loop load).
func (t *trial) generate(ctx context.Context, number int) {
	l := &t.scenario.loads[number]
	random := rand.New(rand.NewPCG(t.seed, uint64(number)+1))
	perSecond := l.PerSecond
	if perSecond == 0 {
		perSecond = l.Rate * Capacity()
	}
	var calls conc.WaitGroup
	defer calls.Wait()
	for i, at := range arrivals(*l, perSecond, random) {
		query := newQuery(l, text(l, i, random))
		if !t.sleepUntil(ctx, at) {
			return
		}
		calls.Go(func() { t.addRecords(t.ask(l, i, at, query)) })
	}
}

// text returns the text of query number i of a load. Each non-idempotent query has a text of its own, so that the run logs distinguish
// them, unless the load sets the text.
func text(l *Load, i int, random *rand.Rand) string {
	switch {
	case l.Text != "":
		return l.Text
	case !l.NonIdempotent && i%2 == 0:
		return fmt.Sprintf("popular %d", random.IntN(popularTexts))
	default:
		return fmt.Sprintf("%s %d", l.name, i)
	}
}

func (t *trial) addRecords(records []record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, records...)
}

// evidence collects the input of the checker after the trial.
func (t *trial) evidence() *evidence {
	e := &evidence{collection: collection, shardCounts: t.shardCounts, records: t.records}
	for _, s := range t.searchers.Searchers(collection) {
		e.logs = append(e.logs, searcherLog{
			id:           s.ID(),
			runs:         s.Runs(),
			dropped:      s.RunsDropped(),
			leavingSince: t.leavingSince[s.ID()],
			lastRefused:  s.LastRefused(),
		})
	}
	return e
}
