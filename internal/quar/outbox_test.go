package quar

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

func marksOf(first, n uint64) []*wire.QuarantineMark {
	marks := make([]*wire.QuarantineMark, n)
	for i := range marks {
		marks[i] = wire.QuarantineMark_builder{Fingerprint: first + uint64(i)}.Build()
	}
	return marks
}

// Guards against a mark that waits for the next interval although it has grown: other nodes run a request that has crashed two searchers as long
// as they know of one. And against a message for each of many marks.
func TestMarkThatGrowsIsSentAtOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	o := NewOutbox()
	for i := range maxMessages + 2 {
		o.Add(marksOf(1, 1))
		want := 1
		if i >= maxMessages {
			want = 0
		}
		if got := len(o.Take(now.Add(time.Duration(i) * time.Millisecond))); got != want {
			t.Errorf("message %d: got %d marks, want %d", i, got, want)
		}
	}
}

// Guards against a burst of marks that takes the network and the processor of all nodes, and against a single mark that waits for others.
func TestOutbox(t *testing.T) {
	tests := map[string]struct {
		marks       uint64
		takes       []time.Duration
		want        []int
		wantDropped uint64
	}{
		"a single mark is sent immediately": {marks: 1, takes: []time.Duration{0, time.Second}, want: []int{1, 0}},
		"a burst is sent in batches":        {marks: 40, takes: []time.Duration{0, sendInterval / 2, sendInterval, 2 * sendInterval, 3 * sendInterval}, want: []int{16, 0, 16, 8, 0}},
		"too many are dropped":              {marks: maxWaiting + 5, takes: []time.Duration{0}, want: []int{maxBatch}, wantDropped: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			o := NewOutbox()
			o.Add(marksOf(1, test.marks))
			o.Add(marksOf(1, 1))
			for i, after := range test.takes {
				if got := len(o.Take(now.Add(after))); got != test.want[i] {
					t.Errorf("after %v: got %d marks, want %d", after, got, test.want[i])
				}
			}
			if got := o.Dropped(); got != test.wantDropped {
				t.Errorf("got %d dropped marks, want %d", got, test.wantDropped)
			}
		})
	}
}
