package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/quar"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	settleTime        = 10 * time.Second
	// learnTime is the time after which a node that reaches the others must know what they know.
	learnTime = 5 * time.Second
	// maxPulls bounds the pulls of a node within learnTime.
	maxPulls = 5
)

// markFleet is a fleet of nodes with quarantine marks on a virtual clock. Exchanges take no time. A seed draws the order of the nodes.
type markFleet struct {
	now       time.Time
	random    *rand.Rand
	addresses []string
	rosters   map[string]*Roster
	tables    map[string]*quar.Table
	repairs   map[string]*quar.Repair
	pulls     map[string]int
}

func newMarkFleet(seed uint64, regions, zones, nodesPerZone int) *markFleet {
	f := &markFleet{
		now:     start,
		random:  rand.New(rand.NewPCG(seed, seed)),
		rosters: newKnownFleet(seed, regions, zones, nodesPerZone),
		tables:  make(map[string]*quar.Table),
		repairs: make(map[string]*quar.Repair),
		pulls:   make(map[string]int),
	}
	f.addresses = slices.Sorted(maps.Keys(f.rosters))
	for _, address := range f.addresses {
		f.tables[address], f.repairs[address] = quar.New(quar.Settings{}), quar.NewRepair()
	}
	return f
}

// run plays the heartbeats of all nodes for a while, in a new order each time.
func (f *markFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(heartbeatInterval) {
		for _, i := range f.random.Perm(len(f.addresses)) {
			f.beat(f.addresses[i])
		}
	}
}

func (f *markFleet) beat(address string) {
	r := f.rosters[address]
	r.RecordHeartbeat(0)
	for _, e := range r.NextExchanges(f.now, nil) {
		other := f.rosters[e.Address]
		r.Merge(f.now, other.Reply(f.now, other.merged(f.now, e.States)))
		f.compare(e.Address, address)
		f.compare(address, e.Address)
	}
}

// compare lets a node pull the marks of another one if it has to.
func (f *markFleet) compare(node, other string) {
	ours, theirs := f.tables[node], f.tables[other]
	if f.repairs[node].Begin(f.now, ours.Hash(f.now), theirs.Hash(f.now)) {
		f.pulls[node]++
		f.repairs[node].End(!ours.Merge(f.now, theirs.Export(f.now)))
	}
}

// quarantine lets a node know of crashes of a request that it has told no one of.
func (f *markFleet) quarantine(address string, fingerprint uint64) {
	for _, searcher := range []string{"i-0", "i-1"} {
		f.tables[address].RecordExclusiveLoss(f.now, fingerprint, searcher)
	}
}

// unaware returns the number of nodes that do not refuse all of the first requests.
func (f *markFleet) unaware(requests uint64) int {
	nodes := 0
	for _, table := range f.tables {
		for fingerprint := range requests {
			if table.Check(f.now, fingerprint) != (quar.Quarantined{}) {
				nodes++
				break
			}
		}
	}
	return nodes
}

// Guards against quarantine marks that nodes never learn, since they were cut off or not running when the marks were pushed, and against nodes
// that all transfer them again and again.
func TestMissedMarksAreRepaired(t *testing.T) {
	const regions, zones, nodesPerZone = 3, 2, 50
	const seeds = 20
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			f := newMarkFleet(seed, regions, zones, nodesPerZone)
			f.run(settleTime)
			// Each of two nodes of different regions has crashes of its own that no other node knows.
			f.quarantine("n-0-0-7:2", 0)
			f.quarantine("n-2-1-31:2", 1)
			f.run(learnTime)
			if got := f.unaware(2); got != 0 {
				t.Errorf("got %d of %d nodes that do not refuse both requests after %v, want none", got, len(f.addresses), learnTime)
			}
			for _, address := range f.addresses {
				if got := f.pulls[address]; got > maxPulls {
					t.Errorf("%s: got %d pulls, want at most %d", address, got, maxPulls)
				}
			}
		})
	}
}

// merged merges received states and returns them.
func (r *Roster) merged(now time.Time, received []State) []State {
	r.Merge(now, received)
	return received
}
