package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/mono"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// answerMargin is reserved between the last moment for an answer and the goal or the deadline, for sending the answer to the caller.
	answerMargin = 15 * time.Millisecond
	// disconnectPollInterval is how often a running request checks whether its caller is still connected.
	disconnectPollInterval = 100 * time.Millisecond
	// losingAttemptGrace is how long an attempt may continue after its request was answered, so that its connection can be reused.
	losingAttemptGrace = 250 * time.Millisecond
	// The hedge delay is a multiple of the expected latency, limited to a fraction of the latency goal.
	hedgeFactor        = 2.5
	minHedgeDelay      = 12 * time.Millisecond
	maxHedgeDelayShare = 0.35
	// hedgeRetryInterval is the delay before another try at a hedge that found no suitable searcher, no capacity or no budget.
	hedgeRetryInterval = 10 * time.Millisecond
	// maxExtraRefused is the number of attempts beyond the route's maximum that may be sent when earlier ones were refused without running.
	maxExtraRefused = 2
	// retryAfter is the delay that callers are told to wait after a refusal. elsewhereRetryAfter is that of a request which another node can
	// serve now.
	retryAfter          = 50 * time.Millisecond
	elsewhereRetryAfter = 5 * time.Millisecond
)

// fanout is the execution of one request. Its fields are guarded by mu, since each attempt settles its part from its own goroutine.
type fanout struct {
	engine *Engine
	// limiter decides about the requests of the route's group.
	limiter  *intake.Limiter
	request  *Request
	started  time.Time
	deadline time.Time
	// fingerprint identifies the request across attempts of the caller, which have different ids.
	fingerprint uint64
	// goalAt is when the answer loses most of its value. From partialAt on, an answer with at least minCoverage is sent without waiting for
	// the other shards.
	goalAt      time.Time
	partialAt   time.Time
	minCoverage float64
	ctx         context.Context
	cancel      context.CancelFunc
	// signal wakes the request's goroutine.
	signal chan struct{}

	mu    sync.Mutex
	parts []part
	// pending is the number of parts that are not settled, succeeded the number of parts with a reply.
	pending   int
	succeeded int
	attempts  map[*attempt]struct{}
	done      bool
	// mayHaveRun is set once a searcher may have run a part without its reply being used.
	mayHaveRun bool
	callerGone bool
	// trial is set while the request is quarantined and runs as a trial, on one part that is sent before all others.
	trial bool
	// linksLost is set when the request ends early, since the searchers that it needs are not reached any more.
	linksLost bool
	// retryAfter is the retry delay that the limiter or the quarantine decided on, 0 if neither did.
	retryAfter time.Duration
	// attemptLog holds the attempts for the log line of the request.
	attemptLog attemptLog
}

func newFanout(e *Engine, now time.Time, request *Request) *fanout {
	f := &fanout{
		engine:      e,
		limiter:     e.limiterFor(request.Route),
		request:     request,
		started:     now,
		fingerprint: fingerprint(request.Route, request),
		minCoverage: 1,
		signal:      make(chan struct{}, 1),
		attempts:    make(map[*attempt]struct{}),
	}
	f.setTimes(now)
	f.partialAt = f.deadline
	f.ctx, f.cancel = context.WithCancel(context.Background())
	switch target := request.Route.Target().(type) {
	case route.Gather:
		f.minCoverage = target.MinCoverage
		f.partialAt = f.goalAt
		f.parts = make([]part, len(target.Shards))
		for i, shard := range target.Shards {
			f.parts[i].service = shard
		}
	default:
		service, _ := request.Route.Next()
		f.parts = []part{{service: service}}
	}
	f.pending = len(f.parts)
	return f
}

// setTimes sets the deadline and the time of the goal of a request that arrives now.
func (f *fanout) setTimes(now time.Time) {
	policy := f.request.Route.Policy()
	timeout := policy.Timeout
	if f.request.Timeout > 0 && f.request.Timeout < timeout {
		timeout = f.request.Timeout
	}
	f.deadline, f.goalAt = now.Add(timeout), now.Add(policy.Goal-answerMargin)
}

// run sends the request to all parts and returns the answer.
func (f *fanout) run() Answer {
	defer f.cancel()
	f.mu.Lock()
	now := f.engine.clock()
	for i := range f.parts {
		f.engine.budgetWindow(f.parts[i].service).RecordFirst(now)
	}
	if f.trial {
		f.startAttempt(now, &f.parts[rand.IntN(len(f.parts))], wire.Reason_REASON_UNSPECIFIED)
	} else {
		f.startUnsettled(now)
	}
	f.mu.Unlock()
	timer := time.NewTimer(disconnectPollInterval)
	defer timer.Stop()
	for {
		now := f.engine.clock()
		next, finished := f.advance(now)
		if finished {
			return f.finish(now)
		}
		timer.Reset(max(next.Sub(now), 0))
		select {
		case <-f.signal:
		case <-timer.C:
		}
	}
}

// startUnsettled sends the first attempt of each part that is not settled.
func (f *fanout) startUnsettled(now time.Time) {
	for i := range f.parts {
		if !f.parts[i].settled {
			f.startAttempt(now, &f.parts[i], wire.Reason_REASON_UNSPECIFIED)
		}
	}
}

// endTrialPart goes on with the other parts once the part of a trial is settled: they are sent after an answer, and given up otherwise.
func (f *fanout) endTrialPart(answered bool) {
	f.trial = false
	if answered {
		f.startUnsettled(f.engine.clock())
		return
	}
	for i := range f.parts {
		f.settle(&f.parts[i], wire.Reason_REASON_QUARANTINED)
	}
}

// ran reports whether a searcher may have run the request.
func (f *fanout) ran() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mayHaveRun || f.succeeded > 0
}

// advance checks for the end of the request and sends due hedges. It returns when to check again, or true when the request is over.
func (f *fanout) advance(now time.Time) (time.Time, bool) {
	if f.request.Route.Policy().Idempotent && now.Sub(f.started) >= disconnectPollInterval && f.request.CallerGone() {
		f.mu.Lock()
		f.callerGone = true
		f.mu.Unlock()
		return now, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shouldFinish(now) {
		return now, true
	}
	next := f.end().Add(-minRemaining)
	if f.partialAt.After(now) && f.partialAt.Before(next) {
		next = f.partialAt
	}
	if poll := now.Add(disconnectPollInterval); poll.Before(next) {
		next = poll
	}
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled || p.inFlight != 1 || p.hedgeAt.IsZero() {
			continue
		}
		if !now.Before(p.hedgeAt) {
			f.hedge(now, p)
		}
		if !p.hedgeAt.IsZero() && p.hedgeAt.Before(next) {
			next = p.hedgeAt
		}
	}
	return next, f.shouldFinish(now)
}

// shouldFinish reports whether the answer should be sent now.
func (f *fanout) shouldFinish(now time.Time) bool {
	if f.pending == 0 || !now.Before(f.end().Add(-minRemaining)) {
		return true
	}
	if !f.coverageReachable() {
		return true
	}
	if f.engine.Stranded() && f.request.Route.Policy().Idempotent && !f.servable(now) {
		f.linksLost = true
		return true
	}
	return !now.Before(f.partialAt) && f.coverageMet()
}

// timeLeft returns the time within which a reply is useful: until the goal, and after the goal until the deadline.
func (f *fanout) timeLeft(now time.Time) time.Duration {
	if now.Before(f.goalAt) {
		return f.goalAt.Sub(now)
	}
	return f.end().Sub(now)
}

// end returns the time by which the request is answered: its deadline, or the end of the node's stop.
func (f *fanout) end() time.Time {
	if end := f.engine.endBy.Load(); end != 0 && end < mono.Nanos(f.deadline) {
		return mono.Time(end)
	}
	return f.deadline
}

// coverageMet reports whether the replies so far reach the minimum coverage.
func (f *fanout) coverageMet() bool {
	return f.succeeded > 0 && float64(f.succeeded) >= f.minCoverage*float64(len(f.parts))
}

// coverageReachable reports whether the minimum coverage can still be reached.
func (f *fanout) coverageReachable() bool {
	return float64(f.succeeded+f.pending) >= f.minCoverage*float64(len(f.parts))
}

// servable reports whether this node has lately reached searchers of enough parts for the minimum coverage.
func (f *fanout) servable(now time.Time) bool {
	reached, homes := f.succeeded, f.engine.balancer.homes(f.request.Route)
	for i := range f.parts {
		if p := &f.parts[i]; !p.settled && f.engine.balancer.reaches(now, p.service, homes) {
			reached++
		}
	}
	return reached > 0 && float64(reached) >= f.minCoverage*float64(len(f.parts))
}

// refusal returns why the request is refused at once as things are, or REASON_UNSPECIFIED.
func (f *fanout) refusal(now time.Time) wire.Reason {
	if r := f.unservable(); r != wire.Reason_REASON_UNSPECIFIED {
		return r
	}
	if f.engine.Stranded() && !f.servable(now) {
		return wire.Reason_REASON_LINKS_LOST
	}
	return wire.Reason_REASON_UNSPECIFIED
}

// unservable returns why too few parts for the minimum coverage have a searcher that may run them, or REASON_UNSPECIFIED.
func (f *fanout) unservable() wire.Reason {
	missing, first, homes := 0, wire.Reason_REASON_UNSPECIFIED, f.engine.balancer.homes(f.request.Route)
	for i := range f.parts {
		if r := f.engine.balancer.unservable(f.started, f.parts[i].service, homes); r != wire.Reason_REASON_UNSPECIFIED {
			missing++
			first = r
		}
	}
	if remaining := len(f.parts) - missing; remaining > 0 && float64(remaining) >= f.minCoverage*float64(len(f.parts)) {
		return wire.Reason_REASON_UNSPECIFIED
	}
	return first
}

// settle ends a part. REASON_UNSPECIFIED means that the part has a reply.
func (f *fanout) settle(p *part, r wire.Reason) {
	if p.settled {
		return
	}
	p.settled = true
	p.reason = r
	f.pending--
	if r == wire.Reason_REASON_UNSPECIFIED {
		f.succeeded++
		if f.succeeded == 1 {
			f.engine.acquit(f.engine.clock(), f.fingerprint)
		}
	}
	if f.trial {
		f.endTrialPart(r == wire.Reason_REASON_UNSPECIFIED)
	}
	if f.pending == 0 || !f.coverageReachable() || (f.coverageMet() && !f.engine.clock().Before(f.partialAt)) {
		f.wake()
	}
}

func (f *fanout) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// endOtherAttempts limits the remaining attempts of a settled part to losingAttemptGrace.
func (f *fanout) endOtherAttempts(now time.Time, p *part) {
	if p.inFlight == 0 {
		return
	}
	for a := range f.attempts {
		if a.part == p {
			a.endBy(now.Add(losingAttemptGrace))
		}
	}
}
