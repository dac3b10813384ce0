package sizing

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/pkg/client"
)

const (
	// fleetShards is the number of searchers behind each measured fleet, so that owners have some.
	fleetShards = 48
	// fleetSettle lets a node meet each of its neighbours, one a second, so that the idle window has no handshakes.
	fleetSettle = 20 * time.Second
	// fleetWindow covers each neighbour's turn in the exchange of digests at least once. Together with fleetSettle it
	// exceeds the 30 s of a watch, after which only the readers of the whole list wait.
	fleetWindow = 20 * time.Second
	// loadSettle lets handshakes end before queries are measured.
	loadSettle = 6 * time.Second
	// fleetChanges is the number of changes of the list of plans, fleetChangeGap the time between them.
	fleetChanges   = 20
	fleetChangeGap = 250 * time.Millisecond
	// fleetReady bounds a start, fleetInForce the time for a change to reach all nodes.
	fleetReady    = 60 * time.Second
	fleetInForce  = 13 * time.Second
	inForcePoll   = 500 * time.Microsecond
	measuredPlan  = "measured"
	fleetName     = "measured-collection"
	millisecond   = float64(time.Millisecond)
	fleetConnects = 100
	// fragileName is a collection of one shard on two searchers that crash on crashMarker.
	fragileName = "fragile-collection"
	crashMarker = "crash"
	// markSettle lets the marks reach all nodes.
	markSettle         = 3 * time.Second
	measuredRate       = 10000
	measuredConcurrent = 1000
)

// fleetSizes are the numbers of nodes that run in this process.
var fleetSizes = []float64{2, 4, 8, 16, 32, 64}

// running is a fleet in this process.
type running struct {
	traffic   traffic
	searchers *fakes.Fleet
	nodes     *local.Fleet
}

func fleetSettings(regionCount int, collections ...fakes.CollectionSettings) fakes.FleetSettings {
	var regions []fakes.Region
	for i := range regionCount {
		var zones []string
		for zone := range syntheticZones {
			zones = append(zones, zoneName(zone*syntheticRegions+i))
		}
		regions = append(regions, fakes.NewRegion(regionName(i), zones...))
	}
	var uses []plans.Use
	for _, collection := range collections {
		uses = append(uses, plans.NewUse(measuredPlan, collection.Name(), measuredRate, measuredConcurrent))
	}
	return fakes.NewFleetSettings(regions...).WithCollections(collections...).
		WithPlans(fleetPlan(1)).WithUses(uses...)
}

func fleetPlan(weight int) plans.Plan {
	return plans.NewPlan(measuredPlan, "customer", plans.Routine, weight, plans.Coverage{})
}

// startFleet starts nodes and returns when all are ready.
func startFleet(ctx context.Context, nodes int, settings fakes.FleetSettings) (*running, error) {
	r := &running{}
	var err error
	if r.searchers, err = fakes.StartFleet(settings); err != nil {
		return nil, err
	}
	r.nodes = local.New(r.searchers, local.Options{WrapSocket: r.traffic.wrap})
	regions := settings.Regions()
	for i := range nodes {
		region := regions[i%len(regions)]
		zones := region.AvailabilityZones()
		if err = r.nodes.Start(nodeName(i), region.Name(), zones[i/len(regions)%len(zones)]); err != nil {
			r.close()
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, fleetReady)
	defer cancel()
	if err = r.nodes.WaitReady(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *running) close() {
	r.nodes.Close()
	r.searchers.Close()
}

// counted sums a counter over all nodes.
func (r *running) counted(name string) float64 {
	var sum int64
	for _, n := range r.nodes.Nodes() {
		if counter, ok := n.Node().Registry().Get(name).(metrics.Counter); ok {
			sum += counter.Count()
		}
	}
	return float64(sum)
}

// sample is what a fleet used up to a moment.
type sample struct {
	at      time.Time
	cpu     time.Duration
	bytes   float64
	packets float64
	calls   float64
	pushes  float64
}

func (r *running) sample() sample {
	return sample{
		at:      time.Now(),
		cpu:     processCPU(),
		bytes:   r.traffic.wireBytes(),
		packets: float64(r.traffic.packets.Load()),
		calls:   float64(r.searchers.Platform().Calls().Total()),
		pushes:  r.counted("spread.push.calls"),
	}
}

// fleetFigures are the measured values of one fleet.
type fleetFigures struct {
	readyCalls   float64
	memory       float64
	idleCPU      float64
	idleBytes    float64
	waiting      float64
	changeCPU    float64
	changeBytes  float64
	changeCalls  float64
	changePushes float64
	markPushes   float64
	inForceP50   float64
	inForceP99   float64
}

func measureFleet(ctx context.Context, nodes int) (fleetFigures, error) {
	var f fleetFigures
	n := float64(nodes)
	base := heap()
	collection := fakes.NewCollectionSettings(fleetName, fleetShards, 1).WithConnections(fleetConnects, 0)
	fragile := fakes.NewCollectionSettings(fragileName, 1, 2).WithSearcher(fakes.NewSearcherSettings("").WithCrash(crashMarker, 0))
	r, err := startFleet(ctx, nodes, fleetSettings(syntheticRegions, collection, fragile))
	if err != nil {
		return f, err
	}
	defer r.close()
	calls := r.searchers.Platform().Calls()
	f.readyCalls = float64(calls.Total())
	if !delay.Sleep(ctx, fleetSettle) {
		return f, ctx.Err()
	}
	before := r.sample()
	if !delay.Sleep(ctx, fleetWindow) {
		return f, ctx.Err()
	}
	after := r.sample()
	seconds := after.at.Sub(before.at).Seconds()
	f.idleCPU = float64(after.cpu-before.cpu) / microsecond / seconds / n
	f.idleBytes = (after.bytes - before.bytes) / seconds / n
	f.waiting = float64(r.searchers.Platform().WaitingWatches())
	f.memory = (heap() - base) / n
	if err = r.change(ctx, n, &f); err != nil {
		return f, err
	}
	f.markPushes, err = r.mark(ctx, n)
	return f, err
}

// mark asks a query that crashes the two searchers of its only shard, one after the other, and returns the pushes that
// this causes per node.
func (r *running) mark(ctx context.Context, nodes float64) (float64, error) {
	c, err := client.New(client.Settings{Addresses: r.nodes.Addresses()[:1], Caller: "capacity", AvailabilityZone: zoneName(0)})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	before := r.sample()
	// The answer has no shard or is a refusal; only the marks matter here.
	_, _ = c.Ask(ctx, client.NewQuestion(measuredPlan, fragileName, crashMarker, client.WithDeadline(queryDeadline)))
	if !delay.Sleep(ctx, markSettle) {
		return 0, ctx.Err()
	}
	return (r.sample().pushes - before.pushes) / nodes, nil
}

// change changes the list of plans some times and records what each change costs beyond the idle fleet.
func (r *running) change(ctx context.Context, nodes float64, f *fleetFigures) error {
	var times []float64
	before := r.sample()
	for i := range fleetChanges {
		took, err := r.changeOnce(ctx, i+2)
		if err != nil {
			return err
		}
		times = append(times, took...)
		if !delay.Sleep(ctx, fleetChangeGap) {
			return ctx.Err()
		}
	}
	after := r.sample()
	seconds := after.at.Sub(before.at).Seconds()
	f.changeCPU = (float64(after.cpu-before.cpu)/microsecond/nodes - f.idleCPU*seconds) / fleetChanges
	f.changeBytes = ((after.bytes-before.bytes)/nodes - f.idleBytes*seconds) / fleetChanges
	f.changeCalls = (after.calls - before.calls) / fleetChanges
	f.changePushes = (after.pushes - before.pushes) / nodes / fleetChanges
	slices.Sort(times)
	f.inForceP50 = times[len(times)/2]
	f.inForceP99 = times[len(times)*99/100]
	return nil
}

// changeOnce publishes a plan with another weight and returns the time in ms until it is in force, for each node.
func (r *running) changeOnce(ctx context.Context, weight int) ([]float64, error) {
	body, err := fakes.PlansDocument([]plans.Plan{fleetPlan(weight)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fleetInForce)
	defer cancel()
	waiting := r.nodes.Nodes()
	var times []float64
	began := time.Now()
	r.searchers.Platform().Set(plans.PlansKey, body)
	for len(waiting) > 0 {
		if !delay.Sleep(ctx, inForcePoll) {
			return nil, ctx.Err()
		}
		took := float64(time.Since(began)) / millisecond
		waiting = slices.DeleteFunc(waiting, func(n *local.Node) bool {
			plan, ok := n.Node().View().Lists().Plan(measuredPlan)
			if !ok || plan.Weight() != weight {
				return false
			}
			times = append(times, took)
			return true
		})
	}
	return times, nil
}

// measureFleets measures fleets of all sizes.
func measureFleets(ctx context.Context) ([]Slope, error) {
	var all []fleetFigures
	for _, size := range fleetSizes {
		f, err := measureFleet(ctx, int(size))
		if err != nil {
			return nil, fmt.Errorf("fleet of %.0f nodes: %w", size, err)
		}
		all = append(all, f)
	}
	doublings := make([]float64, len(fleetSizes))
	neighbours := make([]float64, len(fleetSizes))
	for i, size := range fleetSizes {
		doublings[i] = math.Log2(size)
		neighbours[i] = meanNeighbours(int(size))
	}
	slope := func(name, what, unit, per string, sizes []float64, value func(fleetFigures) float64) Slope {
		values := make([]float64, len(all))
		for i, f := range all {
			values[i] = value(f)
		}
		return NewSlope(name, what, unit, per, sizes, values)
	}
	byNeighbour := func(name, what, unit string, value func(fleetFigures) float64) Slope {
		return slope(name, what, unit, "neighbour", neighbours, value)
	}
	return []Slope{
		slope("start_calls", "calls on the configuration service until all nodes are ready, started one after another", "calls", "node", fleetSizes,
			func(f fleetFigures) float64 { return f.readyCalls }),
		slope("waiting_watches", "watches of 7 keys that wait at the configuration service", "watches", "node", fleetSizes,
			func(f fleetFigures) float64 { return f.waiting }),
		slope("change_calls", "calls on the configuration service for one change", "calls", "node", fleetSizes,
			func(f fleetFigures) float64 { return f.changeCalls }),
		byNeighbour("node_memory", "memory per node, a share of 48 stand-ins included", "B", func(f fleetFigures) float64 { return f.memory }),
		byNeighbour("idle_cpu", "CPU per idle node in a second", "µs/s", func(f fleetFigures) float64 { return f.idleCPU }),
		byNeighbour("idle_bytes", "bytes that an idle node sends in a second, with IP headers", "B/s", func(f fleetFigures) float64 { return f.idleBytes }),
		byNeighbour("change_cpu", "CPU per node for one change of plans in a small document", "µs", func(f fleetFigures) float64 { return f.changeCPU }),
		byNeighbour("change_bytes", "bytes that a node sends for one change of plans", "B", func(f fleetFigures) float64 { return f.changeBytes }),
		byNeighbour("change_pushes", "pushes that a node sends for one change", "messages", func(f fleetFigures) float64 { return f.changePushes }),
		byNeighbour("mark_pushes", "pushes that a node sends when a request is quarantined after two losses", "messages",
			func(f fleetFigures) float64 { return f.markPushes }),
		slope("in_force_p50", "time until a change is in force, median over nodes and changes", "ms", "doubling of nodes", doublings,
			func(f fleetFigures) float64 { return f.inForceP50 }),
		slope("in_force_p99", "the same, 99th percentile", "ms", "doubling of nodes", doublings, func(f fleetFigures) float64 { return f.inForceP99 }),
	}, nil
}

// meanNeighbours returns the mean number of neighbours of the nodes of a measured fleet.
func meanNeighbours(nodes int) float64 {
	vms := make([]shards.VM, nodes)
	for i := range vms {
		vms[i] = shards.NewVM(nodeName(i), regionName(i), zoneName(i), "", "")
	}
	total := 0
	for _, vm := range vms {
		total += len(place.Neighbours(vm.ID(), vms))
	}
	return float64(total) / float64(nodes)
}
