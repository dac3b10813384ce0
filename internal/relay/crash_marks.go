package relay

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// maxCandidates is the number of requests that a searcher ran for this node up to which its crash is blamed on each of them. A crash under more
// requests is kept to this node: a common cause would otherwise have all nodes tell each other of harmless requests.
const maxCandidates = 4

// maxMarks bounds the requests that all nodes know to have crashed searchers, which a node that starts takes over in one message.
const maxMarks = 512

// crashMarks holds the crashes by request: those that all nodes should know, and those that this node keeps to itself since the request is
// one of many that may have caused them. It is safe for concurrent use.
type crashMarks struct {
	shared  *quar.Table
	private *quar.Table
	// latestHash is the hash of the shared marks when it was last computed.
	latestHash atomic.Pointer[marksHash]
}

func newCrashMarks() *crashMarks {
	return &crashMarks{shared: quar.New(quar.Settings{MaxMarks: maxMarks}), private: quar.New(quar.Settings{})}
}

// record records that a searcher ended while it ran a request, which was one of several candidates. It reports whether other nodes should be
// told.
func (m *crashMarks) record(now time.Time, fingerprint uint64, searcher fleet.Key, candidates int) bool {
	// A searcher that starts again under its id may crash again, so processes are counted.
	m.private.RecordExclusiveLoss(now, fingerprint, searcher.String())
	if candidates > maxCandidates && !m.shared.Has(now, fingerprint) && m.private.Check(now, fingerprint) != (quar.Quarantined{}) {
		return false
	}
	// The loss of a trial speaks against the request at all nodes.
	if m.shared.Trials(fingerprint) > 0 {
		return m.publish(now, fingerprint)
	}
	return m.share(now, fingerprint)
}

// share makes what this node has kept to itself of a request known to all nodes, unless they refuse the request already. It reports whether other
// nodes should be told.
func (m *crashMarks) share(now time.Time, fingerprint uint64) bool {
	return !m.quarantined(now, fingerprint) && m.publish(now, fingerprint)
}

// publish adds what this node has kept to itself of a request to its shared mark. It reports whether other nodes should be told.
func (m *crashMarks) publish(now time.Time, fingerprint uint64) bool {
	mark := m.private.Mark(now, fingerprint)
	if mark == nil {
		return false
	}
	mark.SetGeneration(m.shared.Generation(fingerprint))
	return m.shared.Merge(now, []*wire.QuarantineMark{mark})
}

// merge merges the mark of another node. It reports whether other nodes should be told.
func (m *crashMarks) merge(now time.Time, mark *wire.QuarantineMark) bool {
	learned := m.shared.Merge(now, []*wire.QuarantineMark{mark})
	return m.share(now, mark.GetFingerprint()) || learned
}

// hashAge is the age up to which the hash of the marks is used again, since it goes into each exchange with another node.
const hashAge = 100 * time.Millisecond

// marksHash is the hash of the shared marks at a time.
type marksHash struct {
	at    time.Time
	value uint64
}

// hash returns the hash of the shared marks, 0 if there are none.
func (m *crashMarks) hash(now time.Time) uint64 {
	if h := m.latestHash.Load(); h != nil && now.Sub(h.at) < hashAge {
		return h.value
	}
	h := &marksHash{at: now, value: m.shared.Hash(now)}
	m.latestHash.Store(h)
	return h.value
}

// recordAnswer records that a searcher has answered a request, and drops what is known against it. It reports whether other nodes should be told.
func (m *crashMarks) recordAnswer(now time.Time, fingerprint uint64) bool {
	if m.private.Check(now, fingerprint) != (quar.Clear{}) {
		m.private.Forget(fingerprint)
	}
	return m.shared.RecordCompletion(now, fingerprint, true)
}

// beginTrial reports whether a quarantined request may run as a trial, and otherwise the time after which to ask again.
func (m *crashMarks) beginTrial(now time.Time, fingerprint uint64, turn quar.Turn) (begun bool, after time.Duration) {
	return m.shared.BeginTrial(now, fingerprint, turn, m.private)
}

// searchers returns the processes that ended while they ran a request.
func (m *crashMarks) searchers(now time.Time, fingerprint uint64) []string {
	known := m.shared.Mark(now, fingerprint).GetSearchers()
	for _, searcher := range m.private.Mark(now, fingerprint).GetSearchers() {
		if !slices.Contains(known, searcher) {
			known = append(known, searcher)
		}
	}
	return known
}

// suspected reports whether a request was running on a searcher that crashed.
func (m *crashMarks) suspected(now time.Time, fingerprint uint64) bool {
	return m.private.Check(now, fingerprint) != (quar.Clear{}) || m.shared.Check(now, fingerprint) != (quar.Clear{})
}

// quarantined reports whether a request has crashed so many searchers that it must not run any more.
func (m *crashMarks) quarantined(now time.Time, fingerprint uint64) bool {
	return m.shared.Check(now, fingerprint) == (quar.Quarantined{})
}
