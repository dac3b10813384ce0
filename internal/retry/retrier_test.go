package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var start = time.Unix(1_000_000, 0)

func newRetrier(s Settings, seed uint64) *Retrier {
	return New(s, rand.New(rand.NewPCG(seed, 1)))
}

// reasons returns all reasons in order, including those that no attempt ends with.
func reasons() []wire.Reason {
	var all []wire.Reason
	for number := range wire.Reason_name {
		all = append(all, wire.Reason(number))
	}
	slices.Sort(all)
	return all
}

// TestDecide guards against retries that are unsafe, useless or too late, and against unnecessary delays.
func TestDecide(t *testing.T) {
	const latency = 50 * time.Millisecond
	tests := map[string]struct {
		attempt FailedAttempt
		sent    int
		stop    wire.Reason
		delay   time.Duration
	}{
		"shed":                        {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 1}, sent: 10, delay: 4 * time.Millisecond},
		"shed twice":                  {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 2}, sent: 10, delay: 8 * time.Millisecond},
		"shed three times":            {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 3}, sent: 10, stop: wire.Reason_REASON_RETRY_ATTEMPTS},
		"searcher leaving":            {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_LEAVING, Attempts: 1}, sent: 10},
		"snapshot gone":               {attempt: FailedAttempt{Reason: wire.Reason_REASON_SNAPSHOT_GONE, Attempts: 1}, sent: 10},
		"not the owner":               {attempt: FailedAttempt{Reason: wire.Reason_REASON_NOT_OWNER, Attempts: 2}, sent: 10},
		"connection lost":             {attempt: FailedAttempt{Reason: wire.Reason_REASON_CONNECTION_LOST, Attempts: 1}, sent: 10, stop: wire.Reason_REASON_RETRY_UNSAFE},
		"connection lost, idempotent": {attempt: FailedAttempt{Reason: wire.Reason_REASON_CONNECTION_LOST, Idempotent: true, Attempts: 1}, sent: 10, delay: 4 * time.Millisecond},
		"malformed reply":             {attempt: FailedAttempt{Reason: wire.Reason_REASON_REPLY_MALFORMED, Attempts: 1}, sent: 10, stop: wire.Reason_REASON_RETRY_UNSAFE},
		"malformed, idempotent":       {attempt: FailedAttempt{Reason: wire.Reason_REASON_REPLY_MALFORMED, Idempotent: true, Attempts: 1}, sent: 10, delay: 4 * time.Millisecond},
		"long reply":                  {attempt: FailedAttempt{Reason: wire.Reason_REASON_REPLY_TOO_LONG, Attempts: 1}, sent: 10, stop: wire.Reason_REASON_RETRY_UNSAFE},
		"long reply, idempotent":      {attempt: FailedAttempt{Reason: wire.Reason_REASON_REPLY_TOO_LONG, Idempotent: true, Attempts: 1}, sent: 10, delay: 4 * time.Millisecond},
		"owner lost":                  {attempt: FailedAttempt{Reason: wire.Reason_REASON_OWNER_LOST, Attempts: 1}, sent: 10, stop: wire.Reason_REASON_RETRY_UNSAFE},
		"owner unreachable":           {attempt: FailedAttempt{Reason: wire.Reason_REASON_OWNER_UNREACHABLE, Attempts: 1}, sent: 10, delay: 4 * time.Millisecond},
		"no reason":                   {attempt: FailedAttempt{Attempts: 1}, sent: 10, stop: wire.Reason_REASON_RETRY_UNSAFE},
		"no budget":                   {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 1}, sent: 9, stop: wire.Reason_REASON_RETRY_BUDGET},
		"cancelled":                   {attempt: FailedAttempt{Reason: wire.Reason_REASON_CANCELLED, Idempotent: true, Attempts: 1}, sent: 10, stop: wire.Reason_REASON_CANCELLED},
		"quarantined":                 {attempt: FailedAttempt{Reason: wire.Reason_REASON_QUARANTINED, Idempotent: true, Attempts: 1}, sent: 10, stop: wire.Reason_REASON_QUARANTINED},
		"exactly the latency remains": {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 1, Deadline: start.Add(latency)}, sent: 10, stop: wire.Reason_REASON_RETRY_NO_TIME},
		"1 ms more remains":           {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 1, Deadline: start.Add(latency + time.Millisecond)}, sent: 10, delay: time.Millisecond},
		"expired":                     {attempt: FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 1, Deadline: start.Add(-time.Second)}, sent: 10, stop: wire.Reason_REASON_RETRY_NO_TIME},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRetrier(Settings{}, 1)
			r.Observe("c", latency)
			r.Sent(test.sent)
			test.attempt.Collection = "c"
			if test.attempt.Deadline.IsZero() {
				test.attempt.Deadline = start.Add(time.Second)
			}
			switch got := r.Decide(start, test.attempt).(type) {
			case Again:
				if test.stop != wire.Reason_REASON_UNSPECIFIED {
					t.Fatalf("got Again, want Stop with %v", test.stop)
				}
				if got.After < 0 || got.After > test.delay {
					t.Errorf("delay: got %v, want at most %v", got.After, test.delay)
				}
			case Stop:
				if got.Reason != test.stop {
					t.Errorf("got Stop with %v, want %v", got.Reason, test.stop)
				}
			}
		})
	}
}

// TestJitterSpreads guards against synchronized retries of many queries.
func TestJitterSpreads(t *testing.T) {
	const seed = 5
	r := newRetrier(Settings{InitialBudget: 1000}, seed)
	early := 0
	for range 1000 {
		decision := r.Decide(start, FailedAttempt{Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 1, Deadline: start.Add(time.Hour)})
		again, ok := decision.(Again)
		if !ok {
			t.Fatalf("got %v, want Again", decision)
		}
		if again.After < defaultBaseDelay/2 {
			early++
		}
	}
	if early < 400 || early > 600 {
		t.Errorf("delays in the first half: got %d of 1000, want about 500 (seed %d)", early, seed)
	}
}

// TestRetriesAreSafeAndWithinBudget guards against sequences of calls that lead to a retry that is unsafe, comes after the
// last attempt, is too late, or exceeds 10% of first attempts plus the initial budget.
func TestRetriesAreSafeAndWithinBudget(t *testing.T) {
	all := reasons()
	rapid.Check(t, func(t *rapid.T) {
		initialBudget := rapid.IntRange(0, 5).Draw(t, "reserve")
		r := newRetrier(Settings{InitialBudget: initialBudget}, rapid.Uint64().Draw(t, "seed"))
		now := start
		sent, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				n := rapid.IntRange(-1, 100).Draw(t, "n")
				r.Sent(n)
				sent += max(n, 0)
			},
			"observe": func(t *rapid.T) {
				r.Observe("c", time.Duration(rapid.IntRange(-1, 500).Draw(t, "latency"))*time.Millisecond)
			},
			"decide": func(t *rapid.T) {
				a := FailedAttempt{
					Collection: "c",
					Reason:     rapid.SampledFrom(all).Draw(t, "reason"),
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
					Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
					Deadline:   now.Add(time.Duration(rapid.IntRange(-10, 1000).Draw(t, "remaining")) * time.Millisecond),
				}
				again, ok := r.Decide(now, a).(Again)
				if !ok {
					return
				}
				retries++
				if !a.Idempotent && reason.RunState(a.Reason) != wire.RunState_RUN_STATE_NOT_RUN {
					t.Fatalf("retried an unsafe attempt that ended with %v", a.Reason)
				}
				if a.Attempts >= defaultMaxAttempts {
					t.Fatalf("retried after %d attempts", a.Attempts)
				}
				if again.After < 0 || now.Add(again.After+r.ExpectedLatency("c")).After(a.Deadline) {
					t.Fatalf("retry after %v cannot meet the deadline in %v with an expected latency of %v", again.After, a.Deadline.Sub(now), r.ExpectedLatency("c"))
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "step")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if (retries-initialBudget)*10 > sent {
					t.Fatalf("retries: got %d of %d attempts with an initial budget of %d", retries, sent, initialBudget)
				}
			},
		})
	})
}

// TestBudgetUnderConcurrency guards against concurrent calls that spend the same budget twice.
func TestBudgetUnderConcurrency(t *testing.T) {
	r := newRetrier(Settings{}, 1)
	var retries atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 2000 {
				r.Sent(1)
				r.Observe("c", time.Millisecond)
				if _, ok := r.Decide(start, FailedAttempt{Collection: "c", Reason: wire.Reason_REASON_SEARCHER_SHED, Attempts: 1, Deadline: start.Add(time.Second)}).(Again); ok {
					retries.Add(1)
				}
			}
		})
	}
	group.Wait()
	if got, want := retries.Load(), int64(8*2000/10); got != want {
		t.Errorf("retries: got %d, want %d", got, want)
	}
}

// TestCollectionsAreBounded guards against memory that grows with the number of collection names.
func TestCollectionsAreBounded(t *testing.T) {
	r := newRetrier(Settings{}, 1)
	for i := range maxCollections + 10 {
		r.Observe(fmt.Sprint(i), time.Millisecond)
	}
	if got := len(r.meanLatencies); got != maxCollections {
		t.Errorf("collections: got %d, want %d", got, maxCollections)
	}
}

func BenchmarkDecide(b *testing.B) {
	tests := map[string]wire.Reason{
		"again": wire.Reason_REASON_SEARCHER_SHED,
		"stop":  wire.Reason_REASON_CONNECTION_LOST,
	}
	for name, r := range tests {
		b.Run(name, func(b *testing.B) {
			retrier := newRetrier(Settings{}, 1)
			retrier.Observe("c", time.Millisecond)
			a := FailedAttempt{Collection: "c", Reason: r, Attempts: 1, Deadline: start.Add(time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				retrier.Sent(10)
				retrier.Decide(start, a)
			}
		})
	}
}
