package relay

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// part is one service's share of a request.
type part struct {
	service string
	// tried lists the stations that got an attempt.
	tried []*station
	// ran is the number of attempts that may have run, and sent that of all.
	ran      int
	sent     int
	inFlight int
	hedgeAt  time.Time
	settled  bool
	reason   wire.Reason
	reply    result
}

// start sends the next attempt of a part, or settles the part when there is nowhere to send it.
func (f *flight) start(now time.Time, p *part, cause wire.Reason) bool {
	chosen, ok := f.engine.grid.choose(now, p.service, f.patience(now), p.triedStation)
	if !ok {
		if p.inFlight == 0 {
			f.settle(p, lastReason(p))
		}
		return false
	}
	f.launch(now, p, chosen, cause)
	return true
}

func lastReason(p *part) wire.Reason {
	if p.reason != wire.Reason_REASON_UNSPECIFIED {
		return p.reason
	}
	return wire.Reason_REASON_NO_REPLICA
}

func (p *part) triedStation(s *station) bool {
	for _, tried := range p.tried {
		if tried == s {
			return true
		}
	}
	return false
}

func (f *flight) launch(now time.Time, p *part, chosen choice, cause wire.Reason) {
	a := &attempt{part: p, station: chosen.station, sentAt: now, deadline: f.deadline, ends: f.deadline, distance: chosen.distance}
	a.step = &step{
		service:  p.service,
		searcher: chosen.station.searcher.ID(),
		cause:    cause,
		at:       now.Sub(f.started),
		expected: chosen.latency,
		stalled:  chosen.stalled,
	}
	f.trail = append(f.trail, a.step)
	a.ticket = chosen.station.track.Begin(now, chosen.distance)
	p.tried = append(p.tried, chosen.station)
	p.sent++
	p.inFlight++
	p.hedgeAt = time.Time{}
	if f.mayHedge(p) {
		p.hedgeAt = now.Add(f.hedgeDelay(chosen))
	}
	f.attempts[a] = struct{}{}
	f.engine.attempts.Inc(1)
	f.engine.tasks.Go(func() { f.ended(a, f.engine.perform(f.ctx, a, f.request)) })
}

func (f *flight) mayHedge(p *part) bool {
	terms := f.request.Route.Policy()
	return terms.Idempotent && p.inFlight == 1 && p.sent < terms.MaxAttempts
}

// hedgeDelay returns the wait for a reply after which a second searcher is worth its cost.
func (f *flight) hedgeDelay(chosen choice) time.Duration {
	expected := min(time.Duration(float64(chosen.latency)*hedgeFactor), time.Duration(float64(f.request.Route.Policy().Goal)*maxHedgeShare))
	return max(expected, minHedge)
}

// hedge sends a second attempt for a part when a searcher that replies is at hand and the budget allows it.
func (f *flight) hedge(now time.Time, p *part) {
	chosen, ok := f.engine.grid.choose(now, p.service, f.patience(now), p.triedStation)
	if !ok {
		p.hedgeAt = time.Time{}
		return
	}
	if chosen.latency > f.patience(now) {
		p.hedgeAt = now.Add(hedgePoll)
		return
	}
	if f.limiter != nil && f.limiter.Saturated() {
		f.engine.count(wire.Reason_REASON_HEDGE_SATURATED)
		p.hedgeAt = now.Add(hedgePoll)
		return
	}
	if !f.engine.extra(now, p.service) {
		f.engine.count(wire.Reason_REASON_HEDGE_BUDGET)
		p.hedgeAt = now.Add(hedgePoll)
		return
	}
	f.engine.count(wire.Reason_REASON_HEDGE)
	f.engine.hedges.Inc(1)
	f.launch(now, p, chosen, wire.Reason_REASON_HEDGE)
	p.hedgeAt = time.Time{}
}

// ended takes in the result of an attempt.
func (f *flight) ended(a *attempt, r result) {
	now := f.engine.clock()
	a.station.track.End(now, a.ticket, outcome(r))
	if r.reason == wire.Reason_REASON_WRONG_SEARCHER {
		a.station.replaced.Store(true)
	}
	if r.abrupt {
		f.engine.suspect(now, f.fingerprint, a.station)
	}
	if r.reason == wire.Reason_REASON_CONNECT_FAILED {
		f.engine.unreachable(now, a.station)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, a)
	a.step.ended, a.step.took, a.step.result = true, now.Sub(a.sentAt), r.reason
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
		f.cutPart(now, p)
		return
	}
	f.failed(now, a, r)
}

// outcome tells the searcher's record how an attempt ended.
func outcome(r result) health.Outcome {
	if r.forgotten {
		return health.Abandoned{}
	}
	switch r.reason {
	case wire.Reason_REASON_UNSPECIFIED:
		return health.Replied{}
	case wire.Reason_REASON_SEARCHER_SHED:
		return health.Shed{}
	case wire.Reason_REASON_CANCELLED, wire.Reason_REASON_EXPIRED, wire.Reason_REASON_CONNECTION_SILENT:
		return health.Abandoned{}
	case wire.Reason_REASON_CONNECT_FAILED, wire.Reason_REASON_WRONG_SEARCHER:
		return health.Unreachable{}
	default:
		return health.Failed{}
	}
}

// failed decides what follows a failed attempt of an open part.
func (f *flight) failed(now time.Time, a *attempt, r result) {
	p := a.part
	f.engine.count(r.reason)
	f.uncertain = f.uncertain || !r.notRun()
	p.reason = r.reason
	// The last failure is kept, since it is passed on when no attempt succeeds.
	p.reply.release()
	p.reply = r
	if p.inFlight > 0 {
		return
	}
	if f.mayRetry(now, p, r) {
		f.start(now, p, r.reason)
		f.wake()
		return
	}
	f.settle(p, r.reason)
}

// mayRetry reports whether a part may go to another searcher after a failure, and spends the budget for it.
func (f *flight) mayRetry(now time.Time, p *part, r result) bool {
	terms := f.request.Route.Policy()
	if !terms.Idempotent && p.ran > 0 {
		f.engine.count(wire.Reason_REASON_RETRY_UNSAFE)
		return false
	}
	if p.ran >= terms.MaxAttempts || p.sent >= terms.MaxAttempts+refusedExtra {
		f.engine.count(wire.Reason_REASON_RETRY_ATTEMPTS)
		return false
	}
	if f.engine.crashes.quarantined(now, f.fingerprint) {
		f.engine.count(wire.Reason_REASON_QUARANTINED)
		return false
	}
	if f.deadline.Sub(now) < answerMargin {
		f.engine.count(wire.Reason_REASON_RETRY_NO_TIME)
		return false
	}
	if r.sent && !f.engine.extra(now, p.service) {
		f.engine.count(wire.Reason_REASON_RETRY_BUDGET)
		return false
	}
	return true
}
