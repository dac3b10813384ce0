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
	// quarantineThreshold is the number of distinct searchers whose loss quarantines a fingerprint.
	quarantineThreshold = 2
	// maxReplicatedSearchers bounds the searchers of one mark that nodes exchange.
	maxReplicatedSearchers = 16
)

// unknownSearcher stands for a searcher that another node lost and did not name, since the loss may be part of a burst.
const unknownSearcher = ""

// lossStatus says whether this node counts a loss towards quarantine.
type lossStatus uint8

const (
	// lossCounted is a loss that counts.
	lossCounted lossStatus = iota
	// lossInBurst is a loss that had a common cause with others. It counts once the request loses another searcher while it runs alone.
	lossInBurst
	// lossDismissed is a loss before the request completed alone; it never counts again.
	lossDismissed
)

// lossRecord is what this node knows of one loss. Other nodes may hold a shared loss, so its record is kept when it stops counting:
// otherwise a merge would bring it back.
type lossRecord struct {
	status lossStatus
	// withheldUntil is when a loss that may be part of a burst is shared. It is zero for a loss that is shared immediately.
	withheldUntil time.Time
	// private is set on a loss in a burst that was never shared.
	private bool
}

func (e lossRecord) shared(now time.Time) bool { return !e.private && !now.Before(e.withheldUntil) }

// mark is what is known of one fingerprint. The shared searchers, the expiry, the generation, the trials and answered are replicated; the rest is
// local to this node.
type mark struct {
	expires   time.Time
	searchers map[string]lossRecord
	// generation is the number of answers that ended a quarantine of the request. The searchers and trials are those since the latest of them.
	generation uint64
	// trials is the number of trials that ended without an answer.
	trials uint32
	// answered is set if a node remembers an answer from before the losses.
	answered bool
	// grownAt is when this node last learned of a loss or of a trial. The next trial is due some time after that.
	grownAt time.Time
	trial   trial
	// suspected is set once a loss was recorded or merged.
	suspected bool
	// cleared is set when the request completed alone after the mark was created, and reset by the next loss.
	cleared bool
}

// verdict returns how to treat the fingerprint.
func (m *mark) verdict() Verdict {
	if m.quarantined() {
		return Quarantined{}
	}
	if m.countedLosses() == 0 && m.cleared {
		return Clear{}
	}
	return Suspect{}
}

func (m *mark) countedLosses() int {
	n := 0
	for _, e := range m.searchers {
		if e.status == lossCounted {
			n++
		}
	}
	return n
}

// quarantined reports whether enough losses count.
func (m *mark) quarantined() bool { return m.countedLosses() >= quarantineThreshold }

// recordLoss counts a loss that this node observed. It returns false when the searcher was already counted.
func (m *mark) recordLoss(now time.Time, searcher string, e lossRecord) bool {
	known, ok := m.searchers[searcher]
	if ok && known.status == lossCounted {
		return false
	}
	m.grownAt = now
	if ok && !known.private {
		// A loss that was shared remains shared.
		e = lossRecord{}
	}
	m.searchers[searcher] = e
	return true
}

// recordBurstLoss records a loss that does not count.
func (m *mark) recordBurstLoss(searcher string) {
	if _, ok := m.searchers[searcher]; !ok {
		m.searchers[searcher] = lossRecord{status: lossInBurst, private: true}
	}
}

// discount stops counting a loss that turned out to be part of a burst.
func (m *mark) discount(now time.Time, searcher string) {
	if e, ok := m.searchers[searcher]; ok {
		m.searchers[searcher] = lossRecord{status: lossInBurst, private: !e.shared(now)}
	}
}

// recordExclusiveLoss counts the loss of an attempt that ran alone, and with it the request's losses in bursts. When another node made
// the request suspect without naming a searcher, that loss counts as unknownSearcher.
func (m *mark) recordExclusiveLoss(now time.Time, searcher string) {
	for name, e := range m.searchers {
		if e.status != lossDismissed {
			m.searchers[name] = lossRecord{}
		}
	}
	if m.suspected && !m.cleared && m.countedLosses() == 0 {
		m.searchers[unknownSearcher] = lossRecord{}
	}
	m.recordLoss(now, searcher, lossRecord{})
}

// dismissLosses stops counting all losses of the request for good. A loss that was never shared is removed.
func (m *mark) dismissLosses(now time.Time) {
	m.cleared = true
	for searcher, e := range m.searchers {
		if e.shared(now) {
			m.searchers[searcher] = lossRecord{status: lossDismissed}
		} else {
			delete(m.searchers, searcher)
		}
	}
}

// advance drops what is known against the request up to an answer, which begins a generation.
func (m *mark) advance(generation uint64) {
	clear(m.searchers)
	m.generation, m.trials, m.answered, m.trial = generation, 0, false, trial{}
	m.suspected, m.cleared = false, true
}

// wasAnswered reports whether some searcher has answered the request, as far as this node knows.
func (m *mark) wasAnswered() bool { return m.answered || m.generation > 0 }

// merge adds what another node knows of the request, and reports whether that changed what nodes exchange, except for the expiry. A mark of a lower
// generation is older than an answer.
func (m *mark) merge(now time.Time, incoming *wire.QuarantineMark) bool {
	generation := incoming.GetGeneration()
	if generation < m.generation {
		return false
	}
	changed := generation > m.generation
	if changed {
		m.advance(generation)
	}
	m.suspected = true
	before := m.replicated(now)
	m.mergeSearchers(now, incoming.GetSearchers())
	m.trim(now)
	changed = changed || !slices.Equal(before, m.replicated(now)) || incoming.GetTrials() > m.trials || incoming.GetAnswered() && !m.answered
	m.trials = max(m.trials, incoming.GetTrials())
	m.answered = m.answered || incoming.GetAnswered()
	if changed {
		m.grownAt = now
	}
	return changed
}

// mergeSearchers marks the searchers that another node reported as shared. A new searcher makes the shared losses in bursts count here, as
// they do on the other nodes; otherwise this node would run a request that the others quarantine.
func (m *mark) mergeSearchers(now time.Time, searchers []string) {
	before := m.replicated(now)
	for _, searcher := range searchers {
		m.searchers[searcher] = lossRecord{status: m.searchers[searcher].status}
	}
	if slices.Equal(before, m.replicated(now)) {
		return
	}
	for searcher, e := range m.searchers {
		if e.status == lossInBurst && !e.private {
			m.searchers[searcher] = lossRecord{}
		}
	}
}

// trim drops searchers that are neither replicated nor needed for the verdict. A loss that counts stays even when
// maxReplicatedSearchers lower names do not count, since the request would otherwise never be quarantined.
func (m *mark) trim(now time.Time) {
	if len(m.searchers) <= maxReplicatedSearchers {
		return
	}
	replicated := m.replicated(now)
	for _, searcher := range slices.Sorted(maps.Keys(m.searchers)) {
		if len(m.searchers) <= maxReplicatedSearchers {
			return
		}
		if slices.Contains(replicated, searcher) {
			continue
		}
		if m.searchers[searcher].status != lossCounted || m.countedLosses() > quarantineThreshold {
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

// replicated returns the searchers that nodes exchange: the lowest maxReplicatedSearchers names, so that merges are order-independent.
func (m *mark) replicated(now time.Time) []string {
	names := m.allShared(now)
	return names[:min(maxReplicatedSearchers, len(names))]
}

func (m *mark) toWire(now time.Time, fingerprint uint64) *wire.QuarantineMark {
	return wire.QuarantineMark_builder{
		Fingerprint: fingerprint,
		Searchers:   m.replicated(now),
		Remaining:   durationpb.New(m.expires.Sub(now)),
		Generation:  m.generation,
		Trials:      m.trials,
		Answered:    m.answered,
	}.Build()
}

// hash returns a hash of the replicated state. It excludes the expiry, on which nodes agree only up to the transmission delay.
func (m *mark) hash(now time.Time, fingerprint uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], fingerprint)
	_, _ = digest.Write(number[:])
	for _, searcher := range m.replicated(now) {
		writeField(&digest, searcher)
	}
	// Versions of the program that know searchers only must find the same hash as long as there is nothing else.
	if m.generation > 0 || m.trials > 0 || m.answered {
		binary.LittleEndian.PutUint64(number[:], m.generation)
		_, _ = digest.Write(number[:])
		binary.LittleEndian.PutUint32(number[:4], m.trials)
		number[4] = 0
		if m.answered {
			number[4] = 1
		}
		_, _ = digest.Write(number[:5])
	}
	return digest.Sum64()
}
