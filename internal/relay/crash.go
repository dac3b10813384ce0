package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// crashConfirmWindow is the time after a broken connection within which the end of the searcher process confirms a crash. Lost replies
	// break connections as well, without a crash of the searcher.
	crashConfirmWindow = 8 * time.Second
	// maxSuspicions bounds the broken connections that await confirmation. The oldest are dropped first.
	maxSuspicions = 1024
)

// suspicion is a request whose connection broke while a searcher was running it.
type suspicion struct {
	fingerprint uint64
	searcher    fleet.Key
	at          time.Time
}

// crashTracker identifies the requests that crash searchers. It is safe for concurrent use.
type crashTracker struct {
	marks *crashMarks

	mu sync.Mutex
	// suspicions holds one entry for each request and searcher, the oldest first.
	suspicions []suspicion
}

func newCrashTracker() *crashTracker { return &crashTracker{marks: newCrashMarks()} }

// fingerprint identifies a request independently of its id, so that repetitions of it are recognized.
func fingerprint(r *route.Route, request *Request) uint64 {
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(r.Host())
	_, _ = digest.Write(request.Head[:lineEnd(request.Head)])
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// maxLoggedFingerprints bounds the fingerprints in a log line.
const maxLoggedFingerprints = 16

func formatFingerprints(fingerprints []uint64) []string {
	formatted := make([]string, min(len(fingerprints), maxLoggedFingerprints))
	for i := range formatted {
		formatted[i] = quar.FormatFingerprint(fingerprints[i])
	}
	return formatted
}

// lineEnd returns the length of the request line, which holds the method and the path.
func lineEnd(head []byte) int {
	for i, b := range head {
		if b == '\r' {
			return i
		}
	}
	return len(head)
}

// suspect records that a connection broke while a searcher was running a request.
func (c *crashTracker) suspect(now time.Time, fingerprint uint64, searcher fleet.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspicions = slices.DeleteFunc(c.suspicions, func(s suspicion) bool { return s.fingerprint == fingerprint && s.searcher == searcher })
	if len(c.suspicions) == maxSuspicions {
		c.suspicions = slices.Delete(c.suspicions, 0, 1)
	}
	c.suspicions = append(c.suspicions, suspicion{fingerprint: fingerprint, searcher: searcher, at: now})
}

// latestSuspicion returns the time of the latest broken connection to a searcher that awaits confirmation.
func (c *crashTracker) latestSuspicion(searcher fleet.Key) (latest time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.suspicions {
		if s.searcher == searcher && s.at.After(latest) {
			latest, ok = s.at, true
		}
	}
	return latest, ok
}

// expire drops the suspicions that were not confirmed in time and returns their fingerprints by searcher.
func (c *crashTracker) expire(now time.Time) map[fleet.Key][]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	unconfirmed := make(map[fleet.Key][]uint64)
	c.suspicions = slices.DeleteFunc(c.suspicions, func(s suspicion) bool {
		if now.Sub(s.at) < crashConfirmWindow {
			return false
		}
		unconfirmed[s.searcher] = append(unconfirmed[s.searcher], s.fingerprint)
		return true
	})
	return unconfirmed
}

// unconfirmed returns the number of broken connections that await confirmation.
func (c *crashTracker) unconfirmed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.suspicions)
}

// confirmCrash removes the suspicions against a searcher that ended, and returns the fingerprints of the requests that it was running, each once.
func (c *crashTracker) confirmCrash(now time.Time, searcher fleet.Key) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var confirmed []uint64
	kept := c.suspicions[:0]
	for _, s := range c.suspicions {
		if s.searcher == searcher && now.Sub(s.at) < crashConfirmWindow {
			confirmed = append(confirmed, s.fingerprint)
		} else {
			kept = append(kept, s)
		}
	}
	c.suspicions = kept
	slices.Sort(confirmed)
	return slices.Compact(confirmed)
}

const (
	// probeDelay lets a crash take effect before the searcher is probed. probeTimeout is the time within which a live searcher accepts a
	// connection.
	probeDelay   = 50 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// probeSearcher checks whether a searcher is alive after a connection to it broke.
func (e *Engine) probeSearcher(ep *endpoint) {
	if !ep.probing.CompareAndSwap(false, true) {
		return
	}
	e.tasks.Go(func() {
		defer ep.probing.Store(false)
		time.Sleep(probeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if err := ep.pool.Probe(ctx); err != nil {
			e.searcherUnreachable(ep)
		}
	})
}

// maxCrossChecks bounds the other searchers that are probed after one could not be reached.
const maxCrossChecks = 3

// searcherUnreachable handles a failed connection attempt. It counts as the end of the searcher unless another connection is live, since
// searchers also refuse connections beyond their limit, or unless this node reaches no other searcher, since it has then lost its own links.
func (e *Engine) searcherUnreachable(ep *endpoint) {
	brokeAt, ok := e.crashes.latestSuspicion(ep.searcher.Key())
	if !ok || ep.pool.HasLiveConn() {
		return
	}
	e.tasks.Go(func() {
		// Replies that left their searchers before the connection broke may still have arrived until the probe.
		since := brokeAt.Add(probeDelay)
		if e.balancer.reachedOther(since, ep) || e.crossCheck(since, ep) {
			e.searcherEnded(e.clock(), ep.searcher.Key(), unreachable)
		}
	})
}

// crossCheck opens connections to some other searchers, and reports whether one was reached.
func (e *Engine) crossCheck(since time.Time, ep *endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var checks conc.WaitGroup
	for _, other := range e.balancer.others(ep, maxCrossChecks) {
		// The pool reports the outcome to the link.
		checks.Go(func() { _ = other.pool.Probe(ctx) })
	}
	checks.Wait()
	return e.balancer.reachedOther(since, ep)
}

// endEvidence is what showed that a searcher process has ended, as log lines state it.
type endEvidence string

const (
	// unreachable is a connection that failed while another searcher was reached. The searcher may live on beyond lost links.
	unreachable endEvidence = "unreachable"
	// unregistered and replaced are the end of the process's registration, and another process at its address.
	unregistered endEvidence = "unregistered"
	replaced     endEvidence = "replaced"
)

// searcherEnded records that a searcher process has ended, and tells other nodes of the requests that they should know.
func (e *Engine) searcherEnded(now time.Time, searcher fleet.Key, evidence endEvidence) {
	confirmed := e.crashes.confirmCrash(now, searcher)
	if len(confirmed) == 0 {
		return
	}
	e.logger.Log(wire.Event_EVENT_SEARCHER_LOST, zap.String("searcher", searcher.String()), zap.String("evidence", string(evidence)),
		zap.Int("requests", len(confirmed)), zap.Strings("fingerprints", formatFingerprints(confirmed)))
	for _, fingerprint := range confirmed {
		changed := e.crashes.marks.record(now, fingerprint, searcher, len(confirmed))
		if e.crashes.marks.quarantined(now, fingerprint) {
			e.logger.Log(wire.Event_EVENT_QUARANTINED, zap.String("fingerprint", quar.FormatFingerprint(fingerprint)),
				zap.Strings("searchers", e.crashes.marks.searchers(now, fingerprint)))
		}
		if changed {
			e.announceMark(now, fingerprint)
		}
	}
}

// expireSuspicions gives up the broken connections whose searchers were not seen to end.
func (e *Engine) expireSuspicions(now time.Time) {
	for searcher, fingerprints := range e.crashes.expire(now) {
		e.logger.Log(wire.Event_EVENT_CRASH_UNCONFIRMED, zap.String("searcher", searcher.ID), zap.Int("requests", len(fingerprints)),
			zap.Strings("fingerprints", formatFingerprints(fingerprints)))
	}
}

// QuarantineMarks returns the number of requests that are known to have crashed searchers, and UnconfirmedCrashes the number of broken
// connections of which it is not known yet whether their searchers ended.
func (e *Engine) QuarantineMarks() int    { return e.crashes.marks.shared.Len() }
func (e *Engine) UnconfirmedCrashes() int { return e.crashes.unconfirmed() }

// announceMark sends the mark of a request to other nodes.
func (e *Engine) announceMark(now time.Time, fingerprint uint64) {
	announce, mark := e.onMarks.Load(), e.crashes.marks.shared.Mark(now, fingerprint)
	if announce != nil && mark != nil {
		(*announce)([]*wire.QuarantineMark{mark})
	}
}

// announceRepeated tells other nodes of a request that returns after a searcher was lost while running it: it is a likely cause of the crash.
func (e *Engine) announceRepeated(now time.Time, fingerprint uint64) {
	if e.crashes.marks.suspected(now, fingerprint) && e.crashes.marks.share(now, fingerprint) {
		e.announceMark(now, fingerprint)
	}
}

// OnQuarantineMarks sets the function that sends marks to other nodes.
func (e *Engine) OnQuarantineMarks(announce func(marks []*wire.QuarantineMark)) {
	e.onMarks.Store(&announce)
}

// Marks returns the marks of the requests that all nodes should know, and MarksHash their hash, which is 0 if there are none.
func (e *Engine) Marks(now time.Time) []*wire.QuarantineMark {
	return e.crashes.marks.shared.Export(now)
}
func (e *Engine) MarksHash(now time.Time) uint64 { return e.crashes.marks.hash(now) }

// MarkBuckets returns the hashes of the buckets of this node's marks, for CompareMarks at another node.
func (e *Engine) MarkBuckets(now time.Time) []uint64 { return e.crashes.marks.shared.Buckets(now) }

// CompareMarks returns the buckets whose hashes differ from those of another node, and this node's marks in them.
func (e *Engine) CompareMarks(now time.Time, theirs []uint64) ([]uint32, []*wire.QuarantineMark) {
	return e.crashes.marks.shared.Compare(now, theirs)
}

// MarksLacking returns this node's marks in the differing buckets that another node, which has sent its marks in them, does not have.
func (e *Engine) MarksLacking(now time.Time, buckets int, differing []uint32, theirs []*wire.QuarantineMark) []*wire.QuarantineMark {
	return e.crashes.marks.shared.Lacking(now, buckets, differing, theirs)
}

// MergeMarks merges the marks that a node sent and returns those that other nodes may lack, with what this node knows of them.
func (e *Engine) MergeMarks(now time.Time, from string, marks []*wire.QuarantineMark) []*wire.QuarantineMark {
	var changed []*wire.QuarantineMark
	for _, mark := range marks {
		if e.mergeMark(now, from, mark) {
			if merged := e.crashes.marks.shared.Mark(now, mark.GetFingerprint()); merged != nil {
				changed = append(changed, merged)
			}
		}
	}
	return changed
}

// mergeMark merges the mark of another node and reports whether other nodes may lack it.
func (e *Engine) mergeMark(now time.Time, from string, mark *wire.QuarantineMark) bool {
	fingerprint := mark.GetFingerprint()
	wasQuarantined := e.crashes.marks.quarantined(now, fingerprint)
	var lost []string
	if wasQuarantined {
		lost = e.crashes.marks.searchers(now, fingerprint)
	}
	if mark.GetGeneration() > e.crashes.marks.shared.Generation(fingerprint) {
		// Another node had an answer after what this node suspects.
		e.crashes.dropSuspicions(fingerprint)
		e.crashes.marks.private.Forget(fingerprint)
	}
	if !e.crashes.marks.merge(now, mark) {
		return false
	}
	quarantined := e.crashes.marks.quarantined(now, fingerprint)
	switch {
	case wasQuarantined && !quarantined:
		e.logger.Log(wire.Event_EVENT_QUARANTINE_ENDED, zap.String("fingerprint", quar.FormatFingerprint(fingerprint)), zap.Strings("searchers", lost),
			zap.String("from", from))
	case len(mark.GetSearchers()) > 0:
		e.logger.Log(wire.Event_EVENT_MARK_LEARNED, zap.String("fingerprint", quar.FormatFingerprint(fingerprint)), zap.Strings("searchers", mark.GetSearchers()),
			zap.Uint32("trials", mark.GetTrials()), zap.Bool("refused", quarantined), zap.String("from", from))
	}
	return true
}
