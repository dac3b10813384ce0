package spread

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/plat"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// outcome classifies the result of a call to the configuration service.
type outcome int

const (
	// outcomeNewRevision means a revision higher than all seen before, whether valid or not.
	outcomeNewRevision outcome = iota
	// outcomeUnchanged means that there was no change or that the revision was seen before.
	outcomeUnchanged
	// outcomeStale means a revision lower than the one in force.
	outcomeStale
	outcomeUnknownKey
	outcomeRateLimited
	outcomeUnavailable
	// outcomeCancelled means that the context was done.
	outcomeCancelled
)

// downAfterFailures is the number of consecutive calls without an answer after which the service is reported as down.
const downAfterFailures = 2

// platform calls the configuration service and offers the returned values to the store.
type platform struct {
	engine *Engine
	source Source

	mu       sync.Mutex
	failures int
	down     bool
	// stale holds the keys whose last value from the service had a lower revision than the one in force.
	stale map[string]bool
}

func newPlatform(e *Engine, source Source) *platform {
	return &platform{engine: e, source: source, stale: make(map[string]bool)}
}

// read reads the current value of a key and offers it to the store.
func (p *platform) read(ctx context.Context, key string) outcome {
	counter := p.engine.counts.read
	counter.calls.Inc(1)
	value, err := p.source.Read(ctx, key)
	return p.handleResponse(ctx, counter, key, value, true, err)
}

// watch waits for a revision other than the last one seen and offers it to the store.
func (p *platform) watch(ctx context.Context, key string) outcome {
	counter := p.engine.counts.watch
	counter.calls.Inc(1)
	after := p.engine.store.Seen(key)
	value, changed, err := p.source.Watch(ctx, key, after, p.engine.settings.WatchWait)
	return p.handleResponse(ctx, counter, key, value, changed, err)
}

// handleResponse counts and classifies the result of a call, and offers a returned value to the store.
func (p *platform) handleResponse(ctx context.Context, c counter, key string, value plat.Value, changed bool, err error) outcome {
	if err != nil {
		c.failures.Inc(1)
		return p.handleError(ctx, key, err)
	}
	p.recordAnswer()
	if !changed {
		return outcomeUnchanged
	}
	c.bytesIn.Inc(int64(len(value.Data())))
	return p.offerToStore(p.engine.clock(), key, value)
}

// handleError classifies an error. A refusal or an unknown key counts as an answer of the service.
func (p *platform) handleError(ctx context.Context, key string, err error) outcome {
	if ctx.Err() != nil {
		return outcomeCancelled
	}
	var unknown *plat.UnknownKeyError
	var rateLimited *plat.RateLimitedError
	switch {
	case errors.As(err, &unknown):
		p.recordAnswer()
		p.engine.keys.recordUnknown(key)
		return outcomeUnknownKey
	case errors.As(err, &rateLimited):
		p.recordAnswer()
		return outcomeRateLimited
	default:
		p.recordFailure(err)
		return outcomeUnavailable
	}
}

// offerToStore offers a value to the store if its revision was not seen before.
func (p *platform) offerToStore(now time.Time, key string, value plat.Value) outcome {
	e := p.engine
	if p.reportStale(key, value.Revision()) {
		return outcomeStale
	}
	if value.Revision() <= e.store.Seen(key) {
		return outcomeUnchanged
	}
	doc, err := ParseDocument(key, value.Revision(), value.Data())
	if err != nil {
		e.handleStoreResult(key, value.Revision(), e.store.RejectValue(now, key, value.Revision(), err), true)
		return outcomeNewRevision
	}
	e.handleStoreResult(key, doc.Revision(), e.store.Accept(now, doc), true)
	return outcomeNewRevision
}

// reportStale reports whether a revision is lower than the one in force, and logs the first of consecutive stale values of a key.
func (p *platform) reportStale(key string, revision uint64) bool {
	inForce := p.engine.store.Get(key).Revision()
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision >= inForce {
		delete(p.stale, key)
		return false
	}
	if !p.stale[key] {
		p.stale[key] = true
		p.engine.log.Log(wire.Event_EVENT_DOCUMENT_STALE, zap.String("key", key), zap.Uint64("revision", revision),
			zap.Uint64("in_force", inForce))
	}
	return true
}

// recordAnswer records that the service answered, and logs its recovery if it was down.
func (p *platform) recordAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	if p.down {
		p.down = false
		p.engine.log.Log(wire.Event_EVENT_PLATFORM_UP)
	}
}

// recordFailure records a call without an answer, and logs the service as down after downAfterFailures of them.
func (p *platform) recordFailure(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	if p.failures >= downAfterFailures && !p.down {
		p.down = true
		p.engine.log.Log(wire.Event_EVENT_PLATFORM_DOWN, zap.Error(err))
	}
}
