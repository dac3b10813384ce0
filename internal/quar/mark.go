package quar

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// quarantineLosses is the number of distinct searchers whose loss quarantines a fingerprint.
	quarantineLosses = 2
	// maxSearchers bounds the searchers of one mark that nodes exchange.
	maxSearchers = 16
)

// unnamedSearcher stands for a searcher that another node lost and did not name, since the loss may belong to a burst.
const unnamedSearcher = ""

// standing tells whether this node counts a loss towards quarantine.
type standing uint8

const (
	// counted is a loss that counts.
	counted standing = iota
	// burst is a loss that had a common cause with others. It counts once the request loses another searcher while it runs alone.
	burst
	// absolved is a loss before the request completed alone; it never counts again.
	absolved
)

// evidence is what this node knows of one loss. Other nodes may hold a shared loss, so it is not removed when it stops counting: a
// merge would bring it back.
type evidence struct {
	standing standing
	// withheldUntil is when a loss that may belong to a burst is shared; it is zero for a loss that needs no wait.
	withheldUntil time.Time
	// private is set on a burst loss that was never shared.
	private bool
}

func (e evidence) shared(now time.Time) bool { return !e.private && !now.Before(e.withheldUntil) }

// mark is what is known of one fingerprint. The shared searchers and the expiry are replicated; the rest is this node's own view.
type mark struct {
	expires   time.Time
	searchers map[string]evidence
	// suspected is set once a loss was recorded or merged.
	suspected bool
	// cleared is set when the request completed alone after the mark was made, and reset by the next loss.
	cleared bool
}

// verdict tells how to treat the fingerprint.
func (m *mark) verdict() Verdict {
	n := m.counted()
	if n >= quarantineLosses {
		return Quarantined{}
	}
	if n == 0 && m.cleared {
		return Clear{}
	}
	return Suspect{}
}

func (m *mark) counted() int {
	n := 0
	for _, e := range m.searchers {
		if e.standing == counted {
			n++
		}
	}
	return n
}

// lost counts a loss that this node saw. It returns false when the searcher was counted before.
func (m *mark) lost(searcher string, e evidence) bool {
	known, ok := m.searchers[searcher]
	if ok && known.standing == counted {
		return false
	}
	if ok && !known.private {
		// What was shared stays shared.
		e = evidence{}
	}
	m.searchers[searcher] = e
	return true
}

// lostInBurst records a loss that does not count.
func (m *mark) lostInBurst(searcher string) {
	if _, ok := m.searchers[searcher]; !ok {
		m.searchers[searcher] = evidence{standing: burst, private: true}
	}
}

// discount stops counting a loss that turned out to be part of a burst.
func (m *mark) discount(now time.Time, searcher string) {
	if e, ok := m.searchers[searcher]; ok {
		m.searchers[searcher] = evidence{standing: burst, private: !e.shared(now)}
	}
}

// lostExclusive counts the loss of an attempt that ran alone, and with it the losses of bursts. When another node made the request
// suspect without naming a searcher, that loss counts as unnamedSearcher.
func (m *mark) lostExclusive(searcher string) {
	for name, e := range m.searchers {
		if e.standing != absolved {
			m.searchers[name] = evidence{}
		}
	}
	if m.suspected && !m.cleared && m.counted() == 0 {
		m.searchers[unnamedSearcher] = evidence{}
	}
	m.lost(searcher, evidence{})
}

// clear absolves the request from all losses. A loss that was never shared is forgotten.
func (m *mark) clear(now time.Time) {
	m.cleared = true
	for searcher, e := range m.searchers {
		if e.shared(now) {
			m.searchers[searcher] = evidence{standing: absolved}
		} else {
			delete(m.searchers, searcher)
		}
	}
}

// addAll shares the searchers that another node reported. A searcher that is new makes the shared losses of bursts count here as they
// do on the other nodes; otherwise this node would run a request that the others quarantine.
func (m *mark) addAll(now time.Time, searchers []string) {
	before := m.replicated(now)
	for _, searcher := range searchers {
		m.searchers[searcher] = evidence{standing: m.searchers[searcher].standing}
	}
	if slices.Equal(before, m.replicated(now)) {
		return
	}
	for searcher, e := range m.searchers {
		if e.standing == burst && !e.private {
			m.searchers[searcher] = evidence{}
		}
	}
}

// bound drops searchers that are neither replicated nor needed for the verdict. A loss that counts stays even when maxSearchers lower
// names do not count, since the request would otherwise never be quarantined.
func (m *mark) bound(now time.Time) {
	if len(m.searchers) <= maxSearchers {
		return
	}
	replicated := m.replicated(now)
	for _, searcher := range slices.Sorted(maps.Keys(m.searchers)) {
		if len(m.searchers) <= maxSearchers {
			return
		}
		if slices.Contains(replicated, searcher) {
			continue
		}
		if m.searchers[searcher].standing != counted || m.counted() > quarantineLosses {
			delete(m.searchers, searcher)
		}
	}
}

// allShared returns the shared searchers, sorted.
func (m *mark) allShared(now time.Time) []string {
	names := make([]string, 0, len(m.searchers))
	for searcher, e := range m.searchers {
		if e.shared(now) {
			names = append(names, searcher)
		}
	}
	slices.Sort(names)
	return names
}

// replicated returns the searchers that nodes exchange: the lowest maxSearchers names, which keeps the merge independent of order.
func (m *mark) replicated(now time.Time) []string {
	names := m.allShared(now)
	return names[:min(maxSearchers, len(names))]
}

func (m *mark) export(now time.Time, fingerprint uint64) *wire.QuarantineMark {
	return wire.QuarantineMark_builder{
		Fingerprint: fingerprint,
		Searchers:   m.replicated(now),
		Remaining:   durationpb.New(m.expires.Sub(now)),
	}.Build()
}

// hash names the replicated state without the expiry, which nodes know only up to the time that messages take.
func (m *mark) hash(now time.Time, fingerprint uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], fingerprint)
	_, _ = digest.Write(number[:])
	for _, searcher := range m.replicated(now) {
		writeField(&digest, searcher)
	}
	return digest.Sum64()
}
