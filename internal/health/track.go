// Package health learns from a node's own requests how a searcher does: its latency, its failures, and whether it has stopped
// replying. Health checks are not used, since each would take a slot of the searcher.
package health

import (
	"math"
	"sync"
	"time"
)

const (
	// memory is the time constant with which a bad record fades, so that a searcher is tried again.
	memory = 2 * time.Second
	// weight is the weight of a new latency sample.
	weight = 0.25
	// maxRise bounds a sample to this multiple of the mean: one pause must not look like lasting slowness.
	maxRise = 2.0
	// stallFactor and minStall set the silence, in multiples of the mean latency, after which outstanding requests mean a stall.
	stallFactor = 3.0
	minStall    = 20 * time.Millisecond
	// stallCost is the expected rest of a stall.
	stallCost = 150 * time.Millisecond
	// failureCost is the cost of a searcher that fails each request. It goes with the square of the share that fails: a rare failure is
	// made good by a repeat, but repeats of many would exceed their budget.
	failureCost   = 3 * time.Second
	failureWeight = 0.3
	// firstAvoidance is how long a searcher that could not be reached is avoided; it doubles up to maxAvoidance.
	firstAvoidance = 300 * time.Millisecond
	maxAvoidance   = 4 * time.Second
	// avoidCost puts an avoided searcher behind all others.
	avoidCost = 10 * time.Second
)

// Outcome is how a request at a searcher ended: Replied, Failed, Shed, Unreachable or Abandoned.
type Outcome interface{ outcome() }

// Replied is a whole reply.
type Replied struct{}

// Failed is an error reply, a broken connection or a spoilt reply.
type Failed struct{}

// Shed is a refusal for lack of capacity.
type Shed struct{}

// Unreachable means that no connection could be opened, or that nothing came back.
type Unreachable struct{}

// Abandoned means that the node gave the request up while the searcher worked.
type Abandoned struct{}

func (Replied) outcome()     {}
func (Failed) outcome()      {}
func (Shed) outcome()        {}
func (Unreachable) outcome() {}
func (Abandoned) outcome()   {}

// Ticket names an outstanding request.
type Ticket uint64

type pending struct {
	ticket Ticket
	sentAt time.Time
}

// Track is the record of one searcher. It is safe for concurrent use.
type Track struct {
	mu sync.Mutex
	// outstanding holds the requests without an outcome in the order of sending.
	outstanding []pending
	last        Ticket
	repliedAt   time.Time
	// mean is the mean latency in nanoseconds, 0 while unknown, as of sampledAt.
	mean      float64
	sampledAt time.Time
	// failures is the recent share of failed requests as of failedAt.
	failures   float64
	failedAt   time.Time
	avoidUntil time.Time
	avoidances int
}

// New returns an empty record.
func New() *Track { return &Track{} }

// Begin records that a request was sent.
func (t *Track) Begin(now time.Time) Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.outstanding = append(t.outstanding, pending{ticket: t.last, sentAt: now})
	return t.last
}

// End records the outcome of a request.
func (t *Track) End(now time.Time, ticket Ticket, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sentAt, ok := t.remove(ticket)
	if !ok {
		return
	}
	switch outcome.(type) {
	case Replied:
		t.repliedAt = now
		t.avoidances = 0
		t.avoidUntil = time.Time{}
		t.learn(now, now.Sub(sentAt))
		t.fail(now, 0)
	case Failed:
		t.repliedAt = now
		t.fail(now, 1)
	case Shed:
		// A refusal is a quick reply of a full searcher: others are better for a while.
		t.repliedAt = now
		t.fail(now, 1)
	case Unreachable:
		t.fail(now, 1)
		t.avoid(now)
	case Abandoned:
		// The request took at least this long.
		if waited := now.Sub(sentAt); float64(waited) > t.mean {
			t.learn(now, waited)
		}
	}
}

func (t *Track) remove(ticket Ticket) (time.Time, bool) {
	for i, p := range t.outstanding {
		if p.ticket == ticket {
			t.outstanding = append(t.outstanding[:i], t.outstanding[i+1:]...)
			return p.sentAt, true
		}
	}
	return time.Time{}, false
}

func (t *Track) learn(now time.Time, latency time.Duration) {
	sample := float64(latency)
	if t.mean == 0 {
		t.mean = sample
	} else {
		t.mean += (min(sample, t.mean*maxRise) - t.mean) * weight
	}
	t.sampledAt = now
}

func (t *Track) fail(now time.Time, share float64) {
	t.failures = t.fadedFailures(now)
	t.failures += (share - t.failures) * failureWeight
	t.failedAt = now
}

func (t *Track) fadedFailures(now time.Time) float64 {
	return t.failures * fade(now.Sub(t.failedAt))
}

func fade(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(memory))
}

func (t *Track) avoid(now time.Time) {
	wait := min(firstAvoidance<<min(t.avoidances, 8), maxAvoidance)
	t.avoidances++
	t.avoidUntil = now.Add(wait)
}

// Reading is the state of a track at a time.
type Reading struct {
	// Mean is the mean latency, 0 while unknown, and Age the time since its last sample.
	Mean time.Duration
	Age  time.Duration
	// Outstanding is the number of requests without a reply.
	Outstanding int
	// Penalty is what failures, a stall or unreachability add to the expected latency.
	Penalty time.Duration
	Stalled bool
}

// Read returns the state at a time.
func (t *Track) Read(now time.Time) Reading {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Reading{
		Mean:        time.Duration(t.mean),
		Age:         now.Sub(t.sampledAt),
		Outstanding: len(t.outstanding),
		Stalled:     t.stalled(now),
	}
	failures := t.fadedFailures(now)
	r.Penalty = time.Duration(failures * failures * float64(failureCost))
	if r.Stalled {
		r.Penalty += stallCost
	}
	if now.Before(t.avoidUntil) {
		r.Penalty += avoidCost
	}
	return r
}

// stalled reports whether requests are outstanding and nothing came back for much longer than a reply takes.
func (t *Track) stalled(now time.Time) bool {
	if len(t.outstanding) == 0 {
		return false
	}
	since := t.outstanding[0].sentAt
	if t.repliedAt.After(since) {
		since = t.repliedAt
	}
	silence := max(time.Duration(t.mean*stallFactor), minStall)
	return now.Sub(since) > silence
}

// Cost returns the expected latency of another request: distance is the round trip and typical the service time of searchers of
// this kind, both of which stand in for what this track does not know, and slots what the searcher runs at once.
func (r Reading) Cost(distance, typical time.Duration, slots int) time.Duration {
	base := distance + typical
	expected := base
	if r.Mean > 0 {
		expected += time.Duration(float64(r.Mean-base) * fade(r.Age))
	}
	service := max(expected-distance, 0)
	queue := time.Duration(float64(service) * float64(r.Outstanding) / float64(max(slots, 1)))
	return expected + queue + r.Penalty
}
