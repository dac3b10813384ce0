package intake

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// admitter is what a node of the load player consults. An undecided query is polled after each event at its node.
type admitter interface {
	ask(now time.Time, q *query)
	poll(now time.Time, q *query)
	release(now time.Time, q *query, outcome Outcome)
	saturated(now time.Time) bool
}

// class is a kind of request: its rate, the services that it goes to, and what callers need.
type class struct {
	name           string
	rank           int
	perSecond      float64
	work           time.Duration
	goal, deadline time.Duration
	coverage       float64
	lateValue      float64
	// services are the services of which one searcher each is asked.
	services []int
	// eager callers come back at once after a refusal.
	eager bool
}

// flood multiplies the rates of classes between two moments.
type flood struct {
	from, to time.Duration
	times    float64
	// class is empty for all classes.
	class string
}

// site is the searchers and nodes of a play. pauseEvery is 0 for searchers that do not pause.
type site struct {
	nodes, services, replicas, slots int
	pauseEvery, pauseFor             time.Duration
	// slowShare is the share of searchers that take slowFactor times as long.
	slowShare, slowFactor float64
	// searcherQueue is how many attempts a searcher queues before it sheds, 0 without a limit: nodes then queue for their few connections.
	searcherQueue int
}

// tally counts how the callers of a class fared. refusedAtOnce and refusedWaiting tell refusals within a quarter of the goal from later ones.
type tally struct {
	callers, first, second, late, failed, unanswered         int
	refusedOnce, refusedTwice, refusedAtOnce, refusedWaiting int
	// value is what the callers earned: 1 in time, a half on the second attempt, and 0.3 less for two refusals.
	value float64
}

func (t *tally) inTime() int { return t.first + t.second }

// play is a simulation of callers, nodes and searchers with virtual time.
type play struct {
	site    site
	classes []class
	floods  []flood
	length  time.Duration
	random  *rand.Rand
	// callers is used for arrivals alone, so that all admitters see the same.
	callers   *rand.Rand
	now       time.Time
	events    eventQueue
	nodes     []*playNode
	searchers [][]*playSearcher
	tallies   map[string]*tally
	// usedWork and usefulWork are the searchers' work in all, and for queries in time, within the counted window.
	usedWork, usefulWork time.Duration
	demandWork           time.Duration
	countFrom, countTo   time.Duration
	sequence             int
}

var playStart = time.Unix(1_700_000_000, 0)

type playNode struct {
	admitters map[int]admitter
	waiting   []*query
	// outstanding and mean are what the node knows of each searcher from its own attempts.
	outstanding map[*playSearcher]int
	mean        map[*playSearcher]float64
	// heardAt is when a searcher last replied, or was sent the first outstanding attempt.
	heardAt map[*playSearcher]time.Time
}

type playSearcher struct {
	running int
	queue   []*playTask
	factor  float64
	phase   time.Duration
}

type playTask struct {
	query    *query
	part     int
	searcher *playSearcher
	sentAt   time.Time
	running  bool
}

// query is one attempt of a caller.
type query struct {
	class    *class
	node     *playNode
	attempt  int
	arrived  time.Time
	deadline time.Time
	decision Decision
	// polledAt is the last moment for which the query is to be polled.
	polledAt time.Time
	// ticket is the admitter's state of the query.
	ticket any
	// sent counts the outstanding attempts of each part; lost is the number of parts without any.
	sent   []int
	lost   int
	over   bool
	ended  time.Time
	parts  []bool
	done   int
	tried  []*playSearcher
	worked time.Duration
}

func (q *query) goalAt() time.Time { return q.arrived.Add(q.class.goal) }

type event struct {
	at   time.Time
	seq  int
	call func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *play) at(when time.Time, call func()) {
	p.sequence++
	heap.Push(&p.events, event{at: when, seq: p.sequence, call: call})
}

// run plays the load with one admitter for each node and group of classes. Classes with the same first service share a group.
func (p *play) run(newAdmitter func(site) admitter) map[string]*tally {
	p.random, p.callers = rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	p.tallies = make(map[string]*tally)
	for range p.site.services {
		var searchers []*playSearcher
		for i := range p.site.replicas {
			s := &playSearcher{factor: 1, phase: time.Duration(p.random.Float64() * float64(p.site.pauseEvery))}
			if p.site.slowShare > 0 && float64(i) < p.site.slowShare*float64(p.site.replicas)-0.5+float64(len(p.searchers)%2) {
				s.factor = p.site.slowFactor
			}
			searchers = append(searchers, s)
		}
		p.searchers = append(p.searchers, searchers)
	}
	for range p.site.nodes {
		n := &playNode{admitters: map[int]admitter{}, outstanding: map[*playSearcher]int{}, mean: map[*playSearcher]float64{}, heardAt: map[*playSearcher]time.Time{}}
		for _, c := range p.classes {
			if n.admitters[c.services[0]] == nil {
				n.admitters[c.services[0]] = newAdmitter(p.site)
			}
		}
		p.nodes = append(p.nodes, n)
	}
	for i := range p.classes {
		c := &p.classes[i]
		p.tallies[c.name] = &tally{}
		p.schedule(c, 0)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.call()
	}
	return p.tallies
}

// schedule lets the callers of a class come from a moment on, one after another.
func (p *play) schedule(c *class, from time.Duration) {
	rate := c.perSecond
	for _, f := range p.floods {
		if (f.class == "" || f.class == c.name) && from >= f.from && from < f.to {
			rate = c.perSecond * f.times
		}
	}
	at := from + time.Duration(p.callers.ExpFloat64()/rate*float64(time.Second))
	for _, f := range p.floods {
		// Rates change at the begin and end of a flood, however far the next caller would be.
		for _, edge := range []time.Duration{f.from, f.to} {
			if from < edge && at > edge {
				at = edge
			}
		}
	}
	if at >= p.length {
		return
	}
	p.at(playStart.Add(at), func() {
		p.tallies[c.name].callers++
		if p.counted(p.now) {
			p.demandWork += c.work * time.Duration(len(c.services))
		}
		p.arrive(c, 1, p.now.Add(c.deadline))
		p.schedule(c, at)
	})
}

func (p *play) counted(at time.Time) bool {
	return at.Sub(playStart) >= p.countFrom && at.Sub(playStart) < p.countTo
}

func (p *play) arrive(c *class, attempt int, deadline time.Time) {
	q := &query{class: c, node: p.nodes[p.random.IntN(len(p.nodes))], attempt: attempt, arrived: p.now, deadline: deadline, parts: make([]bool, len(c.services))}
	q.node.admitters[c.services[0]].ask(p.now, q)
	q.node.waiting = append(q.node.waiting, q)
	p.decide(q.node)
}

// decide acts on the decisions of a node's undecided queries.
func (p *play) decide(n *playNode) {
	waiting := n.waiting
	n.waiting = nil
	for _, q := range waiting {
		n.admitters[q.class.services[0]].poll(p.now, q)
		switch d := q.decision.(type) {
		case Run:
			p.send(q)
		case Refuse:
			p.refused(q, d)
		case Wait:
			if !q.polledAt.Equal(d.Until) {
				q.polledAt = d.Until
				p.at(d.Until, func() { p.decide(n) })
			}
			n.waiting = append(n.waiting, q)
		}
	}
}

func (p *play) refused(q *query, d Refuse) {
	t := p.tallies[q.class.name]
	if p.now.Sub(q.arrived) <= q.class.goal/4 {
		t.refusedAtOnce++
	} else {
		t.refusedWaiting++
	}
	if q.attempt == 2 {
		t.refusedTwice++
		t.value -= 0.3
		return
	}
	t.refusedOnce++
	after := min(d.After, q.deadline.Sub(p.now)/3)
	if q.class.eager {
		after = 0
	}
	p.at(p.now.Add(after), func() { p.arrive(q.class, 2, q.deadline) })
}

func (p *play) send(q *query) {
	q.sent = make([]int, len(q.parts))
	for part := range q.parts {
		if !q.over {
			p.attempt(q, part)
		}
	}
	p.at(p.now.Add(q.class.goal*35/100), func() {
		for part, done := range q.parts {
			if !done && !q.over && q.sent[part] == 1 && !q.node.admitters[q.class.services[0]].saturated(p.now) {
				p.attempt(q, part)
			}
		}
	})
	p.at(q.goalAt(), func() { p.finishIfCovered(q) })
	p.at(q.deadline, func() {
		if !q.over {
			p.finish(q, false)
		}
	})
}

// attempt sends a part to the searcher that the node expects to answer first.
func (p *play) attempt(q *query, part int) {
	var best *playSearcher
	least := 0.0
	for _, s := range p.searchers[q.class.services[part]] {
		tried := false
		for _, other := range q.tried {
			tried = tried || other == s
		}
		cost := (q.node.mean[s] + 1) * (1 + float64(q.node.outstanding[s])/float64(p.site.slots)) * (1 + 0.15*p.random.Float64())
		if n := q.node; n.outstanding[s] > 0 && p.now.Sub(n.heardAt[s]) > max(minStall, time.Duration(3*n.mean[s]*float64(time.Millisecond))) {
			cost += 1000
		}
		if !tried && (best == nil || cost < least) {
			best, least = s, cost
		}
	}
	if best == nil {
		p.fail(q, part)
		return
	}
	q.tried = append(q.tried, best)
	t := &playTask{query: q, part: part, searcher: best, sentAt: p.now}
	if q.node.outstanding[best]++; q.node.outstanding[best] == 1 {
		q.node.heardAt[best] = p.now
	}
	q.sent[part]++
	switch {
	case best.running < p.site.slots:
		p.start(t)
	case p.site.searcherQueue == 0 || len(best.queue) < p.site.searcherQueue:
		best.queue = append(best.queue, t)
	default:
		q.node.outstanding[best]--
		q.sent[part]--
		p.attempt(q, part)
	}
}

// fail ends a query that has lost too many parts, since all searchers of their services shed them. Its caller tries again.
func (p *play) fail(q *query, part int) {
	if q.sent[part] > 0 || q.over {
		return
	}
	if q.lost++; float64(len(q.parts)-q.lost) >= q.class.coverage*float64(len(q.parts)) {
		return
	}
	q.over, q.ended = true, p.now
	p.tallies[q.class.name].failed++
	q.node.admitters[q.class.services[0]].release(p.now, q, Late{})
	if q.attempt == 2 {
		p.tallies[q.class.name].value -= 0.3
	} else {
		p.at(p.now.Add(50*time.Millisecond), func() { p.arrive(q.class, 2, q.deadline) })
	}
	p.decide(q.node)
}

// cancelGrace is how long the attempts of a query that is over may go on.
const cancelGrace = 250 * time.Millisecond

// minStall is the least time without a reply after which a node takes a searcher for paused.
const minStall = 20 * time.Millisecond

func (p *play) start(t *playTask) {
	t.running = true
	t.searcher.running++
	work := time.Duration(float64(t.query.class.work) * t.searcher.factor)
	end := p.now.Add(work)
	if every := p.site.pauseEvery; every > 0 {
		since := (p.now.Sub(playStart) + t.searcher.phase) % every
		switch {
		case since < p.site.pauseFor:
			end = end.Add(p.site.pauseFor - since)
		case since+work > every:
			end = end.Add(p.site.pauseFor)
		}
	}
	p.at(end, func() { p.taskEnded(t) })
}

func (p *play) taskEnded(t *playTask) {
	q, s := t.query, t.searcher
	s.running--
	q.node.outstanding[s]--
	q.node.heardAt[s] = p.now
	took := float64(p.now.Sub(t.sentAt).Milliseconds())
	q.node.mean[s] += (took/(1+float64(q.node.outstanding[s])/float64(p.site.slots)) - q.node.mean[s]) * 0.2
	if p.counted(p.now) {
		p.usedWork += q.class.work
	}
	q.worked += q.class.work
	if !q.parts[t.part] && !q.over {
		q.parts[t.part] = true
		q.done++
		if q.done == len(q.parts) || !p.now.Before(q.goalAt()) {
			p.finishIfCovered(q)
		}
	}
	for len(s.queue) > 0 && s.running < p.site.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.query.over && p.now.Sub(next.query.ended) > cancelGrace {
			next.query.node.outstanding[s]--
			continue
		}
		p.start(next)
	}
}

func (p *play) finishIfCovered(q *query) {
	if !q.over && float64(q.done) >= q.class.coverage*float64(len(q.parts)) {
		p.finish(q, true)
	}
}

func (p *play) finish(q *query, answered bool) {
	q.over, q.ended = true, p.now
	t := p.tallies[q.class.name]
	var outcome Outcome = Late{}
	switch inTime := !p.now.After(q.goalAt()); {
	case !answered:
		t.unanswered++
	case inTime:
		outcome = InTime{}
		if q.attempt == 1 {
			t.first++
			t.value++
		} else {
			t.second++
			t.value += 0.5
		}
		if p.counted(p.now) {
			p.usefulWork += q.class.work * time.Duration(q.done)
		}
	default:
		t.late++
		t.value += q.class.lateValue
	}
	q.node.admitters[q.class.services[0]].release(p.now, q, outcome)
	p.decide(q.node)
}

// capacity returns the work that the searchers of the classes can do in the counted window. Queries over shards can use no more of a shard than
// of the narrowest one.
func (p *play) capacity() time.Duration {
	total, counted := 0.0, make(map[int]bool)
	for _, c := range p.classes {
		if counted[c.services[0]] {
			continue
		}
		counted[c.services[0]] = true
		narrowest := math.Inf(1)
		for _, service := range c.services {
			slots := 0.0
			for _, s := range p.searchers[service] {
				slots += float64(p.site.slots) / s.factor
			}
			narrowest = min(narrowest, slots)
		}
		total += narrowest * float64(len(c.services))
	}
	if p.site.pauseEvery > 0 {
		total *= 1 - float64(p.site.pauseFor)/float64(p.site.pauseEvery)
	}
	return time.Duration(total * float64(p.countTo-p.countFrom))
}

// usefulShare is the work for queries in time as a share of what was asked for or could be done, whichever is less.
func (p *play) usefulShare() float64 {
	return float64(p.usefulWork) / float64(min(p.capacity(), p.demandWork))
}

func (p *play) String() string {
	var b strings.Builder
	for _, c := range p.classes {
		t := p.tallies[c.name]
		fmt.Fprintf(&b, "%-12s rank %d: callers %5d, in time %.3f (second try %.3f), late %.3f, unanswered %.3f, failed %.3f, refused %.3f (after waiting %.3f), twice %.3f; value %.3f\n",
			c.name, c.rank, t.callers, share(t.inTime(), t.callers), share(t.second, t.callers), share(t.late, t.callers), share(t.unanswered, t.callers), share(t.failed, t.callers),
			share(t.refusedOnce, t.callers), share(t.refusedWaiting, t.callers), share(t.refusedTwice, t.callers), t.value/float64(max(t.callers, 1)))
	}
	fmt.Fprintf(&b, "useful share of what can be done %.3f; used work %.3f of the capacity; demand %.2f of it", p.usefulShare(),
		float64(p.usedWork)/float64(p.capacity()), float64(p.demandWork)/float64(p.capacity()))
	return b.String()
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
