package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// limiterFor returns the limiter that a route shares with all routes of its group.
func (e *Engine) limiterFor(r *route.Route) *intake.Limiter {
	if l, ok := e.limiters.Load(r.Group()); ok {
		return l.(*intake.Limiter)
	}
	initial := intake.InitialToSearcher
	if _, ok := r.Target().(route.Gather); ok {
		initial = intake.InitialOverShards
	}
	l, _ := e.limiters.LoadOrStore(r.Group(), intake.New(initial))
	return l.(*intake.Limiter)
}

// pruneLimiters drops the limiters of groups that are no longer in the table.
func (e *Engine) pruneLimiters(table *route.Table) {
	groups := make(map[string]bool)
	for _, r := range table.Routes() {
		groups[r.Group()] = true
	}
	e.limiters.Range(func(group, _ any) bool {
		if !groups[group.(string)] {
			e.limiters.Delete(group)
			e.overloaded.Delete(group)
		}
		return true
	})
}

// intakeRequest describes a request of a route to its limiter.
func (e *Engine) intakeRequest(r *route.Route, started, end time.Time) intake.Request {
	policy := r.Policy()
	goal := end
	if policy.Goal > 0 {
		goal = started.Add(policy.Goal)
	}
	_, gather := r.Target().(route.Gather)
	return intake.Request{Route: r.Name(), Rank: policy.Rank, Goal: goal, Deadline: end, LateCounts: !gather}
}

// PreviewAdmission returns what would be decided now about a request of a route that may take until the given end. It changes nothing.
func (e *Engine) PreviewAdmission(now time.Time, r *route.Route, end time.Time) intake.Decision {
	if l, ok := e.limiters.Load(r.Group()); ok {
		return l.(*intake.Limiter).Preview(now, e.intakeRequest(r, now, end))
	}
	return intake.Run{}
}

// runAdmitted runs a request when the limiter admits it, and refuses it otherwise.
func (f *fanout) runAdmitted() Answer {
	ticket := f.limiter.Ask(f.started, f.engine.intakeRequest(f.request.Route, f.started, f.end()))
	if refuse, ok := f.await(ticket).(intake.Refuse); ok {
		return f.rejectAdmission(refuse)
	}
	var outcome intake.Outcome = intake.Ignored{}
	defer func() { f.limiter.Release(f.engine.clock(), ticket, outcome) }()
	if ticket.Waited() && f.request.CallerGone() {
		return f.reject(wire.Reason_REASON_CALLER_GONE)
	}
	answer := f.run()
	outcome = f.admissionOutcome(answer)
	return answer
}

// await returns the final decision about a request. One that waits is withdrawn when its caller has left, or when the node stops.
func (f *fanout) await(ticket *intake.Ticket) intake.Decision {
	return f.limiter.Await(f.engine.clock, ticket, disconnectPollInterval, func(now time.Time) wire.Reason {
		switch {
		case f.request.CallerGone():
			return wire.Reason_REASON_CALLER_GONE
		case !now.Before(f.end().Add(-answerMargin)):
			return wire.Reason_REASON_DEADLINE
		default:
			return wire.Reason_REASON_UNSPECIFIED
		}
	})
}

// rejectAdmission refuses a request that the limiter did not admit. The log line has what decided it.
func (f *fanout) rejectAdmission(refuse intake.Refuse) Answer {
	now := f.engine.clock()
	state := f.limiter.State(now)
	f.retryAfter = refuse.After
	return f.reject(refuse.Reason, zap.Float64("limit", state.Limit), zap.Float64("in_flight", state.InFlight), zap.Int("running", state.Running),
		zap.Int("waiting", state.Waiting), zap.Float64("late", state.LateShare), zap.Float64("per_second", state.PerSecond),
		zap.Duration("latency", state.Latency), zap.Duration("waited", now.Sub(f.started)), zap.Duration("retry_after", refuse.After),
		zap.Int("rank", f.request.Route.Policy().Rank))
}

// admissionOutcome classifies the answer for the limiter. Failures that say nothing about the load are ignored.
func (f *fanout) admissionOutcome(answer Answer) intake.Outcome {
	now, goal := f.engine.clock(), f.engine.intakeRequest(f.request.Route, f.started, f.deadline).Goal
	if f.deadline.Before(goal) && !now.Before(f.deadline.Add(-answerMargin)) {
		// The caller gave less time than the goal.
		return intake.Ignored{}
	}
	switch answer := answer.(type) {
	case Merged:
		if now.Before(goal) {
			return intake.InTime{}
		}
	case Forwarded:
		switch {
		case f.succeeded == 0:
			return intake.Ignored{}
		case now.Before(goal):
			return intake.InTime{}
		}
	case Refused:
		switch {
		case answer.Reason == wire.Reason_REASON_CALLER_GONE:
			return intake.Ignored{}
		case answer.Reason == wire.Reason_REASON_DEADLINE && !now.Before(goal.Add(-answerMargin)):
			// Without a goal, a request ends shortly before its deadline.
		case !f.overloaded() && now.Before(goal):
			return intake.Ignored{}
		}
	}
	return intake.Late{}
}

// overloaded reports whether a part failed as it does when searchers have too much work: they turn requests away, and reset connections while
// their queues are long. A request to one searcher that lost its connection says nothing about the load.
func (f *fanout) overloaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.parts {
		switch p := &f.parts[i]; {
		case !p.settled:
		case p.reason == wire.Reason_REASON_SEARCHER_SHED:
			return true
		case len(f.parts) > 1 && (p.reason == wire.Reason_REASON_CONNECT_FAILED || p.reason == wire.Reason_REASON_CONNECTION_LOST):
			return true
		}
	}
	return false
}

// givesWay reports whether a retry of a part is left to first attempts that wait for admission. A part without which a query over shards can't
// be answered is retried all the same, since the work of all its other parts would be lost.
func (f *fanout) givesWay() bool {
	if !f.limiter.Waits() {
		return false
	}
	if _, ok := f.request.Route.Target().(route.Gather); !ok {
		return true
	}
	return float64(f.succeeded+f.pending-1) >= f.minCoverage*float64(len(f.parts))
}

// observeOverload logs when a group of routes begins or ends to refuse requests.
func (e *Engine) observeOverload(now time.Time) {
	e.limiters.Range(func(group, held any) bool {
		state := held.(*intake.Limiter).State(now)
		_, before := e.overloaded.Load(group)
		if state.Overloaded == before {
			return true
		}
		event := wire.Event_EVENT_OVERLOAD_ENDED
		if state.Overloaded {
			event = wire.Event_EVENT_OVERLOAD_BEGUN
			e.overloaded.Store(group, true)
		} else {
			e.overloaded.Delete(group)
		}
		e.logger.Log(event, zap.String("group", group.(string)), zap.Float64("limit", state.Limit), zap.Float64("in_flight", state.InFlight),
			zap.Int("waiting", state.Waiting), zap.Float64("late", state.LateShare), zap.Float64("per_second", state.PerSecond))
		return true
	})
}
