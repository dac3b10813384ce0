package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// avoidLeaving is how long a searcher that reported it is leaving is deprioritized. The VM list is expected to mark it as leaving in
	// the meantime.
	avoidLeaving = 30 * time.Second
	// avoidLost is how long a searcher is deprioritized after a connection failure, which gives it time to restart, or after a reply that was no
	// valid response.
	avoidLost = time.Second
	// avoidWithoutSnapshot is how long a searcher is not used for a snapshot that it reported as gone.
	avoidWithoutSnapshot = 5 * time.Second
)

// avoidKey identifies a searcher, or one snapshot of a searcher if version is not 0.
type avoidKey struct {
	searcher string
	version  uint64
}

// avoidList records searchers, and snapshots of searchers, that this entry avoids for a limited time after a failure.
type avoidList struct {
	// size is the length of until. It lets the request path skip the lock while the map is empty.
	size  atomic.Int64
	mu    sync.RWMutex
	until map[avoidKey]time.Time
}

func newAvoidList() *avoidList {
	return &avoidList{until: make(map[avoidKey]time.Time)}
}

// record adds a searcher to the list if the reason of a failed attempt calls for it.
func (a *avoidList) record(now time.Time, searcher string, version uint64, r wire.Reason) {
	switch r {
	case wire.Reason_REASON_SEARCHER_LEAVING:
		a.add(now, avoidKey{searcher: searcher}, avoidLeaving)
	case wire.Reason_REASON_CONNECT_FAILED, wire.Reason_REASON_CONNECTION_LOST, wire.Reason_REASON_REPLY_MALFORMED, wire.Reason_REASON_REPLY_TOO_LONG:
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

// avoided reports whether a searcher is leaving or was lost recently.
func (a *avoidList) avoided(now time.Time, searcher string) bool {
	return a.active(now, avoidKey{searcher: searcher})
}

// lacksSnapshot reports whether a searcher recently reported that it no longer has a snapshot.
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
