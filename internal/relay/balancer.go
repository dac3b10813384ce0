package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/reach"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

// endpoint is one searcher process with its connection pool and its health record.
type endpoint struct {
	searcher *fleet.Searcher
	pool     *pool.Pool
	tracker  *health.Tracker
	// pacer holds this node's share of the limit that the searcher names.
	pacer *pace.Pacer
	// link holds the evidence on whether this node reaches the searcher.
	link *reach.Link
	// warmth is guarded by the lock of the balancer. cold is set while the searcher was last seen as cold.
	warmth warmth
	cold   atomic.Bool
	// load counts the bytes of the requests in flight to the searcher.
	load requestLoad
	// nextWarmAt is the earliest time for opening the next connection in advance; only the node's tick uses it.
	nextWarmAt time.Time
	// nextProbeAt is the earliest time for opening the next connection to learn whether the searcher is reached; only the node's tick uses it.
	nextProbeAt time.Time
	// probing is set while a liveness probe of the searcher runs.
	probing atomic.Bool
	// replaced is set once a different process has answered at the searcher's address.
	replaced atomic.Bool
	// leaving is set once a reply of the searcher stated that it leaves. A process that leaves does not come back.
	leaving atomic.Bool
}

// leave stops sending requests to the searcher, and reports whether this is new. Requests that wait for a connection go elsewhere.
func (ep *endpoint) leave() bool {
	if !ep.leaving.CompareAndSwap(false, true) {
		return false
	}
	ep.pool.Close()
	return true
}

// setLimit sets the number of connections that this node may open to the searcher.
func (ep *endpoint) setLimit(limit int) {
	ep.pool.SetLimit(limit)
	ep.tracker.SetConcurrency(min(ep.searcher.Slots(), limit))
}

// endpointTable is an immutable index of the endpoints by key and by service.
type endpointTable struct {
	byKey     map[fleet.Key]*endpoint
	byService map[string][]*endpoint
	// evacuated maps each service to the regions in which it has searchers in evacuated availability zones.
	evacuated map[string][]string
	table     *route.Table
}

// hasEvacuated reports whether a service has searchers in evacuated availability zones of its home regions.
func (t *endpointTable) hasEvacuated(service string, homes route.Homes) bool {
	return slices.ContainsFunc(t.evacuated[service], homes.Allow)
}

// Location is the placement of a node, and the region of every availability zone.
type Location struct {
	// Zone and Region are those of this node. Regions maps each availability zone to its region.
	Zone    string
	Region  string
	Regions map[string]string
}

const (
	// Round-trip estimates for a zone or region to which no connection has been opened yet.
	defaultZoneRoundTrip   = time.Millisecond
	defaultRegionRoundTrip = 30 * time.Millisecond
	// sameRegionShare is the fraction of a searcher's connections that the nodes of its own region share; otherRegionsShare is the fraction
	// for all other nodes.
	sameRegionShare   = 0.5
	otherRegionsShare = 0.45
	// leftTTL is how long a process that left is remembered after its registration ended.
	leftTTL = time.Minute
	// warmInterval is the minimum time between two connections that are opened in advance to the same searcher.
	warmInterval = 2 * time.Second
)

// balancer holds the endpoints of all searchers and chooses among them. Readers load a snapshot; a single writer replaces it.
type balancer struct {
	location Location
	dial     pool.Dial
	clock    func() time.Time
	current  atomic.Pointer[endpointTable]
	// nodes counts the nodes that share the connections.
	nodes atomic.Pointer[NodeCounts]
	// left holds the processes that stated that they leave and are not registered any more, by the time at which they were dropped, since a
	// registration may come back. Only update uses it.
	left map[fleet.Key]time.Time
	// roundTrips maps a region to the shortest time (time.Duration) that opening a connection to it took.
	roundTrips sync.Map
	// views holds the nodes that share cold searchers, and allowance how far these may be exceeded.
	views     *pace.Views
	allowance atomic.Pointer[pace.Allowance]
	// warmthMu guards the warmth of the endpoints. populated is set once the searchers are known that were registered when this node started.
	warmthMu  sync.Mutex
	populated bool
}

func newBalancer(location Location, dial pool.Dial, clock func() time.Time) *balancer {
	b := &balancer{location: location, dial: dial, clock: clock, left: make(map[fleet.Key]time.Time), views: pace.NewViews()}
	b.allowance.Store(&pace.DefaultAllowance)
	b.current.Store(&endpointTable{})
	b.nodes.Store(&NodeCounts{Discovering: true, Members: &pace.Members{}})
	return b
}

// update creates endpoints for new searchers of a snapshot, closes the connections of those that leave or are gone, and returns the keys of
// the processes that are gone.
func (b *balancer) update(snapshot *fleet.Snapshot, table *route.Table) []fleet.Key {
	b.warmthMu.Lock()
	defer b.warmthMu.Unlock()
	now := b.clock()
	old, nodes := b.current.Load(), *b.nodes.Load()
	next := &endpointTable{
		byKey:     make(map[fleet.Key]*endpoint),
		byService: make(map[string][]*endpoint),
		evacuated: make(map[string][]string),
		table:     table,
	}
	var closing []*endpoint
	for _, s := range snapshot.All() {
		key := s.Key()
		limit := b.limit(s, table, nodes)
		ep, ok := old.byKey[key]
		_, left := b.left[key]
		left = left || (ok && ep.leaving.Load())
		switch {
		case !ok:
			ep = b.newEndpoint(s, limit)
		case s.Zone() != ep.searcher.Zone():
			// Requests that wait for a connection were sent to another zone.
			closing = append(closing, ep)
			ep = b.renewEndpoint(ep, s, limit)
		case s.Leaving() && (!ep.searcher.Leaving() || s.Evacuated() != ep.searcher.Evacuated()):
			replaced := ep.replaced.Load()
			ep = &endpoint{searcher: s, pool: ep.pool, tracker: ep.tracker, pacer: ep.pacer, link: ep.link, warmth: ep.warmth}
			ep.replaced.Store(replaced)
		case !s.Leaving() && ep.searcher.Leaving():
			ep = b.renewEndpoint(ep, s, limit)
		}
		if s.Leaving() {
			// Requests that wait for a connection must not reach the searcher later; those that run keep theirs.
			closing = append(closing, ep)
		}
		if left {
			ep.leave()
		}
		ep.setLimit(limit)
		ep.warmth.observe(now, s)
		b.updateCold(now, ep, table)
		next.byKey[key] = ep
		if region := b.location.Regions[s.Zone()]; s.Evacuated() && !slices.Contains(next.evacuated[s.Service()], region) {
			next.evacuated[s.Service()] = append(next.evacuated[s.Service()], region)
		}
	}
	for _, service := range table.ServiceNames() {
		for _, s := range snapshot.Service(service) {
			next.byService[service] = append(next.byService[service], next.byKey[s.Key()])
		}
	}
	b.populated = true
	b.current.Store(next)
	// Requests that lose their place must find the new endpoints when they look for another one.
	for _, ep := range closing {
		ep.pool.Close()
	}
	var removed []fleet.Key
	for key, at := range b.left {
		if now.Sub(at) > leftTTL {
			delete(b.left, key)
		}
	}
	for key, ep := range old.byKey {
		if _, ok := next.byKey[key]; !ok {
			ep.pool.Close()
			if ep.leaving.Load() {
				b.left[key] = now
			}
			removed = append(removed, key)
		}
	}
	return removed
}

func (b *balancer) newEndpoint(s *fleet.Searcher, limit int) *endpoint {
	region, link := b.location.Regions[s.Zone()], &reach.Link{}
	onDial := func(took time.Duration, err error) {
		switch {
		case err == nil:
			b.recordRoundTrip(region, took)
			link.Connected(b.clock())
		case !errors.Is(err, context.Canceled):
			link.Failed(b.clock())
		}
	}
	return &endpoint{
		searcher: s,
		pool:     pool.New(s.Address(), limit, b.dial, onDial),
		tracker:  health.New(s.Slots()),
		pacer:    pace.New(s.ID(), region),
		link:     link,
		warmth:   newWarmth(b.clock(), s, b.populated),
	}
}

// renewEndpoint returns an endpoint for a process that is used again or elsewhere. What the searcher asked of this node stays in force, unless
// the region, by which nodes share a limit, has changed.
func (b *balancer) renewEndpoint(ep *endpoint, s *fleet.Searcher, limit int) *endpoint {
	renewed := b.newEndpoint(s, limit)
	if b.location.Regions[s.Zone()] == b.location.Regions[ep.searcher.Zone()] {
		renewed.pacer = ep.pacer
	}
	renewed.replaced.Store(ep.replaced.Load())
	return renewed
}

// homes returns the home regions in force for a route.
func (b *balancer) homes(r *route.Route) route.Homes { return b.current.Load().table.HomesOf(r) }

// reaches reports whether a searcher of a service in a home region was reached lately.
func (b *balancer) reaches(now time.Time, service string, homes route.Homes) bool {
	for _, ep := range b.current.Load().byService[service] {
		if homes.Allow(b.location.Regions[ep.searcher.Zone()]) && ep.link.RecentlyReached(now) {
			return true
		}
	}
	return false
}

// reachedOther reports whether a searcher other than the given one was reached since a time.
func (b *balancer) reachedOther(since time.Time, except *endpoint) bool {
	for _, ep := range b.current.Load().byKey {
		if ep != except && ep.link.ReachedSince(since) {
			return true
		}
	}
	return false
}

// others returns up to n random endpoints other than the given one to which connections may be opened.
func (b *balancer) others(except *endpoint, n int) []*endpoint {
	var found []*endpoint
	for _, ep := range b.current.Load().byKey {
		if ep != except && !ep.searcher.Leaving() && !ep.leaving.Load() && len(found) < n {
			found = append(found, ep)
		}
	}
	return found
}

// reach returns an estimate of the share of the searchers that this node reaches.
func (b *balancer) reach(now time.Time, previous reach.Reach) reach.Reach {
	var sample reach.Sample
	for _, endpoints := range b.current.Load().byService {
		for _, ep := range endpoints {
			sample.Add(now, ep.link)
		}
	}
	return sample.Reach(previous)
}

// NodeCounts counts the nodes that share a searcher's connections, its limit and the budget of extra attempts.
type NodeCounts struct {
	// Active is the number of nodes that callers are routed to; ByRegion holds the same by region.
	Active   int
	ByRegion map[string]int
	// SelfActive is set when callers are routed to this node.
	SelfActive bool
	// Discovering is set while this node may not know all other nodes yet.
	Discovering bool
	// Members are the nodes by id, nil while unknown.
	Members *pace.Members
	// Census holds all known nodes, none unless some service limits the requests to searchers that warm up.
	Census pace.Census
}

// Equal reports whether all counts and flags are equal.
func (n NodeCounts) Equal(other NodeCounts) bool {
	return n.Active == other.Active && n.SelfActive == other.SelfActive && n.Discovering == other.Discovering &&
		maps.Equal(n.ByRegion, other.ByRegion) && n.Members.Equal(other.Members) && n.Census.Equal(other.Census)
}

// assumedNodes is the number of nodes that a node assumes for its shares of connections and of the budget while it may not know the others yet.
const assumedNodes = 64

// sharing returns the number of nodes that share the budget of extra attempts.
func (n NodeCounts) sharing() int {
	if n.Discovering {
		return max(n.Active, assumedNodes)
	}
	return max(n.Active, 1)
}

// setNodes recomputes this node's share of the connections of every searcher.
func (b *balancer) setNodes(nodes NodeCounts) {
	if nodes.Members == nil || nodes.Discovering {
		// Without the others this node would take a whole limit for itself.
		nodes.Members = &pace.Members{}
	}
	b.nodes.Store(&nodes)
	current := b.current.Load()
	for _, ep := range current.byKey {
		ep.setLimit(b.limit(ep.searcher, current.table, nodes))
	}
}

// limit returns this node's share of a searcher's connections, at least 1. Nodes that callers are not routed to get 1.
func (b *balancer) limit(s *fleet.Searcher, table *route.Table, nodes NodeCounts) int {
	service, ok := table.Service(s.Service())
	if !ok || !nodes.SelfActive {
		return 1
	}
	region := b.location.Regions[s.Zone()]
	regionNodes := max(nodes.ByRegion[region], 1)
	share := sameRegionShare * float64(service.MaxConns()) / float64(regionNodes)
	if region != b.location.Region {
		share = otherRegionsShare * float64(service.MaxConns()) / float64(max(nodes.Active-regionNodes, 1))
	}
	if nodes.Discovering {
		share = float64(service.MaxConns()) / assumedNodes
	}
	return max(1, int(share))
}

// maxWarmPerTick bounds the connections that one tick opens in advance, so that opening them does not delay requests when there are many
// searchers.
const maxWarmPerTick = 16

// warm opens a connection to each endpoint of the routes that has none, so that requests need not wait for one. Endpoints of the node's own
// region come first.
func (b *balancer) warm(ctx context.Context, now time.Time, start func(func())) {
	remaining := maxWarmPerTick
	for _, ownRegion := range []bool{true, false} {
		for _, endpoints := range b.current.Load().byService {
			for _, ep := range endpoints {
				if remaining == 0 {
					return
				}
				inRegion := b.location.Regions[ep.searcher.Zone()] == b.location.Region
				if inRegion == ownRegion && ep.pool.Empty() && !now.Before(ep.nextWarmAt) {
					remaining--
					ep.nextWarmAt = now.Add(warmInterval)
					start(func() { ep.pool.Warm(ctx) })
				}
			}
		}
	}
}

const (
	// probesPerTick is the number of connections that one tick opens to find out whether searchers are reached.
	probesPerTick = 2
	// probeSettleTime is the time for which such a connection must stay open, since something in between may accept it for the searcher.
	probeSettleTime = 100 * time.Millisecond
	// probeInterval is the minimum time between two such connections to the same searcher.
	probeInterval = 500 * time.Millisecond
)

// probe opens connections to random searchers, since a node that gets no requests learns nothing from them.
func (b *balancer) probe(ctx context.Context, now time.Time, start func(func())) {
	remaining := probesPerTick
	// The order of a map is random.
	for _, endpoints := range b.current.Load().byService {
		if remaining == 0 {
			return
		}
		if len(endpoints) == 0 {
			continue
		}
		ep := endpoints[rand.IntN(len(endpoints))]
		if now.Before(ep.nextProbeAt) {
			continue
		}
		remaining--
		ep.nextProbeAt = now.Add(probeInterval)
		start(func() { b.probeLink(ctx, now, ep) })
	}
}

// probeLink records whether a new connection to a searcher can be opened and stays open.
func (b *balancer) probeLink(ctx context.Context, now time.Time, ep *endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// Idle connections may have gone silent, and would keep the pool from opening another one.
	ep.pool.DropIdle(now)
	if err := ep.pool.Probe(ctx); err != nil {
		ep.link.Probed(b.clock(), false)
		return
	}
	delay.Sleep(ctx, probeSettleTime)
	switch {
	case ep.pool.LostIdleConns():
		ep.link.Probed(b.clock(), false)
	case ep.pool.HasLiveConn():
		ep.link.Probed(b.clock(), true)
	}
}

func (b *balancer) recordRoundTrip(region string, took time.Duration) {
	known, ok := b.roundTrips.Load(region)
	if !ok || took < known.(time.Duration) {
		b.roundTrips.Store(region, took)
	}
}

func (b *balancer) roundTrip(zone string) time.Duration {
	region := b.location.Regions[zone]
	if known, ok := b.roundTrips.Load(region); ok {
		return known.(time.Duration)
	}
	switch {
	case zone == b.location.Zone:
		return 0
	case region == b.location.Region:
		return defaultZoneRoundTrip
	default:
		return defaultRegionRoundTrip
	}
}

// maintain closes expired idle connections of all endpoints, and adapts this node's shares of limits to the nodes that share them.
func (b *balancer) maintain(now time.Time) {
	nodes := b.nodes.Load()
	b.views.Observe(now, nodes.Members, nodes.Census)
	b.warmthMu.Lock()
	defer b.warmthMu.Unlock()
	current := b.current.Load()
	for _, ep := range current.byKey {
		ep.pool.Trim(now)
		ep.pacer.SetMembers(now, nodes.Members)
		b.updateCold(now, ep, current.table)
	}
}
