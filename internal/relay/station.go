package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

// station is one searcher process with its connections and its record.
type station struct {
	searcher *fleet.Searcher
	pool     *pool.Pool
	track    *health.Track
	// warmAt is when a connection may be opened in advance again; only the node's tick uses it.
	warmAt time.Time
	// probing is set while the node looks whether the searcher lives.
	probing atomic.Bool
	// replaced is set once another process answered at the searcher's address.
	replaced atomic.Bool
}

// setLimit changes the number of connections that this node may open.
func (s *station) setLimit(limit int) {
	s.pool.SetLimit(limit)
	s.track.SetParallel(min(s.searcher.Slots(), limit))
}

// stations is an immutable set of stations by service.
type stations struct {
	byKey    map[fleet.Key]*station
	services map[string][]*station
	table    *route.Table
}

// Location says where a node stands and how far regions are.
type Location struct {
	// Zone and Region are those of this node. Regions maps each availability zone to its region.
	Zone    string
	Region  string
	Regions map[string]string
}

const (
	// Distances until a connection was opened to a region.
	priorZone   = time.Millisecond
	priorRegion = 30 * time.Millisecond
	// nearShare is the share of a searcher's connections for the nodes of its own region, farShare that for all others.
	nearShare = 0.5
	farShare  = 0.45
	// warmInterval is the least time between two connections to one searcher that are opened in advance.
	warmInterval = 2 * time.Second
)

// grid holds the stations of all searchers. Readers load a snapshot; one writer replaces it.
type grid struct {
	place   Location
	dial    pool.Dial
	current atomic.Pointer[stations]
	// nodes are those that share the connections.
	nodes atomic.Pointer[NodeCounts]
	// distances maps a region to the least time in nanoseconds that opening a connection took.
	distances sync.Map
}

func newGrid(place Location, dial pool.Dial) *grid {
	g := &grid{place: place, dial: dial}
	g.current.Store(&stations{})
	g.nodes.Store(&NodeCounts{Discovering: true})
	return g
}

// update makes stations for the searchers of a snapshot, and closes and returns those of processes that are gone.
func (g *grid) update(snapshot *fleet.Snapshot, table *route.Table) []fleet.Key {
	old, nodes := g.current.Load(), *g.nodes.Load()
	next := &stations{byKey: make(map[fleet.Key]*station), services: make(map[string][]*station), table: table}
	for _, s := range snapshot.All() {
		key := s.Key()
		limit := g.limit(s, table, nodes)
		known, ok := old.byKey[key]
		if !ok {
			region := g.place.Regions[s.Zone()]
			known = &station{
				searcher: s,
				pool:     pool.New(s.Address(), limit, g.dial, func(took time.Duration) { g.learnDistance(region, took) }),
				track:    health.New(s.Slots()),
			}
		}
		known.setLimit(limit)
		next.byKey[key] = known
	}
	for _, service := range table.ServiceNames() {
		for _, s := range snapshot.Service(service) {
			next.services[service] = append(next.services[service], next.byKey[s.Key()])
		}
	}
	g.current.Store(next)
	var gone []fleet.Key
	for key, s := range old.byKey {
		if _, ok := next.byKey[key]; !ok {
			s.pool.Close()
			gone = append(gone, key)
		}
	}
	return gone
}

// NodeCounts counts the nodes that share a searcher's connections and the budget of repeats.
type NodeCounts struct {
	// Active is the number of nodes that callers are sent to, and ByRegion that of each region.
	Active   int
	ByRegion map[string]int
	// SelfActive is set when callers are sent to this node.
	SelfActive bool
	// Discovering is set while this node may not know the others yet.
	Discovering bool
}

// Equal reports whether the counts are the same.
func (n NodeCounts) Equal(other NodeCounts) bool {
	return n.Active == other.Active && n.SelfActive == other.SelfActive && n.Discovering == other.Discovering && maps.Equal(n.ByRegion, other.ByRegion)
}

// unmetNodes is the number of nodes for which a node leaves connections while it may not know the others yet.
const unmetNodes = 64

// share sets this node's share of all searchers' connections.
func (g *grid) share(nodes NodeCounts) {
	g.nodes.Store(&nodes)
	current := g.current.Load()
	for _, s := range current.byKey {
		s.setLimit(g.limit(s.searcher, current.table, nodes))
	}
}

// limit returns this node's share of a searcher's connections, at least 1. Nodes that callers are not sent to take 1.
func (g *grid) limit(s *fleet.Searcher, table *route.Table, nodes NodeCounts) int {
	service, ok := table.Service(s.Service())
	if !ok || !nodes.SelfActive {
		return 1
	}
	region := g.place.Regions[s.Zone()]
	near := max(nodes.ByRegion[region], 1)
	share := nearShare * float64(service.MaxConns()) / float64(near)
	if region != g.place.Region {
		share = farShare * float64(service.MaxConns()) / float64(max(nodes.Active-near, 1))
	}
	if nodes.Discovering {
		share = float64(service.MaxConns()) / unmetNodes
	}
	return max(1, int(share))
}

// warmAtOnce bounds the connections that are opened in advance at one tick, so that opening them does not delay requests when there are
// many searchers.
const warmAtOnce = 16

// warm opens a connection to searchers of the routes that have none, so that a request need not wait for one; those of the node's own
// region come first.
func (g *grid) warm(ctx context.Context, now time.Time, start func(func())) {
	left := warmAtOnce
	for _, own := range []bool{true, false} {
		for _, group := range g.current.Load().services {
			for _, s := range group {
				if left == 0 {
					return
				}
				near := g.place.Regions[s.searcher.Zone()] == g.place.Region
				if near == own && s.pool.Empty() && !now.Before(s.warmAt) {
					left--
					s.warmAt = now.Add(warmInterval)
					start(func() { s.pool.Warm(ctx) })
				}
			}
		}
	}
}

func (g *grid) learnDistance(region string, took time.Duration) {
	known, ok := g.distances.Load(region)
	if !ok || took < known.(time.Duration) {
		g.distances.Store(region, took)
	}
}

func (g *grid) distance(zone string) time.Duration {
	region := g.place.Regions[zone]
	if known, ok := g.distances.Load(region); ok {
		return known.(time.Duration)
	}
	switch {
	case zone == g.place.Zone:
		return 0
	case region == g.place.Region:
		return priorZone
	default:
		return priorRegion
	}
}

// jitter spreads choices between stations of nearly equal cost.
const jitter = 0.15

// choice is a station with the expected latency of a request there.
type choice struct {
	station *station
	latency time.Duration
	// distance is the part of it for the way.
	distance time.Duration
	stalled  bool
}

// candidate is a station with what its record says at the time of a choice.
type candidate struct {
	station *station
	reading health.Reading
}

// usualReplicas is the number of searchers of a service for which a choice needs no allocation.
const usualReplicas = 8

// choose returns the station of a service with the least cost, of those that skip does not exclude, for a request whose reply is of use
// within patience.
func (g *grid) choose(now time.Time, service string, patience time.Duration, skip func(*station) bool) (choice, bool) {
	var room [usualReplicas]candidate
	candidates := room[:0]
	for _, s := range g.current.Load().services[service] {
		candidates = append(candidates, candidate{station: s, reading: s.track.Read(now)})
	}
	typical := g.typical(candidates)
	var best choice
	var least time.Duration
	for _, c := range candidates {
		s := c.station
		if s.replaced.Load() || skip(s) {
			continue
		}
		distance := g.distance(s.searcher.Zone())
		latency := c.reading.Latency(distance, typical)
		cost := c.reading.Cost(latency, patience)
		cost += time.Duration(float64(cost) * jitter * rand.Float64())
		if best.station == nil || cost < least {
			least = cost
			best = choice{station: s, latency: latency, distance: distance, stalled: c.reading.Stalled}
		}
	}
	return best, best.station != nil
}

// typical returns the least mean service time of the stations, as an estimate for those that were not tried yet.
func (g *grid) typical(candidates []candidate) time.Duration {
	least := time.Duration(0)
	for _, c := range candidates {
		if c.reading.Mean == 0 {
			continue
		}
		service := max(c.reading.Mean-g.distance(c.station.searcher.Zone()), 0)
		if least == 0 || service < least {
			least = service
		}
	}
	return least
}

// trim closes idle connections whose life has ended.
func (g *grid) trim(now time.Time) {
	for _, s := range g.current.Load().byKey {
		s.pool.Trim(now)
	}
}
