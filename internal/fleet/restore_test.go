package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

// inNextEra returns a revision of the era after that of small numbers.
func inNextEra(t *testing.T, number uint64) epoch.Revision {
	t.Helper()
	revision, err := epoch.New(1, number)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// Guards against requests to processes that left after the copy from which the platform's store was restored, and against searchers that stay
// out of use because the store forgot them.
func TestRegistrationsOfRestoredStore(t *testing.T) {
	const lapse = 4 * time.Second
	later := func(number uint64) epoch.Revision { return inNextEra(t, number) }
	restarted := NewSearcher("a", "s", "1", "z", 2, false, 2, later(3))
	tests := map[string]struct {
		before  func(r *Registry)
		changes func(r *Registry)
		// restored is the registration of a that the store lists.
		restored *Searcher
		after    time.Duration
		want     []string
	}{
		"departed": {before: func(r *Registry) { r.Apply(start, nil, []string{"a"}, time.Time{}) }, want: []string{"b"}},
		"departed after hold": {before: func(r *Registry) {
			r.Apply(start, nil, []string{"a"}, start.Add(time.Second))
			r.Expire(start.Add(time.Second))
		}, want: []string{"b"}},
		"leaving":             {before: func(r *Registry) { r.Apply(start, []*Searcher{searcher("a", "1", 5, true)}, nil, time.Time{}) }, want: []string{"b"}},
		"neither":             {before: func(*Registry) {}, want: []string{"a", "b"}},
		"departed, restarted": {before: func(r *Registry) { r.Apply(start, nil, []string{"a"}, time.Time{}) }, restored: restarted, want: []string{"a", "b"}},
		"departed, registers again": {
			before:  func(r *Registry) { r.Apply(start, nil, []string{"a"}, time.Time{}) },
			changes: func(r *Registry) { r.Apply(start, []*Searcher{searcher("a", "1", later(9), false)}, nil, time.Time{}) },
			want:    []string{"a", "b"},
		},
		"departed, not dropped by the store": {
			before: func(r *Registry) { r.Apply(start, nil, []string{"a"}, time.Time{}) },
			after:  lapse, want: []string{"a", "b"},
		},
		"departed, dropped by the store": {
			before:  func(r *Registry) { r.Apply(start, nil, []string{"a"}, time.Time{}) },
			changes: func(r *Registry) { r.Apply(start, nil, []string{"a"}, time.Time{}) },
			after:   lapse, want: []string{"b"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Apply(start, []*Searcher{searcher("a", "1", 2, false), searcher("b", "2", 3, false)}, nil, time.Time{})
			test.before(r)
			listed := []*Searcher{searcher("a", "1", later(2), false), searcher("b", "2", later(3), false)}
			if test.restored != nil {
				listed[0] = test.restored
			}
			r.Doubt(start, listed, start.Add(lapse))
			r.Apply(start, listed, nil, time.Time{})
			if test.changes != nil {
				test.changes(r)
			}
			r.Expire(start.Add(test.after))
			if got := ids(r.Snapshot()); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a searcher that is shadowed by the former owner of its address, which a restored store lists.
func TestAddressReusedBeforeRestore(t *testing.T) {
	r := New()
	former := NewSearcher("a", "s", "1", "z", 2, false, 1, inNextEra(t, 2))
	current := NewSearcher("b", "s", "1", "z", 2, false, 7, 9)
	r.Apply(start, []*Searcher{current}, nil, time.Time{})
	r.Apply(start, []*Searcher{former}, []string{"b"}, start.Add(time.Second))
	if got, want := ids(r.Snapshot()), []string{"b"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
