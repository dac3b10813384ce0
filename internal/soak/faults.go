package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/broken"
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
	inject func(r *runner) (undo func())
}

// noUndo is the undo function of a fault that needs none.
func noUndo() {}

// endlessReply is a reply whose body has no end.
var endlessReply = stand.EndlessReply{Start: "%s\r\n", Repeat: strings.Repeat("x", 16<<10)}

// malformedReply returns a malformed reply that the id of its request selects, so that recorded seeds draw the same faults as before.
func malformedReply(id string) stand.Fault {
	hash := xxhash.Sum64String("malformed " + id)
	return stand.RawReply{Closes: hash%2 == 0, Message: func(fields, body string) string {
		messages := broken.Malformed(fields, body)
		names := slices.Sorted(maps.Keys(messages))
		return messages[names[hash/2%uint64(len(names))]]
	}}
}

// faults are the kinds of faults from which a round chooses at random. Their names appear in reports.
var faults = []fault{
	{name: "kill a node", inject: func(r *runner) func() {
		p := r.randomNode()
		p.stop(syscall.SIGKILL, time.Second)
		return func() { r.restart(p) }
	}},
	{name: "kill all nodes", inject: func(r *runner) func() {
		for _, p := range r.fleet.nodes {
			p.stop(syscall.SIGKILL, time.Second)
		}
		for _, p := range r.fleet.nodes {
			r.restart(p)
		}
		return noUndo
	}},
	{name: "pause a node", inject: func(r *runner) func() {
		p := r.randomNode()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{name: "stop a node and start it again", inject: func(r *runner) func() {
		p := r.randomNode()
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.stop(syscall.SIGTERM, grace)
			r.restart(p)
		}()
		return func() { <-done }
	}},
	{name: "hang up a node", inject: func(r *runner) func() {
		r.randomNode().signal(syscall.SIGHUP)
		return noUndo
	}},
	{name: "store busy", inject: func(r *runner) func() {
		r.fleet.store.SetMode(stand.Busy{})
		return func() { r.fleet.store.SetMode(stand.Serving{}) }
	}},
	{name: "store link silent", inject: func(r *runner) func() {
		for _, p := range r.fleet.nodes {
			p.storeLink.setFault(Silence{})
		}
		return noUndo
	}},
	{name: "store link cut one way", inject: func(r *runner) func() {
		for _, p := range r.fleet.nodes {
			p.storeLink.setFault(DropReplies{})
		}
		return func() {
			for _, p := range r.fleet.nodes {
				p.restoreStoreLink()
			}
		}
	}},
	{name: "store history lost", inject: func(r *runner) func() {
		r.fleet.store.Compact()
		return noUndo
	}},
	{name: "searchers delayed", inject: func(r *runner) func() {
		return r.impair(Delay{By: time.Duration(20+r.random.IntN(200)) * time.Millisecond})
	}},
	{name: "searchers silent", inject: func(r *runner) func() { return r.impair(Silence{}) }},
	{name: "searchers cut one way", inject: func(r *runner) func() { return r.impair(DropReplies{}) }},
	{name: "searchers reset", inject: func(r *runner) func() {
		for _, s := range r.randomSearchers() {
			s.proxy.resetLinks()
		}
		return noUndo
	}},
	{name: "answers spoilt", inject: func(r *runner) func() {
		answerFaults := []stand.Fault{stand.DropReply{}, stand.TruncateReply{}, stand.InternalError{}, stand.Shed{}, stand.ExtraReply{}, stand.UnframedReply{}, stand.Hang{}, endlessReply}
		chosen := answerFaults[r.random.IntN(len(answerFaults))]
		searchers := r.randomSearchers()
		for _, s := range searchers {
			s.SetFault(func(id string) stand.Fault {
				switch xxhash.Sum64String(id) % 12 {
				case 0, 3, 6, 9:
					return chosen
				case 1:
					return malformedReply(id)
				default:
					return stand.NoFault{}
				}
			})
		}
		return func() {
			for _, s := range searchers {
				s.SetFault(func(string) stand.Fault { return stand.NoFault{} })
			}
		}
	}},
	{name: "searchers replaced", inject: func(r *runner) func() {
		for _, s := range r.randomSearchers() {
			r.replace(s, r.random.IntN(2) == 0)
		}
		return noUndo
	}},
	{name: "configuration moves", inject: func(r *runner) func() {
		for range 1 + r.random.IntN(4) {
			r.configure([]string{"one", "two"}[r.random.IntN(2)])
			time.Sleep(100 * time.Millisecond)
		}
		return noUndo
	}},
}

// randomNode returns a random node.
func (r *runner) randomNode() *process { return r.fleet.nodes[r.random.IntN(len(r.fleet.nodes))] }

// randomSearchers returns about a quarter of the active searchers, at least one.
func (r *runner) randomSearchers() []*proxiedSearcher {
	active := r.fleet.activeSearchers()
	r.random.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	return active[:1+len(active)/4]
}

// impair sets a fault on the links of some searchers and returns the function that removes it.
func (r *runner) impair(f LinkFault) func() {
	searchers := r.randomSearchers()
	for _, s := range searchers {
		s.proxy.setFault(f)
	}
	return func() {
		for _, s := range searchers {
			s.proxy.setFault(Pass{})
		}
	}
}

func (r *runner) restart(p *process) {
	if err := p.start(); err != nil {
		r.addViolation("start", "%s did not start: %v", p.machine.Node, err)
	}
}

// replace starts a searcher of the same service and makes the old one leave, either announced as draining or by removing its entry
// from the store.
func (r *runner) replace(s *proxiedSearcher, announced bool) {
	if _, err := r.fleet.addSearcher(s.Service(), s.zone, 2*time.Millisecond); err != nil {
		r.addViolation("start", "a searcher did not start: %v", err)
		return
	}
	r.fleet.mu.Lock()
	s.leaving, s.announced = true, announced
	r.fleet.mu.Unlock()
	if announced {
		r.fleet.store.Register(s.Searcher, s.proxy.address(), s.zone, "draining")
	} else {
		r.fleet.store.Unregister(s.Searcher)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.departures = append(r.evidence.departures, departure{searcher: s.ID(), leavingSince: time.Now(), cutOff: r.cutOff})
}

func (r *runner) addViolation(promise, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.violations = append(r.evidence.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)})
}

func (r *runner) recordFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, name)
}

// round injects two to four overlapping faults and up to one drill, undoes them, and checks after the recovery phase what must hold without faults.
func (r *runner) round(ctx context.Context) {
	var undo []func()
	if i := r.drillRandom.IntN(len(drills) + 1); i < len(drills) {
		r.recordFault(drills[i].name)
		undo = append(undo, drills[i].inject(r))
	}
	r.losePopularSearchers(ctx)
	n := 2 + r.random.IntN(3)
	for range n {
		f := faults[r.random.IntN(len(faults))]
		r.recordFault(f.name)
		undo = append(undo, f.inject(r))
		delay.Sleep(ctx, faultPhase/time.Duration(n))
	}
	for i := len(undo) - 1; i >= 0; i-- {
		undo[i]()
	}
	delay.Sleep(ctx, recoveryPhase)
	r.checkShortages(ctx, r.scarceRandom)
	from := time.Now()
	r.checkGracefulStop(ctx)
	r.checkConfiguration(ctx)
	if r.drillRandom.IntN(2) == 0 {
		r.checkStrandedNode(ctx)
	}
	if r.evacuationRandom.IntN(2) == 0 {
		r.checkEvacuation(ctx)
	}
	endLimits := r.limitSearchers()
	cutAt := time.Now()
	cut := r.loseSearchersUnseen(ctx)
	delay.Sleep(ctx, quietPhase)
	endLimits()
	cut.restoreStoreLink()
	r.recordDisturbance(cut, interval{from: cutAt, to: time.Now()})
	r.mu.Lock()
	r.cutOff = ""
	r.evidence.quiet = append(r.evidence.quiet, interval{from: from, to: time.Now()})
	r.mu.Unlock()
}

// namedLimit is the limit in requests a second that searchers name. It is well below what they get without one.
const namedLimit = 3

// limitSearchers makes some searchers name a limit and returns the function that ends it.
func (r *runner) limitSearchers() (end func()) {
	searchers := r.randomSearchers()
	from := time.Now()
	for _, s := range searchers {
		s.SetLimit(namedLimit)
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, s := range searchers {
			s.SetLimit(0)
			r.evidence.limits = append(r.evidence.limits, limit{searcher: s.ID(), perSecond: namedLimit, during: interval{from: from, to: time.Now()}})
		}
	}
}

const (
	// holdOnset is the time in which the other nodes learn that a node's calls to the store fail.
	holdOnset = 700 * time.Millisecond
	// nextChangeDelay is the time from a departure to a change of the configuration, which ends the watches that were open.
	nextChangeDelay = 1300 * time.Millisecond
)

// loseSearchersUnseen cuts a node off from the store, makes searchers leave and then changes the configuration. It returns the node that
// is cut off; all others must stop using the searchers in time.
func (r *runner) loseSearchersUnseen(ctx context.Context) *process {
	cut := r.randomNode()
	r.mu.Lock()
	r.cutOff = cut.machine.Node
	r.mu.Unlock()
	cut.storeLink.setFault(DropReplies{})
	cut.storeLink.resetLinks()
	delay.Sleep(ctx, holdOnset)
	for _, s := range r.randomSearchers() {
		r.replace(s, r.random.IntN(2) == 0)
	}
	delay.Sleep(ctx, nextChangeDelay)
	r.configure(r.routedService)
	return cut
}

// checkGracefulStop stops a node with SIGTERM and starts it again, both while further signals arrive: no request that it had read may end without an
// answer.
func (r *runner) checkGracefulStop(ctx context.Context) {
	p := r.randomNode()
	from := time.Now()
	r.stopUnderSignals(p)
	defer func() { r.recordDisturbance(p, interval{from: from, to: time.Now().Add(contactTime)}) }()
	ran := make(map[string]bool)
	for _, executed := range r.fleet.runs() {
		ran[executed.ID] = true
	}
	r.mu.Lock()
	for _, s := range r.evidence.exchanges {
		if s.node == p.machine.Node && s.sentAt.After(from) && cutOff(s.err, ran[s.request.ID]) {
			r.evidence.violations = append(r.evidence.violations, Violation{
				Promise: "graceful stop",
				Detail:  fmt.Sprintf("request %s at %s ended without an answer %v after it was sent: %v", s.request.ID, s.node, s.endedAt.Sub(s.sentAt), s.err),
			})
		}
	}
	r.mu.Unlock()
	r.restartUnderSignals(p)
	delay.Sleep(ctx, time.Second)
}

// checkConfiguration sends a request to each node on the route that the latest configuration added: the configuration must be in force
// at every node.
func (r *runner) checkConfiguration(ctx context.Context) {
	r.mu.Lock()
	version, service := r.version, r.routedService
	r.mu.Unlock()
	client := stand.NewClient()
	for _, p := range r.fleet.nodes {
		s := r.randomExchange(r.random, p.machine.Node)
		s.request.Method, s.request.Body, s.nonIdempotent, s.shards = http.MethodGet, "", false, nil
		s.request.Path = fmt.Sprintf("/v%d/%s", version, s.request.ID)
		answered := r.send(client, p.callerAddress(), s)
		if answered.err != nil || answered.answer.Status != http.StatusOK {
			r.addViolation("configuration", "%s answers status %d, error %v, on the route of version %d to service %s", p.machine.Node, answered.answer.Status,
				answered.err, version, service)
		}
	}
}
