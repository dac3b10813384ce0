package quar

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// Within sendInterval a node sends at most maxBatch marks, in maxMessages messages at most, however many requests crash searchers at once.
	sendInterval = 250 * time.Millisecond
	maxBatch     = 16
	maxMessages  = 4
	// maxWaiting is the number of marks that wait to be sent. Further ones are dropped: each node also marks what it sees itself.
	maxWaiting = 256
)

// Outbox holds the marks that a node is about to send to others, and bounds their rate. It is safe for concurrent use.
type Outbox struct {
	mu sync.Mutex
	// waiting holds one mark per fingerprint, the oldest first.
	waiting []*wire.QuarantineMark
	// since is the start of the current interval, in which sent marks were sent in so many messages.
	since    time.Time
	sent     int
	messages int
	dropped  uint64
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{} }

// Add adds marks. A later mark of a fingerprint replaces the one that waits.
func (o *Outbox) Add(marks []*wire.QuarantineMark) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, mark := range marks {
		same := func(w *wire.QuarantineMark) bool { return w.GetFingerprint() == mark.GetFingerprint() }
		if at := slices.IndexFunc(o.waiting, same); at >= 0 {
			o.waiting[at] = mark
		} else if len(o.waiting) < maxWaiting {
			o.waiting = append(o.waiting, mark)
		} else {
			o.dropped++
		}
	}
}

// Take returns the marks to send now, in one message: none once the interval's marks or messages are used up.
func (o *Outbox) Take(now time.Time) []*wire.QuarantineMark {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) == 0 {
		return nil
	}
	if o.since.IsZero() || now.Sub(o.since) >= sendInterval {
		o.since, o.sent, o.messages = now, 0, 0
	}
	n := min(maxBatch-o.sent, len(o.waiting))
	if n == 0 || o.messages == maxMessages {
		return nil
	}
	batch := slices.Clone(o.waiting[:n])
	o.waiting = slices.Delete(o.waiting, 0, n)
	o.sent += n
	o.messages++
	return batch
}

// Dropped returns the number of marks that were dropped because too many were waiting.
func (o *Outbox) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}
