package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/intake"
)

// LimitReport is the state of the admission limiter of a group of routes.
type LimitReport struct {
	// Limit and InFlight are in requests of the group's costliest route.
	Limit      float64 `json:"limit"`
	InFlight   float64 `json:"in_flight"`
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	Late       float64 `json:"late_share"`
	PerSecond  float64 `json:"per_second"`
	Latency    int64   `json:"latency_ms"`
	Overloaded bool    `json:"overloaded"`
}

// SearcherReport is the state of a searcher as this node observes it through its own requests. Times are in milliseconds.
type SearcherReport struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"availability_zone"`
	Leaving bool   `json:"leaving"`
	// Evacuated is set while the searcher's availability zone is evacuated.
	Evacuated bool `json:"evacuated"`
	// Latency is the mean latency without queueing of this node's requests, 0 while unknown. Age is the time since its last sample.
	Latency  int64   `json:"latency_ms"`
	Age      int64   `json:"age_ms"`
	Failures float64 `json:"failure_share"`
	Stalled  bool    `json:"stalled"`
	Avoided  bool    `json:"avoided"`
	// Connections is the number of connections that this node may open.
	Connections int `json:"connections"`
	// Limit is the number of requests a second that the searcher takes from all nodes together, absent while it names none.
	Limit *float64 `json:"limit_per_second,omitempty"`
	// ColdLeft is how much longer the searcher warms up, absent while it is warm or its service has no limit for cold searchers. ColdShare is the
	// number of requests a second that this node may send to it meanwhile.
	ColdLeft  *int64   `json:"cold_left_ms,omitempty"`
	ColdShare *float64 `json:"cold_share_per_second,omitempty"`
}

// Limits returns the state of the admission limiters by group of routes.
func (e *Engine) Limits() map[string]LimitReport {
	reports := make(map[string]LimitReport)
	e.limiters.Range(func(group, held any) bool {
		reports[group.(string)] = limitReport(held.(*intake.Limiter).State(e.clock()))
		return true
	})
	return reports
}

func limitReport(state intake.State) LimitReport {
	return LimitReport{Limit: state.Limit, InFlight: state.InFlight, Running: state.Running, Waiting: state.Waiting, Late: state.LateShare,
		PerSecond: state.PerSecond, Latency: state.Latency.Milliseconds(), Overloaded: state.Overloaded}
}

// Searchers returns the observed state of each searcher, sorted by service and id.
func (e *Engine) Searchers(now time.Time) []SearcherReport {
	var reports []SearcherReport
	for _, ep := range e.balancer.current.Load().byKey {
		state := ep.tracker.State(now)
		report := SearcherReport{
			ID: ep.searcher.ID(), Service: ep.searcher.Service(), Zone: ep.searcher.Zone(), Leaving: ep.searcher.Leaving(), Evacuated: ep.searcher.Evacuated(),
			Latency: state.Mean.Milliseconds(), Failures: state.Failures, Stalled: state.Stalled, Avoided: state.Avoided,
			Connections: ep.pool.Limit(),
		}
		if limit := ep.pacer.Limit(); limit.Named() {
			perSecond := limit.PerSecond()
			report.Limit = &perSecond
		}
		if ep.pacer.Cold(now) {
			left, share := ep.pacer.ColdLeft(now).Milliseconds(), ep.pacer.ColdShare()
			report.ColdLeft, report.ColdShare = &left, &share
		}
		if state.Mean > 0 {
			report.Age = state.Age.Milliseconds()
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b SearcherReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return reports
}
