package quar

import (
	"testing"
	"time"
)

// Guards against a node that never learns what it has missed, and against nodes that transfer all marks again and again.
func TestRepair(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	type pull struct {
		after        time.Duration
		ours, theirs uint64
		useless      bool
		want         bool
	}
	tests := map[string][]pull{
		"equal":                             {{ours: 1, theirs: 1}},
		"the other has none":                {{ours: 1, theirs: 0}},
		"this node has none":                {{ours: 0, theirs: 1, want: true}},
		"different":                         {{ours: 1, theirs: 2, want: true}},
		"again at once":                     {{ours: 1, theirs: 2, want: true}, {after: pullInterval / 2, ours: 1, theirs: 2}},
		"again later":                       {{ours: 1, theirs: 2, want: true}, {after: pullInterval, ours: 1, theirs: 2, want: true}},
		"the other has less":                {{ours: 1, theirs: 2, useless: true, want: true}, {after: pullInterval, ours: 1, theirs: 2}},
		"the other has less, a third more":  {{ours: 1, theirs: 2, useless: true, want: true}, {after: pullInterval, ours: 1, theirs: 3, want: true}},
		"the other had less, ours expired":  {{ours: 1, theirs: 2, useless: true, want: true}, {after: pullInterval, ours: 0, theirs: 2, want: true}},
		"the other had less, and has grown": {{ours: 1, theirs: 2, useless: true, want: true}, {after: pullInterval, ours: 1, theirs: 4, want: true}},
	}
	for name, pulls := range tests {
		t.Run(name, func(t *testing.T) {
			r, now := NewRepair(), start
			for i, p := range pulls {
				now = now.Add(p.after)
				got := r.Begin(now, p.ours, p.theirs)
				if got != p.want {
					t.Errorf("pull %d: got %v, want %v", i, got, p.want)
				}
				if got && r.Begin(now.Add(pullInterval), p.ours, p.theirs) {
					t.Errorf("pull %d: another began while it ran, want none", i)
				}
				if got {
					r.End(p.useless)
				}
			}
		})
	}
}
