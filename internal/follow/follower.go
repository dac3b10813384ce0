// Package follow keeps the routes and the searchers of a node up to date from a source that can only be read and watched.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// ErrHistoryLost is the error of a watch from a revision whose history the source no longer has.
var ErrHistoryLost = errors.New("the history is lost")

// Change is what one entry of the source became: Routes, Searcher, Removed or Unreadable.
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

// Batch is a set of changes up to a revision of the source.
type Batch struct {
	Changes  []Change
	Revision uint64
}

// Source is the platform's store.
type Source interface {
	// List returns all entries.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty batch after the wait. It returns ErrHistoryLost
	// when the source cannot tell them any more.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

const (
	// watchWait bounds how long a lost answer to a watch goes unnoticed.
	watchWait = 3 * time.Second
	// settle lets changes gather before the next call, since each call is paid for.
	settle = 200 * time.Millisecond
	// firstBackoff is the wait after a failed call; it doubles up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// returnTime is the time that living searchers take to register again after the source was away.
	returnTime = 2200 * time.Millisecond
	// awayAfter is the number of failed calls in a row after which removals are in doubt.
	awayAfter = 1
)

// Follower is safe for concurrent use.
type Follower struct {
	source   Source
	registry *fleet.Registry
	table    atomic.Pointer[route.Table]
	// changed is called after each change, with the follower's own goroutine.
	changed func()
	logger  *events.Logger
	clock   func() time.Time

	// revision is that of the source up to which changes are in, 0 before the first listing. Only Run uses it.
	revision uint64
	// failures counts the failed calls in a row. Only Run uses it.
	failures int
	// reachedAt is the Unix time in nanoseconds of the last answer of the source, 0 before.
	reachedAt atomic.Int64
}

// New returns a follower; Run starts it. Changed is called after each change.
func New(source Source, registry *fleet.Registry, changed func(), logger *events.Logger, clock func() time.Time) *Follower {
	return &Follower{source: source, registry: registry, changed: changed, logger: logger, clock: clock}
}

// Table returns the routes in force, nil before the first version.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Age returns the time since the source last answered, and false before.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	at := f.reachedAt.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.step(ctx)
		if f.registryExpires() {
			f.changed()
		}
		sleep(ctx, wait)
	}
}

func (f *Follower) registryExpires() bool {
	before := f.registry.Snapshot()
	f.registry.Expire(f.clock())
	return f.registry.Snapshot() != before
}

// step makes one call and returns the wait before the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	var batch Batch
	var err error
	listing := f.revision == 0
	if listing {
		batch, err = f.source.List(ctx)
	} else {
		batch, err = f.source.Watch(ctx, f.revision, watchWait)
	}
	now := f.clock()
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrHistoryLost):
		f.logger.Log(wire.Event_EVENT_HISTORY_LOST, zap.Uint64("revision", f.revision))
		f.revision = 0
		return 0
	case err != nil:
		return f.failed(now, err)
	}
	f.reached(now)
	f.apply(now, batch, listing)
	if len(batch.Changes) == 0 {
		return 0
	}
	return settle
}

func (f *Follower) failed(now time.Time, err error) time.Duration {
	f.failures++
	if f.failures == awayAfter {
		f.logger.Log(wire.Event_EVENT_PLATFORM_DOWN, zap.Error(err), zap.Uint64("revision", f.revision))
	}
	f.registry.Doubt(now.Add(returnTime))
	return min(firstBackoff<<min(f.failures-1, 8), maxBackoff)
}

// reached notes an answer. After the source was away, removals stay in doubt while living searchers register again.
func (f *Follower) reached(now time.Time) {
	f.reachedAt.Store(now.UnixNano())
	if f.failures >= awayAfter {
		f.logger.Log(wire.Event_EVENT_PLATFORM_UP, zap.Int("failed_calls", f.failures))
		f.registry.Doubt(now.Add(returnTime))
	}
	f.failures = 0
}

// apply takes in the changes of one call.
func (f *Follower) apply(now time.Time, batch Batch, listing bool) {
	var seen []*fleet.Searcher
	gone := make(map[string]bool)
	for _, change := range batch.Changes {
		switch change := change.(type) {
		case Routes:
			f.take(change.Table)
		case Searcher:
			seen = append(seen, change.Searcher)
			delete(gone, change.Searcher.ID())
		case Removed:
			gone[change.ID] = true
		case Unreadable:
			f.logger.Log(wire.Event_EVENT_ENTRY_UNREADABLE, zap.String("key", change.Key), zap.Error(change.Err))
			if change.ID != "" {
				gone[change.ID] = true
			}
		}
	}
	f.revision = batch.Revision
	if listing {
		f.registry.Replace(now, seen)
	} else if len(seen)+len(gone) > 0 {
		f.registry.Apply(now, seen, keys(gone))
	}
	if listing || len(batch.Changes) > 0 {
		f.logger.Log(wire.Event_EVENT_SEARCHERS_CHANGED, zap.Int("seen", len(seen)), zap.Int("gone", len(gone)),
			zap.Bool("listing", listing), zap.Uint64("revision", batch.Revision))
		f.changed()
	}
}

func keys(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	return list
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

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
