package bench

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	scenarioThroughput = "throughput"
	// rounds is the number of rounds. Each measures the bare client and the tier in turn, so that other load on the machine affects
	// both.
	rounds        = 3
	roundDuration = time.Second
	// bareWorkers and tierWorkers are the numbers of concurrent calls. They keep all processors busy.
	bareWorkers = 64
	tierWorkers = 48
	// throughputDeadline exceeds all waiting times, so that no call is cut short.
	throughputDeadline = 5 * time.Second
)

// Throughput compares the sub-requests/s through the tier with those of a bare client that calls the same stand-ins directly.
// The stand-ins have no service time. CPU time and heap objects are those of the whole process, including stand-ins and
// callers, for each sub-request.
type Throughput struct {
	Bare        float64 `json:"bare_per_second"`
	Tier        float64 `json:"tier_per_second"`
	BareCPU     float64 `json:"bare_cpu_us"`
	TierCPU     float64 `json:"tier_cpu_us"`
	BareObjects float64 `json:"bare_objects"`
	TierObjects float64 `json:"tier_objects"`
	// BareLatency is the mean latency of a sub-request of the bare client, TierLatency that of a query through the tier, in
	// milliseconds, for one caller that sends one call at a time.
	BareLatency float64 `json:"bare_latency_ms"`
	TierLatency float64 `json:"tier_latency_ms"`
}

// Share returns the ratio of the tier's sub-requests/s to those of the bare client.
func (t *Throughput) Share() float64 { return ratio(t.Tier, t.Bare) }

func (t *Throughput) write(w io.Writer) {
	fmt.Fprintf(w, "throughput: bare client %.0f sub-requests/s, %.1f us CPU and %.0f objects each; tier %.0f sub-requests/s, %.1f us CPU and %.0f objects each\n",
		t.Bare, t.BareCPU, t.BareObjects, t.Tier, t.TierCPU, t.TierObjects)
	fmt.Fprintf(w, "latency of one caller at a time: %.2f ms for a sub-request of the bare client, %.2f ms for a query through the tier; the network's one-way latency is %v between zones, %v between regions\n\n",
		t.BareLatency, t.TierLatency, zoneDelay, regionDelay)
}

// usage is the number of sub-requests in one or more rounds and the resources that they used.
type usage struct {
	count   int64
	seconds float64
	cpu     time.Duration
	objects uint64
}

func (s *usage) add(o usage) {
	s.count += o.count
	s.seconds += o.seconds
	s.cpu += o.cpu
	s.objects += o.objects
}

func measureThroughput(ctx context.Context, settings Settings) (*Throughput, error) {
	s := &Scenario{name: scenarioThroughput}
	t := &trial{scenario: s, variant: allVariants()[0], seed: settings.Seed}
	defer t.close()
	if err := t.start(ctx, fakes.Fixed{}); err != nil {
		return nil, err
	}
	bare := newBareClient(t.searchers)
	defer bare.close()
	duration := roundDuration
	if settings.Scale > 0 {
		duration = time.Duration(float64(duration) * settings.Scale)
	}
	query := newQuery(&Load{Plan: "routine-1", Deadline: throughputDeadline}, "popular 0")
	tier := func(int) int64 { return t.subRequests(query) }
	// A warm-up round of each opens the connections and lets the adaptive limits rise.
	measure(ctx, bareWorkers, duration, bare.call)
	measure(ctx, tierWorkers, duration, tier)
	var bareSum, tierSum usage
	for range rounds {
		bareSum.add(measure(ctx, bareWorkers, duration, bare.call))
		tierSum.add(measure(ctx, tierWorkers, duration, tier))
	}
	bareOne := measure(ctx, 1, duration, bare.call)
	tierOne := measure(ctx, 1, duration, tier)
	return &Throughput{
		Bare:        ratio(float64(bareSum.count), bareSum.seconds),
		Tier:        ratio(float64(tierSum.count), tierSum.seconds),
		BareCPU:     ratio(float64(bareSum.cpu.Microseconds()), float64(bareSum.count)),
		TierCPU:     ratio(float64(tierSum.cpu.Microseconds()), float64(tierSum.count)),
		BareObjects: ratio(float64(bareSum.objects), float64(bareSum.count)),
		TierObjects: ratio(float64(tierSum.objects), float64(tierSum.count)),
		BareLatency: 1000 * ratio(bareOne.seconds, float64(bareOne.count)),
		TierLatency: 1000 * firstShards * ratio(tierOne.seconds, float64(tierOne.count)),
	}, ctx.Err()
}

// measure runs concurrent workers that call for a duration. call returns the number of sub-requests that it completed.
func measure(ctx context.Context, workers int, duration time.Duration, call func(worker int) int64) usage {
	var done atomic.Int64
	var tasks conc.WaitGroup
	cpu, objects, began := cpuTime(), allocated(), time.Now()
	for worker := range workers {
		tasks.Go(func() {
			for ctx.Err() == nil && time.Since(began) < duration {
				done.Add(call(worker))
			}
		})
	}
	tasks.Wait()
	return usage{count: done.Load(), seconds: time.Since(began).Seconds(), cpu: cpuTime() - cpu, objects: allocated() - objects}
}

// subRequests sends one query and returns the number of shards that the answer reflects.
func (t *trial) subRequests(query *wire.Query) int64 {
	r := record{}
	if r.body, r.err = t.caller.send(query); r.err != nil {
		return 0
	}
	r.decode()
	return int64(r.answer.GetCoverage().GetReflected())
}

// bareClient calls the stand-ins directly, without the tier. It holds as many connections to each searcher as owners may hold,
// one for each slot.
type bareClient struct {
	searchers []*fasthttp.HostClient
	next      atomic.Uint64
}

func newBareClient(fleet *fakes.Fleet) *bareClient {
	b := &bareClient{}
	for _, s := range fleet.Searchers(collection) {
		b.searchers = append(b.searchers, &fasthttp.HostClient{Addr: s.Address(), MaxConns: slots, MaxConnWaitTimeout: throughputDeadline})
	}
	return b
}

func (b *bareClient) close() {
	for _, s := range b.searchers {
		s.CloseIdleConnections()
	}
}

// call sends one sub-request to the next searcher. It returns 1 if the reply is successful and 0 otherwise.
func (b *bareClient) call(int) int64 {
	number := b.next.Add(1)
	at := int(number % uint64(len(b.searchers)))
	message := wire.SearchRequest_builder{
		AttemptId:  number,
		Collection: collection,
		Snapshot:   1,
		Shard:      uint32(at / replicas),
		Query:      "popular 0",
		Remaining:  durationpb.New(throughputDeadline),
		Limit:      hitLimit,
	}.Build()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	body, err := proto.Marshal(message)
	if err != nil {
		return 0
	}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + b.searchers[at].Addr + fakes.SearchPath)
	request.SetBodyRaw(body)
	if err := b.searchers[at].Do(request, response); err != nil {
		return 0
	}
	reply := &wire.SearchReply{}
	if err := proto.Unmarshal(response.Body(), reply); err != nil || reply.GetStatus() != wire.SearchStatus_SEARCH_STATUS_OK {
		return 0
	}
	return 1
}
