// Package quar quarantines requests that crash the searchers which run them. Nodes exchange their marks; merging is idempotent,
// commutative and associative, so order and repetition of the exchange do not matter.
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
	// PartialAnswerDelay is how long an entry keeps an incomplete answer after an abrupt loss, so that the mark reaches the other entries of
	// the zone before the caller can send the request again.
	PartialAnswerDelay = 100 * time.Millisecond
	// MaxCompleted is the greatest number of completed fingerprints that are remembered.
	MaxCompleted = 16384

	// DefaultExpiry is the time that a mark lasts after the last loss.
	DefaultExpiry = 10 * time.Minute
	// DefaultMaxMarks is the greatest number of marks.
	DefaultMaxMarks = 4096
	// evictFraction is the part of the table, as 1/evictFraction, that is dropped when it is full.
	evictFraction = 16

	// burstWindow and burstSearchers define a burst: losses of so many distinct searchers within the window have a common cause, such
	// as a rack, and do not count towards quarantine.
	burstWindow    = time.Second
	burstSearchers = 3

	// expirySlack is by how much an expiry must rise to be news. Each hop adds its delay to the remaining time; passing such rises on
	// would never end.
	expirySlack = time.Second
)

// Settings bound the table. A zero field takes its default.
type Settings struct {
	// Expiry is the time that a mark lasts after the last loss.
	Expiry time.Duration
	// MaxMarks bounds the table; the mark that expires first goes first.
	MaxMarks int
	// Mode decides whether losses count; nil means Counting.
	Mode Mode
}

// Mode decides whether losses count: Counting or Ignoring.
type Mode interface{ mode() }

// Enabled sends unknown requests to one shard first and quarantines those that crash searchers. It is the default.
type Enabled struct{}

// Disabled treats each request as known and clear. The load tool compares with it.
type Disabled struct{}

func (Enabled) mode()  {}
func (Disabled) mode() {}

// loss is one recent loss that this node saw itself and counts.
type loss struct {
	at          time.Time
	fingerprint uint64
	searcher    string
}

// Table holds the marks. It is safe for concurrent use.
type Table struct {
	settings  Settings
	completed *completedSet

	// count is the number of marks; it spares the lock while there are none.
	count atomic.Int64

	mu    sync.RWMutex
	marks map[uint64]*mark
	// lastLoss holds the searchers that this node lost within burstWindow.
	lastLoss map[string]time.Time
	// recent holds the losses of lastLoss that would have to be discounted in a burst.
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

// RecordLoss records that an attempt of the request lost its searcher abruptly. It makes the request suspect on all nodes at once. The loss
// counts on this node at once too, but other nodes learn the searcher a second later, when it is known that the loss was no burst. The
// losses of a burst make their requests suspect only. LostExclusive records the loss of an attempt that ran alone.
func (t *Table) RecordLoss(now time.Time, fingerprint uint64, searcher string) {
	if t.ignores() {
		return
	}
	t.completed.remove(fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	t.lastLoss[searcher] = now
	m := t.mark(now, fingerprint)
	t.renew(now, m)
	if len(t.lastLoss) >= burstSearchers {
		t.discountRecent(now)
		m.lostInBurst(searcher)
	} else if m.lost(searcher, evidence{withheldUntil: now.Add(burstWindow)}) {
		t.recent = append(t.recent, loss{at: now, fingerprint: fingerprint, searcher: searcher})
	}
	m.bound(now)
	t.resize()
}

// RecordExclusiveLoss records that an attempt lost its searcher abruptly while it ran alone there, as a suspect request
// does. Such a loss counts also in a burst, and makes the request's losses in bursts count: otherwise several crashing
// requests at once would look like a burst and never be quarantined. It is no evidence of a burst either.
func (t *Table) RecordExclusiveLoss(now time.Time, fingerprint uint64, searcher string) {
	if t.ignores() {
		return
	}
	t.completed.remove(fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent = slices.DeleteFunc(t.recent, func(l loss) bool { return l.fingerprint == fingerprint })
	m := t.mark(now, fingerprint)
	m.lostExclusive(searcher)
	t.renew(now, m)
	m.bound(now)
	t.resize()
}

func (t *Table) ignores() bool {
	_, ok := t.settings.Mode.(Disabled)
	return ok
}

// renew extends the mark of a request that lost a searcher now.
func (t *Table) renew(now time.Time, m *mark) {
	m.expires = later(m.expires, now.Add(t.settings.Expiry))
	m.suspected = true
	m.cleared = false
}

// forget drops the losses that are too old to belong to a burst. The caller holds mu.
func (t *Table) forget(now time.Time) {
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

// Check tells how to treat a request.
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

// RecordCompletion records that the request completed on a searcher. After a single loss, a completion that ran alone (exclusive) clears the
// request on this node. A completion among others says nothing about a marked request: it may have begun before the loss.
func (t *Table) RecordCompletion(now time.Time, fingerprint uint64, exclusive bool) {
	if t.Check(now, fingerprint) == (Clear{}) {
		t.completed.add(fingerprint)
		return
	}
	if exclusive && t.clear(now, fingerprint) {
		t.completed.add(fingerprint)
	}
}

// clear lifts the suspicion unless the request is quarantined.
func (t *Table) clear(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.marks[fingerprint]
	if !ok {
		return true
	}
	if m.counted() >= quarantineLosses {
		return false
	}
	m.clear(now)
	return true
}

// NeedsCanary reports whether the request must go to one shard first: it is not known to complete, or it is marked.
func (t *Table) NeedsCanary(now time.Time, fingerprint uint64) bool {
	if t.ignores() {
		return false
	}
	if !t.completed.has(fingerprint) {
		return true
	}
	return t.Check(now, fingerprint) != Clear{}
}

// Export returns the replicated marks, sorted by fingerprint. The searchers of one mark may be empty: the request is then suspect.
func (t *Table) Export(now time.Time) []*wire.QuarantineMark {
	t.mu.RLock()
	defer t.mu.RUnlock()
	marks := make([]*wire.QuarantineMark, 0, len(t.marks))
	for fingerprint, m := range t.marks {
		if now.Before(m.expires) {
			marks = append(marks, m.export(now, fingerprint))
		}
	}
	slices.SortFunc(marks, func(a, b *wire.QuarantineMark) int { return cmp.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return marks
}

// Merge adds the marks of another node: the union of the searchers and the later expiry, which is at most Expiry from now. It returns
// true when a mark, a searcher or a clearly later expiry was new and should be passed on.
func (t *Table) Merge(now time.Time, marks []*wire.QuarantineMark) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	news := false
	for _, incoming := range marks {
		if t.merge(now, incoming) {
			news = true
		}
	}
	t.resize()
	return news
}

func (t *Table) merge(now time.Time, incoming *wire.QuarantineMark) bool {
	remaining := min(incoming.GetRemaining().AsDuration(), t.settings.Expiry)
	if remaining <= 0 {
		return false
	}
	fingerprint := incoming.GetFingerprint()
	m := t.mark(now, fingerprint)
	expires := now.Add(remaining)
	news := !now.Before(m.expires) || expires.Sub(m.expires) > expirySlack
	m.expires = later(m.expires, expires)
	m.suspected = true
	before := m.replicated(now)
	m.addAll(now, incoming.GetSearchers())
	m.bound(now)
	return news || !slices.Equal(before, m.replicated(now))
}

// Hash names the replicated state independent of order, as exchanged in digests. Expiry is not part of it. It changes without a call
// when a withheld loss is shared or a mark expires.
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

// Len returns the number of marks, possibly with some that expired.
func (t *Table) Len() int { return int(t.count.Load()) }

// mark returns the mark of a fingerprint; it makes one when there is none or the mark expired. The caller holds mu.
func (t *Table) mark(now time.Time, fingerprint uint64) *mark {
	m, ok := t.marks[fingerprint]
	if !ok || !now.Before(m.expires) {
		m = &mark{expires: now, searchers: make(map[string]evidence)}
		t.marks[fingerprint] = m
	}
	return m
}

// sweep drops the marks that expired. The caller holds mu.
func (t *Table) sweep(now time.Time) {
	maps.DeleteFunc(t.marks, func(_ uint64, m *mark) bool { return !now.Before(m.expires) })
}

// resize drops the marks that expire first when there are more than MaxMarks; the fingerprint decides between equals. It makes room
// for several marks at once, since each drop sorts them. The caller holds mu.
func (t *Table) resize() {
	if len(t.marks) > t.settings.MaxMarks {
		keep := t.settings.MaxMarks - t.settings.MaxMarks/evictFraction
		for _, fingerprint := range t.byExpiry()[:len(t.marks)-keep] {
			delete(t.marks, fingerprint)
		}
	}
	t.count.Store(int64(len(t.marks)))
}

func (t *Table) byExpiry() []uint64 {
	fingerprints := make([]uint64, 0, len(t.marks))
	for fingerprint := range t.marks {
		fingerprints = append(fingerprints, fingerprint)
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(t.marks[a].expires.Compare(t.marks[b].expires), cmp.Compare(a, b))
	})
	return fingerprints
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
