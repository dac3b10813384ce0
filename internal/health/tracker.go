// Package health estimates the state of a searcher from a node's own requests: its latency, its failure rate, and whether it has stopped
// replying. There are no health checks, since each would occupy a slot of the searcher.
package health

import (
	"math"
	"sync"
	"time"
)

const (
	// decayTime is the time constant with which a bad record decays, so that the searcher is tried again.
	decayTime = 2 * time.Second
	// sampleWeight is the weight of a new latency sample in the moving average.
	sampleWeight = 0.25
	// maxSampleRise limits a sample to this multiple of the mean, so that a single pause does not look like lasting slowness.
	maxSampleRise = 2.0
	// stallFactor, a multiple of the mean latency, and minStall give the silence after which outstanding requests indicate a stall.
	stallFactor = 3.0
	minStall    = 20 * time.Millisecond
	// stallCost is the expected remaining time of a stall.
	stallCost     = 150 * time.Millisecond
	failureWeight = 0.3
	// lossCost is the cost of a request that is certain to get no reply in time.
	lossCost = time.Second
	// failureFactor converts the square of the failure rate into the risk that no reply comes. It is squared because a rare failure is made
	// good by a retry, whereas retries of many failures would exceed their budget.
	failureFactor = 3.0
	// A reply is assumed to be in time when its expected latency is below the fraction onTimeShare of the time left, and late above
	// lateShare.
	onTimeShare = 0.6
	lateShare   = 1.4
	// initialAvoidance is how long an unreachable searcher is avoided; it doubles up to maxAvoidance.
	initialAvoidance = 300 * time.Millisecond
	maxAvoidance     = 4 * time.Second
	// avoidCost ranks an avoided searcher behind all others.
	avoidCost = 10 * time.Second
)

// Outcome is how a request to a searcher ended: Replied, Failed, Shed, Unreachable or Abandoned.
type Outcome interface{ outcome() }

// Replied is a complete reply.
type Replied struct{}

// Failed is an error reply, a broken connection or a corrupt reply.
type Failed struct{}

// Shed is a refusal for lack of capacity.
type Shed struct{}

// Unreachable means that no connection could be opened, or that a different process answered at the searcher's address.
type Unreachable struct{}

// Abandoned means that the node gave up the request while the searcher was working on it.
type Abandoned struct{}

func (Replied) outcome()     {}
func (Failed) outcome()      {}
func (Shed) outcome()        {}
func (Unreachable) outcome() {}
func (Abandoned) outcome()   {}

// Ticket identifies an outstanding request.
type Ticket uint64

type pending struct {
	ticket Ticket
	sentAt time.Time
	// queue is the number of service rounds that were ahead when the request was sent. roundTrip is the network round trip.
	queue     float64
	roundTrip time.Duration
}

// unqueuedLatency returns the latency without the time that the request waited behind other requests of this node.
func (p pending) unqueuedLatency(latency time.Duration) time.Duration {
	return p.roundTrip + time.Duration(float64(max(latency-p.roundTrip, 0))/(1+p.queue))
}

// Tracker is the health record of one searcher. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// concurrency is the number of this node's requests that the searcher runs in parallel.
	concurrency int
	// outstanding holds the requests without an outcome, in the order of sending.
	outstanding []pending
	last        Ticket
	repliedAt   time.Time
	// mean is the mean latency in nanoseconds without queueing of this node's requests, as of sampledAt; 0 while unknown.
	mean      float64
	sampledAt time.Time
	// failures is the recent failure rate as of failedAt.
	failures   float64
	failedAt   time.Time
	avoidUntil time.Time
	avoidances int
	// load holds the figures that the searcher reported at loadAt, and meanSlowness the slowness that the mean latency was measured with, 0 while
	// unknown.
	load         Load
	loadAt       time.Time
	meanSlowness float64
}

// New returns an empty record of a searcher that runs the given number of this node's requests in parallel.
func New(concurrency int) *Tracker { return &Tracker{concurrency: max(concurrency, 1)} }

// SetConcurrency sets the number of this node's requests that the searcher runs in parallel: its slots, or this node's connections to it if
// they are fewer.
func (t *Tracker) SetConcurrency(concurrency int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.concurrency = max(concurrency, 1)
}

// Begin records that a request was sent. roundTrip is the network round trip to the searcher.
func (t *Tracker) Begin(now time.Time, roundTrip time.Duration) Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.outstanding = append(t.outstanding, pending{ticket: t.last, sentAt: now, queue: t.queue(now), roundTrip: roundTrip})
	return t.last
}

// End records the outcome of a request. Unknown tickets are ignored.
func (t *Tracker) End(now time.Time, ticket Ticket, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.remove(ticket)
	if !ok {
		return
	}
	latency := p.unqueuedLatency(now.Sub(p.sentAt))
	switch outcome.(type) {
	case Replied:
		t.repliedAt = now
		t.avoidances = 0
		t.avoidUntil = time.Time{}
		t.recordLatency(now, latency)
		t.recordFailure(now, 0)
	case Failed:
		t.repliedAt = now
		t.recordFailure(now, 1)
	case Shed:
		// A refusal is a quick reply of a searcher at capacity; other searchers are preferred for a while.
		t.repliedAt = now
		t.recordFailure(now, 1)
	case Unreachable:
		t.recordFailure(now, 1)
		t.avoid(now)
	case Abandoned:
		// The latency is a lower bound: the request would have taken at least this long.
		if float64(latency) > t.mean {
			t.recordLatency(now, latency)
		}
	}
}

func (t *Tracker) remove(ticket Ticket) (pending, bool) {
	for i, p := range t.outstanding {
		if p.ticket == ticket {
			t.outstanding = append(t.outstanding[:i], t.outstanding[i+1:]...)
			return p, true
		}
	}
	return pending{}, false
}

func (t *Tracker) recordLatency(now time.Time, latency time.Duration) {
	sample := float64(latency)
	if t.mean == 0 {
		t.mean = sample
	} else {
		t.mean += (min(sample, t.mean*maxSampleRise) - t.mean) * sampleWeight
	}
	t.sampledAt = now
	t.recordSlowness(now)
}

func (t *Tracker) recordFailure(now time.Time, share float64) {
	t.failures = t.decayedFailures(now)
	t.failures += (share - t.failures) * failureWeight
	t.failedAt = now
}

func (t *Tracker) decayedFailures(now time.Time) float64 {
	return t.failures * decay(now.Sub(t.failedAt))
}

func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(decayTime))
}

func (t *Tracker) avoid(now time.Time) {
	wait := min(initialAvoidance<<min(t.avoidances, 8), maxAvoidance)
	t.avoidances++
	t.avoidUntil = now.Add(wait)
}

// State is the state of a searcher at a point in time.
type State struct {
	// Mean is the mean latency without queueing of this node's requests, 0 while unknown. Age is the time since its last sample.
	Mean time.Duration
	Age  time.Duration
	// Queue is the number of service rounds ahead of the next request.
	Queue float64
	// Slowness is how long work takes as a multiple of the time in Mean, by what the searcher reported; 0 stands for 1.
	Slowness float64
	// Failures is the recent failure rate.
	Failures float64
	// Stalled is set while outstanding requests get no reply. Avoided is set for a while after the searcher was unreachable.
	Stalled bool
	Avoided bool
}

// State returns the state at the given time.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{
		Mean:     time.Duration(t.mean),
		Age:      now.Sub(t.sampledAt),
		Queue:    t.queue(now),
		Slowness: t.slowness(now),
		Failures: t.decayedFailures(now),
		Stalled:  t.stalled(now),
		Avoided:  now.Before(t.avoidUntil),
	}
}

// stalled reports whether requests are outstanding and nothing was received for much longer than a reply takes.
func (t *Tracker) stalled(now time.Time) bool {
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

// Latency returns the expected latency of the next request. The network round trip and the typical service time of searchers of this kind
// stand in for what the record does not cover.
func (s State) Latency(roundTrip, typical time.Duration) time.Duration {
	base := roundTrip + typical
	expected := base
	if s.Mean > 0 {
		expected += time.Duration(float64(s.Mean-base) * decay(s.Age))
	}
	service := max(expected-roundTrip, 0)
	if s.Slowness > 0 {
		slowed := time.Duration(float64(service) * s.Slowness)
		expected += slowed - service
		service = slowed
	}
	expected += time.Duration(float64(service) * s.Queue)
	if s.Stalled {
		expected += stallCost
	}
	return expected
}

// Cost ranks a searcher for a request whose reply is useful only within timeLeft: the expected latency plus the expected loss from a failed
// or late reply. A searcher that often fails is preferred to one that is certain to be late.
func (s State) Cost(latency, timeLeft time.Duration) time.Duration {
	risk := min(s.Failures*s.Failures*failureFactor, 1)
	cost := latency + time.Duration((1-(1-risk)*(1-lateness(latency, timeLeft)))*float64(lossCost))
	if s.Avoided {
		cost += avoidCost
	}
	return cost
}

// lateness returns the estimated probability that a reply with the expected latency is late.
func lateness(latency, timeLeft time.Duration) float64 {
	if timeLeft <= 0 {
		return 1
	}
	share := float64(latency) / float64(timeLeft)
	return min(max((share-onTimeShare)/(lateShare-onTimeShare), 0), 1)
}
