package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// finish ends the attempts in flight and returns the answer.
func (f *fanout) finish(now time.Time) Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = true
	cutoff := now.Add(losingAttemptGrace)
	if f.callerGone {
		cutoff = now
	}
	for a := range f.attempts {
		// An attempt that still waits for a connection has not run and will not.
		if sent := a.endBy(cutoff); sent && !a.part.settled {
			f.mayHaveRun = true
		}
	}
	answer := f.answer(now)
	for i := range f.parts {
		if forwarded, ok := answer.(Forwarded); !ok || forwarded.Response != f.parts[i].reply.response {
			f.parts[i].reply.release()
		}
	}
	f.log(now, answer)
	f.engine.observe(f, now, answer)
	return answer
}

// reject refuses a request before any attempt was sent. The fields are added to the log line and say what decided it.
func (f *fanout) reject(r wire.Reason, fields ...zap.Field) Answer {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := f.refused(r)
	f.log(f.engine.clock(), answer, fields...)
	return answer
}

func (f *fanout) answer(now time.Time) Answer {
	if f.callerGone {
		return f.refused(wire.Reason_REASON_CALLER_GONE)
	}
	if f.linksLost {
		return f.refused(wire.Reason_REASON_LINKS_LOST)
	}
	if target, ok := f.request.Route.Target().(route.Gather); ok {
		return f.merged(now, target)
	}
	return f.forwarded(now)
}

// merged returns the answer of a request over shards.
func (f *fanout) merged(now time.Time, target route.Gather) Answer {
	if !f.coverageMet() {
		if f.pending > 0 && !now.Before(f.end().Add(-minRemaining)) {
			return f.refused(wire.Reason_REASON_DEADLINE)
		}
		return f.refused(wire.Reason_REASON_COVERAGE)
	}
	bodies := make([][]byte, 0, f.succeeded)
	proofs := make([]string, 0, f.succeeded)
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled && p.reason == wire.Reason_REASON_UNSPECIFIED {
			bodies = append(bodies, p.reply.response.Body())
			proofs = append(proofs, p.reply.head.Proof)
		}
	}
	return Merged{Records: mergeTop(bodies, target.Top), Proofs: proofs, Missing: len(f.parts) - f.succeeded}
}

// forwarded returns the answer of a request to one searcher: the reply, the searcher's error response, or a refusal.
func (f *fanout) forwarded(now time.Time) Answer {
	p := &f.parts[0]
	if !p.settled {
		return f.refused(wire.Reason_REASON_DEADLINE)
	}
	if p.reason == wire.Reason_REASON_UNSPECIFIED || f.forwardable(p) {
		return Forwarded{Response: p.reply.response}
	}
	return f.refused(p.reason)
}

// forwardable reports whether a searcher's error response may be forwarded. A status that tells the caller that the request did not run
// must not be forwarded unless the searcher stated so.
func (f *fanout) forwardable(p *part) bool {
	if p.reason != wire.Reason_REASON_SEARCHER_ERROR || p.reply.response == nil || p.reply.head.Proof == "" {
		return false
	}
	switch p.reply.response.StatusCode() {
	case 408, 421, 429, 503:
		return false
	default:
		return true
	}
}

func (f *fanout) refused(r wire.Reason) Refused {
	f.engine.countReason(r)
	now, after := f.engine.clock(), retryAfter
	switch {
	case f.retryAfter > 0:
		after = f.retryAfter
	case r == wire.Reason_REASON_LINKS_LOST:
		after = elsewhereRetryAfter
	case r == wire.Reason_REASON_SEARCHER_SHED:
		after = max(retryAfter, f.limiter.RetryAfter(now, f.engine.intakeRequest(f.request.Route, f.started, f.end())))
	}
	after = min(after, intake.LongestReturn(f.end().Sub(now)))
	// Parts with a reply have run, even if the answer does not use it.
	return Refused{Reason: r, NotRun: !f.mayHaveRun && f.succeeded == 0, RetryAfter: after}
}

// missingServices returns the services without a reply.
func (f *fanout) missingServices() []string {
	var services []string
	for i := range f.parts {
		p := &f.parts[i]
		if !p.settled || p.reason != wire.Reason_REASON_UNSPECIFIED {
			services = append(services, p.service)
		}
	}
	return services
}
