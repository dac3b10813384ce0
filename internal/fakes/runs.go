package fakes

import (
	"slices"
	"sync"
	"time"
)

// Run is a sub-request that acquired a slot.
type Run struct {
	sequence      uint64
	attempt       uint64
	collection    string
	snapshot      uint64
	shard         int
	query         string
	nonIdempotent bool
	started       time.Time
	finished      bool
}

// AttemptID returns the attempt id of the sub-request.
func (r Run) AttemptID() uint64 { return r.attempt }

// Collection returns the collection.
func (r Run) Collection() string { return r.collection }

// Snapshot returns the index snapshot.
func (r Run) Snapshot() uint64 { return r.snapshot }

// Shard returns the shard.
func (r Run) Shard() int { return r.shard }

// Query returns the query.
func (r Run) Query() string { return r.query }

// NonIdempotent reports whether the sub-request was marked non-idempotent.
func (r Run) NonIdempotent() bool { return r.nonIdempotent }

// Started returns the time at which the sub-request acquired its slot.
func (r Run) Started() time.Time { return r.started }

// Finished reports whether the run completed its service time. Otherwise it is still running, was interrupted or ended by a crash.
func (r Run) Finished() bool { return r.finished }

// runLog retains the latest runs. Non-idempotent runs have a separate ring buffer, so that other traffic does not evict them.
type runLog struct {
	mu            sync.Mutex
	sequence      uint64
	idempotent    ring
	nonIdempotent ring
}

func newRunLog(limit int) *runLog {
	return &runLog{idempotent: ring{limit: limit}, nonIdempotent: ring{limit: limit}}
}

// add records a run and returns its sequence number.
func (l *runLog) add(r Run) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	r.sequence = l.sequence
	l.ring(r.nonIdempotent).add(r)
	return r.sequence
}

// finish marks a run as finished if it is still retained.
func (l *runLog) finish(sequence uint64, nonIdempotent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring(nonIdempotent).finish(sequence)
}

func (l *runLog) ring(nonIdempotent bool) *ring {
	if nonIdempotent {
		return &l.nonIdempotent
	}
	return &l.idempotent
}

// runs returns the retained runs in start order.
func (l *runLog) runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Concat(l.idempotent.runs, l.nonIdempotent.runs)
	slices.SortFunc(all, func(a, b Run) int { return int(int64(a.sequence - b.sequence)) })
	return all
}

// dropped returns the number of evicted runs.
func (l *runLog) dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idempotent.dropped + l.nonIdempotent.dropped
}

// ring is a ring buffer of the latest runs. Once it is full, next is the index of the oldest run.
type ring struct {
	limit   int
	runs    []Run
	next    int
	dropped int
}

func (r *ring) add(run Run) {
	if len(r.runs) < r.limit {
		r.runs = append(r.runs, run)
		return
	}
	r.runs[r.next] = run
	r.next = (r.next + 1) % r.limit
	r.dropped++
}

func (r *ring) finish(sequence uint64) {
	i, found := r.find(sequence)
	if found {
		r.runs[i].finished = true
	}
}

// find returns the index of the run with a sequence number. The parts of the ring before and from next are each sorted.
func (r *ring) find(sequence uint64) (int, bool) {
	part, offset := r.runs[r.next:], r.next
	if len(part) == 0 || sequence < part[0].sequence {
		return 0, false
	}
	if r.next > 0 && sequence >= r.runs[0].sequence {
		part, offset = r.runs[:r.next], 0
	}
	i, found := slices.BinarySearchFunc(part, sequence, func(run Run, s uint64) int {
		return int(int64(run.sequence - s))
	})
	return offset + i, found
}
