package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// exclusion is why an endpoint may not be chosen for a request.
type exclusion int

const (
	// notExcluded endpoints are compared by cost.
	notExcluded exclusion = iota
	// excludedTried endpoints were sent the request before.
	excludedTried
	// excludedReplaced endpoints have ended: another process has answered at the address.
	excludedReplaced
	// excludedLeaving endpoints stated that they leave.
	excludedLeaving
	// excludedHome endpoints are outside the home regions of the route.
	excludedHome
	// excludedEvacuated endpoints are in an evacuated availability zone.
	excludedEvacuated
	// excludedPaused endpoints asked this node for no requests for a while.
	excludedPaused
	// excludedLimited endpoints named a limit, of which this node has used its share.
	excludedLimited
	// excludedCold endpoints warm up, and this node has used its share of what they take.
	excludedCold
	numExclusions
)

// String returns the name in reports.
func (x exclusion) String() string {
	switch x {
	case notExcluded:
		return "not_excluded"
	case excludedTried:
		return "already_tried"
	case excludedReplaced:
		return "replaced"
	case excludedLeaving:
		return "leaving"
	case excludedHome:
		return "outside_home_regions"
	case excludedEvacuated:
		return "evacuated"
	case excludedPaused:
		return "paused"
	case excludedLimited:
		return "limited"
	case excludedCold:
		return "cold"
	default:
		return "excluded"
	}
}

// reason returns why a part ends if all endpoints of its service are excluded for this cause.
func (x exclusion) reason() wire.Reason {
	switch x {
	case excludedPaused:
		return wire.Reason_REASON_SEARCHER_PAUSED
	case excludedLimited:
		return wire.Reason_REASON_SEARCHER_LIMIT
	case excludedCold:
		return wire.Reason_REASON_SEARCHER_COLD
	default:
		return wire.Reason_REASON_NO_REPLICA
	}
}

// temporary reports whether the cause ends without a change of the configuration or the registrations.
func (x exclusion) temporary() bool {
	return x == excludedPaused || x == excludedLimited || x == excludedCold
}

// demand is what a choice must satisfy.
type demand struct {
	service string
	homes   route.Homes
	// timeLeft is the time within which a reply is useful.
	timeLeft time.Duration
	// tried lists the endpoints that were sent the request before.
	tried []*endpoint
}

// exclude returns why an endpoint may not be chosen now, or notExcluded.
func (b *balancer) exclude(now time.Time, ep *endpoint, d demand) exclusion {
	switch {
	case !d.homes.Allow(b.location.Regions[ep.searcher.Zone()]):
		return excludedHome
	case ep.searcher.Evacuated():
		return excludedEvacuated
	case ep.replaced.Load():
		return excludedReplaced
	case ep.leaving.Load() || ep.searcher.Leaving():
		return excludedLeaving
	case slices.Contains(d.tried, ep):
		return excludedTried
	case !ep.pacer.ColdRoom(now):
		return excludedCold
	case ep.pacer.Paused(now):
		return excludedPaused
	case !ep.pacer.Available(now):
		return excludedLimited
	default:
		return notExcluded
	}
}

// costJitter randomizes choices between endpoints of nearly equal cost, so that the load spreads over them.
const costJitter = 0.15

// choice is a chosen endpoint with the expected latency of a request to it.
type choice struct {
	endpoint *endpoint
	latency  time.Duration
	// roundTrip is the network part of latency.
	roundTrip time.Duration
	stalled   bool
	absence
}

// absence is why the endpoints of a service were not chosen.
type absence struct {
	// excluded counts the endpoints of the service by what kept them from being chosen.
	excluded [numExclusions]int
	// restricted is set when only searchers in home regions may be chosen. evacuated is set when some of those that may be chosen are in
	// evacuated availability zones.
	restricted bool
	evacuated  bool
}

// temporarilyExcluded reports whether an endpoint may be chosen again without a change of the configuration or the registrations.
func (a absence) temporarilyExcluded() bool {
	for x, count := range a.excluded {
		if count > 0 && exclusion(x).temporary() {
			return true
		}
	}
	return false
}

// exclusionReason returns why no endpoint could be chosen.
func (a absence) exclusionReason() wire.Reason {
	for _, x := range []exclusion{excludedCold, excludedLimited, excludedPaused, excludedTried} {
		if a.excluded[x] > 0 {
			return x.reason()
		}
	}
	switch {
	case a.evacuated:
		return wire.Reason_REASON_ZONE_EVACUATED
	case a.restricted:
		return wire.Reason_REASON_HOME_REGION
	default:
		return wire.Reason_REASON_NO_REPLICA
	}
}

// candidate is an endpoint with its state at the time of a choice.
type candidate struct {
	endpoint *endpoint
	state    health.State
	// excluded is why the endpoint may not be chosen.
	excluded exclusion
	// latency is the expected latency of a request, and roundTrip the network part of it. cost ranks the candidates. They are set unless the
	// endpoint is excluded.
	latency   time.Duration
	roundTrip time.Duration
	cost      time.Duration
}

// assess sets the latency and the cost. typical is the service time that is assumed without samples.
func (c *candidate) assess(b *balancer, d demand, typical time.Duration) {
	c.roundTrip = b.roundTrip(c.endpoint.searcher.Zone())
	c.latency = c.state.Latency(c.roundTrip, typical)
	c.cost = c.state.Cost(c.latency, d.timeLeft)
}

// evaluate appends the endpoints to candidates, with what keeps each from being chosen or what it costs. It changes no state.
func (b *balancer) evaluate(now time.Time, endpoints []*endpoint, d demand, candidates []candidate) []candidate {
	for _, ep := range endpoints {
		candidates = append(candidates, candidate{endpoint: ep, state: ep.tracker.State(now), excluded: b.exclude(now, ep, d)})
	}
	typical := b.typicalServiceTime(candidates)
	for i := range candidates {
		if candidates[i].excluded == notExcluded {
			candidates[i].assess(b, d, typical)
		}
	}
	return candidates
}

// inlineCandidates is the number of searchers per service up to which a choice does not allocate.
const inlineCandidates = 12

// choose returns the endpoint with the least cost among those that are not excluded. The caller takes the room with the endpoint's pacer.
func (b *balancer) choose(now time.Time, d demand) (choice, bool) {
	var buffer [inlineCandidates]candidate
	table := b.current.Load()
	candidates := b.evaluate(now, table.byService[d.service], d, buffer[:0])
	var best choice
	var leastCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		if c.excluded != notExcluded {
			continue
		}
		cost := c.cost + time.Duration(float64(c.cost)*costJitter*rand.Float64())
		if best.endpoint == nil || cost < leastCost {
			leastCost = cost
			best = choice{endpoint: c.endpoint, latency: c.latency, roundTrip: c.roundTrip, stalled: c.state.Stalled}
		}
	}
	best.absence = absenceOf(candidates, table, d)
	return best, best.endpoint != nil
}

// absenceOf returns what kept the candidates from being chosen.
func absenceOf(candidates []candidate, table *endpointTable, d demand) absence {
	a := absence{restricted: d.homes.Restricted(), evacuated: table.hasEvacuated(d.service, d.homes)}
	for i := range candidates {
		a.excluded[candidates[i].excluded]++
	}
	return a
}

// unservable returns why no endpoint of a service may be chosen for a route as things are, or REASON_UNSPECIFIED. Limits that searchers name and
// pauses do not count.
func (b *balancer) unservable(now time.Time, service string, homes route.Homes) wire.Reason {
	table := b.current.Load()
	missing := absence{restricted: homes.Restricted(), evacuated: table.hasEvacuated(service, homes)}
	for _, ep := range table.byService[service] {
		switch x := b.exclude(now, ep, demand{homes: homes}); x {
		case notExcluded, excludedPaused, excludedLimited:
			return wire.Reason_REASON_UNSPECIFIED
		default:
			missing.excluded[x]++
		}
	}
	return missing.exclusionReason()
}

// typicalServiceTime returns the least mean service time of the candidates, as an estimate for endpoints without samples.
func (b *balancer) typicalServiceTime(candidates []candidate) time.Duration {
	least := time.Duration(0)
	for _, c := range candidates {
		if c.state.Mean == 0 {
			continue
		}
		service := max(c.state.Mean-b.roundTrip(c.endpoint.searcher.Zone()), 0)
		if least == 0 || service < least {
			least = service
		}
	}
	return least
}
