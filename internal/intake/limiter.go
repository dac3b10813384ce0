// Package intake limits the queries over shards that a node has in flight. The limit adapts to the share of queries that are answered in
// time: beyond it, more queries would only lengthen the queues at the searchers until all queries are late. Urgent queries are admitted
// first.
package intake

import (
	"slices"
	"sync"
	"time"
)

const (
	// numRanks is the number of waiting queues; ranks beyond the last share the last queue.
	numRanks = 3
	// initialLimit is the limit before any outcome was recorded; minLimit and maxLimit are the bounds of the limit.
	initialLimit = 32.0
	minLimit     = 4.0
	maxLimit     = 4096.0
	// lateWeight is the weight of one query in the late share of its own rank. crossRankDecay is the fraction by which each query lowers
	// the late shares of all ranks, so that the share of an inactive rank decays.
	lateWeight     = 0.05
	crossRankDecay = 0.005
	// The limit is multiplied by decreaseFactor for each query that ends while the late share is above highLateShare. It grows by one in
	// about limit queries while the late share is below lowLateShare.
	highLateShare  = 0.25
	lowLateShare   = 0.1
	decreaseFactor = 0.97
	// minUsedShare is the fraction of the limit that must be in use for the limit to change: below it, queries are late for other reasons.
	minUsedShare = 0.5
	// urgentReservedShare is the fraction of the limit that is reserved for queries of rank 0.
	urgentReservedShare = 0.2
)

// Outcome is how a query ended: InTime, Late, or Ignored when it says nothing about the load.
type Outcome interface{ outcome() }

// InTime is an answer within the latency goal.
type InTime struct{}

// Late is a query without an answer within the latency goal.
type Late struct{}

// Ignored is a query that ended for another reason, such as a caller that disconnected.
type Ignored struct{}

func (InTime) outcome()  {}
func (Late) outcome()    {}
func (Ignored) outcome() {}

// Limiter is an adaptive concurrency limiter with a waiting queue for each rank. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	limit float64
	// inFlight counts the queries that were admitted and not released.
	inFlight int
	// lateShare is the recent share of late queries by rank. The highest share decides, since urgent queries are few and their goals are
	// short.
	lateShare [numRanks]float64
	waiting   [numRanks][]*Permit
}

// Permit is a query that is admitted or waiting. Its fields are guarded by the limiter's mutex.
type Permit struct {
	rank     int
	ready    chan struct{}
	admitted bool
}

// Ready returns a channel that is closed when the query is admitted.
func (p *Permit) Ready() <-chan struct{} { return p.ready }

// New returns a limiter with the initial limit.
func New() *Limiter { return &Limiter{limit: initialLimit} }

// Acquire admits a query of a rank or puts it in the waiting queue; 0 is the most urgent rank. It returns nil when too many queries wait
// already.
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

// waitingUpTo returns the number of waiting queries that are at least as urgent as a rank.
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

// Cancel removes a query from the waiting queue. It returns false when the query was admitted in the meantime; Release must be called then.
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

// Release ends an admitted query, records its outcome, and admits the next waiting queries.
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

// State is a snapshot of a limiter.
type State struct {
	// Limit is the number of queries that may be in flight, InFlight the number in flight, and Waiting the number in the waiting queues.
	Limit    int
	InFlight int
	Waiting  int
	// LateShare is the recent share of queries without an answer within the goal, of the rank where it is highest.
	LateShare float64
}

// State returns the current state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Limit: int(l.limit), InFlight: l.inFlight, Waiting: l.waitingUpTo(numRanks - 1), LateShare: slices.Max(l.lateShare[:])}
}

// Wait waits until a query is admitted, at most for the given time, and reports whether it was admitted.
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
