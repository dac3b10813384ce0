package place

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

const testRegions = 3

// drawVMs draws a VM list over up to 3 regions with up to 3 zones each.
func drawVMs(t *rapid.T, least, most int) []shards.VM {
	n := rapid.IntRange(least, most).Draw(t, "nodes")
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	vms := make([]shards.VM, n)
	for i := range vms {
		vms[i] = testVM(i, rapid.IntRange(0, testRegions-1).Draw(t, "region"), rapid.IntRange(0, zones-1).Draw(t, "zone"))
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			vms[i] = vms[i].AsLeaving()
		case 1:
			vms[i] = searcherVM(t, vms[i])
		}
	}
	return vms
}

func testVM(i, region, zone int) shards.VM {
	return shards.NewVM(fmt.Sprintf("vm-%d", i), fmt.Sprintf("r%d", region), fmt.Sprintf("r%d-z%d", region, zone), "", "")
}

// searcherVM returns a searcher in the same region and zone as the entry VM.
func searcherVM(t *rapid.T, vm shards.VM) shards.VM {
	body := fmt.Sprintf("kind = searcher\naddress = a:1\nregion = %s\navailability_zone = %s\n", vm.Region(), vm.AvailabilityZone())
	vms, err := shards.ParseVMs(shards.VMsPrefix+vm.Region(), map[string]string{vm.ID(): body})
	if err != nil {
		t.Fatal(err)
	}
	return vms[0]
}

func ids(vms []shards.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.ID()
	}
	return names
}

// filter returns the VMs for which keep returns true.
func filter(vms []shards.VM, keep func(*shards.VM) bool) []shards.VM {
	var kept []shards.VM
	for _, vm := range vms {
		if keep(&vm) {
			kept = append(kept, vm)
		}
	}
	return kept
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(id string) bool { return slices.Contains(b, id) })
}

func distinctZones(vms []shards.VM) int {
	seen := make(map[zone]bool)
	for _, vm := range vms {
		seen[zoneOf(&vm)] = true
	}
	return len(seen)
}

// Guards against owners that are leaving, in the wrong region, duplicated, or in the same zone without need.
func TestOwnersAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t, 0, 30)
		live := filter(vms, serving)
		candidates := filter(vms, servingIn("r0"))
		if len(candidates) == 0 {
			candidates = live
		}
		owners := Owners("shop-front", 3, "r0", vms)
		if got, want := len(owners), min(ownersPerGroup, len(candidates)); got != want {
			t.Fatalf("got %d owners, want %d", got, want)
		}
		if extra := difference(ids(owners), ids(candidates)); len(extra) > 0 {
			t.Errorf("owners %v are not live entry VMs of the region", extra)
		}
		if got, want := distinctZones(owners), min(len(owners), distinctZones(candidates)); got != want {
			t.Errorf("got %d zones, want %d", got, want)
		}
		if len(owners) > 1 && distinctZones(candidates) > 1 && zoneOf(&owners[0]) == zoneOf(&owners[1]) {
			t.Errorf("primary and secondary share zone %v", zoneOf(&owners[0]))
		}
	})
}

// Guards against reassignments beyond those that the loss or the arrival of one VM requires.
func TestOwnersMoveOnlyWithTheChangedVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t, 2, 40)
		removed := rapid.IntRange(0, len(vms)-1).Draw(t, "gone")
		after := slices.Delete(slices.Clone(vms), removed, removed+1)
		if len(filter(after, servingIn("r0"))) == 0 {
			t.Skip("the fallback to all regions replaces all owners")
		}
		for group := range 8 {
			checkReplaced(t, Owners("c", group, "r0", vms), Owners("c", group, "r0", after), vms[removed].ID())
			key := fmt.Sprintf("key-%d", group)
			checkReplaced(t, Readers(key, "r0", vms), Readers(key, "r0", after), vms[removed].ID())
		}
	})
}

// checkReplaced verifies that without the VM removed, the selection is unchanged except for at most one VM in its place. In reverse, this
// covers the arrival of that VM.
func checkReplaced(t *rapid.T, before, after []shards.VM, removed string) {
	lost := difference(ids(before), ids(after))
	gained := difference(ids(after), ids(before))
	if !slices.Contains(ids(before), removed) {
		if got, want := ids(after), ids(before); !slices.Equal(got, want) {
			t.Errorf("selection without %s: got %v, want %v", removed, got, want)
		}
		return
	}
	if got, want := lost, []string{removed}; !slices.Equal(got, want) {
		t.Errorf("lost %v, want %v", got, want)
	}
	if len(gained) > 1 {
		t.Errorf("gained %v, want at most one", gained)
	}
}

// Guards against an uneven distribution that would overload single nodes.
func TestOwnersAreBalanced(t *testing.T) {
	const nodes, groups = 60, 6000
	var vms []shards.VM
	for i := range nodes {
		vms = append(vms, testVM(i, 0, i%3))
	}
	primary := make(map[string]int)
	secondary := make(map[string]int)
	for group := range groups {
		owners := Owners("c", group, "r0", vms)
		primary[owners[0].ID()]++
		secondary[owners[1].ID()]++
	}
	const mean = groups / nodes
	for _, vm := range vms {
		if got := primary[vm.ID()]; got < mean/2 || got > mean*3/2 {
			t.Errorf("%s is primary of %d groups, want %d ± 50%%", vm.ID(), got, mean)
		}
		if got := secondary[vm.ID()]; got < mean/2 || got > mean*3/2 {
			t.Errorf("%s is secondary of %d groups, want %d ± 50%%", vm.ID(), got, mean)
		}
	}
}

// Guards against a region without entry VMs that gets no owners.
func TestOwnersFallBackToAllRegions(t *testing.T) {
	vms := []shards.VM{testVM(0, 0, 0).AsLeaving(), testVM(1, 1, 0), testVM(2, 2, 0), testVM(3, 2, 1)}
	if got, want := len(Owners("c", 0, "r0", vms)), 3; got != want {
		t.Errorf("got %d owners, want %d", got, want)
	}
	if got := Readers("plans", "r0", vms); len(got) != 0 {
		t.Errorf("got readers %v in a region without live VMs, want none", ids(got))
	}
}

// Guards against neighbour sets through which some node cannot be reached, for any membership.
func TestNeighboursConnectTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t, 1, 80)
		live := filter(vms, serving)
		edges := make(map[string][]string)
		for _, vm := range live {
			edges[vm.ID()] = ids(Neighbours(vm.ID(), vms))
		}
		reverse := make(map[string][]string)
		for from, targets := range edges {
			for _, to := range targets {
				if to == from {
					t.Fatalf("%s is its own neighbour", from)
				}
				reverse[to] = append(reverse[to], from)
			}
		}
		if len(live) == 0 {
			return
		}
		for name, graph := range map[string]map[string][]string{"forward": edges, "backward": reverse} {
			if got, want := countReachable(graph, live[0].ID()), len(live); got != want {
				t.Errorf("%s: reached %d nodes, want %d", name, got, want)
			}
		}
	})
}

func countReachable(graph map[string][]string, from string) int {
	seen := map[string]bool{from: true}
	queue := []string{from}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, next := range graph[node] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen)
}

// Guards against neighbour sets of the wrong size for small and large fleets, and for nodes that are leaving or not listed.
func TestNeighboursCount(t *testing.T) {
	build := func(n int) []shards.VM {
		var vms []shards.VM
		for i := range n {
			vms = append(vms, testVM(i, i%3, i/3%3))
		}
		return vms
	}
	large := build(2700)
	leaving := slices.Clone(large)
	leaving[0] = leaving[0].AsLeaving()
	tests := map[string]struct {
		self string
		vms  []shards.VM
		want int
	}{
		"16 nodes: all others":                   {self: "vm-0", vms: build(16), want: 15},
		"17 nodes: 2 in the zone, 1 per other":   {self: "vm-0", vms: build(17), want: 1 + 8},
		"2700 nodes: 9 in the zone, 8 others":    {self: "vm-0", vms: large, want: 9 + 8},
		"leaving node keeps its place":           {self: "vm-0", vms: leaving, want: 9 + 8},
		"unlisted node: one in each zone":        {self: "new", vms: large, want: 9},
		"only node":                              {self: "vm-0", vms: build(1), want: 0},
		"unlisted node in a fleet of 16 or less": {self: "new", vms: build(8), want: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := len(Neighbours(test.self, test.vms)); got != test.want {
				t.Errorf("got %d neighbours, want %d", got, test.want)
			}
		})
	}
}

// Guards against a change of one VM that moves ring edges which do not span it. An edge of distance d spans d VMs, so the distances
// 1, 2, 4 … below n move at most n edges, of the n·log2(n) in the ring. Edges into other zones move only with their target.
func TestNeighboursMovement(t *testing.T) {
	var vms []shards.VM
	for i := range 900 {
		vms = append(vms, testVM(i, 0, i%3))
	}
	const removed = 450
	after := slices.Delete(slices.Clone(vms), removed, removed+1)
	removedZone := zoneOf(&vms[removed])
	ringMoved, zoneNodes := 0, 0
	for _, vm := range after {
		before, now := Neighbours(vm.ID(), vms), Neighbours(vm.ID(), after)
		lost := difference(ids(before), ids(now))
		if zoneOf(&vm) != removedZone {
			if len(difference(lost, []string{vms[removed].ID()})) > 0 {
				t.Errorf("%s in another zone lost %v", vm.ID(), lost)
			}
			continue
		}
		zoneNodes++
		ringMoved += len(lost)
	}
	if got, want := ringMoved, 2*(zoneNodes+1); got > want {
		t.Errorf("%d ring edges moved, want at most %d", got, want)
	}
}

// Guards against directory answers that contain leaving VMs or searchers, or ignore the caller's zone.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t, 0, 30)
		ordered := Order("caller-1", "r1-z0", vms)
		if got, want := len(ordered), len(filter(vms, serving)); got != want {
			t.Fatalf("got %d entries, want %d", got, want)
		}
		outside := false
		for _, vm := range ordered {
			if vm.Leaving() || !vm.IsEntry() {
				t.Errorf("%s is leaving or no entry", vm.ID())
			}
			local := vm.AvailabilityZone() == "r1-z0"
			if local && outside {
				t.Errorf("%s of the caller's zone follows VMs of other zones", vm.ID())
			}
			outside = outside || !local
		}
	})
}

// Guards against all callers choosing the same entry first.
func TestOrderSpreadsCallers(t *testing.T) {
	var vms []shards.VM
	for i := range 8 {
		vms = append(vms, testVM(i, 0, 0))
	}
	first := make(map[string]int)
	for caller := range 8000 {
		first[Order(fmt.Sprintf("caller-%d", caller), "r0-z0", vms)[0].ID()]++
	}
	for _, vm := range vms {
		if got := first[vm.ID()]; got < 800 || got > 1200 {
			t.Errorf("%s is first for %d of 8000 callers, want 1000 ± 20%%", vm.ID(), got)
		}
	}
}

func BenchmarkOwners(b *testing.B) {
	var vms []shards.VM
	for i := range 2700 {
		vms = append(vms, testVM(i, i%3, i/3%3))
	}
	for b.Loop() {
		Owners("c", 7, "r0", vms)
	}
}
