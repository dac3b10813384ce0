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
		ticket := track.Begin(now)
		now = now.Add(latency)
		track.End(now, ticket, Replied{})
	}
	return now
}

// farCost is the cost of a well searcher in another region.
func farCost() time.Duration { return Reading{}.Cost(far, service, 2) }

// Guards against staying with a searcher that has become worse than a far one, and against leaving a near one that is well.
func TestCostAgainstAFarSearcher(t *testing.T) {
	tests := map[string]struct {
		record    func(track *Track, now time.Time) time.Time
		wantLeave bool
	}{
		"well":           {record: func(*Track, time.Time) time.Time { return start.Add(time.Second) }},
		"one slow reply": {record: func(track *Track, now time.Time) time.Time { return served(track, now, 1, 200*time.Millisecond) }},
		"lastingly slow": {record: func(track *Track, now time.Time) time.Time { return served(track, now, 8, 110*time.Millisecond) }, wantLeave: true},
		"just sent":      {record: func(track *Track, now time.Time) time.Time { track.Begin(now); return now.Add(service) }},
		"stalled":        {record: func(track *Track, now time.Time) time.Time { track.Begin(now); return now.Add(50 * time.Millisecond) }, wantLeave: true},
		"after the stall": {record: func(track *Track, now time.Time) time.Time {
			return served(track, served(track, now, 1, 200*time.Millisecond), 2, service)
		}},
		"fails": {record: func(track *Track, now time.Time) time.Time {
			for range 3 {
				track.End(now, track.Begin(now), Failed{})
			}
			return now
		}, wantLeave: true},
		"failed long ago": {record: func(track *Track, now time.Time) time.Time {
			for range 3 {
				track.End(now, track.Begin(now), Failed{})
			}
			return now.Add(10 * time.Second)
		}},
		"rarely fails": {record: func(track *Track, now time.Time) time.Time {
			track.End(now, track.Begin(now), Failed{})
			return served(track, now, 10, service)
		}},
		"sheds two of five, as far ones do not": {record: func(track *Track, now time.Time) time.Time {
			for range 6 {
				now = served(track, now, 3, service)
				for range 2 {
					track.End(now, track.Begin(now), Shed{})
				}
			}
			return served(track, now, 3, service)
		}, wantLeave: true},
		"unreachable": {record: func(track *Track, now time.Time) time.Time {
			track.End(now, track.Begin(now), Unreachable{})
			return now.Add(100 * time.Millisecond)
		}, wantLeave: true},
		"sheds": {record: func(track *Track, now time.Time) time.Time {
			for range 2 {
				track.End(now, track.Begin(now), Shed{})
			}
			return now
		}, wantLeave: true},
		"a long queue": {record: func(track *Track, now time.Time) time.Time {
			for range 8 {
				track.Begin(now)
			}
			return now
		}, wantLeave: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			track := New()
			now := served(track, start, 50, service)
			now = test.record(track, now)
			cost := track.Read(now).Cost(0, service, 2)
			if got := cost > farCost(); got != test.wantLeave {
				t.Errorf("leaves a near searcher of cost %v for a far one of cost %v: got %v, want %v", cost, farCost(), got, test.wantLeave)
			}
		})
	}
}

// Guards against a slow searcher that is never tried again.
func TestSlownessFades(t *testing.T) {
	track := New()
	now := served(track, start, 20, 110*time.Millisecond)
	cost := track.Read(now.Add(10*time.Second)).Cost(0, service, 2)
	if cost > farCost() {
		t.Errorf("got cost %v after 10s, want at most %v", cost, farCost())
	}
}

// Guards against an outcome that is counted twice or for a request that was never sent.
func TestUnknownTicket(t *testing.T) {
	track := New()
	ticket := track.Begin(start)
	track.End(start, ticket, Replied{})
	track.End(start, ticket, Unreachable{})
	track.End(start, Ticket(99), Failed{})
	if got := track.Read(start).Penalty; got != 0 {
		t.Errorf("got penalty %v, want 0", got)
	}
}
