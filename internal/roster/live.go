package roster

import (
	"math/bits"
	"sort"
	"time"
)

// tableInterval is the time between two exchanges of the region's table; it grows with the region, so that its bytes do not.
func (r *Roster) tableInterval() time.Duration {
	members := len(r.region())
	return max(minTableInterval, time.Duration(members*stateBytes)*time.Second/tableBytesPerS)
}

// hops returns the number of exchanges in which a state reaches all nodes of the region.
func (r *Roster) hops() time.Duration { return time.Duration(bits.Len(uint(len(r.region())))) }

// live reports whether a node was heard lately: directly, as those that this node greets at each heartbeat, or through others, which
// takes longer.
func (r *Roster) live(now time.Time, record *record, interval time.Duration, greeted map[string]bool) bool {
	if !record.heardAt.IsZero() && greeted[record.state.ID] {
		latest := record.heardAt
		if record.advancedAt.After(latest) {
			latest = record.advancedAt
		}
		return now.Sub(latest) < r.settings.SuspectAfter
	}
	if record.state.Region != r.self.Region {
		return now.Sub(record.advancedAt) < farSilence+2*r.hops()*interval
	}
	return now.Sub(record.advancedAt) < relayedFactor*interval
}

// greeted returns the ids of the nodes that this node greets at each heartbeat.
func (r *Roster) greeted() map[string]bool {
	ids := make(map[string]bool)
	for _, s := range r.closest() {
		ids[s.ID] = true
	}
	return ids
}

// Live returns the nodes that were heard lately and are ready, this node included when it is, sorted by id.
func (r *Roster) Live(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.liveReady(now)
}

func (r *Roster) liveReady(now time.Time) []State {
	var live []State
	if r.self.Phase == Ready {
		live = append(live, r.self)
	}
	interval, greeted := r.tableInterval(), r.greeted()
	for _, record := range r.others {
		if record.state.Phase == Ready && r.live(now, record, interval, greeted) {
			live = append(live, record.state)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}
