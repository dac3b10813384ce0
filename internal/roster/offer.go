package roster

import "time"

const (
	// maxOffered is the number of addresses in an answer to a caller.
	maxOffered = 64
	// minActive is the least number of nodes of a zone that callers are sent to.
	minActive = 2
	// activeShare is the part of their processors that the active nodes of a zone may use before another one joins them.
	activeShare = 0.3
)

// Offer returns the caller addresses of active nodes for a caller in a zone. A caller asks the nodes of its own zone first, so that a
// caller from another zone most likely found none there: it gets the nodes of this zone beside those of its own. Where neither zone has
// any, it gets those of its region, or else all.
func (r *Roster) Offer(now time.Time, region, zone string) []string {
	r.mu.Lock()
	v, own := r.look(now), r.self.Zone
	r.mu.Unlock()
	for _, near := range []func(State) bool{
		func(s State) bool { return s.Zone == zone || (s.Zone == own && zone != own) },
		func(s State) bool { return s.Region == region },
		func(State) bool { return true },
	} {
		var group []State
		for _, active := range v.active {
			// The nodes of a zone are in one region.
			if near(active[0]) {
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
		if len(list) < maxOffered {
			list = append(list, state.CallerAddress)
		}
	}
	return list
}

// activeOf returns the nodes of a zone that callers are sent to: the first ones, in their order, whose processors carry the load of all.
// Few busy nodes learn more of each searcher than many idle ones and keep their connections in use.
func activeOf(zone []State) []State {
	load := 0.0
	for _, state := range zone {
		load += state.Load
	}
	cores := 0.0
	for i, state := range zone {
		cores += state.Cores
		if i+1 >= minActive && cores*activeShare >= load {
			return zone[:i+1]
		}
	}
	return zone
}

// Active returns the nodes of all zones that callers are sent to.
func (r *Roster) Active(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	var active []State
	for _, states := range r.look(now).active {
		active = append(active, states...)
	}
	return active
}

// Sharers counts, by region, the nodes that share what all nodes use together: those that callers are sent to, and those with some load
// in cores, since a node that is out of reach still uses the share that it had.
func (r *Roster) Sharers(now time.Time, leastLoad float64) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	active := make(map[string]bool)
	for _, states := range r.look(now).active {
		for _, state := range states {
			active[state.ID] = true
			counts[state.Region]++
		}
	}
	if !active[r.self.ID] && r.self.Load >= leastLoad {
		counts[r.self.Region]++
	}
	for id, record := range r.others {
		if !active[id] && record.state.Load >= leastLoad {
			counts[record.state.Region]++
		}
	}
	return counts
}

// IsActive reports whether callers are sent to this node.
func (r *Roster) IsActive(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range r.look(now).active[r.self.Zone] {
		if state.ID == r.self.ID {
			return true
		}
	}
	return false
}
