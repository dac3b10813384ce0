// Package pace keeps the requests of all nodes together within the limit that a searcher names in its replies. Each node takes a share that
// it computes from the limit and from the nodes that it knows, so that nodes need not agree on it by messages.
package pace

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Pacer is this node's share of the limit of one searcher. It is safe for concurrent use.
type Pacer struct {
	searcher string
	region   string
	// tokens holds the requests that this node may send now, nil while the searcher names no limit.
	tokens atomic.Pointer[rate.Limiter]

	mu      sync.Mutex
	limit   Limit
	members *Members
	// namedAt is when the last reply that named a limit arrived.
	namedAt time.Time
}

// New returns the pacer of a searcher in a region. Until a limit is named it allows everything.
func New(searcher, region string) *Pacer {
	return &Pacer{searcher: searcher, region: region, members: &Members{}}
}

// Limit returns the limit that the searcher names.
func (p *Pacer) Limit() Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// Available reports whether a request may be sent.
func (p *Pacer) Available(now time.Time) bool {
	tokens := p.tokens.Load()
	return tokens == nil || tokens.TokensAt(now) >= 1
}

// Take reports whether a request may be sent, and counts it if so.
func (p *Pacer) Take(now time.Time) bool {
	tokens := p.tokens.Load()
	return tokens == nil || tokens.AllowN(now, 1)
}

// Observe records what the reply to a request that was sent at sentAt says about the limit. It reports whether a limit was named for the first
// time, or is named no longer. A reply without a limit may have left the searcher before one with a limit that arrived earlier, so it counts
// only if its request was sent after that.
func (p *Pacer) Observe(now, sentAt time.Time, limit Limit) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !limit.named {
		if !p.limit.named || sentAt.Before(p.namedAt) {
			return false
		}
		p.limit = limit
		p.tokens.Store(nil)
		return true
	}
	p.namedAt = now
	if limit == p.limit {
		return false
	}
	first := !p.limit.named
	p.limit = limit
	p.update(now)
	return first
}

// SetMembers sets the nodes that share the limit.
func (p *Pacer) SetMembers(now time.Time, members *Members) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if members == p.members {
		return
	}
	p.members = members
	if p.limit.named {
		p.update(now)
	}
}

// update recomputes this node's share. The caller must hold mu.
func (p *Pacer) update(now time.Time) {
	share := rate.Limit(p.members.rate(p.limit.perSecond, p.searcher, p.region))
	if tokens := p.tokens.Load(); tokens != nil {
		tokens.SetLimitAt(now, share)
		return
	}
	tokens := rate.NewLimiter(share, nodeBurst)
	// The request whose reply named the limit has used what was there.
	tokens.AllowN(now, nodeBurst)
	p.tokens.Store(tokens)
}
