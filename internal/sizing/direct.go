package sizing

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/spread"
	"github.com/fireflylanding/fireflylanding/internal/view"
)

const (
	// repeats is the number of runs per time measurement. The minimum is used, since other load on the machine only adds to it.
	repeats = 5
	// fixedNodes and fixedSearchers are the sizes of the dimension that is held constant.
	fixedNodes     = 90
	fixedSearchers = 600
	microsecond    = float64(time.Microsecond)
)

// directNodes and directSearchers extend to the design size, which is possible because no fleet runs.
var (
	directNodes     = []float64{90, 180, 360, 675, 1350, 2700}
	directSearchers = []float64{600, 1200, 2400, 4800, 9600, 12000}
)

// heapBytes returns the size of live objects and stacks in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// retainedBytes returns the memory that a value retains, in bytes.
func retainedBytes(build func() (any, error)) (float64, error) {
	// The first build fills caches that are retained and must not count.
	if _, err := build(); err != nil {
		return 0, err
	}
	before := heapBytes()
	value, err := build()
	if err != nil {
		return 0, err
	}
	bytes := heapBytes() - before
	runtime.KeepAlive(value)
	return bytes, nil
}

// minTime returns the minimum duration of the repeated runs.
func minTime(run func()) time.Duration {
	best := time.Duration(math.MaxInt64)
	for range repeats {
		start := time.Now()
		run()
		best = min(best, time.Since(start))
	}
	return best
}

// parsedDocuments holds the values that a node derives from its documents.
type parsedDocuments struct {
	lists   *plans.Lists
	vms     []shards.VM
	indexes []*shards.Index
}

func (s *synthetic) parse() (parsedDocuments, error) {
	var p parsedDocuments
	parsedPlans, err := plans.ParsePlans(1, s.plans.Sections())
	if err != nil {
		return p, err
	}
	var uses *plans.Uses
	if uses, err = plans.ParseUses(1, s.uses.Sections()); err != nil {
		return p, err
	}
	p.lists = plans.NewLists(parsedPlans, uses)
	for _, document := range s.vms {
		var vms []shards.VM
		if vms, err = shards.ParseVMs(document.Key(), document.Sections()); err != nil {
			return p, err
		}
		p.vms = append(p.vms, vms...)
	}
	for _, document := range s.indexes {
		var index *shards.Index
		collection := strings.TrimPrefix(document.Key(), shards.IndexPrefix)
		if index, err = shards.ParseIndex(collection, document.Revision(), document.Sections()); err != nil {
			return p, err
		}
		p.indexes = append(p.indexes, index)
	}
	return p, nil
}

// dimension is one dimension of the fleet size, over which quantities are measured.
type dimension struct {
	per   string
	sizes []float64
	build func(size float64) (*synthetic, error)
}

// pairsPerUnit is the unit of costs that grow with nodes and searchers at once: a million node-searcher pairs.
const pairsPerUnit = 1e6

// designShares are the fractions of the design size at which such costs are measured.
var designShares = []float64{1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 1}

func dimensions() []dimension {
	return []dimension{
		{per: "node", sizes: directNodes, build: func(n float64) (*synthetic, error) { return newSynthetic(int(n), fixedSearchers) }},
		{per: "searcher", sizes: directSearchers, build: func(n float64) (*synthetic, error) { return newSynthetic(fixedNodes, int(n)) }},
	}
}

// quantity is a measured property of a fleet's documents.
type quantity struct {
	name  string
	what  string
	unit  string
	value func(*synthetic) (float64, error)
}

func quantities() []quantity {
	return []quantity{
		{"documents", "bytes of all documents", "B", func(s *synthetic) (float64, error) { return s.bytes(), nil }},
		{"list_bytes", "bytes of the greatest VM list", "B", listBytes},
		{"read_time", "reading the INI text of a VM list, as a reader does", "µs", readTime},
		{"order_time", "place.Order, which sorts a directory answer", "µs", orderTime},
		{"store_memory", "memory of spread.Store", "B", storeMemory},
		{"view_memory", "memory of view.Snapshot and its parsed documents", "B", viewMemory},
		{"member_memory", "memory of member.View with its snapshot, each node heard", "B", memberMemory},
		{"parse_time", "parsing all documents", "µs", parseTime},
		{"publish_time", "member.View.Published and Snapshot", "µs", publishTime},
		{"diff_time", "spread.Apply and Store.Accept of one changed VM without validation", "µs", applyTime},
	}
}

// jointQuantities returns the quantities that grow with the number of node-searcher pairs, since owners and readers are selected among
// all nodes.
func jointQuantities() []quantity {
	return []quantity{
		{"view_time", "view.New, which selects all owners", "µs", viewTime},
		{"readers_time", "place.Neighbours and place.Readers of all keys", "µs", neighboursTime},
	}
}

// measureJoint measures the joint quantities at fractions of the design size.
func measureJoint(context.Context) ([]Slope, error) {
	var sizes []float64
	var fleets []*synthetic
	for _, share := range designShares {
		nodes, searchers := int(share*designNodes), int(share*designSearchers)
		fleet, err := newSynthetic(nodes, searchers)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, float64(nodes)*float64(searchers)/pairsPerUnit)
		fleets = append(fleets, fleet)
	}
	var slopes []Slope
	for _, q := range jointQuantities() {
		values := make([]float64, len(fleets))
		for i, fleet := range fleets {
			var err error
			if values[i], err = q.value(fleet); err != nil {
				return nil, err
			}
		}
		slopes = append(slopes, NewSlope(q.name, q.what, q.unit, "million node-searcher pairs", sizes, values))
	}
	return slopes, nil
}

func (s *synthetic) bytes() float64 {
	total := 0
	for _, document := range s.documents() {
		total += document.Bytes()
	}
	return float64(total)
}

func listBytes(s *synthetic) (float64, error) {
	largest := 0
	for _, document := range s.vms {
		largest = max(largest, document.Bytes())
	}
	return float64(largest), nil
}

func readTime(s *synthetic) (float64, error) {
	var text strings.Builder
	for name, body := range s.vms[0].Sections() {
		fmt.Fprintf(&text, "[%s]\n%s", name, body)
	}
	data := []byte(text.String())
	var err error
	elapsed := minTime(func() { _, err = spread.ParseDocument(s.vms[0].Key(), 1, data) })
	return float64(elapsed) / microsecond, err
}

func orderTime(s *synthetic) (float64, error) {
	p, err := s.parse()
	if err != nil {
		return 0, err
	}
	entries := view.New(1, p.lists, p.vms, nil).Entries()
	return float64(minTime(func() { place.Order("caller", zoneName(0), entries) })) / microsecond, nil
}

func storeMemory(s *synthetic) (float64, error) {
	return retainedBytes(func() (any, error) {
		store := spread.NewStore(func(string, uint64, map[string]string) error { return nil })
		for _, document := range s.documents() {
			sections := make(map[string]string, len(document.Sections()))
			for name, body := range document.Sections() {
				sections[strings.Clone(name)] = strings.Clone(body)
			}
			store.Accept(time.Now(), spread.NewDocument(document.Key(), document.Revision(), sections))
		}
		return store, nil
	})
}

func viewMemory(s *synthetic) (float64, error) {
	return retainedBytes(func() (any, error) {
		p, err := s.parse()
		if err != nil {
			return nil, err
		}
		return view.New(1, p.lists, p.vms, p.indexes), nil
	})
}

func memberMemory(s *synthetic) (float64, error) {
	p, err := s.parse()
	if err != nil {
		return 0, err
	}
	// The VM list is shared with the view and must not count here, so it is kept alive.
	defer runtime.KeepAlive(p)
	return retainedBytes(func() (any, error) {
		now := time.Now()
		members := member.New(member.NewNode(nodeName(0), 1), member.Settings{})
		members.SetVMs(now, p.vms)
		for _, vm := range p.vms {
			if vm.IsEntry() {
				members.RecordContact(now, vm.ID(), 1)
			}
		}
		members.Snapshot(now)
		return members, nil
	})
}

func parseTime(s *synthetic) (float64, error) {
	var err error
	elapsed := minTime(func() { _, err = s.parse() })
	return float64(elapsed) / microsecond, err
}

func viewTime(s *synthetic) (float64, error) {
	p, err := s.parse()
	if err != nil {
		return 0, err
	}
	return float64(minTime(func() { view.New(1, p.lists, p.vms, p.indexes) })) / microsecond, nil
}

func publishTime(s *synthetic) (float64, error) {
	p, err := s.parse()
	if err != nil {
		return 0, err
	}
	members := member.New(member.NewNode(nodeName(0), 1), member.Settings{})
	now := time.Now()
	return float64(minTime(func() {
		members.SetVMs(now, p.vms)
		members.Snapshot(now)
	})) / microsecond, nil
}

func applyTime(s *synthetic) (float64, error) {
	store := spread.NewStore(func(string, uint64, map[string]string) error { return nil })
	now := time.Now()
	store.Accept(now, s.vms[0])
	best := time.Duration(math.MaxInt64)
	for i := range repeats {
		current := store.Get(s.vms[0].Key())
		delta := spread.Diff(current, changed(current, nodeName(0), fmt.Sprintf("%s# %d\n", entryBody(0, "leaving"), i)))
		start := time.Now()
		applied, err := spread.Apply(current, delta)
		if err != nil {
			return 0, err
		}
		store.Accept(now, applied)
		best = min(best, time.Since(start))
	}
	return float64(best) / microsecond, nil
}

func neighboursTime(s *synthetic) (float64, error) {
	p, err := s.parse()
	if err != nil {
		return 0, err
	}
	return float64(minTime(func() {
		place.Neighbours(nodeName(0), p.vms)
		for _, document := range s.documents() {
			place.Readers(document.Key(), regionName(0), p.vms)
		}
	})) / microsecond, nil
}

// measureDirect measures the state and the computations of one node on synthetic documents up to the design size.
func measureDirect(ctx context.Context) ([]Slope, error) {
	var slopes []Slope
	for _, dimension := range dimensions() {
		fleets := make([]*synthetic, len(dimension.sizes))
		for i, size := range dimension.sizes {
			var err error
			if fleets[i], err = dimension.build(size); err != nil {
				return nil, err
			}
		}
		for _, q := range quantities() {
			values := make([]float64, len(fleets))
			for i, fleet := range fleets {
				if err := ctx.Err(); err != nil {
					return nil, err
				}
				var err error
				if values[i], err = q.value(fleet); err != nil {
					return nil, err
				}
			}
			slopes = append(slopes, NewSlope(q.name+"_per_"+dimension.per, q.what, q.unit, dimension.per, dimension.sizes, values))
		}
	}
	return slopes, nil
}

// measureMoves measures the mean number of searchers whose primary owner changes when one node leaves, over the inverse of the node count.
func measureMoves() (Slope, error) {
	var sizes, values []float64
	for _, nodes := range directNodes {
		s, err := newSynthetic(int(nodes), int(directSearchers[len(directSearchers)-1]))
		if err != nil {
			return Slope{}, err
		}
		var p parsedDocuments
		if p, err = s.parse(); err != nil {
			return Slope{}, err
		}
		sizes = append(sizes, 1/nodes)
		values = append(values, meanMovedPrimaries(p))
	}
	return NewSlope("moved_primaries", "mean number of searchers with another primary after one node left", "searchers",
		"1/node", sizes, values), nil
}

// movedNodes is the number of nodes that leave, one at a time, to compute the mean.
const movedNodes = 12

func meanMovedPrimaries(p parsedDocuments) float64 {
	before := view.New(1, p.lists, p.vms, p.indexes)
	total := 0
	for sample := range movedNodes {
		vms := make([]shards.VM, len(p.vms))
		copy(vms, p.vms)
		entries := before.Entries()
		leaving := entries[sample*len(entries)/movedNodes].ID()
		for i := range vms {
			if vms[i].ID() == leaving {
				vms[i] = vms[i].AsLeaving()
			}
		}
		total += countMovedPrimaries(before, view.New(2, p.lists, vms, p.indexes), p.indexes)
	}
	return float64(total) / movedNodes
}

func countMovedPrimaries(before, after *view.Snapshot, indexes []*shards.Index) int {
	count := 0
	for _, index := range indexes {
		for _, searcher := range index.Searchers() {
			old := before.Owners(index.Collection(), searcher.ID())
			if old[0].ID() != after.Owners(index.Collection(), searcher.ID())[0].ID() {
				count++
			}
		}
	}
	return count
}

// deltaSizes are the numbers of plans in the documents whose deltas are measured.
var deltaSizes = []float64{10, 100, 1000, 10000}

// measureDeltas measures the encoded sizes of the delta of one changed plan and of the full document.
func measureDeltas() []Slope {
	deltas := make([]float64, len(deltaSizes))
	fulls := make([]float64, len(deltaSizes))
	for i, size := range deltaSizes {
		sections := make(map[string]string, int(size))
		for plan := range int(size) {
			sections[fmt.Sprintf("plan-%05d", plan)] = "customer = customer\nrank = routine\nweight = 1\npreference = tail\n"
		}
		before := spread.NewDocument(plans.PlansKey, 1, sections)
		after := changed(before, "plan-00000", "customer = customer\nrank = routine\nweight = 2\npreference = tail\n")
		deltas[i] = float64(proto.Size(spread.Diff(before, after)))
		fulls[i] = float64(proto.Size(spread.Diff(nil, after)))
	}
	return []Slope{
		NewSlope("delta_bytes", "delta of one changed plan", "B", "plan", deltaSizes, deltas),
		NewSlope("full_bytes", "full document of plans", "B", "plan", deltaSizes, fulls),
	}
}
