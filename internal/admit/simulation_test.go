package admit

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/queue"
)

const (
	simShards  = 4
	simSlots   = 2
	simService = 10 * time.Millisecond
	simTimeout = 360 * time.Millisecond
	// simCapacity is the capacity of the searchers in queries/s.
	simCapacity = float64(simSlots) * float64(time.Second) / float64(simService)
)

var simStart = time.Unix(1_000_000, 0)

// simQuery is a query to all shards. pending counts the shards without a reply, and complete is set while no shard failed or
// was late.
type simQuery struct {
	entry    int
	plan     int
	grant    Grant
	pending  int
	complete bool
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simPlan is the offered load of one plan in queries/s.
type simPlan struct {
	name    string
	weight  int
	offered float64
}

// simCount counts the outcomes of one plan's queries.
type simCount struct {
	offered  int
	admitted int
	// complete counts the queries whose shards all replied in time, partial the other admitted queries.
	complete int
	partial  int
}

// fleet simulates entries with admission control and searchers with queues on a virtual clock.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	events  simEvents
	order   int
	entries []*Admission
	queues  []*queue.Queue[*simQuery]
	running []int
	plans   []simPlan
	counts  []simCount
	// capacity scales the service rate. Tests lower it to simulate failures.
	capacity float64
	attempt  uint64
	// withholdFeedback keeps the owners' feedback from the entries, so that only the queues shed load.
	withholdFeedback bool
}

func newFleet(seed uint64, entries int, plans ...simPlan) *fleet {
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      simStart,
		running:  make([]int, simShards),
		plans:    plans,
		counts:   make([]simCount, len(plans)),
		capacity: 1,
	}
	for range entries {
		f.entries = append(f.entries, New(Settings{}))
	}
	for range simShards {
		f.queues = append(f.queues, queue.New[*simQuery](queue.Settings{}))
	}
	for i := range plans {
		f.arrive(i)
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, simEvent{at: f.now.Add(d), order: f.order, run: run})
}

func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) arrive(plan int) {
	p := f.plans[plan]
	f.after(time.Duration(f.random.ExpFloat64()/p.offered*float64(time.Second)), func() {
		f.query(plan)
		f.arrive(plan)
	})
}

func (f *fleet) query(plan int) {
	p := f.plans[plan]
	f.counts[plan].offered++
	entry := f.random.IntN(len(f.entries))
	use := plans.NewUse(p.name, "c", 1e6, 1e5)
	grant, refusal := f.entries[entry].Admit(f.now, "c", p.name, use)
	if refusal != nil {
		return
	}
	f.counts[plan].admitted++
	q := &simQuery{entry: entry, plan: plan, grant: grant, pending: simShards, complete: true}
	dropPriority := f.random.Uint64()
	deadline := f.now.Add(simTimeout)
	for shard := range f.queues {
		f.attempt++
		it := queue.NewItem(f.attempt, p.name, plans.Routine, p.weight, deadline, false, dropPriority, q)
		if _, refusal := f.queues[shard].Push(f.now, it); refusal != nil {
			f.reply(shard, q, false)
		}
		f.serve(shard)
	}
}

func (f *fleet) serve(shard int) {
	for f.running[shard] < simSlots {
		it, ok := f.queues[shard].Pop(f.now)
		if !ok {
			break
		}
		f.running[shard]++
		service := time.Duration(f.random.ExpFloat64() * float64(simService) / f.capacity)
		f.after(service, func() {
			f.running[shard]--
			f.queues[shard].Done(f.now, it, max(service, 1))
			f.reply(shard, it.Payload(), !f.now.After(it.Deadline()))
			f.serve(shard)
		})
	}
	for _, d := range f.queues[shard].TakeDropped() {
		f.reply(shard, d.Item().Payload(), false)
	}
}

func (f *fleet) reply(shard int, q *simQuery, inTime bool) {
	p := f.plans[q.plan]
	pressure := f.queues[shard].Pressure(f.now, plans.Routine, p.name)
	if !f.withholdFeedback {
		f.entries[q.entry].Feedback(f.now, "c", p.name, pressure, !inTime)
	}
	q.complete = q.complete && inTime
	q.pending--
	if q.pending > 0 {
		return
	}
	q.grant.Release(f.now)
	if q.complete {
		f.counts[q.plan].complete++
		return
	}
	f.counts[q.plan].partial++
}

// measure runs the fleet for settle, and returns the counts of the time length that follows.
func (f *fleet) measure(settle, length time.Duration) []simCount {
	f.run(settle)
	clear(f.counts)
	f.run(length)
	return f.counts
}
