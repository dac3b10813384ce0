// Package owner implements the owner role. For each searcher that this node owns, it keeps a queue, an adaptive
// concurrency limit and a pool of connections. An owner makes at most one attempt per sub-request; only entries hedge and
// retry.
package owner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/limit"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/stall"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// tickInterval is the interval at which queues and connections are checked.
	tickInterval = 20 * time.Millisecond
	// healthInterval is the interval at which a searcher's health endpoint is polled. A leaving searcher must be noticed
	// within 3 s, which holds even if two polls are lost.
	healthInterval = time.Second
)

// firstHealthTimeout limits how long the first sub-requests wait for the reply of the health endpoint, which may be slow although the
// searcher itself is not.
const firstHealthTimeout = 100 * time.Millisecond

// upstreamKey identifies a searcher of a collection.
type upstreamKey struct {
	collection string
	searcher   string
}

// Settings configures the queues, the concurrency limits and the detection of silent connections. The zero value selects all
// defaults.
type Settings struct {
	Queue queue.Settings
	Limit limit.Settings
	Stall stall.Settings
}

// Owner runs sub-requests at searchers. It is safe for concurrent use.
type Owner struct {
	self     string
	view     func() *view.Snapshot
	settings Settings
	clock    func() time.Time
	logger   *events.Logger
	counters *reason.Counters
	replies  replyReader
	tasks    conc.WaitGroup
	inFlight atomic.Int64
	// running maps attempt ids to the tasks that wait or run, for cancellation.
	running sync.Map

	// upstreams points to an immutable map. It is replaced under mu and read without a lock.
	upstreams atomic.Pointer[map[upstreamKey]*upstream]
	mu        sync.Mutex

	subRequests metrics.Counter
	mismatches  metrics.Counter
	silent      metrics.Counter
	abrupt      metrics.Counter
}

// New returns the owner of the node self. The caller must also call Run, which does the periodic work.
func New(self string, v func() *view.Snapshot, settings Settings, clock func() time.Time, logger *events.Logger, counters *reason.Counters,
	registry metrics.Registry) *Owner {
	o := &Owner{
		self:        self,
		view:        v,
		settings:    settings,
		clock:       clock,
		logger:      logger,
		counters:    counters,
		replies:     newReplyReader(),
		subRequests: metrics.NewRegisteredCounter("owner.sub_requests", registry),
		mismatches:  metrics.NewRegisteredCounter("owner.reply_mismatches", registry),
		silent:      metrics.NewRegisteredCounter("owner.silent_connections", registry),
		abrupt:      metrics.NewRegisteredCounter("owner.abrupt_losses", registry),
	}
	o.upstreams.Store(&map[upstreamKey]*upstream{})
	return o
}

// InFlight returns the number of sub-requests that wait or run.
func (o *Owner) InFlight() int { return int(o.inFlight.Load()) }

// Batch runs the sub-requests of a batch and calls send for each frame of replies. It returns when the last frame was sent, send failed or
// ctx is done. Sub-requests that still wait at that time are cancelled.
func (o *Owner) Batch(ctx context.Context, message *wire.Batch, send func(*wire.BatchReply) error) {
	now := o.clock()
	b := newBatch(message, now.Add(message.GetRemaining().AsDuration()))
	dropPriority := xxhash.Sum64String(message.GetCollection()) ^ message.GetQueryId()
	for _, item := range message.GetItems() {
		o.submit(now, b, item, dropPriority)
	}
	b.stream(ctx, o.clock, send)
	b.forEachTask(func(t *task) { o.removeWaiting(t, wire.Reason_REASON_CANCELLED) })
}

// submit queues a sub-request at its upstream, or finishes it if it is refused.
func (o *Owner) submit(now time.Time, b *batch, item *wire.SubRequest, dropPriority uint64) {
	o.subRequests.Inc(1)
	o.inFlight.Add(1)
	t := newTask(b, item)
	u := o.upstreamFor(now, b.message.GetCollection(), item.GetSearcher())
	if u == nil {
		o.finish(t, outcome{reason: wire.Reason_REASON_NOT_OWNER})
		return
	}
	t.upstream = u
	b.add(t)
	if u.isLeaving(now) {
		o.finish(t, outcome{reason: wire.Reason_REASON_SEARCHER_LEAVING})
		return
	}
	o.running.Store(t.id(), t)
	message := b.message
	queued := queue.NewItem(t.id(), message.GetPlan(), plans.RankFromWire(message.GetRank()), int(max(1, message.GetWeight())),
		b.deadline, message.GetExclusive(), dropPriority, t)
	handle, refusal := u.queue.Push(now, queued)
	o.flushDropped(u)
	if refusal != nil {
		o.finish(t, outcome{reason: refusal.Reason()})
		return
	}
	t.setHandle(handle)
	o.dispatch(now, u)
}

// dispatch starts waiting sub-requests while the concurrency limit allows it. It is serialized per upstream, so that a push
// cannot be missed between a failed pop and the release of its slot.
func (o *Owner) dispatch(now time.Time, u *upstream) {
	if !u.dispatchEnabled.Load() {
		return
	}
	u.dispatchMu.Lock()
	defer u.dispatchMu.Unlock()
	for int(u.inFlight.Load()) < u.pool.Load().limit.Allowed(now) {
		item, ok := u.queue.Pop(now)
		if !ok {
			break
		}
		t := item.Payload()
		if u.isLeaving(now) {
			u.queue.Done(now, item, 0)
			o.finish(t, outcome{reason: wire.Reason_REASON_SEARCHER_LEAVING})
			continue
		}
		u.inFlight.Add(1)
		o.tasks.Go(func() { o.run(u, t, item) })
	}
	o.flushDropped(u)
}

// run makes the only attempt of a task.
func (o *Owner) run(u *upstream, t *task, item queue.Item[*task]) {
	start := o.clock()
	pool := u.pool.Load()
	result := u.search(start, pool, t)
	u.release(pool)
	now := o.clock()
	u.inFlight.Add(-1)
	u.queue.Done(now, item, now.Sub(start))
	u.observe(now, pool, result, now.Sub(start))
	o.report(now, u, result)
	if result.reason == wire.Reason_REASON_REPLY_MALFORMED {
		o.logMalformed(u, result.err, zap.Uint64("query", t.batch.message.GetQueryId()), zap.Uint64("attempt", t.id()))
	}
	o.finish(t, result)
	o.dispatch(now, u)
}

// finish delivers the outcome of a task. Later calls for the same task have no effect.
func (o *Owner) finish(t *task, result outcome) {
	if !t.markEnded() {
		return
	}
	o.running.Delete(t.id())
	o.inFlight.Add(-1)
	if result.reason != wire.Reason_REASON_UNSPECIFIED {
		o.counters.Add(result.reason)
	}
	t.batch.deliver(t, result)
}

// flushDropped finishes the tasks that the queue dropped.
func (o *Owner) flushDropped(u *upstream) {
	for _, drop := range u.queue.TakeDropped() {
		o.finish(drop.Item().Payload(), outcome{reason: drop.Reason()})
	}
}

// removeWaiting removes a task from its queue and finishes it. It returns false if the task is not waiting.
func (o *Owner) removeWaiting(t *task, r wire.Reason) bool {
	if t.upstream == nil || !t.upstream.queue.Remove(t.queueHandle()) {
		return false
	}
	o.finish(t, outcome{reason: r})
	return true
}

// Cancel cancels attempts: waiting ones are removed from the queue, running ones are cancelled at the searcher.
func (o *Owner) Cancel(_ context.Context, message *wire.Cancel) {
	for _, id := range message.GetAttemptIds() {
		value, ok := o.running.Load(id)
		if !ok {
			continue
		}
		t := value.(*task)
		if t.batch.message.GetQueryId() != message.GetQueryId() || o.removeWaiting(t, wire.Reason_REASON_CANCELLED) {
			continue
		}
		o.tasks.Go(func() { t.upstream.cancel(o.clock(), id) })
	}
}

// HandlePause drops expired sub-requests from the queues after a pause of the process.
func (o *Owner) HandlePause(now time.Time) {
	for _, u := range *o.upstreams.Load() {
		u.queue.HandlePause(now)
		o.flushDropped(u)
	}
}

// upstreamFor returns the upstream of a searcher and creates it on first use. It returns nil if the collection's index does not name the
// searcher.
func (o *Owner) upstreamFor(now time.Time, collection, id string) *upstream {
	key := upstreamKey{collection: collection, searcher: id}
	if u, ok := (*o.upstreams.Load())[key]; ok {
		return u
	}
	v := o.view()
	searcher, ok := findSearcher(v, key)
	if !ok {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	current := *o.upstreams.Load()
	if u, ok := current[key]; ok {
		return u
	}
	u := newUpstream(now, key, searcher, o.share(v, key, searcher), o.settings, o.clock, o.replies)
	u.setListedLeaving(v.Leaving(id))
	next := maps.Clone(current)
	next[key] = u
	o.upstreams.Store(&next)
	o.tasks.Go(func() { o.pollHealth(u) })
	time.AfterFunc(firstHealthTimeout, func() { o.enableDispatch(u) })
	return u
}

func findSearcher(v *view.Snapshot, key upstreamKey) (shards.Searcher, bool) {
	index := v.Index(key.collection)
	if index == nil {
		return shards.Searcher{}, false
	}
	return index.Searcher(key.searcher)
}

// Fractions of a searcher's connections by the position of the owner. Standby owners get otherShare, and so do nodes that get
// sub-requests for a searcher that they don't own by their own view. Primary, secondary and standby together stay within the total, apart
// from the minimum of one connection each, and a sole owner leaves a tenth to nodes whose view still differs while ownership moves.
const (
	primaryShare   = 0.6
	secondaryShare = 0.3
	otherShare     = 0.1
	soleShare      = 0.9
)

// share returns the number of connections to a searcher that this node may open, at least 1.
func (o *Owner) share(v *view.Snapshot, key upstreamKey, searcher shards.Searcher) int {
	owners := v.Owners(key.collection, key.searcher)
	position := slices.IndexFunc(owners, func(vm shards.VM) bool { return vm.ID() == o.self })
	fraction := otherShare
	switch {
	case position == 0 && len(owners) == 1:
		fraction = soleShare
	case position == 0:
		fraction = primaryShare
	case position == 1:
		fraction = secondaryShare
	}
	return max(1, int(fraction*float64(searcher.Connections())))
}

// Refresh applies a new view to the upstreams: connection shares, addresses and leaving marks. Upstreams of searchers that are no longer
// listed get no new work and are removed once they are idle.
func (o *Owner) Refresh(now time.Time) {
	v := o.view()
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[upstreamKey]*upstream)
	for key, u := range *o.upstreams.Load() {
		searcher, ok := findSearcher(v, key)
		if !ok {
			if u.idle() {
				u.close()
				continue
			}
			u.setListedLeaving(true)
			next[key] = u
			continue
		}
		u.setListedLeaving(v.Leaving(key.searcher))
		u.updatePool(searcher, o.share(v, key, searcher))
		next[key] = u
	}
	o.upstreams.Store(&next)
}

// Run does the periodic work until ctx is done: it drops expired sub-requests, closes silent connections and polls health endpoints.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tick(o.clock())
		}
	}
}

func (o *Owner) tick(now time.Time) {
	for _, u := range *o.upstreams.Load() {
		o.dispatch(now, u)
		o.checkConnections(now, u)
		if u.healthDue(now) {
			o.tasks.Go(func() { o.pollHealth(u) })
		}
	}
}

// Close waits for the running sub-requests and then closes all connections.
func (o *Owner) Close() {
	o.tasks.Wait()
	for _, u := range *o.upstreams.Load() {
		u.close()
	}
}

// Upstreams returns the state of all upstreams, sorted by collection and searcher.
func (o *Owner) Upstreams(now time.Time) []UpstreamState {
	var all []UpstreamState
	for _, u := range *o.upstreams.Load() {
		all = append(all, u.state(now))
	}
	slices.SortFunc(all, func(a, b UpstreamState) int {
		if c := strings.Compare(a.collection, b.collection); c != 0 {
			return c
		}
		return strings.Compare(a.searcher, b.searcher)
	})
	return all
}
