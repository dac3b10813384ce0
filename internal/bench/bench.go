// Package bench implements the load and experiment tool. It runs scenarios against stand-in searchers and real nodes in this
// process, compares the full policy with FIFO queues and with single mechanisms disabled, and checks the promises against
// all answers and run logs.
package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultSeed is the seed of all random numbers if the user sets none.
const DefaultSeed = 20261204

// Settings configure a run of the tool.
type Settings struct {
	// Scenarios are the names of the scenarios to run, in order; empty means all embedded scenarios.
	Scenarios []string
	// Ablate adds a comparison with each mechanism disabled.
	Ablate bool
	// Variants are the variants to compare; empty means those of the scenario.
	Variants []string
	// Seed is the random seed of arrivals, query texts and service times.
	Seed uint64
	// Scale is the factor by which all times of the scenarios are multiplied; 0 means 1.
	Scale float64
	// Progress receives a line after each trial; nil disables it.
	Progress io.Writer
}

// ErrUnknownName marks a scenario or a variant that the tool does not have.
var ErrUnknownName = errors.New("unknown name")

// Run runs the selected scenarios and returns the report.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	chosen, err := selectScenarios(settings)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	for _, s := range chosen {
		if err := report.run(ctx, s, settings); err != nil {
			return nil, errors.Wrap(err, s.name)
		}
	}
	if len(settings.Scenarios) == 0 || slices.Contains(settings.Scenarios, scenarioThroughput) {
		if report.Throughput, err = measureThroughput(ctx, settings); err != nil {
			return nil, errors.Wrap(err, scenarioThroughput)
		}
	}
	report.evaluate()
	return report, nil
}

func selectScenarios(settings Settings) ([]*Scenario, error) {
	all, err := Scenarios()
	if err != nil {
		return nil, err
	}
	if len(settings.Scenarios) == 0 {
		return all, nil
	}
	var chosen []*Scenario
	for _, name := range settings.Scenarios {
		if name == scenarioThroughput {
			continue
		}
		i := slices.IndexFunc(all, func(s *Scenario) bool { return s.name == name })
		if i < 0 {
			return nil, errors.Mark(errors.Newf("unknown scenario %q", name), ErrUnknownName)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// variants returns the variants to compare in a scenario: those in the settings, if any, and otherwise those of the scenario.
func (s Settings) variants(of *Scenario) ([]variant, error) {
	switch {
	case len(s.Variants) > 0:
		return namedVariants(s.Variants)
	case s.Ablate:
		return allVariants(), nil
	default:
		return variants(of.header.Variants)
	}
}

// run runs a scenario under each variant.
func (r *Report) run(ctx context.Context, s *Scenario, settings Settings) error {
	compared, err := settings.variants(s)
	if err != nil {
		return err
	}
	if settings.Scale > 0 {
		s = s.scaled(settings.Scale)
	}
	for _, v := range compared {
		began := time.Now()
		result, err := runTrial(ctx, s, v, settings.Seed)
		if err != nil {
			return err
		}
		r.Results = append(r.Results, result)
		if settings.Progress != nil {
			fmt.Fprintf(settings.Progress, "%s, %s: %v, %d promises violated\n", s.name, v.name, time.Since(began).Round(time.Millisecond), len(result.Violations))
		}
	}
	return nil
}
