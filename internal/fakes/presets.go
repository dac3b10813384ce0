package fakes

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

const (
	// Searchers of an instance accept few connections, which are slow to open; other searchers accept more, which open quickly.
	instanceConnections  = 25
	instanceConnectDelay = 6 * time.Millisecond
	shortConnectDelay    = time.Millisecond

	// presetSigma yields a p99 service time of about 3.2 times the median.
	presetSigma = 0.5

	presetUseRate       = 2000
	presetUseConcurrent = 1000
)

// Nykterida returns the fleet of the customer Nykterida: care-desk, shop-front, billing-run and dispatch-tool in the regions
// Attica, Makedonia and Kriti, with a plan of each rank.
func Nykterida() FleetSettings {
	urgent := plans.NewPlan("nykterida-urgent", "Nykterida", plans.Urgent, 1, plans.Tail{})
	routine := plans.NewPlan("nykterida-routine", "Nykterida", plans.Routine, 1, plans.Tail{})
	bulk := plans.NewPlan("nykterida-bulk", "Nykterida", plans.Bulk, 1, plans.Coverage{})
	return NewFleetSettings(threeZones("attica"), threeZones("makedonia"), threeZones("kriti")).
		WithCollections(
			instances("care-desk", 10),
			instances("shop-front", 15),
			preset("billing-run", 8, 2, 10*time.Millisecond).WithConnections(100, shortConnectDelay),
			preset("dispatch-tool", 4, 2, 3*time.Millisecond).WithConnections(100, shortConnectDelay),
		).
		WithPlans(urgent, routine, bulk).
		WithUses(allUses([]plans.Plan{urgent, routine, bulk}, "care-desk", "shop-front", "billing-run", "dispatch-tool")...)
}

// Swanline returns the fleet of the customer Swanline: captain-portal, proof-studio, rider-sizing and dispatch-board in the
// regions Perth, Bunbury and Geraldton, with a plan of each rank.
func Swanline() FleetSettings {
	urgent := plans.NewPlan("swanline-urgent", "Swanline", plans.Urgent, 1, plans.Coverage{})
	routine := plans.NewPlan("swanline-routine", "Swanline", plans.Routine, 1, plans.Coverage{})
	bulk := plans.NewPlan("swanline-bulk", "Swanline", plans.Bulk, 1, plans.Coverage{})
	return NewFleetSettings(threeZones("perth"), threeZones("bunbury"), threeZones("geraldton")).
		WithCollections(
			instances("captain-portal", 10),
			instances("proof-studio", 15),
			preset("rider-sizing", 2, 2, 3*time.Millisecond).WithSlots(6).WithConnections(50, shortConnectDelay),
			preset("dispatch-board", 1, 3, 3*time.Millisecond).WithSlots(6).WithConnections(50, shortConnectDelay),
		).
		WithPlans(urgent, routine, bulk).
		WithUses(allUses([]plans.Plan{urgent, routine, bulk}, "captain-portal", "proof-studio", "rider-sizing", "dispatch-board")...)
}

func threeZones(region string) Region {
	return NewRegion(region, region+"-a", region+"-b", region+"-c")
}

// instances returns a collection of instances of 3 searchers, one in each region.
func instances(name string, count int) CollectionSettings {
	return preset(name, count, 3, 4*time.Millisecond).WithConnections(instanceConnections, instanceConnectDelay)
}

func preset(name string, shards, replicas int, median time.Duration) CollectionSettings {
	return NewCollectionSettings(name, shards, replicas).
		WithSlots(2).
		WithServiceTime(LogNormal{Median: median, Sigma: presetSigma})
}

func allUses(list []plans.Plan, collections ...string) []plans.Use {
	var uses []plans.Use
	for _, plan := range list {
		for _, collection := range collections {
			uses = append(uses, plans.NewUse(plan.Name(), collection, presetUseRate, presetUseConcurrent))
		}
	}
	return uses
}
