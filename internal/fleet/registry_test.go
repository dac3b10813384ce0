package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

var start = time.Unix(1_700_000_000, 0)

func searcher(id, address string, revision epoch.Revision, leaving bool) *Searcher {
	return NewSearcher(id, "s", address, "z", 2, leaving, 1, revision)
}

func ids(s *Snapshot) []string {
	got := []string{}
	for _, searcher := range s.Service("s") {
		got = append(got, searcher.ID())
	}
	return got
}

// Guards against the use of searchers that are leaving or gone, or whose address has passed to another searcher, and against an older
// registration that arrives late and replaces a newer one.
func TestSnapshot(t *testing.T) {
	tests := map[string]struct {
		apply func(r *Registry)
		want  []string
	}{
		"ready":                              {apply: func(*Registry) {}, want: []string{"a", "b"}},
		"leaving":                            {apply: func(r *Registry) { r.Apply(start, []*Searcher{searcher("a", "1", 5, true)}, nil, time.Time{}) }, want: []string{"b"}},
		"gone":                               {apply: func(r *Registry) { r.Apply(start, nil, []string{"a"}, time.Time{}) }, want: []string{"b"}},
		"older registration arrives late":    {apply: func(r *Registry) { r.Apply(start, []*Searcher{searcher("a", "1", 1, true)}, nil, time.Time{}) }, want: []string{"a", "b"}},
		"address reused by another searcher": {apply: func(r *Registry) { r.Apply(start, []*Searcher{searcher("c", "1", 9, false)}, nil, time.Time{}) }, want: []string{"b", "c"}},
		"address claimed for an unknown service": {apply: func(r *Registry) {
			r.SetServices([]string{"s"})
			r.Apply(start, []*Searcher{NewSearcher("c", "other", "1", "z", 2, false, 1, 9)}, nil, time.Time{})
		}, want: []string{"a", "b"}},
		"address reused for a service that becomes known": {apply: func(r *Registry) {
			r.SetServices([]string{"s"})
			r.Apply(start, []*Searcher{NewSearcher("c", "other", "1", "z", 2, false, 1, 9)}, nil, time.Time{})
			r.SetServices([]string{"s", "other"})
		}, want: []string{"b"}},
		"gone, then registered again": {apply: func(r *Registry) {
			r.Apply(start, nil, []string{"a"}, time.Time{})
			r.Apply(start, []*Searcher{searcher("a", "1", 7, false)}, nil, time.Time{})
		}, want: []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Apply(start, []*Searcher{searcher("a", "1", 2, false), searcher("b", "2", 3, false)}, nil, time.Time{})
			test.apply(r)
			if got := ids(r.Snapshot()); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against dropping live searchers that could not renew their registration during an outage of the platform, which removes such
// registrations, and against keeping dead ones forever.
func TestDeferredRemoval(t *testing.T) {
	tests := map[string]struct {
		reregisters bool
		after       time.Duration
		want        []string
	}{
		"soon after":              {after: time.Second, want: []string{"a", "b"}},
		"later, still missing":    {after: 3 * time.Second, want: []string{"b"}},
		"later, registered again": {reregisters: true, after: 3 * time.Second, want: []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Apply(start, []*Searcher{searcher("a", "1", 2, false), searcher("b", "2", 3, false)}, nil, time.Time{})
			r.Apply(start, nil, []string{"a"}, start.Add(2*time.Second))
			if test.reregisters {
				r.Apply(start.Add(time.Second), []*Searcher{searcher("a", "1", 8, false)}, nil, time.Time{})
			}
			r.Expire(start.Add(test.after))
			if got := ids(r.Snapshot()); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against taking a searcher that restarted under its old id for the old process.
func TestKeyDistinguishesProcesses(t *testing.T) {
	first := NewSearcher("a", "s", "1", "z", 2, false, 1, 2)
	second := NewSearcher("a", "s", "1", "z", 2, false, 2, 3)
	if first.Key() == second.Key() {
		t.Errorf("got the same key %v for two processes, want two", first.Key())
	}
}
