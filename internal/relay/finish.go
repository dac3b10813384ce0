package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// finish ends the attempts in flight and makes the answer.
func (f *flight) finish(now time.Time) Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = true
	last := now.Add(loserTime)
	if f.gone {
		last = now
	}
	for a := range f.attempts {
		if !a.part.settled {
			f.uncertain = true
		}
		a.cut(last)
	}
	answer := f.answer(now)
	for i := range f.parts {
		if passed, ok := answer.(Forwarded); !ok || passed.Response != f.parts[i].reply.response {
			f.parts[i].reply.release()
		}
	}
	f.log(now, answer)
	f.engine.observe(f, now, answer)
	return answer
}

// turnAway refuses a request of which nothing was sent. The fields say what decided it.
func (f *flight) turnAway(r wire.Reason, fields ...zap.Field) Answer {
	f.end()
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := f.refused(r)
	f.log(f.engine.clock(), answer, fields...)
	return answer
}

// outcome tells the intake how a query ended.
func (f *flight) outcome(answer Answer) intake.Outcome {
	switch answer := answer.(type) {
	case Merged:
		if f.engine.clock().Before(f.goalAt.Add(answerMargin)) {
			return intake.InTime{}
		}
	case Refused:
		if answer.Reason == wire.Reason_REASON_CALLER_GONE {
			return intake.Other{}
		}
	}
	return intake.Late{}
}

func (f *flight) answer(now time.Time) Answer {
	if f.gone {
		return f.refused(wire.Reason_REASON_CALLER_GONE)
	}
	if target, ok := f.request.Route.Target().(route.Gather); ok {
		return f.merged(now, target)
	}
	return f.passed(now)
}

// merged returns the answer of a request over shards.
func (f *flight) merged(now time.Time, target route.Gather) Answer {
	if !f.enough() {
		if f.open > 0 && !now.Before(f.deadline.Add(-leastRemaining)) {
			return f.refused(wire.Reason_REASON_DEADLINE)
		}
		return f.refused(wire.Reason_REASON_COVERAGE)
	}
	bodies := make([][]byte, 0, f.good)
	proofs := make([]string, 0, f.good)
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled && p.reason == wire.Reason_REASON_UNSPECIFIED {
			bodies = append(bodies, p.reply.response.Body())
			proofs = append(proofs, p.reply.head.Proof)
		}
	}
	return Merged{Records: mergeTop(bodies, target.Top), Proofs: proofs, Missing: len(f.parts) - f.good}
}

// passed returns the answer of a request to one searcher: its reply, its own failure, or a refusal.
func (f *flight) passed(now time.Time) Answer {
	p := &f.parts[0]
	if !p.settled {
		return f.refused(wire.Reason_REASON_DEADLINE)
	}
	if p.reason == wire.Reason_REASON_UNSPECIFIED || f.passable(p) {
		return Forwarded{Response: p.reply.response}
	}
	return f.refused(p.reason)
}

// passable reports whether a searcher's own failure may be passed on. A status that promises that the request did not run may not,
// unless the searcher said so.
func (f *flight) passable(p *part) bool {
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

func (f *flight) refused(r wire.Reason) Refused {
	f.engine.count(r)
	return Refused{Reason: r, NotRun: !f.uncertain, RetryAfter: retryAfter}
}

// missing returns the services whose replies are not in.
func (f *flight) missing() []string {
	var services []string
	for i := range f.parts {
		p := &f.parts[i]
		if !p.settled || p.reason != wire.Reason_REASON_UNSPECIFIED {
			services = append(services, p.service)
		}
	}
	return services
}
