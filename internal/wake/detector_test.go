package wake

import (
	"sync"
	"testing"
	"time"
)

// TestClassify guards against an undetected pause or suspended VM, and against a false alarm for a late tick or a slewed clock. It sets
// the two clocks apart, which the values of package time do not allow.
func TestClassify(t *testing.T) {
	settings := New(Settings{TickInterval: time.Second}).settings
	tests := map[string]struct {
		monotonic time.Duration
		wall      time.Duration
		want      Verdict
		stale     bool
	}{
		"in time":                  {time.Second, time.Second, Normal{}, false},
		"early":                    {0, 0, Normal{}, false},
		"late by the limit":        {3 * time.Second, 3 * time.Second, Normal{}, false},
		"paused":                   {3*time.Second + 1, 3*time.Second + 1, Paused{gap: 3*time.Second + 1}, true},
		"paused and suspended":     {4 * time.Second, time.Hour, Paused{gap: time.Hour}, true},
		"paused and set back":      {4 * time.Second, -time.Hour, Paused{gap: 4 * time.Second}, true},
		"slewed":                   {time.Second, 1499 * time.Millisecond, Normal{}, false},
		"set forward a little":     {time.Second, 2 * time.Second, Jumped{offset: time.Second}, false},
		"set forward by the limit": {time.Second, 3 * time.Second, Jumped{offset: 2 * time.Second}, false},
		"suspended":                {time.Second, 3*time.Second + 1, Jumped{offset: 2*time.Second + 1, stale: true}, true},
		"set back":                 {time.Second, -time.Hour, Jumped{offset: -time.Hour - time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := settings.classify(test.monotonic, test.wall)
			if got != test.want {
				t.Errorf("classify: got %#v, want %#v", got, test.want)
			}
			if got.Stale() != test.stale {
				t.Errorf("Stale: got %v, want %v", got.Stale(), test.stale)
			}
		})
	}
}

// TestTick guards against a gap measured from the wrong tick, with and without monotonic readings.
func TestTick(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		// offsets are the times of the ticks relative to the first one.
		offsets   []time.Duration
		monotonic Verdict
		wallOnly  Verdict
	}{
		"first tick":              {nil, Normal{}, Normal{}},
		"in time":                 {[]time.Duration{second}, Normal{}, Normal{}},
		"paused":                  {[]time.Duration{10 * second}, Paused{gap: 10 * second}, Paused{gap: 10 * second}},
		"normal after the pause":  {[]time.Duration{10 * second, 11 * second}, Normal{}, Normal{}},
		"many small delays":       {[]time.Duration{2 * second, 4 * second, 6 * second, 8 * second}, Normal{}, Normal{}},
		"delayed loop":            {[]time.Duration{second, second - time.Millisecond}, Normal{}, Normal{}},
		"delayed loop is ignored": {[]time.Duration{2 * second, 1900 * time.Millisecond, 4950 * time.Millisecond}, Normal{}, Normal{}},
		"set back":                {[]time.Duration{-10 * second}, Normal{}, Jumped{offset: -10 * second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			if got := ticks(start, test.offsets); got != test.monotonic {
				t.Errorf("with monotonic readings: got %#v, want %#v", got, test.monotonic)
			}
			if got := ticks(start.Round(0), test.offsets); got != test.wallOnly {
				t.Errorf("without monotonic readings: got %#v, want %#v", got, test.wallOnly)
			}
		})
	}
}

// ticks returns the verdict on the last tick.
func ticks(start time.Time, offsets []time.Duration) Verdict {
	detector := New(Settings{TickInterval: time.Second})
	verdict := detector.Tick(start)
	for _, offset := range offsets {
		verdict = detector.Tick(start.Add(offset))
	}
	return verdict
}

// TestConcurrentTicks guards, under the race detector, against a false alarm when several loops share a detector.
func TestConcurrentTicks(t *testing.T) {
	const (
		loops = 4
		count = 1000
	)
	detector := New(Settings{})
	start := time.Now()
	var group sync.WaitGroup
	for range loops {
		group.Go(func() {
			for k := range count {
				if got := detector.Tick(start.Add(time.Duration(k) * time.Microsecond)); got != (Normal{}) {
					t.Errorf("Tick: got %#v, want Normal", got)
				}
			}
		})
	}
	group.Wait()
}

// TestOnePause guards against a pause that is reported to several loops, since one refresh of the views is enough.
func TestOnePause(t *testing.T) {
	detector := New(Settings{})
	start := time.Now()
	detector.Tick(start)
	resumed := start.Add(time.Minute)
	if got, want := detector.Tick(resumed), (Paused{gap: time.Minute}); got != want {
		t.Errorf("first loop: got %#v, want %#v", got, want)
	}
	if got, want := detector.Tick(resumed.Add(time.Millisecond)), (Normal{}); got != want {
		t.Errorf("second loop: got %#v, want %#v", got, want)
	}
}

func BenchmarkTick(b *testing.B) {
	detector := New(Settings{})
	b.ReportAllocs()
	for b.Loop() {
		detector.Tick(time.Now())
	}
}
