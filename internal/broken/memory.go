package broken

import (
	"runtime"
	"sync/atomic"
	"time"
)

// PeakHeap samples the live heap until stop is called, which returns the greatest growth since the start in bytes.
func PeakHeap() (stop func() int64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before := int64(stats.HeapAlloc)
	var peak atomic.Int64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), int64(now.HeapAlloc)-before))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(done)
		<-ended
		return peak.Load()
	}
}
