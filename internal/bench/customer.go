package bench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/plans"
)

const (
	// customerServiceTime is the mean service time of a sub-request. The rates in the example lists assume it.
	customerServiceTime = 10 * time.Millisecond
	// customerRunLog is the number of runs that a run log holds. It exceeds the runs of one searcher in a trial.
	customerRunLog = 1 << 15
	// listedShare is the fraction of the listed rates that is offered outside the flood.
	listedShare = 0.15
	// floodFactor is the bulk load offered in the flood, as a multiple of the collection's capacity.
	floodFactor = 5
	// orderRate is the rate of non-idempotent queries, in queries/s.
	orderRate = 5
	// slowFactor is the factor by which the service time of the slow searchers is multiplied.
	slowFactor = 10
)

// phase is a part of a customer's trial with its own fault or load.
type phase string

// Phases of a trial, in order.
const (
	phaseSteady phase = "steady"
	phaseSlow   phase = "slow-searcher"
	phaseLost   phase = "lost-replica"
	phaseFlood  phase = "bulk-flood"
)

const (
	// phaseLength is the measured duration of a phase. It begins when the fault or flood begins.
	phaseLength = 4 * time.Second
	// phaseGap is the unmeasured time after a phase in which the fleet recovers.
	phaseGap = time.Second
)

func phases() []phase { return []phase{phaseSteady, phaseSlow, phaseLost, phaseFlood} }

// CustomerSettings configure a trial of a customer's fleet.
type CustomerSettings struct {
	// Name is the name of the customer in lower case.
	Name string
	// Examples is the directory that holds the lists as NAME/plans.ini and NAME/uses.ini.
	Examples string
	// Seed is the random seed of arrivals, query texts and service times.
	Seed uint64
	// Scale is the factor by which the length of the phases is multiplied; 0 means 1.
	Scale float64
}

// customerProfile describes a customer: its fleet at the stated size, network latencies, deadlines and plans of interest.
type customerProfile struct {
	name        string
	fleet       fakes.FleetSettings
	zoneDelay   time.Duration
	regionDelay time.Duration
	clientDelay time.Duration
	deadline    time.Duration
	// orderPlan is the plan that sends non-idempotent queries, to orderCollection.
	orderPlan       string
	orderCollection string
	// primaryPlans are the plans that matter most to the customer; metric is what the summary compares for them.
	primaryPlans []string
	metric       primaryMetric
}

func customerProfiles() []customerProfile {
	return []customerProfile{
		{
			name: "nykterida", fleet: fakes.Nykterida(),
			zoneDelay: 500 * time.Microsecond, regionDelay: 12 * time.Millisecond, clientDelay: 3 * time.Millisecond,
			deadline: defaultDeadline, orderPlan: "dispatch", orderCollection: "dispatch-tool",
			primaryPlans: []string{"dispatch", "care"}, metric: tailMetric{},
		},
		{
			name: "swanline", fleet: fakes.Swanline(),
			zoneDelay: time.Millisecond, regionDelay: 20 * time.Millisecond, clientDelay: time.Millisecond,
			deadline: 800 * time.Millisecond, orderPlan: "rush", orderCollection: "dispatch-board",
			primaryPlans: []string{"archive", "rush"}, metric: coverageMetric{},
		},
	}
}

func findCustomer(name string) (customerProfile, error) {
	for _, p := range customerProfiles() {
		if p.name == name {
			return p, nil
		}
	}
	return customerProfile{}, errors.Mark(errors.Newf("unknown customer %q", name), ErrUnknownName)
}

// customerLists holds a customer's lists of plans and uses.
type customerLists struct {
	plans []plans.Plan
	uses  []plans.Use
}

// readLists reads the lists of a customer from a directory with the parser that nodes use.
func readLists(directory string) (customerLists, error) {
	planSections, err := readSections(directory, plans.PlansKey)
	if err != nil {
		return customerLists{}, err
	}
	useSections, err := readSections(directory, plans.UsesKey)
	if err != nil {
		return customerLists{}, err
	}
	p, err := plans.ParsePlans(1, planSections)
	if err != nil {
		return customerLists{}, err
	}
	u, err := plans.ParseUses(1, useSections)
	if err != nil {
		return customerLists{}, err
	}
	joined := plans.NewLists(p, u)
	var lists customerLists
	for _, name := range joined.PlanNames() {
		plan, _ := joined.Plan(name)
		lists.plans = append(lists.plans, plan)
		for _, collection := range joined.Collections() {
			if use, ok := joined.Use(name, collection); ok {
				lists.uses = append(lists.uses, use)
			}
		}
	}
	return lists, nil
}

func readSections(directory, key string) (map[string]string, error) {
	file := filepath.Join(directory, key+".ini")
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return conf.Split(file, data)
}

// rank returns the rank of a plan, which must be in the list.
func (l customerLists) rank(name string) plans.Rank {
	i := slices.IndexFunc(l.plans, func(p plans.Plan) bool { return p.Name() == name })
	return l.plans[i].Rank()
}

// flooded reports whether a use is flooded in the flood phase: its plan is bulk, and its collection also serves an urgent plan.
func (l customerLists) flooded(use plans.Use) bool {
	if l.rank(use.Plan()) != plans.Bulk {
		return false
	}
	return slices.ContainsFunc(l.uses, func(other plans.Use) bool {
		return other.Collection() == use.Collection() && l.rank(other.Plan()) == plans.Urgent
	})
}

// validate returns an error if the lists contain a collection that the customer does not have, or lack a plan that the trial needs.
func (p customerProfile) validate(lists customerLists) error {
	for _, use := range lists.uses {
		if customerCapacity(p.fleet, use.Collection()) == 0 {
			return errors.Newf("use %s/%s: %s has no such collection", use.Plan(), use.Collection(), p.name)
		}
	}
	for _, name := range append([]string{p.orderPlan}, p.primaryPlans...) {
		if !slices.ContainsFunc(lists.plans, func(plan plans.Plan) bool { return plan.Name() == name }) {
			return errors.Newf("the list of plans lacks %s", name)
		}
	}
	return nil
}

// customerLoad is the load of one use in one phase.
type customerLoad struct {
	Load
	collection string
	phase      phase
}

// windowOf returns the measured window of a phase.
func windowOf(p phase, scale float64) Window {
	length := time.Duration(float64(phaseLength) * scale)
	from := time.Duration(slices.Index(phases(), p)) * (length + phaseGap)
	return Window{name: string(p), From: from, To: from + length}
}

// customerLoads returns the loads of all phases.
func customerLoads(profile customerProfile, lists customerLists, scale float64) []customerLoad {
	regions := float64(len(profile.fleet.Regions()))
	var loads []customerLoad
	for _, p := range phases() {
		w := windowOf(p, scale)
		base := Load{Arrivals: arrivalsPoisson, From: w.From, To: w.To, Deadline: profile.deadline}
		for _, use := range lists.uses {
			l := base
			l.name = fmt.Sprintf("%s %s/%s", p, use.Plan(), use.Collection())
			l.Plan = use.Plan()
			l.PerSecond = use.QueriesPerSecond() * regions * listedShare
			if p == phaseFlood && lists.flooded(use) {
				l.PerSecond = floodFactor * customerCapacity(profile.fleet, use.Collection())
			}
			loads = append(loads, customerLoad{Load: l, collection: use.Collection(), phase: p})
		}
		l := base
		l.name = fmt.Sprintf("%s orders", p)
		l.Plan = profile.orderPlan
		l.PerSecond = orderRate
		l.NonIdempotent = true
		loads = append(loads, customerLoad{Load: l, collection: profile.orderCollection, phase: p})
	}
	return loads
}

// customerCapacity returns the queries/s that the slots of a collection can serve, or 0 if the fleet has no such collection.
func customerCapacity(fleet fakes.FleetSettings, name string) float64 {
	for _, c := range fleet.Collections() {
		if c.Name() == name {
			return float64(c.Replicas()*c.Slots()) / customerServiceTime.Seconds()
		}
	}
	return 0
}

// customerFleet returns the settings of a customer's stand-ins, which publish the lists.
func customerFleet(profile customerProfile, lists customerLists, seed uint64) fakes.FleetSettings {
	median := time.Duration(float64(customerServiceTime) / math.Exp(serviceSigma*serviceSigma/2))
	service := fakes.LogNormal{Median: median, Sigma: serviceSigma}
	var collections []fakes.CollectionSettings
	for _, c := range profile.fleet.Collections() {
		collections = append(collections, c.WithServiceTime(service).WithRunLog(customerRunLog))
	}
	return profile.fleet.WithCollections(collections...).WithPlans(lists.plans...).WithUses(lists.uses...).WithSeed(seed)
}

// RunCustomer runs all phases against the fleet of a customer at its stated size and returns the report.
func RunCustomer(ctx context.Context, settings CustomerSettings) (*CustomerReport, error) {
	profile, err := findCustomer(settings.Name)
	if err != nil {
		return nil, err
	}
	lists, err := readLists(filepath.Join(settings.Examples, profile.name))
	if err != nil {
		return nil, err
	}
	if err := profile.validate(lists); err != nil {
		return nil, err
	}
	if settings.Scale <= 0 {
		settings.Scale = 1
	}
	t := newCustomerTrial(profile, lists, settings)
	defer t.close()
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	if err := t.run(ctx); err != nil {
		return nil, err
	}
	return t.report(), nil
}

// customerText returns the text of a query. Half of the idempotent queries have repeated texts. Texts of different loads
// differ, so that runs in the run logs can be assigned to phases.
func customerText(l *customerLoad, i int, random *rand.Rand) string {
	if !l.NonIdempotent && i%2 == 0 {
		return fmt.Sprintf("%s popular %d", l.name, random.IntN(popularTexts))
	}
	return fmt.Sprintf("%s %d", l.name, i)
}

// primaryMetric is the metric that matters most to a customer: tailMetric or coverageMetric.
type primaryMetric interface{ primaryMetric() }

// tailMetric is the p99 relative to the p99 of the steady phase.
type tailMetric struct{}

// coverageMetric is the coverage of answers and the share of queries that were answered.
type coverageMetric struct{}

func (tailMetric) primaryMetric()     {}
func (coverageMetric) primaryMetric() {}

// summarize returns a line with the customer's primary metric in each phase.
func summarize(profile customerProfile, results []PhaseResult) string {
	var parts []string
	for _, r := range results {
		switch profile.metric.(type) {
		case tailMetric:
			parts = append(parts, fmt.Sprintf("%s %.1f ms (%.2f)", r.Name, r.Primary.P99, ratio(r.Primary.P99, results[0].Primary.P99)))
		case coverageMetric:
			parts = append(parts, fmt.Sprintf("%s %.2f%% (answered %.2f%%)", r.Name, 100*r.Primary.Coverage, 100*(1-r.Primary.Refused-r.Primary.Failed)))
		}
	}
	what := "coverage"
	if _, ok := profile.metric.(tailMetric); ok {
		what = "p99 (relative to steady)"
	}
	return fmt.Sprintf("%s: urgent %s of %s: %s", profile.name, what, strings.Join(profile.primaryPlans, " and "), strings.Join(parts, ", "))
}
