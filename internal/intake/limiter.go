// Package intake bounds the queries over shards that a node has in flight at once. The bound is learned from how many of them are answered
// in time: beyond it, queries would only lengthen the queues of the searchers until all of them are late. Urgent queries enter first.
package intake

import (
	"slices"
	"sync"
	"time"
)

const (
	// numRanks is the number of waiting lists; greater ranks share the last one.
	numRanks = 3
	// firstLimit is the bound before anything was learned, leastLimit the least one.
	firstLimit = 32.0
	leastLimit = 4.0
	mostLimit  = 4096.0
	// lateWeight is the weight of one query in the share of late ones of its rank, and fade that by which the shares of other ranks are
	// forgotten with it.
	lateWeight = 0.05
	fade       = 0.005
	// The limit falls by the factor decrease with each query that ends while more than highLate of them are late, and grows by one in
	// about limit queries while less than lowLate are.
	highLate = 0.25
	lowLate  = 0.1
	decrease = 0.97
	// usedShare is the part of the limit that must be in use for its change: otherwise the queries are late for other reasons.
	usedShare = 0.5
	// reservedShare is the part of the limit that only queries of rank 0 may use.
	reservedShare = 0.2
)

// Outcome is how a query ended: InTime, Late, or Other when it says nothing about the load.
type Outcome interface{ outcome() }

// InTime is an answer within the goal.
type InTime struct{}

// Late is a query without an answer within the goal.
type Late struct{}

// Other is a query that ended for another reason, such as a caller that left.
type Other struct{}

func (InTime) outcome() {}
func (Late) outcome()   {}
func (Other) outcome()  {}

// Limiter is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	limit float64
	// inFlight counts the queries that entered and have not left.
	inFlight int
	// late is the recent share of late queries by rank. The greatest counts: urgent queries are few, and their goals short.
	late    [numRanks]float64
	waiting [numRanks][]*Entry
}

// Entry is a query that entered or waits. Its fields are guarded by the limiter's mutex.
type Entry struct {
	rank    int
	ready   chan struct{}
	entered bool
}

// Ready is closed when the query has entered.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// New returns a limiter that has learned nothing.
func New() *Limiter { return &Limiter{limit: firstLimit} }

// Enter lets a query of a rank in, or puts it in line; 0 is the most urgent rank. It returns nil when too many wait already.
func (l *Limiter) Enter(rank int) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &Entry{rank: min(max(rank, 0), numRanks-1), ready: make(chan struct{})}
	if l.waitingUpTo(e.rank) == 0 && l.room(e.rank) {
		l.admit(e)
		return e
	}
	if float64(l.waitingUpTo(e.rank)) >= l.limit {
		return nil
	}
	l.waiting[e.rank] = append(l.waiting[e.rank], e)
	return e
}

// waitingUpTo returns the number of queries in line that are at least as urgent as a rank.
func (l *Limiter) waitingUpTo(rank int) int {
	count := 0
	for r := 0; r <= rank; r++ {
		count += len(l.waiting[r])
	}
	return count
}

func (l *Limiter) room(rank int) bool {
	limit := l.limit
	if rank > 0 {
		limit *= 1 - reservedShare
	}
	return float64(l.inFlight+1) <= limit
}

func (l *Limiter) admit(e *Entry) {
	e.entered = true
	l.inFlight++
	close(e.ready)
}

// Abandon takes a query out of the line. It reports false when the query has entered meanwhile; it must then leave.
func (l *Limiter) Abandon(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.entered {
		return false
	}
	list := l.waiting[e.rank]
	for i, other := range list {
		if other == e {
			l.waiting[e.rank] = append(list[:i], list[i+1:]...)
			break
		}
	}
	return true
}

// Leave ends a query that entered, learns from how it ended, and lets the next ones in.
func (l *Limiter) Leave(e *Entry, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := float64(l.inFlight) >= usedShare*l.limit
	l.inFlight--
	l.learn(e.rank, outcome)
	if used {
		l.adjust()
	}
	for rank := range l.waiting {
		for len(l.waiting[rank]) > 0 && l.room(rank) {
			l.admit(l.waiting[rank][0])
			l.waiting[rank] = l.waiting[rank][1:]
		}
	}
}

func (l *Limiter) learn(rank int, outcome Outcome) {
	for other := range l.late {
		l.late[other] -= l.late[other] * fade
	}
	switch outcome.(type) {
	case InTime:
		l.late[rank] -= l.late[rank] * lateWeight
	case Late:
		l.late[rank] += (1 - l.late[rank]) * lateWeight
	}
}

func (l *Limiter) adjust() {
	late := slices.Max(l.late[:])
	switch {
	case late > highLate:
		l.limit = max(l.limit*decrease, leastLimit)
	case late < lowLate:
		l.limit = min(l.limit+1/l.limit, mostLimit)
	}
}

// Saturated reports whether another query of the least urgent rank would have to wait.
func (l *Limiter) Saturated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.room(numRanks - 1)
}

// State is what a limiter decides by.
type State struct {
	// Limit is the number of queries that may be in flight, InFlight that of those that are, and Waiting that of those in line.
	Limit    int
	InFlight int
	Waiting  int
	// Late is the recent share of queries without an answer within the goal, of the rank where it is greatest.
	Late float64
}

// State returns the present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Limit: int(l.limit), InFlight: l.inFlight, Waiting: l.waitingUpTo(numRanks - 1), Late: slices.Max(l.late[:])}
}

// Wait waits until a query enters, at most for the given time, and reports whether it did.
func (l *Limiter) Wait(e *Entry, most time.Duration) bool {
	select {
	case <-e.ready:
		return true
	default:
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-e.ready:
		return true
	case <-timer.C:
		return !l.Abandon(e)
	}
}
