package sizing

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	"github.com/fireflylanding/fireflylanding/pkg/client"
)

const (
	// queriesMeasured is the number of queries for each fan-out. Some callers ask them at once, since waking up an
	// idle process for each reply would cost more than the reply.
	queriesMeasured = 1500
	queriesWarmUp   = 200
	queryCallers    = 16
	// querySlots keeps the searchers from queueing, so that no hedge adds to the cost.
	querySlots    = 32
	queryDeadline = 2 * time.Second
	bareRequests  = 16000
	// loadNodes is the number of nodes of the fleet whose owners are mostly other nodes.
	loadNodes = 9
)

// fanouts are the numbers of shards of the queries.
var fanouts = []float64{8, 16, 32, 64}

func fanoutName(shards float64) string { return fmt.Sprintf("fanout-%.0f", shards) }

// fanoutSettings lie in one region, so that each group of 8 shards has one owner.
func fanoutSettings() fakes.FleetSettings {
	var collections []fakes.CollectionSettings
	for _, shards := range fanouts {
		collections = append(collections, fakes.NewCollectionSettings(fanoutName(shards), int(shards), 1).
			WithSlots(querySlots).WithConnections(fleetConnects, 0))
	}
	return fleetSettings(1, collections...)
}

// queryCost is the mean cost of one query.
type queryCost struct {
	cpu     float64
	packets float64
	bytes   float64
}

// ask sends queries to the first node and returns their mean cost.
func (r *running) ask(ctx context.Context, collection string) (queryCost, error) {
	c, err := client.New(client.Settings{Addresses: r.nodes.Addresses()[:1], Caller: "capacity", AvailabilityZone: zoneName(0)})
	if err != nil {
		return queryCost{}, err
	}
	defer c.Close()
	askAll := func(count int) error {
		callers := pool.New().WithErrors().WithMaxGoroutines(queryCallers)
		for i := range count {
			callers.Go(func() error {
				_, err := c.Ask(ctx, client.NewQuestion(measuredPlan, collection, fmt.Sprintf("query %d", i), client.WithDeadline(queryDeadline)))
				return err
			})
		}
		return callers.Wait()
	}
	if err = askAll(queriesWarmUp); err != nil {
		return queryCost{}, err
	}
	before := r.sample()
	if err = askAll(queriesMeasured); err != nil {
		return queryCost{}, err
	}
	after := r.sample()
	return queryCost{
		cpu:     float64(after.cpu-before.cpu) / microsecond / queriesMeasured,
		packets: (after.packets - before.packets) / queriesMeasured,
		bytes:   (after.bytes - before.bytes) / queriesMeasured,
	}, nil
}

// measureQueries measures queries through one node, which owns all searchers, and through a fleet.
func measureQueries(ctx context.Context) ([]Slope, error) {
	one, err := measureLoad(ctx, 1)
	if err != nil {
		return nil, err
	}
	many, err := measureLoad(ctx, loadNodes)
	if err != nil {
		return nil, err
	}
	bare, err := measureBare()
	if err != nil {
		return nil, err
	}
	slope := func(name, what, unit string, costs []queryCost, value func(queryCost) float64) Slope {
		values := make([]float64, len(costs))
		for i, cost := range costs {
			values[i] = value(cost)
		}
		return NewSlope(name, what, unit, "shard", fanouts, values)
	}
	cpu := func(c queryCost) float64 { return c.cpu }
	return []Slope{
		slope("query_cpu_local", "CPU of a query whose entry owns all searchers, caller and stand-ins included", "µs", one, cpu),
		slope("query_cpu", fmt.Sprintf("the same through %d nodes", loadNodes), "µs", many, cpu),
		slope("query_packets", "packets between nodes for a query, both directions", "packets", many, func(c queryCost) float64 { return c.packets }),
		slope("query_bytes", "bytes between nodes for a query, both directions", "B", many, func(c queryCost) float64 { return c.bytes }),
		bare,
	}, nil
}

func measureLoad(ctx context.Context, nodes int) ([]queryCost, error) {
	r, err := startFleet(ctx, nodes, fanoutSettings())
	if err != nil {
		return nil, err
	}
	defer r.close()
	if !delay.Sleep(ctx, loadSettle) {
		return nil, ctx.Err()
	}
	var costs []queryCost
	for _, shards := range fanouts {
		cost, err := r.ask(ctx, fanoutName(shards))
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// measureBare returns the CPU of a sub-request from a plain client, stand-in included.
func measureBare() (Slope, error) {
	searchers, err := fakes.StartFleet(fanoutSettings())
	if err != nil {
		return Slope{}, err
	}
	defer searchers.Close()
	var clients []*fasthttp.HostClient
	for _, searcher := range searchers.Searchers(fanoutName(fanouts[0])) {
		clients = append(clients, &fasthttp.HostClient{Addr: searcher.Address()})
	}
	sizes := []float64{bareRequests / 8, bareRequests / 4, bareRequests / 2, bareRequests}
	values := make([]float64, len(sizes))
	for i, size := range sizes {
		before := processCPU()
		callers := pool.New().WithErrors().WithMaxGoroutines(queryCallers * int(fanouts[0]))
		for request := range int(size) {
			callers.Go(func() error {
				shard := request % len(clients)
				return bareSearch(clients[shard], fanoutName(fanouts[0]), shard)
			})
		}
		if err := callers.Wait(); err != nil {
			return Slope{}, err
		}
		values[i] = float64(processCPU()-before) / microsecond
	}
	return NewSlope("bare_cpu", "CPU of sub-requests from a plain fasthttp client, stand-in included", "µs", "sub-request", sizes, values), nil
}

func bareSearch(bare *fasthttp.HostClient, collection string, shard int) error {
	body, err := proto.Marshal(wire.SearchRequest_builder{
		AttemptId: 1, Collection: collection, Snapshot: 1, Shard: uint32(shard), Query: "query", Remaining: durationpb.New(queryDeadline), Limit: 10,
	}.Build())
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://searcher/v1/search")
	request.SetBody(body)
	if err = bare.Do(request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("searcher answered %d", response.StatusCode())
	}
	return nil
}
