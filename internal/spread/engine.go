package spread

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/plat"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Source is a client of the configuration service. It is implemented by plat.Client.
type Source interface {
	Read(ctx context.Context, key string) (plat.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (plat.Value, bool, error)
}

// Peers sends messages to other nodes. An error that wraps context.DeadlineExceeded means that the node did not answer in time, any other
// error is an explicit failure.
type Peers interface {
	Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error)
	Push(ctx context.Context, to shards.VM, push *wire.Push) error
	Pull(ctx context.Context, to shards.VM, pull *wire.Pull) (*wire.Push, error)
}

// Quarantine is the table of requests that crash searchers. It is distributed together with the documents.
type Quarantine interface {
	Export(now time.Time) []*wire.QuarantineMark
	// Merge adds marks and reports whether any of them was new.
	Merge(now time.Time, marks []*wire.QuarantineMark) bool
	Hash() uint64
}

// Membership records which nodes answer and determines which to probe. It is implemented by member.View.
type Membership interface {
	RecordRequest(now time.Time, id string)
	RecordContact(now time.Time, id string, incarnation uint64)
	RecordStopping(now time.Time, id string, incarnation uint64)
	RecordFailure(now time.Time, id string)
	RecordSuspicion(now time.Time, id string, incarnation uint64)
	Suspects(now time.Time) []member.Suspect
	DueProbes(now time.Time) []shards.VM
}

// Settings configures an engine.
type Settings struct {
	// Region is the region of this node. Regions lists all regions.
	Region  string
	Regions []string
	// DigestInterval is the interval between digest exchanges.
	DigestInterval time.Duration
	// WatchWait is the time that one watch call waits for a change.
	WatchWait time.Duration
	// FallbackAfter is the time without contact to any peer after which the node reads from the service itself.
	FallbackAfter time.Duration
	// StartSpread is the time over which nodes that start together spread their first call, since they do not know their number yet. 2 s
	// keeps 2,700 simultaneous starts below 2,000 calls/s, including 1,350 for the VM lists. With 0, the first call is made at once.
	StartSpread time.Duration
	// PlatformCallsPerSecond is the part of the service's call rate that all nodes together may use for direct reads. The default is
	// 1,000.
	PlatformCallsPerSecond int
}

// Dependencies holds the collaborators of an engine. Quarantine and Membership may be nil.
type Dependencies struct {
	Self   member.Node
	Store  *Store
	Source Source
	Peers  Peers
	// VMs returns the current VM list of all regions. It must return the same slice until the list changes.
	VMs        func() []shards.VM
	Quarantine Quarantine
	Membership Membership
	Log        *events.Logger
	Clock      func() time.Time
	Registry   metrics.Registry
}

const defaultPlatformCallsPerSecond = 1000

// Engine keeps the documents of a store up to date. Its handlers are safe for concurrent use, and also work while Run is not running.
type Engine struct {
	settings      Settings
	self          member.Node
	store         *Store
	peers         Peers
	quarantine    Quarantine
	membership    Membership
	log           *events.Logger
	clock         func() time.Time
	random        *random
	counts        *counters
	keys          *keySet
	topology      *topology
	peerRevisions *peerRevisions
	outbox        *outbox
	platform      *platform

	// lastContact is the time of the last message or answer from any peer, in nanoseconds since the Unix epoch.
	lastContact atomic.Int64
	// bootstrapped is set once the peers were asked at start, so that a stale value of the service is not served before theirs.
	bootstrapped atomic.Bool
	// stopping is set by SetStopping, which also wakes exchangeLoop through stopSignal.
	stopping   atomic.Bool
	stopSignal chan struct{}

	// ctxMu guards ctx and the start of tasks. ctx is nil unless Run is running.
	ctxMu sync.Mutex
	ctx   context.Context
	tasks conc.WaitGroup

	// fetching holds the keys that are being pulled because of a push. It is guarded by fetchMu.
	fetchMu  sync.Mutex
	fetching map[string]bool
}

// NewEngine returns an engine that does nothing on its own until Run is called.
func NewEngine(settings Settings, deps Dependencies) *Engine {
	if settings.PlatformCallsPerSecond == 0 {
		settings.PlatformCallsPerSecond = defaultPlatformCallsPerSecond
	}
	e := &Engine{
		settings:      settings,
		self:          deps.Self,
		store:         deps.Store,
		peers:         deps.Peers,
		quarantine:    deps.Quarantine,
		membership:    deps.Membership,
		log:           deps.Log,
		clock:         deps.Clock,
		random:        newRandom(deps.Self.Incarnation()),
		counts:        newCounters(deps.Registry),
		keys:          newKeySet(append([]string{settings.Region}, settings.Regions...)),
		topology:      &topology{self: deps.Self.ID(), listVMs: deps.VMs},
		peerRevisions: newPeerRevisions(),
		stopSignal:    make(chan struct{}, 1),
		fetching:      make(map[string]bool),
	}
	if e.quarantine == nil {
		e.quarantine = noQuarantine{}
	}
	if e.membership == nil {
		e.membership = noMembership{}
	}
	e.outbox = newOutbox(e)
	e.platform = newPlatform(e, deps.Source)
	e.followIndexKeys()
	return e
}

// followIndexKeys keeps the referenced keys up to date with the indexes of the collections in the list of uses.
func (e *Engine) followIndexKeys() {
	e.store.Subscribe(e.documentInForce)
	for _, key := range e.store.Keys() {
		e.documentInForce(e.store.Get(key))
	}
}

// documentInForce updates the referenced keys after a document came into force.
func (e *Engine) documentInForce(doc *Document) {
	e.keys.recordFound(doc.Key())
	if keys, ok := indexKeys(doc); ok {
		e.SetKeys(keys)
	}
}

// SetKeys sets the keys that are referenced in addition to the plans, the uses and the VM lists. Documents referenced earlier are kept at
// their last valid revision. The engine calls it with the index keys of all collections in the list of uses.
func (e *Engine) SetKeys(keys []string) { e.keys.setReferenced(keys) }

// Keys returns all keys that are or were referenced, sorted.
func (e *Engine) Keys() []string { return e.keys.wantedKeys() }

// Ready reports whether peers were asked at start and each referenced document is in force or unknown to the configuration service. An
// index that never had a valid revision does not make the node unready, since it can serve the other collections.
func (e *Engine) Ready() bool {
	if !e.bootstrapped.Load() || !e.indexKeysReferenced() {
		return false
	}
	for _, key := range e.keys.missing(e.store) {
		_, rejected := e.store.Rejected(key)
		if !rejected || !strings.HasPrefix(key, shards.IndexPrefix) {
			return false
		}
	}
	return true
}

// indexKeysReferenced reports whether the indexes in the list of uses in force are wanted. They may not be yet, since the store publishes
// a document before it calls its subscribers.
func (e *Engine) indexKeysReferenced() bool {
	uses := e.store.Get(plans.UsesKey)
	if uses == nil {
		return true
	}
	keys, _ := indexKeys(uses)
	for _, key := range keys {
		if !e.keys.wants(key) {
			return false
		}
	}
	return true
}

// Run keeps the documents up to date until ctx is done. It returns after all goroutines of the engine have finished. A panic of one of its loops
// ends the others too.
func (e *Engine) Run(ctx context.Context) {
	e.recordContact(e.clock())
	e.ctxMu.Lock()
	e.ctx = ctx
	e.ctxMu.Unlock()
	loops := pool.New().WithContext(ctx).WithCancelOnError()
	for _, loop := range []func(context.Context){e.bootstrap, e.exchangeLoop, e.watchLoop, e.fallbackLoop} {
		loops.Go(func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	// The loops return no error.
	_ = loops.Wait()
	e.ctxMu.Lock()
	e.ctx = nil
	e.ctxMu.Unlock()
	e.tasks.Wait()
}

// spawn starts a task in a goroutine for which Run waits. It returns false if the engine is not running.
func (e *Engine) spawn(task func(ctx context.Context)) bool {
	e.ctxMu.Lock()
	defer e.ctxMu.Unlock()
	if e.ctx == nil || e.ctx.Err() != nil {
		return false
	}
	ctx := e.ctx
	e.tasks.Go(func() { task(ctx) })
	return true
}

// SetStopping marks this node as stopping in all further digests, and sends one to each neighbour at once.
func (e *Engine) SetStopping() {
	e.stopping.Store(true)
	notify(e.stopSignal)
}

// QuarantineChanged sends the quarantine table to all neighbours.
func (e *Engine) QuarantineChanged() { e.outbox.announceQuarantine("") }

// Refresh exchanges digests with up to 3 neighbours, in random order, and reports whether any answered. It is called after the process was
// paused, and restarts the measurement of silence, since the node could not hear its peers during the pause.
func (e *Engine) Refresh(ctx context.Context) bool {
	e.recordContact(e.clock())
	neighbours := e.random.shuffled(e.topology.view().neighbours)
	answered := false
	for _, to := range neighbours[:min(len(neighbours), bootstrapPeers)] {
		if e.exchange(ctx, to) {
			answered = true
		}
	}
	return answered
}

// recordContact records that some peer was heard.
func (e *Engine) recordContact(now time.Time) { e.lastContact.Store(now.UnixNano()) }

// silence returns the time since any peer was last heard.
func (e *Engine) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, e.lastContact.Load()))
}

// noQuarantine is the Quarantine of an engine without one.
type noQuarantine struct{}

func (noQuarantine) Export(time.Time) []*wire.QuarantineMark      { return nil }
func (noQuarantine) Merge(time.Time, []*wire.QuarantineMark) bool { return false }
func (noQuarantine) Hash() uint64                                 { return 0 }

// noMembership is the Membership of an engine without one.
type noMembership struct{}

func (noMembership) RecordRequest(time.Time, string)           {}
func (noMembership) RecordContact(time.Time, string, uint64)   {}
func (noMembership) RecordStopping(time.Time, string, uint64)  {}
func (noMembership) RecordFailure(time.Time, string)           {}
func (noMembership) RecordSuspicion(time.Time, string, uint64) {}
func (noMembership) Suspects(time.Time) []member.Suspect       { return nil }
func (noMembership) DueProbes(time.Time) []shards.VM           { return nil }
