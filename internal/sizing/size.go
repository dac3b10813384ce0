package sizing

import "github.com/cockroachdb/errors"

// The fleet size in section 1.3 of the design.
const (
	designNodes     = 2700
	designSearchers = 12000
	designQueries   = 400000
	designFanout    = 200
	designRegions   = 3
	designZones     = 9
	designChanges   = 9700
)

// Size is the size of a fleet.
type Size struct {
	// Nodes and Searchers count VMs over all regions.
	Nodes     int
	Searchers int
	// Queries is the number of queries per second, each to Fanout searchers.
	Queries int
	Fanout  int
	// Regions counts regions, and Zones the availability zones of all regions together.
	Regions int
	Zones   int
	// Changes is the number of configuration changes per day.
	Changes int
}

// DesignSize returns the size that the system is designed for.
func DesignSize() Size {
	return Size{
		Nodes: designNodes, Searchers: designSearchers, Queries: designQueries, Fanout: designFanout,
		Regions: designRegions, Zones: designZones, Changes: designChanges,
	}
}

// Validate returns an error for a size that no fleet can have.
func (s Size) Validate() error {
	for name, value := range map[string]int{
		"nodes": s.Nodes, "searchers": s.Searchers, "queries": s.Queries, "fanout": s.Fanout, "regions": s.Regions, "zones": s.Zones,
	} {
		if value < 1 {
			return errors.Newf("--%s is %d and must be at least 1", name, value)
		}
	}
	if s.Changes < 0 {
		return errors.Newf("--changes is %d and must not be negative", s.Changes)
	}
	if s.Zones < s.Regions {
		return errors.Newf("--zones is %d and must be at least --regions, which is %d", s.Zones, s.Regions)
	}
	return nil
}
