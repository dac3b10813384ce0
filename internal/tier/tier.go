// Package tier assembles one node that serves callers from the platform's routes and searchers. The node discovers the other nodes,
// follows the source of the configuration, and runs from start to graceful shutdown.
package tier

import (
	"context"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/accept"
	"github.com/fireflylanding/fireflylanding/internal/certs"
	"github.com/fireflylanding/fireflylanding/internal/edge"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/follow"
	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/parts"
	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/roster"
	"github.com/fireflylanding/fireflylanding/internal/wake"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Discovery is what the platform's calls need from a node.
type Discovery interface {
	// CallerAddresses returns the caller addresses for a caller of a host in a zone and how long they may be cached. It returns none when no
	// node is known to be ready.
	CallerAddresses(host, region, zone string) ([]string, time.Duration)
	// Ready reports whether the node accepts new callers.
	Ready() bool
}

// Adapter connects a node to the platform.
type Adapter struct {
	Source follow.Source
	Codec  edge.Codec
	// Dial opens connections to searchers, ListenPeers the UDP socket for the traffic between nodes.
	Dial        pool.Dial
	ListenPeers func(address string) (net.PacketConn, error)
	// Directory and Checks serve the platform's calls.
	Directory func(Discovery, fiber.Config) *fiber.App
	Checks    func(Discovery, fiber.Config) *fiber.App
}

// gcTargetShare is the share of the machine's memory that is set as the garbage collector's memory limit. The rest is for stacks, sockets
// and the C library.
const gcTargetShare = 0.6

// replyMemoryShare is the share of the machine's memory that replies may take while they are read. Buffers grow by doubling, so that up to
// four times as much is allocated.
const replyMemoryShare = 0.05

// Tier is one node: the whole process.
type Tier struct {
	settings atomic.Pointer[Settings]
	adapter  Adapter
	logger   *events.Logger
	clock    func() time.Time
	registry metrics.Registry
	counters *reason.Counters

	fleet    *fleet.Registry
	follower *follow.Follower
	roster   *roster.Roster
	engine   *relay.Engine
	guard    *guard.Guard
	edge     *edge.Server
	peers    *peer.Transport
	detector *wake.Detector
	// marks holds the quarantine marks that wait to be sent; repair decides when marks are compared with those of another node.
	marks   *quar.Outbox
	repair  *quar.Repair
	sockets sockets
	// stopping is set on SIGTERM. refusingRequests is set later in the stop time, when a request might not end any more.
	stopping         atomic.Bool
	refusingRequests atomic.Bool
	ready            atomic.Bool
	// pulling is set while entries of another node are being transferred.
	pulling atomic.Bool
	// startedAt is when the process started. lastNodeCounts holds the counts of the last tick; only maintain uses it.
	startedAt      time.Time
	lastNodeCounts relay.NodeCounts
	// background runs the exchanges with other nodes and the shutdown of the caller listener.
	background conc.WaitGroup
	// urgent holds the states by node that the next tick passes on.
	urgentMu sync.Mutex
	urgent   map[string]roster.State
	// engineUpdates serializes updates of the engine's searchers, routes and node counts.
	engineUpdates sync.Mutex
}

type sockets struct {
	callers   *accept.Listener
	checks    *accept.Listener
	directory *accept.Listener
	metrics   *accept.Listener
	peers     net.PacketConn
}

// New returns a node with its sockets open. Run starts it.
func New(settings Settings, adapter Adapter, logger *events.Logger, clock func() time.Time) (*Tier, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	t := &Tier{
		adapter:   adapter,
		logger:    logger.With(zap.String("node", settings.Node)),
		clock:     clock,
		registry:  metrics.NewRegistry(),
		fleet:     fleet.New(),
		detector:  wake.New(wake.Settings{TickInterval: tickInterval}),
		marks:     quar.NewOutbox(),
		repair:    quar.NewRepair(),
		startedAt: clock(),
		urgent:    make(map[string]roster.State),
	}
	t.settings.Store(&settings)
	t.counters = reason.NewCounters(t.registry, "reasons")
	t.roster = roster.New(roster.State{
		ID:            settings.Node,
		Region:        settings.Region,
		Zone:          settings.Zone,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		Generation:    uint64(clock().UnixMilli()),
		Cores:         settings.CPUCapacity,
	}, roster.Settings{})
	location := relay.Location{Zone: settings.Zone, Region: settings.Region, Regions: settings.Regions}
	t.engine = relay.New(adapter.Codec, settings.budget(), location, adapter.Dial, t.logger, t.counters, t.registry, clock)
	t.follower = follow.New(adapter.Source, t.fleet, follow.Settings{ApplyWithin: settings.ApplyWithin, Regions: settings.Regions}, follow.Hooks{
		IsReader:      t.isReader,
		OnChange:      t.rebuild,
		OnNewRevision: t.propagateState,
	}, t.logger, clock)
	t.guard = guard.New(callerMemory(settings.MemoryBytes), t.logger, t.counters, clock)
	t.edge = edge.New(t.engine, adapter.Codec, edge.Sources{
		Table:   t.follower.Table,
		Gate:    t.checkServing,
		Leaving: func() bool { return t.stopping.Load() || t.engine.Stranded() },
		Clock:   clock,
	}, t.guard, t.logger, t.counters)
	if err := t.openSockets(settings); err != nil {
		return nil, err
	}
	t.engine.SetColdAllowance(settings.coldAllowance())
	t.engine.SetNodes(t.nodeCounts(clock()))
	t.engine.OnQuarantineMarks(t.propagateMarks)
	t.registerGauges()
	return t, nil
}

// openSockets opens the sockets and the transport between nodes.
func (t *Tier) openSockets(s Settings) error {
	var err error
	if t.sockets.callers, err = t.listen("callers", s.CallerAddress); err != nil {
		return errors.Wrap(err, "caller address")
	}
	if t.sockets.checks, err = t.listen("checks", s.ReadyAddress); err != nil {
		return errors.Wrap(err, "ready address")
	}
	if t.sockets.directory, err = t.listen("directory", s.DirectoryAddress); err != nil {
		return errors.Wrap(err, "directory address")
	}
	if t.sockets.metrics, err = t.listen("metrics", s.MetricsAddress); err != nil {
		return errors.Wrap(err, "metrics address")
	}
	if t.sockets.peers, err = t.adapter.ListenPeers(s.PeerAddress); err != nil {
		return errors.Wrap(err, "peer address")
	}
	var keys *certs.Credentials
	if keys, err = certs.NewDevelopment(t.logger, t.clock); err != nil {
		return err
	}
	t.peers, err = peer.New(t.sockets.peers, keys.ServerConfig(), keys.ClientConfig(), t.logger, t.registry)
	return err
}

// listen opens a listener that outlives errors that pass.
func (t *Tier) listen(name, address string) (*accept.Listener, error) {
	var l net.Listener
	var err error
	if l, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	return accept.New(l, name, t.logger, t.registry, t.clock), nil
}

// keepAlive enables TCP keep-alive probes, which detect a connection that went silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dial opens a connection to a searcher.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// ListenPeers opens the UDP socket for the traffic between nodes.
func ListenPeers(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }

// CallerAddresses implements Discovery.
func (t *Tier) CallerAddresses(host, region, zone string) ([]string, time.Duration) {
	var allowed []func(region string) bool
	if table := t.follower.Table(); table != nil {
		allowed = append(allowed, func(region string) bool { return table.HostAllows(host, region) },
			func(region string) bool { return table.HostAllowsSome(host, region) })
	}
	return t.roster.CallerAddresses(t.clock(), region, zone, allowed...), min(maxDirectoryValidity, t.settings.Load().DirectoryValid)
}

// Ready implements Discovery.
func (t *Tier) Ready() bool { return t.ready.Load() && !t.stopping.Load() && !t.engine.Stranded() }

// checkServing returns a refusal while there are no routes yet, and while refusingRequests is set.
func (t *Tier) checkServing() *reason.Refusal {
	switch {
	case t.refusingRequests.Load():
		return reason.New(wire.Reason_REASON_STOPPING, "")
	case !t.ready.Load():
		return reason.New(wire.Reason_REASON_NOT_READY, "")
	default:
		return nil
	}
}

// Apply applies changed settings. Listen addresses take effect only at the next start.
func (t *Tier) Apply(settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	t.settings.Store(&settings)
	t.engine.SetBudget(settings.budget())
	t.engine.SetColdAllowance(settings.coldAllowance())
	t.adapter.Source.SetAddress(settings.StoreAddress)
	return nil
}

// Run serves until stop ends and then shuts down gracefully. It returns the number of requests that were cut off, and the error of the part of
// the node that ended before, which shuts the node down as well.
func (t *Tier) Run(stop context.Context) (int, error) {
	s := t.settings.Load()
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(gcTargetShare * float64(s.MemoryBytes)))
		t.engine.SetReplyMemory(int64(replyMemoryShare * float64(s.MemoryBytes)))
	}
	t.logger.Log(wire.Event_EVENT_NODE_STARTED, zap.Uint64("generation", t.roster.Self().Generation))
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	callers, reserved := guard.Descriptors(s.MaxDescriptors)
	var tasks, listeners conc.WaitGroup
	supervisor, ending := parts.New(stop, t.logger)
	supervisor.Loop(&tasks, "peers", func() { t.peers.Serve(ctx, handler{tier: t}) })
	supervisor.Loop(&tasks, "follower", func() { t.follower.Run(ctx) })
	supervisor.Loop(&tasks, "maintenance", func() { t.maintain(ctx) })
	supervisor.Loop(&tasks, "heartbeats", func() { t.runHeartbeats(ctx) })
	supervisor.Serve(&listeners, "callers", func() error { return t.edge.Serve(t.sockets.callers, callers) })
	for name, part := range map[string]struct {
		app    *fiber.App
		socket net.Listener
	}{
		"directory": {t.adapter.Directory(t, appConfig), t.sockets.directory},
		"checks":    {t.adapter.Checks(t, appConfig), t.sockets.checks},
		"metrics":   {t.metricsApp(), t.sockets.metrics},
	} {
		t.guard.Attach(part.app.Server(), nil)
		class := guard.Class{Name: name, Connections: reserved, ConnBytes: appConnBytes, Reserved: true}
		supervisor.Serve(&listeners, name, func() error { return part.app.Listener(t.guard.Listen(part.socket, class), listenConfig) })
	}
	<-ending.Done()
	failure := supervisor.Stop()
	cut := t.shutdown()
	cancel()
	t.closeSockets()
	tasks.Wait()
	listeners.Wait()
	if cut == 0 {
		// With requests cut off, the shutdown of the listener would still wait for them.
		t.background.Wait()
	}
	t.logger.Log(wire.Event_EVENT_STOP_DONE, zap.Int("cut", cut))
	return cut, failure
}

// appConfig bounds what the listeners for the platform read. Their requests need no body.
var appConfig = fiber.Config{
	BodyLimit:    1,
	GETOnly:      true,
	ReadTimeout:  5 * time.Second,
	WriteTimeout: 10 * time.Second,
	IdleTimeout:  15 * time.Second,
}

// appConnBytes is what a connection of these listeners takes: the buffers of the HTTP library, the stack of its goroutine and its state.
const appConnBytes = 24 << 10

// callerMemory returns the bytes that callers' connections, requests and answers may take on a machine.
func callerMemory(machineBytes int64) int64 {
	if machineBytes == 0 {
		machineBytes = guard.MachineMemory()
	}
	return int64(guard.MemoryShare * float64(machineBytes))
}

var listenConfig = fiber.ListenConfig{DisableStartupMessage: true}

// closeSockets closes all sockets when the process is about to exit.
func (t *Tier) closeSockets() {
	_ = t.sockets.callers.Close()
	_ = t.sockets.checks.Close()
	_ = t.sockets.directory.Close()
	_ = t.sockets.metrics.Close()
	_ = t.peers.Close()
	_ = t.sockets.peers.Close()
}
