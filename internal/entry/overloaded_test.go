package entry

import "testing"

// TestOverloaded guards against a single lost or slow searcher that throttles its whole collection. After two crashes among 48
// searchers, entries refused a third of the bulk queries at half load.
func TestOverloaded(t *testing.T) {
	for name, test := range map[string]struct {
		shards, refused int
		want            bool
	}{
		"none of 16": {shards: 16, refused: 0, want: false},
		"one of 16":  {shards: 16, refused: 1, want: false},
		"four of 16": {shards: 16, refused: 4, want: true},
		"all of 16":  {shards: 16, refused: 16, want: true},
		"the only":   {shards: 1, refused: 1, want: true},
		"no shard":   {shards: 0, refused: 0, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fanout{parts: make([]part, test.shards), refused: test.refused}
			if got := f.overloaded(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
