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

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// fault does something bad and returns what undoes it, which runs at the end of the round's trouble.
type fault struct {
	name string
	// inject runs with the soak's random choices made before, so that a seed gives the same faults.
	inject func(k *soak) (undo func())
}

func nothing() {}

// faults are all kinds that a round draws from.
var faults = []fault{
	{name: "kill a node", inject: func(k *soak) func() {
		p := k.node()
		p.stop(syscall.SIGKILL, time.Second)
		return func() { k.restart(p) }
	}},
	{name: "kill all nodes", inject: func(k *soak) func() {
		for _, p := range k.fleet.nodes {
			p.stop(syscall.SIGKILL, time.Second)
		}
		for _, p := range k.fleet.nodes {
			k.restart(p)
		}
		return nothing
	}},
	{name: "pause a node", inject: func(k *soak) func() {
		p := k.node()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{name: "stop a node and start it again", inject: func(k *soak) func() {
		p := k.node()
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.stop(syscall.SIGTERM, grace)
			k.restart(p)
		}()
		return func() { <-done }
	}},
	{name: "hang up a node", inject: func(k *soak) func() {
		k.node().signal(syscall.SIGHUP)
		return nothing
	}},
	{name: "store busy", inject: func(k *soak) func() {
		k.fleet.store.SetMode(stand.Busy{})
		return func() { k.fleet.store.SetMode(stand.Serving{}) }
	}},
	{name: "store link silent", inject: func(k *soak) func() {
		k.fleet.storeLink.set(Silence{})
		return nothing
	}},
	{name: "store link cut one way", inject: func(k *soak) func() {
		k.fleet.storeLink.set(CutOneWay{})
		return func() { k.fleet.storeLink.set(Pass{}); k.fleet.storeLink.reset() }
	}},
	{name: "store history lost", inject: func(k *soak) func() {
		k.fleet.store.Compact()
		return nothing
	}},
	{name: "searchers delayed", inject: func(k *soak) func() {
		return k.trouble(Delay{By: time.Duration(20+k.random.IntN(200)) * time.Millisecond})
	}},
	{name: "searchers silent", inject: func(k *soak) func() { return k.trouble(Silence{}) }},
	{name: "searchers cut one way", inject: func(k *soak) func() { return k.trouble(CutOneWay{}) }},
	{name: "searchers reset", inject: func(k *soak) func() {
		for _, s := range k.some() {
			s.proxy.reset()
		}
		return nothing
	}},
	{name: "answers spoilt", inject: func(k *soak) func() {
		spoil := []stand.Fault{stand.DropReply{}, stand.TruncateReply{}, stand.InternalError{}, stand.Shed{}, stand.ExtraReply{}, stand.UnframedReply{}, stand.Hang{}}
		chosen := spoil[k.random.IntN(len(spoil))]
		servers := k.some()
		for _, s := range servers {
			s.SetFault(func(id string) stand.Fault {
				if xxhash.Sum64String(id)%3 == 0 {
					return chosen
				}
				return stand.NoFault{}
			})
		}
		return func() {
			for _, s := range servers {
				s.SetFault(func(string) stand.Fault { return stand.NoFault{} })
			}
		}
	}},
	{name: "searchers replaced", inject: func(k *soak) func() {
		for _, s := range k.some() {
			k.replace(s, k.random.IntN(2) == 0)
		}
		return nothing
	}},
	{name: "configuration moves", inject: func(k *soak) func() {
		for range 1 + k.random.IntN(4) {
			k.configure([]string{"one", "two"}[k.random.IntN(2)])
			time.Sleep(100 * time.Millisecond)
		}
		return nothing
	}},
}

// node returns a random node.
func (k *soak) node() *process { return k.fleet.nodes[k.random.IntN(len(k.fleet.nodes))] }

// some returns about a quarter of the searchers, at least one.
func (k *soak) some() []*server {
	running := k.fleet.running()
	k.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	return running[:1+len(running)/4]
}

func (k *soak) trouble(t Trouble) func() {
	servers := k.some()
	for _, s := range servers {
		s.proxy.set(t)
	}
	return func() {
		for _, s := range servers {
			s.proxy.set(Pass{})
		}
	}
}

func (k *soak) restart(p *process) {
	if err := p.start(); err != nil {
		k.violate("start", "%s did not start: %v", p.machine.Node, err)
	}
}

// replace starts a searcher of the same service and makes the old one leave, with a notice or by its entry's end.
func (k *soak) replace(s *server, notice bool) {
	if _, err := k.fleet.addServer(s.Service(), s.zone, 2*time.Millisecond); err != nil {
		k.violate("start", "a searcher did not start: %v", err)
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
	k.evidence.left = append(k.evidence.left, left{searcher: s.ID(), at: time.Now()})
}

func (k *soak) violate(promise, format string, values ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence.found = append(k.evidence.found, Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)})
}

// round injects two to four faults that overlap, undoes them, and checks in a calm time what must hold then.
func (k *soak) round(ctx context.Context) {
	var undo []func()
	n := 2 + k.random.IntN(3)
	for range n {
		f := faults[k.random.IntN(len(faults))]
		k.mu.Lock()
		k.faults = append(k.faults, f.name)
		k.mu.Unlock()
		undo = append(undo, f.inject(k))
		delay.Sleep(ctx, trouble/time.Duration(n))
	}
	for i := len(undo) - 1; i >= 0; i-- {
		undo[i]()
	}
	delay.Sleep(ctx, contact)
	from := time.Now()
	k.stopCalmly(ctx)
	k.probe(ctx)
	delay.Sleep(ctx, calm)
	k.mu.Lock()
	k.evidence.calm = append(k.evidence.calm, span{from: from, to: time.Now()})
	k.mu.Unlock()
}

// stopCalmly stops a node as planned and starts it again: no request that it read may end without an answer.
func (k *soak) stopCalmly(ctx context.Context) {
	p := k.node()
	from := time.Now()
	p.stop(syscall.SIGTERM, grace)
	ran := make(map[string]bool)
	for _, r := range k.fleet.runs() {
		ran[r.ID] = true
	}
	k.mu.Lock()
	for _, s := range k.evidence.sent {
		if s.node == p.machine.Node && s.at.After(from) && cutOff(s.err, ran[s.request.ID]) {
			k.evidence.found = append(k.evidence.found, Violation{
				Promise: "graceful stop",
				Detail:  fmt.Sprintf("request %s at %s ended without an answer %v after it was sent: %v", s.request.ID, s.node, s.ended.Sub(s.at), s.err),
			})
		}
	}
	k.mu.Unlock()
	k.restart(p)
	delay.Sleep(ctx, time.Second)
}

// probe asks each node on the routes that the latest configuration added and moved: it must be in force everywhere.
func (k *soak) probe(ctx context.Context) {
	k.mu.Lock()
	version, service := k.version, k.routed
	k.mu.Unlock()
	client := stand.NewClient()
	for _, p := range k.fleet.nodes {
		s := k.draw(k.random, p.machine.Node)
		s.request.Method, s.request.Body, s.unsafe, s.shards = http.MethodGet, "", false, nil
		s.request.Path = fmt.Sprintf("/v%d/%s", version, s.request.ID)
		answered := k.send(client, p.caller(), s)
		if answered.err != nil || answered.answer.Status != http.StatusOK {
			k.violate("configuration", "%s answers %d, error %v, on a route of version %d that goes to %s", p.machine.Node, answered.answer.Status,
				answered.err, version, service)
		}
	}
}
