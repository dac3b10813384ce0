// Package delay waits in a way that a context or another event can end.
package delay

import (
	"context"
	"time"
)

// Sleep waits and reports whether the time passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool { return Wait(ctx, d, nil) }

// Wait waits until the time passed or early received, and returns false when ctx ended. Without time to wait it starts no timer: under
// synctest, the race detector of Go 1.26 crashes when several goroutines receive from timers that are already due.
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
