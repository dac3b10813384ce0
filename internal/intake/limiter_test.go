package intake

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// load is a simulated flood at one shard: queries of a rank come at a rate and are in time within the goal.
type load struct {
	rank      int
	perSecond float64
	goal      time.Duration
	served    int
	inTime    int
}

// completion is a query that ends.
type completion struct {
	at         time.Duration
	admittedAt time.Duration
	permit     *Permit
	load       *load
}

// simulate runs loads for a time before a server with one FIFO queue, whose requests take work, behind a limiter, or without one when it is
// nil. Queries that do not enter at once are refused.
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
			d := running[0]
			running = running[1:]
			d.load.served++
			var outcome Outcome = Late{}
			if d.at-d.admittedAt <= d.load.goal {
				d.load.inTime++
				outcome = InTime{}
			}
			if limiter != nil {
				limiter.Release(d.permit, outcome)
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

// Guards against a flood in which all queries are served late: without a limit none is in time.
func TestFloodIsServedInTime(t *testing.T) {
	const (
		work   = 5 * time.Millisecond
		length = 20 * time.Second
		goal   = 150 * time.Millisecond
	)
	capacity := int(length / work)
	tests := map[string]struct {
		limiter      *Limiter
		perS         float64
		least, most  int
		leastOfUsual float64
	}{
		"three times the capacity":                {limiter: New(), perS: 600, least: capacity * 6 / 10, most: capacity},
		"three times the capacity, without limit": {perS: 600, least: 0, most: capacity / 10},
		"half the capacity":                       {limiter: New(), perS: 100, least: 1900, most: 2100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			flood := &load{rank: 1, perSecond: test.perS, goal: goal}
			simulate(test.limiter, work, length, flood)
			if flood.inTime < test.least || flood.inTime > test.most {
				t.Errorf("got %d queries in time of %d served, want %d to %d", flood.inTime, flood.served, test.least, test.most)
			}
		})
	}
}

// Guards against urgent queries that a flood of less urgent ones crowds out, although the server could run all of the urgent ones.
func TestUrgentQueriesOutlastAFlood(t *testing.T) {
	urgent := &load{rank: 0, perSecond: 30, goal: 100 * time.Millisecond}
	flood := &load{rank: 1, perSecond: 600, goal: 150 * time.Millisecond}
	simulate(New(), 5*time.Millisecond, 20*time.Second, urgent, flood)
	if got, want := urgent.inTime, 30*20*8/10; got < want {
		t.Errorf("got %d urgent queries in time of %d served, want at least %d", got, urgent.served, want)
	}
}

// Guards against a limit that falls since queries are late for other reasons than their number.
func TestLimitStaysWhileUnused(t *testing.T) {
	l := New()
	for range 1000 {
		p := l.Acquire(1)
		if p == nil || !p.admitted {
			t.Fatalf("got a query that waits while %d are in flight", l.State().InFlight)
		}
		l.Release(p, Late{})
	}
	if got := l.State().Limit; got != initialLimit {
		t.Errorf("got limit %d, want %v", got, initialLimit)
	}
}

// Guards against a line that does not keep the order of ranks, loses its places, or grows without end.
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
			t.Fatal("got an urgent query that waits, want it to enter the reserved part")
		}
	}
	if !l.Cancel(cancelled) {
		t.Error("abandoned a waiting query: got false, want true")
	}
	for range reserved + 1 {
		l.Release(admitted[0], Ignored{})
	}
	if !first.admitted || l.Cancel(first) {
		t.Error("the more urgent query: got it still in line, want it to enter first")
	}
	if later.admitted || cancelled.admitted {
		t.Errorf("got less urgent entered %v and abandoned entered %v, want neither", later.admitted, cancelled.admitted)
	}
	for range 2 * int(initialLimit) {
		l.Acquire(2)
	}
	if state := l.State(); state.Waiting > state.Limit+1 {
		t.Errorf("got %d in line, want at most %d", state.Waiting, state.Limit+1)
	}
}

// Guards against a query that waits longer than it may, and one that is let in but counted as refused.
func TestWait(t *testing.T) {
	l := New()
	var admitted *Permit
	for l.hasRoom(0) {
		admitted = l.Acquire(0)
	}
	waiting := l.Acquire(0)
	if l.Wait(waiting, time.Millisecond) {
		t.Error("full: got the query in, want it refused")
	}
	waiting = l.Acquire(0)
	l.Release(admitted, InTime{})
	if !l.Wait(waiting, time.Millisecond) {
		t.Error("after another left: got the query refused, want it in")
	}
}
