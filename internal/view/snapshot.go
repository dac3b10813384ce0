// Package view joins the documents in force into one immutable snapshot: lists, VMs, indexes and the owners of each
// searcher. The request path reads it through an atomic pointer.
package view

import (
	"slices"

	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// Snapshot is the state of all documents at one moment. It is immutable.
type Snapshot struct {
	lists   *plans.Lists
	vms     []shards.VM
	indexes map[string]*shards.Index
	leaving map[string]bool
	// owners holds the owners by collection and searcher. Snapshots share the inner maps.
	owners   map[string]map[string][]shards.VM
	entries  []shards.VM
	revision uint64
}

// New joins documents. Revision grows with each snapshot of a node.
func New(revision uint64, lists *plans.Lists, vms []shards.VM, indexes []*shards.Index) *Snapshot {
	s := list(revision, lists, vms)
	regions := s.entriesByRegion()
	for _, index := range indexes {
		s.indexes[index.Collection()] = index
		s.owners[index.Collection()] = placeOwners(index, s.entries, regions)
	}
	return s
}

// next joins documents after a snapshot. Owners depend on the entry VMs and on the collection's index only, so those
// of the collections that did not change are kept.
func next(before *Snapshot, lists *plans.Lists, vms []shards.VM, indexes []*shards.Index) *Snapshot {
	s := list(before.revision+1, lists, vms)
	sameEntries := slices.Equal(s.entries, before.entries)
	regions := s.entriesByRegion()
	for _, index := range indexes {
		collection := index.Collection()
		s.indexes[collection] = index
		if sameEntries && before.indexes[collection] == index {
			s.owners[collection] = before.owners[collection]
			continue
		}
		s.owners[collection] = placeOwners(index, s.entries, regions)
	}
	return s
}

// list returns a snapshot without indexes.
func list(revision uint64, lists *plans.Lists, vms []shards.VM) *Snapshot {
	s := &Snapshot{
		lists:    lists,
		vms:      vms,
		indexes:  make(map[string]*shards.Index),
		leaving:  make(map[string]bool),
		owners:   make(map[string]map[string][]shards.VM),
		revision: revision,
	}
	for _, vm := range vms {
		if vm.Leaving() {
			s.leaving[vm.ID()] = true
		}
		if vm.IsEntry() {
			s.entries = append(s.entries, vm)
		}
	}
	return s
}

// entriesByRegion returns the entry VMs of each region that has a live one. For such a region, owners come from its own VMs.
func (s *Snapshot) entriesByRegion() map[string][]shards.VM {
	regions := make(map[string][]shards.VM)
	live := make(map[string]bool)
	for _, vm := range s.entries {
		regions[vm.Region()] = append(regions[vm.Region()], vm)
		live[vm.Region()] = live[vm.Region()] || !vm.Leaving()
	}
	for region := range regions {
		if !live[region] {
			delete(regions, region)
		}
	}
	return regions
}

// Empty returns a snapshot without any document.
func Empty() *Snapshot { return New(0, plans.NewLists(nil, nil), nil, nil) }

// groupKey identifies searchers that share their owners.
type groupKey struct {
	group  int
	region string
}

// placeOwners returns the owners of each searcher of an index.
func placeOwners(index *shards.Index, entries []shards.VM, regions map[string][]shards.VM) map[string][]shards.VM {
	groups := searcherGroups(index)
	byGroup := make(map[groupKey][]shards.VM)
	bySearcher := make(map[string][]shards.VM, len(groups))
	for _, searcher := range index.Searchers() {
		key := groupKey{group: groups[searcher.ID()], region: searcher.Region()}
		owners, ok := byGroup[key]
		if !ok {
			candidates, inRegion := regions[key.region]
			if !inRegion {
				candidates = entries
			}
			owners = place.Owners(index.Collection(), key.group, key.region, candidates)
			byGroup[key] = owners
		}
		bySearcher[searcher.ID()] = owners
	}
	return bySearcher
}

// searcherGroups returns the group of each searcher: that of its lowest shard in the newest snapshot that names it, so that
// an added snapshot with the same partition map moves no searcher.
func searcherGroups(index *shards.Index) map[string]int {
	groups := make(map[string]int)
	for _, snapshot := range index.Snapshots() {
		seen := make(map[string]int)
		for shard := range snapshot.Shards() {
			for _, id := range snapshot.Replicas(shard) {
				if _, ok := seen[id]; !ok {
					seen[id] = shards.Group(shard)
				}
			}
		}
		for id, group := range seen {
			if _, ok := groups[id]; !ok {
				groups[id] = group
			}
		}
	}
	return groups
}

// Revision returns a number that grows with each snapshot of a node.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Lists returns the two lists.
func (s *Snapshot) Lists() *plans.Lists { return s.lists }

// VMs returns all listed VMs. The caller must not change the result.
func (s *Snapshot) VMs() []shards.VM { return s.vms }

// Entries returns the listed entry VMs. The caller must not change the result.
func (s *Snapshot) Entries() []shards.VM { return s.entries }

// Leaving reports whether the list says that a VM is leaving.
func (s *Snapshot) Leaving(id string) bool { return s.leaving[id] }

// Index returns a collection's index, or nil.
func (s *Snapshot) Index(collection string) *shards.Index { return s.indexes[collection] }

// Collections returns the names of the collections with an index, sorted.
func (s *Snapshot) Collections() []string {
	names := make([]string, 0, len(s.indexes))
	for name := range s.indexes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Owners returns the primary, secondary and standby owner of a searcher. The caller must not change the result.
func (s *Snapshot) Owners(collection, searcher string) []shards.VM {
	return s.owners[collection][searcher]
}
