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
	// index is the entry's index in Queue.slots.
	index uint32
	// generation differs between uses of the entry, so that an old Ticket does not match.
	generation uint32
	waiting    bool
	// arrival numbers the entries in order of Push.
	arrival uint64
	// next and previous link the items of a plan in order of arrival.
	next, previous *entry[T]
	// byDeadline and byOrder are positions in the heaps of those names.
	byDeadline, byDropPriority int
}

// flow is the state of one plan within a rank.
type flow[T any] struct {
	plan   string
	weight float64
	// first and last bound the waiting items in order of arrival.
	first, last *entry[T]
	waiting     int
	// byDropPriority has the item with the highest order hash on top.
	byDropPriority indexedHeap[*entry[T]]
	// startTag and finish are the tags of start-time fair queueing, in seconds of service per unit of weight.
	startTag, finishTag float64
	// activation breaks ties between equal start tags.
	activation uint64
	// position is the place in band.active, -1 when nothing waits.
	position int
	// remainingAtPush is the learned remaining time of items at Push.
	remainingAtPush ewma
	// idleElement is the place in band.idle while nothing waits.
	idleElement *list.Element
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
	f.byDropPriority.add(e)
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
	f.byDropPriority.remove(e.byDropPriority)
}

// rankState is the state of one rank.
type rankState[T any] struct {
	floor float64
	flows map[string]*flow[T]
	// active holds the flows with waiting items, least start tag first.
	active indexedHeap[*flow[T]]
	// idle holds the flows without waiting items, the one idle longest in front.
	idle *list.List
	// activeWeight is the sum over the active flows.
	activeWeight float64
	waiting      int
	running      int
	// virtualTime is the start tag of the item that was popped last.
	virtualTime float64
	// maxFinish is the greatest finish tag.
	maxFinish float64
	// deficit is the service time in seconds that the floor grants beyond what the rank received while it had waiting work.
	deficit float64
	// usage is the service time in seconds, decaying by Settings.Window.
	usage float64
}

func newRankState[T any](floor float64) *rankState[T] {
	return &rankState[T]{
		floor: floor,
		flows: make(map[string]*flow[T]),
		idle:  list.New(),
		active: indexedHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				if a.startTag != b.startTag {
					return a.startTag < b.startTag
				}
				return a.activation < b.activation
			},
			setPosition: func(f *flow[T], position int) { f.position = position },
		},
	}
}

// flow returns the state of a plan and makes it when it is new. Beyond maxIdle idle flows the one idle longest is forgotten.
func (b *rankState[T]) flow(plan string, maxIdle int) *flow[T] {
	if f, ok := b.flows[plan]; ok {
		return f
	}
	b.evictIdle(maxIdle)
	f := &flow[T]{
		plan:     plan,
		weight:   1,
		position: -1,
		byDropPriority: indexedHeap[*entry[T]]{
			less: func(a, c *entry[T]) bool {
				if a.item.dropPriority != c.item.dropPriority {
					return a.item.dropPriority > c.item.dropPriority
				}
				return a.item.attempt > c.item.attempt
			},
			setPosition: func(e *entry[T], position int) { e.byDropPriority = position },
		},
	}
	f.idleElement = b.idle.PushBack(f)
	b.flows[plan] = f
	return f
}

func (b *rankState[T]) evictIdle(maxIdle int) {
	if b.idle.Len() < maxIdle {
		return
	}
	front := b.idle.Front()
	delete(b.flows, front.Value.(*flow[T]).plan)
	b.idle.Remove(front)
}

// activate enters a flow whose first item was appended.
func (b *rankState[T]) activate(f *flow[T], activation uint64) {
	if b.waiting == 0 && b.running == 0 {
		// The rank was idle, so no plan owes service to another.
		b.virtualTime = max(b.virtualTime, b.maxFinish)
	}
	b.idle.Remove(f.idleElement)
	f.idleElement = nil
	f.startTag = max(b.virtualTime, f.finishTag)
	f.activation = activation
	b.activeWeight += f.weight
	b.active.add(f)
}

// deactivate removes a flow whose last item left.
func (b *rankState[T]) deactivate(f *flow[T]) {
	b.active.remove(f.position)
	b.activeWeight -= f.weight
	if b.active.Len() == 0 {
		b.activeWeight = 0
	}
	f.idleElement = b.idle.PushBack(f)
}

// setWeight changes the weight of a flow when the operators edited the plan.
func (b *rankState[T]) setWeight(f *flow[T], weight float64) {
	if f.position >= 0 {
		b.activeWeight += weight - f.weight
	}
	f.weight = weight
}

// charge moves a flow's tags by service time in seconds, which is negative when an estimate was too high.
func (b *rankState[T]) charge(f *flow[T], seconds float64) {
	f.finishTag += seconds / f.weight
	b.maxFinish = max(b.maxFinish, f.finishTag)
	if f.position < 0 {
		return
	}
	f.startTag += seconds / f.weight
	b.active.fix(f.position)
}

// itemsAhead returns how many of the rank's waiting items run before a further item of the plan.
func (b *rankState[T]) itemsAhead(f *flow[T], weight float64, waiting int) float64 {
	total := b.activeWeight
	if f == nil || f.position < 0 {
		total += weight
	}
	return min(float64(b.waiting), (float64(waiting)+0.5)*total/weight)
}

// ewma is an exponentially weighted mean of durations and of their deviation.
type ewma struct {
	seconds   float64
	deviation float64
	samples   int
}

func (m *ewma) add(d time.Duration) {
	m.samples = min(m.samples+1, ewmaSamples)
	if m.samples == 1 {
		m.seconds = d.Seconds()
		return
	}
	difference := d.Seconds() - m.seconds
	m.seconds += difference / float64(m.samples)
	m.deviation += (math.Abs(difference) - m.deviation) / float64(ewmaSamples)
}

func (m *ewma) duration() time.Duration {
	return time.Duration(m.seconds * float64(time.Second))
}

// clampRank treats an unknown rank as bulk.
func clampRank(r plans.Rank) plans.Rank {
	if r < 0 || r >= plans.NumRanks {
		return plans.Bulk
	}
	return r
}
