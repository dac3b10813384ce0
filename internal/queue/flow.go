package queue

import (
	"container/list"
	"math"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// entry is a waiting item and its places in the queue's structures. Entries are reused.
type entry[T any] struct {
	item Item[T]
	flow *flow[T]
	// slot is the entry's index in Queue.slots.
	slot uint32
	// generation differs between uses of the entry, so that an old Ticket does not match.
	generation uint32
	waiting    bool
	// arrival numbers the entries in order of Push.
	arrival uint64
	// next and previous link the items of a plan in order of arrival.
	next, previous *entry[T]
	// byDeadline and byOrder are positions in the heaps of those names.
	byDeadline, byOrder int
}

// flow is the state of one plan within a rank.
type flow[T any] struct {
	plan   string
	weight float64
	// first and last bound the waiting items in order of arrival.
	first, last *entry[T]
	waiting     int
	// byOrder has the item with the highest order hash on top.
	byOrder indexed[*entry[T]]
	// start and finish are the tags of start-time fair queueing, in seconds of service per unit of weight.
	start, finish float64
	// activation breaks ties between equal start tags.
	activation uint64
	// position is the place in band.active, -1 when nothing waits.
	position int
	// patience is the learned remaining time of items at Push.
	patience mean
	// idle is the place in band.idle while nothing waits.
	idle *list.Element
}

func (f *flow[T]) append(e *entry[T]) {
	e.flow = f
	e.previous = f.last
	if f.last == nil {
		f.first = e
	} else {
		f.last.next = e
	}
	f.last = e
	f.waiting++
	f.byOrder.add(e)
}

func (f *flow[T]) unlink(e *entry[T]) {
	if e.previous == nil {
		f.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		f.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.next, e.previous = nil, nil
	f.waiting--
	f.byOrder.remove(e.byOrder)
}

// band is the state of one rank.
type band[T any] struct {
	floor float64
	flows map[string]*flow[T]
	// active holds the flows with waiting items, least start tag first.
	active indexed[*flow[T]]
	// idle holds the flows without waiting items, the one idle longest in front.
	idle *list.List
	// weight is the sum over the active flows.
	weight  float64
	waiting int
	running int
	// virtual is the start tag of the item that was popped last.
	virtual float64
	// latest is the greatest finish tag.
	latest float64
	// due is the service time in seconds that the floor grants beyond what the rank received while it had waiting work.
	due float64
	// used is the service time in seconds, decaying by Settings.Window.
	used float64
}

func newBand[T any](floor float64) *band[T] {
	return &band[T]{
		floor: floor,
		flows: make(map[string]*flow[T]),
		idle:  list.New(),
		active: indexed[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				if a.start != b.start {
					return a.start < b.start
				}
				return a.activation < b.activation
			},
			place: func(f *flow[T], position int) { f.position = position },
		},
	}
}

// flow returns the state of a plan and makes it when it is new. Beyond maxIdle idle flows the one idle longest is forgotten.
func (b *band[T]) flow(plan string, maxIdle int) *flow[T] {
	if f, ok := b.flows[plan]; ok {
		return f
	}
	b.forget(maxIdle)
	f := &flow[T]{
		plan:     plan,
		weight:   1,
		position: -1,
		byOrder: indexed[*entry[T]]{
			less: func(a, c *entry[T]) bool {
				if a.item.order != c.item.order {
					return a.item.order > c.item.order
				}
				return a.item.attempt > c.item.attempt
			},
			place: func(e *entry[T], position int) { e.byOrder = position },
		},
	}
	f.idle = b.idle.PushBack(f)
	b.flows[plan] = f
	return f
}

func (b *band[T]) forget(maxIdle int) {
	if b.idle.Len() < maxIdle {
		return
	}
	front := b.idle.Front()
	delete(b.flows, front.Value.(*flow[T]).plan)
	b.idle.Remove(front)
}

// activate enters a flow whose first item was appended.
func (b *band[T]) activate(f *flow[T], activation uint64) {
	if b.waiting == 0 && b.running == 0 {
		// The rank was idle, so no plan owes service to another.
		b.virtual = max(b.virtual, b.latest)
	}
	b.idle.Remove(f.idle)
	f.idle = nil
	f.start = max(b.virtual, f.finish)
	f.activation = activation
	b.weight += f.weight
	b.active.add(f)
}

// deactivate removes a flow whose last item left.
func (b *band[T]) deactivate(f *flow[T]) {
	b.active.remove(f.position)
	b.weight -= f.weight
	if b.active.Len() == 0 {
		b.weight = 0
	}
	f.idle = b.idle.PushBack(f)
}

// reweigh changes the weight of a flow when the operators edited the plan.
func (b *band[T]) reweigh(f *flow[T], weight float64) {
	if f.position >= 0 {
		b.weight += weight - f.weight
	}
	f.weight = weight
}

// charge moves a flow's tags by service time in seconds, which is negative when an estimate was too high.
func (b *band[T]) charge(f *flow[T], seconds float64) {
	f.finish += seconds / f.weight
	b.latest = max(b.latest, f.finish)
	if f.position < 0 {
		return
	}
	f.start += seconds / f.weight
	b.active.fix(f.position)
}

// ahead returns how many of the rank's waiting items run before a further item of the plan.
func (b *band[T]) ahead(f *flow[T], weight float64, waiting int) float64 {
	total := b.weight
	if f == nil || f.position < 0 {
		total += weight
	}
	return min(float64(b.waiting), (float64(waiting)+0.5)*total/weight)
}

// mean is an exponentially weighted mean of durations and of their deviation.
type mean struct {
	seconds   float64
	deviation float64
	samples   int
}

func (m *mean) add(d time.Duration) {
	m.samples = min(m.samples+1, meanSamples)
	if m.samples == 1 {
		m.seconds = d.Seconds()
		return
	}
	difference := d.Seconds() - m.seconds
	m.seconds += difference / float64(m.samples)
	m.deviation += (math.Abs(difference) - m.deviation) / float64(meanSamples)
}

func (m *mean) duration() time.Duration {
	return time.Duration(m.seconds * float64(time.Second))
}

// clampRank treats an unknown rank as bulk.
func clampRank(r plans.Rank) plans.Rank {
	if r < 0 || r >= plans.NumRanks {
		return plans.Bulk
	}
	return r
}
