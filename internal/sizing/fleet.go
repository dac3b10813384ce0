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
	// fleetShards is the number of searchers of each measured fleet, so that its nodes own some.
	fleetShards = 48
	// fleetSettle lets a node connect to each of its neighbours, one per second, so that the idle window contains no handshakes.
	fleetSettle = 20 * time.Second
	// fleetWindow is long enough to exchange digests with each neighbour at least once. Together with fleetSettle it exceeds the 30 s
	// of a watch, after which only the readers of the whole VM list are waiting.
	fleetWindow = 20 * time.Second
	// querySettle lets handshakes complete before queries are measured.
	querySettle = 6 * time.Second
	// fleetChanges is the number of measured changes of the list of plans, and fleetChangeGap the pause between them.
	fleetChanges   = 20
	fleetChangeGap = 250 * time.Millisecond
	// readyTimeout bounds the start of a fleet, and inForceTimeout the time for a change to be in force on all nodes.
	readyTimeout        = 60 * time.Second
	inForceTimeout      = 13 * time.Second
	inForcePollInterval = 500 * time.Microsecond
	measuredPlan        = "measured"
	fleetCollectionName = "measured-collection"
	millisecond         = float64(time.Millisecond)
	fleetConnections    = 100
	// crashCollectionName is a collection of one shard on two searchers, which crash on crashMarker.
	crashCollectionName = "fragile-collection"
	crashMarker         = "crash"
	// markSettle lets the quarantine marks reach all nodes.
	markSettle         = 3 * time.Second
	measuredRate       = 10000
	measuredConcurrent = 1000
)

// fleetSizes are the node counts of the measured fleets, which run in this process.
var fleetSizes = []float64{2, 4, 8, 16, 32, 64}

// runningFleet is a fleet that runs in this process.
type runningFleet struct {
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

// startFleet starts a fleet with a number of nodes and waits until all are ready.
func startFleet(ctx context.Context, nodes int, settings fakes.FleetSettings) (*runningFleet, error) {
	r := &runningFleet{}
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
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err = r.nodes.WaitReady(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *runningFleet) close() {
	r.nodes.Close()
	r.searchers.Close()
}

// counterSum returns the sum of a counter over all nodes.
func (r *runningFleet) counterSum(name string) float64 {
	var sum int64
	for _, n := range r.nodes.Nodes() {
		if counter, ok := n.Node().Registry().Get(name).(metrics.Counter); ok {
			sum += counter.Count()
		}
	}
	return float64(sum)
}

// usage is the cumulative resource usage of a fleet at one time.
type usage struct {
	at      time.Time
	cpu     time.Duration
	bytes   float64
	packets float64
	calls   float64
	pushes  float64
}

func (r *runningFleet) usage() usage {
	return usage{
		at:      time.Now(),
		cpu:     processCPU(),
		bytes:   r.traffic.wireBytes(),
		packets: float64(r.traffic.packets.Load()),
		calls:   float64(r.searchers.Platform().Calls().Total()),
		pushes:  r.counterSum("spread.push.calls"),
	}
}

// fleetMetrics holds the measured values of one fleet.
type fleetMetrics struct {
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

func measureFleet(ctx context.Context, nodes int) (fleetMetrics, error) {
	var f fleetMetrics
	n := float64(nodes)
	base := heapBytes()
	collection := fakes.NewCollectionSettings(fleetCollectionName, fleetShards, 1).WithConnections(fleetConnections, 0)
	crashCollection := fakes.NewCollectionSettings(crashCollectionName, 1, 2).WithSearcher(fakes.NewSearcherSettings("").WithCrash(crashMarker, 0))
	r, err := startFleet(ctx, nodes, fleetSettings(syntheticRegions, collection, crashCollection))
	if err != nil {
		return f, err
	}
	defer r.close()
	calls := r.searchers.Platform().Calls()
	f.readyCalls = float64(calls.Total())
	if !delay.Sleep(ctx, fleetSettle) {
		return f, ctx.Err()
	}
	before := r.usage()
	if !delay.Sleep(ctx, fleetWindow) {
		return f, ctx.Err()
	}
	after := r.usage()
	seconds := after.at.Sub(before.at).Seconds()
	f.idleCPU = float64(after.cpu-before.cpu) / microsecond / seconds / n
	f.idleBytes = (after.bytes - before.bytes) / seconds / n
	f.waiting = float64(r.searchers.Platform().WaitingWatches())
	f.memory = (heapBytes() - base) / n
	if err = r.measurePlanChanges(ctx, n, &f); err != nil {
		return f, err
	}
	f.markPushes, err = r.measureMarks(ctx, n)
	return f, err
}

// measureMarks sends a query that crashes the two searchers of its only shard, one after the other, and returns the number of pushes
// per node that this causes.
func (r *runningFleet) measureMarks(ctx context.Context, nodes float64) (float64, error) {
	c, err := client.New(client.Settings{Addresses: r.nodes.Addresses()[:1], Caller: "capacity", AvailabilityZone: zoneName(0)})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	before := r.usage()
	// The result is an answer without shards or a refusal. Only the quarantine marks matter here.
	_, _ = c.Ask(ctx, client.NewQuestion(measuredPlan, crashCollectionName, crashMarker, client.WithDeadline(queryDeadline)))
	if !delay.Sleep(ctx, markSettle) {
		return 0, ctx.Err()
	}
	return (r.usage().pushes - before.pushes) / nodes, nil
}

// measurePlanChanges changes the list of plans repeatedly and records the cost of each change beyond that of the idle fleet.
func (r *runningFleet) measurePlanChanges(ctx context.Context, nodes float64, f *fleetMetrics) error {
	var times []float64
	before := r.usage()
	for i := range fleetChanges {
		elapsed, err := r.changeOnce(ctx, i+2)
		if err != nil {
			return err
		}
		times = append(times, elapsed...)
		if !delay.Sleep(ctx, fleetChangeGap) {
			return ctx.Err()
		}
	}
	after := r.usage()
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

// changeOnce publishes a plan with a new weight and returns the time in ms until it is in force on each node.
func (r *runningFleet) changeOnce(ctx context.Context, weight int) ([]float64, error) {
	body, err := fakes.PlansDocument([]plans.Plan{fleetPlan(weight)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	waiting := r.nodes.Nodes()
	var times []float64
	start := time.Now()
	r.searchers.Platform().Set(plans.PlansKey, body)
	for len(waiting) > 0 {
		if !delay.Sleep(ctx, inForcePollInterval) {
			return nil, ctx.Err()
		}
		elapsed := float64(time.Since(start)) / millisecond
		waiting = slices.DeleteFunc(waiting, func(n *local.Node) bool {
			plan, ok := n.Node().View().Lists().Plan(measuredPlan)
			if !ok || plan.Weight() != weight {
				return false
			}
			times = append(times, elapsed)
			return true
		})
	}
	return times, nil
}

// measureFleets measures fleets of all sizes in fleetSizes.
func measureFleets(ctx context.Context) ([]Slope, error) {
	var all []fleetMetrics
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
	slope := func(name, what, unit, per string, sizes []float64, value func(fleetMetrics) float64) Slope {
		values := make([]float64, len(all))
		for i, f := range all {
			values[i] = value(f)
		}
		return NewSlope(name, what, unit, per, sizes, values)
	}
	byNeighbour := func(name, what, unit string, value func(fleetMetrics) float64) Slope {
		return slope(name, what, unit, "neighbour", neighbours, value)
	}
	return []Slope{
		slope("start_calls", "calls on the configuration service until all nodes are ready, started one after another", "calls", "node", fleetSizes,
			func(f fleetMetrics) float64 { return f.readyCalls }),
		slope("waiting_watches", "watches of 7 keys that wait at the configuration service", "watches", "node", fleetSizes,
			func(f fleetMetrics) float64 { return f.waiting }),
		slope("change_calls", "calls on the configuration service for one change", "calls", "node", fleetSizes,
			func(f fleetMetrics) float64 { return f.changeCalls }),
		byNeighbour("node_memory", "memory per node, a share of 48 stand-ins included", "B", func(f fleetMetrics) float64 { return f.memory }),
		byNeighbour("idle_cpu", "CPU per idle node in a second", "µs/s", func(f fleetMetrics) float64 { return f.idleCPU }),
		byNeighbour("idle_bytes", "bytes that an idle node sends in a second, with IP headers", "B/s", func(f fleetMetrics) float64 { return f.idleBytes }),
		byNeighbour("change_cpu", "CPU per node for one change of plans in a small document", "µs", func(f fleetMetrics) float64 { return f.changeCPU }),
		byNeighbour("change_bytes", "bytes that a node sends for one change of plans", "B", func(f fleetMetrics) float64 { return f.changeBytes }),
		byNeighbour("change_pushes", "pushes that a node sends for one change", "messages", func(f fleetMetrics) float64 { return f.changePushes }),
		byNeighbour("mark_pushes", "pushes that a node sends when a request is quarantined after two losses", "messages",
			func(f fleetMetrics) float64 { return f.markPushes }),
		slope("in_force_p50", "time until a change is in force, median over nodes and changes", "ms", "doubling of nodes", doublings,
			func(f fleetMetrics) float64 { return f.inForceP50 }),
		slope("in_force_p99", "the same, 99th percentile", "ms", "doubling of nodes", doublings, func(f fleetMetrics) float64 { return f.inForceP99 }),
	}, nil
}

// meanNeighbours returns the mean number of neighbours per node of a measured fleet.
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
