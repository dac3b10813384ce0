package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCallerAddresses is the maximum number of addresses in a directory answer.
	maxCallerAddresses = 64
	// minActive is the minimum number of active nodes of a zone.
	minActive = 2
	// maxActiveUtilization is the share of their CPU that the active nodes of a zone may use before another node becomes active.
	maxActiveUtilization = 0.3
)

// CallerAddresses returns the caller addresses of active nodes for a caller in a zone. A caller asks the nodes of its own zone first, so a
// caller from another zone most likely found none there: it gets the nodes of this zone together with those of its own. When neither zone
// has any, it gets those of its region, and otherwise those of all regions. Nodes in regions that are not allowed are left out as long as there
// are others; those of the caller's own region always are allowed. If the first of several rules leaves no node, the next one applies.
func (r *Roster) CallerAddresses(now time.Time, region, zone string, allowed ...func(region string) bool) []string {
	r.mu.Lock()
	v, own := r.currentView(now), r.self.Zone
	r.mu.Unlock()
	near := func(s State) bool {
		return (s.Zone == zone || (s.Zone == own && zone != own)) && (s.Region == region || len(allowed) == 0 || allowed[0](s.Region))
	}
	matches := []func(State) bool{near, func(s State) bool { return s.Region == region }}
	for _, allows := range allowed {
		matches = append(matches, func(s State) bool { return allows(s.Region) })
	}
	for _, match := range append(matches, func(State) bool { return true }) {
		var group []State
		for _, active := range v.active {
			// All nodes of a zone are in the same region.
			if match(active[0]) {
				group = append(group, active...)
			}
		}
		if len(group) > 0 {
			return addresses(group)
		}
	}
	return nil
}

func addresses(states []State) []string {
	list := make([]string, 0, len(states))
	for _, state := range states {
		if len(list) < maxCallerAddresses {
			list = append(list, state.CallerAddress)
		}
	}
	return list
}

// activeNodes returns the nodes of a zone that callers are directed to: the fewest of the largest, of minActive nodes at least, whose CPU
// carries the load of the whole zone. A few busy nodes collect more statistics on each searcher than many idle ones, and they keep their
// connections in use. The largest go first, since a query over a hundred shards takes a small VM tens of milliseconds. The zone is in hash
// order, which decides between nodes of the same size.
func activeNodes(zone []State) []State {
	load := 0.0
	for _, state := range zone {
		load += state.Load
	}
	bySize := slices.Clone(zone)
	slices.SortStableFunc(bySize, func(a, b State) int { return cmp.Compare(b.Cores, a.Cores) })
	cores := 0.0
	for i, state := range bySize {
		cores += state.Cores
		if i+1 >= minActive && cores*maxActiveUtilization >= load {
			return bySize[:i+1]
		}
	}
	return bySize
}

// Active returns the nodes of all zones that callers are directed to.
func (r *Roster) Active(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	var active []State
	for _, states := range r.currentView(now).active {
		active = append(active, states...)
	}
	return active
}

// SharingNodes returns, by region and sorted, the ids of the nodes that share cluster-wide budgets: the active nodes, and any other node whose
// load is at least minLoad cores, because an unreachable node still uses the share that it had.
func (r *Roster) SharingNodes(now time.Time, minLoad float64) map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make(map[string][]string)
	active := make(map[string]bool)
	for _, states := range r.currentView(now).active {
		for _, state := range states {
			active[state.ID] = true
			ids[state.Region] = append(ids[state.Region], state.ID)
		}
	}
	if !active[r.self.ID] && r.self.Load >= minLoad {
		ids[r.self.Region] = append(ids[r.self.Region], r.self.ID)
	}
	for id, record := range r.others {
		if !active[id] && record.state.Load >= minLoad {
			ids[record.state.Region] = append(ids[record.state.Region], id)
		}
	}
	for _, region := range ids {
		slices.Sort(region)
	}
	return ids
}

// IsActive reports whether callers are directed to this node.
func (r *Roster) IsActive(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range r.currentView(now).active[r.self.Zone] {
		if state.ID == r.self.ID {
			return true
		}
	}
	return false
}
