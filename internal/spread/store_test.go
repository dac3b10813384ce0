package spread

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// invalidBody is the body of a section that makes a document invalid in tests.
const invalidBody = "bad"

// rejectInvalidBody rejects documents with a section whose body is invalidBody.
func rejectInvalidBody(key string, revision uint64, sections map[string]string) error {
	for name, body := range sections {
		if body == invalidBody {
			return conf.Faults{conf.NewFault(key, name, "rank", "is bad")}
		}
	}
	return nil
}

// doc returns a list of plans with sections given as pairs of name and body.
func doc(revision uint64, pairs ...string) *Document {
	sections := make(map[string]string)
	for i := 0; i < len(pairs); i += 2 {
		sections[pairs[i]] = pairs[i+1]
	}
	return NewDocument("plans", revision, sections)
}

func equalDocs(a, b *Document) bool {
	return a.key == b.key && a.revision == b.revision && a.hash == b.hash && a.bytes == b.bytes && maps.Equal(a.sections, b.sections)
}

// Guards against deltas that are applied to a revision they do not match, or that yield a different document than the sender's.
func TestApply(t *testing.T) {
	r1, r2, r3 := doc(1, "a", "1", "b", "1"), doc(2, "a", "2", "b", "1"), doc(3, "a", "2", "c", "1")
	damaged := Diff(r1, r3)
	damaged.GetSections()[0].SetBody("damaged")
	tests := map[string]struct {
		have  *Document
		delta *wire.Delta
		want  *Document
		full  bool
		old   bool
	}{
		"next":                         {have: r1, delta: Diff(r1, r2), want: r2},
		"two revisions":                {have: r1, delta: Diff(r1, r3), want: r3},
		"revision between from and to": {have: r2, delta: Diff(r1, r3), want: r3},
		"full on empty store":          {delta: Diff(nil, r3), want: r3},
		"full removes other sections":  {have: r1, delta: Diff(nil, r3), want: r3},
		"delta on empty store":         {delta: Diff(r1, r2), full: true},
		"gap":                          {have: r1, delta: Diff(r2, r3), full: true},
		"different sections":           {have: doc(1, "a", "1", "z", "1"), delta: Diff(r1, r2), full: true},
		"damaged":                      {have: r1, delta: damaged, full: true},
		"same revision":                {have: r2, delta: Diff(r1, r2), old: true},
		"lower revision":               {have: r3, delta: Diff(r1, r2), old: true},
		"full with lower revision":     {have: r3, delta: Diff(nil, r2), old: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Apply(test.have, test.delta)
			var needed *FullDocumentNeededError
			var old *StaleDeltaError
			if errors.As(err, &needed) != test.full || errors.As(err, &old) != test.old {
				t.Fatalf("error: got %v, want full needed %v, old %v", err, test.full, test.old)
			}
			if test.want != nil && !equalDocs(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Guards against a hash that depends on the order of edits, or that does not change if text moves between names and bodies.
func TestHash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 0, 2, -1)
		sections := rapid.MapOf(text, text)
		a, b := sections.Draw(t, "a"), sections.Draw(t, "b")
		from, to := NewDocument("k", 1, a), NewDocument("k", 2, b)
		if got, want := from.hash == to.hash, maps.Equal(a, b); got != want {
			t.Errorf("equal hashes of %q and %q: got %v, want %v", a, b, got, want)
		}
		applied, err := Apply(from, Diff(from, to))
		if err != nil || !equalDocs(applied, to) {
			t.Errorf("got %+v, %v, want %+v", applied, err, to)
		}
	})
}

// Guards against revisions that decrease or repeat, and against invalid documents that come into force or are missing on the status page.
func TestAccept(t *testing.T) {
	s := NewStore(rejectInvalidBody)
	var notified []uint64
	cancel := s.Subscribe(func(d *Document) { notified = append(notified, d.Revision()) })
	steps := []struct {
		doc          *Document
		want         string
		wantInForce  uint64
		wantRejected uint64
	}{
		{doc: doc(0, "a", "1"), want: "stale"},
		{doc: doc(5, "a", "1"), want: "accepted", wantInForce: 5},
		{doc: doc(5, "a", "2"), want: "stale", wantInForce: 5},
		{doc: doc(4, "a", "0"), want: "stale", wantInForce: 5},
		{doc: doc(6, "a", invalidBody), want: "invalid", wantInForce: 5, wantRejected: 6},
		{doc: doc(6, "a", invalidBody), want: "invalid again", wantInForce: 5, wantRejected: 6},
		{doc: doc(4, "a", invalidBody), want: "stale", wantInForce: 5, wantRejected: 6},
		{doc: doc(8, "a", "8"), want: "accepted", wantInForce: 8},
		{doc: doc(7, "a", "7"), want: "stale", wantInForce: 8},
	}
	for i, step := range steps {
		result := s.Accept(testTime, step.doc)
		if got := describe(result); got != step.want {
			t.Errorf("step %d: got %s, want %s", i, got, step.want)
		}
		if got := s.Get("plans").Revision(); got != step.wantInForce {
			t.Errorf("step %d: in force: got %d, want %d", i, got, step.wantInForce)
		}
		rejected, _ := s.Rejected("plans")
		if got := rejected.Revision(); got != step.wantRejected {
			t.Errorf("step %d: rejected: got %d, want %d", i, got, step.wantRejected)
		}
		if got, want := s.Seen("plans"), max(step.wantInForce, step.wantRejected); got != want {
			t.Errorf("step %d: seen: got %d, want %d", i, got, want)
		}
	}
	cancel()
	s.Accept(testTime, doc(9, "a", "9"))
	if got, want := fmt.Sprint(notified), "[5 8]"; got != want {
		t.Errorf("subscriber: got %s, want %s", got, want)
	}
}

// describe returns the kind of a result.
func describe(r Result) string {
	switch r := r.(type) {
	case Accepted:
		return "accepted"
	case Stale:
		return "stale"
	case Invalid:
		if r.Known() {
			return "invalid again"
		}
		return "invalid"
	}
	return "unknown"
}

// Guards against faults that lose their section and key on the way to the status page, and against values that are not INI being ignored.
func TestFaultsAreKept(t *testing.T) {
	s := NewStore(rejectInvalidBody)
	s.Accept(testTime, doc(3, "night", invalidBody))
	if got, want := s.Rejections()[0].Faults().Error(), "plans: [night] rank: is bad"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	_, err := ParseDocument("uses", 4, []byte("[a]\n[a]\n"))
	if got := describe(s.RejectValue(testTime, "uses", 4, err)); got != "invalid" {
		t.Errorf("got %s, want invalid", got)
	}
	if got := describe(s.RejectValue(testTime, "uses", 4, err)); got != "invalid again" {
		t.Errorf("got %s, want invalid again", got)
	}
	if got, want := len(s.Rejections()), 2; got != want {
		t.Errorf("got %d rejections, want %d", got, want)
	}
}

// Guards against deltas computed from the history that yield a wrong document on a peer, for any revision that the peer has.
func TestDeltaForAnyRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(rejectInvalidBody)
		var past []*Document
		revision := uint64(0)
		names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		sections := map[string]string{}
		for range rapid.IntRange(1, 40).Draw(t, "edits") {
			revision += rapid.Uint64Range(1, 3).Draw(t, "step")
			for range rapid.IntRange(0, 3).Draw(t, "sections") {
				name := names.Draw(t, "name")
				if rapid.Bool().Draw(t, "remove") {
					delete(sections, name)
				} else {
					sections[name] = fmt.Sprint(revision)
				}
			}
			d := NewDocument("plans", revision, sections)
			past = append(past, d)
			s.Accept(testTime, d)
		}
		last := past[len(past)-1]
		for _, peer := range past[:len(past)-1] {
			got, err := Apply(peer, s.Delta("plans", peer.revision))
			if err != nil || !equalDocs(got, last) {
				t.Fatalf("from %d: got %+v, %v, want %+v", peer.revision, got, err, last)
			}
		}
		got, err := Apply(nil, s.Delta("plans", 0))
		if err != nil || !equalDocs(got, last) {
			t.Errorf("from an empty store: got %+v, %v, want %+v", got, err, last)
		}
		if s.Delta("plans", last.revision) != nil || s.Delta("plans", last.revision+1) != nil || s.Delta("unknown", 0) != nil {
			t.Errorf("got a delta although nothing is newer")
		}
	})
}

// Guards against a history that grows without bound, and against wrong deltas for revisions older than the history.
func TestHistoryIsBounded(t *testing.T) {
	s := NewStore(rejectInvalidBody)
	const edits = 3 * maxChanges
	old := doc(1, "a", "1")
	s.Accept(testTime, old)
	for revision := uint64(2); revision <= edits; revision++ {
		s.Accept(testTime, doc(revision, "a", fmt.Sprint(revision), "b", "1"))
	}
	h := s.histories["plans"]
	if got := len(h.changes); got != maxChanges {
		t.Errorf("got %d changes, want %d", got, maxChanges)
	}
	if got := s.Delta("plans", 1).GetFrom(); got != 0 {
		t.Errorf("a revision older than the history: got a delta from %d, want the full document", got)
	}
	if got := s.Delta("plans", edits-3).GetFrom(); got != edits-3 {
		t.Errorf("got a delta from %d, want %d", got, edits-3)
	}
	long := strings.Repeat("n", maxChangeNameBytes)
	s.Accept(testTime, doc(edits+1, long, "1"))
	if h.nameBytes > maxChangeNameBytes {
		t.Errorf("got %d bytes of names, want at most %d", h.nameBytes, maxChangeNameBytes)
	}
	got, err := Apply(doc(edits-1, "a", fmt.Sprint(edits-1), "b", "1"), s.Delta("plans", edits-1))
	if err != nil || !equalDocs(got, s.Get("plans")) {
		t.Errorf("after trimming: got %v, want the current document", err)
	}
}

// Guards against data races and against subscribers that see revisions out of order.
func TestConcurrentAccept(t *testing.T) {
	s := NewStore(rejectInvalidBody)
	var last uint64
	s.Subscribe(func(d *Document) {
		if d.Revision() <= last {
			t.Errorf("subscriber saw %d after %d", d.Revision(), last)
		}
		last = d.Revision()
	})
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 200 {
				before := s.Get("plans").Revision()
				s.Accept(testTime, doc(uint64(1+i*4+(worker+i)%4), "a", fmt.Sprint(i)))
				s.Delta("plans", before)
				if after := s.Get("plans").Revision(); after < before {
					t.Errorf("revision went from %d to %d", before, after)
				}
			}
		})
	}
	group.Wait()
}

// modelNode is one node of TestStoreModel. Nodes in different partitions can't exchange messages.
type modelNode struct {
	store     *Store
	partition int
}

// Guards, for any sequence of edits, lost, duplicated and reordered messages, restarts, stale reads and partitions, against revisions that
// decrease, invalid documents in force, and nodes that do not converge on the highest valid revision after partitions heal.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		modelNodes := make([]*modelNode, nodes)
		for i := range modelNodes {
			modelNodes[i] = &modelNode{store: NewStore(rejectInvalidBody)}
		}
		versions := []*Document{doc(1, "a", "1")}
		type message struct {
			from, to int
			delta    *wire.Delta
		}
		var inFlight []message
		node := rapid.IntRange(0, nodes-1)
		read := func(r *modelNode, d *Document) { r.store.Accept(testTime, d) }
		deliver := func(m message) {
			if modelNodes[m.from].partition != modelNodes[m.to].partition {
				return
			}
			r := modelNodes[m.to]
			applied, err := Apply(r.store.Get("plans"), m.delta)
			var needed *FullDocumentNeededError
			if errors.As(err, &needed) {
				delta := modelNodes[m.from].store.Delta("plans", 0)
				if delta == nil {
					return
				}
				applied, err = Apply(r.store.Get("plans"), delta)
			}
			if err == nil {
				r.store.Accept(testTime, applied)
			}
		}
		// before holds the revision of each node at the last check, 0 after a restart.
		before := make([]uint64, nodes)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				next := versions[len(versions)-1].cloneAt(versions[len(versions)-1].revision + 1)
				next.setSection(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), fmt.Sprint(next.revision))
				next.removeSection("bad")
				if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
					next.setSection("bad", invalidBody)
				}
				versions = append(versions, next)
			},
			"read": func(t *rapid.T) {
				read(modelNodes[node.Draw(t, "node")], versions[rapid.IntRange(0, len(versions)-1).Draw(t, "version")])
			},
			"send": func(t *rapid.T) {
				from, to := node.Draw(t, "from"), node.Draw(t, "to")
				known := uint64(rapid.IntRange(0, len(versions)).Draw(t, "known"))
				if delta := modelNodes[from].store.Delta("plans", known); delta != nil {
					inFlight = append(inFlight, message{from: from, to: to, delta: proto.CloneOf(delta)})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				deliver(inFlight[i])
				if rapid.Bool().Draw(t, "once") {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			},
			"lose": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			},
			"restart": func(t *rapid.T) {
				i := node.Draw(t, "node")
				modelNodes[i].store = NewStore(rejectInvalidBody)
				before[i] = 0
			},
			"partition": func(t *rapid.T) { modelNodes[node.Draw(t, "node")].partition = rapid.IntRange(0, 1).Draw(t, "side") },
			"": func(t *rapid.T) {
				for i, r := range modelNodes {
					current := r.store.Get("plans")
					if current == nil {
						continue
					}
					if current.revision < before[i] {
						t.Fatalf("node %d: revision went down from %d to %d", i, before[i], current.revision)
					}
					if !equalDocs(current, versions[current.revision-1]) {
						t.Fatalf("node %d: revision %d differs from that of the platform", i, current.revision)
					}
					if rejectInvalidBody("", 0, current.sections) != nil {
						t.Fatalf("node %d: invalid revision %d is in force", i, current.revision)
					}
					before[i] = current.revision
				}
			},
		})
		for _, r := range modelNodes {
			r.partition = 0
		}
		read(modelNodes[0], versions[len(versions)-1])
		for range nodes {
			for from := range modelNodes {
				to := (from + 1) % nodes
				if delta := modelNodes[from].store.Delta("plans", modelNodes[to].store.Get("plans").Revision()); delta != nil {
					deliver(message{from: from, to: to, delta: delta})
				}
			}
		}
		highest := uint64(0)
		for _, r := range modelNodes {
			highest = max(highest, r.store.Get("plans").Revision())
		}
		for i, r := range modelNodes {
			if got := r.store.Get("plans").Revision(); got != highest {
				t.Errorf("after healing, node %d: got revision %d, want %d", i, got, highest)
			}
		}
	})
}

// planDocument returns a valid list of n plans.
func planDocument(n int) *Document {
	sections := make(map[string]string, n)
	for i := range n {
		sections[fmt.Sprintf("customer-%d-plan-%d", i%97, i)] = fmt.Sprintf("customer = customer-%d\npreference = coverage\nrank = routine\nweight = %d\n", i%97, 1+i%9)
	}
	return NewDocument(plans.PlansKey, 1, sections)
}

// Guards against deltas whose size grows with the document: the delta of one changed section must not exceed twice the size of its text
// plus 100 bytes.
func TestDeltaBytes(t *testing.T) {
	for _, n := range []int{10, 100, 1000, 10000} {
		before := planDocument(n)
		after := before.cloneAt(2)
		const name = "customer-3-plan-3"
		body := "customer = customer-3\npreference = tail\nrank = urgent\nweight = 5\n"
		after.setSection(name, body)
		delta, fullSize := proto.Size(Diff(before, after)), proto.Size(Diff(nil, after))
		t.Logf("%5d plans: delta %d bytes, full document %d bytes, ratio %.5f", n, delta, fullSize, float64(delta)/float64(fullSize))
		if limit := 2*(len(name)+len(body)) + 100; delta > limit {
			t.Errorf("%d plans: the delta takes %d bytes, want at most %d", n, delta, limit)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		before := planDocument(n)
		after := before.cloneAt(2)
		after.setSection("customer-3-plan-3", fmt.Sprint(rand.Int()))
		delta, full := Diff(before, after), Diff(nil, after)
		b.Run(fmt.Sprintf("delta/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Apply(before, delta); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("full/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Apply(before, full); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
