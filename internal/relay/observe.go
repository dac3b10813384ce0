package relay

import (
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxRoutes bounds the routes with histograms of their own; further routes share "others".
	maxRoutes = 64
	// Each histogram is an exponentially decaying reservoir that covers a few minutes.
	sampleSize  = 512
	sampleDecay = 0.015
)

// latencies holds a latency histogram in microseconds for each route, rank and outcome.
type latencies struct {
	registry metrics.Registry

	mu     sync.Mutex
	routes map[string]bool
	byName map[string]metrics.Histogram
}

func newLatencies(registry metrics.Registry) *latencies {
	return &latencies{registry: registry, routes: make(map[string]bool), byName: make(map[string]metrics.Histogram)}
}

func (l *latencies) histogram(route string, rank int, outcome string) metrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.routes[route] {
		if len(l.routes) >= maxRoutes {
			route = "others"
		}
		l.routes[route] = true
	}
	name := fmt.Sprintf("relay.latency_us.%s.rank%d.%s", route, rank, outcome)
	h, ok := l.byName[name]
	if !ok {
		h = metrics.NewRegisteredHistogram(name, l.registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
		l.byName[name] = h
	}
	return h
}

// observe records the latency of a request under its outcome.
func (e *Engine) observe(f *fanout, now time.Time, answer Answer) {
	outcome := "served"
	switch answer := answer.(type) {
	case Refused:
		outcome = "failed"
		if answer.NotRun {
			outcome = "refused"
		}
	case Merged:
		if answer.Missing > 0 {
			outcome = "partial"
		}
	case Forwarded:
		if f.succeeded == 0 {
			outcome = "failed"
		}
	}
	policy := f.request.Route.Policy()
	e.latencies.histogram(f.request.Route.Name(), policy.Rank, outcome).Update(now.Sub(f.started).Microseconds())
}
