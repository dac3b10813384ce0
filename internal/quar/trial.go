package quar

import (
	"slices"
	"time"
)

// Trials begin some time after the latest loss or trial, the longer the more of them ended without an answer. The delays of eager trials are for
// requests that are likely harmless.
var (
	trialDelays      = [...]time.Duration{time.Minute, 10 * time.Minute, time.Hour}
	eagerTrialDelays = [...]time.Duration{0, 2 * time.Second, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}
)

const (
	// trialStagger is the delay from one node in the order of a trial to the next, in which the outcome reaches the nodes. It is shorter for the first
	// eager trial, so that the callers of a node need not wait for callers of the nodes before it.
	trialStagger      = time.Second
	firstTrialStagger = 100 * time.Millisecond
	// trialRetryDelay is the delay after a trial that no searcher ran.
	trialRetryDelay = 250 * time.Millisecond
)

// trial is the state of this node's trials of a request in the current generation.
type trial struct {
	running bool
	// retryAt is the earliest time of the next trial after one that did not run.
	retryAt time.Time
	// rank is the place of this node in the order for the trial of a number, as of rankedAt.
	rank     int
	number   uint32
	rankedAt time.Time
}

// rankAge is the age up to which a node's place in the order is used again, since large fleets take long to order.
const rankAge = time.Second

// Turn returns the number of nodes before this one in the order of nodes for a key, and whether this node knows the others.
type Turn func(key uint64) (rank int, ok bool)

// BeginTrial reports whether a quarantined request may run once on one searcher, to find out whether it still crashes it. If so, EndTrial must be
// called after it. Otherwise it returns the time after which to ask again, 0 if that is not known. The order of nodes keeps all but one from a trial
// at a time without an agreement: a node whose turn passes unused leaves it to the next. The requests in this and in other tables are also likely
// causes of the losses that they share.
func (t *Table) BeginTrial(now time.Time, fingerprint uint64, turn Turn, others ...*Table) (begun bool, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.marks[fingerprint]
	if !ok || !now.Before(m.expires) || !m.quarantined() {
		return false, 0
	}
	if m.expires.Sub(now) < t.settings.Expiry/2 {
		// A request that comes again is not forgotten between two trials.
		m.expires = now.Add(t.settings.Expiry)
	}
	if m.trial.running {
		return false, 0
	}
	likelyHarmless := m.wasAnswered() || t.completed.has(fingerprint) || t.contested(now, fingerprint, m, others)
	due, ok := m.trialDue(now, fingerprint, likelyHarmless, turn)
	if !ok || now.Before(due) {
		return false, max(due.Sub(now), 0)
	}
	m.trial.running = true
	return true, 0
}

// trialDue returns when this node may begin the next trial, unless the other nodes are unknown.
func (m *mark) trialDue(now time.Time, fingerprint uint64, likelyHarmless bool, turn Turn) (time.Time, bool) {
	delays, stagger := trialDelays[:], trialStagger
	if likelyHarmless {
		delays = eagerTrialDelays[:]
		if m.trials == 0 {
			stagger = firstTrialStagger
		}
	}
	due := later(m.grownAt.Add(delays[min(int(m.trials), len(delays)-1)]), m.trial.retryAt)
	if now.Before(due) {
		return due, true
	}
	if m.trial.number != m.trials || m.trial.rankedAt.IsZero() || now.Sub(m.trial.rankedAt) >= rankAge {
		rank, ok := turn(fingerprint + uint64(m.trials))
		if !ok {
			return time.Time{}, false
		}
		m.trial.rank, m.trial.number, m.trial.rankedAt = rank, m.trials, now
	}
	return due.Add(time.Duration(m.trial.rank) * stagger), true
}

// EndTrial ends a trial. ran is set if a searcher may have run the request. It reports whether other nodes should be told. An answer is recorded by
// RecordCompletion before.
func (t *Table) EndTrial(now time.Time, fingerprint uint64, ran bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.marks[fingerprint]
	if !ok || !m.trial.running {
		return false
	}
	m.trial = trial{}
	if !ran {
		m.trial.retryAt = now.Add(trialRetryDelay)
		return false
	}
	m.trials++
	m.grownAt = now
	return true
}

// Trials returns the number of trials of a request that ended without an answer, in the current generation.
func (t *Table) Trials(fingerprint uint64) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if m, ok := t.marks[fingerprint]; ok {
		return int(m.trials)
	}
	return 0
}

// Generation returns the generation of the mark of a request, 0 if there is none.
func (t *Table) Generation(fingerprint uint64) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if m, ok := t.marks[fingerprint]; ok {
		return m.generation
	}
	return 0
}

// contested reports whether each loss that counts against a request is also blamed on another one, in this table or in others. The caller holds mu.
func (t *Table) contested(now time.Time, fingerprint uint64, m *mark, others []*Table) bool {
	for searcher, e := range m.searchers {
		if e.status != lossCounted || t.blames(now, fingerprint, searcher) {
			continue
		}
		if !slices.ContainsFunc(others, func(other *Table) bool {
			other.mu.RLock()
			defer other.mu.RUnlock()
			return other.blames(now, fingerprint, searcher)
		}) {
			return false
		}
	}
	return true
}

// blames reports whether a request other than the given one is suspected of the loss of a searcher. The caller holds mu.
func (t *Table) blames(now time.Time, except uint64, searcher string) bool {
	for fingerprint, m := range t.marks {
		if e, ok := m.searchers[searcher]; ok && e.status != lossDismissed && fingerprint != except && now.Before(m.expires) {
			return true
		}
	}
	return false
}
