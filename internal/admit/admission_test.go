package admit

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// tryAdmit admits one query, or returns the reason of the refusal.
func tryAdmit(a *Admission, now time.Time, use plans.Use) (Grant, wire.Reason) {
	grant, refusal := a.Admit(now, use.Collection(), use.Plan(), use)
	if refusal != nil {
		return grant, refusal.Reason()
	}
	return grant, wire.Reason_REASON_UNSPECIFIED
}

// TestListBounds guards against a plan that exceeds its limits in the list of uses, and against a node that admits more queries
// than it can hold.
func TestListBounds(t *testing.T) {
	tests := map[string]struct {
		settings Settings
		use      plans.Use
		share    float64
		step     time.Duration
		release  bool
		queries  int
		want     int
		refusal  wire.Reason
	}{
		"rate":             {use: plans.NewUse("p", "c", 10, 1000), share: 1, step: 10 * time.Millisecond, release: true, queries: 1000, want: 110, refusal: wire.Reason_REASON_OVER_RATE},
		"half of the rate": {use: plans.NewUse("p", "c", 10, 1000), share: 0.5, step: 10 * time.Millisecond, release: true, queries: 1000, want: 55, refusal: wire.Reason_REASON_OVER_RATE},
		"rate below one":   {use: plans.NewUse("p", "c", 0.5, 1000), share: 1, step: 10 * time.Millisecond, release: true, queries: 1000, want: 6, refusal: wire.Reason_REASON_OVER_RATE},
		"rate of zero":     {use: plans.NewUse("p", "c", 0, 1000), share: 1, step: time.Second, release: true, queries: 10, want: 0, refusal: wire.Reason_REASON_OVER_RATE},
		"concurrent":       {use: plans.NewUse("p", "c", 1e6, 7), share: 1, step: time.Second, queries: 10, want: 7, refusal: wire.Reason_REASON_OVER_CONCURRENT},
		"released":         {use: plans.NewUse("p", "c", 1e6, 7), share: 1, step: time.Second, release: true, queries: 10, want: 10},
		"node":             {settings: Settings{MaxInFlight: 5}, use: plans.NewUse("p", "c", 1e6, 7), share: 1, step: time.Second, queries: 10, want: 5, refusal: wire.Reason_REASON_NODE_BUSY},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := New(test.settings)
			a.SetRateShare(test.share)
			now := simStart
			got := 0
			for range test.queries {
				now = now.Add(test.step)
				grant, r := tryAdmit(a, now, test.use)
				switch {
				case r == wire.Reason_REASON_UNSPECIFIED && test.release:
					got++
					grant.Release(now)
				case r == wire.Reason_REASON_UNSPECIFIED:
					got++
				case r != test.refusal:
					t.Fatalf("refusal: got %v, want %v", r, test.refusal)
				}
			}
			if got < test.want-1 || got > test.want {
				t.Errorf("admitted: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestEditedRate guards against a change of the list of uses that takes effect only after a restart.
func TestEditedRate(t *testing.T) {
	a := New(Settings{})
	now := simStart
	for _, perSecond := range []float64{0, 100, 10, 0, 50} {
		use := plans.NewUse("p", "c", perSecond, 1000)
		got := 0
		for i := range 20_000 {
			now = now.Add(time.Millisecond)
			grant, r := tryAdmit(a, now, use)
			if r != wire.Reason_REASON_UNSPECIFIED {
				continue
			}
			grant.Release(now)
			if i >= 10_000 {
				got++
			}
		}
		if want := int(10 * perSecond); got < want-2 || got > want+2 {
			t.Errorf("admitted in 10 s at a rate of %.0f: got %d, want %d", perSecond, got, want)
		}
	}
}

// TestNoLimitWithoutPressure guards against an entry that refuses queries while the searchers have spare capacity.
func TestNoLimitWithoutPressure(t *testing.T) {
	f := newFleet(1, 4, simPlan{name: "p", weight: 1, offered: 0.7 * simCapacity})
	count := f.measure(5*time.Second, 30*time.Second)[0]
	if refused := count.offered - count.admitted; refused*100 > count.offered {
		t.Errorf("refused: got %d of %d, want at most 1%%", refused, count.offered)
	}
}

// bestGoodput returns the highest rate of complete queries over a range of offered loads, in queries/s.
func bestGoodput() float64 {
	const length = 40 * time.Second
	best := 0.0
	for _, load := range []float64{0.8, 0.9, 1.0, 1.1} {
		f := newFleet(2, 4, simPlan{name: "p", weight: 1, offered: load * simCapacity})
		best = max(best, float64(f.measure(10*time.Second, length)[0].complete)/length.Seconds())
	}
	return best
}

// TestOverload guards against refusing single shards instead of whole queries, against idle searchers, and against goodput that
// depends on the number of entries. The required bound is 95% of the best goodput at 5 times overload.
func TestOverload(t *testing.T) {
	const length = 40 * time.Second
	best := bestGoodput()
	t.Logf("best: %.1f complete queries/s of %.1f", best, simCapacity)
	for _, entries := range []int{1, 4, 32, 300} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			f := newFleet(3, entries, simPlan{name: "p", weight: 1, offered: 5 * simCapacity})
			count := f.measure(20*time.Second, length)[0]
			complete := float64(count.complete) / length.Seconds()
			rate := float64(count.admitted) / length.Seconds()
			t.Logf("admitted %.1f/s, complete %.1f/s, partial %d", rate, complete, count.partial)
			if complete < 0.95*best {
				t.Errorf("goodput: got %.1f/s, want at least 95%% of %.1f/s", complete, best)
			}
			if rate > 1.15*simCapacity {
				t.Errorf("admitted: got %.1f/s, want just above the capacity of %.1f/s", rate, simCapacity)
			}
		})
	}
}

// TestQueuesDropTheSameQueries guards against queues that shed different queries while the entries have not adapted
// yet. With independent drops at 5 times overload only 0.2^4 of the queries would be complete, 0.8% of the capacity. The
// bound of half the capacity allows for differences between the searchers.
func TestQueuesDropTheSameQueries(t *testing.T) {
	const length = 20 * time.Second
	for _, load := range []float64{1.1, 2, 5} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			f := newFleet(3, 1, simPlan{name: "p", weight: 1, offered: load * simCapacity})
			f.withholdFeedback = true
			count := f.measure(5*time.Second, length)[0]
			got := float64(count.complete) / length.Seconds()
			t.Logf("complete %.1f/s of a capacity of %.1f/s", got, simCapacity)
			if got < 0.5*simCapacity {
				t.Errorf("complete: got %.1f/s, want at least half of %.1f/s", got, simCapacity)
			}
		})
	}
}

// TestRecovery guards against adaptive rates that stay low after capacity has returned.
func TestRecovery(t *testing.T) {
	f := newFleet(4, 4, simPlan{name: "p", weight: 1, offered: 0.8 * simCapacity})
	f.run(5 * time.Second)
	f.capacity = 0.1
	f.run(20 * time.Second)
	f.capacity = 1
	count := f.measure(20*time.Second, 20*time.Second)[0]
	if count.complete*100 < 95*count.offered {
		t.Errorf("complete: got %d of %d offered, want at least 95%% after 20 s", count.complete, count.offered)
	}
}

// TestWeightedShares guards against admission control that hides a plan's demand from the owners' fair queues, or that refuses
// queries of a plan below its fair share.
func TestWeightedShares(t *testing.T) {
	f := newFleet(5, 8,
		simPlan{name: "light", weight: 1, offered: 0.1 * simCapacity},
		simPlan{name: "heavy", weight: 2, offered: 3 * simCapacity},
		simPlan{name: "flood", weight: 1, offered: 3 * simCapacity},
	)
	counts := f.measure(30*time.Second, 60*time.Second)
	light, heavy, flood := counts[0], counts[1], counts[2]
	t.Logf("complete: light %d of %d, heavy %d, flood %d", light.complete, light.offered, heavy.complete, flood.complete)
	if light.complete*10 < light.offered*9 {
		t.Errorf("light plan: got %d of %d, want at least 90%%", light.complete, light.offered)
	}
	total := float64(heavy.complete + flood.complete)
	if share := float64(heavy.complete) / total; share < 0.9*2/3 || share > 1.1*2/3 {
		t.Errorf("share of the plan with weight 2 of 3: got %.3f, want 0.667 within 10%%", share)
	}
}

// TestStragglerDoesNotThrottle guards against limiting a whole collection to the capacity of one slow searcher, and against
// ignoring overload.
func TestStragglerDoesNotThrottle(t *testing.T) {
	tests := map[string]struct {
		bad  int
		want bool
	}{
		"one reply of 25": {bad: 1},
		"five of 25":      {bad: 5},
		"half of them":    {bad: 13, want: true},
		"all of them":     {bad: 25, want: true},
		"none of them":    {bad: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := New(Settings{})
			use := plans.NewUse("p", "c", 1e6, 1e5)
			now := simStart
			for range 100 {
				grant, r := tryAdmit(a, now, use)
				now = now.Add(20 * time.Millisecond)
				for i := range 25 {
					a.Feedback(now, "c", "p", 0, i < test.bad)
				}
				if r == wire.Reason_REASON_UNSPECIFIED {
					grant.Release(now)
				}
			}
			if _, got := a.Rate("c", "p"); got != test.want {
				t.Errorf("limited: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestOneDecreaseEachRoundTrip guards against several decreases of the rate by the replies of one round.
func TestOneDecreaseEachRoundTrip(t *testing.T) {
	a := New(Settings{})
	use := plans.NewUse("p", "c", 1e6, 1e5)
	now := simStart
	for range 200 {
		now = now.Add(time.Millisecond)
		tryAdmit(a, now, use)
	}
	a.Feedback(now, "c", "p", 2, true)
	for range 1000 {
		a.Feedback(now, "c", "p", 2, true)
	}
	got, limited := a.Rate("c", "p")
	if want := 1000 * (1 - baseDecrease - maxRefusedDecrease); !limited || got < 0.99*want || got > 1.01*want {
		t.Errorf("rate after one round trip: got %.1f (%v), want %.1f", got, limited, want)
	}
}

// TestIdlePairsAreForgotten guards against memory that grows with the number of pairs of plan and collection ever seen.
func TestIdlePairsAreForgotten(t *testing.T) {
	a := New(Settings{})
	now := simStart
	for i := range 10 * minSweepSize {
		now = now.Add(100 * time.Millisecond)
		use := plans.NewUse(fmt.Sprint(i), "c", 10, 10)
		grant, _ := tryAdmit(a, now, use)
		grant.Release(now)
	}
	if got := len(a.limiters); got > minSweepSize {
		t.Errorf("limiters: got %d, want at most %d", got, minSweepSize)
	}
}

// TestConcurrentUse guards against data races and against limits exceeded by concurrent calls. Run it with -race.
func TestConcurrentUse(t *testing.T) {
	const maxInFlight = 5
	a := New(Settings{MaxInFlight: maxInFlight})
	use := plans.NewUse("p", "c", 1e6, 1e5)
	var inFlight, highest atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 2000 {
				now := simStart.Add(time.Duration(i) * time.Millisecond)
				grant, r := tryAdmit(a, now, use)
				if r != wire.Reason_REASON_UNSPECIFIED {
					continue
				}
				n := inFlight.Add(1)
				for h := highest.Load(); n > h && !highest.CompareAndSwap(h, n); h = highest.Load() {
				}
				a.Feedback(now, "c", "p", 0.1, false)
				inFlight.Add(-1)
				grant.Release(now)
			}
		})
	}
	group.Wait()
	if got := highest.Load(); got > maxInFlight || a.InFlight() != 0 {
		t.Errorf("in flight: got %d at once and %d at the end, want at most %d and 0", got, a.InFlight(), maxInFlight)
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := New(Settings{})
	use := plans.NewUse("p", "c", 1e6, 1e5)
	b.ReportAllocs()
	now := simStart
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		grant, refusal := a.Admit(now, "c", "p", use)
		if refusal != nil {
			b.Fatal(refusal)
		}
		grant.Release(now)
	}
}

func BenchmarkFeedback(b *testing.B) {
	a := New(Settings{})
	b.ReportAllocs()
	now := simStart
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		a.Feedback(now, "c", "p", 0.1, false)
	}
}
