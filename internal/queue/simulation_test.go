package queue

import (
	"math/rand/v2"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

var start = time.Unix(1_000_000, 0)

// demand is the load of one plan in a simulation.
type demand struct {
	plan    string
	rank    plans.Rank
	weight  int
	service time.Duration
	// interval is the time between arrivals; zero keeps backlog items waiting at all times.
	interval time.Duration
	patience time.Duration
	// exponential draws service times and intervals from an exponential distribution.
	exponential bool
}

// backlog is the number of items that a demand without an interval keeps waiting.
const backlog = 8

// tally is what one plan received in a simulation.
type tally struct {
	offered int
	refused int
	dropped int
	served  time.Duration
	// good counts items that ended before their deadline.
	good int
	// wait sums the time between Push and Pop.
	wait time.Duration
	runs int
	// latencies holds the time between Push and the end of each item that ran.
	latencies []time.Duration
}

type busy struct {
	item Item[arrival]
	took time.Duration
	end  time.Time
}

type arrival struct {
	demand int
	at     time.Time
}

// simulation drives one queue in front of a searcher on a virtual clock.
type simulation struct {
	queue   *Queue[arrival]
	slots   int
	demands []demand
	random  *rand.Rand
	now     time.Time
	next    []time.Time
	waiting []int
	running []busy
	tallies []tally
	attempt uint64
	// between is called after each step.
	between func()
}

func newSimulation(slots int, seed uint64, demands ...demand) *simulation {
	s := &simulation{
		queue:   New[arrival](Settings{}),
		slots:   slots,
		demands: demands,
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		next:    make([]time.Time, len(demands)),
		waiting: make([]int, len(demands)),
		tallies: make([]tally, len(demands)),
	}
	for i := range s.next {
		s.next[i] = start
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
	patience := d.patience
	if patience == 0 {
		patience = 24 * time.Hour
	}
	it := NewItem(s.attempt, d.plan, d.rank, d.weight, s.now.Add(patience), false, s.random.Uint64(), arrival{demand: i, at: s.now})
	s.tallies[i].offered++
	s.waiting[i]++
	if _, refusal := s.queue.Push(s.now, it); refusal != nil {
		s.tallies[i].refused++
		s.waiting[i]--
	}
	s.collect()
}

func (s *simulation) collect() {
	for _, d := range s.queue.TakeDropped() {
		i := d.Item().Payload().demand
		s.tallies[i].dropped++
		s.waiting[i]--
	}
}

func (s *simulation) arrivals() {
	for i, d := range s.demands {
		if d.interval == 0 {
			for s.waiting[i] < backlog {
				s.push(i)
			}
			continue
		}
		for !s.next[i].After(s.now) {
			s.push(i)
			s.next[i] = s.next[i].Add(s.draw(d, d.interval))
		}
	}
}

func (s *simulation) fill() {
	for len(s.running) < s.slots {
		it, ok := s.queue.Pop(s.now)
		s.collect()
		if !ok {
			return
		}
		i := it.Payload().demand
		s.waiting[i]--
		s.tallies[i].wait += s.now.Sub(it.Payload().at)
		s.tallies[i].runs++
		took := s.draw(s.demands[i], s.demands[i].service)
		s.running = append(s.running, busy{item: it, took: took, end: s.now.Add(took)})
		s.arrivals()
	}
}

func (s *simulation) finish() {
	kept := s.running[:0]
	for _, b := range s.running {
		if b.end.After(s.now) {
			kept = append(kept, b)
			continue
		}
		s.queue.Done(s.now, b.item, b.took)
		t := &s.tallies[b.item.Payload().demand]
		t.served += b.took
		t.latencies = append(t.latencies, b.end.Sub(b.item.Payload().at))
		if !b.end.After(b.item.Deadline()) {
			t.good++
		}
	}
	s.running = kept
}

// run advances the clock from event to event until the given time has passed.
func (s *simulation) run(length time.Duration) {
	end := s.now.Add(length)
	for s.now.Before(end) {
		s.finish()
		s.arrivals()
		s.fill()
		if s.between != nil {
			s.between()
		}
		next := end
		for i, d := range s.demands {
			if d.interval > 0 && s.next[i].Before(next) {
				next = s.next[i]
			}
		}
		for _, b := range s.running {
			if b.end.Before(next) {
				next = b.end
			}
		}
		s.now = next
	}
}

// served returns the service time of all plans.
func (s *simulation) served() time.Duration {
	total := time.Duration(0)
	for _, t := range s.tallies {
		total += t.served
	}
	return total
}
