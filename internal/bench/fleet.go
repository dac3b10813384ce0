package bench

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// The fleet of all scenarios has three regions of two nodes, and a collection with a replica of each shard in each region.
const (
	collection     = "archive"
	customer       = "bench"
	firstShards    = 16
	replicas       = 3
	slots          = 2
	connections    = 50
	connectCost    = time.Millisecond
	serviceMedian  = 20 * time.Millisecond
	serviceSigma   = 0.5
	nodesPerRegion = 2
	zoneDelay      = 500 * time.Microsecond
	regionDelay    = 5 * time.Millisecond
	// runLog is the number of runs that a run log holds. It exceeds the runs of a trial, so that the checker sees all of them.
	runLog = 1 << 17
	// crashMarker in a query crashes the searcher that runs it, which restarts after crashRestart.
	crashMarker  = "crash"
	crashRestart = 500 * time.Millisecond
	// listedRate and listedConcurrent exceed all loads, so that the list of uses does not limit them.
	listedRate       = 1e6
	listedConcurrent = 100_000
	// maxInFlight exceeds all loads, so that it does not limit them either.
	maxInFlight = 1 << 16
)

// benchPlan is a plan of the customer of the fleet.
type benchPlan struct {
	name   string
	rank   plans.Rank
	weight int
}

// benchPlans returns two plans of each rank, with weights 1 and 2, so that the division within a rank can be measured.
func benchPlans() []benchPlan {
	var all []benchPlan
	for _, rank := range plans.Ranks() {
		all = append(all, benchPlan{name: rank.String() + "-1", rank: rank, weight: 1})
		all = append(all, benchPlan{name: rank.String() + "-2", rank: rank, weight: 2})
	}
	return all
}

func rankOf(plan string) (plans.Rank, bool) {
	for _, p := range benchPlans() {
		if p.name == plan {
			return p.rank, true
		}
	}
	return 0, false
}

func preference(rank plans.Rank) plans.Preference {
	if rank == plans.Bulk {
		return plans.Coverage{}
	}
	return plans.Tail{}
}

// fleetSettings returns the settings of the stand-ins of a scenario.
func fleetSettings(h header, seed uint64, service fakes.ServiceTime) fakes.FleetSettings {
	searcher := fakes.NewSearcherSettings("").
		WithSlots(slots).
		WithConnections(connections, connectCost).
		WithServiceTime(service, seed).
		WithColdStart(h.ColdFactor, h.WarmUp).
		WithCrash(crashMarker, crashRestart).
		WithRunLog(runLog)
	var list []plans.Plan
	var uses []plans.Use
	for _, p := range benchPlans() {
		list = append(list, plans.NewPlan(p.name, customer, p.rank, p.weight, preference(p.rank)))
		uses = append(uses, plans.NewUse(p.name, collection, listedRate, listedConcurrent))
	}
	return fakes.NewFleetSettings(region("attica"), region("makedonia"), region("kriti")).
		WithCollections(fakes.NewCollectionSettings(collection, firstShards, replicas).WithSearcher(searcher)).
		WithPlans(list...).
		WithUses(uses...).
		WithSeed(seed)
}

func region(name string) fakes.Region { return fakes.NewRegion(name, name+"-a", name+"-b") }
