package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/intake"
)

// LimitReport shows the bound on the queries in flight of a group of routes.
type LimitReport struct {
	Limit    int     `json:"limit"`
	InFlight int     `json:"in_flight"`
	Waiting  int     `json:"waiting"`
	Late     float64 `json:"late_share"`
}

// SearcherReport shows what this node believes of a searcher from its own requests. Times are in milliseconds.
type SearcherReport struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"availability_zone"`
	Leaving bool   `json:"leaving"`
	// Latency is the mean without queues of this node, 0 while unknown, and Age the time since it was learned.
	Latency  int64   `json:"latency_ms"`
	Age      int64   `json:"age_ms"`
	Failures float64 `json:"failure_share"`
	Stalled  bool    `json:"stalled"`
	Avoided  bool    `json:"avoided"`
	// Connections is the number that this node may open.
	Connections int `json:"connections"`
}

// Limits returns the bounds on queries in flight by group of routes.
func (e *Engine) Limits() map[string]LimitReport {
	reports := make(map[string]LimitReport)
	e.limiters.Range(func(group, held any) bool {
		state := held.(*intake.Limiter).State()
		reports[group.(string)] = LimitReport{Limit: state.Limit, InFlight: state.InFlight, Waiting: state.Waiting, Late: state.LateShare}
		return true
	})
	return reports
}

// Searchers returns what this node believes of each searcher, by service and id.
func (e *Engine) Searchers(now time.Time) []SearcherReport {
	var reports []SearcherReport
	for _, s := range e.balancer.current.Load().byKey {
		state := s.tracker.State(now)
		report := SearcherReport{
			ID: s.searcher.ID(), Service: s.searcher.Service(), Zone: s.searcher.Zone(), Leaving: s.searcher.Leaving(),
			Latency: state.Mean.Milliseconds(), Failures: state.Failures, Stalled: state.Stalled, Avoided: state.Avoided,
			Connections: s.pool.Limit(),
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
