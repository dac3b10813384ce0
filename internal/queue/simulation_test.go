package queue

import (
	"math/rand/v2"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

var start = time.Unix(1_000_000, 0)

// demand is the offered load of one plan in a simulation.
type demand struct {
	plan    string
	rank    plans.Rank
	weight  int
	service time.Duration
	// interval is the time between arrivals. Zero keeps backlog items waiting at all times.
	interval time.Duration
	// timeout is the time from arrival to deadline. Zero means a day.
	timeout time.Duration
	// exponential draws service times and intervals from an exponential distribution.
	exponential bool
}

// backlog is the number of items that a demand without an interval keeps waiting.
const backlog = 8

// planStats holds what happened to one plan's items in a simulation.
type planStats struct {
	offered int
	refused int
	dropped int
	served  time.Duration
	// inTime counts the items that ended before their deadline.
	inTime int
	// totalWait is the sum of the times between Push and Pop.
	totalWait time.Duration
	runs      int
	// latencies holds the times between Push and the end of the items that ran.
	latencies []time.Duration
}

type runningItem struct {
	item    Item[arrival]
	service time.Duration
	end     time.Time
}

type arrival struct {
	demand int
	at     time.Time
}

// simulation runs one queue in front of a searcher on a virtual clock.
type simulation struct {
	queue       *Queue[arrival]
	slots       int
	demands     []demand
	random      *rand.Rand
	now         time.Time
	nextArrival []time.Time
	waiting     []int
	running     []runningItem
	stats       []planStats
	attempt     uint64
	// afterStep is called after each step, if set.
	afterStep func()
}

func newSimulation(slots int, seed uint64, demands ...demand) *simulation {
	s := &simulation{
		queue:       New[arrival](Settings{}),
		slots:       slots,
		demands:     demands,
		random:      rand.New(rand.NewPCG(seed, 1)),
		now:         start,
		nextArrival: make([]time.Time, len(demands)),
		waiting:     make([]int, len(demands)),
		stats:       make([]planStats, len(demands)),
	}
	for i := range s.nextArrival {
		s.nextArrival[i] = start
	}
	return s
}

func (s *simulation) draw(d demand, mean time.Duration) time.Duration {
	if !d.exponential {
		return mean
	}
	return max(time.Microsecond, time.Duration(s.random.ExpFloat64()*float64(mean)))
}

func (s *simulation) push(i int) {
	d := s.demands[i]
	s.attempt++
	timeout := d.timeout
	if timeout == 0 {
		timeout = 24 * time.Hour
	}
	it := NewItem(s.attempt, d.plan, d.rank, d.weight, s.now.Add(timeout), false, s.random.Uint64(), arrival{demand: i, at: s.now})
	s.stats[i].offered++
	s.waiting[i]++
	if _, refusal := s.queue.Push(s.now, it); refusal != nil {
		s.stats[i].refused++
		s.waiting[i]--
	}
	s.collectDropped()
}

func (s *simulation) collectDropped() {
	for _, d := range s.queue.TakeDropped() {
		i := d.Item().Payload().demand
		s.stats[i].dropped++
		s.waiting[i]--
	}
}

func (s *simulation) pushArrivals() {
	for i, d := range s.demands {
		if d.interval == 0 {
			for s.waiting[i] < backlog {
				s.push(i)
			}
			continue
		}
		for !s.nextArrival[i].After(s.now) {
			s.push(i)
			s.nextArrival[i] = s.nextArrival[i].Add(s.draw(d, d.interval))
		}
	}
}

func (s *simulation) startItems() {
	for len(s.running) < s.slots {
		it, ok := s.queue.Pop(s.now)
		s.collectDropped()
		if !ok {
			return
		}
		i := it.Payload().demand
		s.waiting[i]--
		s.stats[i].totalWait += s.now.Sub(it.Payload().at)
		s.stats[i].runs++
		service := s.draw(s.demands[i], s.demands[i].service)
		s.running = append(s.running, runningItem{item: it, service: service, end: s.now.Add(service)})
		s.pushArrivals()
	}
}

func (s *simulation) completeItems() {
	kept := s.running[:0]
	for _, r := range s.running {
		if r.end.After(s.now) {
			kept = append(kept, r)
			continue
		}
		s.queue.Done(s.now, r.item, r.service)
		t := &s.stats[r.item.Payload().demand]
		t.served += r.service
		t.latencies = append(t.latencies, r.end.Sub(r.item.Payload().at))
		if !r.end.After(r.item.Deadline()) {
			t.inTime++
		}
	}
	s.running = kept
}

// run advances the clock from event to event until the given duration has passed.
func (s *simulation) run(length time.Duration) {
	end := s.now.Add(length)
	for s.now.Before(end) {
		s.completeItems()
		s.pushArrivals()
		s.startItems()
		if s.afterStep != nil {
			s.afterStep()
		}
		next := end
		for i, d := range s.demands {
			if d.interval > 0 && s.nextArrival[i].Before(next) {
				next = s.nextArrival[i]
			}
		}
		for _, r := range s.running {
			if r.end.Before(next) {
				next = r.end
			}
		}
		s.now = next
	}
}

// served returns the total service time of all plans.
func (s *simulation) served() time.Duration {
	total := time.Duration(0)
	for _, t := range s.stats {
		total += t.served
	}
	return total
}
