package health

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

const (
	service      = 10 * time.Millisecond
	farRoundTrip = 24 * time.Millisecond
)

// recordReplies records n sequential requests of the given latency and returns the time after them.
func recordReplies(tracker *Tracker, now time.Time, n int, latency time.Duration) time.Time {
	for range n {
		ticket := tracker.Begin(now, 0)
		now = now.Add(latency)
		tracker.End(now, ticket, Replied{})
	}
	return now
}

// timeLeft is the time within which a reply is useful.
const timeLeft = 135 * time.Millisecond

// farCost is the cost of a healthy searcher in another region.
func farCost() time.Duration { return costOf(State{}, farRoundTrip) }

func costOf(s State, roundTrip time.Duration) time.Duration {
	return s.Cost(s.Latency(roundTrip, service), timeLeft)
}

// Guards against staying with a near searcher that has become worse than a far one, and against leaving a near one that is healthy apart
// from a single or past fault.
func TestCostAgainstAFarSearcher(t *testing.T) {
	tests := map[string]struct {
		record    func(tracker *Tracker, now time.Time) time.Time
		wantLeave bool
	}{
		"well": {record: func(*Tracker, time.Time) time.Time { return start.Add(time.Second) }},
		"one slow reply": {record: func(tracker *Tracker, now time.Time) time.Time {
			return recordReplies(tracker, now, 1, 200*time.Millisecond)
		}},
		"constantly slow": {record: func(tracker *Tracker, now time.Time) time.Time {
			return recordReplies(tracker, now, 8, 110*time.Millisecond)
		}, wantLeave: true},
		"just sent": {record: func(tracker *Tracker, now time.Time) time.Time { tracker.Begin(now, 0); return now.Add(service) }},
		"stalled": {record: func(tracker *Tracker, now time.Time) time.Time {
			tracker.Begin(now, 0)
			return now.Add(50 * time.Millisecond)
		}, wantLeave: true},
		"after the stall": {record: func(tracker *Tracker, now time.Time) time.Time {
			return recordReplies(tracker, recordReplies(tracker, now, 1, 200*time.Millisecond), 2, service)
		}},
		"fails": {record: func(tracker *Tracker, now time.Time) time.Time {
			for range 3 {
				tracker.End(now, tracker.Begin(now, 0), Failed{})
			}
			return now
		}, wantLeave: true},
		"failed long ago": {record: func(tracker *Tracker, now time.Time) time.Time {
			for range 3 {
				tracker.End(now, tracker.Begin(now, 0), Failed{})
			}
			return now.Add(10 * time.Second)
		}},
		"rarely fails": {record: func(tracker *Tracker, now time.Time) time.Time {
			tracker.End(now, tracker.Begin(now, 0), Failed{})
			return recordReplies(tracker, now, 10, service)
		}},
		"sheds two of five, far searchers shed none": {record: func(tracker *Tracker, now time.Time) time.Time {
			for range 6 {
				now = recordReplies(tracker, now, 3, service)
				for range 2 {
					tracker.End(now, tracker.Begin(now, 0), Shed{})
				}
			}
			return recordReplies(tracker, now, 3, service)
		}, wantLeave: true},
		"unreachable": {record: func(tracker *Tracker, now time.Time) time.Time {
			tracker.End(now, tracker.Begin(now, 0), Unreachable{})
			return now.Add(100 * time.Millisecond)
		}, wantLeave: true},
		"sheds": {record: func(tracker *Tracker, now time.Time) time.Time {
			for range 2 {
				tracker.End(now, tracker.Begin(now, 0), Shed{})
			}
			return now
		}, wantLeave: true},
		"a long queue": {record: func(tracker *Tracker, now time.Time) time.Time {
			for range 8 {
				tracker.Begin(now, 0)
			}
			return now
		}, wantLeave: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := New(2)
			now := recordReplies(tracker, start, 50, service)
			now = test.record(tracker, now)
			cost := costOf(tracker.State(now), 0)
			if got := cost > farCost(); got != test.wantLeave {
				t.Errorf("near searcher of cost %v is left for a far one of cost %v: got %v, want %v", cost, farCost(), got, test.wantLeave)
			}
		})
	}
}

// Guards against a slow searcher that is never tried again, since it gets no requests that could replace its record of slow replies.
func TestSlownessFades(t *testing.T) {
	tracker := New(2)
	now := recordReplies(tracker, start, 20, 110*time.Millisecond)
	cost := costOf(tracker.State(now.Add(10*time.Second)), 0)
	if cost > farCost() {
		t.Errorf("got cost %v after 10s, want at most %v", cost, farCost())
	}
}

// Guards against an outcome that is counted twice, or that is counted for a request that was never sent.
func TestUnknownTicket(t *testing.T) {
	tracker := New(2)
	ticket := tracker.Begin(start, 0)
	tracker.End(start, ticket, Replied{})
	tracker.End(start, ticket, Unreachable{})
	tracker.End(start, Ticket(99), Failed{})
	if got := tracker.State(start); got.Failures != 0 || got.Avoided || got.Queue != 0 {
		t.Errorf("got %+v, want no recorded outcome", got)
	}
}

// Guards against preferring a searcher that is certain to be late to one that loses some replies but could be in time, and against
// preferring one that loses many replies to a slow one that is in time.
func TestCostOfLateAgainstFailing(t *testing.T) {
	fails := func(share float64) State { return State{Mean: service, Failures: share} }
	slow := func(mean time.Duration, outstanding int) State {
		return State{Mean: mean, Queue: float64(outstanding) / 2}
	}
	tests := map[string]struct {
		slow, failing State
		wantSlow      bool
	}{
		"slow but in time, half fails":        {slow: slow(70*time.Millisecond, 0), failing: fails(0.5), wantSlow: true},
		"slow with a queue, half fails":       {slow: slow(70*time.Millisecond, 4), failing: fails(0.5)},
		"slow with a queue, most fails":       {slow: slow(70*time.Millisecond, 1), failing: fails(0.9), wantSlow: true},
		"slower than the time left":           {slow: slow(300*time.Millisecond, 0), failing: fails(0.5)},
		"unreachable, each request fails":     {slow: State{Avoided: true}, failing: fails(1)},
		"slow but in time, a few fail":        {slow: slow(70*time.Millisecond, 0), failing: fails(0.1)},
		"both certain to be late: the faster": {slow: slow(300*time.Millisecond, 0), failing: slow(200*time.Millisecond, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := costOf(test.slow, 0) < costOf(test.failing, 0); got != test.wantSlow {
				t.Errorf("slow searcher of cost %v is preferred to one of cost %v: got %v, want %v", costOf(test.slow, 0), costOf(test.failing, 0), got, test.wantSlow)
			}
		})
	}
}

// Guards against a searcher that is taken for fast while this node's requests queue for its few connections. The expected latency must be
// greater when there are fewer connections than slots.
func TestQueueForConnections(t *testing.T) {
	tracker := New(4)
	now := recordReplies(tracker, start, 20, service)
	for range 4 {
		tracker.Begin(now, 0)
	}
	wide := tracker.State(now).Latency(0, service)
	tracker.SetConcurrency(1)
	narrow := tracker.State(now).Latency(0, service)
	if want := 2 * service; wide != want {
		t.Errorf("four slots: got latency %v, want %v", wide, want)
	}
	if want := 5 * service; narrow != want {
		t.Errorf("one connection: got latency %v, want %v", narrow, want)
	}
}
