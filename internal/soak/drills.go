package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// drills are faults that a round adds to the others, one at most.
var drills = []fault{
	{name: "store restored", inject: func(r *runner) func() {
		copied := r.fleet.store.Copy()
		for range otherWrites {
			r.fleet.store.Put("other/key", nil)
		}
		r.configure(r.routedService)
		return func() {
			r.fleet.store.Restore(copied)
			time.Sleep(rewriteDelay)
			r.rewriteStore()
		}
	}},
}

const (
	// otherWrites is the number of writes of other systems that a restore loses. With them, what is written again gets lower revisions than
	// what was lost.
	otherWrites = 200
	// rewriteDelay is the time after a restore in which the operator and the searchers write nothing.
	rewriteDelay = 300 * time.Millisecond
	// lapseDelay is the time after which a restored store drops the entries of searchers that are gone.
	lapseDelay = 2 * time.Second
)

// rewriteStore writes again what the operator and the searchers had written, and then the next configuration version. The entries of
// searchers that have left come back, and lapse.
func (r *runner) rewriteStore() {
	r.mu.Lock()
	version, service := r.version, r.routedService
	r.mu.Unlock()
	r.writeConfig(version, service)
	r.fleet.mu.Lock()
	searchers := append([]*proxiedSearcher(nil), r.fleet.searchers...)
	r.fleet.mu.Unlock()
	var gone []*proxiedSearcher
	for _, s := range searchers {
		switch {
		case !s.leaving:
			r.fleet.store.Register(s.Searcher, s.proxy.address(), s.zone, "ready")
		case s.announced:
			r.fleet.store.Register(s.Searcher, s.proxy.address(), s.zone, "draining")
		default:
			gone = append(gone, s)
		}
	}
	time.AfterFunc(lapseDelay, func() {
		for _, s := range gone {
			r.fleet.store.Unregister(s.Searcher)
		}
	})
	r.configure(service)
}

const (
	// strandedBound is the time after which callers must not be directed to a node without links to searchers, and after which a node with links
	// must be ready again.
	strandedBound = 5 * time.Second
	// strandedCheck is the time after that in which its answers are checked, and atOnce the time within which it must answer.
	strandedCheck = time.Second
	atOnce        = callerTimeout / 2
)

// checkStrandedNode cuts a node off from all searchers while callers, the store and the other nodes reach it. No directory may name it, it
// must answer at once, and it must come back after the cut.
func (r *runner) checkStrandedNode(ctx context.Context) {
	p := r.fleet.nodes[r.drillRandom.IntN(len(r.fleet.nodes))]
	r.recordFault("node stranded")
	r.cutFromSearchers(p)
	delay.Sleep(ctx, strandedBound)
	from := time.Now()
	client := stand.NewClient()
	for _, other := range r.fleet.nodes {
		addresses, err := stand.Resolve(ctx, client, other.directoryAddress(), p.machine.Zones[p.machine.Zone], p.machine.Zone)
		if err != nil || slices.Contains(addresses, p.callerAddress()) {
			r.addViolation("stranded", "the directory of %s names %v, error %v, %v after %s lost its links", other.machine.Node, addresses, err, strandedBound, p.machine.Node)
		}
	}
	delay.Sleep(ctx, strandedCheck)
	r.endSearcherCut()
	r.mu.Lock()
	for _, s := range r.evidence.exchanges {
		if took := s.endedAt.Sub(s.sentAt); s.node == p.machine.Node && s.sentAt.After(from) && took > atOnce {
			r.evidence.violations = append(r.evidence.violations, Violation{
				Promise: "stranded", Detail: fmt.Sprintf("request %s at %s took %v, error %v", s.request.ID, s.node, took, s.err),
			})
		}
	}
	r.mu.Unlock()
	delay.Sleep(ctx, strandedBound)
	if !stand.IsReady(ctx, client, p.readyAddress()) {
		r.addViolation("stranded", "%s is not ready %v after its links came back", p.machine.Node, strandedBound)
	}
}

// cutFromSearchers cuts a node off from all searchers.
func (r *runner) cutFromSearchers(p *process) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	held := heldSockets(p.pid())
	r.fleet.cutOff = p.pid
	for _, s := range r.fleet.searchers {
		s.proxy.cutCaller(held, p.pid)
	}
}

// endSearcherCut ends the cut between a node and the searchers.
func (r *runner) endSearcherCut() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.fleet.cutOff = nil
	for _, s := range r.fleet.searchers {
		s.proxy.endCut()
	}
}
