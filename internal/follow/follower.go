// Package follow keeps the routes and the searchers of a node up to date from a source that can only be read and watched, and whose
// calls are paid for: a few nodes of each region read it, the others take its entries from them, and read it themselves only when
// nobody tells them in time that they are up to date.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// ErrHistoryLost is the error of a watch from a revision whose history the source no longer has.
var ErrHistoryLost = errors.New("the history is lost")

// Change is what an entry of the source means: Routes, Searcher, Removed, Unreadable, or nil for an entry that is not the system's.
type Change interface{ change() }

// Routes is a version of the routes.
type Routes struct{ Table *route.Table }

// Searcher is a searcher's registration.
type Searcher struct{ Searcher *fleet.Searcher }

// Removed is a registration that is gone.
type Removed struct{ ID string }

// Unreadable is an entry that cannot be used. ID is the searcher that it would have named, if any; what was known of it is dropped,
// since the entry that said so is gone.
type Unreadable struct {
	Key string
	ID  string
	Err error
}

func (Routes) change()     {}
func (Searcher) change()   {}
func (Removed) change()    {}
func (Unreadable) change() {}

// Source is the platform's store.
type Source interface {
	// List returns all entries.
	List(ctx context.Context) (Batch, error)
	// Watch returns the entries that changed after a revision as soon as there are any, or an empty batch after the wait. It returns
	// ErrHistoryLost when the source cannot tell them any more.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
	// SetAddress makes further calls go to another address.
	SetAddress(address string)
	// Decode returns what an entry means.
	Decode(entry Entry) Change
}

const (
	// watchWait bounds how long a lost answer to a watch goes unnoticed.
	watchWait = 2 * time.Second
	// settle lets changes gather before the next call, since each call is paid for.
	settle = 200 * time.Millisecond
	// firstBackoff is the wait after a failed call; it doubles up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// returnTime is the time that living searchers take to register again after the source was away.
	returnTime = 2200 * time.Millisecond
	// idlePoll is how often a node that does not read looks whether it must.
	idlePoll = 250 * time.Millisecond
	// staleShare is the part of the time for a change to come into force after which a node that heard nothing reads the source itself.
	staleShare = 0.7
	// farShare is the part of the time for a change to come into force after which a node whose region heard nothing takes changes from
	// other regions. It comes before the node's own call, which may be in vain.
	farShare = 0.5
	// staleJitter spreads the nodes that begin to read.
	staleJitter = 0.1
)

// Settings of a follower.
type Settings struct {
	// ApplyWithin is the time in which a change of the source must be in force.
	ApplyWithin time.Duration
}

// Hooks connect a follower to its node.
type Hooks struct {
	// IsReader reports whether this node is one of those that read the source for their region.
	IsReader func() bool
	// OnChange is called after routes or searchers changed, News after this node learned of a later revision.
	OnChange      func()
	OnNewRevision func()
}

// Follower is safe for concurrent use.
type Follower struct {
	source   Source
	registry *fleet.Registry
	settings Settings
	hooks    Hooks
	logger   *events.Logger
	clock    func() time.Time
	table    atomic.Pointer[route.Table]

	// failures counts the failed calls in a row, and reads tells whether this node read at the last look. Only Run uses them.
	failures int
	reads    bool
	listing  bool

	mu      sync.Mutex
	entries *entries
	// away is set while calls to the source fail.
	away bool
	// doubtUntil is the time until which removed entries may be of living searchers.
	doubtUntil time.Time
}

// New returns a follower; Run starts it.
func New(source Source, registry *fleet.Registry, settings Settings, hooks Hooks, logger *events.Logger, clock func() time.Time) *Follower {
	return &Follower{
		source:   source,
		registry: registry,
		settings: settings,
		hooks:    hooks,
		logger:   logger,
		clock:    clock,
		entries:  newEntries(),
		listing:  true,
	}
}

// Table returns the routes in force, nil before the first version.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Position is how far a node follows the source.
type Position struct {
	Revision uint64
	// Age is the time since the source was known to have nothing later, Doubt the time for which removals are in doubt.
	Age         time.Duration
	RemovalHold time.Duration
}

// Position returns how far this node follows the source.
func (f *Follower) Position(now time.Time) Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{
		Revision:    f.entries.revision,
		Age:         now.Sub(f.entries.currentAt),
		RemovalHold: max(0, f.doubtUntil.Sub(now)),
	}
}

// Resumed tells the follower that this process did not run for a while: what it knows may be old, whatever its clock says.
func (f *Follower) Resumed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries.currentAt = time.Time{}
}

// ObservePeer takes in another node's position and reports whether that node knows later entries.
func (f *Follower) ObservePeer(now time.Time, p Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubt(now.Add(p.RemovalHold))
	if p.Revision == f.entries.revision && p.Revision > 0 {
		f.entries.confirm(now.Add(-p.Age))
	}
	return p.Revision > f.entries.revision
}

// ObserveRemotePeer takes in the position of a node of another region, which counts only when this node's region hears nothing from the source:
// bytes between regions are dear. It reports whether that node knows later entries that this one needs.
func (f *Follower) ObserveRemotePeer(now time.Time, p Position) bool {
	own := f.Position(now)
	f.mu.Lock()
	away := f.away
	f.mu.Unlock()
	stale := own.Age > time.Duration(farShare*float64(f.settings.ApplyWithin))
	if !stale || (own.Revision == 0 && !away) {
		return false
	}
	return f.ObservePeer(now, p)
}

// EntriesAfter returns the entries after a revision, for another node.
func (f *Follower) EntriesAfter(revision uint64) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries.after(revision)
}

// ReceiveBatch takes in entries from another node at the given position.
func (f *Follower) ReceiveBatch(now time.Time, batch Batch, p Position) {
	f.ObservePeer(now, p)
	f.apply(now, batch, now.Add(-p.Age))
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := idlePoll
		if f.mustRead(f.clock()) {
			wait = f.step(ctx)
		}
		if f.expire() {
			f.hooks.OnChange()
		}
		delay.For(ctx, wait)
	}
}

// mustRead reports whether this node reads the source itself.
func (f *Follower) mustRead(now time.Time) bool {
	stale := time.Duration((staleShare + staleJitter*rand.Float64()) * float64(f.settings.ApplyWithin))
	position := f.Position(now)
	reads := position.Revision == 0 || f.hooks.IsReader() || position.Age > stale
	if reads != f.reads {
		f.reads = reads
		event := wire.Event_EVENT_FOLLOWS_PEERS
		if reads {
			event = wire.Event_EVENT_READS_DIRECTLY
		}
		f.logger.Log(event, zap.Uint64("revision", position.Revision), zap.Duration("age", position.Age))
	}
	return reads
}

func (f *Follower) expire() bool {
	before := f.registry.Snapshot()
	f.registry.Expire(f.clock())
	return f.registry.Snapshot() != before
}

// step makes one call and returns the wait before the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	var batch Batch
	var err error
	asked := f.clock()
	after := f.Position(asked).Revision
	if f.listing {
		batch, err = f.source.List(ctx)
	} else {
		batch, err = f.source.Watch(ctx, after, watchWait)
	}
	now := f.clock()
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrHistoryLost):
		f.logger.Log(wire.Event_EVENT_HISTORY_LOST, zap.Uint64("revision", after))
		f.listing = true
		return 0
	case err != nil:
		return f.failed(now, err, after)
	}
	f.listing = false
	f.reached(now)
	f.apply(now, batch, now)
	if len(batch.Entries) == 0 {
		return 0
	}
	return settle
}

func (f *Follower) failed(now time.Time, err error, revision uint64) time.Duration {
	f.failures++
	if f.failures == 1 {
		f.logger.Log(wire.Event_EVENT_PLATFORM_DOWN, zap.Error(err), zap.Uint64("revision", revision))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = true
	f.doubt(now.Add(returnTime))
	return min(firstBackoff<<min(f.failures-1, 8), maxBackoff)
}

// reached notes an answer. After the source was away, removals stay in doubt while living searchers register again.
func (f *Follower) reached(now time.Time) {
	if f.failures > 0 {
		f.logger.Log(wire.Event_EVENT_PLATFORM_UP, zap.Int("failed_calls", f.failures))
		f.mu.Lock()
		f.away = false
		f.doubt(now.Add(returnTime))
		f.mu.Unlock()
	}
	f.failures = 0
}

// doubt keeps removed searchers in use until a time. The caller holds mu.
func (f *Follower) doubt(until time.Time) {
	if until.After(f.doubtUntil) {
		f.doubtUntil = until
		f.registry.DeferRemovals(until)
	}
}

// apply takes in the entries of one call, which were current at a time.
func (f *Follower) apply(now time.Time, batch Batch, currentAt time.Time) {
	f.mu.Lock()
	before := f.entries.revision
	changed := f.entries.merge(batch)
	if batch.Revision >= f.entries.revision {
		f.entries.confirm(currentAt)
	}
	news := f.entries.revision > before
	f.enact(now, changed)
	f.mu.Unlock()
	if len(changed) > 0 {
		f.hooks.OnChange()
	}
	if news {
		f.hooks.OnNewRevision()
	}
}

// enact puts changed entries in force. The caller holds mu, so that batches come into force in their order.
func (f *Follower) enact(now time.Time, changed []Entry) {
	var seen []*fleet.Searcher
	var gone []string
	for _, entry := range changed {
		switch change := f.source.Decode(entry).(type) {
		case Routes:
			f.take(change.Table)
		case Searcher:
			seen = append(seen, change.Searcher)
		case Removed:
			gone = append(gone, change.ID)
		case Unreadable:
			f.logger.Log(wire.Event_EVENT_ENTRY_UNREADABLE, zap.String("key", change.Key), zap.Error(change.Err))
			if change.ID != "" {
				gone = append(gone, change.ID)
			}
		}
	}
	if len(seen)+len(gone) == 0 {
		return
	}
	f.registry.Apply(now, seen, gone)
	f.logger.Log(wire.Event_EVENT_SEARCHERS_CHANGED, zap.Int("seen", len(seen)), zap.Int("gone", len(gone)),
		zap.Uint64("revision", f.entries.revision))
}

// take puts a version of the routes in force unless a later one is.
func (f *Follower) take(table *route.Table) {
	current := f.table.Load()
	if current != nil && current.Version() >= table.Version() {
		return
	}
	f.table.Store(table)
	f.logger.Log(wire.Event_EVENT_ROUTES_IN_FORCE, zap.Uint64("version", table.Version()), zap.Int("routes", len(table.Routes())))
}
