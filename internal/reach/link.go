package reach

import (
	"sync/atomic"
	"time"
)

// Link holds the evidence on whether this node reaches one searcher. The zero value holds none. It is safe for concurrent use. All times are
// in Unix nanoseconds; 0 means never.
type Link struct {
	// reachedAt is the time of the latest reply, or of a new connection that stayed open.
	reachedAt atomic.Int64
	// connectedAt is the time of the latest new connection, which something between the two ends may have accepted, and failedAt that of the
	// latest failure to open one.
	connectedAt atomic.Int64
	failedAt    atomic.Int64
	// brokenAt is the time at which a new connection last broke before it carried a reply.
	brokenAt atomic.Int64
	// sentAt is the time of the latest request, and unansweredSince that of the first one since the searcher was last reached.
	sentAt          atomic.Int64
	unansweredSince atomic.Int64
}

// Sent records that a request is sent.
func (l *Link) Sent(now time.Time) {
	l.sentAt.Store(now.UnixNano())
	l.unansweredSince.CompareAndSwap(0, now.UnixNano())
}

// Reached records a reply, or a new connection that stayed open.
func (l *Link) Reached(now time.Time) {
	l.reachedAt.Store(now.UnixNano())
	l.unansweredSince.Store(0)
}

// Connected records a new connection.
func (l *Link) Connected(now time.Time) { l.connectedAt.Store(now.UnixNano()) }

// Failed records that no connection could be opened.
func (l *Link) Failed(now time.Time) { l.failedAt.Store(now.UnixNano()) }

// Broke records that a new connection broke before it carried a reply.
func (l *Link) Broke(now time.Time) { l.brokenAt.Store(now.UnixNano()) }

// Lost reports whether the latest evidence, however old, is that the searcher is not reached.
func (l *Link) Lost() bool {
	reached := l.reachedAt.Load()
	return l.failedAt.Load() > max(reached, l.connectedAt.Load()) || l.brokenAt.Load() > reached || l.silent()
}

// RecentlyReached reports whether there is recent evidence that the searcher is reached.
func (l *Link) RecentlyReached(now time.Time) bool { return l.recent(now) && !l.Lost() }

// ReachedSince reports whether the searcher was reached at or after a time.
func (l *Link) ReachedSince(at time.Time) bool {
	return max(l.reachedAt.Load(), l.connectedAt.Load()) >= at.UnixNano()
}

// GaveUp records that a request that was sent at sentAt ended without a reply.
func (l *Link) GaveUp(now, sentAt time.Time) {
	if now.Sub(sentAt) >= silenceLimit {
		l.Broke(now)
	}
}

// silent reports whether requests that were sent over silenceLimit got no reply. A single request that was given up early tells nothing.
func (l *Link) silent() bool {
	since := l.unansweredSince.Load()
	return since != 0 && l.sentAt.Load()-since >= int64(silenceLimit)
}

// recent reports whether there is evidence from within evidenceWindow.
func (l *Link) recent(now time.Time) bool {
	latest := max(l.reachedAt.Load(), l.connectedAt.Load(), l.failedAt.Load(), l.brokenAt.Load())
	if l.silent() {
		latest = max(latest, l.sentAt.Load())
	}
	return latest != 0 && now.UnixNano()-latest < int64(evidenceWindow)
}
