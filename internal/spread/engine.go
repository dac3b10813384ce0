package spread

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/plat"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Source reads the configuration service; plat.Client implements it.
type Source interface {
	Read(ctx context.Context, key string) (plat.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (plat.Value, bool, error)
}

// Peers sends messages to other nodes. An error that wraps context.DeadlineExceeded means silence, any other an explicit failure.
type Peers interface {
	Digest(ctx context.Context, to shards.VM, digest *wire.Digest) (*wire.Digest, error)
	Push(ctx context.Context, to shards.VM, push *wire.Push) error
	Pull(ctx context.Context, to shards.VM, pull *wire.Pull) (*wire.Push, error)
}

// Quarantine is the table of requests that crash searchers, which travels with the documents.
type Quarantine interface {
	Export(now time.Time) []*wire.QuarantineMark
	// Merge adds marks and reports whether any was new.
	Merge(now time.Time, marks []*wire.QuarantineMark) bool
	Hash() uint64
}

// Membership records which nodes answer and says which to probe; member.View implements it.
type Membership interface {
	RecordRequest(now time.Time, id string)
	RecordContact(now time.Time, id string, incarnation uint64)
	RecordStopping(now time.Time, id string, incarnation uint64)
	RecordFailure(now time.Time, id string)
	RecordSuspicion(now time.Time, id string, incarnation uint64)
	Suspects(now time.Time) []member.Suspect
	DueProbes(now time.Time) []shards.VM
}

// Settings of an engine.
type Settings struct {
	// Region is that of this node, Regions are all.
	Region  string
	Regions []string
	// DigestInterval is the time between two digest exchanges.
	DigestInterval time.Duration
	// WatchWait is the time that one watch waits.
	WatchWait time.Duration
	// FallbackAfter is the silence of all peers after which the node reads the service itself.
	FallbackAfter time.Duration
	// StartSpread is the time over which nodes that start together spread their first call, when they do not know yet how many they
	// are. 2 s keeps 2,700 simultaneous starts below 2,000 calls/s, with 1,350 for the VM lists; 0 calls at once.
	StartSpread time.Duration
	// PlatformCallsPerSecond is the share of the service's call rate that all nodes together use for direct reads; default 1,000.
	PlatformCallsPerSecond int
}

// Dependencies of an engine. Quarantine and Contacts may be nil.
type Dependencies struct {
	Self   member.Node
	Store  *Store
	Source Source
	Peers  Peers
	// VMs returns the present VM list of all regions, and the same slice until the list changes.
	VMs        func() []shards.VM
	Quarantine Quarantine
	Membership Membership
	Log        *events.Logger
	Clock      func() time.Time
	Registry   metrics.Registry
}

const defaultPlatformCallsPerSecond = 1000

// Engine keeps the documents of a store up to date. Its handlers are safe for concurrent use and work without Run.
type Engine struct {
	settings   Settings
	self       member.Node
	store      *Store
	peers      Peers
	quarantine Quarantine
	contacts   Membership
	log        *events.Logger
	clock      func() time.Time
	random     *random
	counts     *counters
	keys       *keySet
	fleet      *fleet
	knowledge  *knowledge
	outbox     *outbox
	platform   *platform

	// lastContact is the time of the last message or answer from any peer, in nanoseconds since 1970.
	lastContact atomic.Int64
	// recovered is set when peers were asked at start, so that a stale value of the service can't be served before theirs.
	recovered atomic.Bool
	stopping  atomic.Bool
	stopped   chan struct{}

	// running guards ctx and the start of tasks.
	running sync.Mutex
	ctx     context.Context
	tasks   conc.WaitGroup

	// fetching holds the keys that are being pulled because of a push.
	fetchMu  sync.Mutex
	fetching map[string]bool
}

// NewEngine returns an engine that is not running yet.
func NewEngine(settings Settings, deps Dependencies) *Engine {
	if settings.PlatformCallsPerSecond == 0 {
		settings.PlatformCallsPerSecond = defaultPlatformCallsPerSecond
	}
	e := &Engine{
		settings:   settings,
		self:       deps.Self,
		store:      deps.Store,
		peers:      deps.Peers,
		quarantine: deps.Quarantine,
		contacts:   deps.Membership,
		log:        deps.Log,
		clock:      deps.Clock,
		random:     newRandom(deps.Self.Incarnation()),
		counts:     newCounters(deps.Registry),
		keys:       newKeySet(append([]string{settings.Region}, settings.Regions...)),
		fleet:      &fleet{self: deps.Self.ID(), list: deps.VMs},
		knowledge:  newKnowledge(),
		stopped:    make(chan struct{}, 1),
		fetching:   make(map[string]bool),
	}
	if e.quarantine == nil {
		e.quarantine = noQuarantine{}
	}
	if e.contacts == nil {
		e.contacts = noContacts{}
	}
	e.outbox = newOutbox(e)
	e.platform = newPlatform(e, deps.Source)
	e.followUses()
	return e
}

// followUses names the index of each collection that the list of uses names.
func (e *Engine) followUses() {
	e.store.Subscribe(e.inForce)
	for _, key := range e.store.Keys() {
		e.inForce(e.store.Get(key))
	}
}

func (e *Engine) inForce(doc *Document) {
	e.keys.found(doc.Key())
	if keys, ok := indexKeys(doc); ok {
		e.SetKeys(keys)
	}
}

// SetKeys names the documents that are wanted beside plans, uses and the VM lists. Keys that were named before stay at their last good
// revision. The engine calls it with the indexes of all collections in the list of uses.
func (e *Engine) SetKeys(keys []string) { e.keys.name(keys) }

// Keys returns all keys that are or were wanted, sorted.
func (e *Engine) Keys() []string { return e.keys.wantedKeys() }

// Ready reports whether peers were asked at start and each document named now is in force or unknown to the configuration service.
// An index that never had a valid revision does not keep the node from serving other collections.
func (e *Engine) Ready() bool {
	if !e.recovered.Load() || !e.usesNamed() {
		return false
	}
	for _, key := range e.keys.missing(e.store) {
		_, refused := e.store.Rejected(key)
		if !refused || !strings.HasPrefix(key, shards.IndexPrefix) {
			return false
		}
	}
	return true
}

// usesNamed reports whether the indexes of the list of uses in force are named. The store shows a document before its
// subscribers are called.
func (e *Engine) usesNamed() bool {
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

// Run keeps the documents up to date until ctx ends, and returns when all its goroutines ended.
func (e *Engine) Run(ctx context.Context) {
	e.contact(e.clock())
	e.running.Lock()
	e.ctx = ctx
	e.running.Unlock()
	var loops conc.WaitGroup
	loops.Go(func() { e.recover(ctx) })
	loops.Go(func() { e.exchangeLoop(ctx) })
	loops.Go(func() { e.watchLoop(ctx) })
	loops.Go(func() { e.fallbackLoop(ctx) })
	loops.Wait()
	e.running.Lock()
	e.ctx = nil
	e.running.Unlock()
	e.tasks.Wait()
}

// spawn runs a task while the engine runs, and reports whether it was started.
func (e *Engine) spawn(task func(ctx context.Context)) bool {
	e.running.Lock()
	defer e.running.Unlock()
	if e.ctx == nil || e.ctx.Err() != nil {
		return false
	}
	ctx := e.ctx
	e.tasks.Go(func() { task(ctx) })
	return true
}

// SetStopping makes all digests say that this node is stopping, and sends one to each neighbour at once.
func (e *Engine) SetStopping() {
	e.stopping.Store(true)
	notify(e.stopped)
}

// QuarantineChanged sends the quarantine table to all neighbours.
func (e *Engine) QuarantineChanged() { e.outbox.announceMarks("") }

// Refresh exchanges digests with up to 3 neighbours after a pause and reports whether any answered. The silence during the pause does
// not count.
func (e *Engine) Refresh(ctx context.Context) bool {
	e.contact(e.clock())
	neighbours := e.random.shuffled(e.fleet.view().neighbours)
	answered := false
	for _, to := range neighbours[:min(len(neighbours), recoveryPeers)] {
		if e.exchange(ctx, to) {
			answered = true
		}
	}
	return answered
}

// contact records a sign of life from any peer.
func (e *Engine) contact(now time.Time) { e.lastContact.Store(now.UnixNano()) }

// silence returns the time since the last sign of life from any peer.
func (e *Engine) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, e.lastContact.Load()))
}

// noQuarantine stands for a missing quarantine table.
type noQuarantine struct{}

func (noQuarantine) Export(time.Time) []*wire.QuarantineMark      { return nil }
func (noQuarantine) Merge(time.Time, []*wire.QuarantineMark) bool { return false }
func (noQuarantine) Hash() uint64                                 { return 0 }

// noContacts stands for missing membership.
type noContacts struct{}

func (noContacts) RecordRequest(time.Time, string)           {}
func (noContacts) RecordContact(time.Time, string, uint64)   {}
func (noContacts) RecordStopping(time.Time, string, uint64)  {}
func (noContacts) RecordFailure(time.Time, string)           {}
func (noContacts) RecordSuspicion(time.Time, string, uint64) {}
func (noContacts) Suspects(time.Time) []member.Suspect       { return nil }
func (noContacts) DueProbes(time.Time) []shards.VM           { return nil }
