// Package owner is the owner role: one queue in front of each searcher that this node owns, an adaptive limit, and the
// connections. An owner makes exactly one attempt per sub-request; only entries hedge and retry.
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
	// tickInterval is how often queues and connections are checked.
	tickInterval = 20 * time.Millisecond
	// healthInterval is how often a searcher's health endpoint is asked. Two lost polls still leave the bound of 3 s
	// for leaving searchers.
	healthInterval = time.Second
)

// vetTimeout bounds how long the first work waits for the health endpoint, which may be slow while the searcher itself is not.
const vetTimeout = 100 * time.Millisecond

// stationKey identifies a searcher.
type stationKey struct {
	collection string
	searcher   string
}

// Settings are the settings of the decision packages that an owner consults. The zero value takes all defaults.
type Settings struct {
	Queue queue.Settings
	Limit limit.Settings
	Stall stall.Settings
}

// Owner runs sub-requests. It is safe for concurrent use.
type Owner struct {
	self     string
	view     func() *view.Snapshot
	policies Settings
	clock    func() time.Time
	logger   *events.Logger
	counters *reason.Counters
	tasks    conc.WaitGroup
	inFlight atomic.Int64
	// running finds the tasks in flight by attempt id, for cancellation.
	running sync.Map

	// stations is replaced as a whole under mu and read without it.
	stations atomic.Pointer[map[stationKey]*station]
	mu       sync.Mutex

	subRequests metrics.Counter
	mismatches  metrics.Counter
	silent      metrics.Counter
	abrupt      metrics.Counter
}

// New returns an owner of the node self. Run must be called for its periodic work.
func New(self string, v func() *view.Snapshot, policies Settings, clock func() time.Time, logger *events.Logger, counters *reason.Counters,
	registry metrics.Registry) *Owner {
	o := &Owner{
		self:        self,
		view:        v,
		policies:    policies,
		clock:       clock,
		logger:      logger,
		counters:    counters,
		subRequests: metrics.NewRegisteredCounter("owner.sub_requests", registry),
		mismatches:  metrics.NewRegisteredCounter("owner.reply_mismatches", registry),
		silent:      metrics.NewRegisteredCounter("owner.silent_connections", registry),
		abrupt:      metrics.NewRegisteredCounter("owner.abrupt_losses", registry),
	}
	o.stations.Store(&map[stationKey]*station{})
	return o
}

// InFlight returns the number of sub-requests that wait or run.
func (o *Owner) InFlight() int { return int(o.inFlight.Load()) }

// Batch runs the sub-requests of a batch and calls send for each frame. It returns when the last frame was sent or ctx ended; waiting
// sub-requests are then withdrawn.
func (o *Owner) Batch(ctx context.Context, message *wire.Batch, send func(*wire.BatchReply) error) {
	now := o.clock()
	b := newBatch(message, now.Add(message.GetRemaining().AsDuration()))
	order := xxhash.Sum64String(message.GetCollection()) ^ message.GetQueryId()
	for _, item := range message.GetItems() {
		o.submit(now, b, item, order)
	}
	b.stream(ctx, o.clock, send)
	b.withdraw(func(t *task) { o.withdraw(t, wire.Reason_REASON_CANCELLED) })
}

func (o *Owner) submit(now time.Time, b *batch, item *wire.SubRequest, order uint64) {
	o.subRequests.Inc(1)
	o.inFlight.Add(1)
	t := newTask(b, item)
	s := o.station(now, b.message.GetCollection(), item.GetSearcher())
	if s == nil {
		o.finish(t, outcome{reason: wire.Reason_REASON_NOT_OWNER})
		return
	}
	t.station = s
	b.add(t)
	if s.leavingNow(now) {
		o.finish(t, outcome{reason: wire.Reason_REASON_SEARCHER_LEAVING})
		return
	}
	o.running.Store(t.id(), t)
	message := b.message
	entry := queue.NewItem(t.id(), message.GetPlan(), plans.RankFromWire(message.GetRank()), int(max(1, message.GetWeight())),
		b.deadline, message.GetExclusive(), order, t)
	ticket, refusal := s.queue.Push(now, entry)
	o.flushDropped(s)
	if refusal != nil {
		o.finish(t, outcome{reason: refusal.Reason()})
		return
	}
	t.wait(ticket)
	o.pump(now, s)
}

// pump starts waiting sub-requests while the limit allows it. It is serialized per station, so that a push cannot be
// missed between a failed pop and the release of its slot.
func (o *Owner) pump(now time.Time, s *station) {
	if !s.vetted.Load() {
		return
	}
	s.pumping.Lock()
	defer s.pumping.Unlock()
	for int(s.inFlight.Load()) < s.link.Load().limit.Allowed(now) {
		item, ok := s.queue.Pop(now)
		if !ok {
			break
		}
		t := item.Payload()
		if s.leavingNow(now) {
			s.queue.Done(now, item, 0)
			o.finish(t, outcome{reason: wire.Reason_REASON_SEARCHER_LEAVING})
			continue
		}
		s.inFlight.Add(1)
		o.tasks.Go(func() { o.run(s, t, item) })
	}
	o.flushDropped(s)
}

// run makes the one attempt of a task.
func (o *Owner) run(s *station, t *task, item queue.Item[*task]) {
	began := o.clock()
	link := s.link.Load()
	result := s.search(began, link, t)
	s.release(link)
	now := o.clock()
	s.inFlight.Add(-1)
	s.queue.Done(now, item, now.Sub(began))
	s.learn(now, link, result, now.Sub(began))
	o.report(now, s, result)
	o.finish(t, result)
	o.pump(now, s)
}

// finish delivers the outcome of a task, once.
func (o *Owner) finish(t *task, result outcome) {
	if !t.end() {
		return
	}
	o.running.Delete(t.id())
	o.inFlight.Add(-1)
	if result.reason != wire.Reason_REASON_UNSPECIFIED {
		o.counters.Add(result.reason)
	}
	t.batch.deliver(t, result)
}

func (o *Owner) flushDropped(s *station) {
	for _, drop := range s.queue.TakeDropped() {
		o.finish(drop.Item().Payload(), outcome{reason: drop.Reason()})
	}
}

// withdraw removes a waiting task; a running one is left alone.
func (o *Owner) withdraw(t *task, r wire.Reason) bool {
	if t.station == nil || !t.station.queue.Remove(t.waitingTicket()) {
		return false
	}
	o.finish(t, outcome{reason: r})
	return true
}

// Cancel stops attempts: waiting ones leave the queue, running ones are cancelled at the searcher.
func (o *Owner) Cancel(_ context.Context, message *wire.Cancel) {
	for _, id := range message.GetAttemptIds() {
		value, ok := o.running.Load(id)
		if !ok {
			continue
		}
		t := value.(*task)
		if t.batch.message.GetQueryId() != message.GetQueryId() || o.withdraw(t, wire.Reason_REASON_CANCELLED) {
			continue
		}
		o.tasks.Go(func() { t.station.cancel(o.clock(), id) })
	}
}

// HandlePause drops expired work after the process was paused.
func (o *Owner) HandlePause(now time.Time) {
	for _, s := range *o.stations.Load() {
		s.queue.HandlePause(now)
		o.flushDropped(s)
	}
}

// station returns the station of a searcher and makes it on first use. It returns nil when no index names the searcher.
func (o *Owner) station(now time.Time, collection, id string) *station {
	key := stationKey{collection: collection, searcher: id}
	if s, ok := (*o.stations.Load())[key]; ok {
		return s
	}
	v := o.view()
	searcher, ok := lookup(v, key)
	if !ok {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	present := *o.stations.Load()
	if s, ok := present[key]; ok {
		return s
	}
	s := newStation(now, key, searcher, o.share(v, key, searcher), o.policies, o.clock)
	s.listed(v.Leaving(id))
	next := maps.Clone(present)
	next[key] = s
	o.stations.Store(&next)
	o.tasks.Go(func() { o.pollHealth(s) })
	time.AfterFunc(vetTimeout, func() { o.vet(s) })
	return s
}

func lookup(v *view.Snapshot, key stationKey) (shards.Searcher, bool) {
	index := v.Index(key.collection)
	if index == nil {
		return shards.Searcher{}, false
	}
	return index.Searcher(key.searcher)
}

// Shares of a searcher's connections, which add up to less than all of them while owners with differing views hand over.
const (
	primaryShare   = 0.6
	secondaryShare = 0.3
	otherShare     = 0.1
	soleShare      = 0.9
)

// share returns how many connections to a searcher this node may open, at least 1.
func (o *Owner) share(v *view.Snapshot, key stationKey, searcher shards.Searcher) int {
	owners := v.Owners(key.collection, key.searcher)
	position := slices.IndexFunc(owners, func(vm shards.VM) bool { return vm.ID() == o.self })
	part := otherShare
	switch {
	case position == 0 && len(owners) == 1:
		part = soleShare
	case position == 0:
		part = primaryShare
	case position == 1:
		part = secondaryShare
	}
	return max(1, int(part*float64(searcher.Connections())))
}

// Refresh adapts the stations to a new view: shares, addresses, leaving marks. Stations of searchers that are no longer listed go when
// they are idle.
func (o *Owner) Refresh(now time.Time) {
	v := o.view()
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[stationKey]*station)
	for key, s := range *o.stations.Load() {
		searcher, ok := lookup(v, key)
		if !ok {
			if s.idle() {
				s.close()
				continue
			}
			s.listed(true)
			next[key] = s
			continue
		}
		s.listed(v.Leaving(key.searcher))
		s.relink(searcher, o.share(v, key, searcher))
		next[key] = s
	}
	o.stations.Store(&next)
}

// Run does the periodic work until ctx ends: it drops expired work, closes silent connections and asks for health.
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
	for _, s := range *o.stations.Load() {
		o.pump(now, s)
		o.checkConnections(now, s)
		if s.healthDue(now) {
			o.tasks.Go(func() { o.pollHealth(s) })
		}
	}
}

// Close closes all connections once the work is done.
func (o *Owner) Close() {
	o.tasks.Wait()
	for _, s := range *o.stations.Load() {
		s.close()
	}
}

// Upstreams returns the state of all stations, sorted by collection and searcher.
func (o *Owner) Upstreams(now time.Time) []UpstreamState {
	var all []UpstreamState
	for _, s := range *o.stations.Load() {
		all = append(all, s.state(now))
	}
	slices.SortFunc(all, func(a, b UpstreamState) int {
		if c := strings.Compare(a.collection, b.collection); c != 0 {
			return c
		}
		return strings.Compare(a.searcher, b.searcher)
	})
	return all
}
