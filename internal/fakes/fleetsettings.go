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

// AvailabilityZones returns the names of the availability zones. The caller must not modify the result.
func (r Region) AvailabilityZones() []string { return r.zones }

// CollectionSettings configures a collection of a fleet. Use NewCollectionSettings to create one.
type CollectionSettings struct {
	name      string
	shards    int
	replicas  int
	perRegion bool
	searcher  SearcherSettings
}

// NewCollectionSettings returns a collection in which each shard has the given number of replicas over all regions. The replicas of
// a shard are spread over the regions, each on a separate searcher.
func NewCollectionSettings(name string, shards, replicas int) CollectionSettings {
	return CollectionSettings{name: name, shards: shards, replicas: replicas, searcher: NewSearcherSettings("")}
}

// Name returns the collection's name.
func (c CollectionSettings) Name() string { return c.name }

// Shards returns the number of shards of the initial index snapshot.
func (c CollectionSettings) Shards() int { return c.shards }

// Replicas returns the number of replicas of a shard: per region with WithReplicasPerRegion, otherwise over all regions.
func (c CollectionSettings) Replicas() int { return c.replicas }

// Slots returns the number of slots of each searcher.
func (c CollectionSettings) Slots() int { return c.searcher.slots }

// WithRunLog returns the settings with the capacity of each searcher's run log, which applies separately to idempotent and to
// non-idempotent runs.
func (c CollectionSettings) WithRunLog(limit int) CollectionSettings {
	c.searcher = c.searcher.WithRunLog(limit)
	return c
}

// WithReplicasPerRegion returns the settings with a number of replicas in each region instead of over all regions.
func (c CollectionSettings) WithReplicasPerRegion(replicas int) CollectionSettings {
	c.replicas = replicas
	c.perRegion = true
	return c
}

// WithSlots returns the settings with the number of slots of each searcher.
func (c CollectionSettings) WithSlots(slots int) CollectionSettings {
	c.searcher = c.searcher.WithSlots(slots)
	return c
}

// WithConnections returns the settings with the connection limit of each searcher and the delay of a new connection.
func (c CollectionSettings) WithConnections(limit int, delay time.Duration) CollectionSettings {
	c.searcher = c.searcher.WithConnections(limit, delay)
	return c
}

// WithServiceTime returns the settings with the service time distribution of the searchers.
func (c CollectionSettings) WithServiceTime(distribution ServiceTime) CollectionSettings {
	c.searcher.serviceTime = distribution
	return c
}

// WithSearcher returns the settings with the given searcher settings. The fleet overrides their id, address, index and seed.
func (c CollectionSettings) WithSearcher(s SearcherSettings) CollectionSettings {
	c.searcher = s
	return c
}

// FleetSettings configures a fleet. Use NewFleetSettings, Nykterida or Swanline to create one.
type FleetSettings struct {
	platform    PlatformSettings
	regions     []Region
	collections []CollectionSettings
	plans       []plans.Plan
	uses        []plans.Use
	seed        uint64
}

// NewFleetSettings returns the settings of a fleet with regions but without collections, plans and uses.
func NewFleetSettings(regions ...Region) FleetSettings { return FleetSettings{regions: regions} }

// Regions returns the regions. The caller must not modify the result.
func (s FleetSettings) Regions() []Region { return s.regions }

// Collections returns the collections. The caller must not modify the result.
func (s FleetSettings) Collections() []CollectionSettings { return s.collections }

// Plans returns the list of plans. The caller must not modify the result.
func (s FleetSettings) Plans() []plans.Plan { return s.plans }

// Uses returns the list of uses. The caller must not modify the result.
func (s FleetSettings) Uses() []plans.Use { return s.uses }

// WithPlatform returns the settings with the given configuration service settings.
func (s FleetSettings) WithPlatform(platform PlatformSettings) FleetSettings {
	s.platform = platform
	return s
}

// WithCollections returns the settings with the given collections.
func (s FleetSettings) WithCollections(collections ...CollectionSettings) FleetSettings {
	s.collections = slices.Clone(collections)
	return s
}

// WithPlans returns the settings with the given plans.
func (s FleetSettings) WithPlans(list ...plans.Plan) FleetSettings {
	s.plans = slices.Clone(list)
	return s
}

// WithUses returns the settings with the given uses.
func (s FleetSettings) WithUses(list ...plans.Use) FleetSettings {
	s.uses = slices.Clone(list)
	return s
}

// WithSeed returns the settings with the random seed for service times.
func (s FleetSettings) WithSeed(seed uint64) FleetSettings {
	s.seed = seed
	return s
}
