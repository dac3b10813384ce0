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

// crashed marks the requests that a searcher worked on when it ended, and reports whether there were any.
func (c *crashes) crashed(now time.Time, searcher fleet.Key) bool {
	c.mu.Lock()
	c.expire(now)
	var confirmed []suspicion
	kept := c.suspicions[:0]
	for _, s := range c.suspicions {
		if s.searcher == searcher {
			confirmed = append(confirmed, s)
		} else {
			kept = append(kept, s)
		}
	}
	c.suspicions = kept
	c.mu.Unlock()
	for _, s := range confirmed {
		c.marks.LostExclusive(now, s.fingerprint, s.searcher.ID)
	}
	return len(confirmed) > 0
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
			e.searcherEnded(e.clock(), key)
		}
	})
}

// quarantined reports whether a request has crashed so many searchers that it may not run any more.
func (c *crashes) quarantined(now time.Time, fingerprint uint64) bool {
	_, ok := c.marks.Check(now, fingerprint).(quar.Quarantined)
	return ok
}

// searcherEnded notes that a searcher is gone, and passes marks on when requests of this node may have crashed it.
func (e *Engine) searcherEnded(now time.Time, searcher fleet.Key) {
	if !e.crashes.crashed(now, searcher) {
		return
	}
	e.logger.Log(wire.Event_EVENT_SEARCHER_LOST, zap.String("searcher", searcher.ID))
	if marked := e.marked.Load(); marked != nil {
		(*marked)()
	}
}

// OnMarked sets what is called after a request was found to crash searchers.
func (e *Engine) OnMarked(marked func()) { e.marked.Store(&marked) }

// Marks returns the requests that crash searchers, for other nodes.
func (e *Engine) Marks(now time.Time) []*wire.QuarantineMark { return e.crashes.marks.Export(now) }

// MergeMarks takes in the marks of another node and reports whether any was new.
func (e *Engine) MergeMarks(now time.Time, marks []*wire.QuarantineMark) bool {
	return e.crashes.marks.Merge(now, marks)
}
