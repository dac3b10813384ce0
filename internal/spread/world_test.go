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
	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/plat"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var errConnectionRefused = errors.New("connection refused")

// testPlatform is an in-memory configuration service that keeps all revisions of each value.
type testPlatform struct {
	mu      sync.Mutex
	values  map[string][]plat.Value
	changed chan struct{}
	down    bool
	// onlyRegion is the only region whose nodes are answered. If empty, all are.
	onlyRegion string
	// staleBy is the number of revisions by which served values lag behind.
	staleBy int
	// era counts the restores.
	era uint64
	// calls holds the times of all calls, reads the number of direct reads by key.
	calls []time.Time
	reads map[string]int
}

func newTestPlatform() *testPlatform {
	return &testPlatform{values: make(map[string][]plat.Value), changed: make(chan struct{}), reads: make(map[string]int)}
}

// put publishes the next revision of a key and returns it.
func (p *testPlatform) put(key, text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = append(p.values[key], plat.NewValue(uint64(len(p.values[key])+1), []byte(text)))
	p.notifyWatches()
	return p.inEra(p.values[key][len(p.values[key])-1]).Revision()
}

// inEra returns a value with its revision in the current era. The caller must hold mu.
func (p *testPlatform) inEra(value plat.Value) plat.Value {
	revision, err := epoch.New(p.era, value.Revision())
	if err != nil {
		panic(err)
	}
	return plat.NewValue(uint64(revision), value.Data())
}

// restore begins another era from a copy that lacks the last revisions of a key.
func (p *testPlatform) restore(key string, lost int) {
	p.update(func() {
		p.era++
		p.values[key] = p.values[key][:len(p.values[key])-lost]
	})
}

// remove deletes a key with all its revisions.
func (p *testPlatform) remove(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.values, key)
	p.notifyWatches()
}

// update changes fields of the platform under its lock and notifies waiting watches.
func (p *testPlatform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.notifyWatches()
}

// notifyWatches makes waiting watches look at the values again. The caller must hold mu.
func (p *testPlatform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// get returns the value to serve and a channel that is closed at the next change.
func (p *testPlatform) get(key string) (plat.Value, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return plat.Value{}, p.changed, plat.NewUnavailableError(key, errConnectionRefused)
	}
	revisions := p.values[key]
	if len(revisions) == 0 {
		return plat.Value{}, p.changed, plat.NewUnknownKeyError(key)
	}
	return p.inEra(revisions[max(0, len(revisions)-1-p.staleBy)]), p.changed, nil
}

// count records a call, which is a direct read or a watch.
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
	if !delay.Sleep(ctx, time.Millisecond) {
		return plat.Value{}, plat.NewUnavailableError(key, ctx.Err())
	}
	value, _, err := p.get(key)
	return value, err
}

// Watch implements Source. Like the service, which compares revisions only for equality, it answers at once if its revision is lower.
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

// reachable returns an error while the platform answers only another region.
func (s regionSource) reachable(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onlyRegion != "" && s.onlyRegion != s.region {
		return plat.NewUnavailableError(key, errConnectionRefused)
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

// maxCallsPerSecond returns the greatest number of calls within any interval of one second.
func (p *testPlatform) maxCallsPerSecond() int {
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

// testCluster is an in-memory fleet with a simulated network. Its methods must be called within one synctest bubble.
type testCluster struct {
	t         testing.TB
	platform  *testPlatform
	settings  Settings
	listedVMs []shards.VM

	mu    sync.Mutex
	nodes map[string]*testNode
	// partition holds the network partition of each node by id. Messages between different partitions are lost.
	partition map[string]int
	// lossPercent applies to each message and duplicatePercent to each push.
	lossPercent      int
	duplicatePercent int
	maxDelay         time.Duration
	random           *rand.Rand
	pushes           atomic.Int64
}

// testNode is one process of a node, which may be restarted as a new testNode.
type testNode struct {
	cluster    *testCluster
	id         string
	engine     *Engine
	store      *Store
	view       *member.View
	quarantine *testQuarantine
	registry   metrics.Registry
	log        *logBuffer
	vms        atomic.Pointer[[]shards.VM]
	cancel     context.CancelFunc
	done       chan struct{}
	// first holds the first revision that was in force in this process, by key.
	first sync.Map
}

// logBuffer is an io.Writer for logs that is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// count returns the number of log lines of an event that contain the text.
func (b *logBuffer) count(event wire.Event, text string) int {
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

// newTestCluster returns a cluster of n listed nodes that do not run yet, distributed over the test regions with 2 zones each.
func newTestCluster(t testing.TB, n int) *testCluster {
	c := &testCluster{
		t:         t,
		platform:  newTestPlatform(),
		settings:  Settings{Regions: testRegions, DigestInterval: time.Second, WatchWait: 30 * time.Second, FallbackAfter: 10 * time.Second},
		nodes:     make(map[string]*testNode),
		partition: make(map[string]int),
		maxDelay:  2 * time.Millisecond,
		random:    rand.New(rand.NewPCG(1, uint64(n))),
	}
	for i := range n {
		region := testRegions[i%len(testRegions)]
		zone := fmt.Sprintf("%s-%d", region, i/len(testRegions)%2)
		c.listedVMs = append(c.listedVMs, shards.NewVM(fmt.Sprintf("vm-%d", i), region, zone, "a:1", "a:2"))
	}
	c.publishVMs()
	c.platform.put("plans", "[p]\nrank = urgent\n")
	c.platform.put("uses", "[p/alpha]\nrate = 1\n[p/beta]\nrate = 1\n")
	c.platform.put("index/alpha", "[searcher s1]\naddress = a:1\n")
	c.platform.put("index/beta", "[searcher s1]\naddress = a:1\n")
	return c
}

// publishVMs puts the VM list of each region on the platform.
func (c *testCluster) publishVMs() {
	texts := make(map[string]*strings.Builder)
	for _, region := range testRegions {
		texts[region] = &strings.Builder{}
	}
	for _, vm := range c.listedVMs {
		fmt.Fprintf(texts[vm.Region()], "[%s]\nkind = entry\naddress = %s\npeer_address = %s\nregion = %s\navailability_zone = %s\n",
			vm.ID(), vm.Address(), vm.PeerAddress(), vm.Region(), vm.AvailabilityZone())
	}
	for region, text := range texts {
		c.platform.put(shards.VMsPrefix+region, text.String())
	}
}

// incarnations is the last incarnation given to a process.
var incarnations atomic.Uint64

// parsedVMs caches the results of parseVMs by hash of the document, since all nodes of a cluster parse the same lists.
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

// validateTest rejects invalid VM lists and documents with a section whose body contains invalidBody.
func validateTest(key string, revision uint64, sections map[string]string) error {
	if strings.HasPrefix(key, shards.VMsPrefix) {
		_, err := parseVMs(NewDocument(key, revision, sections))
		return err
	}
	for name, body := range sections {
		if strings.Contains(body, invalidBody) {
			return conf.Faults{conf.NewFault(key, name, "rank", "is bad")}
		}
	}
	return nil
}

// start starts a new process on the listed VM with the given index.
func (c *testCluster) start(i int) *testNode {
	vm := c.listedVMs[i]
	n := &testNode{cluster: c, id: vm.ID(), store: NewStore(validateTest), registry: metrics.NewRegistry(), log: &logBuffer{},
		done: make(chan struct{}), quarantine: &testQuarantine{fingerprints: make(map[uint64]bool)}}
	log, err := events.New(n.log, "info")
	if err != nil {
		c.t.Fatal(err)
	}
	self := member.NewNode(vm.ID(), incarnations.Add(1))
	n.view = member.New(self, member.Settings{})
	n.vms.Store(&[]shards.VM{})
	settings := c.settings
	settings.Region = vm.Region()
	n.engine = NewEngine(settings, Dependencies{
		Self: self, Store: n.store, Source: regionSource{testPlatform: c.platform, region: vm.Region()}, Peers: n,
		Quarantine: n.quarantine, Membership: n.view, Log: log, Clock: time.Now, Registry: n.registry,
		VMs: func() []shards.VM { return *n.vms.Load() },
	})
	n.store.Subscribe(n.documentInForce)
	ctx, cancel := context.WithCancel(c.t.Context())
	n.cancel = cancel
	c.mu.Lock()
	c.nodes[n.id] = n
	c.mu.Unlock()
	go func() {
		defer close(n.done)
		n.engine.Run(ctx)
	}()
	return n
}

func (c *testCluster) startAll() {
	for i := range c.listedVMs {
		c.start(i)
	}
}

// stop ends a process and waits until its engine has returned.
func (c *testCluster) stop(id string) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	n.cancel()
	<-n.done
}

func (c *testCluster) stopAll() {
	for _, n := range c.running() {
		c.stop(n.id)
	}
}

// running returns the running nodes in the order of the VM list.
func (c *testCluster) running() []*testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []*testNode
	for _, vm := range c.listedVMs {
		if n, ok := c.nodes[vm.ID()]; ok {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (c *testCluster) node(i int) *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.listedVMs[i].ID()]
}

// setPartition moves a node to a network partition. All nodes begin in partition 0.
func (c *testCluster) setPartition(i, partition int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partition[c.listedVMs[i].ID()] = partition
}

// waitReady waits until all running nodes are ready, and fails the test if the limit passes.
func (c *testCluster) waitReady(limit time.Duration) {
	c.t.Helper()
	c.waitFor(limit, "all nodes are ready", func(n *testNode) bool { return n.engine.Ready() })
}

// waitRevision waits until all running nodes have exactly the given revision in force, and returns how long it took.
func (c *testCluster) waitRevision(limit time.Duration, key string, revision uint64) time.Duration {
	c.t.Helper()
	return c.waitFor(limit, fmt.Sprintf("%s is at %d", key, revision), func(n *testNode) bool { return n.store.Get(key).Revision() == revision })
}

// pollInterval is the resolution of the durations that waitFor measures.
const pollInterval = 10 * time.Millisecond

// waitFor waits until the condition holds on all running nodes, and returns how long it took. If the limit passes, it fails the test.
func (c *testCluster) waitFor(limit time.Duration, want string, condition func(*testNode) bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for {
		var waiting []string
		for _, n := range c.running() {
			if !condition(n) {
				waiting = append(waiting, n.id)
			}
		}
		if len(waiting) == 0 {
			return time.Since(started)
		}
		if time.Since(started) >= limit {
			c.t.Errorf("after %v: want that %s; this does not hold on %v", limit, want, waiting)
			return limit
		}
		time.Sleep(pollInterval)
	}
}

// documentInForce records the first revision of each document and updates the VM list of the node. It fails the test if a VM list in force
// is invalid.
func (n *testNode) documentInForce(d *Document) {
	n.first.LoadOrStore(d.Key(), d.Revision())
	if !strings.HasPrefix(d.Key(), shards.VMsPrefix) {
		return
	}
	var all []shards.VM
	for _, region := range testRegions {
		if d := n.store.Get(shards.VMsPrefix + region); d != nil {
			vms, err := parseVMs(d)
			if err != nil {
				n.cluster.t.Errorf("invalid VM list in force: %v", err)
			}
			all = append(all, vms...)
		}
	}
	n.vms.Store(&all)
	n.view.SetVMs(time.Now(), all)
}

// firstRevision returns the first revision of a document that was in force in this process, or 0.
func (n *testNode) firstRevision(key string) uint64 {
	revision, _ := n.first.Load(key)
	first, _ := revision.(uint64)
	return first
}

// route simulates the delivery of a message: after a random delay it returns the process that receives it, or the error of the call. A lost
// message blocks until ctx is done.
func (n *testNode) route(ctx context.Context, to shards.VM) (*testNode, error) {
	c := n.cluster
	c.mu.Lock()
	target, running := c.nodes[to.ID()]
	lost := c.partition[n.id] != c.partition[to.ID()] || c.random.IntN(100) < c.lossPercent
	latency := time.Duration(c.random.Int64N(int64(c.maxDelay)))
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !delay.Sleep(ctx, latency) {
		return nil, ctx.Err()
	}
	if !running {
		return nil, errConnectionRefused
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
	_, err = target.route(ctx, n.listedVM())
	return reply, err
}

// Push implements Peers.
func (n *testNode) Push(ctx context.Context, to shards.VM, push *wire.Push) error {
	n.cluster.pushes.Add(1)
	target, err := n.route(ctx, to)
	if err != nil {
		return err
	}
	target.engine.HandlePush(time.Now(), n.id, proto.CloneOf(push))
	n.cluster.mu.Lock()
	duplicate := n.cluster.random.IntN(100) < n.cluster.duplicatePercent
	n.cluster.mu.Unlock()
	if duplicate {
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
	_, err = target.route(ctx, n.listedVM())
	return reply, err
}

// listedVM returns the entry of this node in the VM list.
func (n *testNode) listedVM() shards.VM {
	i := slices.IndexFunc(n.cluster.listedVMs, func(vm shards.VM) bool { return vm.ID() == n.id })
	return n.cluster.listedVMs[i]
}

// bytesOut returns the number of bytes that the node sent to peers, in requests and replies.
func (n *testNode) bytesOut() int64 {
	total := int64(0)
	for _, kind := range []string{"digest", "push", "pull", "served_digest", "served_push", "served_pull"} {
		total += metrics.GetOrRegisterCounter("spread."+kind+".bytes_out", n.registry).Count()
	}
	return total
}
