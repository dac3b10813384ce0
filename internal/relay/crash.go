package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// crashConfirmWindow is the time after a broken connection in which the searcher's end shows that it crashed. Lost answers break connections
	// too, and their searchers live on.
	crashConfirmWindow = 8 * time.Second
	// maxSuspicions bounds the broken connections that wait for such a sign.
	maxSuspicions = 1024
)

// suspicion is a request whose connection broke while a searcher worked on it.
type suspicion struct {
	fingerprint uint64
	searcher    fleet.Key
	at          time.Time
}

// crashTracker finds the requests that crash searchers. It is safe for concurrent use.
type crashTracker struct {
	marks *quar.Table

	mu         sync.Mutex
	suspicions []suspicion
	// announced holds the fingerprints that other nodes were told of, with the time until which that holds.
	announced map[uint64]time.Time
}

const (
	// announceInterval is the time after which other nodes are told of a request again.
	announceInterval = 10 * time.Second
	// maxAnnounced bounds the fingerprints that others were told of.
	maxAnnounced = 1024
)

func newCrashTracker(marks *quar.Table) *crashTracker {
	return &crashTracker{marks: marks, announced: make(map[uint64]time.Time)}
}

// shouldAnnounce reports whether other nodes are to be told of a fingerprint now.
func (c *crashTracker) shouldAnnounce(now time.Time, fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.announced[fingerprint]) {
		return false
	}
	if len(c.announced) >= maxAnnounced {
		clear(c.announced)
	}
	c.announced[fingerprint] = now.Add(announceInterval)
	return true
}

// fingerprint names a request that comes again with another id.
func fingerprint(r *route.Route, request *Request) uint64 {
	digest := xxhash.New()
	// Writing to a digest never fails.
	_, _ = digest.WriteString(r.Host())
	_, _ = digest.Write(request.Head[:lineEnd(request.Head)])
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// lineEnd returns the length of the first line, which holds method and path.
func lineEnd(head []byte) int {
	for i, b := range head {
		if b == '\r' {
			return i
		}
	}
	return len(head)
}

// suspect records that a connection broke while a searcher worked on a request.
func (c *crashTracker) suspect(now time.Time, fingerprint uint64, searcher fleet.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if len(c.suspicions) < maxSuspicions {
		c.suspicions = append(c.suspicions, suspicion{fingerprint: fingerprint, searcher: searcher, at: now})
	}
}

func (c *crashTracker) expire(now time.Time) {
	kept := c.suspicions[:0]
	for _, s := range c.suspicions {
		if now.Sub(s.at) < crashConfirmWindow {
			kept = append(kept, s)
		}
	}
	c.suspicions = kept
}

// confirmCrash marks the requests that a searcher worked on when it ended. It returns their fingerprints.
func (c *crashTracker) confirmCrash(now time.Time, searcher fleet.Key) []uint64 {
	c.mu.Lock()
	c.expire(now)
	var confirmed []uint64
	kept := c.suspicions[:0]
	for _, s := range c.suspicions {
		if s.searcher == searcher {
			confirmed = append(confirmed, s.fingerprint)
		} else {
			kept = append(kept, s)
		}
	}
	c.suspicions = kept
	c.mu.Unlock()
	for _, fingerprint := range confirmed {
		c.marks.LostExclusive(now, fingerprint, searcher.ID)
	}
	return confirmed
}

// suspected reports whether a request has crashed a searcher before.
func (c *crashTracker) suspected(now time.Time, fingerprint uint64) bool {
	_, clear := c.marks.Check(now, fingerprint).(quar.Clear)
	return !clear
}

// export returns the mark of a fingerprint.
func (c *crashTracker) export(now time.Time, fingerprint uint64) []*wire.QuarantineMark {
	for _, mark := range c.marks.Export(now) {
		if mark.GetFingerprint() == fingerprint {
			return []*wire.QuarantineMark{mark}
		}
	}
	return nil
}

const (
	// probeDelay lets a crash take effect before the searcher is looked at, probeTimeout is the time in which a living one answers.
	probeDelay   = 50 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// suspectCrash records that a searcher's connection broke while it worked on a request, and looks whether the searcher still lives.
func (e *Engine) suspectCrash(now time.Time, fingerprint uint64, s *endpoint) {
	key := s.searcher.Key()
	e.crashes.suspect(now, fingerprint, key)
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	e.tasks.Go(func() {
		defer s.probing.Store(false)
		time.Sleep(probeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if err := s.pool.Probe(ctx); err != nil {
			e.searcherUnreachable(e.clock(), s)
		}
	})
}

// searcherUnreachable notes that no connection to a searcher could be opened. It has ended unless another connection lives: searchers also refuse
// connections beyond the number that they accept.
func (e *Engine) searcherUnreachable(now time.Time, s *endpoint) {
	if !s.pool.HasLiveConn() {
		e.searcherEnded(now, s.searcher.Key())
	}
}

// quarantined reports whether a request has crashed so many searchers that it may not run any more.
func (c *crashTracker) quarantined(now time.Time, fingerprint uint64) bool {
	_, ok := c.marks.Check(now, fingerprint).(quar.Quarantined)
	return ok
}

// searcherEnded notes that a searcher is gone. A crash marks all requests that ran there, most of which are not its cause, so that other
// nodes are told only of those that crashed another one too.
func (e *Engine) searcherEnded(now time.Time, searcher fleet.Key) {
	confirmed := e.crashes.confirmCrash(now, searcher)
	if len(confirmed) == 0 {
		return
	}
	e.logger.Log(wire.Event_EVENT_SEARCHER_LOST, zap.String("searcher", searcher.ID), zap.Int("requests", len(confirmed)))
	for _, fingerprint := range confirmed {
		if e.crashes.quarantined(now, fingerprint) {
			e.logger.Log(wire.Event_EVENT_QUARANTINED, zap.Uint64("fingerprint", fingerprint))
			e.announceMark(now, fingerprint)
		}
	}
}

// announceMark passes the mark of a request on, unless that happened lately.
func (e *Engine) announceMark(now time.Time, fingerprint uint64) {
	announce := e.onMarks.Load()
	if announce == nil || !e.crashes.shouldAnnounce(now, fingerprint) {
		return
	}
	if marks := e.crashes.export(now, fingerprint); len(marks) > 0 {
		(*announce)(marks)
	}
}

// OnQuarantineMarks sets what passes marks on to other nodes.
func (e *Engine) OnQuarantineMarks(announce func(marks []*wire.QuarantineMark)) {
	e.onMarks.Store(&announce)
}

// MergeMarks takes in the marks of another node and returns those that were new.
func (e *Engine) MergeMarks(now time.Time, marks []*wire.QuarantineMark) []*wire.QuarantineMark {
	var added []*wire.QuarantineMark
	for _, mark := range marks {
		if e.crashes.marks.Merge(now, []*wire.QuarantineMark{mark}) {
			added = append(added, mark)
		}
	}
	return added
}
