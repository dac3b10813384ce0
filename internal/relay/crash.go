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
	// confirmWithin is the time after a broken connection in which the searcher's end shows that it crashed. Lost answers break connections
	// too, and their searchers live on.
	confirmWithin = 8 * time.Second
	// maxSuspicions bounds the broken connections that wait for such a sign.
	maxSuspicions = 1024
)

// suspicion is a request whose connection broke while a searcher worked on it.
type suspicion struct {
	fingerprint uint64
	searcher    fleet.Key
	at          time.Time
}

// crashes finds the requests that crash searchers. It is safe for concurrent use.
type crashes struct {
	marks *quar.Table

	mu         sync.Mutex
	suspicions []suspicion
	// told holds the fingerprints that other nodes were told of, with the time until which that holds.
	told map[uint64]time.Time
}

const (
	// tellAgain is the time after which other nodes are told of a request again.
	tellAgain = 10 * time.Second
	// maxTold bounds the fingerprints that others were told of.
	maxTold = 1024
)

func newCrashes(marks *quar.Table) *crashes {
	return &crashes{marks: marks, told: make(map[uint64]time.Time)}
}

// tell reports whether other nodes are to be told of a fingerprint now.
func (c *crashes) tell(now time.Time, fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.told[fingerprint]) {
		return false
	}
	if len(c.told) >= maxTold {
		clear(c.told)
	}
	c.told[fingerprint] = now.Add(tellAgain)
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
func (c *crashes) suspect(now time.Time, fingerprint uint64, searcher fleet.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if len(c.suspicions) < maxSuspicions {
		c.suspicions = append(c.suspicions, suspicion{fingerprint: fingerprint, searcher: searcher, at: now})
	}
}

func (c *crashes) expire(now time.Time) {
	kept := c.suspicions[:0]
	for _, s := range c.suspicions {
		if now.Sub(s.at) < confirmWithin {
			kept = append(kept, s)
		}
	}
	c.suspicions = kept
}

// crashed marks the requests that a searcher worked on when it ended. It returns their fingerprints.
func (c *crashes) crashed(now time.Time, searcher fleet.Key) []uint64 {
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
		c.marks.RecordExclusiveLoss(now, fingerprint, searcher.ID)
	}
	return confirmed
}

// suspected reports whether a request has crashed a searcher before.
func (c *crashes) suspected(now time.Time, fingerprint uint64) bool {
	_, clear := c.marks.Check(now, fingerprint).(quar.Clear)
	return !clear
}

// export returns the mark of a fingerprint.
func (c *crashes) export(now time.Time, fingerprint uint64) []*wire.QuarantineMark {
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

// suspect records that a searcher's connection broke while it worked on a request, and looks whether the searcher still lives.
func (e *Engine) suspect(now time.Time, fingerprint uint64, s *station) {
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
			e.unreachable(e.clock(), s)
		}
	})
}

// unreachable notes that no connection to a searcher could be opened. It has ended unless another connection lives: searchers also refuse
// connections beyond the number that they accept.
func (e *Engine) unreachable(now time.Time, s *station) {
	if !s.pool.Alive() {
		e.searcherEnded(now, s.searcher.Key())
	}
}

// quarantined reports whether a request has crashed so many searchers that it may not run any more.
func (c *crashes) quarantined(now time.Time, fingerprint uint64) bool {
	_, ok := c.marks.Check(now, fingerprint).(quar.Quarantined)
	return ok
}

// searcherEnded notes that a searcher is gone. A crash marks all requests that ran there, most of which are not its cause, so that other
// nodes are told only of those that crashed another one too.
func (e *Engine) searcherEnded(now time.Time, searcher fleet.Key) {
	confirmed := e.crashes.crashed(now, searcher)
	if len(confirmed) == 0 {
		return
	}
	e.logger.Log(wire.Event_EVENT_SEARCHER_LOST, zap.String("searcher", searcher.ID), zap.Int("requests", len(confirmed)))
	for _, fingerprint := range confirmed {
		if e.crashes.quarantined(now, fingerprint) {
			e.logger.Log(wire.Event_EVENT_QUARANTINED, zap.Uint64("fingerprint", fingerprint))
			e.tellOthers(now, fingerprint)
		}
	}
}

// tellOthers passes the mark of a request on, unless that happened lately.
func (e *Engine) tellOthers(now time.Time, fingerprint uint64) {
	tell := e.marked.Load()
	if tell == nil || !e.crashes.tell(now, fingerprint) {
		return
	}
	if marks := e.crashes.export(now, fingerprint); len(marks) > 0 {
		(*tell)(marks)
	}
}

// OnQuarantineMarks sets what passes marks on to other nodes.
func (e *Engine) OnQuarantineMarks(tell func(marks []*wire.QuarantineMark)) { e.marked.Store(&tell) }

// MergeMarks takes in the marks of another node and returns those that were new.
func (e *Engine) MergeMarks(now time.Time, marks []*wire.QuarantineMark) []*wire.QuarantineMark {
	var news []*wire.QuarantineMark
	for _, mark := range marks {
		if e.crashes.marks.Merge(now, []*wire.QuarantineMark{mark}) {
			news = append(news, mark)
		}
	}
	return news
}
