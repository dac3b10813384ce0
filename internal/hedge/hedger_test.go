package hedge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudget guards against hedges that add more than 5% of load, or any while owners are saturated.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		pressure float64
		want     int
	}{
		"no pressure":            {pressure: 0, want: 50},
		"up to a half":           {pressure: 0.5, want: 50},
		"three quarters":         {pressure: 0.75, want: 25},
		"nearly saturated":       {pressure: 0.95, want: 5},
		"saturated":              {pressure: 1},
		"overloaded":             {pressure: 7},
		"not a number":           {pressure: math.NaN()},
		"infinite":               {pressure: math.Inf(1)},
		"negative, as if unused": {pressure: -1, want: 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New(Settings{})
			got := 0
			for range 1000 {
				h.Sent(1)
				if h.Allow(test.pressure) {
					got++
				}
			}
			if got < test.want-1 || got > test.want {
				t.Errorf("hedges of 1000 attempts: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestBudgetIsNeverExceeded guards against sequences of calls that send more than 5% hedges or accumulate more budget than
// MaxBudget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBudget := rapid.IntRange(1, 50).Draw(t, "saved")
		h := New(Settings{MaxBudget: maxBudget})
		sent, hedges, sinceSent := 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				n := rapid.IntRange(-1, 500).Draw(t, "n")
				h.Sent(n)
				sent += max(n, 0)
				sinceSent = 0
			},
			"allow": func(t *rapid.T) {
				if h.Allow(rapid.Float64Range(-1, 2).Draw(t, "pressure")) {
					hedges++
					sinceSent++
				}
			},
			"": func(t *rapid.T) {
				if hedges*20 > sent {
					t.Fatalf("hedges: got %d of %d attempts, want at most 5%%", hedges, sent)
				}
				if sinceSent > maxBudget {
					t.Fatalf("hedges at once: got %d, want at most %d", sinceSent, maxBudget)
				}
			},
		})
	})
}

// TestBudgetUnderConcurrency guards against concurrent calls that spend the same budget twice.
func TestBudgetUnderConcurrency(t *testing.T) {
	h := New(Settings{MaxBudget: 1000})
	var hedges atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 2000 {
				h.Sent(1)
				if h.Allow(0) {
					hedges.Add(1)
				}
			}
		})
	}
	group.Wait()
	if got, want := hedges.Load(), int64(8*2000/20); got != want {
		t.Errorf("hedges: got %d, want %d", got, want)
	}
}

// TestDelay guards against delays that ignore the collection's latency, are slow to follow a change, or exceed their bounds.
func TestDelay(t *testing.T) {
	uniform := func(r *rand.Rand, limit time.Duration) time.Duration {
		return time.Duration(r.Float64() * float64(limit))
	}
	const seed = 11
	tests := map[string]struct {
		settings Settings
		observe  func(h *Hedger, r *rand.Rand)
		low      time.Duration
		high     time.Duration
	}{
		"no samples":      {observe: func(*Hedger, *rand.Rand) {}, low: 50 * time.Millisecond, high: 50 * time.Millisecond},
		"too few samples": {observe: func(h *Hedger, _ *rand.Rand) { h.Observe("c", time.Second) }, low: 50 * time.Millisecond, high: 50 * time.Millisecond},
		"uniform": {observe: func(h *Hedger, r *rand.Rand) {
			for range 10_000 {
				h.Observe("c", uniform(r, 100*time.Millisecond))
			}
		}, low: 92 * time.Millisecond, high: 98 * time.Millisecond},
		"other collection": {observe: func(h *Hedger, _ *rand.Rand) {
			for range 10_000 {
				h.Observe("d", time.Second)
			}
		}, low: 50 * time.Millisecond, high: 50 * time.Millisecond},
		"became slower": {observe: func(h *Hedger, r *rand.Rand) {
			for range 50_000 {
				h.Observe("c", uniform(r, 10*time.Millisecond))
			}
			for range 2 * generationSamples {
				h.Observe("c", uniform(r, 100*time.Millisecond))
			}
		}, low: 90 * time.Millisecond, high: 99 * time.Millisecond},
		"became faster": {observe: func(h *Hedger, r *rand.Rand) {
			for range 50_000 {
				h.Observe("c", uniform(r, 100*time.Millisecond))
			}
			for range 2 * generationSamples {
				h.Observe("c", uniform(r, 10*time.Millisecond))
			}
		}, low: 9 * time.Millisecond, high: 10 * time.Millisecond},
		"3% stragglers are ignored": {observe: func(h *Hedger, r *rand.Rand) {
			for i := range 10_000 {
				if i%33 == 0 {
					h.Observe("c", 2*time.Second)
				} else {
					h.Observe("c", uniform(r, 10*time.Millisecond))
				}
			}
		}, low: 9 * time.Millisecond, high: 11 * time.Millisecond},
		"minimum": {settings: Settings{MinDelay: 5 * time.Millisecond}, observe: func(h *Hedger, _ *rand.Rand) {
			for range 1000 {
				h.Observe("c", time.Microsecond)
			}
		}, low: 5 * time.Millisecond, high: 5 * time.Millisecond},
		"maximum": {settings: Settings{MaxDelay: time.Second}, observe: func(h *Hedger, _ *rand.Rand) {
			for range 1000 {
				h.Observe("c", time.Hour)
			}
		}, low: time.Second, high: time.Second},
		"not retained": {observe: func(h *Hedger, _ *rand.Rand) {
			for range 1000 {
				h.Observe("c", time.Second)
			}
			h.Retain(func(string) bool { return false })
		}, low: 50 * time.Millisecond, high: 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New(test.settings)
			test.observe(h, rand.New(rand.NewPCG(seed, 1)))
			if got := h.Delay("c"); got < test.low || got > test.high {
				t.Errorf("delay: got %v, want %v to %v (seed %d)", got, test.low, test.high, seed)
			}
		})
	}
}

// TestCollectionsAreBounded guards against memory that grows with the number of collection names.
func TestCollectionsAreBounded(t *testing.T) {
	h := New(Settings{})
	for i := range maxCollections + 10 {
		h.Observe(fmt.Sprint(i), time.Millisecond)
	}
	if got := len(h.collections); got != maxCollections {
		t.Errorf("collections: got %d, want %d", got, maxCollections)
	}
}

func BenchmarkObserve(b *testing.B) {
	h := New(Settings{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Observe("c", time.Duration(i%1000)*time.Microsecond)
	}
}

func BenchmarkDelay(b *testing.B) {
	h := New(Settings{})
	h.Observe("c", time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		h.Delay("c")
	}
}

func BenchmarkSentAllow(b *testing.B) {
	h := New(Settings{})
	b.ReportAllocs()
	for b.Loop() {
		h.Sent(1)
		h.Allow(0.2)
	}
}
