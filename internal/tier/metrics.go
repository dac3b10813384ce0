package tier

import (
	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"

	"github.com/fireflylanding/fireflylanding/internal/expo"
	"github.com/fireflylanding/fireflylanding/internal/relay"
)

// metricsPath serves the metrics of a node. adminMetricsPath serves them too, since the status command reads them there.
const (
	metricsPath      = "/metrics"
	adminMetricsPath = "/v1/metrics"
)

// metricsApp serves the metrics of the registry and the status report.
func (t *Tier) metricsApp() *fiber.App {
	app := fiber.New(appConfig)
	for _, path := range []string{metricsPath, adminMetricsPath} {
		app.Get(path, func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
			return expo.Write(c, t.registry)
		})
	}
	app.Get(placementPath, t.servePlacement)
	app.Get(statusPath, func(c fiber.Ctx) error { return c.JSON(t.Report(t.clock())) })
	return app
}

// registerGauges registers gauges of the node's state, which are read at each scrape.
func (t *Tier) registerGauges() {
	for name, read := range map[string]func() int64{
		"routes.version": func() int64 {
			if table := t.follower.Table(); table != nil {
				return int64(table.Version())
			}
			return 0
		},
		"store.revision":            func() int64 { return int64(t.follower.Position(t.clock()).Revision.Number()) },
		"store.era":                 func() int64 { return int64(t.follower.Position(t.clock()).Revision.Era()) },
		"store.age_ms":              func() int64 { return t.follower.Position(t.clock()).Age.Milliseconds() },
		"store.doubt_ms":            func() int64 { return t.follower.Position(t.clock()).RemovalHold.Milliseconds() },
		"searchers.reached_percent": func() int64 { return int64(100 * t.engine.Reach().Share()) },
		"searchers.known":           func() int64 { return int64(len(t.fleet.Snapshot().All())) },
		"nodes.known":               func() int64 { return int64(len(t.roster.Members())) },
		"nodes.live":                func() int64 { return int64(len(t.roster.Live(t.clock()))) },
		"nodes.active":              func() int64 { return int64(len(t.roster.Active(t.clock()))) },
		"quarantine.marks":          func() int64 { return int64(t.engine.QuarantineMarks()) },
		"quarantine.unconfirmed":    func() int64 { return int64(t.engine.UnconfirmedCrashes()) },
		"quarantine.dropped":        func() int64 { return int64(t.marks.Dropped()) },
		"intake.limit":              func() int64 { return t.minLimit() },
		"intake.waiting":            func() int64 { return t.sumLimits(func(l relay.LimitReport) int { return l.Waiting }) },
		"intake.running":            func() int64 { return t.sumLimits(func(l relay.LimitReport) int { return l.Running }) },
		"intake.overloaded": func() int64 {
			return t.sumLimits(func(l relay.LimitReport) int {
				if l.Overloaded {
					return 1
				}
				return 0
			})
		},
		"replies.bytes":       func() int64 { return t.engine.ReplyMemory() },
		"requests.in_flight":  func() int64 { return int64(t.engine.InFlight()) },
		"callers.bytes":       func() int64 { return t.guard.Used() },
		"callers.connections": func() int64 { return int64(t.edge.Connections()) },
	} {
		_ = t.registry.Register(name, metrics.NewFunctionalGauge(read))
	}
}

// minLimit returns the lowest limit on the work in flight, in requests of the costliest route, among the groups of routes, or 0 before the first query.
func (t *Tier) minLimit() int64 {
	least := 0.0
	for _, limit := range t.engine.Limits() {
		if least == 0 || limit.Limit < least {
			least = limit.Limit
		}
	}
	return int64(least)
}

// sumLimits returns the sum of a figure over all groups of routes.
func (t *Tier) sumLimits(figure func(relay.LimitReport) int) int64 {
	sum := 0
	for _, limit := range t.engine.Limits() {
		sum += figure(limit)
	}
	return int64(sum)
}
