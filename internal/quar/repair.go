package quar

import (
	"sync"
	"time"
)

const (
	// pullInterval is the minimum time between two pulls of marks from other nodes.
	pullInterval = time.Second
	// maxUseless bounds the hashes that Repair remembers.
	maxUseless = 64
)

// Repair decides when a node pulls the marks of a node whose marks differ from its own, so that a node that starts, wakes or was cut off learns
// what it has missed. It is safe for concurrent use.
type Repair struct {
	mu      sync.Mutex
	pulling bool
	// pulledAt is when the latest pull began, and pulled the hash of the other node's marks as it had stated it.
	pulledAt time.Time
	pulled   uint64
	// useless holds the hashes of nodes from which a pull brought nothing new while this node's own hash was ours: those nodes have less.
	ours    uint64
	useless map[uint64]struct{}
}

// NewRepair returns a Repair for a node that has not pulled yet.
func NewRepair() *Repair { return &Repair{useless: make(map[uint64]struct{})} }

// Begin reports whether to pull the marks of a node, given the hash of this node's marks and that of the other's. 0 is the hash of no marks. If
// so, End must be called after the pull.
func (r *Repair) Begin(now time.Time, ours, theirs uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if theirs == 0 || theirs == ours || r.pulling || (!r.pulledAt.IsZero() && now.Sub(r.pulledAt) < pullInterval) {
		return false
	}
	if ours != r.ours {
		r.ours = ours
		clear(r.useless)
	}
	if _, ok := r.useless[theirs]; ok {
		return false
	}
	r.pulling, r.pulledAt, r.pulled = true, now, theirs
	return true
}

// End records that the pull has ended. useless is set if it succeeded and brought nothing new.
func (r *Repair) End(useless bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulling = false
	if !useless {
		return
	}
	if len(r.useless) >= maxUseless {
		clear(r.useless)
	}
	r.useless[r.pulled] = struct{}{}
}
