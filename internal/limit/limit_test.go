package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// observeN observes n outcomes at intervals of step and returns the time after the last one.
func observeN(l *Limit, now time.Time, n int, step time.Duration, o Outcome) time.Time {
	for range n {
		l.Observe(now, o)
		now = now.Add(step)
	}
	return now
}

// TestLimit guards against a limit that puts full load on a cold searcher, ignores signs of load, or never recovers.
func TestLimit(t *testing.T) {
	settings := Settings{Slots: 16, Connections: 100}
	fast := Completed{Latency: 10 * time.Millisecond}
	tests := map[string]struct {
		settings Settings
		observe  func(l *Limit, now time.Time)
		low      int
		high     int
	}{
		"cold":                   {settings: settings, observe: func(*Limit, time.Time) {}, low: 1, high: 4},
		"warm":                   {settings: settings, observe: func(l *Limit, now time.Time) { observeN(l, now, 100, time.Millisecond, fast) }, low: 20, high: 20},
		"bounded by connections": {settings: Settings{Slots: 16, Connections: 5}, observe: func(l *Limit, now time.Time) { observeN(l, now, 100, time.Millisecond, fast) }, low: 5, high: 5},
		"no connections":         {settings: Settings{Slots: 16}, observe: func(l *Limit, now time.Time) { observeN(l, now, 100, time.Millisecond, fast) }, low: 1, high: 1},
		"two slots":              {settings: Settings{Slots: 2, Connections: 25}, observe: func(l *Limit, now time.Time) { observeN(l, now, 100, time.Millisecond, fast) }, low: 3, high: 3},
		"one round of shed replies": {settings: settings, observe: func(l *Limit, now time.Time) {
			now = observeN(l, now, 100, time.Millisecond, fast)
			observeN(l, now, 16, 0, Shed{})
		}, low: 15, high: 15},
		"continued shedding": {settings: settings, observe: func(l *Limit, now time.Time) {
			now = observeN(l, now, 100, time.Millisecond, fast)
			observeN(l, now, 50, 20*time.Millisecond, Shed{})
		}, low: 1, high: 1},
		"one round of losses": {settings: settings, observe: func(l *Limit, now time.Time) {
			now = observeN(l, now, 100, time.Millisecond, fast)
			observeN(l, now, 16, 0, Lost{})
		}, low: 10, high: 10},
		"inflated latency": {settings: settings, observe: func(l *Limit, now time.Time) {
			now = observeN(l, now, 100, time.Millisecond, fast)
			observeN(l, now, 100, 5*time.Millisecond, Completed{Latency: 80 * time.Millisecond})
		}, low: 1, high: 8},
		"slow work without queueing": {settings: settings, observe: func(l *Limit, now time.Time) {
			now = observeN(l, now, 100, time.Millisecond, fast)
			observeN(l, now, 100, 5*time.Millisecond, Completed{Latency: 80 * time.Millisecond, Service: 78 * time.Millisecond})
		}, low: 20, high: 20},
		"recovery after shedding": {settings: settings, observe: func(l *Limit, now time.Time) {
			now = observeN(l, now, 100, time.Millisecond, fast)
			now = observeN(l, now, 50, 20*time.Millisecond, Shed{})
			observeN(l, now, 400, time.Millisecond, fast)
		}, low: 20, high: 20},
		"slower permanently": {settings: settings, observe: func(l *Limit, now time.Time) {
			now = observeN(l, now, 100, time.Millisecond, fast)
			observeN(l, now, 4000, 10*time.Millisecond, Completed{Latency: 80 * time.Millisecond})
		}, low: 20, high: 20},
		"hint before the first outcome": {settings: settings, observe: func(l *Limit, _ time.Time) { l.Hint(0) }, low: 1, high: 1},
		"hint above the limit":          {settings: settings, observe: func(l *Limit, _ time.Time) { l.Hint(16) }, low: 4, high: 4},
		"hint after outcomes":           {settings: settings, observe: func(l *Limit, now time.Time) { observeN(l, now, 100, time.Millisecond, fast); l.Hint(0) }, low: 20, high: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(test.settings)
			test.observe(l, start)
			if got := l.Allowed(start); got < test.low || got > test.high {
				t.Errorf("allowed: got %d, want %d to %d", got, test.low, test.high)
			}
		})
	}
}

// TestBounds guards against a limit below 1, at which no outcome would ever raise it again, and against one above the
// searcher's slots plus headroom or its connections.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Slots: rapid.IntRange(0, 64).Draw(t, "slots"), Connections: rapid.IntRange(0, 64).Draw(t, "connections"), Headroom: rapid.IntRange(0, 4).Draw(t, "allowance")}
		l := New(s)
		now := start
		maxLimit := max(1, min(max(s.Slots, 1)+max(s.Headroom, max(1, s.Slots/4)), s.Connections))
		t.Repeat(map[string]func(*rapid.T){
			"completed": func(t *rapid.T) {
				l.Observe(now, Completed{
					Latency: time.Duration(rapid.IntRange(0, 1000).Draw(t, "latency")) * time.Millisecond,
					Service: time.Duration(rapid.IntRange(0, 1000).Draw(t, "service")) * time.Millisecond,
				})
			},
			"shed": func(*rapid.T) { l.Observe(now, Shed{}) },
			"lost": func(*rapid.T) { l.Observe(now, Lost{}) },
			"hint": func(t *rapid.T) { l.Hint(rapid.IntRange(-1, 100).Draw(t, "free")) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "step")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if got := l.Allowed(now); got < 1 || got > maxLimit {
					t.Fatalf("allowed: got %d, want 1 to %d", got, maxLimit)
				}
			},
		})
	})
}

func BenchmarkObserve(b *testing.B) {
	l := New(Settings{Slots: 16, Connections: 100})
	b.ReportAllocs()
	var o Outcome = Completed{Latency: time.Millisecond}
	for b.Loop() {
		l.Observe(start, o)
	}
}

func BenchmarkAllowed(b *testing.B) {
	l := New(Settings{Slots: 16, Connections: 100})
	b.ReportAllocs()
	for b.Loop() {
		l.Allowed(start)
	}
}
