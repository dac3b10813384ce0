package intake

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// load is a simulated flood at one shard: queries of a rank arrive at a rate, and count as in time when they end within the goal.
type load struct {
	rank      int
	perSecond float64
	goal      time.Duration
	served    int
	inTime    int
}

// completion is a running query and the time at which it ends.
type completion struct {
	at         time.Duration
	admittedAt time.Duration
	permit     *Permit
	load       *load
}

// simulate runs loads against a server with one FIFO queue and a fixed service time per query, behind a limiter, or without one when it is
// nil. Queries that are not admitted immediately are refused.
func simulate(limiter *Limiter, work, length time.Duration, loads ...*load) {
	random := rand.New(rand.NewPCG(1, 2))
	type arrival struct {
		at   time.Duration
		load *load
	}
	var arrivals []arrival
	for _, l := range loads {
		for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
			arrivals = append(arrivals, arrival{at: at, load: l})
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	var free time.Duration
	var running []completion
	for _, a := range arrivals {
		for len(running) > 0 && running[0].at <= a.at {
			done := running[0]
			running = running[1:]
			done.load.served++
			var outcome Outcome = Late{}
			if done.at-done.admittedAt <= done.load.goal {
				done.load.inTime++
				outcome = InTime{}
			}
			if limiter != nil {
				limiter.Release(done.permit, outcome)
			}
		}
		var permit *Permit
		if limiter != nil {
			permit = limiter.Acquire(a.load.rank)
			if permit == nil || (!permit.admitted && limiter.Cancel(permit)) {
				continue
			}
		}
		free = max(free, a.at) + work
		running = append(running, completion{at: free, admittedAt: a.at, permit: permit, load: a.load})
	}
}

// Guards against a flood in which all queries are served late, and against a limit that leaves much of the capacity unused. Without a
// limit, hardly any query is in time, since each one waits behind all earlier ones.
func TestFloodIsServedInTime(t *testing.T) {
	const (
		work   = 5 * time.Millisecond
		length = 20 * time.Second
		goal   = 150 * time.Millisecond
	)
	capacity := int(length / work)
	tests := map[string]struct {
		limiter      *Limiter
		perSecond    float64
		least, most  int
		leastOfUsual float64
	}{
		"three times the capacity":                {limiter: New(), perSecond: 600, least: capacity * 6 / 10, most: capacity},
		"three times the capacity, without limit": {perSecond: 600, least: 0, most: capacity / 10},
		"half the capacity":                       {limiter: New(), perSecond: 100, least: 1900, most: 2100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			flood := &load{rank: 1, perSecond: test.perSecond, goal: goal}
			simulate(test.limiter, work, length, flood)
			if flood.inTime < test.least || flood.inTime > test.most {
				t.Errorf("got %d queries in time of %d served, want %d to %d", flood.inTime, flood.served, test.least, test.most)
			}
		})
	}
}

// Guards against a flood of less urgent queries that crowds out urgent ones, although the server has the capacity for all urgent queries.
func TestUrgentQueriesOutlastAFlood(t *testing.T) {
	urgent := &load{rank: 0, perSecond: 30, goal: 100 * time.Millisecond}
	flood := &load{rank: 1, perSecond: 600, goal: 150 * time.Millisecond}
	simulate(New(), 5*time.Millisecond, 20*time.Second, urgent, flood)
	if got, want := urgent.inTime, 30*20*8/10; got < want {
		t.Errorf("got %d urgent queries in time of %d served, want at least %d", got, urgent.served, want)
	}
}

// Guards against a limit that falls when queries are late for reasons other than their number. Here they are late although only one is in
// flight at a time.
func TestLimitStaysWhileUnused(t *testing.T) {
	l := New()
	for range 1000 {
		p := l.Acquire(1)
		if p == nil || !p.admitted {
			t.Fatalf("query was not admitted while %d are in flight", l.State().InFlight)
		}
		l.Release(p, Late{})
	}
	if got := l.State().Limit; got != initialLimit {
		t.Errorf("got limit %d, want %v", got, initialLimit)
	}
}

// Guards against waiting queues that do not keep the order of ranks, lose the places of cancelled queries, or grow without bound, and
// against less urgent queries that use the reserved part of the limit, so that urgent ones are not admitted.
func TestWaitingOrder(t *testing.T) {
	l := New()
	var admitted []*Permit
	for l.hasRoom(1) {
		admitted = append(admitted, l.Acquire(1))
	}
	later := l.Acquire(2)
	cancelled := l.Acquire(1)
	first := l.Acquire(1)
	reserved := int(l.limit * urgentReservedShare)
	for range reserved {
		if p := l.Acquire(0); p == nil || !p.admitted {
			t.Fatal("urgent query was not admitted to the reserved part of the limit")
		}
	}
	if !l.Cancel(cancelled) {
		t.Error("cancel of a waiting query: got false, want true")
	}
	for range reserved + 1 {
		l.Release(admitted[0], Ignored{})
	}
	if !first.admitted || l.Cancel(first) {
		t.Error("the more urgent query is still waiting, want it admitted first")
	}
	if later.admitted || cancelled.admitted {
		t.Errorf("less urgent query admitted: %v, cancelled query admitted: %v, want neither", later.admitted, cancelled.admitted)
	}
	for range 2 * int(initialLimit) {
		l.Acquire(2)
	}
	if state := l.State(); state.Waiting > state.Limit+1 {
		t.Errorf("got %d waiting queries, want at most %d", state.Waiting, state.Limit+1)
	}
}

// Guards against a query that waits longer than allowed, and against one that is admitted meanwhile but counts as refused.
func TestWait(t *testing.T) {
	l := New()
	var admitted *Permit
	for l.hasRoom(0) {
		admitted = l.Acquire(0)
	}
	waiting := l.Acquire(0)
	if l.Wait(waiting, time.Millisecond) {
		t.Error("limit reached: query was admitted, want it refused")
	}
	waiting = l.Acquire(0)
	l.Release(admitted, InTime{})
	if !l.Wait(waiting, time.Millisecond) {
		t.Error("after a release: query was refused, want it admitted")
	}
}
