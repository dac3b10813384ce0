// Package follow keeps a node's routes and searchers up to date from a source that can only be listed and watched, and that charges for
// each call. A few nodes of each region read the source. The other nodes get its entries from them, and read the source themselves only
// when no node confirms in time that they are up to date.
package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// ErrHistoryLost is returned by a watch from a revision whose history the source no longer has.
var ErrHistoryLost = errors.New("watch history is no longer available")

// errEarlierEra is the error of a call that was answered from before a restore which this node knows of.
var errEarlierEra = errors.New("the source answered from an earlier era")

// Change is the decoded content of an entry: Routes, Searcher, Removed, Evacuated, EvacuationEnded, Unreadable, or nil for an entry that does
// not belong to this system.
type Change interface{ change() }

// Routes is a new version of the routes.
type Routes struct{ Table *route.Table }

// Searcher is a searcher's registration, and its fields that are not used since they have no valid value.
type Searcher struct {
	Searcher *fleet.Searcher
	Ignored  []route.IgnoredField
}

// Removed is the removal of a registration.
type Removed struct{ ID string }

// Evacuated asks that the searchers of an availability zone get no new work.
type Evacuated struct{ Zone string }

// EvacuationEnded is the end of such a request.
type EvacuationEnded struct{ Zone string }

// Unreadable is an entry that cannot be decoded. ID is the searcher that the entry would have named, if any; its previous registration is
// dropped, since the entry that held it has been overwritten.
type Unreadable struct {
	Key string
	ID  string
	Err error
}

func (Routes) change()          {}
func (Searcher) change()        {}
func (Removed) change()         {}
func (Evacuated) change()       {}
func (EvacuationEnded) change() {}
func (Unreadable) change()      {}

// Source is the platform's configuration store.
type Source interface {
	// List returns all entries.
	List(ctx context.Context) (Batch, error)
	// Watch returns the entries that changed after a revision as soon as there are any, or an empty batch after the wait. It returns
	// ErrHistoryLost when the source no longer has the changes since that revision. A batch of another era does not follow the revision.
	Watch(ctx context.Context, after epoch.Revision, wait time.Duration) (Batch, error)
	// SetAddress directs further calls to another address.
	SetAddress(address string)
	// Decode decodes an entry.
	Decode(entry Entry) Change
}

const (
	// watchWait limits how long a watch is open, and so how long a lost reply goes unnoticed.
	watchWait = 2 * time.Second
	// coalesceDelay is the delay before the next call after a change. It collects several changes into one call, since each call is charged
	// for.
	coalesceDelay = 200 * time.Millisecond
	// firstBackoff is the delay after a failed call; it doubles up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// reregisterTime is the time that live searchers need to register again after the source was unavailable or restored.
	reregisterTime = 2200 * time.Millisecond
	// lapseTime is the time after which a restored source no longer holds the registrations of searchers that are gone.
	lapseTime = 4 * time.Second
	// removalCheckInterval is how often a node checks for holds that have ended.
	removalCheckInterval = 100 * time.Millisecond
	// idlePollInterval is how often a node that does not read the source checks whether it must.
	idlePollInterval = 250 * time.Millisecond
	// staleShare is the fraction of ApplyWithin after which a node that no other confirmed to be up to date reads the source itself.
	staleShare = 0.7
	// remoteStaleShare is the fraction of ApplyWithin after which a node whose region is without news accepts changes from other regions.
	// It is shorter than staleShare, because the node's own call may fail.
	remoteStaleShare = 0.5
	// staleJitter spreads the times at which nodes begin to read.
	staleJitter = 0.1
)

// Settings configure a follower.
type Settings struct {
	// ApplyWithin is the time within which a change of the source must be in force.
	ApplyWithin time.Duration
	// Regions maps each availability zone to its region. Others are not believed in evacuations and home regions.
	Regions map[string]string
}

// Hooks connect a follower to its node.
type Hooks struct {
	// IsReader reports whether this node is one of those that read the source for their region.
	IsReader func() bool
	// OnChange is called after routes or searchers changed, OnNewRevision after this node learned of a later revision.
	OnChange      func()
	OnNewRevision func()
}

// Follower follows a source. It is safe for concurrent use.
type Follower struct {
	source   Source
	registry *fleet.Registry
	settings Settings
	hooks    Hooks
	logger   *events.Logger
	clock    func() time.Time
	table    atomic.Pointer[route.Table]

	// failures counts consecutive failed calls. reading is set when the last check decided to read the source. Only Run uses failures,
	// reading and needsList.
	failures  int
	reading   bool
	needsList bool

	mu      sync.Mutex
	entries *entries
	// evacuations holds the evacuated availability zones.
	evacuations evacuations
	// ignoredFields holds the fields that were logged as ignored.
	ignoredFields map[route.IgnoredField]bool
	// sourceDown is set while calls to the source fail.
	sourceDown bool
	// sourceHoldUntil is the time until which searchers that this node reads as removed may still be alive, because its own calls failed.
	// peerHoldUntil is the same for the removals that other nodes delivered.
	sourceHoldUntil time.Time
	peerHoldUntil   time.Time
}

// New returns a follower. Run starts it.
func New(source Source, registry *fleet.Registry, settings Settings, hooks Hooks, logger *events.Logger, clock func() time.Time) *Follower {
	return &Follower{
		source:      source,
		registry:    registry,
		settings:    settings,
		hooks:       hooks,
		logger:      logger,
		clock:       clock,
		entries:     newEntries(),
		evacuations: newEvacuations(),
		needsList:   true,

		ignoredFields: make(map[route.IgnoredField]bool),
	}
}

// Table returns the route table in force, nil before the first version.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Position is how far a node has followed the source.
type Position struct {
	Revision epoch.Revision
	// Age is the time since the source was last known to have nothing later. RemovalHold is the remaining time during which searchers that
	// this node delivers as removed are kept in use.
	Age         time.Duration
	RemovalHold time.Duration
}

// Position returns how far this node has followed the source.
func (f *Follower) Position(now time.Time) Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{
		Revision:    f.entries.revision,
		Age:         now.Sub(f.entries.upToDateAt),
		RemovalHold: max(0, later(f.sourceHoldUntil, f.peerHoldUntil).Sub(now)),
	}
}

// Resumed marks the state as outdated after this process did not run for a while, since the clock may not show the pause.
func (f *Follower) Resumed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries.upToDateAt = time.Time{}
}

// ObservePeer processes another node's position and reports whether that node has later entries.
func (f *Follower) ObservePeer(now time.Time, p Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Revision == f.entries.revision && p.Revision > 0 {
		f.entries.confirm(now.Add(-p.Age))
	}
	return p.Revision > f.entries.revision
}

// ObserveRemotePeer processes the position of a node of another region. It is ignored unless this node's own region gets no news from the
// source, since traffic between regions is expensive. It reports whether that node has later entries that this node needs.
func (f *Follower) ObserveRemotePeer(now time.Time, p Position) bool {
	own := f.Position(now)
	f.mu.Lock()
	sourceDown := f.sourceDown
	f.mu.Unlock()
	stale := own.Age > time.Duration(remoteStaleShare*float64(f.settings.ApplyWithin))
	if !stale || (own.Revision == 0 && !sourceDown) {
		return false
	}
	return f.ObservePeer(now, p)
}

// EntriesAfter returns the changes after a revision, for another node.
func (f *Follower) EntriesAfter(revision epoch.Revision) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries.since(revision)
}

// ReceiveBatch merges entries from another node that has the given position. Its removals are held if the calls of either node failed.
func (f *Follower) ReceiveBatch(now time.Time, batch Batch, p Position) {
	f.ObservePeer(now, p)
	f.mu.Lock()
	f.peerHoldUntil = later(f.peerHoldUntil, now.Add(p.RemovalHold))
	holdUntil := later(f.sourceHoldUntil, now.Add(p.RemovalHold))
	f.mu.Unlock()
	f.applyBatch(now, batch, now.Add(-p.Age), holdUntil)
}

// Run follows the source until ctx ends. A panic of one of its loops ends the other too.
func (f *Follower) Run(ctx context.Context) {
	loops := pool.New().WithContext(ctx).WithCancelOnError()
	for _, loop := range []func(context.Context){f.runCalls, f.runRemovals} {
		loops.Go(func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	// The loops return no error.
	_ = loops.Wait()
}

// runCalls calls the source while this node has to read it.
func (f *Follower) runCalls(ctx context.Context) {
	for ctx.Err() == nil {
		wait := idlePollInterval
		if f.mustRead(f.clock()) {
			wait = f.poll(ctx)
		}
		delay.Sleep(ctx, wait)
	}
}

// runRemovals ends holds when they are due. It does not share the loop of the calls, since a watch lasts longer than a hold may.
func (f *Follower) runRemovals(ctx context.Context) {
	for ctx.Err() == nil {
		if f.expireRemovals(f.clock()) {
			f.hooks.OnChange()
		}
		delay.Sleep(ctx, removalCheckInterval)
	}
}

// mustRead reports whether this node has to read the source itself.
func (f *Follower) mustRead(now time.Time) bool {
	stale := time.Duration((staleShare + staleJitter*rand.Float64()) * float64(f.settings.ApplyWithin))
	position := f.Position(now)
	reading := position.Revision == 0 || f.hooks.IsReader() || position.Age > stale
	if reading != f.reading {
		f.reading = reading
		event := wire.Event_EVENT_FOLLOWS_PEERS
		if reading {
			event = wire.Event_EVENT_READS_DIRECTLY
		}
		f.logger.Log(event, zap.Stringer("revision", position.Revision), zap.Duration("age", position.Age))
	}
	return reading
}

// expireRemovals drops the searchers whose hold has ended, puts registrations in force whose doubt has ended, ends evacuations whose end was
// deferred, and reports whether there were any.
func (f *Follower) expireRemovals(now time.Time) bool {
	dropped, trusted := f.registry.Expire(now)
	if len(dropped) > 0 {
		f.logger.Log(wire.Event_EVENT_HELD_REMOVED, zap.Strings("searchers", dropped))
	}
	if len(trusted) > 0 {
		f.logger.Log(wire.Event_EVENT_DOUBT_ENDED, zap.Strings("searchers", trusted))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := f.evacuations.expire(now)
	if len(ended) > 0 {
		f.logger.Log(wire.Event_EVENT_EVACUATION_ENDED, zap.Strings("availability_zones", ended))
		f.registry.SetEvacuated(f.evacuations.zones())
	}
	return len(dropped)+len(trusted)+len(ended) > 0
}

// poll makes one call to the source and returns the delay before the next one.
func (f *Follower) poll(ctx context.Context) time.Duration {
	var batch Batch
	var err error
	calledAt := f.clock()
	after := f.Position(calledAt).Revision
	if f.needsList {
		batch, err = f.source.List(ctx)
	} else {
		batch, err = f.source.Watch(ctx, after, watchWait)
	}
	now := f.clock()
	era := batch.Revision.Era()
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrHistoryLost), err == nil && !f.needsList && era > after.Era():
		f.logger.Log(wire.Event_EVENT_HISTORY_LOST, zap.Stringer("revision", after))
		// Another node may have delivered the entries of the new era meanwhile.
		f.needsList = f.Position(now).Revision.Era() == after.Era()
		return 0
	case err == nil && era < after.Era():
		return f.callFailed(now, errEarlierEra, after)
	case err != nil:
		return f.callFailed(now, err, after)
	}
	f.needsList = false
	f.logIgnored(batch)
	f.applyBatch(now, batch, now, f.callSucceeded(now))
	if len(batch.Entries) == 0 {
		return 0
	}
	return coalesceDelay
}

// logIgnored logs how many entries of a batch from the source are ignored as old.
func (f *Follower) logIgnored(batch Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if older := f.entries.countOlder(batch); older > 0 {
		f.logger.Log(wire.Event_EVENT_ENTRIES_IGNORED, zap.Int("entries", older), zap.Stringer("known", f.entries.revision),
			zap.Stringer("revision", batch.Revision), zap.Bool("complete", batch.Complete))
	}
}

func (f *Follower) callFailed(now time.Time, err error, revision epoch.Revision) time.Duration {
	f.failures++
	if f.failures == 1 {
		f.logger.Log(wire.Event_EVENT_PLATFORM_DOWN, zap.Error(err), zap.Stringer("revision", revision))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sourceDown = true
	f.sourceHoldUntil = now.Add(reregisterTime)
	return min(firstBackoff<<min(f.failures-1, 8), maxBackoff)
}

// callSucceeded records a successful call, and returns the time until which removals are held. After an outage of the source, removed
// searchers are kept while live ones register again.
func (f *Follower) callSucceeded(now time.Time) (holdUntil time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.logger.Log(wire.Event_EVENT_PLATFORM_UP, zap.Int("failed_calls", f.failures))
		f.sourceDown = false
		f.sourceHoldUntil = now.Add(reregisterTime)
	}
	f.failures = 0
	return f.sourceHoldUntil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyBatch merges a batch that was up to date at the given time, and puts its changes in force. Removals are held until holdUntil.
func (f *Follower) applyBatch(now time.Time, batch Batch, currentAt, holdUntil time.Time) {
	f.mu.Lock()
	before := f.entries.revision
	var doubtUntil time.Time
	if before > 0 && batch.Revision.Era() > before.Era() {
		holdUntil = later(holdUntil, f.beginEra(now, batch))
		doubtUntil = now.Add(lapseTime)
		f.evacuations.extend(doubtUntil)
	}
	changed := f.entries.merge(batch)
	if batch.Revision >= f.entries.revision {
		f.entries.confirm(currentAt)
	}
	advanced := f.entries.revision > before
	f.applyChanges(now, changed, holdUntil, doubtUntil)
	f.mu.Unlock()
	if len(changed) > 0 {
		f.hooks.OnChange()
	}
	if advanced {
		f.hooks.OnNewRevision()
	}
}

// beginEra logs that the source was restored from a copy, and returns the time until which removals are held, since live searchers may have
// to register again. The caller must hold mu.
func (f *Follower) beginEra(now time.Time, batch Batch) (holdUntil time.Time) {
	f.logger.Log(wire.Event_EVENT_STORE_RESTORED, zap.Stringer("known", f.entries.revision), zap.Stringer("revision", batch.Revision),
		zap.Int("entries", len(batch.Entries)))
	holdUntil = now.Add(reregisterTime)
	f.sourceHoldUntil = later(f.sourceHoldUntil, holdUntil)
	f.peerHoldUntil = later(f.peerHoldUntil, holdUntil)
	return holdUntil
}

// applyChanges puts changed entries in force. The caller must hold mu, so that batches take effect in order. Removals are held until
// holdUntil, and until doubtUntil a registration does not bring back a searcher that left.
func (f *Follower) applyChanges(now time.Time, changed []Entry, holdUntil, doubtUntil time.Time) {
	var registered []*fleet.Searcher
	var removed []string
	var tables []*route.Table
	// The node becomes ready with its first routes, and takes searchers that appear later for cold.
	defer func() {
		for _, table := range tables {
			f.installRoutes(table)
		}
	}()
	for _, entry := range changed {
		switch change := f.source.Decode(entry).(type) {
		case Routes:
			tables = append(tables, change.Table)
		case Searcher:
			registered = append(registered, change.Searcher)
			for _, field := range change.Ignored {
				// The value may change with each registration.
				f.logIgnoredField(field, route.IgnoredField{Item: field.Item, Field: field.Field})
			}
		case Removed:
			removed = append(removed, change.ID)
		case Evacuated:
			f.beginEvacuation(change.Zone)
		case EvacuationEnded:
			// Only a restored store lacks what the operator still asks for.
			f.endEvacuation(now, change.Zone, doubtUntil)
		case Unreadable:
			f.logger.Log(wire.Event_EVENT_ENTRY_UNREADABLE, zap.String("key", change.Key), zap.Error(change.Err))
			if change.ID != "" {
				removed = append(removed, change.ID)
			}
		}
	}
	if len(registered)+len(removed) == 0 {
		return
	}
	if doubted := f.registry.Doubt(now, registered, doubtUntil); len(doubted) > 0 {
		f.logger.Log(wire.Event_EVENT_REGISTRATIONS_DOUBTED, zap.Strings("searchers", doubted), zap.Duration("hold", doubtUntil.Sub(now)))
	}
	if held := f.registry.Apply(now, registered, removed, holdUntil); len(held) > 0 {
		f.logger.Log(wire.Event_EVENT_REMOVALS_HELD, zap.Strings("searchers", held), zap.Duration("hold", holdUntil.Sub(now)),
			zap.Bool("source_down", f.sourceDown))
	}
	f.logger.Log(wire.Event_EVENT_SEARCHERS_CHANGED, zap.Int("seen", len(registered)), zap.Int("gone", len(removed)),
		zap.Stringer("revision", f.entries.revision))
}

// maxIgnoredFields bounds the ignored fields that are remembered, so that each is logged once.
const maxIgnoredFields = 256

// logIgnoredField logs a field of an entry that is not used, unless known was logged before. The caller must hold mu.
func (f *Follower) logIgnoredField(field, known route.IgnoredField) {
	if f.ignoredFields[known] || len(f.ignoredFields) >= maxIgnoredFields {
		return
	}
	f.ignoredFields[known] = true
	f.logger.Log(wire.Event_EVENT_FIELD_IGNORED, zap.String("item", field.Item), zap.String("field", field.Field), zap.String("value", field.Value))
}

// ignoredInRoutes returns the fields of a version of the routes that are not used, and home regions that have no availability zone.
func (f *Follower) ignoredInRoutes(table *route.Table) []route.IgnoredField {
	regions := slices.Collect(maps.Values(f.settings.Regions))
	ignored := slices.Clone(table.Ignored())
	for _, r := range table.Routes() {
		for _, home := range r.Policy().Homes.Regions() {
			if !slices.Contains(regions, home) {
				ignored = append(ignored, route.IgnoredField{Item: r.Name(), Field: "homes", Value: home})
			}
		}
	}
	return ignored
}

// installRoutes puts a version of the routes in force unless the current one is as late or later.
func (f *Follower) installRoutes(table *route.Table) {
	current := f.table.Load()
	if current != nil && current.Version() >= table.Version() {
		return
	}
	f.table.Store(table)
	for _, field := range f.ignoredInRoutes(table) {
		f.logIgnoredField(field, field)
	}
	f.logger.Log(wire.Event_EVENT_ROUTES_IN_FORCE, zap.Uint64("version", table.Version()), zap.Int("routes", len(table.Routes())))
}

// beginEvacuation takes the searchers of a zone out of use. The caller must hold mu.
func (f *Follower) beginEvacuation(zone string) {
	if _, ok := f.settings.Regions[zone]; !ok {
		field := route.IgnoredField{Item: "evacuation", Field: "availability_zone", Value: zone}
		f.logIgnoredField(field, field)
		return
	}
	if f.evacuations.begin(zone) {
		f.logger.Log(wire.Event_EVENT_ZONE_EVACUATED, zap.Strings("availability_zones", []string{zone}))
	}
	f.registry.SetEvacuated(f.evacuations.zones())
}

// endEvacuation uses the searchers of a zone again, at holdUntil at the earliest. The caller must hold mu.
func (f *Follower) endEvacuation(now time.Time, zone string, holdUntil time.Time) {
	if f.evacuations.end(now, zone, holdUntil) {
		f.logger.Log(wire.Event_EVENT_EVACUATION_ENDED, zap.Strings("availability_zones", []string{zone}))
		f.registry.SetEvacuated(f.evacuations.zones())
	}
}

// Evacuated returns the evacuated availability zones in order.
func (f *Follower) Evacuated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.zones()
}
