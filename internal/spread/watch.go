package spread

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/place"
)

const (
	// failureDelay and failureDelayMax pace calls after the service did not answer or answered with nothing new at once.
	failureDelay    = 500 * time.Millisecond
	failureDelayMax = 8 * time.Second
	// overRateDelay and overRateDelayMax pace calls after the service refused one.
	overRateDelay    = 2 * time.Second
	overRateDelayMax = 30 * time.Second
	// unknownKeyDelay is the time after which a reader asks for an unknown key again. It stays below the bound for
	// changes, since a new collection may be named before its index exists.
	unknownKeyDelay = 5 * time.Second
	// newsDelay bounds the calls of one watch to 20/s, whatever the service does.
	newsDelay = 50 * time.Millisecond
	// silentTurns is the number of digest intervals without contact after which a node of a small fleet watches all keys itself.
	silentTurns = 2
	// smallFleetShare is the part of the call rate, as a divisor, that the watches of all nodes may take in a small fleet.
	smallFleetShare = 4
)

// duties are the inputs that decide which keys this node watches.
type duties struct {
	view     *fleetView
	version  int
	isolated bool
}

// watchLoop starts and ends watches as reader duties change. Watches wait until peers were asked, because the service may be stale.
func (e *Engine) watchLoop(ctx context.Context) {
	cancels := make(map[string]context.CancelFunc)
	var last duties
	for delay.For(ctx, e.tick()) {
		if !e.recovered.Load() {
			continue
		}
		present := duties{view: e.fleet.view(), version: e.keys.currentVersion(), isolated: e.isolated(e.clock())}
		if present == last {
			continue
		}
		last = present
		e.assign(ctx, present, cancels)
		e.knowledge.retain(func(id string) bool { _, ok := present.view.byID[id]; return ok })
	}
	for _, cancel := range cancels {
		cancel()
	}
}

// tick is the time between two looks at the duties.
func (e *Engine) tick() time.Duration { return min(e.settings.DigestInterval, time.Second) / 4 }

func (e *Engine) assign(ctx context.Context, d duties, cancels map[string]context.CancelFunc) {
	for _, key := range e.keys.wantedKeys() {
		duty := d.isolated || e.isReader(key, d.view)
		cancel, watching := cancels[key]
		switch {
		case duty && !watching:
			watchCtx, cancel := context.WithCancel(ctx)
			cancels[key] = cancel
			e.spawn(func(context.Context) { e.watch(watchCtx, key) })
		case !duty && watching:
			cancel()
			delete(cancels, key)
		}
	}
}

// isReader reports whether this node watches a key in its region.
func (e *Engine) isReader(key string, view *fleetView) bool {
	for _, reader := range place.Readers(key, e.settings.Region, view.vms) {
		if reader.ID() == e.self.ID() {
			return true
		}
	}
	return false
}

// isolated reports whether no peer was heard for some turns and the fleet is small enough that every node could watch every key.
// Large fleets use fallback reads instead, which are paced.
func (e *Engine) isolated(now time.Time) bool {
	silent := e.silence(now) >= min(silentTurns*e.settings.DigestInterval, e.settings.FallbackAfter)
	return silent && e.mayWatchAll()
}

func (e *Engine) mayWatchAll() bool {
	watches := e.fleet.view().size(len(e.settings.Regions)) * len(e.keys.wantedKeys())
	return float64(watches) <= float64(e.settings.PlatformCallsPerSecond)*e.settings.WatchWait.Seconds()/smallFleetShare
}

// watch follows one key until ctx ends.
func (e *Engine) watch(ctx context.Context, key string) {
	failure := backoff{least: failureDelay, most: failureDelayMax}
	overRate := backoff{least: overRateDelay, most: overRateDelayMax}
	for ctx.Err() == nil {
		begun := e.clock()
		result := e.platform.watch(ctx, key)
		early := e.clock().Sub(begun) < e.settings.WatchWait/2
		if !delay.For(ctx, e.watchDelay(result, early, &failure, &overRate)) {
			return
		}
	}
}

// watchDelay returns the time until the next call; early says that the call ended before half its wait.
func (e *Engine) watchDelay(result outcome, early bool, failure, overRate *backoff) time.Duration {
	switch result {
	case outcomeNews:
		failure.reset()
		overRate.reset()
		return newsDelay
	case outcomeOverRate:
		return overRate.delay(e.random)
	case outcomeUnknownKey:
		return e.random.between(unknownKeyDelay/2, unknownKeyDelay)
	case outcomeSame:
		if early {
			return failure.delay(e.random)
		}
		failure.reset()
		overRate.reset()
		return 0
	default:
		return failure.delay(e.random)
	}
}

// watches reports whether this node watches a key itself.
func (e *Engine) watches(key string, vms *fleetView) bool {
	return e.isReader(key, vms) || e.isolated(e.clock())
}
