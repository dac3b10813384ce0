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

// propagationLimit is the time within which an accepted change must be in force on 8 nodes.
const propagationLimit = 3 * time.Second

// withCluster runs a test in a synctest bubble with a cluster of n nodes that are running and ready.
func withCluster(t *testing.T, n int, test func(t *testing.T, c *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, n)
		c.startAll()
		defer c.stopAll()
		c.waitReady(10 * time.Second)
		test(t, c)
	})
}

// Guards against changes that take longer than propagationLimit to come into force on all nodes, including indexes of new collections.
func TestChangesReachAllNodes(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		time.Sleep(time.Minute)
		for range 3 {
			for _, key := range []string{"plans", "index/alpha"} {
				took := c.waitRevision(propagationLimit, key, c.platform.put(key, fmt.Sprintf("[p]\nrank = routine\nat = %d\n", time.Now().Unix())))
				t.Logf("%s in force on 8 nodes after %v", key, took)
			}
			time.Sleep(10 * time.Second)
		}
		c.waitRevision(propagationLimit, "uses", c.platform.put("uses", "[p/alpha]\nrate = 1\n[p/gamma]\nrate = 1\n"))
		time.Sleep(10 * time.Second)
		c.waitRevision(2*unknownKeyDelay, "index/gamma", c.platform.put("index/gamma", "[searcher s1]\naddress = a:1\n"))
		for _, n := range c.running() {
			if !n.engine.Ready() {
				t.Errorf("%s is not ready", n.id)
			}
		}
	})
}

// Guards against documents that are dropped: one whose key is removed from the service or no longer referenced must stay at its last valid
// revision.
func TestRemovedKeysStay(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		c.waitRevision(propagationLimit, "uses", c.platform.put("uses", "[p/alpha]\nrate = 1\n"))
		c.platform.remove("index/beta")
		c.platform.remove("plans")
		time.Sleep(2 * time.Minute)
		for _, key := range []string{"index/beta", "plans"} {
			c.waitRevision(0, key, 1)
		}
		for _, n := range c.running() {
			if !n.engine.Ready() {
				t.Errorf("%s is not ready after a key was removed", n.id)
			}
		}
	})
}

// Guards against load on the service that grows with the number of nodes: only 2 readers per region may watch a key.
func TestOnlyReadersCall(t *testing.T) {
	withCluster(t, 30, func(t *testing.T, c *testCluster) {
		time.Sleep(time.Minute)
		c.platform.update(func() { c.platform.calls, c.platform.reads = nil, make(map[string]int) })
		time.Sleep(10 * time.Minute)
		const keys, readers = 2 + 3 + 2, 2 * 3
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		if got, want := len(c.platform.calls), keys*readers*(10*60/30+1); got > want {
			t.Errorf("got %d calls in 10 minutes, want at most %d", got, want)
		}
		if got := len(c.platform.reads); got != 0 {
			t.Errorf("got direct reads of %d keys, want none", got)
		}
	})
}

// Guards against a change that does not leave the only region that the service still answers, and against a node elsewhere that misses it
// when it restarts.
func TestServiceAnswersOneRegion(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		c.platform.update(func() { c.platform.onlyRegion = "north" })
		time.Sleep(time.Minute)
		revision := c.platform.put("plans", "[p]\nat = 1\n")
		c.waitRevision(propagationLimit, "plans", revision)
		const south = 1
		if got, want := c.listedVMs[south].Region(), "south"; got != want {
			t.Fatalf("got region %s, want %s", got, want)
		}
		c.stop(c.listedVMs[south].ID())
		n := c.start(south)
		c.waitReady(5 * time.Second)
		if got := n.firstRevision("plans"); got != revision {
			t.Errorf("%s restarted with revision %d, want %d", n.id, got, revision)
		}
	})
}

// Guards against a restarted node that accepts a stale value of the service before it has pulled from its peers.
func TestRestartIgnoresStaleService(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		for i := range 5 {
			c.platform.put("plans", fmt.Sprintf("[p]\nat = %d\n", i))
			c.platform.put("index/alpha", fmt.Sprintf("[p]\nat = %d\n", i))
		}
		c.waitRevision(propagationLimit, "plans", 6)
		c.waitRevision(propagationLimit, "index/alpha", 6)
		c.platform.update(func() { c.platform.staleBy = 3 })
		for i := range c.listedVMs {
			c.stop(c.listedVMs[i].ID())
			time.Sleep(time.Second)
			n := c.start(i)
			c.waitReady(5 * time.Second)
			for _, key := range []string{"plans", "index/alpha"} {
				if got, want := n.firstRevision(key), uint64(6); got != want {
					t.Errorf("%s restarted with revision %d of %s, want %d", n.id, got, key, want)
				}
			}
		}
	})
}

// Guards against a node that can't become ready while the service is down, although its peers have all documents.
func TestRestartWhileServiceIsDown(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		var large strings.Builder
		for i := range 2000 {
			fmt.Fprintf(&large, "[searcher s%d]\naddress = a:1\n", i)
		}
		c.waitRevision(propagationLimit, "index/alpha", c.platform.put("index/alpha", large.String()))
		c.platform.update(func() { c.platform.down = true })
		c.stop("vm-3")
		time.Sleep(time.Minute)
		c.start(3)
		c.waitReady(10 * time.Second)
		c.waitRevision(0, "index/alpha", 2)
	})
}

// Guards against events about an unavailable or stale service that are not logged, or logged again and again while the condition lasts.
func TestServiceEvents(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		c.waitRevision(propagationLimit, "plans", c.platform.put("plans", "[p]\nat = 1\n"))
		check := func(event wire.Event, text string, want func(int) bool) {
			t.Helper()
			total := 0
			for _, n := range c.running() {
				count := n.log.count(event, text)
				if count > 1 {
					t.Errorf("%s logged %v %d times, want at most once", n.id, event, count)
				}
				total += count
			}
			if !want(total) {
				t.Errorf("%v was logged %d times on all nodes together", event, total)
			}
		}
		atLeastOne := func(n int) bool { return n > 0 }
		none := func(n int) bool { return n == 0 }
		check(wire.Event_EVENT_PLATFORM_DOWN, "", none)
		check(wire.Event_EVENT_DOCUMENT_STALE, "", none)
		c.platform.update(func() { c.platform.staleBy = 1 })
		time.Sleep(5 * time.Minute)
		check(wire.Event_EVENT_DOCUMENT_STALE, `"key":"plans"`, atLeastOne)
		c.waitRevision(0, "plans", 2)
		c.platform.update(func() { c.platform.staleBy, c.platform.down = 0, true })
		time.Sleep(5 * time.Minute)
		check(wire.Event_EVENT_PLATFORM_DOWN, "", atLeastOne)
		check(wire.Event_EVENT_PLATFORM_UP, "", none)
		c.platform.update(func() { c.platform.down = false })
		time.Sleep(time.Minute)
		check(wire.Event_EVENT_PLATFORM_UP, "", atLeastOne)
		c.waitRevision(propagationLimit, "plans", c.platform.put("plans", "[p]\nat = 2\n"))
	})
}

// Guards against invalid edits that come into force, block later edits, are not reported, or make readers call without delay.
func TestInvalidEdit(t *testing.T) {
	tests := map[string]string{
		"rejected by validation": "[p]\nrank = " + invalidBody + "\n",
		"not INI":                "[p]\n[p]\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 8, func(t *testing.T, c *testCluster) {
				c.platform.put("plans", text)
				before := c.platform.totalCalls()
				time.Sleep(10 * time.Minute)
				c.waitRevision(0, "plans", 1)
				if got, limit := c.platform.totalCalls()-before, 8*7*(10*2+2); got > limit {
					t.Errorf("got %d calls in 10 minutes, want at most %d", got, limit)
				}
				events, rejections := 0, 0
				for _, n := range c.running() {
					events += n.log.count(wire.Event_EVENT_DOCUMENT_REJECTED, `"key":"plans"`)
					rejections += len(n.store.Rejections())
				}
				if events == 0 || events != rejections {
					t.Errorf("got %d events and %d rejections on the status pages, want equal numbers above 0", events, rejections)
				}
				c.waitRevision(propagationLimit, "plans", c.platform.put("plans", "[p]\nrank = bulk\n"))
			})
		})
	}
}

// Guards against a restarted node that gets an invalid revision from the service and then ignores the last valid one of its peers, which
// is lower.
func TestRestartAfterInvalidEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 8)
		c.startAll()
		defer c.stopAll()
		c.waitReady(10 * time.Second)
		c.platform.put("plans", "[p]\nrank = "+invalidBody+"\n")
		time.Sleep(time.Second)
		for i := range 8 {
			c.stop(c.listedVMs[i].ID())
			c.setPartition(i, 1)
			c.start(i)
			time.Sleep(30 * time.Second)
			c.setPartition(i, 0)
			c.waitRevision(5*time.Second, "plans", 1)
		}
	})
}

// Guards against a node that keeps old documents because it reaches no peer, although it reaches the service. A change is published at the
// moment of the partition, so propagationLimit includes the time to detect it.
func TestIsolatedNodeReadsTheService(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		for i := range c.listedVMs {
			c.setPartition(i, 1)
			c.waitRevision(propagationLimit, "plans", c.platform.put("plans", fmt.Sprintf("[p]\nat = %d\n", i)))
			time.Sleep(time.Minute)
			c.waitRevision(propagationLimit, "plans", c.platform.put("plans", fmt.Sprintf("[p]\nat = %d, later\n", i)))
			if got := c.node(i).log.count(wire.Event_EVENT_FALLBACK_READ, ""); got != 1 {
				t.Errorf("got %d events of fallback reads, want 1", got)
			}
			c.setPartition(i, 0)
			time.Sleep(time.Minute)
		}
	})
}

// Guards against isolated nodes of a large fleet that never read from the service, read too often, or all read at the same time.
func TestFallbackReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 12)
		c.settings.PlatformCallsPerSecond = 10 // Too low for all 12 nodes to watch all keys.
		c.startAll()
		defer c.stopAll()
		c.waitReady(time.Minute)
		time.Sleep(10 * time.Second)
		for i := range c.listedVMs {
			c.setPartition(i, i)
		}
		time.Sleep(9 * time.Second)
		c.platform.update(func() { c.platform.calls, c.platform.reads = nil, make(map[string]int) })
		time.Sleep(11 * time.Minute)
		c.platform.mu.Lock()
		total := 0
		for _, reads := range c.platform.reads {
			total += reads
		}
		c.platform.mu.Unlock()
		const keys = 7
		minReads, maxReads := 12*(keys-2)*660/55/2, 12*keys*660/20
		if total < minReads || total > maxReads {
			t.Errorf("got %d direct reads in 11 minutes, want %d to %d", total, minReads, maxReads)
		}
		if got, limit := c.platform.maxCallsPerSecond(), 2*10+keys*6; got > limit {
			t.Errorf("got %d calls in a second, want at most %d", got, limit)
		}
		c.waitRevision(time.Minute, "plans", c.platform.put("plans", "[p]\nat = 1\n"))
	})
}

// Guards against a simultaneous restart of all nodes that exceeds the call rate of the service. 270 nodes with a tenth of the rate
// represent 2,700.
func TestRestartOfAllNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many nodes for a long time; runs without -short only")
	}
	synctest.Test(t, func(t *testing.T) {
		const rate = 200
		c := newTestCluster(t, 270)
		c.settings.StartSpread = 2 * time.Second
		c.settings.PlatformCallsPerSecond = rate / 2
		started := time.Now()
		c.startAll()
		defer c.stopAll()
		c.waitReady(2 * time.Minute)
		t.Logf("270 nodes ready after %v, %d calls, at most %d in a second", time.Since(started), c.platform.totalCalls(),
			c.platform.maxCallsPerSecond())
		time.Sleep(time.Minute)
		if got := c.platform.maxCallsPerSecond(); got > rate {
			t.Errorf("got %d calls in a second, want at most %d", got, rate)
		}
		pushes := c.pushes.Load()
		took := c.waitRevision(13*time.Second, "plans", c.platform.put("plans", "[p]\nat = 1\n"))
		t.Logf("change in force on 270 nodes after %v, with %.1f pushes per node", took, float64(c.pushes.Load()-pushes)/270)
	})
}

// Guards against more than 3 KB/s of traffic between peers per node with 65 documents, both idle and with a change every 9 s, which is
// about 9,700 changes a day.
func TestControlBytes(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many nodes for a long time; runs without -short only")
	}
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 60)
		var uses strings.Builder
		for i := range 60 {
			fmt.Fprintf(&uses, "[p/collection-%d]\nrate = 1\n", i)
			c.platform.put(fmt.Sprintf("index/collection-%d", i), planText(40))
		}
		c.platform.put("uses", uses.String())
		c.platform.put("plans", planText(1000))
		c.startAll()
		defer c.stopAll()
		c.waitReady(2 * time.Minute)
		time.Sleep(time.Minute)
		measure := func(d time.Duration, change func(i int)) float64 {
			before := int64(0)
			for _, n := range c.running() {
				before += n.bytesOut()
			}
			for i := range int(d / (9 * time.Second)) {
				change(i)
				time.Sleep(9 * time.Second)
			}
			after := int64(0)
			for _, n := range c.running() {
				after += n.bytesOut()
			}
			return float64(after-before) / d.Seconds() / 60
		}
		idle := measure(90*time.Second, func(int) {})
		busy := measure(270*time.Second, func(i int) {
			key := fmt.Sprintf("index/collection-%d", i)
			c.platform.put(key, strings.Replace(planText(40), "weight = 1\n", fmt.Sprintf("weight = %d\n", i+2), 1))
		})
		t.Logf("bytes sent to peers per node and second: idle %.0f, with a change every 9 s %.0f", idle, busy)
		if limit := 3000.0; idle > limit || busy > limit {
			t.Errorf("got %.0f and %.0f bytes/s, want at most %.0f", idle, busy, limit)
		}
	})
}

// planText returns an INI document with n plan sections.
func planText(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "[customer-%d-plan-%d]\ncustomer = customer-%d\nrank = routine\nweight = 1\n", i%97, i, i%97)
	}
	return text.String()
}

// Guards against a stopping node that tells its neighbours only one by one, with its periodic digests.
func TestStoppingIsToldAtOnce(t *testing.T) {
	withCluster(t, 12, func(t *testing.T, c *testCluster) {
		c.node(5).engine.SetStopping()
		time.Sleep(100 * time.Millisecond)
		for _, n := range c.running() {
			if n.id != "vm-5" && !n.view.Snapshot(time.Now()).Leaving("vm-5") {
				t.Errorf("%s does not know that vm-5 is stopping", n.id)
			}
		}
	})
}

// testQuarantine is a quarantine table whose fingerprints never expire.
type testQuarantine struct {
	mu           sync.Mutex
	fingerprints map[uint64]bool
}

// Export implements Quarantine.
func (m *testQuarantine) Export(time.Time) []*wire.QuarantineMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var marks []*wire.QuarantineMark
	for fingerprint := range m.fingerprints {
		marks = append(marks, wire.QuarantineMark_builder{Fingerprint: fingerprint}.Build())
	}
	return marks
}

// Merge implements Quarantine.
func (m *testQuarantine) Merge(_ time.Time, marks []*wire.QuarantineMark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	added := false
	for _, mark := range marks {
		added = added || !m.fingerprints[mark.GetFingerprint()]
		m.fingerprints[mark.GetFingerprint()] = true
	}
	return added
}

// Hash implements Quarantine.
func (m *testQuarantine) Hash() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := uint64(0)
	for fingerprint := range m.fingerprints {
		sum += fingerprint
	}
	return sum
}

func (m *testQuarantine) has(fingerprint uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fingerprints[fingerprint]
}

func (m *testQuarantine) add(fingerprint uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fingerprints[fingerprint] = true
}

// Guards against quarantine marks that are not distributed to other nodes, by pushes or, after a lost push, by digest exchanges alone.
func TestMarksSpread(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		c.node(2).quarantine.add(7)
		c.node(2).engine.QuarantineChanged()
		c.waitFor(time.Second, "mark 7 is present", func(n *testNode) bool { return n.quarantine.has(7) })
		c.node(3).quarantine.add(8)
		c.waitFor(10*time.Second, "mark 8 is present by digest exchanges alone", func(n *testNode) bool { return n.quarantine.has(8) })
	})
}

// Guards against goroutines that outlive Run, and against tasks that start after it returned.
func TestRunEndsCleanly(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := newTestCluster(t, 6)
	c.startAll()
	c.waitReady(10 * time.Second)
	nodes := c.running()
	c.stopAll()
	nodes[0].engine.QuarantineChanged()
	nodes[0].engine.HandlePush(time.Now(), "vm-1", wire.Push_builder{Deltas: []*wire.Delta{
		wire.Delta_builder{Key: "plans", From: 9, To: 9}.Build(),
	}}.Build())
	if nodes[0].engine.spawn(func(context.Context) {}) {
		t.Error("a task was started after Run returned")
	}
}

// Guards against storing pushed documents that are not referenced, and against memory that grows with the number of unlisted senders.
func TestForeignPushes(t *testing.T) {
	store := NewStore(rejectInvalidBody)
	e := NewEngine(Settings{Region: "r", Regions: []string{"r"}, DigestInterval: time.Second}, Dependencies{
		Self: member.NewNode("vm-0", 1), Store: store, Log: events.Discard(), Clock: time.Now, Registry: metrics.NewRegistry(),
		VMs: func() []shards.VM { return nil },
	})
	for i := range 100 {
		foreign := NewDocument(fmt.Sprintf("index/%d", i), 1, map[string]string{"a": "1"})
		e.HandlePush(testTime, fmt.Sprintf("unlisted-%d", i), wire.Push_builder{Deltas: []*wire.Delta{Diff(nil, foreign)}}.Build())
	}
	if got := len(store.Keys()); got != 0 {
		t.Errorf("got %d documents that are not referenced, want none", got)
	}
	if got := len(e.peerRevisions.peers); got != 0 {
		t.Errorf("got recorded revisions of %d unlisted peers, want none", got)
	}
}

// Guards against replies to a pull that exceed the size of a message, and against documents that are lost because a reply is bounded.
func TestPullIsBounded(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *testCluster) {
		var uses strings.Builder
		body := "address = " + strings.Repeat("x", 300<<10)
		for i := range 12 {
			fmt.Fprintf(&uses, "[p/c%d]\nrate = 1\n", i)
			c.platform.put(fmt.Sprintf("index/c%d", i), "[searcher s]\n"+body+"\n")
		}
		c.waitRevision(time.Minute, "uses", c.platform.put("uses", uses.String()))
		c.waitReady(time.Minute)
		c.platform.update(func() { c.platform.down = true })
		reply := c.node(0).engine.HandlePull(time.Now(), wire.Pull_builder{Versions: c.node(0).engine.versions(nil)}.Build())
		if got := len(reply.GetDeltas()); got != 0 {
			t.Errorf("got %d deltas for an empty pull, want none", got)
		}
		c.stop("vm-1")
		c.start(1)
		c.waitReady(10 * time.Second)
	})
}

// step is one step in a script of TestEngineModel.
type step struct {
	kind  string
	node  int
	value int
}

// Guards, for any sequence of edits, restarts, partitions, message losses, duplicates and delays, stale reads and outages of the service,
// against revisions that decrease in a running process, invalid documents in force, and nodes that do not converge on the highest valid
// revision after the faults end.
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

// failureRecorder collects failures, since a failed attempt must be reported to rapid, which shrinks it, instead of failing the test
// directly.
type failureRecorder struct {
	testing.TB
	failures []string
}

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *failureRecorder) Helper() {}

// runScript runs the steps on a new cluster, ends all faults, and returns the failures.
func runScript(t *testing.T, nodes int, script []step) []string {
	r := &failureRecorder{TB: t}
	c := newTestCluster(r, nodes)
	c.startAll()
	defer c.stopAll()
	highest := make(map[string]uint64)
	check := func() {
		for _, n := range c.running() {
			d := n.store.Get("plans")
			id := fmt.Sprintf("%s/%d", n.id, n.engine.self.Incarnation())
			if d.Revision() < highest[id] {
				r.Errorf("%s: revision went down from %d to %d", id, highest[id], d.Revision())
			}
			highest[id] = d.Revision()
			if d != nil && validateTest("plans", d.Revision(), d.Sections()) != nil {
				r.Errorf("%s: invalid revision %d is in force", id, d.Revision())
			}
		}
	}
	for i, s := range script {
		c.apply(s, i)
		check()
	}
	c.apply(step{kind: "heal"}, 0)
	before := c.highestValid()
	c.platform.update(func() { c.platform.down, c.platform.staleBy = false, 0 })
	c.mu.Lock()
	c.lossPercent, c.duplicatePercent, c.maxDelay = 0, 0, 2*time.Millisecond
	c.mu.Unlock()
	time.Sleep(30 * time.Second)
	check()
	after := c.highestValid()
	if after < before {
		r.Errorf("the highest valid revision went down from %d to %d", before, after)
	}
	for _, n := range c.running() {
		if got := n.store.Get("plans").Revision(); got != after {
			r.Errorf("after healing, %s: got revision %d, want %d", n.id, got, after)
		}
		// Nodes don't become ready while the list of plans has no valid revision.
		if got, want := n.engine.Ready(), after > 0; got != want {
			r.Errorf("after healing, %s: ready: got %v, want %v", n.id, got, want)
		}
	}
	return r.failures
}

// highestValid returns the highest valid revision of the plans on the running nodes and the service. A valid revision that no running node
// has is lost if the service holds a later, invalid one, since the service serves only its last revision.
func (c *testCluster) highestValid() uint64 {
	highest := uint64(0)
	for _, n := range c.running() {
		highest = max(highest, n.store.Get("plans").Revision())
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	revisions := c.platform.values["plans"]
	last := revisions[len(revisions)-1]
	if !strings.Contains(string(last.Data()), invalidBody) {
		highest = max(highest, last.Revision())
	}
	return highest
}

// apply executes the step with index i of a script.
func (c *testCluster) apply(s step, i int) {
	switch s.kind {
	case "edit":
		c.platform.put("plans", fmt.Sprintf("[p]\nat = %d\n", i))
	case "bad edit":
		c.platform.put("plans", fmt.Sprintf("[p]\nat = %d\nrank = %s\n", i, invalidBody))
	case "restart":
		c.stop(c.listedVMs[s.node].ID())
		c.start(s.node)
	case "split":
		c.setPartition(s.node, s.value)
	case "heal":
		for i := range c.listedVMs {
			c.setPartition(i, 0)
		}
	case "loss":
		c.mu.Lock()
		c.lossPercent = 20 * s.value
		c.mu.Unlock()
	case "duplicates":
		c.mu.Lock()
		c.duplicatePercent = 30 * s.value
		c.mu.Unlock()
	case "delay":
		c.mu.Lock()
		c.maxDelay = time.Duration(1+300*s.value) * time.Millisecond
		c.mu.Unlock()
	case "stale":
		c.platform.update(func() { c.platform.staleBy = s.value })
	case "down":
		c.platform.update(func() { c.platform.down = true })
	case "up":
		c.platform.update(func() { c.platform.down = false })
	case "wait":
		time.Sleep(time.Duration(1+s.value*s.value) * time.Second)
	}
}
