// Package view combines the documents in force into one immutable snapshot: the lists of plans and uses, the VMs, the
// indexes and the owners of each searcher. The request path reads the snapshot through an atomic pointer.
package view

import (
	"slices"

	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// Snapshot is the combined state of all documents at one point in time. It is immutable.
type Snapshot struct {
	lists   *plans.Lists
	vms     []shards.VM
	indexes map[string]*shards.Index
	leaving map[string]bool
	// owners maps collections and searcher ids to owners. The inner maps are shared between snapshots.
	owners   map[string]map[string][]shards.VM
	entries  []shards.VM
	revision uint64
}

// New builds a snapshot from parsed documents. The revision must increase with each snapshot of a node.
func New(revision uint64, lists *plans.Lists, vms []shards.VM, indexes []*shards.Index) *Snapshot {
	s := newSnapshot(revision, lists, vms)
	regions := s.entriesByRegion()
	for _, index := range indexes {
		s.indexes[index.Collection()] = index
		s.owners[index.Collection()] = assignOwners(index, s.entries, regions)
	}
	return s
}

// rebuild builds the snapshot that follows another. Owners depend only on the entry VMs and on the collection's index, so
// the owners of collections for which neither has changed are reused.
func rebuild(before *Snapshot, lists *plans.Lists, vms []shards.VM, indexes []*shards.Index) *Snapshot {
	s := newSnapshot(before.revision+1, lists, vms)
	sameEntries := slices.Equal(s.entries, before.entries)
	regions := s.entriesByRegion()
	for _, index := range indexes {
		collection := index.Collection()
		s.indexes[collection] = index
		if sameEntries && before.indexes[collection] == index {
			s.owners[collection] = before.owners[collection]
			continue
		}
		s.owners[collection] = assignOwners(index, s.entries, regions)
	}
	return s
}

// newSnapshot returns a snapshot without indexes and owners.
func newSnapshot(revision uint64, lists *plans.Lists, vms []shards.VM) *Snapshot {
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

// entriesByRegion returns the entry VMs of each region with at least one live entry VM. In these regions, the owners of a searcher are
// chosen from its own region.
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

// groupKey identifies a set of searchers that have the same owners.
type groupKey struct {
	group  int
	region string
}

// assignOwners returns the owners of each searcher of an index by searcher id.
func assignOwners(index *shards.Index, entries []shards.VM, regions map[string][]shards.VM) map[string][]shards.VM {
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

// searcherGroups returns the shard group of each searcher: the group of its lowest shard in the newest snapshot that names it.
// Adding a snapshot with the same partition map therefore changes no searcher's owners.
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

// Revision returns a number that increases with each snapshot of a node.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Lists returns the lists of plans and uses.
func (s *Snapshot) Lists() *plans.Lists { return s.lists }

// VMs returns all listed VMs. The caller must not change the result.
func (s *Snapshot) VMs() []shards.VM { return s.vms }

// Entries returns the listed entry VMs. The caller must not change the result.
func (s *Snapshot) Entries() []shards.VM { return s.entries }

// Leaving reports whether the VM list marks a VM as leaving.
func (s *Snapshot) Leaving(id string) bool { return s.leaving[id] }

// Index returns a collection's index, or nil.
func (s *Snapshot) Index(collection string) *shards.Index { return s.indexes[collection] }

// Collections returns the sorted names of the collections with an index.
func (s *Snapshot) Collections() []string {
	names := make([]string, 0, len(s.indexes))
	for name := range s.indexes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Owners returns the primary, secondary and standby owner of a searcher, in this order. The caller must not change the result.
func (s *Snapshot) Owners(collection, searcher string) []shards.VM {
	return s.owners[collection][searcher]
}
