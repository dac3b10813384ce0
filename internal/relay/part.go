package relay

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// part is the portion of a request that goes to one service.
type part struct {
	service string
	// tried lists the endpoints that were sent an attempt.
	tried []*endpoint
	// ran is the number of attempts that may have run; sent is the number of all attempts.
	ran      int
	sent     int
	inFlight int
	hedgeAt  time.Time
	settled  bool
	reason   wire.Reason
	reply    result
}

// startAttempt sends the next attempt of a part, or settles the part when no endpoint is left and nothing is in flight.
func (f *fanout) startAttempt(now time.Time, p *part, cause wire.Reason) bool {
	for {
		chosen, ok := f.engine.balancer.choose(now, f.demand(now, p))
		if !ok {
			if p.inFlight == 0 {
				f.settle(p, noEndpointReason(p, chosen))
			}
			return false
		}
		// Another request may have taken the room since the choice.
		if chosen.endpoint.pacer.Take(now) {
			f.send(now, p, chosen, cause)
			return true
		}
	}
}

// noEndpointReason returns why a part ends for which no endpoint was chosen: the last failure, if there was one.
func noEndpointReason(p *part, chosen choice) wire.Reason {
	if p.reason != wire.Reason_REASON_UNSPECIFIED {
		return p.reason
	}
	return chosen.exclusionReason()
}

// demand returns what the searcher of the next attempt of a part must satisfy.
func (f *fanout) demand(now time.Time, p *part) demand {
	return demand{service: p.service, homes: f.engine.balancer.homes(f.request.Route), timeLeft: f.timeLeft(now), tried: p.tried}
}

func (f *fanout) send(now time.Time, p *part, chosen choice, cause wire.Reason) {
	end := f.end()
	a := &attempt{part: p, endpoint: chosen.endpoint, sentAt: now, deadline: end, cutoff: end, roundTrip: chosen.roundTrip}
	a.record = &attemptRecord{
		service:  p.service,
		searcher: chosen.endpoint.searcher.ID(),
		cause:    cause,
		at:       now.Sub(f.started),
		expected: chosen.latency,
		stalled:  chosen.stalled,
	}
	f.attemptLog = append(f.attemptLog, a.record)
	a.ticket = chosen.endpoint.tracker.Begin(now, chosen.roundTrip)
	chosen.endpoint.link.Sent(now)
	p.tried = append(p.tried, chosen.endpoint)
	p.sent++
	p.inFlight++
	p.hedgeAt = time.Time{}
	if f.mayHedge(p) {
		p.hedgeAt = now.Add(f.hedgeDelay(chosen))
	}
	f.attempts[a] = struct{}{}
	f.engine.attempts.Inc(1)
	f.engine.tasks.Go(func() { f.attemptEnded(a, f.engine.perform(f.ctx, a, f.request)) })
}

func (f *fanout) mayHedge(p *part) bool {
	policy := f.request.Route.Policy()
	return !f.trial && policy.Idempotent && p.inFlight == 1 && p.sent < policy.MaxAttempts
}

// hedgeDelay returns how long to wait for a reply before a second attempt is worth its cost.
func (f *fanout) hedgeDelay(chosen choice) time.Duration {
	expected := min(time.Duration(float64(chosen.latency)*hedgeFactor), time.Duration(float64(f.request.Route.Policy().Goal)*maxHedgeDelayShare))
	return max(expected, minHedgeDelay)
}

// hedge sends a second attempt for a part when an endpoint is expected to reply in time and the budget allows it.
func (f *fanout) hedge(now time.Time, p *part) {
	chosen, ok := f.engine.balancer.choose(now, f.demand(now, p))
	if !ok {
		p.hedgeAt = time.Time{}
		if chosen.temporarilyExcluded() {
			p.hedgeAt = now.Add(hedgeRetryInterval)
		}
		return
	}
	if chosen.latency > f.timeLeft(now) {
		p.hedgeAt = now.Add(hedgeRetryInterval)
		return
	}
	if f.limiter.Saturated(now) {
		f.engine.countReason(wire.Reason_REASON_HEDGE_SATURATED)
		p.hedgeAt = now.Add(hedgeRetryInterval)
		return
	}
	if !f.engine.allowExtraAttempt(now, p.service) {
		f.engine.countReason(wire.Reason_REASON_HEDGE_BUDGET)
		p.hedgeAt = now.Add(hedgeRetryInterval)
		return
	}
	if !chosen.endpoint.pacer.Take(now) {
		f.engine.countReason(wire.Reason_REASON_SEARCHER_LIMIT)
		p.hedgeAt = now.Add(hedgeRetryInterval)
		return
	}
	f.engine.countReason(wire.Reason_REASON_HEDGE)
	f.engine.hedges.Inc(1)
	f.send(now, p, chosen, wire.Reason_REASON_HEDGE)
	p.hedgeAt = time.Time{}
}

// attemptEnded handles the result of an attempt.
func (f *fanout) attemptEnded(a *attempt, r result) {
	now := f.engine.clock()
	f.engine.observeLoad(now, a, r)
	a.endpoint.tracker.End(now, a.ticket, healthOutcome(r))
	if r.reason == wire.Reason_REASON_WRONG_SEARCHER {
		a.endpoint.replaced.Store(true)
		f.engine.searcherEnded(now, a.endpoint.searcher.Key(), replaced)
	}
	switch {
	case r.response != nil:
		a.endpoint.link.Reached(now)
	case r.abrupt && r.freshConn:
		a.endpoint.link.Broke(now)
	case r.reason == wire.Reason_REASON_CONNECTION_SILENT:
		a.endpoint.link.GaveUp(now, a.sentAt)
	}
	f.engine.observeMalformed(a, f.request, r)
	f.engine.observeLeaving(a, r)
	f.engine.observePause(now, a, r)
	f.engine.observeLimit(now, a, r)
	if r.abrupt {
		if !f.answered() {
			f.engine.crashes.suspect(now, f.fingerprint, a.endpoint.searcher.Key())
		}
		f.engine.probeSearcher(a.endpoint)
	}
	if r.reason == wire.Reason_REASON_CONNECT_FAILED {
		f.engine.searcherUnreachable(a.endpoint)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, a)
	a.record.ended, a.record.took, a.record.result = true, now.Sub(a.sentAt), r.reason
	a.record.waited = r.waited
	p := a.part
	p.inFlight--
	if !r.notRun() {
		p.ran++
	}
	if f.done || p.settled {
		r.release()
		return
	}
	if r.reason == wire.Reason_REASON_UNSPECIFIED {
		p.reply = r
		f.settle(p, wire.Reason_REASON_UNSPECIFIED)
		f.endOtherAttempts(now, p)
		return
	}
	f.attemptFailed(now, a, r)
}

// answered reports whether a searcher has answered the request.
func (f *fanout) answered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.succeeded > 0
}

// healthOutcome classifies the result of an attempt for the searcher's health record.
func healthOutcome(r result) health.Outcome {
	if r.staleConn {
		return health.Abandoned{}
	}
	switch r.reason {
	case wire.Reason_REASON_UNSPECIFIED:
		return health.Replied{}
	case wire.Reason_REASON_SEARCHER_SHED:
		return health.Shed{}
	case wire.Reason_REASON_CANCELLED, wire.Reason_REASON_EXPIRED, wire.Reason_REASON_CONNECTION_SILENT, wire.Reason_REASON_SEARCHER_LEAVING,
		wire.Reason_REASON_SEARCHER_PAUSED, wire.Reason_REASON_SEARCHER_COLD, wire.Reason_REASON_HOME_REGION, wire.Reason_REASON_MEMORY:
		return health.Abandoned{}
	case wire.Reason_REASON_CONNECT_FAILED, wire.Reason_REASON_WRONG_SEARCHER:
		return health.Unreachable{}
	default:
		return health.Failed{}
	}
}

// attemptFailed handles a failed attempt of an unsettled part.
func (f *fanout) attemptFailed(now time.Time, a *attempt, r result) {
	p := a.part
	f.engine.countReason(r.reason)
	f.mayHaveRun = f.mayHaveRun || !r.notRun()
	p.reason = r.reason
	// The last failure is kept: it is forwarded to the caller if no attempt succeeds.
	p.reply.release()
	p.reply = r
	if p.inFlight > 0 {
		return
	}
	if f.mayRetry(now, p, r) {
		f.startAttempt(now, p, r.reason)
		f.wake()
		return
	}
	f.settle(p, r.reason)
}

// mayRetry reports whether a part may be retried at another searcher after a failure, and spends the budget for it if so.
func (f *fanout) mayRetry(now time.Time, p *part, r result) bool {
	policy := f.request.Route.Policy()
	if !policy.Idempotent && p.ran > 0 {
		f.engine.countReason(wire.Reason_REASON_RETRY_UNSAFE)
		return false
	}
	if p.ran >= policy.MaxAttempts || p.sent >= policy.MaxAttempts+maxExtraRefused {
		f.engine.countReason(wire.Reason_REASON_RETRY_ATTEMPTS)
		return false
	}
	// A trial goes on until a searcher has run the request.
	if f.engine.crashes.marks.quarantined(now, f.fingerprint) && (!f.trial || p.ran > 0) {
		f.engine.countReason(wire.Reason_REASON_QUARANTINED)
		return false
	}
	if f.end().Sub(now) < answerMargin {
		f.engine.countReason(wire.Reason_REASON_RETRY_NO_TIME)
		return false
	}
	if f.givesWay() {
		f.engine.countReason(wire.Reason_REASON_HEDGE_SATURATED)
		return false
	}
	if r.sent && !f.engine.allowExtraAttempt(now, p.service) {
		f.engine.countReason(wire.Reason_REASON_RETRY_BUDGET)
		return false
	}
	return true
}
