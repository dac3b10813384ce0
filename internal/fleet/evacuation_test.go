package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

// inZone returns a registration of the service s in a zone.
func inZone(id, zone string, leaving bool, revision epoch.Revision) *Searcher {
	return NewSearcher(id, "s", id, zone, 2, leaving, 1, revision)
}

// Guards against searchers of an evacuated zone that are used, and against those of other zones, or of a zone whose evacuation ended, that are
// not. An evacuation holds for searchers that register or move into the zone later.
func TestEvacuatedZones(t *testing.T) {
	tests := map[string]struct {
		change        func(r *Registry)
		want          []string
		wantEvacuated []string
	}{
		"none":          {change: func(*Registry) {}, want: []string{"a", "b"}},
		"one zone":      {change: func(r *Registry) { r.SetEvacuated([]string{"z1"}) }, want: []string{"b"}, wantEvacuated: []string{"a"}},
		"both zones":    {change: func(r *Registry) { r.SetEvacuated([]string{"z1", "z2"}) }, want: []string{}, wantEvacuated: []string{"a", "b"}},
		"another zone":  {change: func(r *Registry) { r.SetEvacuated([]string{"z3"}) }, want: []string{"a", "b"}},
		"ended":         {change: func(r *Registry) { r.SetEvacuated([]string{"z1"}); r.SetEvacuated(nil) }, want: []string{"a", "b"}},
		"another since": {change: func(r *Registry) { r.SetEvacuated([]string{"z1"}); r.SetEvacuated([]string{"z2"}) }, want: []string{"a"}, wantEvacuated: []string{"b"}},
		"registered later": {change: func(r *Registry) {
			r.SetEvacuated([]string{"z1"})
			r.Apply(start, []*Searcher{inZone("c", "z1", false, 5)}, nil, time.Time{})
		}, want: []string{"b"}, wantEvacuated: []string{"a", "c"}},
		"moved into the zone": {change: func(r *Registry) {
			r.SetEvacuated([]string{"z1"})
			r.Apply(start, []*Searcher{inZone("b", "z1", false, 5)}, nil, time.Time{})
		}, want: []string{}, wantEvacuated: []string{"a", "b"}},
		"moved out of the zone": {change: func(r *Registry) {
			r.SetEvacuated([]string{"z1"})
			r.Apply(start, []*Searcher{inZone("a", "z2", false, 5)}, nil, time.Time{})
		}, want: []string{"a", "b"}},
		"leaves meanwhile": {change: func(r *Registry) {
			r.SetEvacuated([]string{"z1"})
			r.Apply(start, []*Searcher{inZone("a", "z1", true, 5)}, nil, time.Time{})
			r.SetEvacuated(nil)
		}, want: []string{"b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Apply(start, []*Searcher{inZone("a", "z1", false, 2), inZone("b", "z2", false, 3)}, nil, time.Time{})
			test.change(r)
			snapshot := r.Snapshot()
			if got := ids(snapshot); !slices.Equal(got, test.want) {
				t.Errorf("got searchers %v, want %v", got, test.want)
			}
			var evacuated []string
			for id, s := range snapshot.All() {
				if s.Evacuated() {
					evacuated = append(evacuated, id)
				}
			}
			slices.Sort(evacuated)
			if !slices.Equal(evacuated, test.wantEvacuated) {
				t.Errorf("got evacuated %v, want %v", evacuated, test.wantEvacuated)
			}
			if got := len(snapshot.Replaced()); got != 0 {
				t.Errorf("got %d replaced processes, want none", got)
			}
		})
	}
}
