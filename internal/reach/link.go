package reach

import (
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/mono"
)

// Link holds the evidence on whether this node reaches one searcher. The zero value holds none. It is safe for concurrent use. All times are
// those of package mono; 0 means never.
type Link struct {
	// reachedAt is the time of the latest reply, or of a new connection that stayed open.
	reachedAt atomic.Int64
	// connectedAt is the time of the latest new connection, which something between the two ends may have accepted, and failedAt that of the
	// latest failure to open one.
	connectedAt atomic.Int64
	failedAt    atomic.Int64
	// brokenAt is the time at which a new connection last broke before it carried a reply.
	brokenAt atomic.Int64
	// probedAt is the time of the latest probe, with its lowest bit set if the probe reached the searcher.
	probedAt atomic.Int64
	// sentAt is the time of the latest request, and unansweredSince that of the first one since the searcher was last reached.
	sentAt          atomic.Int64
	unansweredSince atomic.Int64
}

// Sent records that a request is sent. Requests that got no reply count together only if they follow each other within evidenceWindow.
func (l *Link) Sent(now time.Time) {
	previous := l.sentAt.Swap(mono.Nanos(now))
	if mono.Nanos(now)-previous >= int64(evidenceWindow) {
		l.unansweredSince.Store(mono.Nanos(now))
		return
	}
	l.unansweredSince.CompareAndSwap(0, mono.Nanos(now))
}

// Reached records a reply, or a new connection that stayed open.
func (l *Link) Reached(now time.Time) {
	l.reachedAt.Store(mono.Nanos(now))
	l.unansweredSince.Store(0)
}

// Connected records a new connection.
func (l *Link) Connected(now time.Time) { l.connectedAt.Store(mono.Nanos(now)) }

// Failed records that no connection could be opened.
func (l *Link) Failed(now time.Time) { l.failedAt.Store(mono.Nanos(now)) }

// Broke records that a new connection broke before it carried a reply.
func (l *Link) Broke(now time.Time) { l.brokenAt.Store(mono.Nanos(now)) }

// Probed records the outcome of a probe: a connection that was opened only to learn whether the searcher is reached.
func (l *Link) Probed(now time.Time, reached bool) {
	probe := mono.Nanos(now) &^ 1
	if reached {
		probe |= 1
		l.Reached(now)
	} else {
		l.Broke(now)
	}
	l.probedAt.Store(probe)
}

// recentProbe returns the outcome of a recent probe.
func (l *Link) recentProbe(now time.Time) (reached, ok bool) {
	probe := l.probedAt.Load()
	return probe&1 == 1, probe != 0 && mono.Nanos(now)-probe < int64(evidenceWindow)
}

// evidence is what is known of a link lately.
type evidence int

const (
	none evidence = iota
	reached
	lost
)

// evidence returns what is known from within evidenceWindow. A new connection outweighs a failure to open one, but neither a connection that
// broke nor requests without a reply; a reply outweighs all that came before it.
func (l *Link) evidence(now time.Time) evidence {
	replied, connected := l.reachedAt.Load(), l.connectedAt.Load()
	lostAt := int64(0)
	if at := l.failedAt.Load(); at > max(replied, connected) {
		lostAt = at
	}
	if at := l.brokenAt.Load(); at > replied {
		lostAt = max(lostAt, at)
	}
	if l.silent() {
		lostAt = max(lostAt, l.sentAt.Load())
	}
	oldest := mono.Nanos(now) - int64(evidenceWindow)
	switch {
	case lostAt > oldest:
		return lost
	case max(replied, connected) > oldest:
		return reached
	default:
		return none
	}
}

// RecentlyReached reports whether there is recent evidence that the searcher is reached.
func (l *Link) RecentlyReached(now time.Time) bool { return l.evidence(now) == reached }

// ReachedSince reports whether the searcher was reached at or after a time.
func (l *Link) ReachedSince(at time.Time) bool {
	return max(l.reachedAt.Load(), l.connectedAt.Load()) >= mono.Nanos(at)
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
