package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/reach"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var start = time.Unix(1_700_000_000, 0)

func newEngine(now func() time.Time) *Engine {
	registry := metrics.NewRegistry()
	dial := func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	budget := Budget{Share: 0.2, Allowance: 10, Window: 10 * time.Second}
	return New(nil, budget, Location{}, dial, events.Discard(), reason.NewCounters(registry, "reasons"), registry, now)
}

func searcherKey(i int) fleet.Key { return fleet.Key{ID: fmt.Sprintf("i-%d", i)} }

// Guards against a crash that spreads the marks of all requests that were running, most of which did not cause it. Other nodes are told
// only of requests that crash another searcher or that are sent again.
func TestAnnouncedMarks(t *testing.T) {
	const poison, unrelated = uint64(1), 50
	tests := map[string]struct {
		losses   []time.Duration
		repeated bool
		want     int
	}{
		"one loss":                           {losses: []time.Duration{0}, want: 0},
		"one loss, sent again":               {losses: []time.Duration{0}, repeated: true, want: 1},
		"two losses":                         {losses: []time.Duration{0, time.Second}, want: 1},
		"two losses, sent again immediately": {losses: []time.Duration{0, time.Second}, repeated: true, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			e := newEngine(func() time.Time { return now })
			announced := 0
			e.OnQuarantineMarks(func(marks []*wire.QuarantineMark) {
				announced += len(marks)
				if marks[0].GetFingerprint() != poison {
					t.Errorf("got mark of %d, want %d", marks[0].GetFingerprint(), poison)
				}
			})
			for i, after := range test.losses {
				now = start.Add(after)
				e.crashes.suspect(now, poison, searcherKey(i))
				for j := range unrelated {
					e.crashes.suspect(now, uint64(100+100*i+j), searcherKey(i))
				}
				e.searcherEnded(now, searcherKey(i), unreachable)
			}
			if test.repeated {
				e.announceRepeated(now, poison)
			}
			if announced != test.want {
				t.Errorf("got %d marks announced, want %d", announced, test.want)
			}
		})
	}
}

// Guards against a request that goes on to crash a searcher which starts again under its id, since crashes are counted by id.
func TestCrashesAreCountedByProcess(t *testing.T) {
	e := newEngine(func() time.Time { return start })
	for born := range int64(2) {
		process := fleet.Key{ID: "i-0", Address: "10.0.0.1:80", Started: born}
		e.crashes.suspect(start, 1, process)
		e.searcherEnded(start, process, unreachable)
	}
	if !e.crashes.marks.quarantined(start, 1) {
		t.Error("after two processes under one id have crashed: request is not quarantined, want it quarantined")
	}
}

// Guards against crashes that are not taken for such, since the next process at the searcher's address accepts connections at once.
func TestNextProcessConfirmsCrash(t *testing.T) {
	const service, address = "one", "10.0.0.1:80"
	crashed := fleet.NewSearcher("i-0", service, address, "z", 2, false, 1, 1)
	tests := map[string]func(e *Engine, ep *endpoint){
		"it replies": func(e *Engine, ep *endpoint) {
			f := &fanout{engine: e, parts: make([]part, 1), pending: 1, attempts: make(map[*attempt]struct{}), signal: make(chan struct{}, 1), done: true}
			a := &attempt{part: &f.parts[0], endpoint: ep, sentAt: start, record: &attemptRecord{}}
			a.ticket = ep.tracker.Begin(start, 0)
			f.attemptEnded(a, result{reason: wire.Reason_REASON_WRONG_SEARCHER, sent: true})
		},
		"it registers": func(e *Engine, _ *endpoint) {
			registry := fleet.New()
			next := fleet.NewSearcher("i-1", service, address, "z", 2, false, 2, 2)
			registry.Apply(start, []*fleet.Searcher{crashed, next}, nil, time.Time{})
			e.Update(registry.Snapshot(), &route.Table{})
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEngine(func() time.Time { return start })
			e.crashes.suspect(start, 1, crashed.Key())
			happens(e, e.balancer.newEndpoint(crashed, 1))
			if !e.crashes.marks.suspected(start, 1) {
				t.Error("request that was running when the searcher ended is not marked, want a mark")
			}
		})
	}
}

// Guards against crashes that are overlooked after many connections broke for another reason.
func TestCrashAmongManyBrokenConnections(t *testing.T) {
	e := newEngine(func() time.Time { return start })
	for i := range maxSuspicions {
		e.crashes.suspect(start, uint64(100+i), searcherKey(i))
	}
	e.crashes.suspect(start, 1, searcherKey(0))
	e.searcherEnded(start, searcherKey(0), unreachable)
	if !e.crashes.marks.suspected(start, 1) {
		t.Error("request that was running when the searcher ended is not marked, want a mark")
	}
}

// Guards against a request that other nodes go on to run, since they were told of its first crash and not of the next ones.
func TestMarkThatGrowsIsAnnounced(t *testing.T) {
	e, other := newEngine(func() time.Time { return start }), newEngine(func() time.Time { return start })
	e.OnQuarantineMarks(func(marks []*wire.QuarantineMark) { other.MergeMarks(start, "first", marks) })
	for i := range 2 {
		e.crashes.suspect(start, 1, searcherKey(i))
		e.searcherEnded(start, searcherKey(i), unreachable)
		e.announceRepeated(start, 1)
		if got, want := other.crashes.marks.quarantined(start, 1), i == 1; got != want {
			t.Errorf("after %d crashes: got quarantined %v at the other node, want %v", i+1, got, want)
		}
	}
}

// Guards against a request that crashes a searcher at each node, none of which knows of the others' crashes.
func TestCrashesAtDifferentNodesCountTogether(t *testing.T) {
	tests := map[string]struct {
		candidates int
		// repeated is set if the request comes again at the first node before it crashes a searcher of the second one.
		repeated bool
		want     bool
	}{
		"alone":                           {candidates: 1, want: true},
		"with a few others":               {candidates: maxCandidates, want: true},
		"with many others":                {candidates: maxCandidates + 1, want: false},
		"with many others, it came again": {candidates: maxCandidates + 1, repeated: true, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newEngine(func() time.Time { return start }), newEngine(func() time.Time { return start })
			first.OnQuarantineMarks(func(marks []*wire.QuarantineMark) { second.MergeMarks(start, "first", marks) })
			for i, e := range []*Engine{first, second} {
				for fingerprint := range test.candidates {
					e.crashes.suspect(start, uint64(1+fingerprint), searcherKey(i))
				}
				e.searcherEnded(start, searcherKey(i), unreachable)
				if test.repeated {
					e.announceRepeated(start, 1)
				}
			}
			if got := second.crashes.marks.quarantined(start, 1); got != test.want {
				t.Errorf("after a crash at each of two nodes: got quarantined %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a harmless request that is refused by all nodes, since it was running on searchers that crashed for another reason and was
// answered in between.
func TestAnswerClearsSuspicion(t *testing.T) {
	tests := map[string]int{"few candidates": 1, "many candidates": maxCandidates + 1}
	for name, candidates := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEngine(func() time.Time { return start })
			for i := range 2 {
				for fingerprint := range candidates {
					e.crashes.suspect(start, uint64(1+fingerprint), searcherKey(i))
				}
				e.searcherEnded(start, searcherKey(i), unreachable)
				if i == 0 {
					e.crashes.acquit(start, 1)
				}
			}
			e.announceRepeated(start, 1)
			if e.crashes.marks.quarantined(start, 1) {
				t.Error("request that was answered between two crashes is quarantined, want it to run")
			}
		})
	}
}

// Guards against nodes that pass the same marks to each other endlessly: a mark that returns to its origin or arrives again must not count
// as new.
func TestMarksAreNotForwardedTwice(t *testing.T) {
	a, b := newEngine(func() time.Time { return start }), newEngine(func() time.Time { return start })
	for i := range 2 {
		a.crashes.suspect(start, 1, searcherKey(i))
		a.searcherEnded(start, searcherKey(i), unreachable)
	}
	marks := []*wire.QuarantineMark{a.crashes.marks.shared.Mark(start, 1)}
	if got := len(b.MergeMarks(start.Add(30*time.Millisecond), "a", marks)); got != 1 {
		t.Fatalf("first merge: got %d new marks, want 1", got)
	}
	if !b.crashes.marks.quarantined(start.Add(time.Second), 1) {
		t.Error("receiving node: request is not quarantined, want it quarantined")
	}
	back := []*wire.QuarantineMark{b.crashes.marks.shared.Mark(start.Add(60*time.Millisecond), 1)}
	if got := len(a.MergeMarks(start.Add(90*time.Millisecond), "b", back)); got != 0 {
		t.Errorf("sent back to the origin: got %d new marks, want 0", got)
	}
	if got := len(b.MergeMarks(start.Add(time.Second), "a", marks)); got != 0 {
		t.Errorf("second merge: got %d new marks, want 0", got)
	}
}

// Guards against a refused connection that counts as a crash, since searchers also refuse connections beyond their limit. After a restart
// of all nodes, searchers that refused further connections were taken for crashed, and harmless requests were refused as quarantined.
func TestRefusedConnectionIsNoCrash(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	e := newEngine(time.Now)
	searcher := fleet.NewSearcher("i-0", "one", listener.Addr().String(), "z", 2, false, 1, 1)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	ep := &endpoint{searcher: searcher, pool: pool.New(searcher.Address(), 2, dial, func(time.Duration, error) {}), tracker: health.New(2), pacer: pace.New("i-0", ""), link: &reach.Link{}}
	defer ep.pool.Close()
	if err := ep.pool.Probe(t.Context()); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	const request = uint64(1)
	e.crashes.suspect(time.Now(), request, searcher.Key())
	e.searcherUnreachable(ep)
	e.tasks.Wait()
	if e.crashes.marks.suspected(time.Now(), request) {
		t.Error("while another connection is open: request is marked, want no mark")
	}
	accepted.Close()
	time.Sleep(20 * time.Millisecond)
	e.searcherUnreachable(ep)
	e.tasks.Wait()
	if e.crashes.marks.suspected(time.Now(), request) {
		t.Error("while this node reaches no other searcher: request is marked, want no mark")
	}
	other := &endpoint{searcher: fleet.NewSearcher("i-1", "one", "127.0.0.1:1", "z", 2, false, 1, 1), pool: pool.New("127.0.0.1:1", 1, dial, func(time.Duration, error) {}), link: &reach.Link{}}
	e.balancer.current.Store(&endpointTable{byKey: map[fleet.Key]*endpoint{searcher.Key(): ep, other.searcher.Key(): other}})
	other.link.Reached(time.Now().Add(probeDelay))
	e.searcherUnreachable(ep)
	e.tasks.Wait()
	if !e.crashes.marks.suspected(time.Now(), request) {
		t.Error("after all connections closed, another searcher is reached: request is not marked, want a mark")
	}
}

// Guards against a harmless request over many shards that is quarantined because it was running on several searchers that a common cause
// took away. On a fleet of 295 nodes such marks flooded the network between the nodes.
func TestAnsweredRequestIsNoCrasher(t *testing.T) {
	tests := map[string]struct {
		// answered is when another shard's searcher answers: before the connections break, before the searchers are known to have ended, or
		// never.
		answeredBefore, answeredAfter bool
		wantQuarantined               bool
	}{
		"no answer":                          {wantQuarantined: true},
		"answered before connections broke":  {answeredBefore: true},
		"answered before the crash is known": {answeredAfter: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, f := newGatherFanout(t)
			f.parts = append(f.parts, part{service: "two"})
			f.pending = len(f.parts)
			answer := func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.settle(&f.parts[1], wire.Reason_REASON_UNSPECIFIED)
			}
			if test.answeredBefore {
				answer()
			}
			var lost []*endpoint
			for range 2 {
				chosen, ok := e.balancer.choose(start, demand{service: "one", timeLeft: time.Second, tried: lost})
				if !ok {
					t.Fatal("got no searcher")
				}
				lost = append(lost, chosen.endpoint)
				a := &attempt{part: &f.parts[0], endpoint: chosen.endpoint, sentAt: start, deadline: f.deadline, record: &attemptRecord{}}
				a.ticket = chosen.endpoint.tracker.Begin(start, 0)
				f.parts[0].inFlight += 2
				f.attemptEnded(a, result{reason: wire.Reason_REASON_CONNECTION_LOST, sent: true, abrupt: true})
			}
			if test.answeredAfter {
				answer()
			}
			for _, ep := range lost {
				e.searcherEnded(start, ep.searcher.Key(), unreachable)
			}
			if got := e.crashes.marks.quarantined(start, f.fingerprint); got != test.wantQuarantined {
				t.Errorf("got quarantined %v, want %v", got, test.wantQuarantined)
			}
		})
	}
}

// crashFleet is nodes that tell each other their marks, on a virtual clock.
type crashFleet struct {
	now   time.Time
	nodes []*Engine
	// delay is the time that messages take. pending are the deliveries that are under way, in the order of their times.
	delay   time.Duration
	pending []func(now time.Time) bool
	// cut holds the nodes that exchange nothing with the others, disturbed the time of the latest start or end of a cut of a node.
	cut       map[int]bool
	disturbed map[int]time.Time
	// lost is the number of searchers lost under crashing requests.
	lost int
}

func newCrashFleet(n int) *crashFleet {
	f := &crashFleet{now: start, cut: make(map[int]bool), disturbed: make(map[int]time.Time)}
	for i := range n {
		f.nodes = append(f.nodes, f.newNode(i, n))
	}
	return f
}

// newNode returns a node that has just started, in a fleet in which n nodes share the trials.
func (f *crashFleet) newNode(number, n int) *Engine {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("n%d", i)
	}
	e := newEngine(func() time.Time { return f.now })
	e.SetNodes(NodeCounts{Active: n, SelfActive: true, Members: pace.NewMembers(fmt.Sprintf("n%d", number), map[string][]string{"r": ids})})
	e.OnQuarantineMarks(func(marks []*wire.QuarantineMark) { f.push(number, marks) })
	return e
}

// push sends marks of a node to all others.
func (f *crashFleet) push(from int, marks []*wire.QuarantineMark) {
	due := f.now.Add(f.delay)
	f.pending = append(f.pending, func(now time.Time) bool {
		if now.Before(due) {
			return false
		}
		for i, e := range f.nodes {
			if i != from && !f.cut[i] && !f.cut[from] {
				e.MergeMarks(now, fmt.Sprintf("n%d", from), marks)
			}
		}
		return true
	})
	f.advance(0)
}

// advance lets time pass and delivers what is due.
func (f *crashFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for len(f.pending) > 0 && f.pending[0](f.now) {
		f.pending = f.pending[1:]
	}
}

// join ends the cut of a node, which compares its marks with those of the first one.
func (f *crashFleet) join(i int) {
	delete(f.cut, i)
	f.disturbed[i] = f.now
	f.push(0, f.nodes[0].Marks(f.now))
	f.push(i, f.nodes[i].Marks(f.now))
}

// restart replaces a node by one that compares its marks with those of the first one.
func (f *crashFleet) restart(i int) {
	f.disturbed[i] = f.now
	f.nodes[i] = f.newNode(i, len(f.nodes))
	f.push(0, f.nodes[0].Marks(f.now))
}

// lose lets a searcher end while requests run on it for a node.
func (f *crashFleet) lose(node int, searcher fleet.Key, requests ...uint64) {
	e := f.nodes[node]
	for _, request := range requests {
		e.crashes.suspect(f.now, request, searcher)
	}
	e.searcherEnded(f.now, searcher, unreachable)
}

// crash sends a request that crashes the searchers that run it to a node. others run there as well. It reports whether it ran.
func (f *crashFleet) crash(node int, request uint64, others ...uint64) bool {
	e := f.nodes[node]
	if e.crashes.marks.quarantined(f.now, request) {
		if begun, _ := e.beginTrial(f.now, request); !begun {
			return false
		}
		e.crashes.marks.shared.EndTrial(f.now, request, true)
		e.announceMark(f.now, request)
	}
	f.lost++
	f.lose(node, searcherKey(1000+f.lost), append(others, request)...)
	return true
}

// ask sends a request to a node and reports whether it is served.
func (f *crashFleet) ask(node int, request uint64) bool {
	e := f.nodes[node]
	if e.crashes.marks.quarantined(f.now, request) {
		if begun, _ := e.beginTrial(f.now, request); !begun {
			return false
		}
	}
	e.acquit(f.now, request)
	return true
}

// Guards against a harmless request that many callers send and that nodes refuse for minutes, since it was running on searchers that ended or were
// cut off for another reason.
func TestPopularRequestIsServedAgain(t *testing.T) {
	const popular, crasher = uint64(1), uint64(2)
	a, b, c := searcherKey(0), searcherKey(1), searcherKey(2)
	loseAll := func(f *crashFleet) {
		f.lose(0, a, popular)
		f.lose(0, b, popular)
		f.lose(1, c, popular)
	}
	// earlier is a mark as versions of the program send it that know searchers only.
	earlier := wire.QuarantineMark_builder{Fingerprint: popular, Searchers: []string{a.String(), b.String()}, Remaining: durationpb.New(time.Minute)}.Build()
	tests := map[string]struct {
		// known is set if searchers have answered the request before.
		known bool
		play  func(f *crashFleet)
		// within is the time in which all nodes serve the request that comes to them.
		within time.Duration
	}{
		"answered between two losses": {play: func(f *crashFleet) {
			f.lose(0, a, popular)
			f.nodes[0].acquit(f.now, popular)
			f.lose(0, b, popular)
		}},
		"answered after two losses": {play: func(f *crashFleet) {
			f.lose(0, a, popular)
			f.lose(0, b, popular)
			f.nodes[0].acquit(f.now, popular)
		}},
		"answered at another node": {play: func(f *crashFleet) {
			f.lose(0, a, popular)
			f.lose(1, b, popular)
			f.nodes[2].acquit(f.now, popular)
		}},
		"answered, then learned": {play: func(f *crashFleet) {
			loseAll(f)
			f.nodes[2].acquit(f.now, popular)
			f.nodes[0].MergeMarks(f.now, "old", []*wire.QuarantineMark{earlier})
		}},
		"lost at an earlier version":      {known: true, play: func(f *crashFleet) { f.nodes[0].MergeMarks(f.now, "old", []*wire.QuarantineMark{earlier}) }, within: time.Second},
		"all searchers end":               {known: true, play: loseAll, within: time.Second},
		"all searchers end, first answer": {play: loseAll, within: 64 * time.Second},
		"all searchers end twice": {known: true, play: func(f *crashFleet) {
			loseAll(f)
			f.crash(0, popular)
			f.now = f.now.Add(time.Second)
		}, within: 4 * time.Second},
		"one ends again and again": {known: true, play: func(f *crashFleet) {
			for i := range 20 {
				f.lose(i%3, searcherKey(i), popular)
				f.ask((i+1)%3, popular)
				f.now = f.now.Add(time.Second)
			}
		}},
		"the answer reaches no other node": {known: true, play: func(f *crashFleet) {
			loseAll(f)
			f.cut[1], f.cut[2] = true, true
			f.nodes[0].acquit(f.now, popular)
		}, within: time.Second},
		"a node was cut off meanwhile": {known: true, play: func(f *crashFleet) {
			loseAll(f)
			f.cut[2] = true
			f.nodes[0].acquit(f.now, popular)
			f.join(2)
		}},
		"a node starts meanwhile": {known: true, play: func(f *crashFleet) {
			loseAll(f)
			f.nodes = append(f.nodes, f.newNode(3, 3))
			f.push(0, f.nodes[0].Marks(f.now))
		}, within: time.Second},
		"a crashing request beside": {play: func(f *crashFleet) {
			f.crash(0, crasher, popular)
			f.crash(1, crasher, popular)
			f.crash(2, crasher, popular)
		}, within: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(3)
			for _, e := range f.nodes {
				if test.known {
					e.acquit(f.now, popular)
				}
			}
			test.play(f)
			unserved := func() (nodes []int) {
				for i := range f.nodes {
					if !f.ask(i, popular) {
						nodes = append(nodes, i)
					}
				}
				return nodes
			}
			refused := unserved()
			for until := f.now.Add(test.within); len(refused) > 0 && f.now.Before(until); refused = unserved() {
				f.now = f.now.Add(100 * time.Millisecond)
			}
			if len(refused) > 0 {
				t.Errorf("got the request refused by nodes %v after %v, want it served by all", refused, test.within)
			}
		})
	}
}

// Guards against trials and answers that let a crashing request go on: three retries are allowed later than 5 s after its third crash, at nodes that
// have been undisturbed for as long.
func TestCrashingRequestIsSeldomTried(t *testing.T) {
	const crasher = uint64(2)
	tests := map[string]struct {
		nodes int
		// known is set if searchers answered the request until it began to crash them, others are requests that run beside it.
		known  bool
		others []uint64
		during func(f *crashFleet, at time.Duration)
	}{
		"at one node":     {nodes: 1},
		"at eight nodes":  {nodes: 8},
		"beside others":   {nodes: 8, others: []uint64{3, 4}},
		"it was harmless": {nodes: 8, known: true},
		"a node starts again": {nodes: 8, during: func(f *crashFleet, at time.Duration) {
			if at == 10*time.Second {
				f.restart(1)
			}
		}},
		"nodes were cut off": {nodes: 8, during: func(f *crashFleet, at time.Duration) {
			f.cut[6] = at < time.Second
			if at == time.Second {
				f.join(6)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(test.nodes)
			f.delay = 300 * time.Millisecond
			for _, e := range f.nodes {
				if test.known {
					e.acquit(f.now, crasher)
				}
			}
			var third time.Time
			late := 0
			for f.now.Before(start.Add(20 * time.Minute)) {
				if test.during != nil {
					test.during(f, f.now.Sub(start))
				}
				for i := range f.nodes {
					if !f.crash(i, crasher, test.others...) {
						continue
					}
					if f.lost == 3 {
						third = f.now
					}
					if !third.IsZero() && f.now.Sub(third) > 5*time.Second && f.now.Sub(f.disturbed[i]) > 5*time.Second {
						late++
					}
				}
				f.advance(100 * time.Millisecond)
			}
			if late > 3 {
				t.Errorf("got %d retries that reached searchers later than 5s after the third crash, want at most 3", late)
			}
		})
	}
}
