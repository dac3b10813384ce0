package relay

import (
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
	// replaced is set once another process answered at the searcher's address.
	replaced atomic.Bool
}

// stations is an immutable set of stations by service.
type stations struct {
	byKey    map[fleet.Key]*station
	services map[string][]*station
}

// Place says where a node stands and how far regions are.
type Place struct {
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
	nearShare = 0.6
	farShare  = 0.3
)

// grid holds the stations of all searchers. Readers load a snapshot; one writer replaces it.
type grid struct {
	place   Place
	dial    pool.Dial
	current atomic.Pointer[stations]
	// distances maps a region to the least time in nanoseconds that opening a connection took.
	distances sync.Map
}

func newGrid(place Place, dial pool.Dial) *grid {
	g := &grid{place: place, dial: dial}
	g.current.Store(&stations{})
	return g
}

// update makes stations for the searchers of a snapshot and closes those of processes that are gone.
func (g *grid) update(snapshot *fleet.Snapshot, table *route.Table, nodes Nodes) {
	old := g.current.Load()
	next := &stations{byKey: make(map[fleet.Key]*station), services: make(map[string][]*station)}
	for _, s := range snapshot.All() {
		key := s.Key()
		limit := g.share(s, table, nodes)
		known, ok := old.byKey[key]
		if !ok {
			region := g.place.Regions[s.Zone()]
			known = &station{
				searcher: s,
				pool:     pool.New(s.Address(), limit, g.dial, func(took time.Duration) { g.learnDistance(region, took) }),
				track:    health.New(),
			}
		}
		known.pool.SetLimit(limit)
		next.byKey[key] = known
	}
	for _, service := range table.ServiceNames() {
		for _, s := range snapshot.Service(service) {
			next.services[service] = append(next.services[service], next.byKey[s.Key()])
		}
	}
	g.current.Store(next)
	for key, s := range old.byKey {
		if _, ok := next.byKey[key]; !ok {
			s.pool.Close()
		}
	}
}

// Nodes counts the nodes that share a searcher's connections.
type Nodes struct {
	// ByRegion is the number of nodes of each region, and Total that of all.
	ByRegion map[string]int
	Total    int
}

// share returns this node's share of a searcher's connections, at least 1.
func (g *grid) share(s *fleet.Searcher, table *route.Table, nodes Nodes) int {
	service, ok := table.Service(s.Service())
	if !ok {
		return 1
	}
	region := g.place.Regions[s.Zone()]
	near := max(nodes.ByRegion[region], 1)
	if region == g.place.Region {
		return max(1, int(nearShare*float64(service.MaxConns())/float64(near)))
	}
	far := max(nodes.Total-near, 1)
	return max(1, int(farShare*float64(service.MaxConns())/float64(far)))
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
	cost    time.Duration
	stalled bool
}

// choose returns the station of a service with the least expected latency that skip does not exclude.
func (g *grid) choose(now time.Time, service string, skip func(*station) bool) (choice, bool) {
	candidates := g.current.Load().services[service]
	typical := g.typical(now, candidates)
	var best choice
	for _, s := range candidates {
		if s.replaced.Load() || skip(s) {
			continue
		}
		reading := s.track.Read(now)
		cost := reading.Cost(g.distance(s.searcher.Zone()), typical, s.searcher.Slots())
		cost += time.Duration(float64(cost) * jitter * rand.Float64())
		if best.station == nil || cost < best.cost {
			best = choice{station: s, cost: cost, stalled: reading.Stalled}
		}
	}
	return best, best.station != nil
}

// typical returns the least mean service time of the stations, as an estimate for those that were not tried yet.
func (g *grid) typical(now time.Time, candidates []*station) time.Duration {
	least := time.Duration(0)
	for _, s := range candidates {
		mean := s.track.Read(now).Mean
		if mean == 0 {
			continue
		}
		service := max(mean-g.distance(s.searcher.Zone()), 0)
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

func (g *grid) close() {
	for _, s := range g.current.Load().byKey {
		s.pool.Close()
	}
}
