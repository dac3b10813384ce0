package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// answerMargin is kept between the last moment for an answer and the goal or the deadline, for the way to the caller.
	answerMargin = 15 * time.Millisecond
	// gonePoll is how often a running request looks whether its caller is still there.
	gonePoll = 100 * time.Millisecond
	// loserTime is how long an attempt may go on after its request was answered, so that its connection can be kept.
	loserTime = 250 * time.Millisecond
	// Hedges are sent after a multiple of the expected latency, within a share of the goal.
	hedgeFactor   = 2.5
	minHedge      = 12 * time.Millisecond
	maxHedgeShare = 0.35
	// hedgePoll is the wait before a hedge that found no better searcher is considered again.
	hedgePoll = 10 * time.Millisecond
	// refusedExtra is the number of attempts beyond the route's that may be refused without having run.
	refusedExtra = 2
	// retryAfter is what callers are told to wait after a refusal.
	retryAfter = 50 * time.Millisecond
)

// flight is one request on its way. Its fields are guarded by mu, since replies settle parts from their own goroutines.
type flight struct {
	engine *Engine
	// limiter bounds the queries of the route's group, nil for a request to one service.
	limiter  *intake.Limiter
	request  *Request
	started  time.Time
	deadline time.Time
	// fingerprint names the request when it comes again.
	fingerprint uint64
	// goalAt is when the answer loses most of its value. cutAt is when an answer of the least coverage is sent without waiting for the
	// other shards.
	goalAt time.Time
	cutAt  time.Time
	least  float64
	ctx    context.Context
	end    context.CancelFunc
	// signal wakes the request's goroutine up.
	signal chan struct{}

	mu    sync.Mutex
	parts []part
	// open is the number of parts that are not settled, good that of parts with a reply.
	open     int
	good     int
	attempts map[*attempt]struct{}
	done     bool
	// uncertain is set once a searcher may have run a part without a reply that is used.
	uncertain bool
	gone      bool
	// trail holds the attempts for the log.
	trail trail
}

func newFlight(e *Engine, now time.Time, request *Request) *flight {
	terms := request.Route.Policy()
	patience := terms.Timeout
	if request.Timeout > 0 && request.Timeout < patience {
		patience = request.Timeout
	}
	f := &flight{
		engine:      e,
		limiter:     e.limiter(request.Route),
		request:     request,
		started:     now,
		deadline:    now.Add(patience),
		fingerprint: fingerprint(request.Route, request),
		least:       1,
		signal:      make(chan struct{}, 1),
		attempts:    make(map[*attempt]struct{}),
	}
	f.goalAt = now.Add(terms.Goal - answerMargin)
	f.cutAt = f.deadline
	f.ctx, f.end = context.WithCancel(context.Background())
	switch target := request.Route.Target().(type) {
	case route.Gather:
		f.least = target.MinCoverage
		f.cutAt = f.goalAt
		f.parts = make([]part, len(target.Shards))
		for i, shard := range target.Shards {
			f.parts[i].service = shard
		}
	default:
		service, _ := request.Route.Next()
		f.parts = []part{{service: service}}
	}
	f.open = len(f.parts)
	return f
}

// intakeShare is the part of a route's goal for which a query waits to enter. A caller that is refused so early may come again in time.
const intakeShare = 0.1

// runLimited runs a query when the limiter lets it enter, and refuses it otherwise.
func (f *flight) runLimited() Answer {
	terms := f.request.Route.Policy()
	entry := f.limiter.Enter(terms.Rank)
	if entry == nil || !f.limiter.Wait(entry, time.Duration(float64(terms.Goal)*intakeShare)) {
		state := f.limiter.State()
		return f.turnAway(wire.Reason_REASON_ADMISSION, zap.Int("limit", state.Limit), zap.Int("in_flight", state.InFlight),
			zap.Int("waiting", state.Waiting), zap.Float64("late", state.Late))
	}
	answer := f.run()
	f.limiter.Leave(entry, f.outcome(answer))
	return answer
}

// run sends the request and returns its answer.
func (f *flight) run() Answer {
	defer f.end()
	f.mu.Lock()
	now := f.engine.clock()
	for i := range f.parts {
		f.engine.window(f.parts[i].service).RecordFirst(now)
		f.start(now, &f.parts[i], wire.Reason_REASON_UNSPECIFIED)
	}
	f.mu.Unlock()
	timer := time.NewTimer(gonePoll)
	defer timer.Stop()
	for {
		now := f.engine.clock()
		next, over := f.advance(now)
		if over {
			return f.finish(now)
		}
		timer.Reset(max(next.Sub(now), 0))
		select {
		case <-f.signal:
		case <-timer.C:
		}
	}
}

// advance does what is due and returns when to look again, or that the request is over.
func (f *flight) advance(now time.Time) (time.Time, bool) {
	if f.request.Route.Policy().Idempotent && now.Sub(f.started) >= gonePoll && f.request.CallerGone() {
		f.mu.Lock()
		f.gone = true
		f.mu.Unlock()
		return now, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over(now) {
		return now, true
	}
	next := f.deadline.Add(-leastRemaining)
	if f.cutAt.After(now) && f.cutAt.Before(next) {
		next = f.cutAt
	}
	if poll := now.Add(gonePoll); poll.Before(next) {
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
	return next, f.over(now)
}

// over reports whether the answer is to be sent now.
func (f *flight) over(now time.Time) bool {
	if f.open == 0 || !now.Before(f.deadline.Add(-leastRemaining)) {
		return true
	}
	if !f.reachable() {
		return true
	}
	return !now.Before(f.cutAt) && f.enough()
}

// patience returns the time within which a reply is of use: until the goal, and after it until the deadline.
func (f *flight) patience(now time.Time) time.Duration {
	if now.Before(f.goalAt) {
		return f.goalAt.Sub(now)
	}
	return f.deadline.Sub(now)
}

// enough reports whether the replies make up the least coverage.
func (f *flight) enough() bool {
	return f.good > 0 && float64(f.good) >= f.least*float64(len(f.parts))
}

// reachable reports whether the least coverage can still be reached.
func (f *flight) reachable() bool {
	return float64(f.good+f.open) >= f.least*float64(len(f.parts))
}

// settle ends a part, with a reply when the reason is unspecified.
func (f *flight) settle(p *part, r wire.Reason) {
	if p.settled {
		return
	}
	p.settled = true
	p.reason = r
	f.open--
	if r == wire.Reason_REASON_UNSPECIFIED {
		f.good++
	}
	if f.open == 0 || !f.reachable() || (f.enough() && !f.engine.clock().Before(f.cutAt)) {
		f.wake()
	}
}

func (f *flight) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// cutPart gives the other attempts of a settled part a last moment.
func (f *flight) cutPart(now time.Time, p *part) {
	if p.inFlight == 0 {
		return
	}
	for a := range f.attempts {
		if a.part == p {
			a.cut(now.Add(loserTime))
		}
	}
}
