// Package queue decides which sub-request one searcher runs next. Ranks are served by strict priority, except that each
// rank has a floor: a minimum share of service time while it has waiting work. Within a rank, plans share the service
// time by weight (start-time fair queueing). Work that cannot meet its deadline is dropped before it occupies a slot.
package queue

import (
	"math"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	defaultMaxWaitingPerPlan = 1024
	defaultMaxIdlePlans      = 1024
	defaultUsageWindow       = time.Second
	// ewmaSamples is the number of samples that a moving average spans.
	ewmaSamples = 64
	// Floors are measured over at least minFloorWindows usage windows and minFloorServices mean service times. Measured
	// over a single window of 1 s, bulk work of 16 ms beside urgent work of 1 ms received 7.7% instead of 5%, since most
	// of each item's service time had decayed before the rank's next turn.
	minFloorWindows  = 10
	minFloorServices = 256
	// minOverdraftServices is the number of mean service times that a rank's counted use beyond its floor spans at least.
	minOverdraftServices = 32
	// initialServiceEstimate is the service time charged for an item before the first one was measured.
	initialServiceEstimate = time.Millisecond
	// probeAfter is the time without a service time sample after which one item may run although the average service
	// time exceeds its remaining time. Without such probes a queue that once measured a long service time would refuse
	// all work and never take another sample.
	probeAfter = time.Second
	// residualShare is the fraction of its service time that a running item has left on average.
	residualShare = 0.5
	// The safety margin of Push is marginDeviations deviations of the service time, but at most maxMarginShare of the
	// slack.
	marginDeviations = 2
	maxMarginShare   = 0.25
	// replaceWaitShare is the fraction of the expected wait that an item must be able to wait to replace another one. The
	// expected wait varies with the average service time. When every rise made a queue refuse all new items, the queues
	// of a query's shards no longer dropped the same queries: at 5 times overload only 2% of the capacity went to
	// queries with complete answers.
	replaceWaitShare = 0.75
	// maxVictims is the number of items that one item may replace. It is above 1 so that an overlong queue shrinks.
	maxVictims = 2
	// maxPressure is the upper bound of the reported pressure.
	maxPressure = 100
)

// Settings configures a queue. Zero fields take their defaults.
type Settings struct {
	// Floors is the minimum share of service time of each rank while it has waiting work.
	Floors [plans.NumRanks]float64
	// MaxWaitingPerPlan is the maximum number of waiting items of one plan.
	MaxWaitingPerPlan int
	// MaxIdlePlans is the number of plans without waiting items, per rank, whose fair queueing tags and average
	// remaining time are kept.
	MaxIdlePlans int
	// UsageWindow is the time over which each rank's use of the searcher is measured. Floors are measured over at least
	// ten times as much service time.
	UsageWindow time.Duration
	// Discipline is the order of service. Nil means Fair.
	Discipline Discipline
}

// DefaultFloors returns the default floors: urgent 50%, routine 20%, bulk 5%.
func DefaultFloors() [plans.NumRanks]float64 {
	return [plans.NumRanks]float64{plans.Urgent: 0.50, plans.Routine: 0.20, plans.Bulk: 0.05}
}

func (s Settings) withDefaults() Settings {
	if s.Floors == ([plans.NumRanks]float64{}) {
		s.Floors = DefaultFloors()
	}
	if s.MaxWaitingPerPlan <= 0 {
		s.MaxWaitingPerPlan = defaultMaxWaitingPerPlan
	}
	if s.MaxIdlePlans <= 0 {
		s.MaxIdlePlans = defaultMaxIdlePlans
	}
	if s.UsageWindow <= 0 {
		s.UsageWindow = defaultUsageWindow
	}
	return s
}

// Queue orders the work in front of one searcher. It is safe for concurrent use.
type Queue[T any] struct {
	settings Settings

	mu    sync.Mutex
	ranks [plans.NumRanks]*rankState[T]
	// byDeadline has the waiting item with the earliest deadline on top.
	byDeadline indexedHeap[*entry[T]]
	entries    []*entry[T]
	// freeIndexes lists the indexes of the unused entries.
	freeIndexes []uint32
	dropped     []DroppedItem[T]

	waiting int
	running int
	// exclusive is set while an exclusive item runs.
	exclusive   bool
	activations uint64
	arrivals    uint64
	// epoch counts process pauses.
	epoch uint64

	serviceTime ewma
	// lastSampleAt is the time of the last sample of serviceTime.
	lastSampleAt time.Time
	// parallelism is the estimated number of items that run at once while others wait.
	parallelism float64
	// usageDecayedAt is the time up to which rankState.usage has been decayed.
	usageDecayedAt time.Time
}

// New returns an empty queue.
func New[T any](s Settings) *Queue[T] {
	q := &Queue[T]{settings: s.withDefaults()}
	for rank := range q.ranks {
		q.ranks[rank] = newRankState[T](q.settings.Floors[rank])
	}
	q.byDeadline = indexedHeap[*entry[T]]{
		less: func(a, b *entry[T]) bool {
			if !a.item.deadline.Equal(b.item.deadline) {
				return a.item.deadline.Before(b.item.deadline)
			}
			return a.index < b.index
		},
		setPosition: func(e *entry[T], position int) { e.byDeadline = position },
	}
	return q
}

// Push adds an item. It refuses the item with EXPIRED, with CANNOT_MEET_DEADLINE when the expected wait at the plan's
// position plus the service time exceeds the remaining time, or with QUEUE_FULL when the plan has too many waiting
// items. In the last two cases the item instead replaces one or two waiting items of its plan that have a higher drop
// priority, if there are any and it can wait long enough; TakeDropped returns those with the same reason.
func (q *Queue[T]) Push(now time.Time, it Item[T]) (Handle, *reason.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining := it.deadline.Sub(now)
	q.decayUsage(now)
	if remaining <= 0 {
		return Handle{}, reason.New(wire.Reason_REASON_EXPIRED, "")
	}
	q.dropLate(now, false)
	rs := q.ranks[it.rank]
	f := rs.flow(it.plan, q.settings.MaxIdlePlans)
	rs.setWeight(f, float64(it.weight))
	f.remainingAtPush.add(remaining)
	if r := q.makeRoom(now, f, it, remaining); r != wire.Reason_REASON_UNSPECIFIED {
		return Handle{}, reason.New(r, "")
	}
	return q.insert(rs, f, it), nil
}

// makeRoom returns why an item must be refused, or REASON_UNSPECIFIED after dropping other items of its plan if that was
// necessary.
func (q *Queue[T]) makeRoom(now time.Time, f *flow[T], it Item[T], remaining time.Duration) wire.Reason {
	if q.mayProbe(now) && q.waiting == 0 {
		return wire.Reason_REASON_UNSPECIFIED
	}
	full := f.waiting >= q.settings.MaxWaitingPerPlan
	if q.isFIFO() {
		if full {
			return wire.Reason_REASON_QUEUE_FULL
		}
		return wire.Reason_REASON_UNSPECIFIED
	}
	late := !q.meetsDeadline(f, it, f.waiting, remaining)
	if !full && !late {
		return wire.Reason_REASON_UNSPECIFIED
	}
	refusal := wire.Reason_REASON_CANNOT_MEET_DEADLINE
	if full {
		refusal = wire.Reason_REASON_QUEUE_FULL
	}
	if f.waiting == 0 || f.byDropPriority.top().item.dropPriority <= it.dropPriority {
		return refusal
	}
	if !q.mayReplace(f, it, remaining) {
		return wire.Reason_REASON_CANNOT_MEET_DEADLINE
	}
	for victims := 0; victims < maxVictims && f.waiting > 0 && f.byDropPriority.top().item.dropPriority > it.dropPriority; victims++ {
		q.drop(f.byDropPriority.top(), refusal)
		if q.meetsDeadline(f, it, f.waiting, remaining) {
			break
		}
	}
	return wire.Reason_REASON_UNSPECIFIED
}

// mayReplace reports whether an item may replace another one of its plan although the expected wait is slightly too long.
func (q *Queue[T]) mayReplace(f *flow[T], it Item[T], remaining time.Duration) bool {
	wait := q.expectedWait(it.rank, f, float64(it.weight), f.waiting-1)
	return replaceWaitShare*wait+q.serviceTime.seconds <= remaining.Seconds()
}

// meetsDeadline reports whether an item can meet its deadline when ahead items of its plan go before it.
func (q *Queue[T]) meetsDeadline(f *flow[T], it Item[T], ahead int, remaining time.Duration) bool {
	wait := q.expectedWait(it.rank, f, float64(it.weight), ahead)
	slack := remaining.Seconds() - q.serviceTime.seconds
	if wait == 0 {
		return slack >= 0
	}
	return wait+q.startMargin(slack) <= slack
}

// startMargin returns by how many seconds an item should start before its latest start time. An overloaded queue reaches
// an equilibrium where items start as late as Push allows; without a margin about half of them would run past their
// deadline.
func (q *Queue[T]) startMargin(slack float64) float64 {
	return min(marginDeviations*q.serviceTime.deviation, maxMarginShare*max(slack, 0))
}

func (q *Queue[T]) insert(rs *rankState[T], f *flow[T], it Item[T]) Handle {
	e := q.allocateEntry()
	e.item = it
	q.arrivals++
	e.arrival = q.arrivals
	e.waiting = true
	f.append(e)
	if f.waiting == 1 {
		q.activations++
		rs.activate(f, q.activations)
	}
	rs.waiting++
	q.waiting++
	q.byDeadline.add(e)
	return Handle{index: e.index, generation: e.generation}
}

// allocateEntry returns an unused entry, a new one if necessary.
func (q *Queue[T]) allocateEntry() *entry[T] {
	if n := len(q.freeIndexes); n > 0 {
		e := q.entries[q.freeIndexes[n-1]]
		q.freeIndexes = q.freeIndexes[:n-1]
		return e
	}
	e := &entry[T]{index: uint32(len(q.entries)), generation: 1}
	q.entries = append(q.entries, e)
	return e
}

// removeEntry removes a waiting entry from all data structures and returns its item.
func (q *Queue[T]) removeEntry(e *entry[T]) Item[T] {
	it := e.item
	f := e.flow
	rs := q.ranks[it.rank]
	f.unlink(e)
	if f.waiting == 0 {
		rs.deactivate(f)
	}
	rs.waiting--
	if rs.waiting == 0 {
		rs.deficit = min(rs.deficit, 0)
	}
	q.waiting--
	q.byDeadline.remove(e.byDeadline)
	e.item = Item[T]{}
	e.flow = nil
	e.waiting = false
	e.generation++
	q.freeIndexes = append(q.freeIndexes, e.index)
	return it
}

func (q *Queue[T]) drop(e *entry[T], r wire.Reason) {
	q.dropped = append(q.dropped, DroppedItem[T]{item: q.removeEntry(e), reason: r})
}

// mayProbe reports whether one item may run regardless of the average service time, to measure it again.
func (q *Queue[T]) mayProbe(now time.Time) bool {
	return q.running == 0 && now.Sub(q.lastSampleAt) > probeAfter
}

// dropLate drops the items that expired or whose remaining time is below the average service time. Unless all is set,
// it keeps the last item when the service time has to be measured again.
func (q *Queue[T]) dropLate(now time.Time, all bool) {
	service := q.serviceTime.duration()
	if q.isFIFO() {
		service = 0
	}
	for q.waiting > 0 {
		e := q.byDeadline.top()
		remaining := e.item.deadline.Sub(now)
		if remaining <= 0 {
			q.drop(e, wire.Reason_REASON_EXPIRED)
			continue
		}
		if remaining >= service {
			return
		}
		if !all && q.waiting == 1 && q.mayProbe(now) {
			return
		}
		q.drop(e, wire.Reason_REASON_CANNOT_MEET_DEADLINE)
	}
}

// Pop returns the next item to run, or false when nothing waits, when an exclusive item is running, or when the next item
// is exclusive and others are running. The caller must call Done for each popped item.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropLate(now, false)
	if q.waiting == 0 || q.exclusive {
		return Item[T]{}, false
	}
	e := q.selectNext()
	if e.item.exclusive && q.running > 0 {
		return Item[T]{}, false
	}
	return q.startItem(now, q.ranks[e.item.rank], e.flow, e), true
}

// nextRank returns the rank to serve: the one that is furthest below its floor, or else the most urgent one with waiting
// work.
func (q *Queue[T]) nextRank() plans.Rank {
	best := plans.Rank(-1)
	deficit := 0.0
	first := plans.Rank(-1)
	for _, rank := range plans.Ranks() {
		rs := q.ranks[rank]
		if rs.waiting == 0 {
			continue
		}
		if first < 0 {
			first = rank
		}
		if rs.deficit > deficit {
			best = rank
			deficit = rs.deficit
		}
	}
	if best >= 0 {
		return best
	}
	return first
}

func (q *Queue[T]) startItem(now time.Time, rs *rankState[T], f *flow[T], e *entry[T]) Item[T] {
	estimate := q.serviceTime.duration()
	if q.serviceTime.samples == 0 {
		estimate = initialServiceEstimate
	}
	rs.virtualTime = max(rs.virtualTime, f.startTag)
	f.finishTag = f.startTag + estimate.Seconds()/f.weight
	f.startTag = f.finishTag
	rs.maxFinish = max(rs.maxFinish, f.finishTag)
	rs.active.fix(f.position)
	q.accountService(now, rs, estimate.Seconds())
	it := q.removeEntry(e)
	it.charged = estimate
	it.epoch = q.epoch
	rs.running++
	q.running++
	q.exclusive = it.exclusive
	q.updateParallelism()
	return it
}

// accountService charges a service time in seconds to the served rank and credits each rank with waiting work with its
// floor's share of it. The time is negative when an earlier charge was too high.
func (q *Queue[T]) accountService(now time.Time, served *rankState[T], seconds float64) {
	window := max(minFloorWindows*q.settings.UsageWindow.Seconds(), minFloorServices*q.serviceTime.seconds)
	decayFactor := window / (window + math.Abs(seconds))
	q.decayUsage(now)
	for _, rs := range q.ranks {
		rs.deficit *= decayFactor
		if rs.waiting > 0 {
			rs.deficit += rs.floor * seconds
		}
	}
	// A rank's use of spare capacity beyond its floor counts against it only up to what one usage window makes up for.
	// Otherwise a rank that used spare capacity would get nothing for seconds when a more urgent one starts to flood.
	maxOverdraft := served.floor * max(q.settings.UsageWindow.Seconds(), minOverdraftServices*q.serviceTime.seconds)
	served.deficit = max(served.deficit-seconds, -maxOverdraft)
	served.usage = max(0, served.usage+seconds)
}

// decayUsage decays the measured usage of all ranks to the time now.
func (q *Queue[T]) decayUsage(now time.Time) {
	elapsed := now.Sub(q.usageDecayedAt)
	if elapsed <= 0 {
		return
	}
	decayFactor := math.Exp(-elapsed.Seconds() / q.settings.UsageWindow.Seconds())
	for _, rs := range q.ranks {
		rs.usage *= decayFactor
	}
	q.usageDecayedAt = now
}

// updateParallelism adapts the estimate to the number of running items while others wait: at once upwards, gradually
// downwards.
func (q *Queue[T]) updateParallelism() {
	running := float64(q.running)
	if running > q.parallelism {
		q.parallelism = running
		return
	}
	if q.waiting > 0 && !q.exclusive {
		q.parallelism += (running - q.parallelism) / ewmaSamples
	}
}

// Done records that a popped item ended after the given service time. Zero or less means that the service time is unknown
// or that the searcher did not run the item: then no sample is taken and the charge is refunded.
func (q *Queue[T]) Done(now time.Time, it Item[T], service time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	rs := q.ranks[it.rank]
	q.running--
	rs.running--
	if it.exclusive {
		q.exclusive = false
	}
	service = max(service, 0)
	if service > 0 && it.epoch == q.epoch {
		q.serviceTime.add(service)
		q.lastSampleAt = now
	}
	correction := (service - it.charged).Seconds()
	q.accountService(now, rs, correction)
	f, ok := rs.flows[it.plan]
	if !ok {
		return
	}
	rs.charge(f, correction)
}

// TakeDropped returns the items that were dropped since the last call and forgets them. The owner must call it after each
// Push, Pop and HandlePause, since each dropped item needs a reply.
func (q *Queue[T]) TakeDropped() []DroppedItem[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

// Remove removes a waiting item. It reports whether the item was still waiting, in which case it will not run.
func (q *Queue[T]) Remove(h Handle) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if int(h.index) >= len(q.entries) {
		return false
	}
	e := q.entries[h.index]
	if !e.waiting || e.generation != h.generation {
		return false
	}
	q.removeEntry(e)
	return true
}

// HandlePause drops the work that expired while the process was paused. The service times of the items that are running
// now are not sampled, since they include the pause.
func (q *Queue[T]) HandlePause(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.epoch++
	q.dropLate(now, true)
}

// Pressure returns the ratio of the expected wait of the plan's next item to the longest wait with which an item of the
// plan usually meets its deadline. At a ratio above 1 such an item would be refused.
func (q *Queue[T]) Pressure(now time.Time, r plans.Rank, plan string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	r = clampRank(r)
	f := q.ranks[r].flows[plan]
	if f == nil || f.remainingAtPush.samples == 0 {
		return 0
	}
	q.decayUsage(now)
	wait := q.expectedWait(r, f, f.weight, f.waiting)
	if wait == 0 {
		return 0
	}
	maxWait := f.remainingAtPush.seconds - q.serviceTime.seconds
	maxWait -= q.startMargin(maxWait)
	if maxWait*maxPressure <= wait {
		return maxPressure
	}
	return wait / maxWait
}

// expectedWait returns the seconds until one more item of a plan starts when ahead items of its plan go before it.
func (q *Queue[T]) expectedWait(r plans.Rank, f *flow[T], weight float64, ahead int) float64 {
	parallel := max(1, q.parallelism)
	if q.waiting == 0 && float64(q.running) < parallel {
		return 0
	}
	perItem := q.serviceTime.seconds / parallel
	if q.isFIFO() {
		return perItem * (float64(q.waiting) + residualShare)
	}
	rs := q.ranks[r]
	own := rs.itemsAhead(f, weight, ahead) + residualShare
	higher, share := q.loadFromOtherRanks(r)
	byPriority := (own + higher) / max(rs.floor, 1-share)
	byFloor := math.Inf(1)
	if rs.floor > 0 {
		byFloor = own / rs.floor
	}
	return perItem * min(byPriority, byFloor)
}

// loadFromOtherRanks returns the number of waiting items of more urgent ranks, and the share of service time that is not
// available to the rank: what more urgent ranks used over the usage window plus the floors of less urgent ranks with
// waiting work.
func (q *Queue[T]) loadFromOtherRanks(r plans.Rank) (waiting, share float64) {
	capacity := q.settings.UsageWindow.Seconds() * max(1, q.parallelism)
	for rank, rs := range q.ranks {
		switch {
		case plans.Rank(rank) < r:
			waiting += float64(rs.waiting)
			share += rs.usage / capacity
		case plans.Rank(rank) > r && rs.waiting > 0:
			share += rs.floor
		}
	}
	return waiting, min(share, 1)
}

// Waiting returns the number of waiting items.
func (q *Queue[T]) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Running returns the number of popped items that have not ended.
func (q *Queue[T]) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// ServiceTime returns the average service time, zero before the first sample.
func (q *Queue[T]) ServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.serviceTime.duration()
}
