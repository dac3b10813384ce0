// Package delay implements waits that a context or another event can end early.
package delay

import (
	"context"
	"time"
)

// Sleep waits for a duration. It reports whether the duration passed before ctx was done.
func Sleep(ctx context.Context, d time.Duration) bool { return Wait(ctx, d, nil) }

// Wait waits until a duration passed or a value was received from early, which may be nil. It returns false if ctx is done. It starts no
// timer for a duration that is not positive: under synctest, the race detector of Go 1.26 crashes when several goroutines receive from
// timers that are already due.
func Wait(ctx context.Context, d time.Duration, early <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-early:
	}
	return ctx.Err() == nil
}
