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
	// queriesMeasured is the number of queries for each fan-out. Several callers send them concurrently, since waking up an idle process
	// for each reply would cost more than the reply.
	queriesMeasured = 1500
	queriesWarmUp   = 200
	queryCallers    = 16
	// querySlots prevents queueing at the searchers, so that hedges do not add to the cost.
	querySlots    = 32
	queryDeadline = 2 * time.Second
	plainRequests = 16000
	// queryNodes is the number of nodes of the fleet in which most owners are remote.
	queryNodes = 9
)

// fanouts are the numbers of shards per query.
var fanouts = []float64{8, 16, 32, 64}

func fanoutName(shards float64) string { return fmt.Sprintf("fanout-%.0f", shards) }

// fanoutSettings returns the settings of a fleet in one region, so that each group of 8 shards has one owner.
func fanoutSettings() fakes.FleetSettings {
	var collections []fakes.CollectionSettings
	for _, shards := range fanouts {
		collections = append(collections, fakes.NewCollectionSettings(fanoutName(shards), int(shards), 1).
			WithSlots(querySlots).WithConnections(fleetConnections, 0))
	}
	return fleetSettings(1, collections...)
}

// queryCost is the mean cost of a query.
type queryCost struct {
	cpu     float64
	packets float64
	bytes   float64
}

// measureQueryCost sends queries to the first node and returns their mean cost.
func (r *runningFleet) measureQueryCost(ctx context.Context, collection string) (queryCost, error) {
	c, err := client.New(client.Settings{Addresses: r.nodes.Addresses()[:1], Caller: "capacity", AvailabilityZone: zoneName(0)})
	if err != nil {
		return queryCost{}, err
	}
	defer c.Close()
	queryAll := func(count int) error {
		callers := pool.New().WithErrors().WithMaxGoroutines(queryCallers)
		for i := range count {
			callers.Go(func() error {
				_, err := c.Ask(ctx, client.NewQuestion(measuredPlan, collection, fmt.Sprintf("query %d", i), client.WithDeadline(queryDeadline)))
				return err
			})
		}
		return callers.Wait()
	}
	if err = queryAll(queriesWarmUp); err != nil {
		return queryCost{}, err
	}
	before := r.usage()
	if err = queryAll(queriesMeasured); err != nil {
		return queryCost{}, err
	}
	after := r.usage()
	return queryCost{
		cpu:     float64(after.cpu-before.cpu) / microsecond / queriesMeasured,
		packets: (after.packets - before.packets) / queriesMeasured,
		bytes:   (after.bytes - before.bytes) / queriesMeasured,
	}, nil
}

// measureQueries measures queries through a single node, which owns all searchers, and through a fleet.
func measureQueries(ctx context.Context) ([]Slope, error) {
	single, err := measureQueryCosts(ctx, 1)
	if err != nil {
		return nil, err
	}
	fleet, err := measureQueryCosts(ctx, queryNodes)
	if err != nil {
		return nil, err
	}
	plain, err := measurePlainClient()
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
		slope("query_cpu_local", "CPU of a query whose entry owns all searchers, caller and stand-ins included", "µs", single, cpu),
		slope("query_cpu", fmt.Sprintf("the same through %d nodes", queryNodes), "µs", fleet, cpu),
		slope("query_packets", "packets between nodes for a query, both directions", "packets", fleet, func(c queryCost) float64 { return c.packets }),
		slope("query_bytes", "bytes between nodes for a query, both directions", "B", fleet, func(c queryCost) float64 { return c.bytes }),
		plain,
	}, nil
}

func measureQueryCosts(ctx context.Context, nodes int) ([]queryCost, error) {
	r, err := startFleet(ctx, nodes, fanoutSettings())
	if err != nil {
		return nil, err
	}
	defer r.close()
	if !delay.Sleep(ctx, querySettle) {
		return nil, ctx.Err()
	}
	var costs []queryCost
	for _, shards := range fanouts {
		cost, err := r.measureQueryCost(ctx, fanoutName(shards))
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// measurePlainClient measures the CPU of sub-requests from a plain HTTP client, including the fake searcher.
func measurePlainClient() (Slope, error) {
	searchers, err := fakes.StartFleet(fanoutSettings())
	if err != nil {
		return Slope{}, err
	}
	defer searchers.Close()
	var clients []*fasthttp.HostClient
	for _, searcher := range searchers.Searchers(fanoutName(fanouts[0])) {
		clients = append(clients, &fasthttp.HostClient{Addr: searcher.Address()})
	}
	sizes := []float64{plainRequests / 8, plainRequests / 4, plainRequests / 2, plainRequests}
	values := make([]float64, len(sizes))
	for i, size := range sizes {
		before := processCPU()
		callers := pool.New().WithErrors().WithMaxGoroutines(queryCallers * int(fanouts[0]))
		for request := range int(size) {
			callers.Go(func() error {
				shard := request % len(clients)
				return plainSearch(clients[shard], fanoutName(fanouts[0]), shard)
			})
		}
		if err := callers.Wait(); err != nil {
			return Slope{}, err
		}
		values[i] = float64(processCPU()-before) / microsecond
	}
	return NewSlope("bare_cpu", "CPU of sub-requests from a plain fasthttp client, stand-in included", "µs", "sub-request", sizes, values), nil
}

func plainSearch(plain *fasthttp.HostClient, collection string, shard int) error {
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
	if err = plain.Do(request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("searcher returned status %d", response.StatusCode())
	}
	return nil
}
