package owner

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/limit"
	"github.com/fireflylanding/fireflylanding/internal/meter"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/queue"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/stall"
	"github.com/fireflylanding/fireflylanding/internal/strict"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// dialTimeout limits a TCP connect to a searcher, normally one in this region.
	dialTimeout = 500 * time.Millisecond
	// leavingTTL is how long a searcher that reported it is leaving gets no new work even if its endpoints and the VM list
	// say otherwise, since they may lag or be wrong. The period ends earlier if a connection attempt shows that the process
	// is gone.
	leavingTTL = 10 * time.Minute
	// latencySamples and latencyAlpha configure the sample of reply times, which is weighted towards the last minutes.
	latencySamples = 256
	latencyAlpha   = 0.015
	// maxReplyBytes is the maximum size of a searcher's reply, and replyMemory the bytes that all replies in reading may take.
	maxReplyBytes = 4 << 20
	replyMemory   = 8 << 20
	// maxHitBytes is more than a hit of a reply takes, with an id of the usual length.
	maxHitBytes = 128
)

// errDial marks errors of connection attempts, after which nothing was sent.
var errDial = errors.New("connect to searcher")

// upstream holds the queue, the concurrency limit and the connections of one searcher.
type upstream struct {
	key      upstreamKey
	settings Settings
	clock    func() time.Time
	replies  replyReader
	queue    *queue.Queue[*task]
	// dispatchMu serializes Owner.dispatch.
	dispatchMu sync.Mutex
	inFlight   atomic.Int64
	pool       atomic.Pointer[connPool]
	latency    metrics.Sample

	// leavingUntil is the Unix time in nanoseconds until which the searcher's own report that it is leaving is in effect.
	leavingUntil atomic.Int64
	// dispatchEnabled is set once the health endpoint was polled or the first poll took too long. No sub-request starts before, since the
	// searcher may already be leaving when this node takes over from another owner.
	dispatchEnabled atomic.Bool
	// listedLeaving is set while the VM list marks the searcher as leaving or no index names it.
	listedLeaving atomic.Bool
	nextHealth    atomic.Int64
	probing       atomic.Bool
}

// replyReader reads the replies of all upstreams within a common budget.
type replyReader struct {
	budget    *meter.Budget
	transport *strict.Transport
}

func newReplyReader() replyReader {
	return replyReader{budget: meter.NewBudget(replyMemory), transport: strict.NewTransport(maxReplyBytes)}
}

// connPool holds what depends on the searcher's address and size and on this node's share of its connections. It is replaced as a whole
// when one of them changes.
type connPool struct {
	searcher shards.Searcher
	share    int
	limit    *limit.Limit
	client   *fasthttp.HostClient
	probe    *fasthttp.HostClient
	group    *stall.Group
}

func newUpstream(now time.Time, key upstreamKey, searcher shards.Searcher, share int, settings Settings, clock func() time.Time, replies replyReader) *upstream {
	u := &upstream{
		key:      key,
		settings: settings,
		clock:    clock,
		replies:  replies,
		queue:    queue.New[*task](settings.Queue),
		latency:  metrics.NewExpDecaySample(latencySamples, latencyAlpha),
	}
	// The owner does the first poll when it creates the upstream.
	u.nextHealth.Store(now.Add(healthInterval).UnixNano())
	u.pool.Store(newConnPool(searcher, share, settings, clock, replies))
	return u
}

func newConnPool(searcher shards.Searcher, share int, settings Settings, clock func() time.Time, replies replyReader) *connPool {
	group := stall.NewGroup(settings.Stall)
	settings.Limit.Slots = searcher.Slots()
	settings.Limit.Connections = share
	dial := replies.budget.Dialer(func(_ context.Context, address string) (net.Conn, error) {
		var conn net.Conn
		var err error
		if conn, err = net.DialTimeout("tcp", address, dialTimeout); err != nil {
			return nil, errors.Mark(err, errDial)
		}
		return group.Wrap(conn, clock), nil
	})
	probe := newClient(searcher.Address(), 1, dial, replies.transport)
	// Several endpoint calls may need the only connection at the same time.
	probe.MaxConnWaitTimeout = endpointTimeout
	return &connPool{
		searcher: searcher,
		share:    share,
		limit:    limit.New(settings.Limit),
		client:   newClient(searcher.Address(), share, dial, replies.transport),
		probe:    probe,
		group:    group,
	}
}

// newClient returns a client that never retries a request.
func newClient(address string, connections int, dial pool.Dial, transport *strict.Transport) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      connections,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Transport:                     transport,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		// dialTimeout bounds the dial.
		Dial: func(address string) (net.Conn, error) { return dial(context.Background(), address) },
	}
}

// updatePool replaces the pool if the searcher's address, its size or this node's share has changed. Requests in flight
// finish on the old pool.
func (u *upstream) updatePool(searcher shards.Searcher, share int) {
	old := u.pool.Load()
	if old.searcher == searcher && old.share == share {
		return
	}
	u.pool.Store(newConnPool(searcher, share, u.settings, u.clock, u.replies))
	old.close()
}

func (p *connPool) close() {
	p.client.CloseIdleConnections()
	p.probe.CloseIdleConnections()
}

func (u *upstream) close() { u.pool.Load().close() }

// idle reports whether no sub-request waits or runs.
func (u *upstream) idle() bool { return u.inFlight.Load() == 0 && u.queue.Waiting() == 0 }

// setListedLeaving records whether the view says that the searcher must get no new work.
func (u *upstream) setListedLeaving(leaving bool) { u.listedLeaving.Store(leaving) }

// isLeaving reports whether the searcher must get no new work because it is leaving or no longer listed.
func (u *upstream) isLeaving(now time.Time) bool {
	return u.listedLeaving.Load() || now.UnixNano() < u.leavingUntil.Load()
}

// markLeaving records the searcher's own report that it is leaving, and reports whether no such report was in effect before.
func (u *upstream) markLeaving(now time.Time) bool {
	before := u.leavingUntil.Swap(now.Add(leavingTTL).UnixNano())
	return before < now.UnixNano()
}

// clearLeaving ends the effect of the searcher's report that it is leaving. It is called when a connection attempt has failed: a process
// that accepts connections at the address later is a new one.
func (u *upstream) clearLeaving() { u.leavingUntil.Store(0) }

// observe updates the concurrency limit and the sample of reply times with an outcome.
func (u *upstream) observe(now time.Time, p *connPool, result outcome, elapsed time.Duration) {
	switch result.reason {
	case wire.Reason_REASON_UNSPECIFIED:
		p.limit.Observe(now, limit.Completed{Latency: elapsed, Service: result.service})
		u.latency.Update(elapsed.Nanoseconds())
	case wire.Reason_REASON_CONNECTION_SILENT:
		// The elapsed time raises the limit for silent connections. Otherwise the connections of a searcher that became slow would be
		// closed as silent forever.
		u.latency.Update(elapsed.Nanoseconds())
	case wire.Reason_REASON_SEARCHER_SHED:
		p.limit.Observe(now, limit.Shed{})
	case wire.Reason_REASON_CONNECTION_LOST, wire.Reason_REASON_CONNECT_FAILED, wire.Reason_REASON_DEADLINE, wire.Reason_REASON_REPLY_MALFORMED,
		wire.Reason_REASON_REPLY_TOO_LONG:
		p.limit.Observe(now, limit.Lost{})
	}
}

// healthDue reports whether a health poll is due, and if so schedules the next one.
func (u *upstream) healthDue(now time.Time) bool {
	next := u.nextHealth.Load()
	if now.UnixNano() < next {
		return false
	}
	return u.nextHealth.CompareAndSwap(next, now.Add(healthInterval).UnixNano())
}

// load returns the number of waiting sub-requests per allowed concurrent one, at most 1.
func (u *upstream) load(now time.Time) float64 {
	return min(1, float64(u.queue.Waiting())/float64(max(1, u.pool.Load().limit.Allowed(now))))
}

// UpstreamState is the state of one upstream as shown on the status page.
type UpstreamState struct {
	collection  string
	searcher    string
	allowed     int
	inFlight    int
	waiting     int
	connections int
	share       int
	leaving     bool
}

// Collection returns the name of the searcher's collection.
func (s UpstreamState) Collection() string { return s.collection }

// Searcher returns the searcher's id.
func (s UpstreamState) Searcher() string { return s.searcher }

// Allowed returns the current concurrency limit.
func (s UpstreamState) Allowed() int { return s.allowed }

// InFlight returns the number of running sub-requests.
func (s UpstreamState) InFlight() int { return s.inFlight }

// Waiting returns the number of waiting sub-requests.
func (s UpstreamState) Waiting() int { return s.waiting }

// Connections returns the number of open connections.
func (s UpstreamState) Connections() int { return s.connections }

// Share returns the maximum number of connections that this node may open.
func (s UpstreamState) Share() int { return s.share }

// Leaving reports whether the searcher gets no new work.
func (s UpstreamState) Leaving() bool { return s.leaving }

func (u *upstream) state(now time.Time) UpstreamState {
	p := u.pool.Load()
	return UpstreamState{
		collection:  u.key.collection,
		searcher:    u.key.searcher,
		allowed:     p.limit.Allowed(now),
		inFlight:    int(u.inFlight.Load()),
		waiting:     u.queue.Waiting(),
		connections: p.group.Len(),
		share:       p.share,
		leaving:     u.isLeaving(now),
	}
}
