package queue

import (
	"container/list"
	"math"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// entry is a waiting item with its positions in the queue's data structures. Entries are reused.
type entry[T any] struct {
	item Item[T]
	flow *flow[T]
	// index is the entry's index in Queue.entries.
	index uint32
	// generation differs between uses of the entry, so that a stale Handle does not match.
	generation uint32
	waiting    bool
	// arrival numbers the entries in order of Push.
	arrival uint64
	// next and previous link the items of a plan in order of arrival.
	next, previous *entry[T]
	// byDeadline and byDropPriority are the positions in the heaps of the same names.
	byDeadline, byDropPriority int
}

// flow is the state of one plan within a rank.
type flow[T any] struct {
	plan   string
	weight float64
	// first and last are the ends of the list of waiting items in order of arrival.
	first, last *entry[T]
	waiting     int
	// byDropPriority has the item with the highest drop priority on top.
	byDropPriority indexedHeap[*entry[T]]
	// startTag and finishTag are the tags of start-time fair queueing, in seconds of service per unit of weight.
	startTag, finishTag float64
	// activation breaks ties between equal start tags.
	activation uint64
	// position is the index in rankState.active, or -1 when nothing waits.
	position int
	// remainingAtPush is the average time to the deadline that items have at Push.
	remainingAtPush ewma
	// idleElement is the element in rankState.idle while nothing waits.
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
	// floor is the guaranteed share of service time while the rank has waiting work.
	floor float64
	flows map[string]*flow[T]
	// active holds the flows with waiting items, lowest start tag first.
	active indexedHeap[*flow[T]]
	// idle holds the flows without waiting items, the one that has been idle longest first.
	idle *list.List
	// activeWeight is the sum of the weights of the active flows.
	activeWeight float64
	waiting      int
	running      int
	// virtualTime is the virtual time of start-time fair queueing: the start tag of the item that was popped last.
	virtualTime float64
	// maxFinish is the highest finish tag.
	maxFinish float64
	// deficit is the service time in seconds that the floor guarantees minus what the rank received while it had
	// waiting work.
	deficit float64
	// usage is the service time in seconds that the rank received, decaying exponentially over Settings.UsageWindow.
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

// flow returns the state of a plan and creates it if needed. When there are already maxIdle idle flows, the one that has
// been idle longest is evicted.
func (rs *rankState[T]) flow(plan string, maxIdle int) *flow[T] {
	if f, ok := rs.flows[plan]; ok {
		return f
	}
	rs.evictIdle(maxIdle)
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
	f.idleElement = rs.idle.PushBack(f)
	rs.flows[plan] = f
	return f
}

func (rs *rankState[T]) evictIdle(maxIdle int) {
	if rs.idle.Len() < maxIdle {
		return
	}
	front := rs.idle.Front()
	delete(rs.flows, front.Value.(*flow[T]).plan)
	rs.idle.Remove(front)
}

// activate adds a flow to the active heap after its first item was appended.
func (rs *rankState[T]) activate(f *flow[T], activation uint64) {
	if rs.waiting == 0 && rs.running == 0 {
		// The rank was idle: past service must not give one plan an advantage over another.
		rs.virtualTime = max(rs.virtualTime, rs.maxFinish)
	}
	rs.idle.Remove(f.idleElement)
	f.idleElement = nil
	f.startTag = max(rs.virtualTime, f.finishTag)
	f.activation = activation
	rs.activeWeight += f.weight
	rs.active.add(f)
}

// deactivate moves a flow to the idle list after its last item left.
func (rs *rankState[T]) deactivate(f *flow[T]) {
	rs.active.remove(f.position)
	rs.activeWeight -= f.weight
	if rs.active.Len() == 0 {
		rs.activeWeight = 0
	}
	f.idleElement = rs.idle.PushBack(f)
}

// setWeight updates the weight of a flow, which changes when operators edit the plan.
func (rs *rankState[T]) setWeight(f *flow[T], weight float64) {
	if f.position >= 0 {
		rs.activeWeight += weight - f.weight
	}
	f.weight = weight
}

// charge advances a flow's tags by a service time in seconds, which is negative when the estimate was too high.
func (rs *rankState[T]) charge(f *flow[T], seconds float64) {
	f.finishTag += seconds / f.weight
	rs.maxFinish = max(rs.maxFinish, f.finishTag)
	if f.position < 0 {
		return
	}
	f.startTag += seconds / f.weight
	rs.active.fix(f.position)
}

// itemsAhead returns how many of the rank's waiting items run before one more item of the plan, of which waiting items are
// already queued.
func (rs *rankState[T]) itemsAhead(f *flow[T], weight float64, waiting int) float64 {
	total := rs.activeWeight
	if f == nil || f.position < 0 {
		total += weight
	}
	return min(float64(rs.waiting), (float64(waiting)+0.5)*total/weight)
}

// ewma is an exponentially weighted moving average of durations and of their absolute deviation, in seconds.
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
	delta := d.Seconds() - m.seconds
	m.seconds += delta / float64(m.samples)
	m.deviation += (math.Abs(delta) - m.deviation) / float64(ewmaSamples)
}

func (m *ewma) duration() time.Duration {
	return time.Duration(m.seconds * float64(time.Second))
}

// clampRank returns r, or bulk for an unknown rank.
func clampRank(r plans.Rank) plans.Rank {
	if r < 0 || r >= plans.NumRanks {
		return plans.Bulk
	}
	return r
}
