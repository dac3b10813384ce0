// Package soak runs the real program as many processes on loopback, injects faults from outside them at random, and checks the promises
// from what callers and searchers see. A seed gives the same faults in the same order; their effects depend on the machine.
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

// Settings of a soak.
type Settings struct {
	// Binary is the program under test.
	Binary string
	Seed   uint64
	// Rounds is the number of rounds of trouble, each followed by a calm time.
	Rounds int
	Nodes  int
	Shards int
	// Callers is the number of callers; each keeps its connections.
	Callers int
	// Directory takes settings files and the nodes' logs.
	Directory string
}

// Report is what a soak found.
type Report struct {
	Requests int
	Served   int
	Faults   []string
	// Violations are the broken promises.
	Violations []Violation
}

const (
	host = "soak.example"
	// patience is how long callers wait.
	patience = 700 * time.Millisecond
	// drainBound is the time after which a searcher that leaves gets nothing new.
	drainBound = 3 * time.Second
	// trouble is the length of a round's trouble, contact the time after it in which nothing is promised, and calm the time after that.
	trouble = 4 * time.Second
	contact = 5 * time.Second
	calm    = 4 * time.Second
	// startTime is the time that processes take to start and find each other.
	startTime = 10 * time.Second
)

// soak is one run.
type soak struct {
	settings Settings
	fleet    *fleet
	random   *rand.Rand

	mu       sync.Mutex
	evidence evidence
	faults   []string
	ids      int
	version  int
	// routed is the service of the single route by the latest configuration.
	routed string
	shards []string
}

// Run soaks the program and reports what it found. Its errors are those of starting it.
func Run(ctx context.Context, s Settings) (Report, error) {
	k := &soak{settings: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed))}
	k.evidence.allowed = make(map[string][]string)
	k.evidence.drainBound = drainBound
	if err := k.start(ctx); err != nil {
		return Report{}, err
	}
	defer k.fleet.close()
	callers, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	for i := range s.Callers {
		tasks.Go(func() { k.call(callers, i) })
	}
	for range s.Rounds {
		k.round(ctx)
	}
	cancel()
	tasks.Wait()
	return k.report(), nil
}

func (k *soak) report() Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence.runs = k.fleet.runs()
	r := Report{Requests: len(k.evidence.sent), Faults: k.faults}
	for _, s := range k.evidence.sent {
		if s.err == nil && s.answer.Status == http.StatusOK {
			r.Served++
		}
	}
	r.Violations = append(check(k.evidence), k.evidence.found...)
	if r.Served*2 < r.Requests {
		r.Violations = append(r.Violations, Violation{Promise: "service", Detail: fmt.Sprintf("%d of %d requests were served", r.Served, r.Requests)})
	}
	return r
}

// start starts the fleet with its first configuration and waits until all nodes are ready.
func (k *soak) start(ctx context.Context) error {
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
			if _, err := k.fleet.addServer(service, zone, time.Duration(1+k.random.IntN(8))*time.Millisecond); err != nil {
				return err
			}
		}
	}
	k.configure("one")
	client := stand.NewClient()
	deadline := time.Now().Add(startTime)
	for _, p := range k.fleet.nodes {
		for !stand.IsReady(ctx, client, p.ready()) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Newf("%s is not ready after %v", p.machine.Node, startTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// configure writes the next version, with the single routes going to a service.
func (k *soak) configure(service string) {
	k.mu.Lock()
	k.version += 1 + k.random.IntN(5)
	version := k.version
	k.routed = service
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

// allow records that requests below a prefix may go to a service. The caller holds mu.
func (k *soak) allow(prefix, service string) {
	k.evidence.allowed[prefix] = append(k.evidence.allowed[prefix], service)
}

// call sends requests until ctx ends, on kept connections.
func (k *soak) call(ctx context.Context, number int) {
	client := stand.NewClient()
	random := rand.New(rand.NewPCG(k.settings.Seed, uint64(number)))
	for ctx.Err() == nil {
		node := k.fleet.nodes[random.IntN(len(k.fleet.nodes))]
		s := k.draw(random, node.machine.Node)
		k.send(client, node.caller(), s)
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

// draw makes a random request.
func (k *soak) draw(random *rand.Rand, node string) sent {
	k.mu.Lock()
	k.ids++
	id := fmt.Sprintf("%08x%08x", uint32(k.settings.Seed), k.ids)
	k.mu.Unlock()
	s := sent{node: node, request: stand.Request{ID: id, Method: http.MethodGet, Host: host, Timeout: patience}}
	switch random.IntN(3) {
	case 0:
		s.request.Path = "/gather/" + id + "?q=%2F"
		s.shards, s.top, s.least = k.shards, 5, 0.6
	case 1:
		s.request.Path = "/safe/" + id
	default:
		s.request.Path, s.request.Method, s.request.Body, s.unsafe = "/unsafe/"+id, http.MethodPost, "order "+id, true
	}
	return s
}

// send sends a request and records its answer.
func (k *soak) send(client *http.Client, address string, s sent) sent {
	ctx, cancel := context.WithTimeout(context.Background(), patience+300*time.Millisecond)
	defer cancel()
	s.at = time.Now()
	s.answer, s.err = stand.Send(ctx, client, address, s.request)
	s.ended = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence.sent = append(k.evidence.sent, s)
	return s
}
