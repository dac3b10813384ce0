package quar

import (
	"sync"
	"time"
)

const (
	// compareInterval is the minimum time between two comparisons that a node starts.
	compareInterval = time.Second
	// maxSettled bounds the hashes that Repair remembers.
	maxSettled = 64
)

// Repair decides when a node compares its marks with those of a node whose marks differ, so that nodes that start, wake or were cut off learn what
// they have missed, and the others what these know. It is safe for concurrent use.
type Repair struct {
	mu        sync.Mutex
	comparing bool
	// comparedAt is when the latest comparison began, and compared the hash of the other node's marks as it had stated it.
	comparedAt time.Time
	compared   uint64
	// settled holds the hashes of nodes with which a comparison was completed while this node's own hash was ours. To repeat one would exchange
	// the same marks, as with a node that has evicted some of them.
	ours    uint64
	settled map[uint64]struct{}
}

// NewRepair returns a Repair for a node that has compared nothing yet.
func NewRepair() *Repair { return &Repair{settled: make(map[uint64]struct{})} }

// Begin reports whether to compare marks with a node, given the hash of this node's marks and that of the other's. If so, End must be called after
// the comparison.
func (r *Repair) Begin(now time.Time, ours, theirs uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if theirs == ours || r.comparing || (!r.comparedAt.IsZero() && now.Sub(r.comparedAt) < compareInterval) {
		return false
	}
	if ours != r.ours {
		r.ours = ours
		clear(r.settled)
	}
	if _, ok := r.settled[theirs]; ok {
		return false
	}
	r.comparing, r.comparedAt, r.compared = true, now, theirs
	return true
}

// End records that the comparison has ended. failed is set if some of its messages were lost, so that it may be repeated.
func (r *Repair) End(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.comparing = false
	if failed {
		return
	}
	if len(r.settled) >= maxSettled {
		clear(r.settled)
	}
	r.settled[r.compared] = struct{}{}
}
