// Package queue decides which sub-request one searcher runs next. It gives priority by rank subject to floors, shares
// a rank's service time among plans by weight, and drops work that cannot meet its deadline before it costs a slot.
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
	defaultMaxWaiting = 1024
	defaultMaxIdle    = 1024
	defaultWindow     = time.Second
	// meanSamples is the number of samples that an exponentially weighted mean spans.
	meanSamples = 64
	// floorWindows and windowServices are the windows and the mean service times that the measurement of floors spans at least. With a
	// window of 1 s, bulk work of 16 ms beside urgent work of 1 ms received 7.7% instead of 5%, since most of each item was
	// forgiven before the next turn.
	floorWindows   = 10
	windowServices = 256
	// overdraftServices is the least number of mean service times of the window that a rank's use beyond its floor counts in.
	overdraftServices = 32
	// unlearnedService is charged for an item before the first service time is known.
	unlearnedService = time.Millisecond
	// relearnAfter is the time without a sample after which one item may run although the learned service time exceeds its
	// remaining time. Without it a queue that learned a slow service time would refuse all work and never learn again.
	relearnAfter = time.Second
	// residual is the share of a service time that running work has left on average.
	residual = 0.5
	// marginDeviations and marginShare set the margin of Push: deviations of the service time, at most a share of the time to spare.
	marginDeviations = 2
	marginShare      = 0.25
	// replaceShare is the share of the expected wait that an item must be able to wait to replace another one. The
	// expected wait varies with the learned service time; when each rise refused all new items, the queues of a
	// query's shards no longer dropped the same queries: at 5 times overload 2% of the capacity went to whole queries.
	replaceShare = 0.75
	// maxVictims is the number of items that one item may replace, so that a queue that is too long shrinks.
	maxVictims = 2
	// maxPressure bounds the reported pressure.
	maxPressure = 100
)

// Settings configure a queue. Zero fields take the default.
type Settings struct {
	// Floors is the least share of service time of each rank while it has waiting work.
	Floors [plans.NumRanks]float64
	// MaxWaitingPerPlan is the greatest number of waiting items of one plan.
	MaxWaitingPerPlan int
	// MaxIdlePlans is the number of plans without waiting items whose tags and patience are kept, by rank.
	MaxIdlePlans int
	// UsageWindow is the time over which the use of the searcher by rank is measured; floors are measured over ten times as
	// much service time.
	UsageWindow time.Duration
	// Discipline is the order of service; nil means Fair.
	Discipline Discipline
}

// DefaultFloors returns the floors of the design: urgent 50%, routine 20%, bulk 5%.
func DefaultFloors() [plans.NumRanks]float64 {
	return [plans.NumRanks]float64{plans.Urgent: 0.50, plans.Routine: 0.20, plans.Bulk: 0.05}
}

func (s Settings) withDefaults() Settings {
	if s.Floors == ([plans.NumRanks]float64{}) {
		s.Floors = DefaultFloors()
	}
	if s.MaxWaitingPerPlan <= 0 {
		s.MaxWaitingPerPlan = defaultMaxWaiting
	}
	if s.MaxIdlePlans <= 0 {
		s.MaxIdlePlans = defaultMaxIdle
	}
	if s.UsageWindow <= 0 {
		s.UsageWindow = defaultWindow
	}
	return s
}

// Queue orders the work in front of one searcher. It is safe for concurrent use.
type Queue[T any] struct {
	settings Settings

	mu    sync.Mutex
	bands [plans.NumRanks]*band[T]
	// byDeadline has the waiting item with the earliest deadline on top.
	byDeadline indexed[*entry[T]]
	slots      []*entry[T]
	// free lists the slots whose entry is not in use.
	free    []uint32
	dropped []DroppedItem[T]

	waiting int
	running int
	// exclusive is set while an exclusive item runs.
	exclusive   bool
	activations uint64
	arrivals    uint64
	epoch       uint64

	service   mean
	learnedAt time.Time
	// parallel is the learned number of items that run at once while others wait.
	parallel float64
	// usedAt is the time to which band.used has decayed.
	usedAt time.Time
}

// New returns an empty queue.
func New[T any](s Settings) *Queue[T] {
	q := &Queue[T]{settings: s.withDefaults()}
	for rank := range q.bands {
		q.bands[rank] = newBand[T](q.settings.Floors[rank])
	}
	q.byDeadline = indexed[*entry[T]]{
		less: func(a, b *entry[T]) bool {
			if !a.item.deadline.Equal(b.item.deadline) {
				return a.item.deadline.Before(b.item.deadline)
			}
			return a.slot < b.slot
		},
		place: func(e *entry[T], position int) { e.byDeadline = position },
	}
	return q
}

// Push enters an item. It refuses with EXPIRED, with CANNOT_MEET_DEADLINE when the expected wait at the plan's
// position and the service time exceed the remaining time, and with QUEUE_FULL when the plan has too many waiting
// items. In the last two cases the item replaces one or two waiting items of its plan with a higher order hash, if
// there are any; Dropped reports them with that reason.
func (q *Queue[T]) Push(now time.Time, it Item[T]) (Handle, *reason.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining := it.deadline.Sub(now)
	q.decay(now)
	if remaining <= 0 {
		return Handle{}, reason.New(wire.Reason_REASON_EXPIRED, "")
	}
	q.dropHopeless(now, false)
	b := q.bands[it.rank]
	f := b.flow(it.plan, q.settings.MaxIdlePlans)
	b.reweigh(f, float64(it.weight))
	f.patience.add(remaining)
	if r := q.makeRoom(now, f, it, remaining); r != wire.Reason_REASON_UNSPECIFIED {
		return Handle{}, reason.New(r, "")
	}
	return q.enter(b, f, it), nil
}

// makeRoom returns why an item cannot enter, or REASON_UNSPECIFIED, after it dropped another item if that was necessary.
func (q *Queue[T]) makeRoom(now time.Time, f *flow[T], it Item[T], remaining time.Duration) wire.Reason {
	if q.mayProbe(now) && q.waiting == 0 {
		return wire.Reason_REASON_UNSPECIFIED
	}
	full := f.waiting >= q.settings.MaxWaitingPerPlan
	if q.fifo() {
		if full {
			return wire.Reason_REASON_QUEUE_FULL
		}
		return wire.Reason_REASON_UNSPECIFIED
	}
	late := !q.meets(f, it, f.waiting, remaining)
	if !full && !late {
		return wire.Reason_REASON_UNSPECIFIED
	}
	refusal := wire.Reason_REASON_CANNOT_MEET_DEADLINE
	if full {
		refusal = wire.Reason_REASON_QUEUE_FULL
	}
	if f.waiting == 0 || f.byOrder.top().item.order <= it.order {
		return refusal
	}
	if !q.mayReplace(f, it, remaining) {
		return wire.Reason_REASON_CANNOT_MEET_DEADLINE
	}
	for victims := 0; victims < maxVictims && f.waiting > 0 && f.byOrder.top().item.order > it.order; victims++ {
		q.drop(f.byOrder.top(), refusal)
		if q.meets(f, it, f.waiting, remaining) {
			break
		}
	}
	return wire.Reason_REASON_UNSPECIFIED
}

// mayReplace reports whether an item may take the place of another one of its plan although the expected wait is a little too long.
func (q *Queue[T]) mayReplace(f *flow[T], it Item[T], remaining time.Duration) bool {
	wait := q.expectedWait(it.rank, f, float64(it.weight), f.waiting-1)
	return replaceShare*wait+q.service.seconds <= remaining.Seconds()
}

// meets reports whether an item with a number of items of its plan ahead can meet its deadline.
func (q *Queue[T]) meets(f *flow[T], it Item[T], ahead int, remaining time.Duration) bool {
	wait := q.expectedWait(it.rank, f, float64(it.weight), ahead)
	slack := remaining.Seconds() - q.service.seconds
	if wait == 0 {
		return slack >= 0
	}
	return wait+q.margin(slack) <= slack
}

// margin returns the seconds by which an item should start early. An overloaded queue settles where items start as
// late as Push allows; without a margin about half of them would run past their deadline.
func (q *Queue[T]) margin(slack float64) float64 {
	return min(marginDeviations*q.service.deviation, marginShare*max(slack, 0))
}

func (q *Queue[T]) enter(b *band[T], f *flow[T], it Item[T]) Handle {
	e := q.take()
	e.item = it
	q.arrivals++
	e.arrival = q.arrivals
	e.waiting = true
	f.append(e)
	if f.waiting == 1 {
		q.activations++
		b.activate(f, q.activations)
	}
	b.waiting++
	q.waiting++
	q.byDeadline.add(e)
	return Handle{slot: e.slot, generation: e.generation}
}

// take returns an unused entry.
func (q *Queue[T]) take() *entry[T] {
	if n := len(q.free); n > 0 {
		e := q.slots[q.free[n-1]]
		q.free = q.free[:n-1]
		return e
	}
	e := &entry[T]{slot: uint32(len(q.slots)), generation: 1}
	q.slots = append(q.slots, e)
	return e
}

// leave removes a waiting entry from all structures and returns its item.
func (q *Queue[T]) leave(e *entry[T]) Item[T] {
	it := e.item
	f := e.flow
	b := q.bands[it.rank]
	f.unlink(e)
	if f.waiting == 0 {
		b.deactivate(f)
	}
	b.waiting--
	if b.waiting == 0 {
		b.due = min(b.due, 0)
	}
	q.waiting--
	q.byDeadline.remove(e.byDeadline)
	e.item = Item[T]{}
	e.flow = nil
	e.waiting = false
	e.generation++
	q.free = append(q.free, e.slot)
	return it
}

func (q *Queue[T]) drop(e *entry[T], r wire.Reason) {
	q.dropped = append(q.dropped, DroppedItem[T]{item: q.leave(e), reason: r})
}

// mayProbe reports whether one item may run regardless of the learned service time.
func (q *Queue[T]) mayProbe(now time.Time) bool {
	return q.running == 0 && now.Sub(q.learnedAt) > relearnAfter
}

// dropHopeless drops the items that expired or whose remaining time is below the learned service time. Without
// all, the last one stays when the service time has to be learned again.
func (q *Queue[T]) dropHopeless(now time.Time, all bool) {
	service := q.service.duration()
	if q.fifo() {
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

// Pop returns the next item to run, or false when nothing waits, when an exclusive item runs, or when the next item is
// exclusive and others run. Each popped item must be reported by Done.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropHopeless(now, false)
	if q.waiting == 0 || q.exclusive {
		return Item[T]{}, false
	}
	e := q.pick()
	if e.item.exclusive && q.running > 0 {
		return Item[T]{}, false
	}
	return q.run(now, q.bands[e.item.rank], e.flow, e), true
}

// next returns the rank to serve: the one that is furthest below its floor, otherwise the most urgent one with waiting work.
func (q *Queue[T]) next() plans.Rank {
	best := plans.Rank(-1)
	due := 0.0
	first := plans.Rank(-1)
	for _, rank := range plans.Ranks() {
		b := q.bands[rank]
		if b.waiting == 0 {
			continue
		}
		if first < 0 {
			first = rank
		}
		if b.due > due {
			best = rank
			due = b.due
		}
	}
	if best >= 0 {
		return best
	}
	return first
}

func (q *Queue[T]) run(now time.Time, b *band[T], f *flow[T], e *entry[T]) Item[T] {
	estimate := q.service.duration()
	if q.service.samples == 0 {
		estimate = unlearnedService
	}
	b.virtual = max(b.virtual, f.start)
	f.finish = f.start + estimate.Seconds()/f.weight
	f.start = f.finish
	b.latest = max(b.latest, f.finish)
	b.active.fix(f.position)
	q.account(now, b, estimate.Seconds())
	it := q.leave(e)
	it.charged = estimate
	it.epoch = q.epoch
	b.running++
	q.running++
	q.exclusive = it.exclusive
	q.learnParallel()
	return it
}

// account charges service time to a rank and grants each rank with waiting work its floor of it.
func (q *Queue[T]) account(now time.Time, served *band[T], seconds float64) {
	window := max(floorWindows*q.settings.UsageWindow.Seconds(), windowServices*q.service.seconds)
	keep := window / (window + math.Abs(seconds))
	q.decay(now)
	for _, b := range q.bands {
		b.due *= keep
		if b.waiting > 0 {
			b.due += b.floor * seconds
		}
	}
	// What a rank received beyond its floor while the others needed less is forgiven, but for what one short window
	// makes up for. Otherwise a rank that used spare capacity gets nothing for seconds when a more urgent one floods
	// in.
	forgiven := served.floor * max(q.settings.UsageWindow.Seconds(), overdraftServices*q.service.seconds)
	served.due = max(served.due-seconds, -forgiven)
	served.used = max(0, served.used+seconds)
}

// decay ages the measured use of all ranks.
func (q *Queue[T]) decay(now time.Time) {
	elapsed := now.Sub(q.usedAt)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / q.settings.UsageWindow.Seconds())
	for _, b := range q.bands {
		b.used *= keep
	}
	q.usedAt = now
}

// learnParallel follows the number of running items while others wait: at once upwards, gradually downwards.
func (q *Queue[T]) learnParallel() {
	running := float64(q.running)
	if running > q.parallel {
		q.parallel = running
		return
	}
	if q.waiting > 0 && !q.exclusive {
		q.parallel += (running - q.parallel) / meanSamples
	}
}

// Done reports that a popped item ended after a service time. Zero or less means that the service time is unknown or
// that the searcher did not run the item: nothing is learned then and the charge is returned.
func (q *Queue[T]) Done(now time.Time, it Item[T], service time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bands[it.rank]
	q.running--
	b.running--
	if it.exclusive {
		q.exclusive = false
	}
	service = max(service, 0)
	if service > 0 && it.epoch == q.epoch {
		q.service.add(service)
		q.learnedAt = now
	}
	correction := (service - it.charged).Seconds()
	q.account(now, b, correction)
	f, ok := b.flows[it.plan]
	if !ok {
		return
	}
	b.charge(f, correction)
}

// TakeDropped returns the items that were dropped since the last call. The owner calls it after each Push, Pop and Reset, since
// each dropped item needs a reply; the queue keeps them until then.
func (q *Queue[T]) TakeDropped() []DroppedItem[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

// Remove takes a waiting item out. It returns true when the item was waiting, hence will not run.
func (q *Queue[T]) Remove(t Handle) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if int(t.slot) >= len(q.slots) {
		return false
	}
	e := q.slots[t.slot]
	if !e.waiting || e.generation != t.generation {
		return false
	}
	q.leave(e)
	return true
}

// HandlePause drops the work that expired during a pause. Service times of items that run now are not learned, since they include the pause.
func (q *Queue[T]) HandlePause(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.epoch++
	q.dropHopeless(now, true)
}

// Pressure returns the expected wait of the plan's next item over the wait that such an item can afford, its patience. Above
// 1 the item would be refused.
func (q *Queue[T]) Pressure(now time.Time, r plans.Rank, plan string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	r = clampRank(r)
	f := q.bands[r].flows[plan]
	if f == nil || f.patience.samples == 0 {
		return 0
	}
	q.decay(now)
	wait := q.expectedWait(r, f, f.weight, f.waiting)
	if wait == 0 {
		return 0
	}
	patience := f.patience.seconds - q.service.seconds
	patience -= q.margin(patience)
	if patience*maxPressure <= wait {
		return maxPressure
	}
	return wait / patience
}

// expectedWait returns the seconds until a further item of a plan starts when a number of items of its plan are ahead.
func (q *Queue[T]) expectedWait(r plans.Rank, f *flow[T], weight float64, ahead int) float64 {
	parallel := max(1, q.parallel)
	if q.waiting == 0 && float64(q.running) < parallel {
		return 0
	}
	each := q.service.seconds / parallel
	if q.fifo() {
		return each * (float64(q.waiting) + residual)
	}
	b := q.bands[r]
	own := b.ahead(f, weight, ahead) + residual
	higher, share := q.above(r)
	byPriority := (own + higher) / max(b.floor, 1-share)
	byFloor := math.Inf(1)
	if b.floor > 0 {
		byFloor = own / b.floor
	}
	return each * min(byPriority, byFloor)
}

// above returns the waiting items that go before a rank, and the share of service that the rank does not receive: what
// more urgent ranks used over the window and the floors of less urgent ones with waiting work.
func (q *Queue[T]) above(r plans.Rank) (waiting, share float64) {
	capacity := q.settings.UsageWindow.Seconds() * max(1, q.parallel)
	for rank, b := range q.bands {
		switch {
		case plans.Rank(rank) < r:
			waiting += float64(b.waiting)
			share += b.used / capacity
		case plans.Rank(rank) > r && b.waiting > 0:
			share += b.floor
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

// Running returns the number of popped items that are not done.
func (q *Queue[T]) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// ServiceTime returns the learned mean service time, zero before the first sample.
func (q *Queue[T]) ServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.service.duration()
}
