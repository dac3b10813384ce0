package quar

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const testFingerprint = 42

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestLost guards against a quarantine without two losses, and against bursts and completions that are counted wrongly.
func TestLost(t *testing.T) {
	type step func(*Table)
	lost := func(d time.Duration, fingerprint uint64, searcher string) step {
		return func(q *Table) { q.RecordLoss(at(d), fingerprint, searcher) }
	}
	alone := func(d time.Duration, searcher string) step {
		return func(q *Table) { q.RecordExclusiveLoss(at(d), testFingerprint, searcher) }
	}
	completed := func(d time.Duration, exclusive bool) step {
		return func(q *Table) { q.RecordCompletion(at(d), testFingerprint, exclusive) }
	}
	merged := func(d time.Duration, searchers ...string) step {
		return func(q *Table) {
			q.Merge(at(d), []*wire.QuarantineMark{newMark(testFingerprint, time.Minute, searchers...)})
		}
	}
	const s, late = time.Second, DefaultExpiry + time.Minute
	tests := map[string]struct {
		steps []step
		at    time.Duration
		want  Verdict
	}{
		"nothing":                       {nil, 0, Clear{}},
		"other request":                 {[]step{lost(0, 7, "a"), lost(0, 7, "b")}, 0, Clear{}},
		"one loss":                      {[]step{lost(0, testFingerprint, "a")}, 0, Suspect{}},
		"one searcher twice":            {[]step{lost(0, testFingerprint, "a"), lost(2*s, testFingerprint, "a")}, 2 * s, Suspect{}},
		"two searchers":                 {[]step{lost(0, testFingerprint, "a"), lost(2*s, testFingerprint, "b")}, 2 * s, Quarantined{}},
		"two searchers at once":         {[]step{lost(0, testFingerprint, "a"), lost(0, testFingerprint, "b")}, 0, Quarantined{}},
		"expired":                       {[]step{lost(0, testFingerprint, "a"), lost(0, testFingerprint, "b")}, DefaultExpiry, Clear{}},
		"first loss expired":            {[]step{lost(0, testFingerprint, "a"), lost(late, testFingerprint, "b")}, late, Suspect{}},
		"burst":                         {[]step{lost(0, testFingerprint, "a"), lost(0, testFingerprint, "b"), lost(0, testFingerprint, "c")}, 0, Suspect{}},
		"burst of other requests":       {[]step{lost(0, testFingerprint, "a"), lost(0, testFingerprint, "b"), lost(s-1, 7, "c")}, s - 1, Suspect{}},
		"no burst after a second":       {[]step{lost(0, testFingerprint, "a"), lost(0, testFingerprint, "b"), lost(s, 7, "c")}, s, Quarantined{}},
		"loss before the burst counts":  {[]step{lost(0, testFingerprint, "z"), lost(5*s, testFingerprint, "a"), lost(5*s, 7, "b"), lost(5*s, 7, "c"), lost(9*s, testFingerprint, "d")}, 9 * s, Quarantined{}},
		"old loss, again in a burst":    {[]step{lost(0, testFingerprint, "a"), lost(5*s, testFingerprint, "a"), lost(5*s, 7, "b"), lost(5*s, 7, "c"), lost(9*s, testFingerprint, "d")}, 9 * s, Quarantined{}},
		"one loss after the burst":      {[]step{lost(0, testFingerprint, "a"), lost(0, 7, "b"), lost(0, 7, "c"), lost(5*s, testFingerprint, "d")}, 5 * s, Suspect{}},
		"alone after the burst":         {[]step{lost(0, 7, "b"), lost(0, 7, "c"), lost(0, testFingerprint, "a"), alone(5*s, "d")}, 5 * s, Quarantined{}},
		"alone, then a burst":           {[]step{lost(0, testFingerprint, "a"), alone(s/4, "b"), lost(s/2, 7, "c"), lost(s/2, 7, "d"), lost(s/2, 7, "e")}, s / 2, Quarantined{}},
		"alone after a burst elsewhere": {[]step{merged(0), alone(s, "a")}, s, Quarantined{}},
		"alone only":                    {[]step{alone(0, "a")}, 0, Suspect{}},
		"alone twice on one searcher":   {[]step{alone(0, "a"), alone(s, "a")}, s, Suspect{}},
		"completed alone":               {[]step{lost(0, testFingerprint, "a"), completed(s, true)}, s, Clear{}},
		"completed among others":        {[]step{lost(0, testFingerprint, "a"), completed(s, false)}, s, Suspect{}},
		"completed after quarantine":    {[]step{lost(0, testFingerprint, "a"), lost(0, testFingerprint, "b"), completed(s, true)}, s, Clear{}},
		"quarantined, among others":     {[]step{lost(0, testFingerprint, "a"), lost(0, testFingerprint, "b"), completed(s, false)}, s, Quarantined{}},
		"completed, same merged again":  {[]step{merged(0, "a", "b"), completed(s, true), merged(2*s, "a", "b")}, 2 * s, Clear{}},
		"completed, lost twice again":   {[]step{merged(0, "a", "b"), completed(s, true), alone(2*s, "a"), alone(2*s, "b")}, 2 * s, Quarantined{}},
		"dismissed, then merged two":    {[]step{alone(0, "a"), completed(s, true), merged(2*s, "a", "b"), completed(3*s, true), merged(4*s, "c")}, 4 * s, Clear{}},
		"completed alone, lost again":   {[]step{lost(0, testFingerprint, "a"), completed(s, true), lost(5*s, testFingerprint, "b")}, 5 * s, Suspect{}},
		"completed alone, same merged":  {[]step{lost(0, testFingerprint, "a"), completed(s, true), merged(5*s, "a")}, 5 * s, Clear{}},
		"completed alone, other merged": {[]step{lost(0, testFingerprint, "a"), completed(s, true), merged(5*s, "b")}, 5 * s, Suspect{}},
		"burst, completed alone":        {[]step{lost(0, testFingerprint, "a"), lost(0, 7, "b"), lost(0, 7, "c"), completed(s, true)}, s, Clear{}},
		"burst, merged with another":    {[]step{lost(0, testFingerprint, "a"), lost(0, 7, "b"), lost(0, 7, "c"), merged(s, "a", "d")}, s, Quarantined{}},
		"burst, merged back":            {[]step{lost(0, testFingerprint, "a"), lost(0, 7, "b"), lost(0, 7, "c"), merged(s, "a")}, s, Suspect{}},
		"burst, merged back, one loss":  {[]step{lost(0, testFingerprint, "a"), lost(0, 7, "b"), lost(0, 7, "c"), merged(s, "a"), lost(5*s, testFingerprint, "d")}, 5 * s, Quarantined{}},
		"merged without searcher":       {[]step{merged(0)}, 0, Suspect{}},
		"merged and lost":               {[]step{merged(0, "a"), lost(s, testFingerprint, "b")}, s, Quarantined{}},
		"merged two":                    {[]step{merged(0, "a", "b")}, 0, Quarantined{}},
		"many in bursts, then one loss": {[]step{loseManyInBurst, lost(5*s, testFingerprint, "y")}, 5 * s, Suspect{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Settings{})
			for _, step := range test.steps {
				step(table)
			}
			if got := table.Check(at(test.at), testFingerprint); got != test.want {
				t.Errorf("Check: got %#v, want %#v", got, test.want)
			}
		})
	}
}

// loseManyInBurst loses 100 searchers at the same time.
func loseManyInBurst(q *Table) {
	for k := range 100 {
		q.RecordLoss(at(0), testFingerprint, fmt.Sprintf("b%02d", k))
	}
}

// TestGenuineLossesAfterBursts guards against a bound on searchers that hides genuine losses behind those of bursts.
func TestGenuineLossesAfterBursts(t *testing.T) {
	table := New(Settings{})
	loseManyInBurst(table)
	if got, want := len(table.marks[testFingerprint].searchers), maxReplicatedSearchers; got > want {
		t.Errorf("searchers kept: got %d, want at most %d", got, want)
	}
	table.RecordLoss(at(5*time.Second), testFingerprint, "y")
	table.RecordLoss(at(10*time.Second), testFingerprint, "z")
	if got, want := table.Check(at(10*time.Second), testFingerprint), (Quarantined{}); got != want {
		t.Errorf("Check: got %#v, want %#v", got, want)
	}
}

// TestSharing guards against losses in a burst that count on other nodes, and against a suspicion or a genuine loss that reaches them late.
func TestSharing(t *testing.T) {
	tests := map[string]struct {
		lose func(*Table)
		at   time.Duration
		want []string
	}{
		"at once":         {func(q *Table) { q.RecordLoss(at(0), testFingerprint, "a") }, 0, nil},
		"within a second": {func(q *Table) { q.RecordLoss(at(0), testFingerprint, "a") }, time.Second - 1, nil},
		"after a second":  {func(q *Table) { q.RecordLoss(at(0), testFingerprint, "a") }, time.Second, []string{"a"}},
		"alone":           {func(q *Table) { q.RecordExclusiveLoss(at(0), testFingerprint, "a") }, 0, []string{"a"}},
		"alone, second": {func(q *Table) {
			q.RecordLoss(at(0), testFingerprint, "a")
			q.RecordExclusiveLoss(at(0), testFingerprint, "b")
		}, 0, []string{"a", "b"}},
		"many in a burst": {loseManyInBurst, time.Minute, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Settings{})
			test.lose(table)
			marks := table.Export(at(test.at))
			if got := len(marks); got != 1 {
				t.Fatalf("marks: got %d, want 1", got)
			}
			if got := marks[0].GetSearchers(); !slices.Equal(got, test.want) {
				t.Errorf("searchers: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestSharingAfterBurst guards against a quarantine that other nodes do not learn of, and against an unbounded mark.
func TestSharingAfterBurst(t *testing.T) {
	table := New(Settings{})
	loseManyInBurst(table)
	table.RecordExclusiveLoss(at(0), testFingerprint, "a")
	other := New(Settings{})
	other.Merge(at(0), table.Export(at(0)))
	if got, want := other.Check(at(0), testFingerprint), (Quarantined{}); got != want {
		t.Errorf("Check on another node: got %#v, want %#v", got, want)
	}
	if got, want := len(table.Export(at(0))[0].GetSearchers()), maxReplicatedSearchers; got > want {
		t.Errorf("searchers: got %d, want at most %d", got, want)
	}
}

// TestHashFollowsTime guards against a hash that hides a loss which is shared later, or that still differs after an expiry.
func TestHashFollowsTime(t *testing.T) {
	table := New(Settings{})
	table.RecordLoss(at(0), testFingerprint, "a")
	if table.Hash(at(0)) == table.Hash(at(time.Second)) {
		t.Error("hash does not change when a loss is shared")
	}
	if got := len(table.Export(at(DefaultExpiry))); got != 0 {
		t.Errorf("marks exported after expiry: got %d, want 0", got)
	}
	if got, want := table.Hash(at(DefaultExpiry)), New(Settings{}).Hash(at(0)); got != want {
		t.Errorf("hash after expiry: got %d, want that of an empty table, %d", got, want)
	}
}

// TestNeedsCanary guards against a full fan-out of a request that may crash, and against a set that grows without bound.
func TestNeedsCanary(t *testing.T) {
	table := New(Settings{})
	expect := func(what string, fingerprint uint64, want bool) {
		t.Helper()
		if got := table.NeedsCanary(at(0), fingerprint); got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	expect("unknown", 1, true)
	table.RecordCompletion(at(0), 1, false)
	expect("completed", 1, false)
	table.RecordLoss(at(0), 1, "a")
	expect("lost", 1, true)
	table.RecordCompletion(at(0), 1, false)
	if got := table.NeedsCanary(at(DefaultExpiry), 1); !got {
		t.Error("completed among others while suspect, after expiry: got false, want true")
	}
	table.RecordCompletion(at(0), 1, true)
	expect("completed alone", 1, false)
	for k := range uint64(3 * MaxCompleted) {
		table.RecordCompletion(at(0), 1000+k, false)
		if k == MaxCompleted/4 {
			table.RecordCompletion(at(0), 2, false)
		}
	}
	if got := table.completed.size(); got > MaxCompleted {
		t.Errorf("completed fingerprints: got %d, want at most %d", got, MaxCompleted)
	}
	expect("forgotten", 2, true)
	expect("newest", 1000+3*MaxCompleted-1, false)
}

// TestBoundedMarks guards against a table that grows without bound or evicts the wrong marks.
func TestBoundedMarks(t *testing.T) {
	const limit = 32
	table := New(Settings{MaxMarks: limit})
	for k := range uint64(10 * limit) {
		table.RecordLoss(at(time.Duration(k)*time.Second), k, "a")
		if got := table.Len(); got > limit {
			t.Fatalf("marks: got %d, want at most %d", got, limit)
		}
		if got, want := table.Check(at(time.Duration(k)*time.Second), k), (Suspect{}); got != want {
			t.Fatalf("newest mark: got %#v, want %#v", got, want)
		}
	}
	if got, want := table.Check(at(10*limit*time.Second), 0), (Clear{}); got != want {
		t.Errorf("oldest mark: got %#v, want %#v", got, want)
	}
}

// Guards against a quarantined request that runs again, since many requests lost searchers after it and its mark made room for theirs.
func TestQuarantinedMarkOutlastsOthers(t *testing.T) {
	const limit = 32
	table := New(Settings{MaxMarks: limit})
	table.RecordExclusiveLoss(at(0), 0, "a")
	table.RecordExclusiveLoss(at(0), 0, "b")
	for k := range uint64(10 * limit) {
		table.RecordExclusiveLoss(at(time.Second), 1+k, "c")
	}
	if got, want := table.Check(at(time.Second), 0), (Quarantined{}); got != want {
		t.Errorf("after other losses: got %#v, want %#v", got, want)
	}
	// Expired marks must not take the room of later ones.
	for k := range uint64(2 * limit) {
		table.RecordExclusiveLoss(at(DefaultExpiry*time.Duration(k+1)), 1000+k, "a")
		table.RecordExclusiveLoss(at(DefaultExpiry*time.Duration(k+1)), 1000+k, "b")
	}
	table.RecordExclusiveLoss(at(DefaultExpiry*2*limit+time.Second), 2000, "a")
	if got, want := table.Check(at(DefaultExpiry*2*limit+time.Second), 2000), (Suspect{}); got != want {
		t.Errorf("after expired marks: got %#v, want %#v", got, want)
	}
}

// TestFingerprint guards against requests with different fields that share a fingerprint.
func TestFingerprint(t *testing.T) {
	all := map[uint64]string{}
	for _, fields := range [][3]string{{"", "", ""}, {"a", "", ""}, {"", "a", ""}, {"", "", "a"}, {"ab", "c", "d"}, {"a", "bc", "d"}, {"a", "b", "cd"}, {"abcd", "", ""}} {
		fingerprint := Fingerprint(fields[0], fields[1], fields[2])
		if other, ok := all[fingerprint]; ok {
			t.Errorf("%q and %s share a fingerprint", fields, other)
		}
		all[fingerprint] = fmt.Sprintf("%q", fields)
	}
}

func newMark(fingerprint uint64, remaining time.Duration, searchers ...string) *wire.QuarantineMark {
	return wire.QuarantineMark_builder{Fingerprint: fingerprint, Searchers: searchers, Remaining: durationpb.New(remaining)}.Build()
}

func drawMarks(t *rapid.T, name string) []*wire.QuarantineMark {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *wire.QuarantineMark {
		searchers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("s%02d", rapid.IntRange(0, 40).Draw(t, "searcher"))
		}), 0, 2*maxReplicatedSearchers).Draw(t, "searchers")
		remaining := time.Duration(rapid.IntRange(-1, 700).Draw(t, "remaining")) * time.Second
		mark := newMark(rapid.Uint64Range(0, 5).Draw(t, "fingerprint"), remaining, searchers...)
		mark.SetGeneration(rapid.Uint64Range(0, 2).Draw(t, "generation"))
		mark.SetTrials(rapid.Uint32Range(0, 2).Draw(t, "trials"))
		mark.SetAnswered(rapid.Bool().Draw(t, "answered"))
		return mark
	}), 0, 6).Draw(t, name)
}

// tableOf returns a table into which the groups of marks were merged one after another.
func tableOf(groups ...[]*wire.QuarantineMark) *Table {
	table := New(Settings{})
	for _, marks := range groups {
		table.Merge(start, marks)
	}
	return table
}

func requireSameState(t *rapid.T, law string, a, b *Table) {
	t.Helper()
	exportA, exportB := a.Export(start), b.Export(start)
	equal := slices.EqualFunc(exportA, exportB, func(x, y *wire.QuarantineMark) bool { return proto.Equal(x, y) })
	if !equal {
		t.Fatalf("%s: %v and %v differ", law, exportA, exportB)
	}
	if a.Hash(start) != b.Hash(start) {
		t.Fatalf("%s: hashes differ", law)
	}
}

// TestMergeLaws guards against tables that never converge because they depend on the order or number of exchanges. rapid prints the seed
// of a failure.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMarks(t, "a"), drawMarks(t, "b"), drawMarks(t, "c")
		requireSameState(t, "commutative", tableOf(a, b), tableOf(b, a))
		ab, bc := tableOf(a, b).Export(start), tableOf(b, c).Export(start)
		requireSameState(t, "associative", tableOf(ab, c), tableOf(a, bc))
		twice := tableOf(a, b)
		before := twice.Hash(start)
		if twice.Merge(start, a) || twice.Merge(start, twice.Export(start)) {
			t.Fatal("idempotent: a repeated merge reports a change")
		}
		if got := twice.Hash(start); got != before {
			t.Fatal("idempotent: hash changed")
		}
		grown := tableOf(a)
		old := grown.Export(start)
		if changed := grown.Merge(start, b); changed != hasChanges(old, grown.Export(start)) {
			t.Fatalf("Merge: got %v for %v and then %v", changed, old, grown.Export(start))
		}
	})
}

// hasChanges reports whether the second of two exports of one table holds something to forward that the first does not.
func hasChanges(before, after []*wire.QuarantineMark) bool {
	return !slices.EqualFunc(before, after, func(x, y *wire.QuarantineMark) bool {
		rise := y.GetRemaining().AsDuration() - x.GetRemaining().AsDuration()
		return x.GetFingerprint() == y.GetFingerprint() && !addsTo(x, y) && rise <= expirySlack
	})
}

// TestGossipConverges guards against local losses, bursts and completions that keep two tables from converging.
func TestGossipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New(Settings{}), New(Settings{})}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 1).Draw(t, "table")]
			fingerprint := rapid.Uint64Range(0, 2).Draw(t, "fingerprint")
			searcher := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "searcher"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				table.RecordLoss(now, fingerprint, searcher)
			case 1:
				table.RecordExclusiveLoss(now, fingerprint, searcher)
			case 2:
				table.RecordCompletion(now, fingerprint, true)
			case 3:
				tables[0].Merge(now, tables[1].Export(now))
			}
		}
		now = now.Add(2 * burstWindow)
		tables[0].Merge(now, tables[1].Export(now))
		tables[1].Merge(now, tables[0].Export(now))
		if tables[0].Hash(now) != tables[1].Hash(now) {
			t.Fatalf("tables differ: %v and %v", tables[0].Export(now), tables[1].Export(now))
		}
	})
}

// TestConcurrentUse guards, under the race detector, against unsynchronized state.
func TestConcurrentUse(t *testing.T) {
	const count = 300
	table := New(Settings{MaxMarks: 64})
	other := New(Settings{})
	var group sync.WaitGroup
	for worker := range uint64(4) {
		group.Go(func() {
			for k := range uint64(count) {
				now := at(time.Duration(k) * 50 * time.Millisecond)
				table.RecordLoss(now, k, fmt.Sprintf("s%d", worker))
				table.RecordExclusiveLoss(now, k/2, fmt.Sprintf("s%d", worker))
				table.RecordCompletion(now, k/3, true)
				table.NeedsCanary(now, k)
				other.Merge(now, table.Export(now))
				other.Hash(now)
				table.Check(now, k)
			}
		})
	}
	group.Wait()
	if got := table.Len(); got == 0 || got > 64 {
		t.Errorf("marks: got %d, want 1 to 64", got)
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, marks := range []int{0, 1000} {
		b.Run(fmt.Sprintf("marks=%d", marks), func(b *testing.B) {
			table := New(Settings{})
			for k := range uint64(marks) {
				table.RecordExclusiveLoss(at(0), k, "a")
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for k := uint64(0); pb.Next(); k++ {
					table.Check(at(time.Second), k%2000)
				}
			})
		})
	}
}

func BenchmarkLostWhenFull(b *testing.B) {
	table := New(Settings{})
	b.ReportAllocs()
	for k := uint64(0); b.Loop(); k++ {
		table.RecordLoss(at(time.Duration(k)*time.Microsecond), k, fmt.Sprintf("s%d", k%4))
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for b.Loop() {
		Fingerprint("night-care", "care-desk", "lamp replacement near Thessaloniki")
	}
}

// TestTrials guards against a quarantined request that is never tried, or tried too often, too early or by several nodes at once.
func TestTrials(t *testing.T) {
	const s = time.Second
	first := func(uint64) (int, bool) { return 0, true }
	tests := map[string]struct {
		known, contested bool
		// atOnce is set if two attempts at once lost the searchers, so that the losses are not shared yet.
		atOnce bool
		turn   Turn
		// ran holds for each trial whether a searcher ran the request. The trials begin as soon as they may.
		ran []bool
		// want are the times of the trials.
		want []time.Duration
	}{
		"no answer":       {ran: []bool{true, true, true}, want: []time.Duration{60 * s, 660 * s, 4260 * s}},
		"answered before": {known: true, ran: []bool{true, true, true, true}, want: []time.Duration{0, 2 * s, 12 * s, 72 * s}},
		"lost at once":    {atOnce: true, ran: []bool{true}, want: []time.Duration{60 * s}},
		"contested":       {contested: true, ran: []bool{true, true}, want: []time.Duration{0, 2 * s}},
		"not run":         {ran: []bool{false, false, true, true}, want: []time.Duration{60 * s, 60250 * time.Millisecond, 60500 * time.Millisecond, 660500 * time.Millisecond}},
		"third node":      {turn: func(uint64) (int, bool) { return 2, true }, ran: []bool{true}, want: []time.Duration{62 * s}},
		"third, eager":    {known: true, turn: func(uint64) (int, bool) { return 2, true }, ran: []bool{true, true}, want: []time.Duration{s / 5, s/5 + 4*s}},
		"others unknown":  {turn: func(uint64) (int, bool) { return 0, false }, ran: []bool{true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(Settings{})
			if test.known {
				table.RecordCompletion(at(0), testFingerprint, false)
			}
			for _, searcher := range []string{"a", "b"} {
				if test.atOnce {
					table.RecordLoss(at(0), testFingerprint, searcher)
				} else {
					table.RecordExclusiveLoss(at(0), testFingerprint, searcher)
				}
				if test.contested {
					table.RecordExclusiveLoss(at(0), 7, searcher)
				}
			}
			turn := first
			if test.turn != nil {
				turn = test.turn
			}
			var got []time.Duration
			for d := time.Duration(0); len(got) < len(test.ran) && d < 2*time.Hour; d += 50 * time.Millisecond {
				begun, after := table.BeginTrial(at(d), testFingerprint, turn)
				if !begun {
					if at := d + after; after > 0 && len(got) < len(test.want) && at > test.want[len(got)] {
						t.Errorf("after %v: got %v as the time of the next trial, want %v at most", d, at, test.want[len(got)])
					}
					continue
				}
				if again, _ := table.BeginTrial(at(d), testFingerprint, turn); again {
					t.Errorf("during a trial: got a second one")
				}
				table.EndTrial(at(d), testFingerprint, test.ran[len(got)])
				got = append(got, d)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got trials at %v, want %v", got, test.want)
			}
		})
	}
}
