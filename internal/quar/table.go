// Package quar quarantines requests that crash the searchers that run them. Nodes exchange their marks. Merging is idempotent,
// commutative and associative, so the order and repetition of exchanges do not matter. An answer shows that a request crashes nothing: it ends the
// quarantine and begins a generation of the mark, which takes the place of earlier generations at all nodes.
package quar

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// PartialAnswerDelay is how long an entry delays a partial answer after an abrupt loss, so that the mark reaches the other entries of
	// the zone before the caller can resend the request.
	PartialAnswerDelay = 100 * time.Millisecond
	// MaxCompleted is the maximum number of completed fingerprints that are remembered.
	MaxCompleted = 16384

	// DefaultExpiry is how long a mark lasts after the last loss.
	DefaultExpiry = 10 * time.Minute
	// DefaultMaxMarks is the maximum number of marks.
	DefaultMaxMarks = 4096
	// evictFraction is the inverse of the share of the table that is evicted when it is full.
	evictFraction = 16

	// burstWindow and burstSearchers define a burst: losses of burstSearchers or more distinct searchers within the window have a common
	// cause, such as a rack failure, and do not count towards quarantine.
	burstWindow    = time.Second
	burstSearchers = 3

	// expirySlack is the increase of an expiry above which it is passed on. Each hop adds its delay to the remaining time, so forwarding
	// smaller increases would never end.
	expirySlack = time.Second
)

// Settings bound the table. A zero field takes its default.
type Settings struct {
	// Expiry is how long a mark lasts after the last loss.
	Expiry time.Duration
	// MaxMarks bounds the table. The marks that expire first are evicted first.
	MaxMarks int
	// Mode decides whether losses count; nil means Enabled.
	Mode Mode
}

// Mode decides whether losses count: Enabled or Disabled.
type Mode interface{ mode() }

// Enabled sends unknown requests to one shard first and quarantines those that crash searchers. It is the default.
type Enabled struct{}

// Disabled treats every request as known and clear. The load tool uses it as a baseline.
type Disabled struct{}

func (Enabled) mode()  {}
func (Disabled) mode() {}

// loss is a recent loss that this node observed itself and counts.
type loss struct {
	at          time.Time
	fingerprint uint64
	searcher    string
}

// Table holds the marks. It is safe for concurrent use.
type Table struct {
	settings  Settings
	completed *completedSet

	// count is the number of marks. It avoids the lock while there are none.
	count atomic.Int64

	mu    sync.RWMutex
	marks map[uint64]*mark
	// lastLoss holds the time of the latest loss of each searcher that this node lost within burstWindow.
	lastLoss map[string]time.Time
	// recent holds the losses within burstWindow that a burst would discount.
	recent []loss
}

// New returns an empty table.
func New(s Settings) *Table {
	if s.Expiry <= 0 {
		s.Expiry = DefaultExpiry
	}
	if s.MaxMarks <= 0 {
		s.MaxMarks = DefaultMaxMarks
	}
	return &Table{
		settings:  s,
		completed: newCompletedSet(),
		marks:     make(map[uint64]*mark),
		lastLoss:  make(map[string]time.Time),
	}
}

// RecordLoss records that an attempt of the request lost its searcher abruptly. The request becomes suspect on all nodes immediately. The
// loss counts on this node immediately too, but other nodes learn the searcher only after burstWindow (1 s), when it is known not to be
// part of a burst. Losses in a burst only make their requests suspect. Use RecordExclusiveLoss for an attempt that ran alone.
func (t *Table) RecordLoss(now time.Time, fingerprint uint64, searcher string) {
	if t.disabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneRecent(now)
	t.lastLoss[searcher] = now
	m := t.getOrCreateMark(now, fingerprint)
	t.extend(now, fingerprint, m)
	if len(t.lastLoss) >= burstSearchers {
		t.discountRecent(now)
		m.recordBurstLoss(searcher)
	} else if m.recordLoss(now, searcher, lossRecord{withheldUntil: now.Add(burstWindow)}) {
		t.recent = append(t.recent, loss{at: now, fingerprint: fingerprint, searcher: searcher})
	}
	m.trim(now)
	t.evict(now)
}

// RecordExclusiveLoss records that an attempt lost its searcher abruptly while it ran alone there, as a suspect request does. Such a loss
// counts even in a burst, and makes the request's earlier losses in bursts count: otherwise several concurrent crashing requests would
// look like a burst and never be quarantined. It is no evidence of a burst either.
func (t *Table) RecordExclusiveLoss(now time.Time, fingerprint uint64, searcher string) {
	if t.disabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent = slices.DeleteFunc(t.recent, func(l loss) bool { return l.fingerprint == fingerprint })
	m := t.getOrCreateMark(now, fingerprint)
	m.recordExclusiveLoss(now, searcher)
	t.extend(now, fingerprint, m)
	m.trim(now)
	t.evict(now)
}

func (t *Table) disabled() bool {
	_, ok := t.settings.Mode.(Disabled)
	return ok
}

// extend renews the mark of a request that just lost a searcher.
func (t *Table) extend(now time.Time, fingerprint uint64, m *mark) {
	m.answered = m.answered || t.completed.has(fingerprint)
	t.completed.remove(fingerprint)
	m.expires = later(m.expires, now.Add(t.settings.Expiry))
	m.suspected = true
	m.cleared = false
}

// pruneRecent drops the losses that are too old to be part of a burst. The caller holds mu.
func (t *Table) pruneRecent(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) >= burstWindow }
	t.recent = slices.DeleteFunc(t.recent, func(l loss) bool { return old(l.at) })
	maps.DeleteFunc(t.lastLoss, func(_ string, at time.Time) bool { return old(at) })
}

// discountRecent stops counting the losses that turned out to be part of a burst. The caller holds mu.
func (t *Table) discountRecent(now time.Time) {
	for _, l := range t.recent {
		if m, ok := t.marks[l.fingerprint]; ok {
			m.discount(now, l.searcher)
		}
	}
	t.recent = nil
}

// Check returns how to treat a request.
func (t *Table) Check(now time.Time, fingerprint uint64) Verdict {
	if t.count.Load() == 0 {
		return Clear{}
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.marks[fingerprint]
	if !ok || !now.Before(m.expires) {
		return Clear{}
	}
	return m.verdict()
}

// RecordCompletion records that the request completed on a searcher. A completion that ran alone (exclusive) clears the request on this node, and
// on all nodes if they may have quarantined it: a request that crashes searchers completes on none. It reports whether other nodes should be told.
// A concurrent completion says nothing about a marked request, since it may have begun before the loss.
func (t *Table) RecordCompletion(now time.Time, fingerprint uint64, exclusive bool) bool {
	if t.Check(now, fingerprint) == (Clear{}) {
		t.completed.add(fingerprint)
		return false
	}
	if !exclusive {
		return false
	}
	t.completed.add(fingerprint)
	return t.clearSuspicion(now, fingerprint)
}

// clearSuspicion clears the request, and reports whether other nodes should be told.
func (t *Table) clearSuspicion(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.marks[fingerprint]
	if !ok {
		return false
	}
	// Other nodes count the losses that they know, also those that this node has dismissed.
	if !m.quarantined() && len(m.replicated(now)) < quarantineThreshold {
		m.dismissLosses(now)
		return false
	}
	m.advance(m.generation + 1)
	// The mark must outlast those of earlier generations at other nodes.
	m.expires = later(m.expires, now.Add(t.settings.Expiry))
	return true
}

// Forget removes the mark of a request, as if it had lost no searcher.
func (t *Table) Forget(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.marks, fingerprint)
	t.count.Store(int64(len(t.marks)))
}

// NeedsCanary reports whether the request must go to one shard first: it is not known to complete, or it is marked.
func (t *Table) NeedsCanary(now time.Time, fingerprint uint64) bool {
	if t.disabled() {
		return false
	}
	if !t.completed.has(fingerprint) {
		return true
	}
	return t.Check(now, fingerprint) != Clear{}
}

// Export returns the replicated marks, sorted by fingerprint. A mark without searchers makes its request suspect.
func (t *Table) Export(now time.Time) []*wire.QuarantineMark {
	t.mu.RLock()
	defer t.mu.RUnlock()
	marks := make([]*wire.QuarantineMark, 0, len(t.marks))
	for fingerprint, m := range t.marks {
		if now.Before(m.expires) {
			marks = append(marks, m.toWire(now, fingerprint))
		}
	}
	slices.SortFunc(marks, func(a, b *wire.QuarantineMark) int { return cmp.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return marks
}

// Mark returns the replicated mark of a request, or nil if there is none.
func (t *Table) Mark(now time.Time, fingerprint uint64) *wire.QuarantineMark {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.marks[fingerprint]
	if !ok || !now.Before(m.expires) {
		return nil
	}
	return m.toWire(now, fingerprint)
}

// Has reports whether there is a mark of a request.
func (t *Table) Has(now time.Time, fingerprint uint64) bool { return t.Mark(now, fingerprint) != nil }

// Merge adds the marks of another node: the union of the searchers and the later expiry, which is at most Expiry from now. It returns
// true when a mark, a searcher or an expiry later by more than expirySlack was new and should be forwarded.
func (t *Table) Merge(now time.Time, marks []*wire.QuarantineMark) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	anyNew := false
	for _, incoming := range marks {
		if t.mergeMark(now, incoming) {
			anyNew = true
		}
	}
	t.evict(now)
	return anyNew
}

func (t *Table) mergeMark(now time.Time, incoming *wire.QuarantineMark) bool {
	remaining := min(incoming.GetRemaining().AsDuration(), t.settings.Expiry)
	if remaining <= 0 {
		return false
	}
	fingerprint := incoming.GetFingerprint()
	m := t.getOrCreateMark(now, fingerprint)
	expires := now.Add(remaining)
	isNew := !now.Before(m.expires) || expires.Sub(m.expires) > expirySlack
	m.expires = later(m.expires, expires)
	changed := m.merge(now, incoming)
	return isNew || changed
}

// Hash returns an order-independent hash of the replicated state, as exchanged in digests, without the expiry. It also changes without a
// call when a withheld loss becomes shared or a mark expires.
func (t *Table) Hash(now time.Time) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var sum uint64
	for fingerprint, m := range t.marks {
		if now.Before(m.expires) {
			sum += m.hash(now, fingerprint)
		}
	}
	return sum
}

// Len returns the number of marks, which may include expired ones.
func (t *Table) Len() int { return int(t.count.Load()) }

// getOrCreateMark returns the mark of a fingerprint, creating one when there is none or it expired. The caller holds mu.
func (t *Table) getOrCreateMark(now time.Time, fingerprint uint64) *mark {
	m, ok := t.marks[fingerprint]
	if !ok || !now.Before(m.expires) {
		m = &mark{expires: now, searchers: make(map[string]lossRecord)}
		t.marks[fingerprint] = m
	}
	return m
}

// removeExpired drops the marks that expired. The caller holds mu.
func (t *Table) removeExpired(now time.Time) {
	maps.DeleteFunc(t.marks, func(_ uint64, m *mark) bool { return !now.Before(m.expires) })
}

// evict drops marks when there are more than MaxMarks: expired ones first, then those of requests that are not quarantined, then the others. Of
// each kind the ones that expire first go first; ties are broken by fingerprint. It makes room for several marks at once, since each eviction
// sorts them. The caller holds mu.
func (t *Table) evict(now time.Time) {
	if len(t.marks) > t.settings.MaxMarks {
		t.removeExpired(now)
	}
	if len(t.marks) > t.settings.MaxMarks {
		keep := t.settings.MaxMarks - t.settings.MaxMarks/evictFraction
		for _, fingerprint := range t.inEvictionOrder()[:len(t.marks)-keep] {
			delete(t.marks, fingerprint)
		}
	}
	t.count.Store(int64(len(t.marks)))
}

// inEvictionOrder returns the fingerprints in the order of eviction.
func (t *Table) inEvictionOrder() []uint64 {
	fingerprints := make([]uint64, 0, len(t.marks))
	for fingerprint := range t.marks {
		fingerprints = append(fingerprints, fingerprint)
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		first, second := t.marks[a], t.marks[b]
		if first.quarantined() != second.quarantined() {
			if second.quarantined() {
				return -1
			}
			return 1
		}
		return cmp.Or(first.expires.Compare(second.expires), cmp.Compare(a, b))
	})
	return fingerprints
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
