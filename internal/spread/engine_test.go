package spread

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var _ Membership = (*member.View)(nil)

// aim is the time in which an accepted change is in force on 8 nodes.
const aim = 3 * time.Second

// inWorld runs a test with a running fleet of n nodes that are ready.
func inWorld(t *testing.T, n int, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, n)
		w.startAll()
		defer w.stopAll()
		w.awaitReady(10 * time.Second)
		test(t, w)
	})
}

// Guards against changes that reach the fleet later than the aim, for each kind of document and for new collections.
func TestChangesReachAllNodes(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		time.Sleep(time.Minute)
		for range 3 {
			for _, key := range []string{"plans", "index/alpha"} {
				took := w.awaitRevision(aim, key, w.platform.put(key, fmt.Sprintf("[p]\nrank = routine\nat = %d\n", time.Now().Unix())))
				t.Logf("%s in force on 8 nodes after %v", key, took)
			}
			time.Sleep(10 * time.Second)
		}
		w.awaitRevision(aim, "uses", w.platform.put("uses", "[p/alpha]\nrate = 1\n[p/gamma]\nrate = 1\n"))
		time.Sleep(10 * time.Second)
		w.awaitRevision(2*unknownKeyDelay, "index/gamma", w.platform.put("index/gamma", "[searcher s1]\naddress = a:1\n"))
		for _, n := range w.running() {
			if !n.engine.Ready() {
				t.Errorf("%s is not ready", n.id)
			}
		}
	})
}

// Guards against keys that vanish: a key that is removed from the service or no longer named stays at its last good revision.
func TestRemovedKeysStay(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		w.awaitRevision(aim, "uses", w.platform.put("uses", "[p/alpha]\nrate = 1\n"))
		w.platform.remove("index/beta")
		w.platform.remove("plans")
		time.Sleep(2 * time.Minute)
		for _, key := range []string{"index/beta", "plans"} {
			w.awaitRevision(0, key, 1)
		}
		for _, n := range w.running() {
			if !n.engine.Ready() {
				t.Errorf("%s is not ready after a key was removed", n.id)
			}
		}
	})
}

// Guards against a load on the service that grows with the number of nodes: only 2 readers per region watch a key.
func TestOnlyReadersCall(t *testing.T) {
	inWorld(t, 30, func(t *testing.T, w *world) {
		time.Sleep(time.Minute)
		w.platform.set(func() { w.platform.calls, w.platform.reads = nil, make(map[string]int) })
		time.Sleep(10 * time.Minute)
		const keys, readers = 2 + 3 + 2, 2 * 3
		w.platform.mu.Lock()
		defer w.platform.mu.Unlock()
		if got, want := len(w.platform.calls), keys*readers*(10*60/30+1); got > want {
			t.Errorf("got %d calls in 10 minutes, want at most %d", got, want)
		}
		if got := len(w.platform.reads); got != 0 {
			t.Errorf("got direct reads of %d keys, want none", got)
		}
	})
}

// Guards against a change that stays in the one region that the service still answers, and against a restart elsewhere that misses it.
func TestServiceAnswersOneRegion(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		w.platform.set(func() { w.platform.onlyRegion = "north" })
		time.Sleep(time.Minute)
		revision := w.platform.put("plans", "[p]\nat = 1\n")
		w.awaitRevision(aim, "plans", revision)
		const south = 1
		if got, want := w.list[south].Region(), "south"; got != want {
			t.Fatalf("got region %s, want %s", got, want)
		}
		w.stop(w.list[south].ID())
		n := w.start(south)
		w.awaitReady(5 * time.Second)
		if got := n.firstRevision("plans"); got != revision {
			t.Errorf("%s restarted with revision %d, want %d", n.id, got, revision)
		}
	})
}

// Guards against a restarted node that takes a stale value of the service before it asked its peers.
func TestRestartIgnoresStaleService(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		for i := range 5 {
			w.platform.put("plans", fmt.Sprintf("[p]\nat = %d\n", i))
			w.platform.put("index/alpha", fmt.Sprintf("[p]\nat = %d\n", i))
		}
		w.awaitRevision(aim, "plans", 6)
		w.awaitRevision(aim, "index/alpha", 6)
		w.platform.set(func() { w.platform.staleBy = 3 })
		for i := range w.list {
			w.stop(w.list[i].ID())
			time.Sleep(time.Second)
			n := w.start(i)
			w.awaitReady(5 * time.Second)
			for _, key := range []string{"plans", "index/alpha"} {
				if got, want := n.firstRevision(key), uint64(6); got != want {
					t.Errorf("%s restarted with revision %d of %s, want %d", n.id, got, key, want)
				}
			}
		}
	})
}

// Guards against a node that can't start while the service is down, although its peers have all documents.
func TestRestartWhileServiceIsDown(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		var large strings.Builder
		for i := range 2000 {
			fmt.Fprintf(&large, "[searcher s%d]\naddress = a:1\n", i)
		}
		w.awaitRevision(aim, "index/alpha", w.platform.put("index/alpha", large.String()))
		w.platform.set(func() { w.platform.down = true })
		w.stop("vm-3")
		time.Sleep(time.Minute)
		w.start(3)
		w.awaitReady(10 * time.Second)
		w.awaitRevision(0, "index/alpha", 2)
	})
}

// Guards against events that are missing or that repeat for as long as the service is down or stale.
func TestServiceEvents(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		w.awaitRevision(aim, "plans", w.platform.put("plans", "[p]\nat = 1\n"))
		check := func(event wire.Event, text string, want func(int) bool) {
			t.Helper()
			total := 0
			for _, n := range w.running() {
				count := n.log.count(event, text)
				if count > 1 {
					t.Errorf("%s logged %v %d times, want at most once", n.id, event, count)
				}
				total += count
			}
			if !want(total) {
				t.Errorf("%v was logged %d times in the fleet", event, total)
			}
		}
		some := func(n int) bool { return n > 0 }
		none := func(n int) bool { return n == 0 }
		check(wire.Event_EVENT_PLATFORM_DOWN, "", none)
		check(wire.Event_EVENT_DOCUMENT_STALE, "", none)
		w.platform.set(func() { w.platform.staleBy = 1 })
		time.Sleep(5 * time.Minute)
		check(wire.Event_EVENT_DOCUMENT_STALE, `"key":"plans"`, some)
		w.awaitRevision(0, "plans", 2)
		w.platform.set(func() { w.platform.staleBy, w.platform.down = 0, true })
		time.Sleep(5 * time.Minute)
		check(wire.Event_EVENT_PLATFORM_DOWN, "", some)
		check(wire.Event_EVENT_PLATFORM_UP, "", none)
		w.platform.set(func() { w.platform.down = false })
		time.Sleep(time.Minute)
		check(wire.Event_EVENT_PLATFORM_UP, "", some)
		w.awaitRevision(aim, "plans", w.platform.put("plans", "[p]\nat = 2\n"))
	})
}

// Guards against invalid edits that come into force, stop later edits, go unreported, or make readers call without pause.
func TestInvalidEdit(t *testing.T) {
	tests := map[string]string{
		"refused by validation": "[p]\nrank = " + badBody + "\n",
		"not INI":               "[p]\n[p]\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 8, func(t *testing.T, w *world) {
				w.platform.put("plans", text)
				before := w.platform.totalCalls()
				time.Sleep(10 * time.Minute)
				w.awaitRevision(0, "plans", 1)
				if got, limit := w.platform.totalCalls()-before, 8*7*(10*2+2); got > limit {
					t.Errorf("got %d calls in 10 minutes, want at most %d", got, limit)
				}
				events, rejections := 0, 0
				for _, n := range w.running() {
					events += n.log.count(wire.Event_EVENT_DOCUMENT_REJECTED, `"key":"plans"`)
					rejections += len(n.store.Rejections())
				}
				if events == 0 || events != rejections {
					t.Errorf("got %d events and %d rejections on the status pages, want as many and more than 0", events, rejections)
				}
				w.awaitRevision(aim, "plans", w.platform.put("plans", "[p]\nrank = bulk\n"))
			})
		})
	}
}

// Guards against a restarted node that gets an invalid revision from the service and then refuses the last good one of its peers.
func TestRestartAfterInvalidEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 8)
		w.startAll()
		defer w.stopAll()
		w.awaitReady(10 * time.Second)
		w.platform.put("plans", "[p]\nrank = "+badBody+"\n")
		time.Sleep(time.Second)
		for i := range 8 {
			w.stop(w.list[i].ID())
			w.split(i, 1)
			w.start(i)
			time.Sleep(30 * time.Second)
			w.split(i, 0)
			w.awaitRevision(5*time.Second, "plans", 1)
		}
	})
}

// Guards against a node that keeps old documents because no peer hears it although it reaches the service. The aim
// counts from the loss of its peers, when a change is published at once.
func TestIsolatedNodeReadsTheService(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		for i := range w.list {
			w.split(i, 1)
			w.awaitRevision(aim, "plans", w.platform.put("plans", fmt.Sprintf("[p]\nat = %d\n", i)))
			time.Sleep(time.Minute)
			w.awaitRevision(aim, "plans", w.platform.put("plans", fmt.Sprintf("[p]\nat = %d, later\n", i)))
			if got := w.node(i).log.count(wire.Event_EVENT_FALLBACK_READ, ""); got != 1 {
				t.Errorf("got %d events of fallback reads, want 1", got)
			}
			w.split(i, 0)
			time.Sleep(time.Minute)
		}
	})
}

// Guards against a lone node of a large fleet that reads the service never, too often, or in step with others.
func TestFallbackReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12)
		w.settings.PlatformCallsPerSecond = 10 // Too few for watches by all 12 nodes.
		w.startAll()
		defer w.stopAll()
		w.awaitReady(time.Minute)
		time.Sleep(10 * time.Second)
		for i := range w.list {
			w.split(i, i)
		}
		time.Sleep(9 * time.Second)
		w.platform.set(func() { w.platform.calls, w.platform.reads = nil, make(map[string]int) })
		time.Sleep(11 * time.Minute)
		w.platform.mu.Lock()
		total := 0
		for _, reads := range w.platform.reads {
			total += reads
		}
		w.platform.mu.Unlock()
		const keys = 7
		least, most := 12*(keys-2)*660/55/2, 12*keys*660/20
		if total < least || total > most {
			t.Errorf("got %d direct reads in 11 minutes, want %d to %d", total, least, most)
		}
		if got, limit := w.platform.busiest(), 2*10+keys*6; got > limit {
			t.Errorf("got %d calls in a second, want at most %d", got, limit)
		}
		w.awaitRevision(time.Minute, "plans", w.platform.put("plans", "[p]\nat = 1\n"))
	})
}

// Guards against a restart of the whole fleet that exceeds the call rate of the service. 270 nodes stand for 2,700
// with a tenth of the rate.
func TestRestartOfAllNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("a long simulation of many nodes; the pass without -short runs it")
	}
	synctest.Test(t, func(t *testing.T) {
		const rate = 200
		w := newWorld(t, 270)
		w.settings.StartSpread = 2 * time.Second
		w.settings.PlatformCallsPerSecond = rate / 2
		begun := time.Now()
		w.startAll()
		defer w.stopAll()
		w.awaitReady(2 * time.Minute)
		t.Logf("270 nodes ready after %v, %d calls, at most %d in a second", time.Since(begun), w.platform.totalCalls(), w.platform.busiest())
		time.Sleep(time.Minute)
		if got := w.platform.busiest(); got > rate {
			t.Errorf("got %d calls in a second, want at most %d", got, rate)
		}
		pushes := w.pushes.Load()
		took := w.awaitRevision(13*time.Second, "plans", w.platform.put("plans", "[p]\nat = 1\n"))
		t.Logf("change in force on 270 nodes after %v with %.1f pushes per node", took, float64(w.pushes.Load()-pushes)/270)
	})
}

// Guards against control traffic above 3 KB/s per node with 65 documents: idle, and with a change each 9 s, which is 9,700 a day.
func TestControlBytes(t *testing.T) {
	if testing.Short() {
		t.Skip("a long simulation of many nodes; the pass without -short runs it")
	}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 60)
		var uses strings.Builder
		for i := range 60 {
			fmt.Fprintf(&uses, "[p/collection-%d]\nrate = 1\n", i)
			w.platform.put(fmt.Sprintf("index/collection-%d", i), planText(40))
		}
		w.platform.put("uses", uses.String())
		w.platform.put("plans", planText(1000))
		w.startAll()
		defer w.stopAll()
		w.awaitReady(2 * time.Minute)
		time.Sleep(time.Minute)
		measure := func(d time.Duration, change func(i int)) float64 {
			before := int64(0)
			for _, n := range w.running() {
				before += n.bytesOut()
			}
			for i := range int(d / (9 * time.Second)) {
				change(i)
				time.Sleep(9 * time.Second)
			}
			after := int64(0)
			for _, n := range w.running() {
				after += n.bytesOut()
			}
			return float64(after-before) / d.Seconds() / 60
		}
		idle := measure(90*time.Second, func(int) {})
		busy := measure(270*time.Second, func(i int) {
			key := fmt.Sprintf("index/collection-%d", i)
			w.platform.put(key, strings.Replace(planText(40), "weight = 1\n", fmt.Sprintf("weight = %d\n", i+2), 1))
		})
		t.Logf("bytes sent to peers per node and second: idle %.0f, with a change each 9 s %.0f", idle, busy)
		if limit := 3000.0; idle > limit || busy > limit {
			t.Errorf("got %.0f and %.0f bytes/s, want at most %.0f", idle, busy, limit)
		}
	})
}

// planText returns a document of n sections as INI.
func planText(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "[customer-%d-plan-%d]\ncustomer = customer-%d\nrank = routine\nweight = 1\n", i%97, i, i%97)
	}
	return text.String()
}

// Guards against a stopping node whose neighbours learn of it only in turn.
func TestStoppingIsToldAtOnce(t *testing.T) {
	inWorld(t, 12, func(t *testing.T, w *world) {
		w.node(5).engine.SetStopping()
		time.Sleep(100 * time.Millisecond)
		for _, n := range w.running() {
			if n.id != "vm-5" && !n.view.Snapshot(time.Now()).Leaving("vm-5") {
				t.Errorf("%s does not know that vm-5 is stopping", n.id)
			}
		}
	})
}

// testMarks is a quarantine table that holds fingerprints for ever.
type testMarks struct {
	mu  sync.Mutex
	set map[uint64]bool
}

// Export implements Quarantine.
func (m *testMarks) Export(time.Time) []*wire.QuarantineMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var marks []*wire.QuarantineMark
	for fingerprint := range m.set {
		marks = append(marks, wire.QuarantineMark_builder{Fingerprint: fingerprint}.Build())
	}
	return marks
}

// Merge implements Quarantine.
func (m *testMarks) Merge(_ time.Time, marks []*wire.QuarantineMark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := false
	for _, mark := range marks {
		news = news || !m.set[mark.GetFingerprint()]
		m.set[mark.GetFingerprint()] = true
	}
	return news
}

// Hash implements Quarantine.
func (m *testMarks) Hash() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := uint64(0)
	for fingerprint := range m.set {
		sum += fingerprint
	}
	return sum
}

func (m *testMarks) has(fingerprint uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set[fingerprint]
}

func (m *testMarks) add(fingerprint uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set[fingerprint] = true
}

// Guards against quarantine marks that stay on the node that set them, or that are lost with a push.
func TestMarksSpread(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, w *world) {
		w.node(2).marks.add(7)
		w.node(2).engine.QuarantineChanged()
		w.await(time.Second, "mark 7 is known", func(n *testNode) bool { return n.marks.has(7) })
		w.node(3).marks.add(8)
		w.await(10*time.Second, "mark 8 is known by digests alone", func(n *testNode) bool { return n.marks.has(8) })
	})
}

// Guards against goroutines that outlive Run, and tasks that start after it.
func TestRunEndsCleanly(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	w := newWorld(t, 6)
	w.startAll()
	w.awaitReady(10 * time.Second)
	nodes := w.running()
	w.stopAll()
	nodes[0].engine.QuarantineChanged()
	nodes[0].engine.HandlePush(time.Now(), "vm-1", wire.Push_builder{Deltas: []*wire.Delta{
		wire.Delta_builder{Key: "plans", From: 9, To: 9}.Build(),
	}}.Build())
	if nodes[0].engine.spawn(func(context.Context) {}) {
		t.Error("a task started after Run")
	}
}

// Guards against peers that push documents which nobody named, or that would fill the memory with unlisted senders.
func TestForeignPushes(t *testing.T) {
	store := NewStore(refuseBad)
	e := NewEngine(Settings{Region: "r", Regions: []string{"r"}, DigestInterval: time.Second}, Dependencies{
		Self: member.NewNode("vm-0", 1), Store: store, Log: events.Discard(), Clock: time.Now, Registry: metrics.NewRegistry(),
		VMs: func() []shards.VM { return nil },
	})
	for i := range 100 {
		foreign := NewDocument(fmt.Sprintf("index/%d", i), 1, map[string]string{"a": "1"})
		e.HandlePush(began, fmt.Sprintf("ghost-%d", i), wire.Push_builder{Deltas: []*wire.Delta{Diff(nil, foreign)}}.Build())
	}
	if got := len(store.Keys()); got != 0 {
		t.Errorf("got %d documents that nobody named", got)
	}
	if got := len(e.knowledge.peers); got != 0 {
		t.Errorf("got knowledge about %d unlisted peers", got)
	}
}

// Guards against answers to a pull that exceed the size of a message, and documents that such a pull leaves out.
func TestPullIsBounded(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		var uses strings.Builder
		body := "address = " + strings.Repeat("x", 300<<10)
		for i := range 12 {
			fmt.Fprintf(&uses, "[p/c%d]\nrate = 1\n", i)
			w.platform.put(fmt.Sprintf("index/c%d", i), "[searcher s]\n"+body+"\n")
		}
		w.awaitRevision(time.Minute, "uses", w.platform.put("uses", uses.String()))
		w.awaitReady(time.Minute)
		w.platform.set(func() { w.platform.down = true })
		reply := w.node(0).engine.HandlePull(time.Now(), wire.Pull_builder{Versions: w.node(0).engine.versions(nil)}.Build())
		if got := len(reply.GetDeltas()); got != 0 {
			t.Errorf("got %d deltas for an empty pull", got)
		}
		w.stop("vm-1")
		w.start(1)
		w.awaitReady(10 * time.Second)
	})
}

// step is one event in the script of TestEngineModel.
type step struct {
	kind  string
	node  int
	value int
}

// Guards, for any order of edits, restarts, partitions, losses, duplicates, delays, stale reads and outages of the
// service, against revisions that go down in a running process, invalid documents in force, and nodes that do not meet
// at the highest valid revision after healing.
func TestEngineModel(t *testing.T) {
	const nodes = 6
	rapid.Check(t, func(rt *rapid.T) {
		kinds := []string{"edit", "edit", "bad edit", "restart", "split", "heal", "loss", "duplicates", "delay", "stale", "down", "up", "wait", "wait"}
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				kind:  rapid.SampledFrom(kinds).Draw(rt, "kind"),
				node:  rapid.IntRange(0, nodes-1).Draw(rt, "node"),
				value: rapid.IntRange(0, 3).Draw(rt, "value"),
			}
		}), 1, 25).Draw(rt, "script")
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			failures = runScript(t, nodes, script)
		})
		for _, failure := range failures {
			rt.Error(failure)
		}
	})
}

// recorder collects failures, since a failed attempt of rapid must not fail the test by itself.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *recorder) Helper() {}

func runScript(t *testing.T, nodes int, script []step) []string {
	r := &recorder{TB: t}
	w := newWorld(r, nodes)
	w.startAll()
	defer w.stopAll()
	highest := make(map[string]uint64)
	check := func() {
		for _, n := range w.running() {
			d := n.store.Get("plans")
			id := fmt.Sprintf("%s/%d", n.id, n.engine.self.Incarnation())
			if d.Revision() < highest[id] {
				r.Errorf("%s went from %d to %d", id, highest[id], d.Revision())
			}
			highest[id] = d.Revision()
			if d != nil && validateTest("plans", d.Revision(), d.Sections()) != nil {
				r.Errorf("%s has an invalid revision %d in force", id, d.Revision())
			}
		}
	}
	for i, s := range script {
		w.apply(s, i)
		check()
	}
	w.apply(step{kind: "heal"}, 0)
	least := w.highestValid()
	w.platform.set(func() { w.platform.down, w.platform.staleBy = false, 0 })
	w.mu.Lock()
	w.lossPercent, w.duplicatePercent, w.maxDelay = 0, 0, 2*time.Millisecond
	w.mu.Unlock()
	time.Sleep(30 * time.Second)
	check()
	met := w.highestValid()
	if met < least {
		r.Errorf("the highest valid revision went from %d to %d", least, met)
	}
	for _, n := range w.running() {
		if got := n.store.Get("plans").Revision(); got != met {
			r.Errorf("after healing, %s: got revision %d, want %d", n.id, got, met)
		}
		// A list of plans without any valid revision keeps nodes from serving.
		if got, want := n.engine.Ready(), met > 0; got != want {
			r.Errorf("after healing, %s: ready: got %v, want %v", n.id, got, want)
		}
	}
	return r.failures
}

// highestValid returns the highest valid revision of the plans at the running nodes and at the service. A valid
// revision that no running node has is lost when the service holds a later, invalid one, since the service serves only
// its last.
func (w *world) highestValid() uint64 {
	highest := uint64(0)
	for _, n := range w.running() {
		highest = max(highest, n.store.Get("plans").Revision())
	}
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	revisions := w.platform.values["plans"]
	last := revisions[len(revisions)-1]
	if !strings.Contains(string(last.Data()), badBody) {
		highest = max(highest, last.Revision())
	}
	return highest
}

func (w *world) apply(s step, i int) {
	switch s.kind {
	case "edit":
		w.platform.put("plans", fmt.Sprintf("[p]\nat = %d\n", i))
	case "bad edit":
		w.platform.put("plans", fmt.Sprintf("[p]\nat = %d\nrank = %s\n", i, badBody))
	case "restart":
		w.stop(w.list[s.node].ID())
		w.start(s.node)
	case "split":
		w.split(s.node, s.value)
	case "heal":
		for i := range w.list {
			w.split(i, 0)
		}
	case "loss":
		w.mu.Lock()
		w.lossPercent = 20 * s.value
		w.mu.Unlock()
	case "duplicates":
		w.mu.Lock()
		w.duplicatePercent = 30 * s.value
		w.mu.Unlock()
	case "delay":
		w.mu.Lock()
		w.maxDelay = time.Duration(1+300*s.value) * time.Millisecond
		w.mu.Unlock()
	case "stale":
		w.platform.set(func() { w.platform.staleBy = s.value })
	case "down":
		w.platform.set(func() { w.platform.down = true })
	case "up":
		w.platform.set(func() { w.platform.down = false })
	case "wait":
		time.Sleep(time.Duration(1+s.value*s.value) * time.Second)
	}
}
