package route

import "slices"

// Homes are the regions in which the requests of a route may be served. The zero value allows all regions.
type Homes struct {
	restricted bool
	regions    []string
}

// NewHomes returns a restriction to the given regions. Without any region it allows none.
func NewHomes(regions ...string) Homes {
	return Homes{restricted: true, regions: slices.Clone(regions)}
}

// Restricted reports whether some region is not allowed.
func (h Homes) Restricted() bool { return h.restricted }

// Regions returns the allowed regions of a restriction. The caller must not modify the result.
func (h Homes) Regions() []string { return h.regions }

// Allow reports whether a request may be served in a region. The empty name stands for the unknown region of an unlisted availability zone,
// which is no home.
func (h Homes) Allow(region string) bool {
	return !h.restricted || (region != "" && slices.Contains(h.regions, region))
}

// IgnoredField is a field of the operator's configuration that has no valid value and is not used.
type IgnoredField struct {
	// Item names the route or the service, Field the field, and Value quotes what it holds.
	Item  string
	Field string
	Value string
}
