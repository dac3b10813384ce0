package relay

import (
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/wire"
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

// observeMalformed logs a reply that was not a valid HTTP response.
func (e *Engine) observeMalformed(a *attempt, request *Request, r result) {
	if r.reason == wire.Reason_REASON_REPLY_MALFORMED {
		e.logger.Log(wire.Event_EVENT_REPLY_MALFORMED, zap.String("searcher", a.endpoint.searcher.ID()), zap.String("request", request.ID), zap.Error(r.err))
	}
}

// observeLeaving stops sending requests to a searcher whose reply states that it leaves.
func (e *Engine) observeLeaving(a *attempt, r result) {
	if r.response == nil || !r.head.Leaving || r.reason == wire.Reason_REASON_WRONG_SEARCHER {
		return
	}
	if a.endpoint.leave() {
		e.logger.Log(wire.Event_EVENT_SEARCHER_LEAVING, zap.String("searcher", a.endpoint.searcher.ID()))
	}
}

// observePause records that a searcher which turned a request away wants no requests for a while.
func (e *Engine) observePause(now time.Time, a *attempt, r result) {
	if r.response == nil || r.head.RetryAfter == 0 || r.response.StatusCode() != fasthttp.StatusServiceUnavailable {
		return
	}
	if a.endpoint.pacer.Pause(now, r.head.RetryAfter) {
		e.logger.Log(wire.Event_EVENT_SEARCHER_PAUSED, zap.String("searcher", a.endpoint.searcher.ID()), zap.Duration("pause", r.head.RetryAfter))
	}
}

// observeLimit records the limit that a searcher names in its reply.
func (e *Engine) observeLimit(now time.Time, a *attempt, r result) {
	if r.response == nil || r.reason == wire.Reason_REASON_WRONG_SEARCHER {
		return
	}
	if !a.endpoint.pacer.Observe(now, a.sentAt, r.head.Limit) {
		return
	}
	if searcher := zap.String("searcher", a.endpoint.searcher.ID()); r.head.Limit.Named() {
		e.logger.Log(wire.Event_EVENT_LIMIT_NAMED, searcher, zap.Float64("per_second", r.head.Limit.PerSecond()))
	} else {
		e.logger.Log(wire.Event_EVENT_LIMIT_ENDED, searcher)
	}
}

// observeLoad records the figures of work that a searcher reports in its reply.
func (e *Engine) observeLoad(now time.Time, a *attempt, r result) {
	if r.response == nil || r.reason == wire.Reason_REASON_WRONG_SEARCHER {
		return
	}
	if r.head.InvalidLoad {
		e.invalidLoads.Inc(1)
	}
	a.endpoint.tracker.ObserveLoad(now, r.head.Load)
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
