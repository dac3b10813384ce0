package owner

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/limit"
	"github.com/fireflylanding/fireflylanding/internal/queue"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/stall"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// dialTimeout bounds a TCP connect to a searcher in this region.
	dialTimeout = 500 * time.Millisecond
	// leavingMemory is how long a searcher that said it is leaving gets no work although its endpoints and the list say
	// otherwise, since they lag or mislead. It ends earlier when the process is gone.
	leavingMemory = 10 * time.Minute
	// latencySamples and latencyAlpha set the sample of reply times, of which the last minutes dominate.
	latencySamples = 256
	latencyAlpha   = 0.015
	// maxReplyBytes bounds a searcher's reply.
	maxReplyBytes = 4 << 20
)

// errDial marks failures to connect, after which nothing was sent.
var errDial = errors.New("connect to searcher")

// station is the queue, the limit and the connections of one searcher.
type station struct {
	key      stationKey
	policies Settings
	clock    func() time.Time
	queue    *queue.Queue[*task]
	// pumping serializes the start of work.
	pumping  sync.Mutex
	inFlight atomic.Int64
	link     atomic.Pointer[link]
	latency  metrics.Sample

	// leavingUntil is the Unix time in nanoseconds until which the searcher's own word that it is leaving counts.
	leavingUntil atomic.Int64
	// vetted is set once the health endpoint was asked. No work starts before, since the searcher may be leaving already when this node
	// takes over from another owner.
	vetted atomic.Bool
	// listedLeaving is set while the VM list says that the searcher is leaving, or no index names it.
	listedLeaving atomic.Bool
	nextHealth    atomic.Int64
	probing       atomic.Bool
}

// link is what depends on the searcher's address and on this node's share of its connections. It is replaced as a whole.
type link struct {
	searcher shards.Searcher
	share    int
	limit    *limit.Limit
	client   *fasthttp.HostClient
	probe    *fasthttp.HostClient
	group    *stall.Group
}

func newStation(now time.Time, key stationKey, searcher shards.Searcher, share int, policies Settings, clock func() time.Time) *station {
	s := &station{
		key:      key,
		policies: policies,
		clock:    clock,
		queue:    queue.New[*task](policies.Queue),
		latency:  metrics.NewExpDecaySample(latencySamples, latencyAlpha),
	}
	// The first poll comes with the station.
	s.nextHealth.Store(now.Add(healthInterval).UnixNano())
	s.link.Store(newLink(searcher, share, policies, clock))
	return s
}

func newLink(searcher shards.Searcher, share int, policies Settings, clock func() time.Time) *link {
	group := stall.NewGroup(policies.Stall)
	policies.Limit.Slots = searcher.Slots()
	policies.Limit.Connections = share
	probe := newClient(searcher.Address(), 1, group, clock)
	// Several endpoint calls may need the one connection at once.
	probe.MaxConnWaitTimeout = endpointTimeout
	return &link{
		searcher: searcher,
		share:    share,
		limit:    limit.New(policies.Limit),
		client:   newClient(searcher.Address(), share, group, clock),
		probe:    probe,
		group:    group,
	}
}

// newClient returns a client that never repeats a request by itself.
func newClient(address string, connections int, group *stall.Group, clock func() time.Time) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      connections,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:           maxReplyBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		Dial: func(address string) (net.Conn, error) {
			var conn net.Conn
			var err error
			if conn, err = net.DialTimeout("tcp", address, dialTimeout); err != nil {
				return nil, errors.Mark(err, errDial)
			}
			return group.Wrap(conn, clock), nil
		},
	}
}

// relink replaces the link when the searcher's address, its size or this node's share changed. Requests in flight
// finish on the old one.
func (s *station) relink(searcher shards.Searcher, share int) {
	old := s.link.Load()
	if old.searcher == searcher && old.share == share {
		return
	}
	s.link.Store(newLink(searcher, share, s.policies, s.clock))
	old.close()
}

func (l *link) close() {
	l.client.CloseIdleConnections()
	l.probe.CloseIdleConnections()
}

func (s *station) close() { s.link.Load().close() }

func (s *station) idle() bool { return s.inFlight.Load() == 0 && s.queue.Waiting() == 0 }

// listed records what the VM list says.
func (s *station) listed(leaving bool) { s.listedLeaving.Store(leaving) }

// leavingNow reports whether the searcher must get no new work.
func (s *station) leavingNow(now time.Time) bool {
	return s.listedLeaving.Load() || now.UnixNano() < s.leavingUntil.Load()
}

// noteLeaving records the searcher's own word that it is leaving and reports whether that is news.
func (s *station) noteLeaving(now time.Time) bool {
	before := s.leavingUntil.Swap(now.Add(leavingMemory).UnixNano())
	return before < now.UnixNano()
}

// noteGone records that nothing listens at the address, so that a process that answers there later is another one.
func (s *station) noteGone() { s.leavingUntil.Store(0) }

// learn feeds the limit and the reply times.
func (s *station) learn(now time.Time, l *link, result outcome, took time.Duration) {
	switch result.reason {
	case wire.Reason_REASON_UNSPECIFIED:
		l.limit.Observe(now, limit.Completed{Latency: took, Service: result.service})
		s.latency.Update(took.Nanoseconds())
	case wire.Reason_REASON_CONNECTION_SILENT:
		// A judgement raises the time of the next one. Otherwise a searcher that became slow would be judged silent for ever.
		s.latency.Update(took.Nanoseconds())
	case wire.Reason_REASON_SEARCHER_SHED:
		l.limit.Observe(now, limit.Shed{})
	case wire.Reason_REASON_CONNECTION_LOST, wire.Reason_REASON_CONNECT_FAILED, wire.Reason_REASON_DEADLINE:
		l.limit.Observe(now, limit.Lost{})
	}
}

func (s *station) healthDue(now time.Time) bool {
	next := s.nextHealth.Load()
	if now.UnixNano() < next {
		return false
	}
	return s.nextHealth.CompareAndSwap(next, now.Add(healthInterval).UnixNano())
}

// load returns how many sub-requests wait for each one that may run, at most 1.
func (s *station) load(now time.Time) float64 {
	return min(1, float64(s.queue.Waiting())/float64(max(1, s.link.Load().limit.Allowed(now))))
}

// UpstreamState is what the status page shows of one searcher.
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

// Collection returns the collection.
func (s UpstreamState) Collection() string { return s.collection }

// Searcher returns the searcher's id.
func (s UpstreamState) Searcher() string { return s.searcher }

// Allowed returns the present concurrency limit.
func (s UpstreamState) Allowed() int { return s.allowed }

// InFlight returns the number of running sub-requests.
func (s UpstreamState) InFlight() int { return s.inFlight }

// Waiting returns the number of waiting sub-requests.
func (s UpstreamState) Waiting() int { return s.waiting }

// Connections returns the number of open connections.
func (s UpstreamState) Connections() int { return s.connections }

// Share returns the number of connections that this node may open.
func (s UpstreamState) Share() int { return s.share }

// Leaving reports whether the searcher gets no new work.
func (s UpstreamState) Leaving() bool { return s.leaving }

func (s *station) state(now time.Time) UpstreamState {
	l := s.link.Load()
	return UpstreamState{
		collection:  s.key.collection,
		searcher:    s.key.searcher,
		allowed:     l.limit.Allowed(now),
		inFlight:    int(s.inFlight.Load()),
		waiting:     s.queue.Waiting(),
		connections: l.group.Len(),
		share:       l.share,
		leaving:     s.leavingNow(now),
	}
}
