package quar

import (
	"testing"
	"time"
)

// Guards against a node that never learns or tells what was missed, and against nodes that exchange the same marks again and again.
func TestRepair(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	type comparison struct {
		after        time.Duration
		ours, theirs uint64
		failed       bool
		want         bool
	}
	tests := map[string][]comparison{
		"equal":                       {{ours: 1, theirs: 1}},
		"both have none":              {{}},
		"the other has none":          {{ours: 1, theirs: 0, want: true}},
		"this node has none":          {{ours: 0, theirs: 1, want: true}},
		"different":                   {{ours: 1, theirs: 2, want: true}},
		"another node at once":        {{ours: 1, theirs: 2, want: true}, {after: compareInterval / 2, ours: 1, theirs: 3}},
		"another node later":          {{ours: 1, theirs: 2, want: true}, {after: compareInterval, ours: 1, theirs: 3, want: true}},
		"again after a failure":       {{ours: 1, theirs: 2, failed: true, want: true}, {after: compareInterval, ours: 1, theirs: 2, want: true}},
		"settled":                     {{ours: 1, theirs: 2, want: true}, {after: compareInterval, ours: 1, theirs: 2}},
		"settled, and ours expired":   {{ours: 1, theirs: 2, want: true}, {after: compareInterval, ours: 0, theirs: 2, want: true}},
		"settled, and ours has grown": {{ours: 1, theirs: 2, want: true}, {after: compareInterval, ours: 5, theirs: 2, want: true}},
		"settled, and theirs grew":    {{ours: 1, theirs: 2, want: true}, {after: compareInterval, ours: 1, theirs: 4, want: true}},
	}
	for name, comparisons := range tests {
		t.Run(name, func(t *testing.T) {
			r, now := NewRepair(), start
			for i, c := range comparisons {
				now = now.Add(c.after)
				got := r.Begin(now, c.ours, c.theirs)
				if got != c.want {
					t.Errorf("comparison %d: got %v, want %v", i, got, c.want)
				}
				if got && r.Begin(now.Add(compareInterval), c.ours, c.theirs+1) {
					t.Errorf("comparison %d: another began while it ran, want none", i)
				}
				if got {
					r.End(c.failed)
				}
			}
		})
	}
}
