package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// avoidLeaving bounds how long a leaving searcher is passed over before the VM list names it.
	avoidLeaving = 30 * time.Second
	// avoidLost gives a searcher time to restart before it is tried first again.
	avoidLost = time.Second
	// avoidWithoutSnapshot is how long a searcher without a snapshot is passed over for it.
	avoidWithoutSnapshot = 5 * time.Second
)

// avoidKey identifies a searcher, or a searcher's snapshot when the version is not 0.
type avoidKey struct {
	searcher string
	version  uint64
}

// avoidList remembers for a short time which searchers this entry had better not use.
type avoidList struct {
	// size is the length of until, so that the request path takes no lock while nothing is avoided.
	size  atomic.Int64
	mu    sync.RWMutex
	until map[avoidKey]time.Time
}

func newAvoidList() *avoidList {
	return &avoidList{until: make(map[avoidKey]time.Time)}
}

// record records the outcome of an attempt.
func (a *avoidList) record(now time.Time, searcher string, version uint64, r wire.Reason) {
	switch r {
	case wire.Reason_REASON_SEARCHER_LEAVING:
		a.add(now, avoidKey{searcher: searcher}, avoidLeaving)
	case wire.Reason_REASON_CONNECT_FAILED, wire.Reason_REASON_CONNECTION_LOST:
		a.add(now, avoidKey{searcher: searcher}, avoidLost)
	case wire.Reason_REASON_SNAPSHOT_GONE:
		a.add(now, avoidKey{searcher: searcher, version: version}, avoidWithoutSnapshot)
	}
}

func (a *avoidList) add(now time.Time, key avoidKey, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for old, until := range a.until {
		if now.After(until) {
			delete(a.until, old)
		}
	}
	a.until[key] = now.Add(d)
	a.size.Store(int64(len(a.until)))
}

// avoided reports whether a searcher is leaving or was lost a moment ago.
func (a *avoidList) avoided(now time.Time, searcher string) bool {
	return a.active(now, avoidKey{searcher: searcher})
}

// lacksSnapshot reports whether a searcher lacks a snapshot.
func (a *avoidList) lacksSnapshot(now time.Time, searcher string, version uint64) bool {
	return a.active(now, avoidKey{searcher: searcher, version: version})
}

func (a *avoidList) active(now time.Time, key avoidKey) bool {
	if a.size.Load() == 0 {
		return false
	}
	a.mu.RLock()
	defer a.mu.RUnlock()
	until, ok := a.until[key]
	return ok && now.Before(until)
}
