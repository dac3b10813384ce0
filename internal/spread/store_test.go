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

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const badBody = "bad"

// refuseBad refuses documents with a section whose body is badBody.
func refuseBad(key string, revision uint64, sections map[string]string) error {
	for name, body := range sections {
		if body == badBody {
			return conf.Faults{conf.NewFault(key, name, "rank", "is bad")}
		}
	}
	return nil
}

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

// Guards against deltas that are applied to a revision they do not fit, or that give another document than the sender's.
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
		"next":                        {have: r1, delta: Diff(r1, r2), want: r2},
		"two steps":                   {have: r1, delta: Diff(r1, r3), want: r3},
		"from between from and to":    {have: r2, delta: Diff(r1, r3), want: r3},
		"full on nothing":             {delta: Diff(nil, r3), want: r3},
		"full removes other sections": {have: r1, delta: Diff(nil, r3), want: r3},
		"delta on nothing":            {delta: Diff(r1, r2), full: true},
		"gap":                         {have: r1, delta: Diff(r2, r3), full: true},
		"another lineage":             {have: doc(1, "a", "1", "z", "1"), delta: Diff(r1, r2), full: true},
		"damaged":                     {have: r1, delta: damaged, full: true},
		"same revision":               {have: r2, delta: Diff(r1, r2), old: true},
		"lower revision":              {have: r3, delta: Diff(r1, r2), old: true},
		"full of lower revision":      {have: r3, delta: Diff(nil, r2), old: true},
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

// Guards against a hash that depends on the order of edits, or that misses text moved between names and bodies.
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

// Guards against revisions that go down or repeat, and invalid documents that come into force or vanish from the status page.
func TestAccept(t *testing.T) {
	s := NewStore(refuseBad)
	var told []uint64
	cancel := s.Subscribe(func(d *Document) { told = append(told, d.Revision()) })
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
		{doc: doc(6, "a", badBody), want: "invalid", wantInForce: 5, wantRejected: 6},
		{doc: doc(6, "a", badBody), want: "invalid again", wantInForce: 5, wantRejected: 6},
		{doc: doc(4, "a", badBody), want: "stale", wantInForce: 5, wantRejected: 6},
		{doc: doc(8, "a", "8"), want: "accepted", wantInForce: 8},
		{doc: doc(7, "a", "7"), want: "stale", wantInForce: 8},
	}
	for i, step := range steps {
		result := s.Accept(began, step.doc)
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
	s.Accept(began, doc(9, "a", "9"))
	if got, want := fmt.Sprint(told), "[5 8]"; got != want {
		t.Errorf("subscriber: got %s, want %s", got, want)
	}
}

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

// Guards against faults that lose their place on the way to the status page, and values that are not INI.
func TestFaultsAreKept(t *testing.T) {
	s := NewStore(refuseBad)
	s.Accept(began, doc(3, "night", badBody))
	if got, want := s.Rejections()[0].Faults().Error(), "plans: [night] rank: is bad"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	_, err := ParseDocument("uses", 4, []byte("[a]\n[a]\n"))
	if got := describe(s.RejectValue(began, "uses", 4, err)); got != "invalid" {
		t.Errorf("got %s, want invalid", got)
	}
	if got := describe(s.RejectValue(began, "uses", 4, err)); got != "invalid again" {
		t.Errorf("got %s, want invalid again", got)
	}
	if got, want := len(s.Rejections()), 2; got != want {
		t.Errorf("got %d rejections, want %d", got, want)
	}
}

// Guards against deltas from the history that leave a peer with another document, whatever revision it has.
func TestDeltaForAnyRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(refuseBad)
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
			s.Accept(began, d)
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
			t.Errorf("from nothing: got %+v, %v, want %+v", got, err, last)
		}
		if s.Delta("plans", last.revision) != nil || s.Delta("plans", last.revision+1) != nil || s.Delta("unknown", 0) != nil {
			t.Errorf("a delta is given although there is nothing newer")
		}
	})
}

// Guards against a history without bound, and against deltas from beyond it.
func TestHistoryIsBounded(t *testing.T) {
	s := NewStore(refuseBad)
	const edits = 3 * maxChanges
	old := doc(1, "a", "1")
	s.Accept(began, old)
	for revision := uint64(2); revision <= edits; revision++ {
		s.Accept(began, doc(revision, "a", fmt.Sprint(revision), "b", "1"))
	}
	h := s.histories["plans"]
	if got := len(h.changes); got != maxChanges {
		t.Errorf("got %d changes, want %d", got, maxChanges)
	}
	if got := s.Delta("plans", 1).GetFrom(); got != 0 {
		t.Errorf("a revision beyond the history: got a delta from %d, want the full document", got)
	}
	if got := s.Delta("plans", edits-3).GetFrom(); got != edits-3 {
		t.Errorf("got a delta from %d, want %d", got, edits-3)
	}
	long := strings.Repeat("n", maxChangeBytes)
	s.Accept(began, doc(edits+1, long, "1"))
	if h.bytes > maxChangeBytes {
		t.Errorf("got %d bytes of names, want at most %d", h.bytes, maxChangeBytes)
	}
	got, err := Apply(doc(edits-1, "a", fmt.Sprint(edits-1), "b", "1"), s.Delta("plans", edits-1))
	if err != nil || !equalDocs(got, s.Get("plans")) {
		t.Errorf("after trimming: got %v, want the present document", err)
	}
}

// Guards against data races and against subscribers that see revisions out of order.
func TestConcurrentAccept(t *testing.T) {
	s := NewStore(refuseBad)
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
				s.Accept(began, doc(uint64(1+i*4+(worker+i)%4), "a", fmt.Sprint(i)))
				s.Delta("plans", before)
				if after := s.Get("plans").Revision(); after < before {
					t.Errorf("revision went from %d to %d", before, after)
				}
			}
		})
	}
	group.Wait()
}

// replica is one node of TestStoreModel.
type replica struct {
	store *Store
	side  int
}

// Guards, for any order of edits, lost, duplicated and reordered messages, restarts, stale reads and partitions,
// against revisions that go down, invalid documents in force, and nodes that do not meet at the highest valid revision
// after healing.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		replicas := make([]*replica, nodes)
		for i := range replicas {
			replicas[i] = &replica{store: NewStore(refuseBad)}
		}
		versions := []*Document{doc(1, "a", "1")}
		type message struct {
			from, to int
			delta    *wire.Delta
		}
		var inFlight []message
		node := rapid.IntRange(0, nodes-1)
		read := func(r *replica, d *Document) { r.store.Accept(began, d) }
		deliver := func(m message) {
			if replicas[m.from].side != replicas[m.to].side {
				return
			}
			r := replicas[m.to]
			applied, err := Apply(r.store.Get("plans"), m.delta)
			var needed *FullDocumentNeededError
			if errors.As(err, &needed) {
				delta := replicas[m.from].store.Delta("plans", 0)
				if delta == nil {
					return
				}
				applied, err = Apply(r.store.Get("plans"), delta)
			}
			if err == nil {
				r.store.Accept(began, applied)
			}
		}
		// before holds the revisions at the last check, 0 after a restart.
		before := make([]uint64, nodes)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				next := versions[len(versions)-1].next(versions[len(versions)-1].revision + 1)
				next.set(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), fmt.Sprint(next.revision))
				next.remove("bad")
				if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
					next.set("bad", badBody)
				}
				versions = append(versions, next)
			},
			"read": func(t *rapid.T) {
				read(replicas[node.Draw(t, "node")], versions[rapid.IntRange(0, len(versions)-1).Draw(t, "version")])
			},
			"send": func(t *rapid.T) {
				from, to := node.Draw(t, "from"), node.Draw(t, "to")
				known := uint64(rapid.IntRange(0, len(versions)).Draw(t, "known"))
				if delta := replicas[from].store.Delta("plans", known); delta != nil {
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
				replicas[i].store = NewStore(refuseBad)
				before[i] = 0
			},
			"partition": func(t *rapid.T) { replicas[node.Draw(t, "node")].side = rapid.IntRange(0, 1).Draw(t, "side") },
			"": func(t *rapid.T) {
				for i, r := range replicas {
					current := r.store.Get("plans")
					if current == nil {
						continue
					}
					if current.revision < before[i] {
						t.Fatalf("node %d went from %d to %d", i, before[i], current.revision)
					}
					if !equalDocs(current, versions[current.revision-1]) {
						t.Fatalf("node %d has another revision %d than the platform", i, current.revision)
					}
					if refuseBad("", 0, current.sections) != nil {
						t.Fatalf("node %d has the invalid revision %d in force", i, current.revision)
					}
					before[i] = current.revision
				}
			},
		})
		for _, r := range replicas {
			r.side = 0
		}
		read(replicas[0], versions[len(versions)-1])
		for range nodes {
			for from := range replicas {
				to := (from + 1) % nodes
				if delta := replicas[from].store.Delta("plans", replicas[to].store.Get("plans").Revision()); delta != nil {
					deliver(message{from: from, to: to, delta: delta})
				}
			}
		}
		highest := uint64(0)
		for _, r := range replicas {
			highest = max(highest, r.store.Get("plans").Revision())
		}
		for i, r := range replicas {
			if got := r.store.Get("plans").Revision(); got != highest {
				t.Errorf("after healing, node %d: got revision %d, want %d", i, got, highest)
			}
		}
	})
}

// planDocument returns a valid list of plans.
func planDocument(n int) *Document {
	sections := make(map[string]string, n)
	for i := range n {
		sections[fmt.Sprintf("customer-%d-plan-%d", i%97, i)] = fmt.Sprintf("customer = customer-%d\npreference = coverage\nrank = routine\nweight = %d\n", i%97, 1+i%9)
	}
	return NewDocument(plans.PlansKey, 1, sections)
}

// Guards against deltas that grow with the document: the delta of one changed section must not exceed twice its own
// text plus 100 bytes.
func TestDeltaBytes(t *testing.T) {
	for _, n := range []int{10, 100, 1000, 10000} {
		before := planDocument(n)
		after := before.next(2)
		const name = "customer-3-plan-3"
		body := "customer = customer-3\npreference = tail\nrank = urgent\nweight = 5\n"
		after.set(name, body)
		delta, whole := proto.Size(Diff(before, after)), proto.Size(Diff(nil, after))
		t.Logf("%5d plans: delta %d bytes, full state %d bytes, ratio %.5f", n, delta, whole, float64(delta)/float64(whole))
		if limit := 2*(len(name)+len(body)) + 100; delta > limit {
			t.Errorf("%d plans: the delta takes %d bytes, want at most %d", n, delta, limit)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		before := planDocument(n)
		after := before.next(2)
		after.set("customer-3-plan-3", fmt.Sprint(rand.Int()))
		delta, whole := Diff(before, after), Diff(nil, after)
		b.Run(fmt.Sprintf("delta/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Apply(before, delta); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("full/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Apply(before, whole); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
