// Package soak runs the real program as several processes on loopback addresses, injects random faults from outside the processes, and
// checks the promises against what callers and searchers observe. A seed gives the same faults in the same order; their effects depend
// on the machine.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// Settings configure a soak.
type Settings struct {
	// Binary is the path of the program under test.
	Binary string
	Seed   uint64
	// Rounds is the number of rounds of faults, each followed by a quiet phase.
	Rounds int
	Nodes  int
	Shards int
	// Callers is the number of concurrent callers; each reuses its connections.
	Callers int
	// Directory receives the nodes' settings files and logs.
	Directory string
}

// Report is the outcome of a soak.
type Report struct {
	Requests   int
	Served     int
	Faults     []string
	Violations []Violation
}

const (
	host = "soak.example"
	// callerTimeout is the time that callers wait for an answer, which they state in their requests.
	callerTimeout = 700 * time.Millisecond
	// drainBound is the time after which a leaving searcher gets no new request.
	drainBound = 3 * time.Second
	// faultPhase is the time in which a round's faults are active, recoveryPhase the time after it in which nothing is promised, and
	// quietPhase the time after that in which all promises hold.
	faultPhase    = 4 * time.Second
	recoveryPhase = 5 * time.Second
	quietPhase    = 4 * time.Second
	// startTimeout bounds the time in which all processes start and discover each other.
	startTimeout = 10 * time.Second
)

// runner executes one soak.
type runner struct {
	settings Settings
	fleet    *fleet
	random   *rand.Rand

	mu           sync.Mutex
	evidence     evidence
	faults       []string
	requestCount int
	version      int
	// routedService is the service to which the latest configuration routes requests that are not gathered from shards.
	routedService string
	shards        []string
}

// Run runs a soak and returns its report. It returns an error only if the fleet does not start.
func Run(ctx context.Context, s Settings) (Report, error) {
	k := &runner{settings: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed))}
	k.evidence.allowed = make(map[string][]string)
	k.evidence.drainBound = drainBound
	if err := k.start(ctx); err != nil {
		return Report{}, err
	}
	defer k.fleet.close()
	callers, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	for i := range s.Callers {
		tasks.Go(func() { k.runCaller(callers, i) })
	}
	for range s.Rounds {
		k.round(ctx)
	}
	cancel()
	tasks.Wait()
	return k.report(), nil
}

func (k *runner) report() Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence.runs = k.fleet.runs()
	r := Report{Requests: len(k.evidence.exchanges), Faults: k.faults}
	for _, s := range k.evidence.exchanges {
		if s.err == nil && s.answer.Status == http.StatusOK {
			r.Served++
		}
	}
	r.Violations = append(findViolations(k.evidence), k.evidence.violations...)
	if r.Served*2 < r.Requests {
		r.Violations = append(r.Violations, Violation{Promise: "service", Detail: fmt.Sprintf("%d of %d requests were served", r.Served, r.Requests)})
	}
	return r
}

// start starts the fleet with its first configuration and waits until all nodes are ready.
func (k *runner) start(ctx context.Context) error {
	logs := func(node string) io.Writer {
		file, err := os.Create(filepath.Join(k.settings.Directory, node+".log"))
		if err != nil {
			return io.Discard
		}
		return file
	}
	var err error
	if k.fleet, err = startFleet(k.settings.Binary, k.settings.Directory, k.settings.Nodes, logs); err != nil {
		return err
	}
	for i := range k.settings.Shards {
		k.shards = append(k.shards, fmt.Sprintf("shard%d", i))
	}
	for _, service := range append([]string{"one", "two"}, k.shards...) {
		for _, zone := range zoneNames {
			if _, err := k.fleet.addSearcher(service, zone, time.Duration(1+k.random.IntN(8))*time.Millisecond); err != nil {
				return err
			}
		}
	}
	k.configure("one")
	client := stand.NewClient()
	deadline := time.Now().Add(startTimeout)
	for _, p := range k.fleet.nodes {
		for !stand.IsReady(ctx, client, p.readyAddress()) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Newf("node %s is not ready after %v", p.machine.Node, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// configure writes the next configuration version, whose routes without shards go to the given service.
func (k *runner) configure(service string) {
	k.mu.Lock()
	k.version += 1 + k.random.IntN(5)
	version := k.version
	k.routedService = service
	added := fmt.Sprintf("/v%d/", version)
	k.allow("/safe/", service)
	k.allow("/unsafe/", service)
	k.allow(added, service)
	for _, shard := range k.shards {
		k.allow("/gather/", shard)
	}
	k.mu.Unlock()
	k.fleet.store.PutConfig(version, []stand.Route{
		{Host: host, Prefix: "/gather/", Shards: k.shards, TopK: 5, MinCoverage: 0.6, TimeoutMS: 600, GoalMS: 200},
		{Host: host, Prefix: "/safe/", Service: service, TimeoutMS: 600, GoalMS: 200},
		{Host: host, Prefix: "/unsafe/", Service: service, Unsafe: true, TimeoutMS: 600, GoalMS: 200},
		{Host: host, Prefix: added, Service: service, TimeoutMS: 600, GoalMS: 200},
	}, append([]string{"one", "two"}, k.shards...))
}

// allow records that requests with a path prefix may go to a service. The caller holds mu.
func (k *runner) allow(prefix, service string) {
	k.evidence.allowed[prefix] = append(k.evidence.allowed[prefix], service)
}

// runCaller sends requests to random nodes until ctx ends, over persistent connections.
func (k *runner) runCaller(ctx context.Context, number int) {
	client := stand.NewClient()
	random := rand.New(rand.NewPCG(k.settings.Seed, uint64(number)))
	for ctx.Err() == nil {
		node := k.fleet.nodes[random.IntN(len(k.fleet.nodes))]
		s := k.randomExchange(random, node.machine.Node)
		k.send(client, node.callerAddress(), s)
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

// randomExchange returns an exchange with a random request to a node, which is not sent yet.
func (k *runner) randomExchange(random *rand.Rand, node string) exchange {
	k.mu.Lock()
	k.requestCount++
	id := fmt.Sprintf("%08x%08x", uint32(k.settings.Seed), k.requestCount)
	k.mu.Unlock()
	s := exchange{node: node, request: stand.Request{ID: id, Method: http.MethodGet, Host: host, Timeout: callerTimeout}}
	switch random.IntN(3) {
	case 0:
		s.request.Path = "/gather/" + id + "?q=%2F"
		s.shards, s.topK, s.minCoverage = k.shards, 5, 0.6
	case 1:
		s.request.Path = "/safe/" + id
	default:
		s.request.Path, s.request.Method, s.request.Body, s.nonIdempotent = "/unsafe/"+id, http.MethodPost, "order "+id, true
	}
	return s
}

// send sends the request, and records and returns the exchange with its answer.
func (k *runner) send(client *http.Client, address string, s exchange) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+300*time.Millisecond)
	defer cancel()
	s.sentAt = time.Now()
	s.answer, s.err = stand.Send(ctx, client, address, s.request)
	s.endedAt = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence.exchanges = append(k.evidence.exchanges, s)
	return s
}
