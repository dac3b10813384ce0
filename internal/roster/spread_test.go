package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/quar"
)

// newKnownFleet returns the rosters of a fleet in regions of two availability zones each, all of which know each other.
func newKnownFleet(regions, zones, nodesPerZone int) map[string]*Roster {
	var states []State
	for region := range regions {
		for zone := range zones {
			for node := range nodesPerZone {
				id := fmt.Sprintf("n-%d-%d-%d", region, zone, node)
				s := state(id, Ready, 1, 1)
				s.Region, s.Zone, s.Cores = fmt.Sprint(region), fmt.Sprintf("%d-%d", region, zone), 0.2
				states = append(states, s)
			}
		}
	}
	fleet := make(map[string]*Roster, len(states))
	for _, s := range states {
		r := New(s, Settings{})
		r.Merge(start, states)
		fleet[s.PeerAddress] = r
	}
	return fleet
}

// Guards against quarantine marks that open a connection between any two nodes: each connection costs a handshake. On a fleet of 295 nodes
// nodes dialed about 150 others each within two seconds.
func TestMarksSpreadOverFewConnections(t *testing.T) {
	const regions, zones, nodesPerZone = 3, 2, 50
	// The distances 1 to 64 in a region of 100 nodes, and from leaders two leaders in each of two other regions.
	const maxTargets = 7 + 4
	fleet := newKnownFleet(regions, zones, nodesPerZone)
	marks := []string{"n-0-0-0:2", "n-1-1-7:2", "n-2-0-31:2"}
	connections := make(map[[2]string]bool)
	for _, origin := range marks {
		reached := map[string]bool{origin: true}
		for queue := []string{origin}; len(queue) > 0; queue = queue[1:] {
			for _, target := range fleet[queue[0]].PushTargets() {
				connections[[2]string{queue[0], target}] = true
				if !reached[target] {
					reached[target] = true
					queue = append(queue, target)
				}
			}
		}
		if got, want := len(reached), len(fleet); got != want {
			t.Errorf("mark of %s: got %d nodes reached, want %d", origin, got, want)
		}
	}
	perNode := make(map[string]int)
	for connection := range connections {
		perNode[connection[0]]++
	}
	for node, got := range perNode {
		if got > maxTargets {
			t.Errorf("%s: got connections to %d nodes, want at most %d", node, got, maxTargets)
		}
	}
}

// Guards against quarantine marks that nodes never learn, since they were cut off or not running when the marks were pushed, and against nodes
// that all transfer them again and again.
func TestMissedMarksAreRepaired(t *testing.T) {
	const (
		regions, zones, nodesPerZone = 3, 2, 50
		heartbeatInterval            = 500 * time.Millisecond
		settleTime                   = 10 * time.Second
		// learnTime is the time after which a node that reaches the others must know what they know.
		learnTime = 5 * time.Second
		maxPulls  = 5
	)
	fleet := newKnownFleet(regions, zones, nodesPerZone)
	tables, repairs, pulls := make(map[string]*quar.Table), make(map[string]*quar.Repair), make(map[string]int)
	for address := range fleet {
		tables[address], repairs[address] = quar.New(quar.Settings{}), quar.NewRepair()
	}
	now := start
	compare := func(node, other string) {
		if repairs[node].Begin(now, tables[node].Hash(now), tables[other].Hash(now)) {
			pulls[node]++
			repairs[node].End(!tables[node].Merge(now, tables[other].Export(now)))
		}
	}
	run := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(heartbeatInterval) {
			for address, r := range fleet {
				r.RecordHeartbeat(0)
				for _, e := range r.NextExchanges(now, nil) {
					r.Merge(now, fleet[e.Address].Reply(now, fleet[e.Address].merged(now, e.States)))
					compare(e.Address, address)
					compare(address, e.Address)
				}
			}
		}
	}
	run(settleTime)
	// Each of two nodes of different regions has crashes of its own that no other node knows.
	for i, origin := range []string{"n-0-0-7:2", "n-2-1-31:2"} {
		tables[origin].RecordExclusiveLoss(now, uint64(i), "i-0")
		tables[origin].RecordExclusiveLoss(now, uint64(i), "i-1")
	}
	run(learnTime)
	for address, table := range tables {
		for fingerprint := range uint64(2) {
			if got := table.Check(now, fingerprint); got != (quar.Quarantined{}) {
				t.Errorf("%s: got verdict %T of request %d after %v, want it quarantined", address, got, fingerprint, learnTime)
			}
		}
		if got := pulls[address]; got > maxPulls {
			t.Errorf("%s: got %d pulls, want at most %d", address, got, maxPulls)
		}
	}
}

// merged merges received states and returns them.
func (r *Roster) merged(now time.Time, received []State) []State {
	r.Merge(now, received)
	return received
}
