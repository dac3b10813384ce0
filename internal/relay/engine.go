// Package relay forwards callers' requests to searchers. It fans a request out to the services that its route names, retries and hedges
// attempts within a budget that all nodes share, and answers with a single reply or with the merged records of the shards.
package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/budget"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/meter"
	"github.com/fireflylanding/fireflylanding/internal/mono"
	"github.com/fireflylanding/fireflylanding/internal/reach"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Budget limits the extra attempts (retries and hedges) per service, summed over all nodes.
type Budget struct {
	// Share is the fraction of the requests to a service, and Allowance the number on top of it, that all nodes together may add within
	// Window.
	Share     float64
	Allowance float64
	Window    time.Duration
}

// budgetMargin scales each node's part of the budget so that the sum over all nodes stays below the limit although their windows differ.
const budgetMargin = 0.8

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	codec  Codec
	budget atomic.Pointer[Budget]
	// onMarks sends the quarantine marks of requests that crash searchers to other nodes.
	onMarks  atomic.Pointer[func([]*wire.QuarantineMark)]
	balancer *balancer
	crashes  *crashTracker
	logger   *events.Logger
	counters *reason.Counters
	clock    func() time.Time

	// budgetWindows maps each service that this node has used to its budget window.
	budgetWindows sync.Map
	// replies bounds the bytes of the replies in reading; replySizes maps each service to the size of its replies.
	replies    *meter.Budget
	replySizes sync.Map
	// limiters maps each group of routes to its limiter, overloaded the groups that refuse requests, as logged.
	limiters   sync.Map
	overloaded sync.Map
	// nodes is the number of nodes that share the budget.
	nodes atomic.Int64
	// active is set while callers are routed to this node.
	active   atomic.Bool
	inFlight atomic.Int64
	// endBy is the time as package mono has it by which all requests are answered, 0 unless the node stops.
	endBy atomic.Int64
	// reach is the share of the searchers that this node reaches, as of the last tick.
	reach atomic.Pointer[reach.Reach]
	// stranded is set while other nodes reach far more searchers. doubted is set while some node is known to reach few.
	stranded atomic.Bool
	doubted  atomic.Bool
	tasks    conc.WaitGroup
	attempts metrics.Counter
	hedges   metrics.Counter
	// trials counts the runs of quarantined requests, quarantinesEnded the quarantines that an answer at this node ended.
	trials           metrics.Counter
	quarantinesEnded metrics.Counter
	// coldSearchers is the number of searchers that warm up and are limited. invalidLoads counts the load figures that are not used.
	coldSearchers metrics.Gauge
	invalidLoads  metrics.Counter
	latencies     *latencies

	// load is the moving average that Load returns, as of loadAt; loadAttempts is the number of attempts sent by then.
	load         float64
	loadAt       time.Time
	loadAttempts int64
}

// New returns an engine without searchers. It opens connections to searchers with dial.
func New(codec Codec, b Budget, location Location, dial func(ctx context.Context, address string) (net.Conn, error),
	logger *events.Logger, counters *reason.Counters, registry metrics.Registry, clock func() time.Time) *Engine {
	e := &Engine{
		codec:     codec,
		replies:   meter.NewBudget(defaultReplyMemory),
		crashes:   newCrashTracker(),
		logger:    logger,
		counters:  counters,
		clock:     clock,
		latencies: newLatencies(registry),
		attempts:  metrics.NewRegisteredCounter("relay.attempts", registry),
		hedges:    metrics.NewRegisteredCounter("relay.hedges", registry),

		trials:           metrics.NewRegisteredCounter("quarantine.trials", registry),
		quarantinesEnded: metrics.NewRegisteredCounter("quarantine.ended", registry),

		coldSearchers: metrics.NewRegisteredGauge("searchers.cold", registry),
		invalidLoads:  metrics.NewRegisteredCounter("relay.invalid_loads", registry),
	}
	e.balancer = newBalancer(location, e.replies.Dialer(dial), clock)
	e.budget.Store(&b)
	e.nodes.Store(1)
	e.reach.Store(&reach.Unknown)
	return e
}

// defaultReplyMemory is the number of bytes that the replies in reading may take on a node whose memory is not known.
const defaultReplyMemory = 32 << 20

// SetReplyMemory sets the number of bytes that all replies in reading may take.
func (e *Engine) SetReplyMemory(bytes int64) { e.replies.SetLimit(bytes) }

// ReplyMemory returns the number of bytes that the replies in reading take.
func (e *Engine) ReplyMemory() int64 { return e.replies.Used() }

// Update installs the searchers of a snapshot and the services of a route table.
func (e *Engine) Update(snapshot *fleet.Snapshot, table *route.Table) {
	e.pruneLimiters(table)
	for _, ended := range e.balancer.update(snapshot, table) {
		e.searcherEnded(e.clock(), ended, unregistered)
	}
	for _, ended := range snapshot.Replaced() {
		e.searcherEnded(e.clock(), ended, replaced)
	}
}

// SetNodes recomputes this node's share of the searchers' connections and of the retry and hedge budget.
func (e *Engine) SetNodes(nodes NodeCounts) {
	e.nodes.Store(int64(nodes.sharing()))
	e.active.Store(nodes.SelfActive && !nodes.Discovering)
	e.balancer.setNodes(nodes)
}

// SetBudget changes the share and the allowance of extra attempts; the window stays.
func (e *Engine) SetBudget(b Budget) { e.budget.Store(&b) }

// Tick closes expired idle connections, adapts this node's shares of limits, gives up unconfirmed crashes, estimates its reach, logs changes of
// overload and of cold searchers, and opens connections in advance on a node that callers are routed to.
func (e *Engine) Tick(ctx context.Context, now time.Time) {
	e.balancer.maintain(now)
	e.observeCold(now)
	e.expireSuspicions(now)
	e.updateReach(now)
	e.observeOverload(now)
	if e.Reach().Low() || (e.doubted.Load() && !e.active.Load()) {
		e.balancer.probe(ctx, now, func(f func()) { e.tasks.Go(f) })
	}
	if e.active.Load() {
		e.balancer.warm(ctx, now, func(f func()) { e.tasks.Go(f) })
	}
}

// Reach returns the share of the searchers that this node reaches.
func (e *Engine) Reach() reach.Reach { return *e.reach.Load() }

// updateReach estimates the reach again, and logs when the node has lost most of its links or has them back.
func (e *Engine) updateReach(now time.Time) {
	before := e.Reach()
	current := e.balancer.reach(now, before)
	e.reach.Store(&current)
	switch {
	case current.Low() && !before.Low():
		e.logger.Log(wire.Event_EVENT_SEARCHERS_UNREACHED, zap.Float64("share", current.Share()))
	case before.Low() && !current.Low():
		e.logger.Log(wire.Event_EVENT_SEARCHERS_REACHED, zap.Float64("share", current.Share()))
	}
}

// CompareReach compares the reach of this node with the best of all nodes. doubted tells whether some node reaches few searchers, so that this
// node has to know its own reach.
func (e *Engine) CompareReach(best reach.Reach, doubted bool) {
	stranded := e.Reach().BelowOthers(best)
	if e.stranded.Swap(stranded) != stranded {
		event := wire.Event_EVENT_NODE_NOT_STRANDED
		if stranded {
			event = wire.Event_EVENT_NODE_STRANDED
		}
		e.logger.Log(event, zap.Float64("share", e.Reach().Share()), zap.Float64("best", best.Share()))
	}
	e.doubted.Store(doubted)
}

// Stranded reports whether this node has lost its links to searchers that other nodes reach.
func (e *Engine) Stranded() bool { return e.stranded.Load() }

// attemptCost converts attempts into load. It is twice the CPU time of an attempt on the users' bench, including all work of a node.
const attemptCost = 150 * time.Microsecond

// loadWeight is the weight of the latest interval in the moving average of the load.
const loadWeight = 0.3

// Load returns the CPU cores that attempts take, as a moving average over calls. It must be called from one goroutine only.
func (e *Engine) Load(now time.Time) float64 {
	attempts := e.attempts.Count()
	if elapsed := now.Sub(e.loadAt); !e.loadAt.IsZero() && elapsed > 0 {
		latest := float64(attempts-e.loadAttempts) * float64(attemptCost) / float64(elapsed)
		e.load += (latest - e.load) * loadWeight
	}
	e.loadAt, e.loadAttempts = now, attempts
	return e.load
}

// EndBy makes all requests end with an answer by a time, those in flight and later ones.
func (e *Engine) EndBy(at time.Time) { e.endBy.Store(mono.Nanos(at)) }

// InFlight returns the number of requests that have no answer yet.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Serve runs a request and returns its answer, at the latest when the caller's timeout or the route's timeout ends.
func (e *Engine) Serve(now time.Time, request *Request) Answer {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	f := newFanout(e, now, request)
	e.announceRepeated(now, f.fingerprint)
	if e.crashes.marks.quarantined(now, f.fingerprint) {
		if f.trial, f.retryAfter = e.beginTrial(now, f.fingerprint); !f.trial {
			return f.reject(wire.Reason_REASON_QUARANTINED, zap.Strings("searchers", e.crashes.marks.searchers(now, f.fingerprint)),
				zap.Duration("retry_after", f.retryAfter))
		}
		defer e.endTrial(f)
	}
	if r := f.refusal(now); r != wire.Reason_REASON_UNSPECIFIED {
		return f.reject(r, zap.Float64("share", e.Reach().Share()))
	}
	return f.runAdmitted()
}

func (e *Engine) budgetWindow(service string) *budget.Window {
	if w, ok := e.budgetWindows.Load(service); ok {
		return w.(*budget.Window)
	}
	w, _ := e.budgetWindows.LoadOrStore(service, budget.NewWindow(e.budget.Load().Window))
	return w.(*budget.Window)
}

// allowExtraAttempt reports whether the budget allows an extra attempt at a service, and spends it if so.
func (e *Engine) allowExtraAttempt(now time.Time, service string) bool {
	bound := e.budget.Load()
	allowance := budgetMargin * bound.Allowance / float64(e.nodes.Load())
	return e.budgetWindow(service).TryExtra(now, budgetMargin*bound.Share, allowance)
}

// countReason counts a failed attempt or a refused request by its reason.
func (e *Engine) countReason(r wire.Reason) {
	if r != wire.Reason_REASON_UNSPECIFIED {
		e.counters.Add(r)
	}
}
