package roster

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/reach"
)

// tableInterval is the time between two exchanges of the region's table. It grows with the region, which bounds the bytes sent.
func (r *Roster) tableInterval() time.Duration {
	return max(minTableInterval, time.Duration(r.regionSize()*stateBytes)*time.Second/tableBytesPerS)
}

// regionSize returns the number of nodes of the region, including this one.
func (r *Roster) regionSize() int {
	size := 1
	for _, record := range r.others {
		if r.inRegion(record.state) {
			size++
		}
	}
	return size
}

// directIntervals is the multiple of the time between two exchanges after which a leader counts as silent; it tolerates one lost exchange.
const directIntervals = 3

// silenceLimits holds how long a node may be silent and still count as live.
type silenceLimits struct {
	// directIDs holds the ids of the nodes that this node exchanges states with, to which direct applies. States of the others are
	// relayed, which takes longer: relayed applies to nodes of the region, remoteRegion to those of other regions.
	directIDs    map[string]bool
	direct       time.Duration
	relayed      time.Duration
	remoteRegion time.Duration
}

func (r *Roster) silenceLimits() silenceLimits {
	interval := r.tableInterval()
	// hops is the number of exchanges in which a state reaches all nodes of a region.
	hops := time.Duration(bits.Len(uint(r.regionSize())))
	s := silenceLimits{
		directIDs:    make(map[string]bool),
		direct:       max(r.settings.SuspectAfter, directIntervals*r.leaderExchangeInterval()),
		relayed:      relayedIntervals * interval,
		remoteRegion: remoteRegionSilence + 2*hops*interval,
	}
	for _, state := range r.directPeers() {
		s.directIDs[state.ID] = true
	}
	return s
}

// isLive reports whether the silence of a node is within its limit.
func (r *Roster) isLive(now time.Time, record *record, s silenceLimits) bool {
	if !record.contactAt.IsZero() && s.directIDs[record.state.ID] {
		latest := record.contactAt
		if record.advancedAt.After(latest) {
			latest = record.advancedAt
		}
		return now.Sub(latest) < s.direct
	}
	if !r.inRegion(record.state) {
		return now.Sub(record.advancedAt) < s.remoteRegion
	}
	return now.Sub(record.advancedAt) < s.relayed
}

// maxViewAge is the age at which a view is rebuilt even though no phase changed, because nodes fall silent and loads change.
const maxViewAge = 100 * time.Millisecond

// view is an immutable snapshot of the live nodes.
type view struct {
	at time.Time
	// live holds the ready nodes that are not silent, including this one when it is ready, in hash order.
	live []State
	// active holds the nodes that callers are directed to, by zone. Those that reach far fewer searchers than others are not among them.
	active map[string][]State
	// bestReach is the greatest reach of the live nodes, unknown if no node knows its reach.
	bestReach reach.Reach
	// reachDoubted is set while some live node is known to reach few searchers.
	reachDoubted bool
}

// currentView returns the current view and rebuilds it when it is outdated. The caller holds mu.
func (r *Roster) currentView(now time.Time) *view {
	if v := r.view; v != nil && !r.changed && !now.Before(v.at) && now.Sub(v.at) < maxViewAge {
		return v
	}
	v := &view{at: now, active: make(map[string][]State)}
	if r.self.Phase == Ready {
		v.live = append(v.live, r.self)
	}
	s := r.silenceLimits()
	for _, record := range r.others {
		if record.state.Phase == Ready && r.isLive(now, record, s) {
			v.live = append(v.live, record.state)
		}
	}
	slices.SortFunc(v.live, func(a, b State) int { return cmp.Compare(a.hashOrder, b.hashOrder) })
	zones := make(map[string][]State)
	v.bestReach = bestReach(v.live)
	for _, state := range v.live {
		v.reachDoubted = v.reachDoubted || state.Reach.Low()
		if !state.Reach.BelowOthers(v.bestReach) {
			zones[state.Zone] = append(zones[state.Zone], state)
		}
	}
	if v.reachDoubted {
		for zone, states := range zones {
			zones[zone] = preferKnownReach(states)
		}
	}
	for zone, states := range zones {
		v.active[zone] = activeNodes(states)
	}
	r.view, r.changed = v, false
	return v
}

// bestReach returns the greatest reach of the nodes that know theirs.
func bestReach(states []State) reach.Reach {
	best := reach.Unknown
	for _, s := range states {
		if s.Reach.Known() && (!best.Known() || s.Reach.Share() > best.Share()) {
			best = s.Reach
		}
	}
	return best
}

// preferKnownReach returns the nodes that know their reach, if there are enough of them, since the others may have lost their links as well.
func preferKnownReach(states []State) []State {
	var known []State
	for _, s := range states {
		if s.Reach.Known() {
			known = append(known, s)
		}
	}
	if len(known) < minActive {
		return states
	}
	return known
}

// BestReach returns the greatest reach of the live nodes, unknown if no node knows its reach. doubted tells whether some live node is known to
// reach few searchers.
func (r *Roster) BestReach(now time.Time) (best reach.Reach, doubted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.currentView(now)
	return v.bestReach, v.reachDoubted
}

// Live returns the nodes that are ready and not silent, including this one when it is ready, in hash order. The caller must not modify
// the result.
func (r *Roster) Live(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentView(now).live
}

// FirstInRegion returns the first n live nodes of this node's region in hash order.
func (r *Roster) FirstInRegion(now time.Time, n int) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	var states []State
	for _, s := range r.currentView(now).live {
		if len(states) < n && r.inRegion(s) {
			states = append(states, s)
		}
	}
	return states
}

// firstStates holds the states that come first in hash order.
type firstStates []State

// insert adds a state if it is among the first n.
func (f *firstStates) insert(s State, n int) {
	at := sort.Search(len(*f), func(i int) bool { return (*f)[i].hashOrder > s.hashOrder })
	if at >= n {
		return
	}
	*f = append(*f, State{})
	copy((*f)[at+1:], (*f)[at:])
	(*f)[at] = s
	*f = (*f)[:min(len(*f), n)]
}
