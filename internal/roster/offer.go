package roster

import (
	"sort"
	"time"
)

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
	live, own := r.liveReady(now), r.self.Zone
	r.mu.Unlock()
	for _, near := range []func(State) bool{
		func(s State) bool { return s.Zone == zone || (s.Zone == own && zone != own) },
		func(s State) bool { return s.Region == region },
		func(State) bool { return true },
	} {
		var group []State
		for _, state := range live {
			if near(state) {
				group = append(group, state)
			}
		}
		if len(group) > 0 {
			return addresses(activeByZone(group))
		}
	}
	return nil
}

// activeByZone returns the active nodes of each zone in a group.
func activeByZone(group []State) []State {
	zones := make(map[string][]State)
	for _, state := range group {
		zones[state.Zone] = append(zones[state.Zone], state)
	}
	var active []State
	for _, zone := range zones {
		active = append(active, activeOf(zone)...)
	}
	return active
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

// activeOf returns the nodes of a zone that callers are sent to: the first ones whose processors carry the load of all. Few busy nodes
// learn more of each searcher than many idle ones and keep their connections in use.
func activeOf(group []State) []State {
	ordered := append([]State(nil), group...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].order() < ordered[j].order() })
	load := 0.0
	for _, state := range ordered {
		load += state.Load
	}
	cores := 0.0
	for i, state := range ordered {
		cores += state.Cores
		if i+1 >= minActive && cores*activeShare >= load {
			return ordered[:i+1]
		}
	}
	return ordered
}

// Active returns the nodes of all zones that callers are sent to.
func (r *Roster) Active(now time.Time) []State { return activeByZone(r.Live(now)) }
