package spread

import (
	"sync"

	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// topology derives this node's neighbours from the VM list and caches them until the list changes.
type topology struct {
	self    string
	listVMs func() []shards.VM

	mu      sync.Mutex
	current *topologyView
	// exchanges counts the digest exchanges for which nextNeighbour chose a neighbour.
	exchanges int
}

// topologyView is the topology derived from one VM list, as seen from this node. It is immutable.
type topologyView struct {
	vms        []shards.VM
	neighbours []shards.VM
	byID       map[string]shards.VM
	// regions is the number of regions with at least one listed node.
	regions int
}

// view returns the topology for the current VM list.
func (t *topology) view() *topologyView {
	vms := t.listVMs()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || !sameSlice(t.current.vms, vms) {
		t.current = newTopologyView(t.self, vms)
	}
	return t.current
}

func newTopologyView(self string, vms []shards.VM) *topologyView {
	view := &topologyView{vms: vms, neighbours: place.Neighbours(self, vms), byID: make(map[string]shards.VM, len(vms))}
	regions := make(map[string]bool)
	for _, vm := range vms {
		if vm.IsEntry() {
			view.byID[vm.ID()] = vm
			regions[vm.Region()] = true
		}
	}
	view.regions = len(regions)
	return view
}

// vm returns the entry VM with the given id.
func (v *topologyView) vm(id string) (shards.VM, bool) {
	vm, ok := v.byID[id]
	return vm, ok
}

// sameSlice reports whether a and b are the same slice of the same array, without comparing elements.
func sameSlice(a, b []shards.VM) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// nextNeighbour returns the neighbours in round-robin order, and false if there are none.
func (t *topology) nextNeighbour() (shards.VM, bool) {
	neighbours := t.view().neighbours
	if len(neighbours) == 0 {
		return shards.VM{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchanges++
	return neighbours[t.exchanges%len(neighbours)], true
}

// estimatedNodes estimates the number of nodes in all regions, at least 1. It extrapolates from the regions whose lists are known, since
// some may be missing.
func (v *topologyView) estimatedNodes(allRegions int) int {
	if v.regions == 0 {
		return 1
	}
	return max(1, len(v.byID)*max(allRegions, v.regions)/v.regions)
}
