package quar

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// sendInterval is the minimum time between two batches of marks that a node sends, and maxBatch the number of marks in one. Together
	// they bound what a node spends on marks, however many requests crash searchers at once.
	sendInterval = 250 * time.Millisecond
	maxBatch     = 16
	// maxWaiting is the number of marks that wait to be sent. Further ones are dropped: each node also marks what it sees itself.
	maxWaiting = 256
)

// Outbox holds the marks that a node is about to send to others, and bounds their rate. It is safe for concurrent use.
type Outbox struct {
	mu sync.Mutex
	// waiting holds one mark per fingerprint, the oldest first.
	waiting []*wire.QuarantineMark
	sentAt  time.Time
	dropped uint64
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

// Take returns the marks to send now: none while the latest batch is more recent than sendInterval.
func (o *Outbox) Take(now time.Time) []*wire.QuarantineMark {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) == 0 || (!o.sentAt.IsZero() && now.Sub(o.sentAt) < sendInterval) {
		return nil
	}
	n := min(maxBatch, len(o.waiting))
	batch := slices.Clone(o.waiting[:n])
	o.waiting = slices.Delete(o.waiting, 0, n)
	o.sentAt = now
	return batch
}

// Dropped returns the number of marks that were dropped because too many were waiting.
func (o *Outbox) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}
