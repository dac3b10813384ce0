package reach

import (
	"sync/atomic"
	"time"
)

// Link holds the evidence on whether this node reaches one searcher. The zero value holds none. It is safe for concurrent use.
type Link struct {
	// reachedAt and failedAt are the times of the latest reply or new connection and of the latest failure to connect, and sentAt that of the
	// latest request, in Unix nanoseconds; 0 means never.
	reachedAt atomic.Int64
	failedAt  atomic.Int64
	sentAt    atomic.Int64
	// unansweredSince is the time of the first request since the searcher was last reached, 0 without such a request.
	unansweredSince atomic.Int64
}

// Sent records that a request is sent.
func (l *Link) Sent(now time.Time) {
	l.sentAt.Store(now.UnixNano())
	l.unansweredSince.CompareAndSwap(0, now.UnixNano())
}

// Reached records a reply or a new connection.
func (l *Link) Reached(now time.Time) {
	l.reachedAt.Store(now.UnixNano())
	l.unansweredSince.Store(0)
}

// Failed records that no connection could be opened.
func (l *Link) Failed(now time.Time) { l.failedAt.Store(now.UnixNano()) }

// Lost reports whether the latest evidence, however old, is that the searcher is not reached.
func (l *Link) Lost(now time.Time) bool {
	return l.failedAt.Load() > l.reachedAt.Load() || l.silent(now)
}

// RecentlyReached reports whether there is recent evidence that the searcher is reached.
func (l *Link) RecentlyReached(now time.Time) bool { return l.recent(now) && !l.Lost(now) }

// ReachedSince reports whether the searcher was reached at or after a time.
func (l *Link) ReachedSince(at time.Time) bool { return l.reachedAt.Load() >= at.UnixNano() }

// silent reports whether requests have got no reply for silenceLimit.
func (l *Link) silent(now time.Time) bool {
	since := l.unansweredSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(silenceLimit)
}

// recent reports whether there is evidence from within evidenceWindow.
func (l *Link) recent(now time.Time) bool {
	latest := max(l.reachedAt.Load(), l.failedAt.Load())
	if l.silent(now) {
		latest = max(latest, l.sentAt.Load())
	}
	return latest != 0 && now.UnixNano()-latest < int64(evidenceWindow)
}
