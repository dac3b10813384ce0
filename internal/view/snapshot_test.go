package view

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// newIndex returns an index whose snapshots have two shards each. The argument maps a version to the searcher of each shard.
func newIndex(t *testing.T, versions map[int][2]string) *shards.Index {
	t.Helper()
	sections := make(map[string]string)
	for version, partition := range versions {
		sections[fmt.Sprintf("snapshot %d", version)] = "shards = 2\n"
		for shard, id := range partition {
			sections[fmt.Sprintf("shard %d/%d", version, shard)] = "searchers = " + id + "\n"
			sections["searcher "+id] = "address = 127.0.0.1:1\nregion = r\navailability_zone = a\nslots = 1\nconnections = 1\n"
		}
	}
	parsed, err := shards.ParseIndex("archive", 1, sections)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func vmIDs(vms []shards.VM) []string {
	var all []string
	for _, vm := range vms {
		all = append(all, vm.ID())
	}
	return all
}

// TestOwners guards against owners that change without cause, that are leaving, or that differ between nodes with the same documents.
func TestOwners(t *testing.T) {
	vms := []shards.VM{
		shards.NewVM("e1", "r", "a", "127.0.0.1:1", "127.0.0.1:2"),
		shards.NewVM("e2", "r", "b", "127.0.0.1:3", "127.0.0.1:4"),
		shards.NewVM("e3", "r", "c", "127.0.0.1:5", "127.0.0.1:6"),
	}
	one := map[int][2]string{1: {"s0", "s1"}}
	build := func(listed []shards.VM, versions map[int][2]string) *Snapshot {
		return New(1, plans.NewLists(nil, nil), listed, []*shards.Index{newIndex(t, versions)})
	}
	base := vmIDs(build(vms, one).Owners("archive", "s0"))
	left := slices.Clone(vms)
	position := slices.IndexFunc(left, func(vm shards.VM) bool { return vm.ID() == base[0] })
	left[position] = left[position].AsLeaving()
	reversed := slices.Clone(vms)
	slices.Reverse(reversed)
	tests := map[string]struct {
		snapshot *Snapshot
		searcher string
		want     []string
	}{
		"same documents":           {build(vms, one), "s0", base},
		"other order of the list":  {build(reversed, one), "s0", base},
		"neighbour shard":          {build(vms, one), "s1", base},
		"snapshot with equal map":  {build(vms, map[int][2]string{1: {"s0", "s1"}, 2: {"s0", "s1"}}), "s0", base},
		"primary leaving":          {build(left, one), "s0", base[1:]},
		"unknown searcher":         {build(vms, one), "s9", nil},
		"searcher of an old index": {build(vms, map[int][2]string{1: {"s0", "s1"}, 2: {"s2", "s3"}}), "s0", base},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := vmIDs(test.snapshot.Owners("archive", test.searcher)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if s := build(left, one); !s.Leaving(base[0]) || s.Leaving(base[1]) || len(s.Entries()) != 3 || !slices.Equal(s.Collections(), []string{"archive"}) {
		t.Errorf("got leaving %v, entries %v, collections %v; want %s leaving of 3 and archive", s.Leaving(base[0]), vmIDs(s.Entries()), s.Collections(), base[0])
	}
	if s := Empty(); s.Index("archive") != nil || s.Owners("archive", "s0") != nil || s.Revision() != 0 {
		t.Error("got documents in an empty snapshot, want none")
	}
}
