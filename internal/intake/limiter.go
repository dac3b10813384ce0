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
	// initialLimit is the bound before anything was learned, leastLimit the least one.
	initialLimit = 32.0
	minLimit     = 4.0
	maxLimit     = 4096.0
	// lateWeight is the weight of one query in the share of late ones of its rank, and fade that by which the shares of other ranks are
	// forgotten with it.
	lateWeight     = 0.05
	crossRankDecay = 0.005
	// The limit falls by the factor decrease with each query that ends while more than highLate of them are late, and grows by one in
	// about limit queries while less than lowLate are.
	highLateShare  = 0.25
	lowLateShare   = 0.1
	decreaseFactor = 0.97
	// minUsedShare is the part of the limit that must be in use for its change: otherwise the queries are late for other reasons.
	minUsedShare = 0.5
	// urgentReservedShare is the part of the limit that only queries of rank 0 may use.
	urgentReservedShare = 0.2
)

// Outcome is how a query ended: InTime, Late, or Other when it says nothing about the load.
type Outcome interface{ outcome() }

// InTime is an answer within the goal.
type InTime struct{}

// Late is a query without an answer within the goal.
type Late struct{}

// Ignored is a query that ended for another reason, such as a caller that left.
type Ignored struct{}

func (InTime) outcome()  {}
func (Late) outcome()    {}
func (Ignored) outcome() {}

// Limiter is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	limit float64
	// inFlight counts the queries that entered and have not left.
	inFlight int
	// lateShare is the recent share of late queries by rank. The greatest counts: urgent queries are few, and their goals short.
	lateShare [numRanks]float64
	waiting   [numRanks][]*Permit
}

// Permit is a query that entered or waits. Its fields are guarded by the limiter's mutex.
type Permit struct {
	rank     int
	ready    chan struct{}
	admitted bool
}

// Ready is closed when the query has entered.
func (p *Permit) Ready() <-chan struct{} { return p.ready }

// New returns a limiter that has learned nothing.
func New() *Limiter { return &Limiter{limit: initialLimit} }

// Acquire lets a query of a rank in, or puts it in line; 0 is the most urgent rank. It returns nil when too many wait already.
func (l *Limiter) Acquire(rank int) *Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &Permit{rank: min(max(rank, 0), numRanks-1), ready: make(chan struct{})}
	if l.waitingUpTo(p.rank) == 0 && l.hasRoom(p.rank) {
		l.admit(p)
		return p
	}
	if float64(l.waitingUpTo(p.rank)) >= l.limit {
		return nil
	}
	l.waiting[p.rank] = append(l.waiting[p.rank], p)
	return p
}

// waitingUpTo returns the number of queries in line that are at least as urgent as a rank.
func (l *Limiter) waitingUpTo(rank int) int {
	count := 0
	for r := 0; r <= rank; r++ {
		count += len(l.waiting[r])
	}
	return count
}

func (l *Limiter) hasRoom(rank int) bool {
	limit := l.limit
	if rank > 0 {
		limit *= 1 - urgentReservedShare
	}
	return float64(l.inFlight+1) <= limit
}

func (l *Limiter) admit(p *Permit) {
	p.admitted = true
	l.inFlight++
	close(p.ready)
}

// Cancel takes a query out of the line. It reports false when the query has entered meanwhile; it must then leave.
func (l *Limiter) Cancel(p *Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.admitted {
		return false
	}
	list := l.waiting[p.rank]
	for i, other := range list {
		if other == p {
			l.waiting[p.rank] = append(list[:i], list[i+1:]...)
			break
		}
	}
	return true
}

// Release ends a query that entered, learns from how it ended, and lets the next ones in.
func (l *Limiter) Release(p *Permit, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := float64(l.inFlight) >= minUsedShare*l.limit
	l.inFlight--
	l.recordOutcome(p.rank, outcome)
	if used {
		l.adjustLimit()
	}
	for rank := range l.waiting {
		for len(l.waiting[rank]) > 0 && l.hasRoom(rank) {
			l.admit(l.waiting[rank][0])
			l.waiting[rank] = l.waiting[rank][1:]
		}
	}
}

func (l *Limiter) recordOutcome(rank int, outcome Outcome) {
	for other := range l.lateShare {
		l.lateShare[other] -= l.lateShare[other] * crossRankDecay
	}
	switch outcome.(type) {
	case InTime:
		l.lateShare[rank] -= l.lateShare[rank] * lateWeight
	case Late:
		l.lateShare[rank] += (1 - l.lateShare[rank]) * lateWeight
	}
}

func (l *Limiter) adjustLimit() {
	late := slices.Max(l.lateShare[:])
	switch {
	case late > highLateShare:
		l.limit = max(l.limit*decreaseFactor, minLimit)
	case late < lowLateShare:
		l.limit = min(l.limit+1/l.limit, maxLimit)
	}
}

// Saturated reports whether another query of the least urgent rank would have to wait.
func (l *Limiter) Saturated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.hasRoom(numRanks - 1)
}

// State is what a limiter decides by.
type State struct {
	// Limit is the number of queries that may be in flight, InFlight that of those that are, and Waiting that of those in line.
	Limit    int
	InFlight int
	Waiting  int
	// LateShare is the recent share of queries without an answer within the goal, of the rank where it is greatest.
	LateShare float64
}

// State returns the present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Limit: int(l.limit), InFlight: l.inFlight, Waiting: l.waitingUpTo(numRanks - 1), LateShare: slices.Max(l.lateShare[:])}
}

// Wait waits until a query enters, at most for the given time, and reports whether it did.
func (l *Limiter) Wait(p *Permit, most time.Duration) bool {
	select {
	case <-p.ready:
		return true
	default:
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-p.ready:
		return true
	case <-timer.C:
		return !l.Cancel(p)
	}
}
