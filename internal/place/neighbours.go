package place

import (
	"slices"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// fullMeshNodes is the number of nodes up to which every node is a neighbour of every other.
const fullMeshNodes = 16

// Neighbours returns the VMs that a node exchanges digests with, sorted by id: those at distances 1, 2, 4, 8 … on a hash ring within
// its availability zone, and one in each other zone. Up to 16 nodes, all others are neighbours.
//
// The distance-1 edges make each zone a cycle, and every node has an edge into every other zone, so the graph is strongly connected for
// any membership. A node that is listed as leaving keeps its place on the ring. A node that is not listed has one neighbour in each zone.
func Neighbours(self string, vms []shards.VM) []shards.VM {
	others := scoreVMs(vms, hashSeed("neighbour", self), func(vm *shards.VM) bool { return serving(vm) && vm.ID() != self })
	if len(others) < fullMeshNodes {
		return sortedVMs(others)
	}
	byZone := make(map[zone][]scoredVM)
	for _, other := range others {
		byZone[zoneOf(other.vm)] = append(byZone[zoneOf(other.vm)], other)
	}
	var chosen []scoredVM
	if own := entryByID(self, vms); own != nil {
		chosen = ringNeighbours(own, vms)
		delete(byZone, zoneOf(own))
	}
	for _, members := range byZone {
		chosen = append(chosen, slices.MinFunc(members, compareScores))
	}
	return sortedVMs(chosen)
}

func entryByID(id string, vms []shards.VM) *shards.VM {
	for i := range vms {
		if vms[i].ID() == id && vms[i].IsEntry() {
			return &vms[i]
		}
	}
	return nil
}

// ringNeighbours returns the VMs at power-of-two distances after self on the ring of its zone.
func ringNeighbours(self *shards.VM, vms []shards.VM) []scoredVM {
	ring := scoreVMs(vms, hashSeed("ring"), func(vm *shards.VM) bool {
		return zoneOf(vm) == zoneOf(self) && (serving(vm) || vm.ID() == self.ID())
	})
	slices.SortFunc(ring, compareScores)
	start := slices.IndexFunc(ring, func(s scoredVM) bool { return s.vm.ID() == self.ID() })
	var chosen []scoredVM
	for distance := 1; distance < len(ring); distance *= 2 {
		chosen = append(chosen, ring[(start+distance)%len(ring)])
	}
	return chosen
}

// sortedVMs returns copies of the VMs, sorted by id.
func sortedVMs(chosen []scoredVM) []shards.VM {
	vms := make([]shards.VM, 0, len(chosen))
	for _, s := range chosen {
		vms = append(vms, *s.vm)
	}
	slices.SortFunc(vms, func(a, b shards.VM) int { return strings.Compare(a.ID(), b.ID()) })
	return vms
}
