package intake

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// load is a simulated flood at one shard: queries of a rank arrive at a rate, and count as in time when they end within the goal.
type load struct {
	rank      int
	perSecond float64
	goal      time.Duration
	served    int
	inTime    int
}

// arrival is a query of a load, completion one that runs and the time at which it ends.
type arrival struct {
	at   time.Duration
	load *load
}

type completion struct {
	arrival
	ends   time.Duration
	ticket *Ticket
}

func arrivals(length time.Duration, loads []*load) []arrival {
	random := rand.New(rand.NewPCG(1, 2))
	var list []arrival
	for _, l := range loads {
		for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
			list = append(list, arrival{at: at, load: l})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// simulate runs loads against a server with one FIFO queue and a fixed service time per query, behind a limiter, or without one when it is
// nil. Refused queries do not come back.
func simulate(limiter *Limiter, work, length time.Duration, loads ...*load) {
	var free time.Duration
	var running, waiting []completion
	startAdmitted := func(at time.Duration) {
		kept := waiting[:0]
		for _, w := range waiting {
			switch limiter.Poll(playStart.Add(at), w.ticket).(type) {
			case Run:
				free = max(free, at) + work
				running = append(running, completion{arrival: w.arrival, ends: free, ticket: w.ticket})
			case Wait:
				kept = append(kept, w)
			}
		}
		waiting = kept
	}
	for _, a := range arrivals(length, loads) {
		for len(running) > 0 && running[0].ends <= a.at {
			done := running[0]
			running = running[1:]
			done.load.served++
			var outcome Outcome = Late{}
			if done.ends-done.at <= done.load.goal {
				done.load.inTime++
				outcome = InTime{}
			}
			if limiter != nil {
				limiter.Release(playStart.Add(done.ends), done.ticket, outcome)
				startAdmitted(done.ends)
			}
		}
		if limiter == nil {
			free = max(free, a.at) + work
			running = append(running, completion{arrival: a, ends: free})
			continue
		}
		now := playStart.Add(a.at)
		ticket := limiter.Ask(now, Request{Route: "r", Rank: a.load.rank, Goal: now.Add(a.load.goal), Deadline: now.Add(10 * a.load.goal)})
		waiting = append(waiting, completion{arrival: a, ticket: ticket})
		startAdmitted(a.at)
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
		limiter     *Limiter
		perSecond   float64
		least, most int
	}{
		"three times the capacity":                {limiter: New(InitialOverShards), perSecond: 600, least: capacity * 6 / 10, most: capacity},
		"three times the capacity, without limit": {perSecond: 600, least: 0, most: capacity / 10},
		"half the capacity":                       {limiter: New(InitialOverShards), perSecond: 100, least: 1900, most: 2100},
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
	simulate(New(InitialOverShards), 5*time.Millisecond, 20*time.Second, urgent, flood)
	if got, want := urgent.inTime, 30*20*8/10; got < want {
		t.Errorf("got %d urgent queries in time of %d served, want at least %d", got, urgent.served, want)
	}
}

// ask returns a request of a rank that arrives at a time, with a goal of 150 ms and a deadline of 1.5 s.
func ask(l *Limiter, now time.Time, rank int) *Ticket {
	return l.Ask(now, Request{Route: "r", Rank: rank, Goal: now.Add(150 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond)})
}

func isRunning(l *Limiter, ticket *Ticket) bool { _, ok := l.Decision(ticket).(Run); return ok }

// Guards against a limit that falls when queries are late for reasons other than their number. Here they are late although only one is in
// flight at a time.
func TestLimitStaysWhileUnused(t *testing.T) {
	l := New(InitialOverShards)
	before := l.State(playStart).Limit
	for i := range 1000 {
		now := playStart.Add(time.Duration(i) * time.Second)
		p := ask(l, now, 1)
		if !isRunning(l, p) {
			t.Fatalf("query was not admitted while %d are running", l.State(now).Running)
		}
		l.Release(now.Add(500*time.Millisecond), p, Late{})
	}
	if got := l.State(playStart).Limit; got != before {
		t.Errorf("got limit %v, want %v", got, before)
	}
}

// fill runs requests of rank 0 until none more is admitted, after the work of the route was learned as 10 ms.
func fill(l *Limiter, now time.Time) []*Ticket {
	first := ask(l, now.Add(-10*time.Millisecond), 0)
	l.Release(now, first, InTime{})
	var running []*Ticket
	for {
		if _, ok := l.Preview(now, Request{Route: "r", Goal: now.Add(150 * time.Millisecond), Deadline: now.Add(time.Second)}).(Run); !ok {
			return running
		}
		running = append(running, ask(l, now, 0))
	}
}

// Guards against a query that waits longer than allowed, and against one that is admitted meanwhile but counts as refused.
func TestAwait(t *testing.T) {
	l := New(InitialOverShards)
	now := time.Now()
	ended := func(time.Time) wire.Reason { return wire.Reason_REASON_UNSPECIFIED }
	running := fill(l, now)
	if _, ok := l.Await(time.Now, ask(l, now, 1), time.Hour, ended).(Refuse); !ok {
		t.Error("limit reached: query was admitted, want it refused")
	}
	waiting := ask(l, time.Now(), 0)
	l.Release(time.Now(), running[0], InTime{})
	if _, ok := l.Await(time.Now, waiting, time.Hour, ended).(Run); !ok {
		t.Error("after a release: query was refused, want it admitted")
	}
}
