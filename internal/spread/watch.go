package spread

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/place"
)

const (
	// failureDelay and failureDelayMax bound the backoff after the service did not answer, or answered early without a new revision.
	failureDelay    = 500 * time.Millisecond
	failureDelayMax = 8 * time.Second
	// rateLimitedDelay and rateLimitedDelayMax bound the backoff after the service refused a call because of its rate.
	rateLimitedDelay    = 2 * time.Second
	rateLimitedDelayMax = 30 * time.Second
	// unknownKeyDelay is the greatest delay before a reader asks for an unknown key again. It stays below the time limit for changes to
	// come into force, since the list of uses may refer to a new collection before its index exists.
	unknownKeyDelay = 5 * time.Second
	// updateDelay limits one watch to 20 calls/s even if the service returns a new revision to every call.
	updateDelay = 50 * time.Millisecond
	// silentIntervals is the number of digest intervals without contact to any peer after which a node of a small fleet watches all keys
	// itself.
	silentIntervals = 2
	// smallFleetDivisor defines a small fleet: if all its nodes watched all keys, they would use at most the call rate divided by it.
	smallFleetDivisor = 4
)

// watchInputs holds the inputs that determine which keys this node watches.
type watchInputs struct {
	view     *topologyView
	version  int
	isolated bool
}

// watchLoop starts and cancels watches as reader assignments change. It starts none before bootstrapping is done, because the service may
// serve stale values.
func (e *Engine) watchLoop(ctx context.Context) {
	cancels := make(map[string]context.CancelFunc)
	var last watchInputs
	for delay.Sleep(ctx, e.watchCheckInterval()) {
		if !e.bootstrapped.Load() {
			continue
		}
		current := watchInputs{view: e.topology.view(), version: e.keys.currentVersion(), isolated: e.isolated(e.clock())}
		if current == last {
			continue
		}
		last = current
		e.updateWatches(ctx, current, cancels)
		e.peerRevisions.retain(func(id string) bool { _, ok := current.view.byID[id]; return ok })
	}
	for _, cancel := range cancels {
		cancel()
	}
}

// watchCheckInterval returns the interval at which watchLoop checks its inputs.
func (e *Engine) watchCheckInterval() time.Duration {
	return min(e.settings.DigestInterval, time.Second) / 4
}

// updateWatches starts the watches that are newly assigned to this node and cancels those that no longer are.
func (e *Engine) updateWatches(ctx context.Context, inputs watchInputs, cancels map[string]context.CancelFunc) {
	for _, key := range e.keys.wantedKeys() {
		assigned := inputs.isolated || e.isReader(key, inputs.view)
		cancel, watching := cancels[key]
		switch {
		case assigned && !watching:
			watchCtx, cancel := context.WithCancel(ctx)
			cancels[key] = cancel
			e.spawn(func(context.Context) { e.watch(watchCtx, key) })
		case !assigned && watching:
			cancel()
			delete(cancels, key)
		}
	}
}

// isReader reports whether this node is one of the readers of a key in its region.
func (e *Engine) isReader(key string, view *topologyView) bool {
	for _, reader := range place.Readers(key, e.settings.Region, view.vms) {
		if reader.ID() == e.self.ID() {
			return true
		}
	}
	return false
}

// isolated reports whether no peer was heard for silentIntervals digest intervals, or FallbackAfter if that is shorter, and the fleet is
// small enough that every node could watch every key. Large fleets use fallback reads instead, which are paced.
func (e *Engine) isolated(now time.Time) bool {
	silent := e.silence(now) >= min(silentIntervals*e.settings.DigestInterval, e.settings.FallbackAfter)
	return silent && e.canWatchAllKeys()
}

// canWatchAllKeys reports whether the fleet is small, as defined by smallFleetDivisor.
func (e *Engine) canWatchAllKeys() bool {
	watches := e.topology.view().estimatedNodes(len(e.settings.Regions)) * len(e.keys.wantedKeys())
	return float64(watches) <= float64(e.settings.PlatformCallsPerSecond)*e.settings.WatchWait.Seconds()/smallFleetDivisor
}

// watch repeats watch calls for one key until ctx is done.
func (e *Engine) watch(ctx context.Context, key string) {
	failure := backoff{initial: failureDelay, limit: failureDelayMax}
	rateLimited := backoff{initial: rateLimitedDelay, limit: rateLimitedDelayMax}
	for ctx.Err() == nil {
		started := e.clock()
		result := e.platform.watch(ctx, key)
		early := e.clock().Sub(started) < e.settings.WatchWait/2
		if !delay.Sleep(ctx, e.watchDelay(result, early, &failure, &rateLimited)) {
			return
		}
	}
}

// watchDelay returns the delay before the next call. The argument early means that the call ended before half of its wait time.
func (e *Engine) watchDelay(result outcome, early bool, failure, rateLimited *backoff) time.Duration {
	switch result {
	case outcomeNewRevision:
		failure.reset()
		rateLimited.reset()
		return updateDelay
	case outcomeRateLimited:
		return rateLimited.delay(e.random)
	case outcomeUnknownKey:
		return e.random.between(unknownKeyDelay/2, unknownKeyDelay)
	case outcomeUnchanged:
		if early {
			return failure.delay(e.random)
		}
		failure.reset()
		rateLimited.reset()
		return 0
	default:
		return failure.delay(e.random)
	}
}

// watches reports whether this node watches a key itself.
func (e *Engine) watches(key string, view *topologyView) bool {
	return e.isReader(key, view) || e.isolated(e.clock())
}
