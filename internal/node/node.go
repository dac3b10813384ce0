// Package node assembles a node from its components and runs it from startup to graceful shutdown.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/accept"
	"github.com/fireflylanding/fireflylanding/internal/admit"
	"github.com/fireflylanding/fireflylanding/internal/certs"
	"github.com/fireflylanding/fireflylanding/internal/entry"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/front"
	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/hedge"
	"github.com/fireflylanding/fireflylanding/internal/lookup"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/owner"
	"github.com/fireflylanding/fireflylanding/internal/parts"
	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/picker"
	"github.com/fireflylanding/fireflylanding/internal/plat"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/retry"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/spread"
	"github.com/fireflylanding/fireflylanding/internal/status"
	"github.com/fireflylanding/fireflylanding/internal/token"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wake"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// initialRetryBudget is the number of retries that a node may send before its first attempts have accumulated a retry budget. It
// lets a node with little traffic retry.
const initialRetryBudget = 10

// tokenKeyBytes is the length of the MAC key of request tokens.
const tokenKeyBytes = 32

// Listeners are the sockets of a node.
type Listeners struct {
	Callers net.Listener
	Admin   net.Listener
	Peers   net.PacketConn
}

// Listen opens sockets on the addresses in the settings.
func Listen(settings *wire.Settings) (Listeners, error) {
	var l Listeners
	var err error
	if l.Callers, err = net.Listen("tcp", settings.GetNode().GetCallerAddress()); err != nil {
		return Listeners{}, errors.Wrap(err, "node.caller_address")
	}
	if l.Admin, err = net.Listen("tcp", settings.GetNode().GetAdminAddress()); err != nil {
		return Listeners{}, errors.Wrap(err, "node.admin_address")
	}
	if l.Peers, err = net.ListenPacket("udp", settings.GetNode().GetPeerAddress()); err != nil {
		return Listeners{}, errors.Wrap(err, "node.peer_address")
	}
	return l, nil
}

// Node is one node of the query tier.
type Node struct {
	self        shards.VM
	incarnation uint64
	settings    *wire.Settings
	listeners   Listeners
	logger      *events.Logger
	clock       func() time.Time
	started     time.Time
	registry    metrics.Registry
	counters    *reason.Counters

	phase     phase
	view      atomic.Pointer[view.Snapshot]
	builder   *view.Builder
	members   *member.View
	detector  *wake.Detector
	source    *plat.Client
	store     *spread.Store
	engine    *spread.Engine
	transport *peer.Transport
	owner     *owner.Owner
	admission *admit.Admission
	entry     *entry.Entry
	directory *lookup.Directory
	guard     *guard.Guard
	front     *front.Server
	status    *status.Server
	// dirty holds an element while documents have changed since the view was built.
	dirty chan struct{}
	// loggedMembers is the membership that logMembership compared last. Only maintain uses it.
	loggedMembers *member.Members
	// resumedAt is when the last pause was detected. Only maintain uses it.
	resumedAt time.Time
	// tickedAt is the Unix time in nanoseconds of the last tick of maintain, or 0 before the first.
	tickedAt atomic.Int64
	// refreshed is set when a peer has answered since the last pause.
	refreshed atomic.Bool
	// peerRequests is the number of batches and forwarded requests of other nodes that are not completely answered.
	peerRequests atomic.Int64
	tasks        conc.WaitGroup
}

// Policies are the settings of admission, hedging, retries, quarantine, replica choice and the owner. The zero value selects all
// defaults. Benchmarks change them to compare variants.
type Policies struct {
	Admission  admit.Settings
	Hedge      hedge.Settings
	Retry      retry.Settings
	Quarantine quar.Settings
	Picker     picker.Settings
	Owner      owner.Settings
}

// New returns a node with the default policies. Run starts it.
func New(settings *wire.Settings, listeners Listeners, logger *events.Logger, clock func() time.Time) (*Node, error) {
	return NewWithPolicies(settings, listeners, Policies{}, logger, clock)
}

// NewWithPolicies returns a node with the given policies. Run starts it.
func NewWithPolicies(settings *wire.Settings, listeners Listeners, policies Policies, logger *events.Logger,
	clock func() time.Time) (*Node, error) {
	n := &Node{
		settings:    settings,
		listeners:   listeners,
		clock:       clock,
		started:     clock(),
		incarnation: randomUint64(),
		registry:    metrics.NewRegistry(),
		dirty:       make(chan struct{}, 1),
	}
	s := settings.GetNode()
	n.self = shards.NewVM(s.GetId(), s.GetRegion(), s.GetAvailabilityZone(), s.GetCallerAddress(), s.GetPeerAddress())
	n.logger = logger.With(zap.String("node", n.self.ID()))
	n.counters = reason.NewCounters(n.registry, "reasons")
	n.listeners.Callers = accept.New(listeners.Callers, "callers", n.logger, n.registry, clock)
	n.listeners.Admin = accept.New(listeners.Admin, "administration", n.logger, n.registry, clock)
	n.view.Store(view.Empty())
	n.members = member.New(member.NewNode(n.self.ID(), n.incarnation), member.Settings{})
	n.detector = wake.New(wake.Settings{TickInterval: tickInterval})
	if err := n.buildTransport(); err != nil {
		return nil, err
	}
	quarantine := quar.New(policies.Quarantine)
	n.buildSpread(quarantine)
	n.buildComponents(policies, quarantine)
	return n, nil
}

func randomUint64() uint64 {
	var bytes [8]byte
	// crypto/rand documents that Read never returns an error.
	_, _ = crand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:])
}

func (n *Node) buildTransport() error {
	var credentials *certs.Credentials
	var err error
	if credentials, err = n.credentials(); err != nil {
		return err
	}
	n.transport, err = peer.New(n.listeners.Peers, credentials.ServerConfig(), credentials.ClientConfig(), n.logger, n.registry)
	return err
}

func (n *Node) credentials() (*certs.Credentials, error) {
	p := n.settings.GetPeers()
	if p.GetDevelopmentKeys() {
		return certs.NewDevelopment(n.logger, n.clock)
	}
	return certs.Load(p.GetCertFile(), p.GetKeyFile(), p.GetCaFile(), n.logger, n.clock)
}

// buildSpread creates the document store and the engine that keeps it up to date.
func (n *Node) buildSpread(quarantine *quar.Table) {
	s := n.settings
	n.builder = view.NewBuilder(s.GetNode().GetRegions())
	n.store = spread.NewStore(n.builder.Validate)
	n.store.Subscribe(func(*spread.Document) { n.markDirty() })
	n.source = plat.New(s.GetPlatform().GetAddress())
	n.engine = spread.NewEngine(spread.Settings{
		Region:         n.self.Region(),
		Regions:        s.GetNode().GetRegions(),
		DigestInterval: s.GetPeers().GetDigestInterval().AsDuration(),
		WatchWait:      s.GetPlatform().GetWatchWait().AsDuration(),
		FallbackAfter:  s.GetPlatform().GetFallbackAfter().AsDuration(),
		StartSpread:    s.GetPlatform().GetStartSpread().AsDuration(),
	}, spread.Dependencies{
		Self:       member.NewNode(n.self.ID(), n.incarnation),
		Store:      n.store,
		Source:     n.source,
		Peers:      &peerClient{Transport: n.transport, self: n.self.ID()},
		VMs:        func() []shards.VM { return n.view.Load().VMs() },
		Quarantine: quarantineTable{Table: quarantine, clock: n.clock},
		Membership: n.members,
		Log:        n.logger,
		Clock:      n.clock,
		Registry:   n.registry,
	})
}

// buildComponents creates the components that serve requests: the owner, the entry, the directory and the HTTP servers.
func (n *Node) buildComponents(p Policies, quarantine *quar.Table) {
	key := make([]byte, tokenKeyBytes)
	_, _ = crand.Read(key)
	issuer := token.New(n.self.PeerAddress(), n.incarnation, key)
	limits := n.settings.GetLimits()
	n.owner = owner.New(n.self.ID(), n.view.Load, p.Owner, n.clock, n.logger, n.counters, n.registry)
	p.Admission.MaxInFlight = int(limits.GetMaxInFlight())
	if p.Retry.InitialBudget == 0 {
		p.Retry.InitialBudget = initialRetryBudget
	}
	n.admission = admit.New(p.Admission)
	policies := entry.Policies{
		Admission:  n.admission,
		Hedger:     hedge.New(p.Hedge),
		Retrier:    retry.New(p.Retry, rand.New(rand.NewPCG(randomUint64(), randomUint64()))),
		Picker:     picker.NewWith(p.Picker),
		Issuer:     issuer,
		Quarantine: quarantine,
	}
	hooks := entry.Hooks{
		View:              n.view.Load,
		Members:           n.members.Snapshot,
		OwnerFailed:       n.members.RecordFailure,
		QuarantineChanged: n.engine.QuarantineChanged,
		Gate:              n.gate,
		Clock:             n.clock,
	}
	owners := &router{self: n.self.ID(), owner: n.owner, transport: n.transport}
	n.entry = entry.New(n.self, limits, policies, hooks, owners, n.transport, n.logger, n.counters, n.registry)
	n.directory = lookup.New(n.self, n.settings.GetDirectory(), issuer)
	n.guard = guard.New(int64(guard.MemoryShare*float64(guard.MachineMemory())), n.logger, n.counters, n.clock)
	_ = n.registry.Register("callers.bytes", metrics.NewFunctionalGauge(n.guard.Used))
	n.front = front.New(n, n, n.counters, n.guard, int(limits.GetMaxRequestBytes()), n.clock)
	n.status = status.New(n, n.registry, n.guard)
}

// Ready reports whether the node serves requests.
func (n *Node) Ready() bool {
	phase := n.phase.load()
	return phase == phaseReady || phase == phaseLeaving
}

// View returns the view of the documents in force.
func (n *Node) View() *view.Snapshot { return n.view.Load() }

// Counters returns the counters of refusals and retries by reason.
func (n *Node) Counters() *reason.Counters { return n.counters }

// Registry returns the metrics registry.
func (n *Node) Registry() metrics.Registry { return n.registry }

// Attempts counts sub-queries and the attempts made for them.
type Attempts struct {
	sent   int64
	needed int64
}

// Sent returns the number of attempts, including hedges and retries.
func (a Attempts) Sent() int64 { return a.sent }

// Needed returns the number of attempts without hedges and retries.
func (a Attempts) Needed() int64 { return a.needed }

// Attempts returns the counts of this node's entry.
func (n *Node) Attempts() Attempts {
	sent, needed := n.entry.Attempts()
	return Attempts{sent: sent, needed: needed}
}

// Run serves until stop ends and then shuts down gracefully. It shuts down immediately when kill ends. It returns the number of
// requests that were cut off, and the error of the part of the node that ended before, which shuts the node down as well.
func (n *Node) Run(stop, kill context.Context) (int, error) {
	n.logger.Log(wire.Event_EVENT_NODE_STARTED, zap.Uint64("incarnation", n.incarnation))
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var tasks, listeners conc.WaitGroup
	supervisor, ending := parts.New(stop, n.logger)
	supervisor.Loop(&tasks, "peers", func() { n.transport.Serve(ctx, handler{node: n}) })
	supervisor.Loop(&tasks, "documents", func() { n.engine.Run(ctx) })
	supervisor.Loop(&tasks, "owner", func() { n.owner.Run(ctx) })
	supervisor.Loop(&tasks, "maintenance", func() { n.maintain(ctx) })
	callers, reserved := guard.Descriptors(0)
	supervisor.Serve(&listeners, "callers", func() error { return n.front.Serve(n.listeners.Callers, callers) })
	supervisor.Serve(&listeners, "administration", func() error { return n.status.Serve(n.listeners.Admin, reserved) })
	select {
	case <-ending.Done():
	case <-kill.Done():
	}
	failure := supervisor.Stop()
	cut := n.shutdown(kill)
	cancel()
	n.closeListeners()
	tasks.Wait()
	n.tasks.Wait()
	listeners.Wait()
	n.closeComponents()
	n.logger.Log(wire.Event_EVENT_STOP_DONE, zap.Int("cut", cut))
	return cut, failure
}
