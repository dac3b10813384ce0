package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// grace is the time from SIGTERM to SIGKILL at a stop.
const grace = 6 * time.Second

// fault is a kind of fault that a round injects.
type fault struct {
	name string
	// inject causes the fault and returns the function that undoes it, which runs at the end of the fault phase. It draws its random
	// numbers from the runner before it returns, so that a seed gives the same faults.
	inject func(k *runner) (undo func())
}

// noUndo is the undo function of a fault that needs none.
func noUndo() {}

// faults are the kinds of faults from which a round chooses at random. Their names appear in reports.
var faults = []fault{
	{name: "kill a node", inject: func(k *runner) func() {
		p := k.randomNode()
		p.stop(syscall.SIGKILL, time.Second)
		return func() { k.restart(p) }
	}},
	{name: "kill all nodes", inject: func(k *runner) func() {
		for _, p := range k.fleet.nodes {
			p.stop(syscall.SIGKILL, time.Second)
		}
		for _, p := range k.fleet.nodes {
			k.restart(p)
		}
		return noUndo
	}},
	{name: "pause a node", inject: func(k *runner) func() {
		p := k.randomNode()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{name: "stop a node and start it again", inject: func(k *runner) func() {
		p := k.randomNode()
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.stop(syscall.SIGTERM, grace)
			k.restart(p)
		}()
		return func() { <-done }
	}},
	{name: "hang up a node", inject: func(k *runner) func() {
		k.randomNode().signal(syscall.SIGHUP)
		return noUndo
	}},
	{name: "store busy", inject: func(k *runner) func() {
		k.fleet.store.SetMode(stand.Busy{})
		return func() { k.fleet.store.SetMode(stand.Serving{}) }
	}},
	{name: "store link silent", inject: func(k *runner) func() {
		k.fleet.storeProxy.setFault(Silence{})
		return noUndo
	}},
	{name: "store link cut one way", inject: func(k *runner) func() {
		k.fleet.storeProxy.setFault(DropReplies{})
		return func() { k.fleet.storeProxy.setFault(Pass{}); k.fleet.storeProxy.resetLinks() }
	}},
	{name: "store history lost", inject: func(k *runner) func() {
		k.fleet.store.Compact()
		return noUndo
	}},
	{name: "searchers delayed", inject: func(k *runner) func() {
		return k.impair(Delay{By: time.Duration(20+k.random.IntN(200)) * time.Millisecond})
	}},
	{name: "searchers silent", inject: func(k *runner) func() { return k.impair(Silence{}) }},
	{name: "searchers cut one way", inject: func(k *runner) func() { return k.impair(DropReplies{}) }},
	{name: "searchers reset", inject: func(k *runner) func() {
		for _, s := range k.randomSearchers() {
			s.proxy.resetLinks()
		}
		return noUndo
	}},
	{name: "answers spoilt", inject: func(k *runner) func() {
		answerFaults := []stand.Fault{stand.DropReply{}, stand.TruncateReply{}, stand.InternalError{}, stand.Shed{}, stand.ExtraReply{}, stand.UnframedReply{}, stand.Hang{}}
		chosen := answerFaults[k.random.IntN(len(answerFaults))]
		searchers := k.randomSearchers()
		for _, s := range searchers {
			s.SetFault(func(id string) stand.Fault {
				if xxhash.Sum64String(id)%3 == 0 {
					return chosen
				}
				return stand.NoFault{}
			})
		}
		return func() {
			for _, s := range searchers {
				s.SetFault(func(string) stand.Fault { return stand.NoFault{} })
			}
		}
	}},
	{name: "searchers replaced", inject: func(k *runner) func() {
		for _, s := range k.randomSearchers() {
			k.replace(s, k.random.IntN(2) == 0)
		}
		return noUndo
	}},
	{name: "configuration moves", inject: func(k *runner) func() {
		for range 1 + k.random.IntN(4) {
			k.configure([]string{"one", "two"}[k.random.IntN(2)])
			time.Sleep(100 * time.Millisecond)
		}
		return noUndo
	}},
}

// randomNode returns a random node.
func (k *runner) randomNode() *process { return k.fleet.nodes[k.random.IntN(len(k.fleet.nodes))] }

// randomSearchers returns about a quarter of the active searchers, at least one.
func (k *runner) randomSearchers() []*proxiedSearcher {
	running := k.fleet.activeSearchers()
	k.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	return running[:1+len(running)/4]
}

// impair sets a fault on the links of some searchers and returns the function that removes it.
func (k *runner) impair(f LinkFault) func() {
	searchers := k.randomSearchers()
	for _, s := range searchers {
		s.proxy.setFault(f)
	}
	return func() {
		for _, s := range searchers {
			s.proxy.setFault(Pass{})
		}
	}
}

func (k *runner) restart(p *process) {
	if err := p.start(); err != nil {
		k.addViolation("start", "%s did not start: %v", p.machine.Node, err)
	}
}

// replace starts a searcher of the same service and makes the old one leave, either announced as draining or by removing its entry
// from the store.
func (k *runner) replace(s *proxiedSearcher, notice bool) {
	if _, err := k.fleet.addSearcher(s.Service(), s.zone, 2*time.Millisecond); err != nil {
		k.addViolation("start", "a searcher did not start: %v", err)
		return
	}
	k.fleet.mu.Lock()
	s.leaving = true
	k.fleet.mu.Unlock()
	if notice {
		k.fleet.store.Register(s.Searcher, s.proxy.address(), s.zone, "draining")
	} else {
		k.fleet.store.Unregister(s.Searcher)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence.departures = append(k.evidence.departures, departure{searcher: s.ID(), announcedAt: time.Now()})
}

func (k *runner) addViolation(promise, format string, values ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence.violations = append(k.evidence.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)})
}

// round injects two to four overlapping faults, undoes them, and checks after the recovery phase what must hold without faults.
func (k *runner) round(ctx context.Context) {
	var undo []func()
	n := 2 + k.random.IntN(3)
	for range n {
		f := faults[k.random.IntN(len(faults))]
		k.mu.Lock()
		k.faults = append(k.faults, f.name)
		k.mu.Unlock()
		undo = append(undo, f.inject(k))
		delay.Sleep(ctx, faultPhase/time.Duration(n))
	}
	for i := len(undo) - 1; i >= 0; i-- {
		undo[i]()
	}
	delay.Sleep(ctx, recoveryPhase)
	from := time.Now()
	k.checkGracefulStop(ctx)
	k.checkConfiguration(ctx)
	delay.Sleep(ctx, quietPhase)
	k.mu.Lock()
	k.evidence.quiet = append(k.evidence.quiet, interval{from: from, to: time.Now()})
	k.mu.Unlock()
}

// checkGracefulStop stops a node with SIGTERM and starts it again: no request that it had read may end without an answer.
func (k *runner) checkGracefulStop(ctx context.Context) {
	p := k.randomNode()
	from := time.Now()
	p.stop(syscall.SIGTERM, grace)
	ran := make(map[string]bool)
	for _, r := range k.fleet.runs() {
		ran[r.ID] = true
	}
	k.mu.Lock()
	for _, s := range k.evidence.exchanges {
		if s.node == p.machine.Node && s.sentAt.After(from) && cutOff(s.err, ran[s.request.ID]) {
			k.evidence.violations = append(k.evidence.violations, Violation{
				Promise: "graceful stop",
				Detail:  fmt.Sprintf("request %s at %s ended without an answer %v after it was sent: %v", s.request.ID, s.node, s.endedAt.Sub(s.sentAt), s.err),
			})
		}
	}
	k.mu.Unlock()
	k.restart(p)
	delay.Sleep(ctx, time.Second)
}

// checkConfiguration sends a request to each node on the route that the latest configuration added: the configuration must be in force
// at every node.
func (k *runner) checkConfiguration(ctx context.Context) {
	k.mu.Lock()
	version, service := k.version, k.routedService
	k.mu.Unlock()
	client := stand.NewClient()
	for _, p := range k.fleet.nodes {
		s := k.randomExchange(k.random, p.machine.Node)
		s.request.Method, s.request.Body, s.nonIdempotent, s.shards = http.MethodGet, "", false, nil
		s.request.Path = fmt.Sprintf("/v%d/%s", version, s.request.ID)
		answered := k.send(client, p.callerAddress(), s)
		if answered.err != nil || answered.answer.Status != http.StatusOK {
			k.addViolation("configuration", "%s answers status %d, error %v, on the route of version %d to service %s", p.machine.Node, answered.answer.Status,
				answered.err, version, service)
		}
	}
}
