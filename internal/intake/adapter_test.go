package intake

import "time"

// limited lets a limiter decide in a play.
type limited struct {
	limiter *Limiter
	site    site
}

func (l limited) ask(now time.Time, q *query) {
	t := l.limiter.Ask(now, Request{Route: q.class.name, Rank: q.class.rank, Goal: q.goalAt(), Deadline: q.deadline, LateCounts: len(q.class.services) == 1})
	q.ticket = t
}

func (l limited) poll(now time.Time, q *query) { q.decision = l.limiter.Poll(now, q.ticket.(*Ticket)) }

func (l limited) release(now time.Time, q *query, outcome Outcome) {
	l.limiter.Release(now, q.ticket.(*Ticket), outcome)
}

func (l limited) saturated(now time.Time) bool { return l.limiter.Saturated(now) }

func newLimited(s site) admitter { return limited{New(InitialOverShards), s} }
