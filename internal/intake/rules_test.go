package intake

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	goal     = 150 * time.Millisecond
	deadline = 1500 * time.Millisecond
)

// learned returns a limiter that has learned the work of the routes "r" (10 ms) and "cheap" (2 ms), for 24 slots, and the present time.
func learned() (*Limiter, time.Time) { return learnedFrom(6) }

func learnedFrom(limit float64) (*Limiter, time.Time) {
	l, now := New(limit), playStart
	for range 20 {
		for route, work := range map[string]time.Duration{"r": 10 * time.Millisecond, "cheap": 2 * time.Millisecond} {
			ticket := l.Ask(now, Request{Route: route, Rank: 2, Goal: now.Add(goal), Deadline: now.Add(deadline)})
			l.Release(now.Add(work), ticket, InTime{})
		}
		now = now.Add(20 * time.Millisecond)
	}
	return l, now.Add(2 * rankMemory)
}

// fillWith asks for requests until one does not run, and returns those that do.
func fillWith(l *Limiter, now time.Time, r Request) []*Ticket {
	var running []*Ticket
	for {
		if _, ok := l.Preview(now, r).(Run); !ok {
			return running
		}
		running = append(running, l.Ask(now, r))
	}
}

func request(now time.Time, rank int) Request {
	return Request{Route: "r", Rank: rank, Goal: now.Add(goal), Deadline: now.Add(deadline)}
}

func refusal(d Decision) wire.Reason {
	if r, ok := d.(Refuse); ok {
		return r.Reason
	}
	return wire.Reason_REASON_UNSPECIFIED
}

// Guards against a limit that counts requests, so that a flood of cheap ones is refused while the searchers are idle (payroll name x20).
func TestCheapRequestsTakeLessRoom(t *testing.T) {
	l, now := learned()
	costly := len(fillWith(l, now, request(now, 0)))
	l, now = learned()
	r := request(now, 0)
	r.Route = "cheap"
	if cheap := len(fillWith(l, now, r)); cheap < 4*costly {
		t.Errorf("got %d requests of 2 ms beside %d of 10 ms, want at least four times as many", cheap, costly)
	}
}

// Guards against a limit that learns from the end of late requests, seconds after the searchers were overloaded (payroll all x5, half slow).
func TestMissedGoalCountsAtThatMoment(t *testing.T) {
	l, now := learnedFrom(InitialOverShards)
	running := len(fillWith(l, now, request(now, 0)))
	before := l.State(now).Limit
	// No request ends: the next ones find the limit lowered as soon as the first are late.
	l.Ask(now.Add(goal+time.Millisecond), request(now.Add(goal+time.Millisecond), 0))
	state := l.State(now)
	if state.Limit >= before || state.LateShare == 0 {
		t.Errorf("got limit %v and late share %v with %d late requests, want less than %v and more than 0", state.Limit, state.LateShare, running, before)
	}
}

// Guards against waiting requests that are served as they came, so that urgent ones and those that are due miss their goals (exercises browse
// x20).
func TestWaitingOrder(t *testing.T) {
	l, now := learned()
	running := fillWith(l, now, request(now, 0))
	later := request(now, 1)
	later.Goal = now.Add(2 * goal)
	first := l.Ask(now, later)
	second := l.Ask(now.Add(time.Millisecond), request(now.Add(time.Millisecond), 1))
	third := l.Ask(now.Add(2*time.Millisecond), request(now.Add(2*time.Millisecond), 0))
	for i, want := range []*Ticket{third, second, first} {
		for _, ticket := range running[2*i : 2*i+2] {
			l.Release(now.Add(5*time.Millisecond), ticket, Ignored{})
		}
		if !isRunning(l, want) {
			t.Errorf("after %d releases: got %v for the request of rank %d, want it to run", 2*i+2, l.Decision(want), want.rank)
		}
	}
}

// Guards against callers that wait for a refusal: of a request whose time is over, that can't be in time behind others, or that is displaced by
// a more urgent one (payroll all x20).
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	l, now := learned()
	expired := request(now, 0)
	expired.Deadline = now.Add(5 * time.Millisecond)
	if got := refusal(l.Ask(now, expired).decision); got != wire.Reason_REASON_CANNOT_MEET_DEADLINE {
		t.Errorf("deadline before the end of its work: got %v, want CANNOT_MEET_DEADLINE", got)
	}
	fillWith(l, now, request(now, 0))
	var waiting []*Ticket
	for {
		ticket := l.Ask(now, request(now, 2))
		if _, ok := ticket.decision.(Wait); !ok {
			if got := refusal(ticket.decision); got != wire.Reason_REASON_ADMISSION && got != wire.Reason_REASON_CANNOT_MEET_DEADLINE {
				t.Errorf("behind %d others: got %v, want a refusal at once", len(waiting), got)
			}
			break
		}
		waiting = append(waiting, ticket)
	}
	if len(waiting) == 0 {
		t.Fatal("got no waiting request")
	}
	// Urgent requests take the place of the last waiting one.
	for range 2 {
		l.Ask(now, request(now, 0))
	}
	last := waiting[len(waiting)-1]
	if got := refusal(l.Decision(last)); got != wire.Reason_REASON_DISPLACED {
		t.Errorf("the last of %d waiting requests: got %v, want DISPLACED", len(waiting), got)
	}
	select {
	case <-last.Ready():
	default:
		t.Error("the displaced request was not woken")
	}
	// All others are refused within a quarter of the goal, though nothing ends.
	l.Poll(now.Add(goal/4), waiting[0])
	for _, ticket := range waiting {
		if refusal(l.Decision(ticket)) == wire.Reason_REASON_UNSPECIFIED {
			t.Errorf("got %v a quarter of the goal later, want a refusal", l.Decision(ticket))
		}
	}
}

// Guards against a refusal long after a quarter of the goal of a request to one searcher, whose caller can't be served in time any more but
// gains from a late answer: it keeps its turn (payroll all x20, payslip).
func TestLateAnswerOfOneSearcherCounts(t *testing.T) {
	l, now := learned()
	long := request(now, 0)
	long.Goal, long.Deadline = now.Add(time.Minute), now.Add(time.Hour)
	running := fillWith(l, now, long)
	r := request(now, 1)
	r.Goal, r.Deadline, r.LateCounts = now.Add(4*goal), now.Add(4*deadline), true
	waiting := l.Ask(now, r)
	now = now.Add(goal + goal/5)
	sooner := r
	sooner.Goal = r.Goal.Add(-goal / 5)
	fresh := l.Ask(now, sooner)
	for name, ticket := range map[string]*Ticket{"old": waiting, "fresh": fresh} {
		if _, ok := l.Decision(ticket).(Wait); !ok {
			t.Fatalf("%s: got %v, want it to wait", name, l.Decision(ticket))
		}
	}
	for !isRunning(l, waiting) && len(running) > 0 {
		l.Release(now, running[0], Late{})
		running = running[1:]
		if isRunning(l, fresh) && !isRunning(l, waiting) {
			t.Fatal("a request that came later ran first")
		}
	}
	if !isRunning(l, waiting) {
		t.Errorf("got %v after all others ended, want it to run", l.Decision(waiting))
	}
}

// Guards against a rank that gets nothing while more urgent requests take all room (exercises all x20).
func TestLeastUrgentRankIsNotStarved(t *testing.T) {
	l, now := learned()
	got := 0
	running := fillWith(l, now, request(now, 0))
	for range 1000 {
		now = now.Add(time.Millisecond)
		l.Release(now, running[0], InTime{})
		running = append(running[1:], l.Ask(now, request(now, 0)))
		if ticket := l.Ask(now, request(now, 2)); isRunning(l, ticket) {
			got++
			l.Release(now, ticket, Ignored{})
		}
	}
	if least, most := 1000*floorShare/2, 1000*floorShare*2; float64(got) < least || float64(got) > most {
		t.Errorf("got %d of 1000 less urgent requests admitted, want %v to %v", got, least, most)
	}
}

// Guards against callers that come back in one wave, sooner than work ends, or later than they are willing to wait (payroll all x8).
func TestReturnsAreSpread(t *testing.T) {
	l, now := learned()
	fillWith(l, now, request(now, 0))
	perBucket := make(map[time.Duration]int)
	const callers = 3000
	bucketLength := deadline / 30
	ending := l.rate() * milliseconds(bucketLength) / l.works.cost("r")
	for range callers {
		refuse, ok := l.Ask(now, request(now, 2)).decision.(Refuse)
		if !ok {
			continue
		}
		if refuse.After < minReturn || refuse.After > deadline/3 {
			t.Fatalf("got %v, want %v to a third of the deadline of %v", refuse.After, minReturn, deadline)
		}
		perBucket[refuse.After/bucketLength]++
	}
	for bucket, count := range perBucket {
		if float64(count) > max(ending, callers/4) {
			t.Errorf("got %d of %d callers back within %v from %v on, want at most the %.0f that end", count, callers, bucketLength, bucket*bucketLength, ending)
		}
	}
	urgent := l.returns.peek(now, l.newTicket(now, request(now, 0)))
	if least := l.returns.peek(now, l.newTicket(now, request(now, 2))); urgent >= least {
		t.Errorf("got %v for an urgent caller, want less than the %v of the least urgent", urgent, least)
	}
}

// Guards against a preview that changes what later requests get.
func TestPreviewChangesNothing(t *testing.T) {
	l, now := learned()
	fillWith(l, now, request(now, 0))
	for l.Ask(now, request(now, 2)).ready != nil {
		continue
	}
	before, after := l.State(now), l.returns
	for range 50 {
		if d := l.Preview(now, request(now, 2)); refusal(d) == wire.Reason_REASON_UNSPECIFIED {
			t.Fatalf("got %v, want a refusal", d)
		}
	}
	if got := l.State(now); got != before || l.returns != after {
		t.Errorf("got state %+v, want %+v", got, before)
	}
}

// Guards against urgent requests that are refused while less urgent ones hold the room: some of it is left to a rank seen lately, and a rank
// that comes after a flood began has room nevertheless (exercises all x20).
func TestUrgentRequestsHaveRoom(t *testing.T) {
	l, now := learned()
	alone := len(fillWith(l, now, request(now, 1)))
	if urgent := len(fillWith(l, now, request(now, 0))); float64(urgent) < 0.6*float64(alone) {
		t.Errorf("got %d urgent requests admitted beside %d less urgent ones, want at least 0.6 as many", urgent, alone)
	}
	l, now = learned()
	l.Release(now, l.Ask(now, request(now, 0)), Ignored{})
	if beside := len(fillWith(l, now, request(now, 1))); beside >= alone {
		t.Errorf("got %d less urgent requests after an urgent one was seen, want fewer than the %d without", beside, alone)
	}
}

// Guards against a limiter that refuses all requests of a route for good: work that was learned while a searcher was slow and exceeds what callers
// wait is only corrected by requests that run.
func TestLearnedWorkBeyondTheDeadlineIsTriedAgain(t *testing.T) {
	l, now := New(InitialToSearcher), playStart
	ask := func(timeout time.Duration) *Ticket {
		return l.Ask(now, Request{Route: "r", Goal: now.Add(timeout), Deadline: now.Add(timeout), LateCounts: true})
	}
	l.Release(now.Add(90*time.Millisecond), ask(100*time.Millisecond), InTime{})
	now = now.Add(time.Second)
	for range 100 {
		now = now.Add(time.Second)
		if _, ok := l.Decision(ask(50 * time.Millisecond)).(Run); ok {
			return
		}
	}
	t.Error("got 100 refusals on an idle node, want a request that runs")
}

// Guards against a refused request without time left that moves the times at which others come back to the present, so that they come together.
func TestRefusalWithoutTimeLeftKeepsTheOthersApart(t *testing.T) {
	var r returns
	now := playStart
	long := &Ticket{request: request(now, 1), rank: 1, cost: 10}
	for range 3 {
		r.next(now, long, 1)
	}
	before := r.nextAt[1]
	r.next(now, &Ticket{request: Request{Rank: 1, Goal: now, Deadline: now}, rank: 1, cost: 10}, 1)
	if got := r.nextAt[1]; got.Before(before) {
		t.Errorf("got next return %v earlier than before", before.Sub(got))
	}
}

// Guards against a limit that stays as low as a flood left it, since it grows only while half of it is in use: a burst in calm conditions would be
// refused.
func TestLimitIsRestoredInCalm(t *testing.T) {
	l, now := New(InitialToSearcher), playStart
	ask := func() *Ticket {
		return l.Ask(now, Request{Route: "r", Rank: 2, Goal: now.Add(time.Second), Deadline: now.Add(10 * time.Second), LateCounts: true})
	}
	l.control.learned = minLimit
	for range 1000 {
		ticket := ask()
		now = now.Add(120 * time.Millisecond)
		l.Release(now, ticket, InTime{})
	}
	for i := range 100 {
		if ticket := ask(); l.Decision(ticket) != (Run{}) {
			t.Fatalf("request %d of a burst: got %+v, want Run", i, l.Decision(ticket))
		}
	}
}

// Guards against a request that was answered in time and released a moment after its goal, and that counts as late too.
func TestAnswerInTimeIsNotLate(t *testing.T) {
	l, now := learned()
	ticket := l.Ask(now, request(now, 0))
	l.Release(now.Add(goal+time.Millisecond), ticket, InTime{})
	if got := l.State(now).LateShare; got != 0 {
		t.Errorf("got late share %v, want 0", got)
	}
}
