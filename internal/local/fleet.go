// Package local runs several nodes in one process on loopback for the demo, the load tool and tests.
package local

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/node"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// loopback is a loopback address with a port chosen by the operating system.
const loopback = "127.0.0.1:0"

// Options configure the nodes of a fleet.
type Options struct {
	// Logger receives the events of all nodes; nil discards them.
	Logger *events.Logger
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// AdjustSettings modifies the derived settings of each node; nil leaves them unchanged.
	AdjustSettings func(*wire.Settings)
	// ZoneDelay and RegionDelay are the one-way latencies between nodes in different availability zones and regions.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// EmulateNetwork connects the nodes through a Network even without latency, so that a test can partition it.
	EmulateNetwork bool
	// WrapSocket wraps the UDP socket of each node, for example to count its packets; nil leaves it unwrapped.
	WrapSocket func(net.PacketConn) net.PacketConn
	// Policies are passed to each node.
	Policies node.Policies
}

// Fleet is a set of nodes in this process that serve the searchers of a fakes.Fleet.
type Fleet struct {
	searchers *fakes.Fleet
	options   Options
	network   *Network

	mu    sync.Mutex
	nodes map[string]*Node
	order []string
}

// Node is a running node.
type Node struct {
	node         *node.Node
	vm           shards.VM
	adminAddress string
	stop         context.CancelFunc
	kill         context.CancelFunc
	tasks        conc.WaitGroup
	// interrupted is the number of requests that the shutdown interrupted. It is set before tasks is done.
	interrupted int
}

// VM returns the node's entry in the VM list.
func (n *Node) VM() shards.VM { return n.vm }

// AdminAddress returns the address of the administration listener.
func (n *Node) AdminAddress() string { return n.adminAddress }

// Node returns the underlying node.
func (n *Node) Node() *node.Node { return n.node }

// New returns a fleet without nodes.
func New(searchers *fakes.Fleet, options Options) *Fleet {
	if options.Logger == nil {
		options.Logger = events.Discard()
	}
	if options.Clock == nil {
		options.Clock = time.Now
	}
	f := &Fleet{searchers: searchers, options: options, nodes: make(map[string]*Node)}
	if options.EmulateNetwork || options.ZoneDelay > 0 || options.RegionDelay > 0 {
		f.network = NewNetwork()
	}
	return f
}

// Network returns the emulated network between the nodes, or nil if there is none.
func (f *Fleet) Network() *Network { return f.network }

// Searchers returns the fake configuration service and searchers that the nodes use.
func (f *Fleet) Searchers() *fakes.Fleet { return f.searchers }

// StartPerRegion starts count nodes in each region, distributed round-robin over its availability zones, and waits until all are ready
// or ctx ends.
func (f *Fleet) StartPerRegion(ctx context.Context, count int) error {
	for _, region := range f.searchers.Settings().Regions() {
		zones := region.AvailabilityZones()
		for i := range count {
			id := fmt.Sprintf("%s-%d", region.Name(), i+1)
			if err := f.Start(id, region.Name(), zones[i%len(zones)]); err != nil {
				return err
			}
		}
	}
	return f.WaitReady(ctx)
}

// Start starts a node and publishes its entry in the VM list.
func (f *Fleet) Start(id, region, zone string) error {
	var listeners node.Listeners
	var err error
	if listeners, err = listen(); err != nil {
		return err
	}
	vm := shards.NewVM(id, region, zone, listeners.Callers.Addr().String(), listeners.Peers.LocalAddr().String())
	admin := listeners.Admin.Addr().String()
	if f.options.WrapSocket != nil {
		listeners.Peers = f.options.WrapSocket(listeners.Peers)
	}
	f.attachNetwork(vm, &listeners)
	var settings *wire.Settings
	if settings, err = f.settings(vm, admin); err != nil {
		return err
	}
	if err = f.searchers.AddNode(vm); err != nil {
		return err
	}
	started := &Node{vm: vm, adminAddress: admin}
	if started.node, err = node.NewWithPolicies(settings, listeners, f.options.Policies, f.options.Logger, f.options.Clock); err != nil {
		return err
	}
	var stop, kill context.Context
	stop, started.stop = context.WithCancel(context.Background())
	kill, started.kill = context.WithCancel(context.Background())
	started.tasks.Go(func() {
		// The node logs the error of a part that ended.
		started.interrupted, _ = started.node.Run(stop, kill)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.order, id) {
		f.order = append(f.order, id)
	}
	f.nodes[id] = started
	return nil
}

func listen() (node.Listeners, error) {
	return node.Listen(wire.Settings_builder{Node: wire.NodeSettings_builder{
		CallerAddress: loopback,
		PeerAddress:   loopback,
		AdminAddress:  loopback,
	}.Build()}.Build())
}

// attachNetwork wraps a node's socket in the emulated network and sets the latencies to and from all running nodes.
func (f *Fleet) attachNetwork(vm shards.VM, listeners *node.Listeners) {
	if f.network == nil {
		return
	}
	listeners.Peers = f.network.wrapSocket(vm.ID(), listeners.Peers)
	for _, other := range f.Nodes() {
		rule := LinkRule{Delay: f.delay(vm, other.vm)}
		f.network.SetRule(vm.ID(), other.vm.ID(), rule)
		f.network.SetRule(other.vm.ID(), vm.ID(), rule)
	}
}

func (f *Fleet) delay(a, b shards.VM) time.Duration {
	switch {
	case a.Region() != b.Region():
		return f.options.RegionDelay
	case a.AvailabilityZone() != b.AvailabilityZone():
		return f.options.ZoneDelay
	default:
		return 0
	}
}

// settings returns the derived settings of a node, with defaults for everything else.
func (f *Fleet) settings(vm shards.VM, admin string) (*wire.Settings, error) {
	var regions []string
	for _, region := range f.searchers.Settings().Regions() {
		regions = append(regions, region.Name())
	}
	text := fmt.Sprintf(`[node]
id = %s
region = %s
availability_zone = %s
regions = %s
caller_address = %s
peer_address = %s
admin_address = %s
[platform]
address = %s
start_spread = 0s
[peers]
development_keys = true
`, vm.ID(), vm.Region(), vm.AvailabilityZone(), strings.Join(regions, ", "), vm.Address(), vm.PeerAddress(), admin, f.searchers.Platform().Address())
	var settings *wire.Settings
	var err error
	if settings, err = conf.Load(vm.ID(), []byte(text)); err != nil {
		return nil, err
	}
	if f.options.AdjustSettings != nil {
		f.options.AdjustSettings(settings)
	}
	return settings, nil
}

// Nodes returns the running nodes in the order in which their ids were first started.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Node
	for _, id := range f.order {
		if n, ok := f.nodes[id]; ok {
			all = append(all, n)
		}
	}
	return all
}

// Node returns the running node with an id, or nil.
func (f *Fleet) Node(id string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

// Addresses returns the caller addresses of all running nodes.
func (f *Fleet) Addresses() []string {
	var all []string
	for _, n := range f.Nodes() {
		all = append(all, n.vm.Address())
	}
	return all
}

// pollInterval is the interval at which Wait evaluates its condition.
const pollInterval = 10 * time.Millisecond

// WaitReady waits until all nodes are ready, or returns an error when ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return Wait(ctx, func() bool {
		for _, n := range f.Nodes() {
			if !n.node.Ready() {
				return false
			}
		}
		return true
	})
}

// Wait waits until the condition holds, or returns an error when ctx ends first.
func Wait(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for condition")
		case <-ticker.C:
		}
	}
	return nil
}

// Stop shuts down a node gracefully and returns the number of requests that were interrupted.
func (f *Fleet) Stop(id string) int { return f.shutdown(id, func(n *Node) { n.stop() }) }

// Kill stops a node without a graceful shutdown. Its entry remains in the VM list, as after a failure.
func (f *Fleet) Kill(id string) {
	f.shutdown(id, func(n *Node) {
		n.stop()
		n.kill()
	})
}

func (f *Fleet) shutdown(id string, signal func(*Node)) int {
	n := f.Node(id)
	if n == nil {
		return 0
	}
	signal(n)
	n.tasks.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[id] == n {
		delete(f.nodes, id)
	}
	return n.interrupted
}

// Close kills all nodes.
func (f *Fleet) Close() {
	var tasks conc.WaitGroup
	for _, n := range f.Nodes() {
		tasks.Go(func() { f.Kill(n.vm.ID()) })
	}
	tasks.Wait()
}
