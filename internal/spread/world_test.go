package spread

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/plat"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var errDown = errors.New("connection refused")

// testPlatform is an in-memory configuration service that keeps all revisions.
type testPlatform struct {
	mu      sync.Mutex
	values  map[string][]plat.Value
	changed chan struct{}
	down    bool
	// onlyRegion is the one region that is answered; empty means all.
	onlyRegion string
	// staleBy is the number of revisions by which served values are behind.
	staleBy int
	calls   []time.Time
	reads   map[string]int
}

func newTestPlatform() *testPlatform {
	return &testPlatform{values: make(map[string][]plat.Value), changed: make(chan struct{}), reads: make(map[string]int)}
}

// put publishes the next revision of a key and returns it.
func (p *testPlatform) put(key, text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := uint64(len(p.values[key]) + 1)
	p.values[key] = append(p.values[key], plat.NewValue(revision, []byte(text)))
	p.wake()
	return revision
}

func (p *testPlatform) remove(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.values, key)
	p.wake()
}

func (p *testPlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.wake()
}

func (p *testPlatform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// get returns the served value and a channel that closes at the next change.
func (p *testPlatform) get(key string) (plat.Value, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return plat.Value{}, p.changed, plat.NewUnavailableError(key, errDown)
	}
	revisions := p.values[key]
	if len(revisions) == 0 {
		return plat.Value{}, p.changed, plat.NewUnknownKeyError(key)
	}
	return revisions[max(0, len(revisions)-1-p.staleBy)], p.changed, nil
}

func (p *testPlatform) count(key string, read bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, time.Now())
	if read {
		p.reads[key]++
	}
}

// Read implements Source.
func (p *testPlatform) Read(ctx context.Context, key string) (plat.Value, error) {
	p.count(key, true)
	if !delay.For(ctx, time.Millisecond) {
		return plat.Value{}, plat.NewUnavailableError(key, ctx.Err())
	}
	value, _, err := p.get(key)
	return value, err
}

// Watch implements Source. Like a service that compares for difference, it answers at once when its revision is lower.
func (p *testPlatform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (plat.Value, bool, error) {
	p.count(key, false)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		value, changed, err := p.get(key)
		if err != nil || value.Revision() != after {
			return value, err == nil, err
		}
		select {
		case <-ctx.Done():
			return plat.Value{}, false, plat.NewUnavailableError(key, ctx.Err())
		case <-timeout.C:
			return plat.Value{}, false, nil
		case <-changed:
		}
	}
}

// regionSource is the platform as the nodes of one region see it.
type regionSource struct {
	*testPlatform
	region string
}

// reachable returns an error while the platform answers other regions only.
func (s regionSource) reachable(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onlyRegion != "" && s.onlyRegion != s.region {
		return plat.NewUnavailableError(key, errDown)
	}
	return nil
}

// Read implements Source.
func (s regionSource) Read(ctx context.Context, key string) (plat.Value, error) {
	if err := s.reachable(key); err != nil {
		return plat.Value{}, err
	}
	return s.testPlatform.Read(ctx, key)
}

// Watch implements Source.
func (s regionSource) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (plat.Value, bool, error) {
	if err := s.reachable(key); err != nil {
		return plat.Value{}, false, err
	}
	value, changed, err := s.testPlatform.Watch(ctx, key, after, wait)
	if lost := s.reachable(key); lost != nil {
		return plat.Value{}, false, lost
	}
	return value, changed, err
}

// totalCalls returns the number of calls so far.
func (p *testPlatform) totalCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls)
}

// busiest returns the greatest number of calls within any second.
func (p *testPlatform) busiest() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := slices.Clone(p.calls)
	slices.SortFunc(calls, func(a, b time.Time) int { return a.Compare(b) })
	most, first := 0, 0
	for last, at := range calls {
		for at.Sub(calls[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// world is a fleet in memory. Its methods must be called within one synctest bubble.
type world struct {
	t        testing.TB
	platform *testPlatform
	settings Settings
	list     []shards.VM

	mu    sync.Mutex
	nodes map[string]*testNode
	// side splits the network: nodes of different sides do not hear one another.
	side map[string]int
	// lossPercent and duplicatePercent apply to each message.
	lossPercent      int
	duplicatePercent int
	maxDelay         time.Duration
	random           *rand.Rand
	pushes           atomic.Int64
}

// testNode is one running process.
type testNode struct {
	world    *world
	id       string
	engine   *Engine
	store    *Store
	view     *member.View
	marks    *testMarks
	registry metrics.Registry
	log      *lockedBuffer
	vms      atomic.Pointer[[]shards.VM]
	cancel   context.CancelFunc
	done     chan struct{}
	// first holds the first revision in force by key.
	first sync.Map
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) count(event wire.Event, text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.buffer.String()) {
		if strings.Contains(line, fmt.Sprintf(`"event":%d`, event)) && strings.Contains(line, text) {
			n++
		}
	}
	return n
}

var testRegions = []string{"north", "south", "west"}

// newWorld returns a fleet of n listed nodes that do not run yet, spread over regions of 2 zones each.
func newWorld(t testing.TB, n int) *world {
	w := &world{
		t:        t,
		platform: newTestPlatform(),
		settings: Settings{Regions: testRegions, DigestInterval: time.Second, WatchWait: 30 * time.Second, FallbackAfter: 10 * time.Second},
		nodes:    make(map[string]*testNode),
		side:     make(map[string]int),
		maxDelay: 2 * time.Millisecond,
		random:   rand.New(rand.NewPCG(1, uint64(n))),
	}
	for i := range n {
		region := testRegions[i%len(testRegions)]
		zone := fmt.Sprintf("%s-%d", region, i/len(testRegions)%2)
		w.list = append(w.list, shards.NewVM(fmt.Sprintf("vm-%d", i), region, zone, "a:1", "a:2"))
	}
	w.publishVMs()
	w.platform.put("plans", "[p]\nrank = urgent\n")
	w.platform.put("uses", "[p/alpha]\nrate = 1\n[p/beta]\nrate = 1\n")
	w.platform.put("index/alpha", "[searcher s1]\naddress = a:1\n")
	w.platform.put("index/beta", "[searcher s1]\naddress = a:1\n")
	return w
}

func (w *world) publishVMs() {
	texts := make(map[string]*strings.Builder)
	for _, region := range testRegions {
		texts[region] = &strings.Builder{}
	}
	for _, vm := range w.list {
		fmt.Fprintf(texts[vm.Region()], "[%s]\nkind = entry\naddress = %s\npeer_address = %s\nregion = %s\navailability_zone = %s\n",
			vm.ID(), vm.Address(), vm.PeerAddress(), vm.Region(), vm.AvailabilityZone())
	}
	for region, text := range texts {
		w.platform.put(shards.VMsPrefix+region, text.String())
	}
}

var incarnations atomic.Uint64

// parsedVMs holds the results of parseVMs by hash of the document, since all nodes of a world parse the same lists.
var parsedVMs sync.Map

func parseVMs(d *Document) ([]shards.VM, error) {
	if vms, ok := parsedVMs.Load(d.Hash()); ok {
		return vms.([]shards.VM), nil
	}
	vms, err := shards.ParseVMs(d.Key(), d.Sections())
	if err == nil {
		parsedVMs.Store(d.Hash(), vms)
	}
	return vms, err
}

func validateTest(key string, revision uint64, sections map[string]string) error {
	if strings.HasPrefix(key, shards.VMsPrefix) {
		_, err := parseVMs(NewDocument(key, revision, sections))
		return err
	}
	for name, body := range sections {
		if strings.Contains(body, badBody) {
			return conf.Faults{conf.NewFault(key, name, "rank", "is bad")}
		}
	}
	return nil
}

// start runs a new process on a listed VM.
func (w *world) start(i int) *testNode {
	vm := w.list[i]
	n := &testNode{world: w, id: vm.ID(), store: NewStore(validateTest), registry: metrics.NewRegistry(), log: &lockedBuffer{}, done: make(chan struct{}),
		marks: &testMarks{set: make(map[uint64]bool)}}
	log, err := events.New(n.log, "info")
	if err != nil {
		w.t.Fatal(err)
	}
	self := member.NewNode(vm.ID(), incarnations.Add(1))
	n.view = member.New(self, member.Settings{})
	n.vms.Store(&[]shards.VM{})
	settings := w.settings
	settings.Region = vm.Region()
	n.engine = NewEngine(settings, Dependencies{
		Self: self, Store: n.store, Source: regionSource{testPlatform: w.platform, region: vm.Region()}, Peers: n, Quarantine: n.marks, Membership: n.view, Log: log, Clock: time.Now, Registry: n.registry,
		VMs: func() []shards.VM { return *n.vms.Load() },
	})
	n.store.Subscribe(n.inForce)
	ctx, cancel := context.WithCancel(w.t.Context())
	n.cancel = cancel
	w.mu.Lock()
	w.nodes[n.id] = n
	w.mu.Unlock()
	go func() {
		defer close(n.done)
		n.engine.Run(ctx)
	}()
	return n
}

func (w *world) startAll() {
	for i := range w.list {
		w.start(i)
	}
}

// stop ends a process and waits until its goroutines ended.
func (w *world) stop(id string) {
	w.mu.Lock()
	n := w.nodes[id]
	delete(w.nodes, id)
	w.mu.Unlock()
	n.cancel()
	<-n.done
}

func (w *world) stopAll() {
	for _, n := range w.running() {
		w.stop(n.id)
	}
}

// running returns the nodes in the order of the list.
func (w *world) running() []*testNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	var nodes []*testNode
	for _, vm := range w.list {
		if n, ok := w.nodes[vm.ID()]; ok {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (w *world) node(i int) *testNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[w.list[i].ID()]
}

func (w *world) split(i, side int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.side[w.list[i].ID()] = side
}

// awaitReady waits until all running nodes are ready.
func (w *world) awaitReady(limit time.Duration) {
	w.t.Helper()
	w.await(limit, "all nodes are ready", func(n *testNode) bool { return n.engine.Ready() })
}

// awaitRevision waits until all running nodes have a revision in force, and returns how long it took.
func (w *world) awaitRevision(limit time.Duration, key string, revision uint64) time.Duration {
	w.t.Helper()
	return w.await(limit, fmt.Sprintf("%s is at %d", key, revision), func(n *testNode) bool { return n.store.Get(key).Revision() == revision })
}

// pollInterval is the resolution of the times that await measures.
const pollInterval = 10 * time.Millisecond

func (w *world) await(limit time.Duration, what string, holds func(*testNode) bool) time.Duration {
	w.t.Helper()
	begun := time.Now()
	for {
		var waiting []string
		for _, n := range w.running() {
			if !holds(n) {
				waiting = append(waiting, n.id)
			}
		}
		if len(waiting) == 0 {
			return time.Since(begun)
		}
		if time.Since(begun) >= limit {
			w.t.Errorf("after %v: want that %s; not at %v", limit, what, waiting)
			return limit
		}
		time.Sleep(pollInterval)
	}
}

// inForce keeps the VM list and checks that revisions only go up.
func (n *testNode) inForce(d *Document) {
	n.first.LoadOrStore(d.Key(), d.Revision())
	if !strings.HasPrefix(d.Key(), shards.VMsPrefix) {
		return
	}
	var all []shards.VM
	for _, region := range testRegions {
		if d := n.store.Get(shards.VMsPrefix + region); d != nil {
			vms, err := parseVMs(d)
			if err != nil {
				n.world.t.Errorf("invalid list in force: %v", err)
			}
			all = append(all, vms...)
		}
	}
	n.vms.Store(&all)
	n.view.SetVMs(time.Now(), all)
}

func (n *testNode) firstRevision(key string) uint64 {
	revision, _ := n.first.Load(key)
	first, _ := revision.(uint64)
	return first
}

// route returns the process that a message reaches, after its delay, or the error of the call.
func (n *testNode) route(ctx context.Context, to shards.VM) (*testNode, error) {
	w := n.world
	w.mu.Lock()
	target, running := w.nodes[to.ID()]
	lost := w.side[n.id] != w.side[to.ID()] || w.random.IntN(100) < w.lossPercent
	lag := time.Duration(w.random.Int64N(int64(w.maxDelay)))
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !delay.For(ctx, lag) {
		return nil, ctx.Err()
	}
	if !running {
		return nil, errDown
	}
	return target, nil
}

// Digest implements Peers.
func (n *testNode) Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error) {
	target, err := n.route(ctx, to)
	if err != nil {
		return nil, err
	}
	reply := proto.CloneOf(target.engine.HandleDigest(time.Now(), proto.CloneOf(digest)))
	_, err = target.route(ctx, n.listed())
	return reply, err
}

// Push implements Peers.
func (n *testNode) Push(ctx context.Context, to shards.VM, push *wire.Push) error {
	n.world.pushes.Add(1)
	target, err := n.route(ctx, to)
	if err != nil {
		return err
	}
	target.engine.HandlePush(time.Now(), n.id, proto.CloneOf(push))
	n.world.mu.Lock()
	twice := n.world.random.IntN(100) < n.world.duplicatePercent
	n.world.mu.Unlock()
	if twice {
		target.engine.HandlePush(time.Now(), n.id, proto.CloneOf(push))
	}
	return nil
}

// Pull implements Peers.
func (n *testNode) Pull(ctx context.Context, to shards.VM, pull *wire.Pull) (*wire.Push, error) {
	target, err := n.route(ctx, to)
	if err != nil {
		return nil, err
	}
	reply := proto.CloneOf(target.engine.HandlePull(time.Now(), proto.CloneOf(pull)))
	_, err = target.route(ctx, n.listed())
	return reply, err
}

func (n *testNode) listed() shards.VM {
	i := slices.IndexFunc(n.world.list, func(vm shards.VM) bool { return vm.ID() == n.id })
	return n.world.list[i]
}

// bytesOut returns the bytes that the node sent to peers, as requests and as answers.
func (n *testNode) bytesOut() int64 {
	total := int64(0)
	for _, kind := range []string{"digest", "push", "pull", "served_digest", "served_push", "served_pull"} {
		total += metrics.GetOrRegisterCounter("spread."+kind+".bytes_out", n.registry).Count()
	}
	return total
}
