package relay

import "testing"

// Guards against requests whose bodies together exceed the memory of a searcher, and against a request that is never sent because it is large.
func TestRequestLoad(t *testing.T) {
	const half = maxRequestLoad / 2
	var l requestLoad
	for i, step := range []struct {
		released, size int64
		want           bool
	}{
		{size: half, want: true},
		{size: half, want: true},
		{size: 1, want: false},
		{released: half, size: half + 1, want: false},
		{size: half, want: true},
		{released: 2 * half, size: 3 * maxRequestLoad, want: true},
		{size: 1, want: false},
	} {
		l.release(step.released)
		if got := l.take(step.size); got != step.want {
			t.Errorf("step %d: got %v, want %v", i, got, step.want)
		}
	}
}
