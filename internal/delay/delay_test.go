package delay

import (
	"context"
	"testing"
	"time"
)

// Guards against a wait that continues after its context or the event has ended it, and against one that ends too early.
func TestWait(t *testing.T) {
	closed := make(chan struct{})
	close(closed)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx      context.Context
		wait     time.Duration
		early    <-chan struct{}
		want     bool
		wantLong bool
	}{
		"time passes":              {ctx: t.Context(), wait: 20 * time.Millisecond, want: true, wantLong: true},
		"zero duration":            {ctx: t.Context(), want: true},
		"context ended":            {ctx: ended, wait: time.Minute},
		"context ended, zero time": {ctx: ended},
		"event":                    {ctx: t.Context(), wait: time.Minute, early: closed, want: true},
		"event and context ended":  {ctx: ended, wait: time.Minute, early: closed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			if got := Wait(test.ctx, test.wait, test.early); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if took := time.Since(began); (took >= test.wait) != (test.wantLong || test.wait == 0) || took > 10*time.Second {
				t.Errorf("waited %v of %v", took, test.wait)
			}
		})
	}
}
