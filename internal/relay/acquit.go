package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// acquit drops what is known against a request that a searcher has answered. A request that crashes searchers crashes each one that runs it, while
// a request that many callers send, or that goes to many shards, is often running on several of those that a common cause took away.
func (c *crashTracker) acquit(now time.Time, fingerprint uint64) acquittal {
	a := acquittal{unconfirmed: c.dropSuspicions(fingerprint)}
	if c.marks.suspected(now, fingerprint) {
		a.searchers, a.wasQuarantined = c.marks.searchers(now, fingerprint), c.marks.quarantined(now, fingerprint)
	}
	a.announce = c.marks.recordAnswer(now, fingerprint)
	return a
}

// acquittal is what was known against a request when a searcher answered it.
type acquittal struct {
	// searchers are the processes that ended while they ran the request, unconfirmed is the number of those of which it was not known yet.
	searchers   []string
	unconfirmed int
	// wasQuarantined is set if this node refused the request, announce if other nodes may do so.
	wasQuarantined bool
	announce       bool
}

// dropSuspicions drops the suspicions against a request and returns their number.
func (c *crashTracker) dropSuspicions(fingerprint uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(c.suspicions)
	c.suspicions = slices.DeleteFunc(c.suspicions, func(s suspicion) bool { return s.fingerprint == fingerprint })
	return before - len(c.suspicions)
}

// acquit drops what is known against a request that a searcher has answered, logs it, and tells other nodes if they may refuse the request.
func (e *Engine) acquit(now time.Time, fingerprint uint64) {
	a := e.crashes.acquit(now, fingerprint)
	switch {
	case a.wasQuarantined:
		e.quarantinesEnded.Inc(1)
		e.logger.Log(wire.Event_EVENT_QUARANTINE_ENDED, zap.String("fingerprint", quar.FormatFingerprint(fingerprint)), zap.Strings("searchers", a.searchers))
	case len(a.searchers)+a.unconfirmed > 0:
		e.logger.Log(wire.Event_EVENT_CRASH_EVIDENCE_ANSWERED, zap.String("fingerprint", quar.FormatFingerprint(fingerprint)),
			zap.Strings("searchers", a.searchers), zap.Int("unconfirmed", a.unconfirmed))
	}
	if a.announce {
		e.announceMark(now, fingerprint)
	}
}

// beginTrial reports whether a quarantined request may run as a trial, and otherwise the time after which to ask again, 0 if that is not known.
func (e *Engine) beginTrial(now time.Time, fingerprint uint64) (begun bool, after time.Duration) {
	if begun, after = e.crashes.marks.beginTrial(now, fingerprint, e.turn); !begun {
		return false, after
	}
	e.trials.Inc(1)
	e.logger.Log(wire.Event_EVENT_QUARANTINE_TRIAL, zap.String("fingerprint", quar.FormatFingerprint(fingerprint)),
		zap.Int("failed", e.crashes.marks.shared.Trials(fingerprint)), zap.Strings("searchers", e.crashes.marks.searchers(now, fingerprint)))
	return true, 0
}

// endTrial ends a trial and tells other nodes if a searcher may have run the request without an answer.
func (e *Engine) endTrial(f *fanout) {
	if now := e.clock(); e.crashes.marks.shared.EndTrial(now, f.fingerprint, f.ran()) {
		e.announceMark(now, f.fingerprint)
	}
}

// turn is this node's place in the order of the nodes for a trial.
func (e *Engine) turn(key uint64) (rank int, ok bool) {
	return e.balancer.nodes.Load().Members.Rank(key)
}
