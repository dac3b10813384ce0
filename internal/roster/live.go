package roster

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
	"time"
)

// tableInterval is the time between two exchanges of the region's table; it grows with the region, so that its bytes do not.
func (r *Roster) tableInterval() time.Duration {
	return max(minTableInterval, time.Duration(r.regionSize()*stateBytes)*time.Second/tableBytesPerS)
}

// regionSize returns the number of nodes of the region.
func (r *Roster) regionSize() int {
	size := 1
	for _, record := range r.others {
		if r.inRegion(record.state) {
			size++
		}
	}
	return size
}

// directFactor is the multiple of the time between two greetings after which a leader counts as silent: one of them may be lost.
const directFactor = 3

// silence holds how long a node may be silent before it does not count as live.
type silence struct {
	// greeted holds the ids of the nodes that this node greets, for which direct applies. The others are heard through others, which
	// takes longer: relayed applies to those of the region, far to those of other regions.
	greeted map[string]bool
	direct  time.Duration
	relayed time.Duration
	far     time.Duration
}

func (r *Roster) silence() silence {
	interval := r.tableInterval()
	// A state reaches all nodes of a region in so many exchanges.
	hops := time.Duration(bits.Len(uint(r.regionSize())))
	s := silence{
		greeted: make(map[string]bool),
		direct:  max(r.settings.SuspectAfter, directFactor*r.greetGap()),
		relayed: relayedFactor * interval,
		far:     farSilence + 2*hops*interval,
	}
	for _, state := range r.closest() {
		s.greeted[state.ID] = true
	}
	return s
}

// live reports whether a node was heard lately.
func (r *Roster) live(now time.Time, record *record, s silence) bool {
	if !record.heardAt.IsZero() && s.greeted[record.state.ID] {
		latest := record.heardAt
		if record.advancedAt.After(latest) {
			latest = record.advancedAt
		}
		return now.Sub(latest) < s.direct
	}
	if !r.inRegion(record.state) {
		return now.Sub(record.advancedAt) < s.far
	}
	return now.Sub(record.advancedAt) < s.relayed
}

// viewAge is the age at which a view is made anew, although no phase changed: nodes fall silent and loads move.
const viewAge = 100 * time.Millisecond

// view is an immutable picture of the live nodes.
type view struct {
	at time.Time
	// live holds the ready nodes that were heard lately, this one included when it is ready, in their order.
	live []State
	// active holds the nodes of each zone that callers are sent to.
	active map[string][]State
}

// look returns the present view. The caller holds mu.
func (r *Roster) look(now time.Time) *view {
	if v := r.view; v != nil && !r.changed && !now.Before(v.at) && now.Sub(v.at) < viewAge {
		return v
	}
	v := &view{at: now, active: make(map[string][]State)}
	if r.self.Phase == Ready {
		v.live = append(v.live, r.self)
	}
	s := r.silence()
	for _, record := range r.others {
		if record.state.Phase == Ready && r.live(now, record, s) {
			v.live = append(v.live, record.state)
		}
	}
	slices.SortFunc(v.live, func(a, b State) int { return cmp.Compare(a.order, b.order) })
	zones := make(map[string][]State)
	for _, state := range v.live {
		zones[state.Zone] = append(zones[state.Zone], state)
	}
	for zone, states := range zones {
		v.active[zone] = activeOf(states)
	}
	r.view, r.changed = v, false
	return v
}

// Live returns the nodes that were heard lately and are ready, this node included when it is, in their order. The caller must not change
// the result.
func (r *Roster) Live(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.look(now).live
}

// First returns the first n live and ready nodes of this node's region in their order.
func (r *Roster) First(now time.Time, n int) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	var nearest []State
	for _, s := range r.look(now).live {
		if len(nearest) < n && r.inRegion(s) {
			nearest = append(nearest, s)
		}
	}
	return nearest
}

// firsts holds states in their order.
type firsts []State

// add enters a state when it is among the first n.
func (f *firsts) add(s State, n int) {
	at := sort.Search(len(*f), func(i int) bool { return (*f)[i].order > s.order })
	if at >= n {
		return
	}
	*f = append(*f, State{})
	copy((*f)[at+1:], (*f)[at:])
	(*f)[at] = s
	*f = (*f)[:min(len(*f), n)]
}
