// Package relay runs callers' requests at searchers: it fans a request out over the services that its route names, repeats and hedges
// attempts within a budget that all nodes share, and answers with one reply or with the merged records of the shards.
package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/budget"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Budget bounds the attempts beyond the first of each request, for each service and over all nodes.
type Budget struct {
	// Share is the part of the requests to a service, and Allowance the number beyond it, that all nodes together may add within Window.
	Share     float64
	Allowance float64
	Window    time.Duration
}

// budgetMargin keeps the nodes' sum below the bound while their windows differ.
const budgetMargin = 0.8

// Engine is safe for concurrent use.
type Engine struct {
	codec  Codec
	budget atomic.Pointer[Budget]
	// marked passes marks of requests that crash searchers on to other nodes.
	marked   atomic.Pointer[func([]*wire.QuarantineMark)]
	grid     *grid
	crashes  *crashes
	logger   *events.Logger
	counters *reason.Counters
	clock    func() time.Time

	// windows holds the budget of each service that this node used.
	windows sync.Map
	// limiters holds the limiter of each group of routes over shards.
	limiters sync.Map
	// nodes is the number of nodes that share the budget.
	nodes atomic.Int64
	// active is set when callers are sent to this node.
	active    atomic.Bool
	inFlight  atomic.Int64
	tasks     conc.WaitGroup
	attempts  metrics.Counter
	hedges    metrics.Counter
	latencies *latencies

	// load is the moving average of Load, as of loadAt when loadAttempts had been sent.
	load         float64
	loadAt       time.Time
	loadAttempts int64
}

// New returns an engine without searchers. Dial opens connections to them.
func New(codec Codec, b Budget, place Location, marks *quar.Table, dial func(ctx context.Context, address string) (net.Conn, error),
	logger *events.Logger, counters *reason.Counters, registry metrics.Registry, clock func() time.Time) *Engine {
	e := &Engine{
		codec:     codec,
		grid:      newGrid(place, dial),
		crashes:   newCrashes(marks),
		logger:    logger,
		counters:  counters,
		clock:     clock,
		latencies: newLatencies(registry),
		attempts:  metrics.NewRegisteredCounter("relay.attempts", registry),
		hedges:    metrics.NewRegisteredCounter("relay.hedges", registry),
	}
	e.budget.Store(&b)
	e.nodes.Store(1)
	return e
}

// Update makes the engine use the searchers of a snapshot and the services of a table.
func (e *Engine) Update(snapshot *fleet.Snapshot, table *route.Table) {
	e.forgetLimiters(table)
	for _, gone := range e.grid.update(snapshot, table) {
		e.searcherEnded(e.clock(), gone)
	}
}

// SetNodes gives this node its share of the searchers' connections and of the budget of repeats.
func (e *Engine) SetNodes(nodes NodeCounts) {
	e.nodes.Store(int64(max(nodes.Active, 1)))
	e.active.Store(nodes.SelfActive && !nodes.Discovering)
	e.grid.share(nodes)
}

// SetBudget changes the share and the allowance of repeats; the window stays.
func (e *Engine) SetBudget(b Budget) { e.budget.Store(&b) }

// Tick closes idle connections whose life has ended, and opens others in advance on a node that callers are sent to.
func (e *Engine) Tick(ctx context.Context, now time.Time) {
	e.grid.trim(now)
	if e.active.Load() {
		e.grid.warm(ctx, now, func(f func()) { e.tasks.Go(f) })
	}
}

// attemptCost turns attempts into load. It is twice the processor time of an attempt on the users' bench, all work of a node included.
const attemptCost = 150 * time.Microsecond

// loadWeight is the weight of the latest interval in the load.
const loadWeight = 0.3

// Load returns the part of a core that attempts take, as a moving average over calls. One goroutine calls it.
func (e *Engine) Load(now time.Time) float64 {
	attempts := e.attempts.Count()
	if elapsed := now.Sub(e.loadAt); !e.loadAt.IsZero() && elapsed > 0 {
		latest := float64(attempts-e.loadAttempts) * float64(attemptCost) / float64(elapsed)
		e.load += (latest - e.load) * loadWeight
	}
	e.loadAt, e.loadAttempts = now, attempts
	return e.load
}

// InFlight returns the number of requests that wait for their answer.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Serve runs a request and returns its answer, at the latest when the caller's patience or the route's time ends.
func (e *Engine) Serve(now time.Time, request *Request) Answer {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	f := newFlight(e, now, request)
	if e.crashes.suspected(now, f.fingerprint) {
		// A request that comes again after it lost a searcher is no bystander.
		e.tellOthers(now, f.fingerprint)
	}
	if e.crashes.quarantined(now, f.fingerprint) {
		return f.turnAway(wire.Reason_REASON_QUARANTINED)
	}
	if f.limiter == nil {
		return f.run()
	}
	return f.runLimited()
}

// limiter returns the limiter of the queries that share shards with those of a route, nil for a route to one service.
func (e *Engine) limiter(r *route.Route) *intake.Limiter {
	if _, ok := r.Target().(route.Gather); !ok {
		return nil
	}
	if l, ok := e.limiters.Load(r.Group()); ok {
		return l.(*intake.Limiter)
	}
	l, _ := e.limiters.LoadOrStore(r.Group(), intake.New())
	return l.(*intake.Limiter)
}

// forgetLimiters drops the limiters of groups that a table no longer has.
func (e *Engine) forgetLimiters(table *route.Table) {
	groups := make(map[string]bool)
	for _, r := range table.Routes() {
		groups[r.Group()] = true
	}
	e.limiters.Range(func(group, _ any) bool {
		if !groups[group.(string)] {
			e.limiters.Delete(group)
		}
		return true
	})
}

func (e *Engine) window(service string) *budget.Window {
	if w, ok := e.windows.Load(service); ok {
		return w.(*budget.Window)
	}
	w, _ := e.windows.LoadOrStore(service, budget.NewWindow(e.budget.Load().Window))
	return w.(*budget.Window)
}

// extra reports whether the budget allows another attempt at a service, and spends it.
func (e *Engine) extra(now time.Time, service string) bool {
	bound := e.budget.Load()
	allowance := budgetMargin * bound.Allowance / float64(e.nodes.Load())
	return e.window(service).TryExtra(now, budgetMargin*bound.Share, allowance)
}

// count records the reason of a failed attempt.
func (e *Engine) count(r wire.Reason) {
	if r != wire.Reason_REASON_UNSPECIFIED {
		e.counters.Add(r)
	}
}
