// Package pace keeps requests within what a searcher asks for in its replies: a limit on the requests of all nodes together, and a time in
// which it wants none from this node. It also limits the requests to a searcher that warms up. Each node takes a share of a limit that it
// computes from the limit and from the nodes that it knows, so that nodes need not agree on it by messages.
package pace

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflylanding/fireflylanding/internal/mono"
)

// Pacer is what one searcher asks of this node. It is safe for concurrent use.
type Pacer struct {
	searcher string
	region   string
	// tokens holds the requests that this node may send now, nil while the searcher names no limit.
	tokens atomic.Pointer[rate.Limiter]
	// pausedUntil is the time until which the searcher wants no requests from this node, as package mono has it; 0 means that it never asked.
	pausedUntil atomic.Int64
	// cold holds this node's share while the searcher warms up and is limited, nil otherwise.
	cold atomic.Pointer[coldBucket]

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

// maxPause bounds the pause that a reply may ask for, since a wrong one would take the searcher out of use for good.
const maxPause = 5 * time.Minute

// Pause records that the searcher wants no requests from this node for a while, and reports whether it is not paused yet. A shorter pause
// does not end a longer one.
func (p *Pacer) Pause(now time.Time, pause time.Duration) (first bool) {
	until := mono.Nanos(now.Add(min(pause, maxPause)))
	for {
		known := p.pausedUntil.Load()
		if known >= until {
			return false
		}
		if p.pausedUntil.CompareAndSwap(known, until) {
			return known <= mono.Nanos(now)
		}
	}
}

// Paused reports whether the searcher wants no requests from this node now.
func (p *Pacer) Paused(now time.Time) bool { return p.pausedUntil.Load() > mono.Nanos(now) }

// Available reports whether a request may be sent as far as the searcher's replies go.
func (p *Pacer) Available(now time.Time) bool {
	if p.Paused(now) {
		return false
	}
	tokens := p.tokens.Load()
	return tokens == nil || tokens.TokensAt(now) >= 1
}

// Take reports whether a request may be sent, and counts it if so.
func (p *Pacer) Take(now time.Time) bool {
	if !p.Available(now) {
		return false
	}
	if bucket := p.cold.Load(); bucket != nil && !bucket.take(now) {
		return false
	}
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
