package health

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

const (
	service = 10 * time.Millisecond
	far     = 24 * time.Millisecond
)

// served records n requests of a latency, one after the other, and returns the time after them.
func served(track *Track, now time.Time, n int, latency time.Duration) time.Time {
	for range n {
		ticket := track.Begin(now, 0)
		now = now.Add(latency)
		track.End(now, ticket, Replied{})
	}
	return now
}

// patience is the time in which a reply is of use.
const patience = 135 * time.Millisecond

// farCost is the cost of a well searcher in another region.
func farCost() time.Duration { return costOf(Reading{}, far) }

func costOf(r Reading, distance time.Duration) time.Duration {
	return r.Cost(r.Latency(distance, service), patience)
}

// Guards against staying with a searcher that has become worse than a far one, and against leaving a near one that is well.
func TestCostAgainstAFarSearcher(t *testing.T) {
	tests := map[string]struct {
		record    func(track *Track, now time.Time) time.Time
		wantLeave bool
	}{
		"well":           {record: func(*Track, time.Time) time.Time { return start.Add(time.Second) }},
		"one slow reply": {record: func(track *Track, now time.Time) time.Time { return served(track, now, 1, 200*time.Millisecond) }},
		"lastingly slow": {record: func(track *Track, now time.Time) time.Time { return served(track, now, 8, 110*time.Millisecond) }, wantLeave: true},
		"just sent":      {record: func(track *Track, now time.Time) time.Time { track.Begin(now, 0); return now.Add(service) }},
		"stalled": {record: func(track *Track, now time.Time) time.Time {
			track.Begin(now, 0)
			return now.Add(50 * time.Millisecond)
		}, wantLeave: true},
		"after the stall": {record: func(track *Track, now time.Time) time.Time {
			return served(track, served(track, now, 1, 200*time.Millisecond), 2, service)
		}},
		"fails": {record: func(track *Track, now time.Time) time.Time {
			for range 3 {
				track.End(now, track.Begin(now, 0), Failed{})
			}
			return now
		}, wantLeave: true},
		"failed long ago": {record: func(track *Track, now time.Time) time.Time {
			for range 3 {
				track.End(now, track.Begin(now, 0), Failed{})
			}
			return now.Add(10 * time.Second)
		}},
		"rarely fails": {record: func(track *Track, now time.Time) time.Time {
			track.End(now, track.Begin(now, 0), Failed{})
			return served(track, now, 10, service)
		}},
		"sheds two of five, as far ones do not": {record: func(track *Track, now time.Time) time.Time {
			for range 6 {
				now = served(track, now, 3, service)
				for range 2 {
					track.End(now, track.Begin(now, 0), Shed{})
				}
			}
			return served(track, now, 3, service)
		}, wantLeave: true},
		"unreachable": {record: func(track *Track, now time.Time) time.Time {
			track.End(now, track.Begin(now, 0), Unreachable{})
			return now.Add(100 * time.Millisecond)
		}, wantLeave: true},
		"sheds": {record: func(track *Track, now time.Time) time.Time {
			for range 2 {
				track.End(now, track.Begin(now, 0), Shed{})
			}
			return now
		}, wantLeave: true},
		"a long queue": {record: func(track *Track, now time.Time) time.Time {
			for range 8 {
				track.Begin(now, 0)
			}
			return now
		}, wantLeave: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			track := New(2)
			now := served(track, start, 50, service)
			now = test.record(track, now)
			cost := costOf(track.Read(now), 0)
			if got := cost > farCost(); got != test.wantLeave {
				t.Errorf("leaves a near searcher of cost %v for a far one of cost %v: got %v, want %v", cost, farCost(), got, test.wantLeave)
			}
		})
	}
}

// Guards against a slow searcher that is never tried again.
func TestSlownessFades(t *testing.T) {
	track := New(2)
	now := served(track, start, 20, 110*time.Millisecond)
	cost := costOf(track.Read(now.Add(10*time.Second)), 0)
	if cost > farCost() {
		t.Errorf("got cost %v after 10s, want at most %v", cost, farCost())
	}
}

// Guards against an outcome that is counted twice or for a request that was never sent.
func TestUnknownTicket(t *testing.T) {
	track := New(2)
	ticket := track.Begin(start, 0)
	track.End(start, ticket, Replied{})
	track.End(start, ticket, Unreachable{})
	track.End(start, Ticket(99), Failed{})
	if got := track.Read(start); got.Failures != 0 || got.Avoided || got.Queue != 0 {
		t.Errorf("got %+v, want no trace", got)
	}
}

// Guards against a searcher that is sure to reply too late while one that loses some replies could be in time.
func TestCostOfLateAgainstFailing(t *testing.T) {
	fails := func(share float64) Reading { return Reading{Mean: service, Failures: share} }
	slow := func(mean time.Duration, outstanding int) Reading {
		return Reading{Mean: mean, Queue: float64(outstanding) / 2}
	}
	tests := map[string]struct {
		slow, failing Reading
		wantSlow      bool
	}{
		"slow but in time, half fails":     {slow: slow(70*time.Millisecond, 0), failing: fails(0.5), wantSlow: true},
		"slow with a queue, half fails":    {slow: slow(70*time.Millisecond, 4), failing: fails(0.5)},
		"slow with a queue, most fails":    {slow: slow(70*time.Millisecond, 1), failing: fails(0.9), wantSlow: true},
		"slower than the patience":         {slow: slow(300*time.Millisecond, 0), failing: fails(0.5)},
		"unreachable, each request fails":  {slow: Reading{Avoided: true}, failing: fails(1)},
		"slow but in time, a few fail":     {slow: slow(70*time.Millisecond, 0), failing: fails(0.1)},
		"both beyond hope: the least slow": {slow: slow(300*time.Millisecond, 0), failing: slow(200*time.Millisecond, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := costOf(test.slow, 0) < costOf(test.failing, 0); got != test.wantSlow {
				t.Errorf("prefers the slow one of cost %v to one of cost %v: got %v, want %v", costOf(test.slow, 0), costOf(test.failing, 0), got, test.wantSlow)
			}
		})
	}
}

// Guards against a searcher that is taken for quick while this node's requests queue for its few connections.
func TestQueueForConnections(t *testing.T) {
	track := New(4)
	now := served(track, start, 20, service)
	for range 4 {
		track.Begin(now, 0)
	}
	wide := track.Read(now).Latency(0, service)
	track.SetParallel(1)
	narrow := track.Read(now).Latency(0, service)
	if want := 2 * service; wide != want {
		t.Errorf("four slots: got latency %v, want %v", wide, want)
	}
	if want := 5 * service; narrow != want {
		t.Errorf("one connection: got latency %v, want %v", narrow, want)
	}
}
