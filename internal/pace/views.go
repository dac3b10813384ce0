package pace

import (
	"slices"
	"sync"
	"time"
)

const (
	// settleTime is how long a node must have been among those that share before it sends to cold searchers. The others stop as soon as they learn
	// of it. States of nodes reach all nodes within about 4 s.
	settleTime = 4 * time.Second
	// assumedNodes is the number of nodes that a node assumes while it has met none of the others.
	assumedNodes = 256
	// nodeTTL is how long a silent node still counts: it may be cut off from this one only, and send to the same cold searchers.
	nodeTTL = time.Hour
)

// Census is what a node knows of all nodes. The ids are sorted.
type Census struct {
	// Live are the nodes that are known to work, Known all nodes, including silent ones.
	Live  []string
	Known []string
	// Unmet is the number of addresses of nodes that belong to no known node.
	Unmet int
}

// Equal reports whether both name the same nodes.
func (c Census) Equal(other Census) bool {
	return slices.Equal(c.Live, other.Live) && slices.Equal(c.Known, other.Known) && c.Unmet == other.Unmet
}

// view is a set of members with the share of all nodes that was present.
type view struct {
	members *Members
	present float64
	// until is when the view was replaced, the zero time for the current one.
	until time.Time
	// ranks holds the rank of this node by region of the searcher.
	ranks map[string]int
}

// Views holds the members that share cold searchers as this node has known them over settleTime. Nodes learn of changes at different times, so
// that a node uses the least share of all views. It is safe for concurrent use.
type Views struct {
	mu     sync.Mutex
	views  []*view
	seenAt map[string]time.Time
}

// NewViews returns views of a node that knows no others yet, and so has no share.
func NewViews() *Views { return &Views{seenAt: make(map[string]time.Time)} }

// Observe records the current members and all known nodes.
func (v *Views) Observe(now time.Time, members *Members, census Census) {
	v.mu.Lock()
	defer v.mu.Unlock()
	present := v.present(now, census)
	if n := len(v.views); n > 0 {
		latest := v.views[n-1]
		if latest.present == present && latest.members.Equal(members) {
			return
		}
		latest.until = now
	}
	if len(v.seenAt) <= 1 && census.Unmet == 0 {
		// There is no other node that could know of an earlier view.
		v.views = nil
	}
	v.views = append(v.views, &view{members: members, present: present, ranks: make(map[string]int)})
	v.dropSettled(now)
}

// present returns the share of all nodes that are live. Nodes that have not been seen for nodeTTL do not count.
func (v *Views) present(now time.Time, census Census) float64 {
	for _, id := range census.Known {
		v.seenAt[id] = now
	}
	for id, at := range v.seenAt {
		if now.Sub(at) > nodeTTL {
			delete(v.seenAt, id)
		}
	}
	all := len(v.seenAt) + census.Unmet
	if len(v.seenAt) <= 1 && census.Unmet > 0 {
		all = assumedNodes
	}
	return float64(len(census.Live)) / float64(max(all, len(census.Live), 1))
}

// dropSettled drops the views that were replaced long enough ago. The caller must hold mu.
func (v *Views) dropSettled(now time.Time) {
	for len(v.views) > 1 && now.Sub(v.views[0].until) > settleTime {
		v.views = v.views[1:]
	}
}

// share returns the requests a second that this node may send to a cold searcher in a region.
func (v *Views) share(now time.Time, region string, perSecond float64, allowance Allowance) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropSettled(now)
	if len(v.views) == 0 {
		return 0
	}
	least := perSecond
	for _, view := range v.views {
		least = min(least, view.share(region, allowance.plan(perSecond, view.present)))
	}
	return least
}

// share returns this node's part of a plan. The same nodes share all cold searchers of a region, so that a query over many of them has room at
// each.
func (w *view) share(region string, plan coldPlan) float64 {
	if w.members == nil {
		return 0
	}
	rank, ok := w.ranks[region]
	if !ok {
		rank = w.members.rank(region, region)
		w.ranks[region] = rank
	}
	return plan.perSecond * w.members.fraction(rank, min(plan.sharing, w.members.count), region)
}
