package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// tickInterval is how often a node sends the marks that its outbox had to hold back.
	tickInterval = 250 * time.Millisecond
	settleTime   = 10 * time.Second
	// learnTime is the time after which a node that reaches the others must know what they know.
	learnTime = 5 * time.Second
	// maxPulls bounds the comparisons that a node starts within learnTime.
	maxPulls = 5
)

// markNode is the part of a node that holds and passes on marks.
type markNode struct {
	*Roster
	address string
	marks   *quar.Table
	repair  *quar.Repair
	outbox  *quar.Outbox
	pulls   int
	// bytes is the size of the marks and hashes that the node has sent.
	bytes int
}

// markFleet is a fleet of nodes with quarantine marks on a virtual clock. Messages take no time. A seed draws the order of the nodes.
type markFleet struct {
	now    time.Time
	random *rand.Rand
	nodes  []*markNode
	byName map[string]*markNode
}

func newMarkFleet(seed uint64, regions, zones, nodesPerZone int) *markFleet {
	f := &markFleet{now: start, random: rand.New(rand.NewPCG(seed, seed)), byName: make(map[string]*markNode)}
	rosters := newKnownFleet(seed, regions, zones, nodesPerZone)
	for _, address := range slices.Sorted(maps.Keys(rosters)) {
		n := &markNode{Roster: rosters[address], address: address, marks: quar.New(quar.Settings{}), repair: quar.NewRepair(), outbox: quar.NewOutbox()}
		f.nodes = append(f.nodes, n)
		f.byName[address] = n
	}
	return f
}

// run plays the heartbeats and ticks of all nodes for a while, in a new order each time.
func (f *markFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(tickInterval) {
		heartbeat := f.now.Sub(start)%heartbeatInterval == 0
		for _, i := range f.random.Perm(len(f.nodes)) {
			if heartbeat {
				f.beat(f.nodes[i])
			}
			f.send(f.nodes[i])
		}
	}
}

func (f *markFleet) beat(n *markNode) {
	n.RecordHeartbeat(0)
	for _, e := range n.NextExchanges(f.now, nil) {
		other := f.byName[e.Address]
		n.Merge(f.now, other.Reply(f.now, other.merged(f.now, e.States)))
		if n.repair.Begin(f.now, n.marks.Hash(f.now), other.marks.Hash(f.now)) {
			f.compare(n, other)
		}
	}
}

// compare lets a node compare its marks with those of another one.
func (f *markFleet) compare(n, other *markNode) {
	n.pulls++
	buckets := n.marks.Buckets(f.now)
	differing, marks := other.marks.Compare(f.now, buckets)
	lacking := n.marks.Lacking(f.now, len(buckets), differing, marks)
	n.bytes += 8*len(buckets) + size(lacking)
	other.bytes += 2*len(differing) + size(marks)
	n.marks.Merge(f.now, marks)
	n.repair.End(false)
	f.receive(other, lacking, true)
}

// receive lets a node merge marks and pass on those that were new to it. Those of a comparison are passed on by leaders only.
func (f *markFleet) receive(n *markNode, marks []*wire.QuarantineMark, compared bool) {
	var added []*wire.QuarantineMark
	for _, mark := range marks {
		if n.marks.Merge(f.now, []*wire.QuarantineMark{mark}) {
			added = append(added, n.marks.Mark(f.now, mark.GetFingerprint()))
		}
	}
	if len(added) > 0 && (!compared || n.LeadsZone()) {
		n.outbox.Add(added)
		f.send(n)
	}
}

// send sends the marks of a node that are due.
func (f *markFleet) send(n *markNode) {
	due := n.outbox.Take(f.now)
	if len(due) == 0 {
		return
	}
	for _, target := range n.PushTargets() {
		n.bytes += size(due)
		f.receive(f.byName[target], due, false)
	}
}

func size(marks []*wire.QuarantineMark) int {
	total := 0
	for _, mark := range marks {
		total += proto.Size(mark)
	}
	return total
}

// quarantine lets a node know of crashes of a request that it has told no one of.
func (f *markFleet) quarantine(n *markNode, fingerprint uint64) {
	for _, searcher := range []string{"i-0", "i-1"} {
		n.marks.RecordExclusiveLoss(f.now, fingerprint, searcher)
	}
}

// unaware returns the number of nodes that do not refuse all of the requests.
func (f *markFleet) unaware(requests []uint64) int {
	nodes := 0
	for _, n := range f.nodes {
		if slices.ContainsFunc(requests, func(r uint64) bool { return n.marks.Check(f.now, r) != (quar.Quarantined{}) }) {
			nodes++
		}
	}
	return nodes
}

// check reports the nodes that do not refuse all of the requests, and those that have started too many comparisons.
func (f *markFleet) check(t *testing.T, requests []uint64) {
	t.Helper()
	if got := f.unaware(requests); got != 0 {
		t.Errorf("got %d of %d nodes that do not refuse all %d requests after %v, want none", got, len(f.nodes), len(requests), learnTime)
	}
	for _, n := range f.nodes {
		if n.pulls > maxPulls {
			t.Errorf("%s: got %d pulls, want at most %d", n.address, n.pulls, maxPulls)
		}
	}
}

// Guards against quarantine marks that nodes never learn, since they were cut off or not running when the marks were pushed, and against nodes
// that all transfer them again and again.
func TestMissedMarksAreRepaired(t *testing.T) {
	const regions, zones, nodesPerZone = 3, 2, 50
	// CI runs all seeds without the race detector, and the first ones with it.
	seeds := 20
	if testing.Short() {
		seeds = 3
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			f := newMarkFleet(seed, regions, zones, nodesPerZone)
			f.run(settleTime)
			// Each of two nodes of different regions has crashes of its own that no other node knows.
			f.quarantine(f.byName["n-0-0-7:2"], 0)
			f.quarantine(f.byName["n-2-1-31:2"], 1)
			f.run(learnTime)
			f.check(t, []uint64{0, 1})
		})
	}
}

// maxMarkBytes is what a node may send within learnTime: 3 KB/s, the limit on its control traffic.
const maxMarkBytes = 15_000

// Guards against marks that nodes learn late or never, or at the cost of too much traffic, when many are made at once at nodes that tell no one,
// while a tenth of the nodes start and know none of the earlier ones.
func TestManyMissedMarksAreRepaired(t *testing.T) {
	const regions, zones, nodesPerZone = 3, 2, 50
	const earlierMarks, startingShare = 50, 10
	const seeds = 3
	for name, marks := range map[string]int{"one mark": 1, "two marks": 2, "sixteen marks": 16, "512 marks": 512} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				f := newMarkFleet(seed, regions, zones, nodesPerZone)
				var requests []uint64
				for range earlierMarks {
					requests = append(requests, f.random.Uint64())
					for i, n := range f.nodes {
						if i%startingShare != 0 {
							f.quarantine(n, requests[len(requests)-1])
						}
					}
				}
				for range marks {
					requests = append(requests, f.random.Uint64())
					f.quarantine(f.nodes[f.random.IntN(len(f.nodes))], requests[len(requests)-1])
				}
				f.run(learnTime)
				f.check(t, requests)
				for _, n := range f.nodes {
					if n.bytes > maxMarkBytes {
						t.Errorf("%s: got %d bytes of marks sent within %v, want at most %d", n.address, n.bytes, learnTime, maxMarkBytes)
					}
				}
			})
		}
	}
}

// merged merges received states and returns them.
func (r *Roster) merged(now time.Time, received []State) []State {
	r.Merge(now, received)
	return received
}
