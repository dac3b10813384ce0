package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// warmth is what a node knows of the warm-up of a searcher.
type warmth struct {
	// appearedAt is when the searcher started or became usable again, the zero time if that is long ago.
	appearedAt time.Time
	// revision is that of the latest registration. It stated that the searcher is cold until registeredUntil.
	revision        epoch.Revision
	registeredUntil time.Time
}

const (
	// maxClockAhead is how far the clock of a searcher may be ahead of this node's for its start to be taken as recent. Clocks differ by
	// seconds; without the bound, a node whose clock is far behind would take all searchers for cold.
	maxClockAhead = 10 * time.Second
	// maxAge is the age from which on a searcher is warm, whatever its service.
	maxAge = time.Hour
)

// newWarmth returns the warmth of a searcher that this node did not use before. appeared is set unless it was registered when the node started.
// Its start counts only then, and once, since the clocks of the machines may differ and jump.
func newWarmth(now time.Time, s *fleet.Searcher, appeared bool) warmth {
	age := now.Sub(time.UnixMilli(s.Started()))
	switch {
	case appeared:
		return warmth{appearedAt: now}
	case age > -maxClockAhead && age < maxAge:
		return warmth{appearedAt: now.Add(-max(age, 0))}
	default:
		return warmth{}
	}
}

// observe records a registration. What it states counts from now on, since the age of the statement is not known.
func (w *warmth) observe(now time.Time, s *fleet.Searcher) {
	if w.revision == s.Revision() {
		return
	}
	w.revision = s.Revision()
	if until := now.Add(s.WarmupLeft()); s.WarmupLeft() > 0 && until.After(w.registeredUntil) {
		w.registeredUntil = until
	}
}

// cold returns until when the searcher is cold: by its registrations, and by when it started or became usable.
func (w *warmth) cold(warmup route.Warmup) pace.Cold {
	c := pace.Cold{PerSecond: warmup.PerSecond, Until: w.registeredUntil, Length: warmup.Duration}
	if !w.appearedAt.IsZero() {
		c.Until = later(c.Until, w.appearedAt.Add(warmup.Duration))
	}
	return c
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateCold sets until when the searcher of an endpoint is cold, and this node's share of its rate.
func (b *balancer) updateCold(now time.Time, ep *endpoint, table *route.Table) {
	service, ok := table.Service(ep.searcher.Service())
	if !ok {
		return
	}
	ep.pacer.SetCold(now, ep.warmth.cold(service.Warmup()), b.views, *b.allowance.Load())
}

// SetColdAllowance sets how far the requests of a second to a cold searcher may exceed its rate.
func (e *Engine) SetColdAllowance(a pace.Allowance) { e.balancer.allowance.Store(&a) }

// observeCold logs the searchers that have become cold or warm.
func (e *Engine) observeCold(now time.Time) {
	cold := int64(0)
	for _, ep := range e.balancer.current.Load().byKey {
		isCold := ep.pacer.Cold(now)
		if isCold {
			cold++
		}
		if ep.cold.Swap(isCold) == isCold {
			continue
		}
		event := wire.Event_EVENT_SEARCHER_WARM
		if isCold {
			event = wire.Event_EVENT_SEARCHER_COLD
		}
		e.logger.Log(event, zap.String("searcher", ep.searcher.ID()), zap.String("service", ep.searcher.Service()),
			zap.Int64("left_ms", ep.pacer.ColdLeft(now).Milliseconds()))
	}
	e.coldSearchers.Update(cold)
}
