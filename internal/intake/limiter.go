// Package intake decides which requests a node sends to the searchers, which wait and which are refused, so that what is delayed or refused
// when capacity is short costs callers least. It bounds the work in flight by a learned limit: beyond it, more requests would only lengthen
// the queues at the searchers until all are late.
package intake

import (
	"container/heap"
	"slices"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// numRanks is the number of ranks that are told apart; ranks beyond the last count as the last.
	numRanks = 3
	// minLimit and maxLimit bound the learned limit, in requests of the costliest route.
	minLimit = 4.0
	maxLimit = 4096.0
	// reservedShare is the fraction of the limit that each rank leaves to more urgent ones that were seen within rankMemory.
	reservedShare = 0.1
	rankMemory    = 10 * time.Second
	// guaranteedShare is the fraction of the limit that the requests of a rank and of more urgent ones may have in flight however many less
	// urgent ones are: those were admitted before and give the room back as they end.
	guaranteedShare = 0.7
	// floorShare is the fraction of the work admitted for more urgent ranks that a rank may have when it would be refused otherwise, so that it
	// is not starved. maxFloor bounds what is saved up, in requests of the costliest route.
	floorShare = 0.03
	maxFloor   = 2.0
	// calmTime is how long nothing must have been refused and few requests late for a lowered limit to return to the initial one. The limit grows
	// only while it is in use, and would stay as low as a flood left it. Waves of a flood are seconds apart.
	calmTime = time.Minute
)

// Limits in requests of the costliest route before any outcome was recorded. A request to one searcher takes one slot, whereas a query over
// shards takes one of every shard.
const (
	InitialOverShards = 32.0
	InitialToSearcher = 128.0
)

// Outcome is how a request ended: InTime, Late, or Ignored when it says nothing about the load.
type Outcome interface{ outcome() }

// InTime is an answer within the latency goal.
type InTime struct{}

// Late is a request without an answer within the latency goal, also if it failed before.
type Late struct{}

// Ignored is a request that ended for another reason, such as a caller that disconnected.
type Ignored struct{}

func (InTime) outcome()  {}
func (Late) outcome()    {}
func (Ignored) outcome() {}

// Request is what decides about a request.
type Request struct {
	// Route names the route, whose work is learned.
	Route string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Goal is when the answer loses most of its value, Deadline when it loses all of it.
	Goal     time.Time
	Deadline time.Time
	// LateCounts is set when an answer between the goal and the deadline keeps a good part of its value.
	LateCounts bool
}

// Limiter is the admission control of a group of routes that share searchers. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	control  control
	works    works
	returns  returns
	inFlight float64
	// byRank is the part of the work in flight of each rank.
	byRank  [numRanks]float64
	running int
	overdue goalQueue
	waiting []*Ticket
	// seenAt is when a request of a rank last came, floor the work that a rank may have beyond its order.
	seenAt [numRanks]time.Time
	floor  [numRanks]float64
	// refusedAt is when a request was last refused.
	refusedAt time.Time
	// initial is the limit before anything was learned. strainedAt is when a request was last refused, or many were late.
	initial    float64
	strainedAt time.Time
}

// Ticket is a request that was decided on or waits. Its fields are guarded by the limiter's mutex, except ready.
type Ticket struct {
	request Request
	rank    int
	cost    float64
	// service is the learned time of the request, 0 while unknown.
	service  time.Duration
	asked    time.Time
	until    time.Time
	decision Decision
	// ready is closed when a waiting request is decided on; it is nil for requests that were decided on immediately.
	ready   chan struct{}
	started time.Time
	// index is the position of a running request among those that have not missed their goal, -1 for any other.
	index int
}

// New returns a limiter that has learned nothing yet, with the given limit in requests of the costliest route.
func New(initialLimit float64) *Limiter {
	return &Limiter{works: newWorks(), initial: initialLimit, control: control{learned: initialLimit}}
}

// Ask decides about a request. Release must be called for one that runs, once it has ended. Poll must be called for one that waits when its
// time is over, unless its channel Ready was closed before.
func (l *Limiter) Ask(now time.Time, r Request) *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	t := l.newTicket(now, r)
	l.seenAt[t.rank] = now
	l.control.expect(t.rank, r.Goal.Sub(now))
	t.decision = l.judge(now, t)
	switch d := t.decision.(type) {
	case Run:
		l.start(now, t)
	case Wait:
		t.until, t.ready = d.Until, make(chan struct{})
		l.enqueue(now, t)
	case Refuse:
		l.refuse(now, t, d.Reason)
		if l.running == 0 && now.Before(r.Deadline) {
			l.works.doubt(r.Route)
		}
	}
	return t
}

// Preview returns what Ask would decide about a request, without any effect.
func (l *Limiter) Preview(now time.Time, r Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.newTicket(now, r)
	d := l.judge(now, t)
	if refuse, ok := d.(Refuse); ok {
		refuse.After = l.returns.peek(now, t)
		return refuse
	}
	return d
}

func (l *Limiter) newTicket(now time.Time, r Request) *Ticket {
	return &Ticket{request: r, rank: min(max(r.Rank, 0), numRanks-1), cost: l.works.cost(r.Route),
		service: duration(l.works.byRoute[r.Route]), asked: now, index: -1}
}

// Decision returns what was decided last about a request.
func (l *Limiter) Decision(t *Ticket) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.decision
}

// Ready returns a channel that is closed when a waiting request is decided on.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Waited reports whether a request had to wait.
func (t *Ticket) Waited() bool { return t.ready != nil }

// Poll decides about waiting requests again, and refuses this one if its time is over.
func (l *Limiter) Poll(now time.Time, t *Ticket) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return t.decision
}

// Release ends a request that ran, records its outcome, and admits waiting ones.
func (l *Limiter) Release(now time.Time, t *Ticket, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := l.used()
	counted := t.index < 0
	if !counted {
		// Its outcome counts, even if its goal has passed since.
		heap.Remove(&l.overdue, t.index)
	}
	l.countOverdue(now)
	took := now.Sub(t.started)
	switch outcome.(type) {
	case InTime:
		l.works.learn(t.request.Route, took, used)
		l.control.record(t.rank, false, took)
	case Late:
		if counted {
			l.control.recordLatency(took)
		} else {
			l.control.record(t.rank, true, took)
		}
	}
	if used {
		l.control.adjust()
	}
	l.addWork(t.rank, -t.cost)
	l.running--
	l.advance(now)
}

// advance counts the requests that have missed their goal, and decides about the waiting ones.
func (l *Limiter) advance(now time.Time) {
	l.countOverdue(now)
	l.restore(now)
	l.review(now)
}

// restore sets the initial limit again if a lower one was learned and it has been calm since.
func (l *Limiter) restore(now time.Time) {
	switch {
	case l.strainedAt.IsZero() || len(l.waiting) > 0 || l.control.lateShare() >= lowLateShare:
		l.strainedAt = now
	case now.Sub(l.strainedAt) > calmTime:
		l.control.learned = max(l.control.learned, l.initial)
	}
}

// countOverdue counts requests as late at the moment at which they miss their goal, since their end may come much later. They keep their room,
// since the searchers still work for them.
func (l *Limiter) countOverdue(now time.Time) {
	for len(l.overdue) > 0 && l.overdue[0].request.Goal.Before(now) {
		t := heap.Pop(&l.overdue).(*Ticket)
		used := l.used()
		l.control.record(t.rank, true, t.request.Goal.Sub(t.started))
		if used {
			l.control.adjust()
		}
	}
}

// used reports whether enough of the limit is in use for it to change: below that, requests are late for other reasons.
func (l *Limiter) used() bool { return l.inFlight >= minUsedShare*l.limit() }

func (l *Limiter) limit() float64 { return l.control.limit(l.works.unit()) }

// room returns the limit for the work in flight when a request of a rank is to start.
func (l *Limiter) room(now time.Time, rank int) float64 {
	limit := l.limit()
	for urgent := range rank {
		if now.Sub(l.seenAt[urgent]) < rankMemory {
			limit -= limit * reservedShare
		}
	}
	return limit
}

func (l *Limiter) hasRoom(now time.Time, t *Ticket) bool {
	if l.running == 0 || l.inFlight+t.cost <= l.room(now, t.rank) {
		return true
	}
	urgent := t.cost
	for rank := range t.rank + 1 {
		urgent += l.byRank[rank]
	}
	return urgent <= guaranteedShare*l.limit()
}

func (l *Limiter) start(now time.Time, t *Ticket) {
	t.decision, t.started = Run{}, now
	l.addWork(t.rank, t.cost)
	l.running++
	heap.Push(&l.overdue, t)
	for rank := t.rank + 1; rank < numRanks; rank++ {
		l.floor[rank] = min(l.floor[rank]+t.cost*floorShare, maxFloor*l.works.unit())
	}
	l.floor[t.rank] = max(l.floor[t.rank]-t.cost, 0)
}

// addWork adds work in flight of a rank. The sums do not fall below 0 by rounding.
func (l *Limiter) addWork(rank int, work float64) {
	l.inFlight = max(l.inFlight+work, 0)
	l.byRank[rank] = max(l.byRank[rank]+work, 0)
}

func (l *Limiter) refuse(now time.Time, t *Ticket, r wire.Reason) {
	l.refusedAt, l.strainedAt = now, now
	t.decision = Refuse{Reason: r, After: l.returns.next(now, t, l.rate())}
}

// RetryAfter returns when the caller of a request should come back that was refused for lack of room after it was admitted.
func (l *Limiter) RetryAfter(now time.Time, r Request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returns.next(now, l.newTicket(now, r), l.rate())
}

// rate returns the work that ends per millisecond, by Little's law from the work in flight and the recent latency.
func (l *Limiter) rate() float64 { return l.control.rate(l.inFlight, l.works.unit()) }

// Saturated reports whether work waits, or another request of the least urgent rank would have to.
func (l *Limiter) Saturated(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0 || (l.running > 0 && l.inFlight+l.works.unit() > l.room(now, numRanks-1))
}

// Waits reports whether requests wait.
func (l *Limiter) Waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// overloadMemory is how long a group counts as overloaded after the last refusal.
const overloadMemory = 2 * time.Second

// State is a snapshot of a limiter.
type State struct {
	// Limit is the work that may be in flight and InFlight the work in flight, in requests of the costliest route. Running and Waiting count
	// requests.
	Limit    float64
	InFlight float64
	Running  int
	Waiting  int
	// LateShare is the recent share of requests without an answer within the goal, of the rank where it is highest.
	LateShare float64
	// PerSecond is the rate at which work ends, in requests of the costliest route.
	PerSecond float64
	// Latency is the recent latency from admission to the answer.
	Latency time.Duration
	// Overloaded is set while requests are refused.
	Overloaded bool
}

// State returns the current state.
func (l *Limiter) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	unit := l.works.unit()
	return State{Limit: l.limit() / unit, InFlight: l.inFlight / unit, Running: l.running, Waiting: len(l.waiting), LateShare: l.control.lateShare(),
		PerSecond: 1000 * l.rate() / unit, Latency: time.Duration(l.control.latency * float64(time.Millisecond)),
		Overloaded: !l.refusedAt.IsZero() && now.Sub(l.refusedAt) < overloadMemory}
}

// Await returns the decision about a request once it is Run or Refuse. It waits at most until the request's time is over, and withdraws
// the request when ended, which is asked every interval, returns a reason.
func (l *Limiter) Await(clock func() time.Time, t *Ticket, interval time.Duration, ended func(now time.Time) wire.Reason) Decision {
	wait, ok := l.Decision(t).(Wait)
	if !ok {
		return l.Decision(t)
	}
	timer, ticker := time.NewTimer(max(wait.Until.Sub(clock()), time.Millisecond)), time.NewTicker(interval)
	defer timer.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-t.ready:
			return l.Decision(t)
		case <-ticker.C:
			now := clock()
			if r := ended(now); r != wire.Reason_REASON_UNSPECIFIED {
				l.withdraw(now, t, r)
				return l.Decision(t)
			}
		case <-timer.C:
			now := clock()
			if now.Before(wait.Until) {
				now = wait.Until
			}
			return l.Poll(now, t)
		}
	}
}

// withdraw refuses a request if it still waits. The caller does not come back, so its refusal says nothing about the load.
func (l *Limiter) withdraw(now time.Time, t *Ticket, r wire.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := t.decision.(Wait); !ok {
		return
	}
	t.decision = Refuse{Reason: r}
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Ticket) bool { return other == t })
	close(t.ready)
	l.advance(now)
}

// goalQueue is a heap of the running requests by their goals.
type goalQueue []*Ticket

func (q goalQueue) Len() int           { return len(q) }
func (q goalQueue) Less(i, j int) bool { return q[i].request.Goal.Before(q[j].request.Goal) }
func (q goalQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *goalQueue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *goalQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.index = -1
	return t
}
