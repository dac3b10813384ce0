package fakes

import (
	"testing"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

func startTestFleet(t *testing.T, settings FleetSettings) *Fleet {
	t.Helper()
	f, err := StartFleet(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func readSections(t *testing.T, f *Fleet, key string) map[string]string {
	t.Helper()
	got := get(newClient(t), "http://"+f.Platform().Address()+valuesPath+key, callTimeout)
	if got.err != nil || got.status != 200 {
		t.Fatalf("%s: got %d %v, want 200", key, got.status, got.err)
	}
	sections, err := conf.Split(key, got.body)
	if err != nil {
		t.Fatal(err)
	}
	return sections
}

// TestPresets guards against documents that nodes reject, and against fleets whose size differs from the tables in the design.
func TestPresets(t *testing.T) {
	type sizes struct{ searchers, shards, slots, connections int }
	cases := map[string]struct {
		settings    FleetSettings
		collections map[string]sizes
	}{
		"Nykterida": {settings: Nykterida(), collections: map[string]sizes{
			"care-desk":     {searchers: 30, shards: 10, slots: 2, connections: 25},
			"shop-front":    {searchers: 45, shards: 15, slots: 2, connections: 25},
			"billing-run":   {searchers: 16, shards: 8, slots: 2, connections: 100},
			"dispatch-tool": {searchers: 8, shards: 4, slots: 2, connections: 100},
		}},
		"Swanline": {settings: Swanline(), collections: map[string]sizes{
			"captain-portal": {searchers: 30, shards: 10, slots: 2, connections: 25},
			"proof-studio":   {searchers: 45, shards: 15, slots: 2, connections: 25},
			"rider-sizing":   {searchers: 4, shards: 2, slots: 6, connections: 50},
			"dispatch-board": {searchers: 3, shards: 1, slots: 6, connections: 50},
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startTestFleet(t, c.settings)
			parsedPlans, err := plans.ParsePlans(1, readSections(t, f, plans.PlansKey))
			if err != nil {
				t.Fatal(err)
			}
			uses, err := plans.ParseUses(1, readSections(t, f, plans.UsesKey))
			if err != nil {
				t.Fatal(err)
			}
			lists := plans.NewLists(parsedPlans, uses)
			if got, want := len(lists.PlanNames()), len(c.settings.Plans()); got != want {
				t.Errorf("got %d plans, want %d", got, want)
			}
			listed := 0
			for _, region := range c.settings.Regions() {
				key := shards.VMsPrefix + region.Name()
				vms, err := shards.ParseVMs(key, readSections(t, f, key))
				if err != nil {
					t.Fatal(err)
				}
				listed += len(vms)
			}
			total := 0
			for collection, want := range c.collections {
				total += want.searchers
				index, err := shards.ParseIndex(collection, 1, readSections(t, f, shards.IndexPrefix+collection))
				if err != nil {
					t.Fatal(err)
				}
				searcher := index.Searchers()[0]
				got := sizes{len(index.Searchers()), index.Snapshots()[0].Shards(), searcher.Slots(), searcher.Connections()}
				if got != want {
					t.Errorf("%s: got %+v, want %+v", collection, got, want)
				}
				checkReplicas(t, index)
			}
			if listed != total {
				t.Errorf("got %d searcher VMs in the lists, want %d", listed, total)
			}
		})
	}
}

// checkReplicas fails the test if a region has two replicas of a shard while another region has none.
func checkReplicas(t *testing.T, index *shards.Index) {
	t.Helper()
	for _, snapshot := range index.Snapshots() {
		for shard := range snapshot.Shards() {
			regions := make(map[string]bool)
			for _, id := range snapshot.Replicas(shard) {
				searcher, _ := index.Searcher(id)
				regions[searcher.Region()] = true
			}
			if got, want := len(regions), min(3, len(snapshot.Replicas(shard))); got != want {
				t.Errorf("%s shard %d/%d: got replicas in %d regions, want %d", index.Collection(), snapshot.Version(), shard, got, want)
			}
		}
	}
}

// TestFleetChanges guards against documents that are inconsistent with the searchers after a change.
func TestFleetChanges(t *testing.T) {
	node := shards.NewVM("node-1", "perth", "perth-a", "127.0.0.1:1", "127.0.0.1:2")
	cases := map[string]struct {
		change    func(f *Fleet) error
		vms       int
		leaving   []string
		snapshots []int
		fails     bool
	}{
		"nothing":         {change: func(f *Fleet) error { return nil }, vms: 2, snapshots: []int{3}},
		"node":            {change: func(f *Fleet) error { return f.AddNode(node) }, vms: 3, snapshots: []int{3}},
		"node leaves":     {change: func(f *Fleet) error { return firstError(f.AddNode(node), f.MarkLeaving("node-1")) }, vms: 3, leaving: []string{"node-1"}, snapshots: []int{3}},
		"node removed":    {change: func(f *Fleet) error { return firstError(f.AddNode(node), f.RemoveVM("node-1")) }, vms: 2, snapshots: []int{3}},
		"searcher leaves": {change: func(f *Fleet) error { return f.MarkLeaving("archive-00000") }, vms: 2, leaving: []string{"archive-00000"}, snapshots: []int{3}},
		"more shards":     {change: func(f *Fleet) error { return f.PublishSnapshot("archive", 2, 5) }, vms: 2, snapshots: []int{5, 3}},
		"fewer shards":    {change: func(f *Fleet) error { return f.PublishSnapshot("archive", 2, 2) }, vms: 2, snapshots: []int{2, 3}},
		"retired": {change: func(f *Fleet) error {
			return firstError(f.PublishSnapshot("archive", 2, 2), f.RetireSnapshot("archive", 1))
		}, vms: 2, snapshots: []int{2}},
		"duplicate snapshot": {change: func(f *Fleet) error { return f.PublishSnapshot("archive", 1, 2) }, vms: 2, snapshots: []int{3}, fails: true},
		"unknown collection": {change: func(f *Fleet) error { return f.PublishSnapshot("x", 2, 2) }, vms: 2, snapshots: []int{3}, fails: true},
		"unknown VM":         {change: func(f *Fleet) error { return f.MarkLeaving("x") }, vms: 2, snapshots: []int{3}, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			settings := NewFleetSettings(NewRegion("perth", "perth-a", "perth-b"), threeZones("bunbury"), threeZones("geraldton")).
				WithCollections(NewCollectionSettings("archive", 3, 0).WithReplicasPerRegion(1))
			f := startTestFleet(t, settings)
			// Each region has 3 searchers. Removing a VM of the first region covers VM lists of different lengths.
			if err := f.RemoveVM("archive-00006"); err != nil {
				t.Fatal(err)
			}
			if err := c.change(f); (err != nil) != c.fails {
				t.Fatalf("got error %v, want one: %v", err, c.fails)
			}
			checkVMs(t, f, c.vms, c.leaving)
			checkSnapshots(t, f, c.snapshots)
		})
	}
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkVMs(t *testing.T, f *Fleet, count int, leaving []string) {
	t.Helper()
	vms, err := shards.ParseVMs("vms/perth", readSections(t, f, "vms/perth"))
	if err != nil {
		t.Fatal(err)
	}
	var left []string
	for _, vm := range vms {
		if vm.Leaving() {
			left = append(left, vm.ID())
		}
		if vm.IsEntry() != (vm.ID() == "node-1") {
			t.Errorf("%s: got entry %v", vm.ID(), vm.IsEntry())
		}
	}
	if len(vms) != count || len(left) != len(leaving) || (len(left) > 0 && left[0] != leaving[0]) {
		t.Errorf("got %d VMs, leaving %v, want %d, %v", len(vms), left, count, leaving)
	}
}

// checkSnapshots compares the published snapshots with the expected shard counts, newest first, and with the shards that the searchers
// have loaded.
func checkSnapshots(t *testing.T, f *Fleet, counts []int) {
	t.Helper()
	index, err := f.Index("archive")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(index.Snapshots()), len(counts); got != want {
		t.Fatalf("got %d snapshots, want %d", got, want)
	}
	checkReplicas(t, index)
	for i, snapshot := range index.Snapshots() {
		if got, want := snapshot.Shards(), counts[i]; got != want {
			t.Errorf("snapshot %d: got %d shards, want %d", snapshot.Version(), got, want)
		}
		for shard := range snapshot.Shards() {
			for _, id := range snapshot.Replicas(shard) {
				if !f.Searcher(id).loaded.Load().has("archive", snapshot.Version(), shard) {
					t.Errorf("%s has not loaded shard %d/%d, which the document assigns to it", id, snapshot.Version(), shard)
				}
			}
		}
	}
}

// TestFleetRefuses guards against a fleet that starts with invalid settings, or that leaves searchers running after the failed start.
func TestFleetRefuses(t *testing.T) {
	region := NewRegion("perth", "perth-a")
	valid := NewCollectionSettings("archive", 2, 1)
	cases := map[string]FleetSettings{
		"no region":             NewFleetSettings(),
		"region without a zone": NewFleetSettings(region, NewRegion("bunbury")).WithCollections(valid),
		"no shards":             NewFleetSettings(region).WithCollections(valid, NewCollectionSettings("empty", 0, 1)),
		"no replicas":           NewFleetSettings(region).WithCollections(valid, NewCollectionSettings("empty", 1, 0)),
		"no slots":              NewFleetSettings(region).WithCollections(valid, NewCollectionSettings("empty", 1, 1).WithSlots(0)),
		"bad platform address":  NewFleetSettings(region).WithPlatform(PlatformSettings{}.WithAddress("127.0.0.1:-1")),
	}
	for name, settings := range cases {
		t.Run(name, func(t *testing.T) {
			f, err := StartFleet(settings)
			if err == nil {
				f.Close()
				t.Error("got a fleet, want an error")
			}
		})
	}
}
