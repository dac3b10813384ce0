package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// PlacementReport is where a request of a route would go now, and why. Times are in milliseconds.
type PlacementReport struct {
	Route string `json:"route"`
	// Target is single, split or gather.
	Target string `json:"target"`
	Rank   int    `json:"rank"`
	Safe   bool   `json:"safe"`
	// Restricted is set when only searchers in the regions in Homes may run the request.
	Restricted bool     `json:"restricted"`
	Homes      []string `json:"homes,omitempty"`
	// Goal and Deadline are the times from now by which an answer has its full value and is sent at the latest. TimeLeft is the time by which
	// searchers are compared.
	Goal     float64 `json:"goal_ms"`
	Deadline float64 `json:"deadline_ms"`
	TimeLeft float64 `json:"time_left_ms"`
	// Refusal is why the request would be refused at once, empty if it would not. It does not consider requests that crash searchers.
	Refusal   string             `json:"refusal,omitempty"`
	Admission AdmissionReport    `json:"admission"`
	Services  []ServicePlacement `json:"services"`
}

// AdmissionReport is the state of the admission control of a group of routes and what it would decide: run, wait or refuse. Limit is nil before
// the first request of the group.
type AdmissionReport struct {
	Decision string `json:"decision"`
	// Reason and RetryAfter are set for a refusal.
	Reason     string       `json:"reason,omitempty"`
	RetryAfter float64      `json:"retry_after_ms,omitempty"`
	Group      string       `json:"group"`
	Limit      *LimitReport `json:"limit,omitempty"`
}

// ServicePlacement is the choice for the part of a request that goes to a service.
type ServicePlacement struct {
	Service string `json:"service"`
	// Weight is the weight of the service in a split route, nil in others.
	Weight *float64 `json:"weight,omitempty"`
	// Refusal is why no searcher may be chosen, and Chosen the searcher that would be, one of which is empty.
	Refusal   string              `json:"refusal,omitempty"`
	Chosen    string              `json:"chosen,omitempty"`
	Searchers []SearcherPlacement `json:"searchers"`
}

// SearcherPlacement is what the choice makes of a searcher.
type SearcherPlacement struct {
	ID     string `json:"id"`
	Zone   string `json:"availability_zone"`
	Region string `json:"region"`
	// Verdict is chosen, or why another searcher is: what excludes this one, avoided, stalled or higher_cost.
	Verdict string `json:"verdict"`
	// MayBeChosen is set when the cost is so close to the least that the random part of a choice may prefer this searcher.
	MayBeChosen bool    `json:"may_be_chosen"`
	Latency     float64 `json:"expected_latency_ms"`
	Cost        float64 `json:"cost_ms"`
	// Queue is the number of service rounds of this node's requests ahead of the next one.
	Queue    float64 `json:"queue_rounds"`
	Failures float64 `json:"failure_share"`
	Stalled  bool    `json:"stalled"`
	Avoided  bool    `json:"avoided"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Placement reports where a request of a route would go now. timeout is how long its caller waits, 0 if it does not say. It changes no state.
func (e *Engine) Placement(now time.Time, r *route.Route, timeout time.Duration) PlacementReport {
	f := &fanout{engine: e, request: &Request{Route: r, Timeout: timeout}, started: now, minCoverage: 1}
	f.setTimes(now)
	policy, homes := r.Policy(), e.balancer.homes(r)
	report := PlacementReport{
		Route: r.Name(), Target: "single", Rank: policy.Rank, Safe: policy.Idempotent, Restricted: homes.Restricted(), Homes: homes.Regions(),
		Goal: milliseconds(policy.Goal), Deadline: milliseconds(f.end().Sub(now)), TimeLeft: milliseconds(f.timeLeft(now)),
		Admission: e.admissionReport(now, r, f.end()),
	}
	weights := make(map[string]float64)
	switch target := r.Target().(type) {
	case route.Gather:
		report.Target, f.minCoverage = "gather", target.MinCoverage
	case route.Split:
		// The next service is not looked up, since that would take it from the next request.
		report.Target, f.minCoverage = "split", 0
		for _, share := range target.Shares {
			weights[share.Service] += share.Weight
		}
	}
	for _, service := range r.Services() {
		p := part{service: service}
		placement := e.servicePlacement(now, f.demand(now, &p))
		weight, split := weights[service]
		if split {
			placement.Weight = &weight
		}
		report.Services = append(report.Services, placement)
		if !split || weight > 0 {
			f.parts = append(f.parts, p)
		}
	}
	if refusal := f.refusal(now); refusal != wire.Reason_REASON_UNSPECIFIED {
		report.Refusal = reason.Name(refusal)
	}
	return report
}

// admissionReport returns what admission control would decide about a request that arrives now and ends by the given time.
func (e *Engine) admissionReport(now time.Time, r *route.Route, end time.Time) AdmissionReport {
	report := AdmissionReport{Group: r.Group()}
	switch decision := e.PreviewAdmission(now, r, end).(type) {
	case intake.Run:
		report.Decision = "run"
	case intake.Wait:
		report.Decision = "wait"
	case intake.Refuse:
		report.Decision, report.Reason = "refuse", reason.Name(decision.Reason)
		report.RetryAfter = milliseconds(decision.After)
	}
	if known, ok := e.limiters.Load(r.Group()); ok {
		limit := limitReport(known.(*intake.Limiter).State(now))
		report.Limit = &limit
	}
	return report
}

// servicePlacement reports the choice among the searchers of a service, including those that a choice does not consider.
func (e *Engine) servicePlacement(now time.Time, d demand) ServicePlacement {
	table := e.balancer.current.Load()
	considered := table.byService[d.service]
	candidates := e.balancer.evaluate(now, considered, d, nil)
	typical := e.balancer.typicalServiceTime(candidates)
	for _, ep := range table.byKey {
		if ep.searcher.Service() != d.service || slices.Contains(considered, ep) {
			continue
		}
		c := candidate{endpoint: ep, state: ep.tracker.State(now), excluded: e.balancer.exclude(now, ep, d)}
		if c.excluded == notExcluded {
			// Another process has registered at the address.
			c.excluded = excludedReplaced
		}
		candidates = append(candidates, c)
	}
	for i := range candidates {
		candidates[i].assess(e.balancer, d, typical)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(min(int(a.excluded), 1)-min(int(b.excluded), 1), cmp.Compare(a.cost, b.cost), cmp.Compare(a.endpoint.searcher.ID(), b.endpoint.searcher.ID()))
	})
	placement := ServicePlacement{Service: d.service, Searchers: []SearcherPlacement{}}
	for i := range candidates {
		placement.Searchers = append(placement.Searchers, candidates[i].report(&candidates[0], e.balancer.location.Regions))
	}
	switch {
	case len(candidates) > 0 && candidates[0].excluded == notExcluded:
		placement.Chosen = candidates[0].endpoint.searcher.ID()
	default:
		placement.Refusal = reason.Name(absenceOf(candidates, table, d).exclusionReason())
	}
	return placement
}

// report returns the report on a candidate, compared with the first one in the order of preference.
func (c *candidate) report(first *candidate, regions map[string]string) SearcherPlacement {
	s := c.endpoint.searcher
	report := SearcherPlacement{
		ID: s.ID(), Zone: s.Zone(), Region: regions[s.Zone()], Latency: milliseconds(c.latency), Cost: milliseconds(c.cost),
		Queue: c.state.Queue, Failures: c.state.Failures, Stalled: c.state.Stalled, Avoided: c.state.Avoided,
		MayBeChosen: c.excluded == notExcluded && (c == first || float64(c.cost) < float64(first.cost)*(1+costJitter)),
	}
	switch {
	case c.excluded != notExcluded:
		report.Verdict = c.excluded.String()
	case c == first:
		report.Verdict = "chosen"
	case c.state.Avoided:
		report.Verdict = "avoided"
	case c.state.Stalled:
		report.Verdict = "stalled"
	default:
		report.Verdict = "higher_cost"
	}
	return report
}
