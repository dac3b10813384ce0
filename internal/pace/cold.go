package pace

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/mono"
)

const (
	// arrivalWindow is the time over which requests may have been chosen that arrive within one second: the second, coldSendTime, and 400 ms
	// for the jitter of the network and for a searcher that pauses (up to 300 ms) and reads what arrived meanwhile at once.
	arrivalWindow = 1500 * time.Millisecond
	// coldSendTime is the time within which a request to a cold searcher must be sent after it was chosen, so that requests that wait for a
	// connection do not arrive together. Opening a connection to another region takes up to 40 ms.
	coldSendTime = 100 * time.Millisecond
	// coldRateShare is the fraction of the rate of a cold searcher that the nodes use together at the end of its warm-up, and coldStartShare the
	// fraction of this at the beginning. The rest is for requests of nodes that do not know yet that their share has changed.
	coldRateShare  = 0.8
	coldStartShare = 0.5
	// boundPerSharer is the part of the bound for each node that may send to a cold searcher. Each may have saved a request, so that with n such
	// nodes up to n + coldRateShare * rate * arrivalWindow requests arrive in a second. With five requests of the bound a node, at most
	// maxColdSharing nodes, and a rate that is lowered if necessary, this is below the bound.
	boundPerSharer = 5.0
	maxColdSharing = 8
)

// Allowance is how far the arrivals of a second at a cold searcher may exceed its rate: at most rate * Overshoot + Slack requests.
type Allowance struct {
	Overshoot float64
	Slack     float64
}

// DefaultAllowance allows no more than the rate.
var DefaultAllowance = Allowance{Overshoot: 1}

// coldPlan is how the nodes together use a cold searcher: so many nodes share so many requests a second.
type coldPlan struct {
	sharing   int
	perSecond float64
}

// plan returns how the present share of all nodes uses a cold searcher that takes perSecond requests a second. The rest may be cut off, and
// then sends its own part, so that the sum over parts that do not know each other is within the bound.
func (a Allowance) plan(perSecond, present float64) coldPlan {
	bound := math.Floor(perSecond*a.Overshoot + a.Slack)
	sharing := min(max(math.Floor(bound/boundPerSharer), 1), maxColdSharing)
	// The margin keeps rounding from admitting one request more.
	const margin = 0.98
	room := bound - sharing
	if sharing == 1 {
		// A single node sends at most 1 + floor(rate * arrivalWindow) requests, which is the bound as long as the product is below it.
		room = bound
	}
	rate := min(coldRateShare*perSecond, margin*room/arrivalWindow.Seconds())
	p := coldPlan{sharing: sharers(sharing, present), perSecond: rate * present}
	if bound < 1 {
		p.sharing = 0
	}
	return p
}

// sharers returns how many of the sharing nodes the present share of all nodes has. A majority rounds up and any other part down, so that the sum
// over parts that do not know each other is at most sharing, and the loss of a single node does not leave a searcher without any.
func sharers(sharing, present float64) int {
	const rounding = 1e-9
	if present > 0.5 {
		return int(math.Ceil(sharing*present - rounding))
	}
	return int(sharing*present + rounding)
}

// Cold is a searcher that warms up.
type Cold struct {
	// PerSecond is the rate that it takes from all nodes together; 0 means that nothing limits it.
	PerSecond float64
	// Until is when it is warm, and Length how long the whole warm-up takes.
	Until  time.Time
	Length time.Duration
}

// in reports whether the searcher is limited at a time.
func (c Cold) in(now time.Time) bool { return c.PerSecond > 0 && now.Before(c.Until) }

// startShare returns the fraction of the rate that is used at a time. It rises towards the end of the warm-up.
func (c Cold) startShare(now time.Time) float64 {
	if c.Length <= 0 {
		return coldStartShare
	}
	left := min(max(float64(c.Until.Sub(now))/float64(c.Length), 0), 1)
	return 1 - (1-coldStartShare)*left
}

// coldBucket holds this node's requests to a cold searcher apart from each other. Unlike a rate.Limiter it gives no room twice if its
// callers' times are out of order.
type coldBucket struct {
	since time.Time
	// until and nextAt are times as package mono has them. interval is the time between two requests, 0 without a share.
	until    atomic.Int64
	interval atomic.Int64
	nextAt   atomic.Int64
}

func (c *coldBucket) setRate(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		c.interval.Store(0)
		return
	}
	interval := int64(float64(time.Second) / perSecond)
	if c.interval.Load() == 0 {
		// Nothing is saved up before the share is known, so that a node that restarts does not send more.
		c.nextAt.Store(max(c.nextAt.Load(), mono.Nanos(now)+interval))
	}
	c.interval.Store(interval)
}

func (c *coldBucket) ended(now time.Time) bool { return mono.Nanos(now) >= c.until.Load() }

// room reports whether a request may be sent.
func (c *coldBucket) room(now time.Time) bool {
	return c.ended(now) || (c.interval.Load() > 0 && mono.Nanos(now) >= c.nextAt.Load())
}

// take reports whether a request may be sent, and counts it if so.
func (c *coldBucket) take(now time.Time) bool {
	for {
		next := c.nextAt.Load()
		switch interval := c.interval.Load(); {
		case c.ended(now):
			return true
		case interval == 0 || mono.Nanos(now) < next:
			return false
		case c.nextAt.CompareAndSwap(next, mono.Nanos(now)+interval):
			return true
		}
	}
}

// Cold reports whether the searcher is cold and limited.
func (p *Pacer) Cold(now time.Time) bool {
	bucket := p.cold.Load()
	return bucket != nil && !bucket.ended(now)
}

// ColdLeft returns how much longer the searcher is cold, 0 if it is warm or not limited.
func (p *Pacer) ColdLeft(now time.Time) time.Duration {
	bucket := p.cold.Load()
	if bucket == nil {
		return 0
	}
	return max(time.Duration(bucket.until.Load()-mono.Nanos(now)), 0)
}

// ColdShare returns the requests a second that this node may send to the cold searcher, 0 if none.
func (p *Pacer) ColdShare() float64 {
	bucket := p.cold.Load()
	if bucket == nil {
		return 0
	}
	interval := bucket.interval.Load()
	if interval == 0 {
		return 0
	}
	return float64(time.Second) / float64(interval)
}

// ColdRoom reports whether the searcher is not cold or takes a request of this node now.
func (p *Pacer) ColdRoom(now time.Time) bool {
	bucket := p.cold.Load()
	return bucket == nil || bucket.room(now)
}

// MaySend reports whether a request for which room was taken at a time may still be sent. For a cold searcher it may not if it is late, or if
// the searcher was not cold yet.
func (p *Pacer) MaySend(now, takenAt time.Time) bool {
	bucket := p.cold.Load()
	return bucket == nil || bucket.ended(now) || (!takenAt.Before(bucket.since) && now.Sub(takenAt) <= coldSendTime)
}

// SetCold sets until when the searcher is cold, and this node's share of its rate. It is called again as time passes, since the share changes.
func (p *Pacer) SetCold(now time.Time, cold Cold, views *Views, allowance Allowance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bucket := p.cold.Load()
	if !cold.in(now) {
		if bucket != nil {
			p.cold.Store(nil)
		}
		return
	}
	begins := bucket == nil || bucket.ended(now)
	if begins {
		bucket = &coldBucket{since: now}
	}
	bucket.until.Store(mono.Nanos(cold.Until))
	bucket.setRate(now, cold.startShare(now)*views.share(now, p.region, cold.PerSecond, allowance))
	if begins {
		p.cold.Store(bucket)
	}
}
