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

// outcome is what a call of the configuration service brought.
type outcome int

const (
	// outcomeNews is a revision above those seen.
	outcomeNews outcome = iota
	// outcomeSame is no change, or the revision that is in force.
	outcomeSame
	// outcomeStale is a revision below the one in force.
	outcomeStale
	outcomeUnknownKey
	outcomeOverRate
	outcomeUnavailable
	// outcomeEnded says that the context ended.
	outcomeEnded
)

// downAfter is the number of calls in a row without an answer after which the service counts as down.
const downAfter = 2

// platform calls the configuration service and offers what it serves to the store.
type platform struct {
	engine *Engine
	source Source

	mu       sync.Mutex
	failures int
	down     bool
	// stale holds the keys for which the service served an older revision since the last good one.
	stale map[string]bool
}

func newPlatform(e *Engine, source Source) *platform {
	return &platform{engine: e, source: source, stale: make(map[string]bool)}
}

// read offers the present value of a key to the store.
func (p *platform) read(ctx context.Context, key string) outcome {
	counter := p.engine.counts.read
	counter.calls.Inc(1)
	value, err := p.source.Read(ctx, key)
	return p.settle(ctx, counter, key, value, true, err)
}

// watch waits for a revision above those seen and offers it to the store.
func (p *platform) watch(ctx context.Context, key string) outcome {
	counter := p.engine.counts.watch
	counter.calls.Inc(1)
	after := p.engine.store.Seen(key)
	value, changed, err := p.source.Watch(ctx, key, after, p.engine.settings.WatchWait)
	return p.settle(ctx, counter, key, value, changed, err)
}

func (p *platform) settle(ctx context.Context, c counter, key string, value plat.Value, changed bool, err error) outcome {
	if err != nil {
		c.failures.Inc(1)
		return p.settleError(ctx, key, err)
	}
	p.answered()
	if !changed {
		return outcomeSame
	}
	c.bytesIn.Inc(int64(len(value.Data())))
	return p.offer(p.engine.clock(), key, value)
}

func (p *platform) settleError(ctx context.Context, key string, err error) outcome {
	if ctx.Err() != nil {
		return outcomeEnded
	}
	var unknown *plat.UnknownKeyError
	var overRate *plat.RateLimitedError
	switch {
	case errors.As(err, &unknown):
		p.answered()
		p.engine.keys.notFound(key)
		return outcomeUnknownKey
	case errors.As(err, &overRate):
		p.answered()
		return outcomeOverRate
	default:
		p.failed(err)
		return outcomeUnavailable
	}
}

func (p *platform) offer(now time.Time, key string, value plat.Value) outcome {
	e := p.engine
	if p.reportStale(key, value.Revision()) {
		return outcomeStale
	}
	if value.Revision() <= e.store.Seen(key) {
		return outcomeSame
	}
	doc, err := ParseDocument(key, value.Revision(), value.Data())
	if err != nil {
		e.settle(key, value.Revision(), e.store.RejectValue(now, key, value.Revision(), err), true)
		return outcomeNews
	}
	e.settle(key, doc.Revision(), e.store.Accept(now, doc), true)
	return outcomeNews
}

// reportStale reports whether a revision is below the one in force, and logs the first of a row.
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

func (p *platform) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	if p.down {
		p.down = false
		p.engine.log.Log(wire.Event_EVENT_PLATFORM_UP)
	}
}

func (p *platform) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	if p.failures >= downAfter && !p.down {
		p.down = true
		p.engine.log.Log(wire.Event_EVENT_PLATFORM_DOWN, zap.Error(err))
	}
}
