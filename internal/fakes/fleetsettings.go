package fakes

import (
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// Region is a region with its availability zones.
type Region struct {
	name  string
	zones []string
}

// NewRegion returns a region with at least one availability zone.
func NewRegion(name string, zones ...string) Region { return Region{name: name, zones: zones} }

// Name returns the region's name.
func (r Region) Name() string { return r.name }

// AvailabilityZones returns the names of the availability zones. The caller must not change the result.
func (r Region) AvailabilityZones() []string { return r.zones }

// CollectionSettings describes a collection of a fleet. Start from NewCollectionSettings.
type CollectionSettings struct {
	name      string
	shards    int
	replicas  int
	perRegion bool
	searcher  SearcherSettings
}

// NewCollectionSettings returns a collection whose shards have a number of replicas in all regions together, each on a searcher
// of its own. The replicas of a shard are spread over the regions.
func NewCollectionSettings(name string, shards, replicas int) CollectionSettings {
	return CollectionSettings{name: name, shards: shards, replicas: replicas, searcher: NewSearcherSettings("")}
}

// Name returns the collection's name.
func (c CollectionSettings) Name() string { return c.name }

// Shards returns the number of shards of the first index snapshot.
func (c CollectionSettings) Shards() int { return c.shards }

// Replicas returns the number of replicas of a shard, in each region with WithReplicasPerRegion and in all regions together without.
func (c CollectionSettings) Replicas() int { return c.replicas }

// Slots returns the slots of each searcher.
func (c CollectionSettings) Slots() int { return c.searcher.slots }

// WithRunLog returns the settings with the number of idempotent and of non-idempotent runs that each searcher's run log keeps.
func (c CollectionSettings) WithRunLog(limit int) CollectionSettings {
	c.searcher = c.searcher.WithRunLog(limit)
	return c
}

// WithReplicasPerRegion returns the settings with a number of replicas in each region instead of in all regions together.
func (c CollectionSettings) WithReplicasPerRegion(replicas int) CollectionSettings {
	c.replicas = replicas
	c.perRegion = true
	return c
}

// WithSlots returns the settings with the slots of each searcher.
func (c CollectionSettings) WithSlots(slots int) CollectionSettings {
	c.searcher = c.searcher.WithSlots(slots)
	return c
}

// WithConnections returns the settings with the connection cap of each searcher and the cost of a new connection.
func (c CollectionSettings) WithConnections(limit int, cost time.Duration) CollectionSettings {
	c.searcher = c.searcher.WithConnections(limit, cost)
	return c
}

// WithServiceTime returns the settings with the distribution of service times.
func (c CollectionSettings) WithServiceTime(distribution ServiceTime) CollectionSettings {
	c.searcher.serviceTime = distribution
	return c
}

// WithSearcher returns the settings with all settings of the searchers, of which id, address, index and seed are set by the fleet.
func (c CollectionSettings) WithSearcher(s SearcherSettings) CollectionSettings {
	c.searcher = s
	return c
}

// FleetSettings describes a fleet. Start from NewFleetSettings, Nykterida or Swanline.
type FleetSettings struct {
	platform    PlatformSettings
	regions     []Region
	collections []CollectionSettings
	plans       []plans.Plan
	uses        []plans.Use
	seed        uint64
}

// NewFleetSettings returns a fleet of regions without collections and plans.
func NewFleetSettings(regions ...Region) FleetSettings { return FleetSettings{regions: regions} }

// Regions returns the regions. The caller must not change the result.
func (s FleetSettings) Regions() []Region { return s.regions }

// Collections returns the collections. The caller must not change the result.
func (s FleetSettings) Collections() []CollectionSettings { return s.collections }

// Plans returns the list of plans. The caller must not change the result.
func (s FleetSettings) Plans() []plans.Plan { return s.plans }

// Uses returns the list of uses. The caller must not change the result.
func (s FleetSettings) Uses() []plans.Use { return s.uses }

// WithPlatform returns the settings with those of the configuration service.
func (s FleetSettings) WithPlatform(platform PlatformSettings) FleetSettings {
	s.platform = platform
	return s
}

// WithCollections returns the settings with other collections.
func (s FleetSettings) WithCollections(collections ...CollectionSettings) FleetSettings {
	s.collections = slices.Clone(collections)
	return s
}

// WithPlans returns the settings with other plans.
func (s FleetSettings) WithPlans(list ...plans.Plan) FleetSettings {
	s.plans = slices.Clone(list)
	return s
}

// WithUses returns the settings with other uses.
func (s FleetSettings) WithUses(list ...plans.Use) FleetSettings {
	s.uses = slices.Clone(list)
	return s
}

// WithSeed returns the settings with the seed of all service times.
func (s FleetSettings) WithSeed(seed uint64) FleetSettings {
	s.seed = seed
	return s
}
