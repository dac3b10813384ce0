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
	quietPhase    = 5 * time.Second
	// startTimeout bounds the time in which all processes start and discover each other.
	startTimeout = 10 * time.Second
)

// drillStream distinguishes the random numbers that select drills.
const drillStream = 1

// runner executes one soak.
type runner struct {
	settings Settings
	fleet    *fleet
	random   *rand.Rand
	// drillRandom selects the drills. It is separate, so that the faults of recorded seeds stay the same when drills are added.
	drillRandom *rand.Rand
	// scarceRandom selects the shortages, for the same reason.
	scarceRandom *rand.Rand
	// evacuationRandom selects the evacuations.
	evacuationRandom *rand.Rand
	// popularRandom selects the losses of the searchers of the popular request.
	popularRandom *rand.Rand

	mu           sync.Mutex
	evidence     evidence
	faults       []string
	requestCount int
	version      int
	// routedService is the service to which the latest configuration routes requests that are not gathered from shards.
	routedService string
	// cutOff is the node that cannot reach the store in the current quiet phase, empty outside it.
	cutOff string
	shards []string
}

// Run runs a soak and returns its report. It returns an error only if the fleet does not start.
func Run(ctx context.Context, s Settings) (Report, error) {
	r := &runner{settings: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed)), drillRandom: rand.New(rand.NewPCG(s.Seed, drillStream)), scarceRandom: rand.New(rand.NewPCG(s.Seed, scarceStream)),
		evacuationRandom: rand.New(rand.NewPCG(s.Seed, evacuationStream)), popularRandom: rand.New(rand.NewPCG(s.Seed, popularStream))}
	r.evidence.allowed = make(map[string][]string)
	r.evidence.drainBound = drainBound
	err := r.start(ctx)
	if r.fleet != nil {
		defer r.fleet.close()
	}
	if err != nil {
		return Report{}, err
	}
	callers, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	for i := range s.Callers {
		tasks.Go(func() { r.runCaller(callers, i) })
	}
	for i := range crasherKinds {
		tasks.Go(func() { r.runCrasher(callers, i) })
	}
	tasks.Go(func() { r.runPopular(callers) })
	for range s.Rounds {
		r.round(ctx)
	}
	cancel()
	tasks.Wait()
	return r.report(), nil
}

func (r *runner) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.runs = r.fleet.runs()
	report := Report{Requests: len(r.evidence.exchanges), Faults: r.faults}
	for _, s := range r.evidence.exchanges {
		switch {
		case s.crasher:
			// No searcher answers it.
			report.Requests--
		case s.err == nil && s.answer.Status == http.StatusOK:
			report.Served++
		}
	}
	report.Violations = append(findViolations(r.evidence), r.evidence.violations...)
	if report.Served*2 < report.Requests {
		report.Violations = append(report.Violations, Violation{Promise: "service", Detail: fmt.Sprintf("%d of %d requests were served", report.Served, report.Requests)})
	}
	return report
}

// start starts the fleet with its first configuration and waits until all nodes are ready.
func (r *runner) start(ctx context.Context) error {
	logs := func(node string) io.Writer {
		file, err := os.Create(filepath.Join(r.settings.Directory, node+".log"))
		if err != nil {
			return io.Discard
		}
		return file
	}
	var err error
	if r.fleet, err = startFleet(r.settings.Binary, r.settings.Directory, r.settings.Nodes, logs); err != nil {
		return err
	}
	r.fleet.onCrash = r.revive
	for i := range r.settings.Shards {
		r.shards = append(r.shards, fmt.Sprintf("shard%d", i))
	}
	for _, service := range append([]string{"one", "two"}, r.shards...) {
		for _, zone := range zoneNames {
			if _, err := r.fleet.addSearcher(service, zone, time.Duration(1+r.random.IntN(8))*time.Millisecond); err != nil {
				return err
			}
		}
	}
	r.configure("one")
	client := stand.NewClient()
	deadline := time.Now().Add(startTimeout)
	for _, p := range r.fleet.nodes {
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
func (r *runner) configure(service string) {
	r.mu.Lock()
	r.version += 1 + r.random.IntN(5)
	version := r.version
	r.routedService = service
	added := fmt.Sprintf("/v%d/", version)
	r.allow("/safe/", service)
	r.allow("/unsafe/", service)
	r.allow(added, service)
	for _, shard := range r.shards {
		r.allow("/gather/", shard)
	}
	r.mu.Unlock()
	r.writeConfig(version, service)
}

// writeConfig writes a configuration version to the store.
func (r *runner) writeConfig(version int, service string) {
	added := fmt.Sprintf("/v%d/", version)
	r.fleet.store.PutConfig(version, []stand.Route{
		{Host: host, Prefix: "/gather/", Shards: r.shards, TopK: 5, MinCoverage: 0.6, TimeoutMS: 600, GoalMS: 200},
		{Host: host, Prefix: "/safe/", Service: service, TimeoutMS: 600, GoalMS: 200},
		{Host: host, Prefix: "/unsafe/", Service: service, Unsafe: true, TimeoutMS: 600, GoalMS: 200},
		{Host: host, Prefix: added, Service: service, TimeoutMS: 600, GoalMS: 200},
	}, append([]string{"one", "two"}, r.shards...))
}

// allow records that requests with a path prefix may go to a service. The caller holds mu.
func (r *runner) allow(prefix, service string) {
	r.evidence.allowed[prefix] = append(r.evidence.allowed[prefix], service)
}

// runCaller sends requests to random nodes until ctx ends, over persistent connections.
func (r *runner) runCaller(ctx context.Context, number int) {
	client := stand.NewClient()
	random := rand.New(rand.NewPCG(r.settings.Seed, uint64(number)))
	for ctx.Err() == nil {
		node := r.fleet.nodes[random.IntN(len(r.fleet.nodes))]
		s := r.randomExchange(random, node.machine.Node)
		r.send(client, node.callerAddress(), s)
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

// randomExchange returns an exchange with a random request to a node, which is not sent yet.
func (r *runner) randomExchange(random *rand.Rand, node string) exchange {
	s := r.newExchange(node)
	id := s.request.ID
	switch random.IntN(3) {
	case 0:
		r.gather(&s)
	case 1:
		s.request.Path = "/safe/" + id
	default:
		s.request.Path, s.request.Method, s.request.Body, s.nonIdempotent = "/unsafe/"+id, http.MethodPost, "order "+id, true
	}
	return s
}

// newExchange returns an exchange with a node whose request has an id and no path yet.
func (r *runner) newExchange(node string) exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestCount++
	id := fmt.Sprintf("%08x%08x", uint32(r.settings.Seed), r.requestCount)
	return exchange{node: node, request: stand.Request{ID: id, Method: http.MethodGet, Host: host, Timeout: callerTimeout}}
}

// gather makes the request of an exchange a query over all shards.
func (r *runner) gather(s *exchange) {
	s.request.Path = "/gather/" + s.request.ID + "?q=%2F"
	s.shards, s.topK, s.minCoverage = r.shards, 5, 0.6
}

// send sends the request, and records and returns the exchange with its answer.
func (r *runner) send(client *http.Client, address string, s exchange) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+300*time.Millisecond)
	defer cancel()
	s.sentAt = time.Now()
	s.answer, s.err = stand.Send(ctx, client, address, s.request)
	s.endedAt = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.exchanges = append(r.evidence.exchanges, s)
	return s
}
