package picker

import (
	"fmt"
	"testing"
	"time"
)

// TestCost guards against a picker that keeps choosing a slow replica, or that never retries a replica that was slow once.
func TestCost(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		use     func(p *Picker)
		after   time.Duration
		wantMin time.Duration
		wantMax time.Duration
	}{
		"never used":               {use: func(*Picker) {}},
		"one reply":                {use: replies(start, 1, 100*time.Millisecond), wantMin: 25 * time.Millisecond, wantMax: 25 * time.Millisecond},
		"many replies":             {use: replies(start, 50, 100*time.Millisecond), wantMin: 99 * time.Millisecond, wantMax: 100 * time.Millisecond},
		"unused for 3 decay times": {use: replies(start, 50, 100*time.Millisecond), after: 3 * decayTime, wantMin: time.Millisecond, wantMax: 5 * time.Millisecond},
		"in flight":                {use: func(p *Picker) { replies(start, 50, 100*time.Millisecond)(p); p.Sent("s") }, wantMin: 198 * time.Millisecond, wantMax: 200 * time.Millisecond},
		"abandoned early": {use: func(p *Picker) {
			replies(start, 50, 100*time.Millisecond)(p)
			p.Sent("s")
			p.Abandoned(start, "s", time.Millisecond)
		}, wantMin: 99 * time.Millisecond, wantMax: 100 * time.Millisecond},
		"abandoned late": {use: func(p *Picker) {
			replies(start, 50, 100*time.Millisecond)(p)
			p.Sent("s")
			p.Abandoned(start, "s", time.Second)
		}, wantMin: 300 * time.Millisecond, wantMax: 350 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New()
			test.use(p)
			if got := p.Cost(start.Add(test.after), "s"); got < test.wantMin || got > test.wantMax {
				t.Errorf("got %v, want between %v and %v", got, test.wantMin, test.wantMax)
			}
		})
	}
}

// replies returns a function that records count replies of searcher s with the given latency.
func replies(at time.Time, count int, latency time.Duration) func(*Picker) {
	return func(p *Picker) {
		for range count {
			p.Sent("s")
			p.Replied(at, "s", latency)
		}
	}
}

// TestBound guards against memory that grows with the number of searchers ever seen.
func TestBound(t *testing.T) {
	p := New()
	for i := range maxSearchers + 10 {
		p.Sent(fmt.Sprint(i))
	}
	if got := p.count.Load(); got > maxSearchers {
		t.Errorf("got %d searchers, want at most %d", got, maxSearchers)
	}
}
