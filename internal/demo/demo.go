// Package demo runs the whole system in one process: stand-ins of the platform and the searchers, six nodes in three regions,
// and callers of three ranks. A straggler, the loss of a replica and an index change occur while queries run.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/pkg/client"
)

const (
	nodesPerRegion = 2
	collection     = "care-desk"
	// stragglerSlowdown is the factor by which the service time of one searcher is multiplied.
	stragglerSlowdown = 10
	// nextSnapshot is the index snapshot that is published after two thirds of the queries; it has nextShards shards.
	nextSnapshot = 2
	nextShards   = 12
	callers      = 8
	deadline     = time.Second
	zoneDelay    = 500 * time.Microsecond
	regionDelay  = 12 * time.Millisecond
	// startTimeout bounds the time in which the fleet starts.
	startTimeout = 20 * time.Second
)

// Settings configure a demo.
type Settings struct {
	// Queries is the total number of queries of all ranks.
	Queries int
	// Progress receives a progress line that is overwritten while the queries run; nil disables it.
	Progress io.Writer
}

// Run runs the demo and writes its report to w. It returns an error if the fleet does not start, a query fails other than by a refusal,
// or an answer states an inconsistent coverage.
func Run(ctx context.Context, w io.Writer, settings Settings) error {
	var s *session
	var err error
	if s, err = start(ctx); err != nil {
		return err
	}
	defer s.close()
	if err = s.showDirectory(ctx, w); err != nil {
		return err
	}
	if err = s.showAnswer(ctx, w); err != nil {
		return err
	}
	if err = s.runLoad(ctx, settings); err != nil {
		return err
	}
	s.showTable(w)
	return nil
}

// session is one run of the demo.
type session struct {
	searchers *fakes.Fleet
	nodes     *local.Fleet
	client    *client.Client
	ranks     [plans.NumRanks]*rankResult
}

// rankResult accumulates the outcomes of the queries of one rank.
type rankResult struct {
	latency   *hdrhistogram.Histogram
	answers   int
	complete  int
	refused   int
	shards    int
	reflected int
}

func newRankResult() *rankResult {
	return &rankResult{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func start(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s := &session{}
	var err error
	if s.searchers, err = fakes.StartFleet(fakes.Nykterida()); err != nil {
		return nil, err
	}
	s.nodes = local.New(s.searchers, local.Options{ZoneDelay: zoneDelay, RegionDelay: regionDelay})
	for i := range s.ranks {
		s.ranks[i] = newRankResult()
	}
	if err = s.nodes.StartPerRegion(ctx, nodesPerRegion); err != nil {
		s.close()
		return nil, err
	}
	settings := client.Settings{
		Addresses:        s.nodes.Addresses(),
		Caller:           "demo",
		AvailabilityZone: "attica-a",
	}
	if s.client, err = client.New(settings); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() {
	if s.client != nil {
		s.client.Close()
	}
	s.nodes.Close()
	s.searchers.Close()
}

// planOf returns the plan of a rank in the lists of the stand-in fleet.
func planOf(rank plans.Rank) string { return "nykterida-" + rank.String() }

// runLoad sends the queries in three phases. One searcher is slow from the start, another crashes before the second phase, and a new
// index snapshot is published before the third.
func (s *session) runLoad(ctx context.Context, settings Settings) error {
	replicas := s.searchers.Searchers(collection)
	third := settings.Queries / 3
	replicas[0].SetSlowdown(stragglerSlowdown)
	if err := s.runPhase(ctx, settings, 0, third); err != nil {
		return err
	}
	replicas[1].Crash()
	if err := s.runPhase(ctx, settings, third, 2*third); err != nil {
		return err
	}
	if err := s.searchers.PublishSnapshot(collection, nextSnapshot, nextShards); err != nil {
		return err
	}
	return s.runPhase(ctx, settings, 2*third, settings.Queries)
}

// outcome is the outcome of one query.
type outcome struct {
	rank   plans.Rank
	took   time.Duration
	answer client.Answer
	err    error
}

// runPhase sends the queries with numbers in [from, to) from several callers and adds their outcomes to the results.
func (s *session) runPhase(ctx context.Context, settings Settings, from, to int) error {
	results := pool.NewWithResults[outcome]().WithMaxGoroutines(callers)
	for i := from; i < to; i++ {
		results.Go(func() outcome {
			if settings.Progress != nil {
				fmt.Fprintf(settings.Progress, "\rquery %d of %d", i+1, settings.Queries)
			}
			return s.ask(ctx, i)
		})
	}
	for _, result := range results.Wait() {
		if err := s.addOutcome(result); err != nil {
			return err
		}
	}
	if settings.Progress != nil && to == settings.Queries {
		fmt.Fprint(settings.Progress, "\r                         \r")
	}
	return nil
}

func (s *session) ask(ctx context.Context, number int) outcome {
	rank := plans.Ranks()[number%plans.NumRanks]
	began := time.Now()
	question := client.NewQuestion(planOf(rank), collection, fmt.Sprintf("lamp %d", number), client.WithDeadline(deadline))
	answer, err := s.client.Ask(ctx, question)
	return outcome{rank: rank, took: time.Since(began), answer: answer, err: err}
}

func (s *session) addOutcome(result outcome) error {
	r := s.ranks[result.rank]
	if result.err != nil {
		if client.AsRefusal(result.err) == nil {
			return errors.Wrap(result.err, "ask")
		}
		r.refused++
		return nil
	}
	coverage := result.answer.Coverage()
	if coverage.Reflected()+len(coverage.Missing()) != coverage.Total() {
		return errors.Newf("an answer states %d shards reflected and %d missing of %d", coverage.Reflected(), len(coverage.Missing()), coverage.Total())
	}
	r.answers++
	r.reflected += coverage.Reflected()
	r.shards += coverage.Total()
	if coverage.Complete() {
		r.complete++
	}
	return r.latency.RecordValue(result.took.Microseconds())
}
