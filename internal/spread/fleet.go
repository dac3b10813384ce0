package spread

import (
	"sync"

	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// fleet derives this node's neighbours from the VM list, once for each list.
type fleet struct {
	self string
	list func() []shards.VM

	mu      sync.Mutex
	current *fleetView
	// turn counts the digest exchanges.
	turn int
}

// fleetView is what one VM list means for this node. It is immutable.
type fleetView struct {
	vms        []shards.VM
	neighbours []shards.VM
	byID       map[string]shards.VM
	// regions counts the regions that list any node.
	regions int
}

func (f *fleet) view() *fleetView {
	vms := f.list()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil || !sameSlice(f.current.vms, vms) {
		f.current = newFleetView(f.self, vms)
	}
	return f.current
}

func newFleetView(self string, vms []shards.VM) *fleetView {
	view := &fleetView{vms: vms, neighbours: place.Neighbours(self, vms), byID: make(map[string]shards.VM, len(vms))}
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

// vm returns an entry VM by id.
func (v *fleetView) vm(id string) (shards.VM, bool) {
	vm, ok := v.byID[id]
	return vm, ok
}

func sameSlice(a, b []shards.VM) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// next returns the next neighbour in turn.
func (f *fleet) next() (shards.VM, bool) {
	neighbours := f.view().neighbours
	if len(neighbours) == 0 {
		return shards.VM{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	return neighbours[f.turn%len(neighbours)], true
}

// size estimates the number of nodes in all regions, at least 1, while the lists of some regions may be missing.
func (v *fleetView) size(allRegions int) int {
	if v.regions == 0 {
		return 1
	}
	return max(1, len(v.byID)*max(allRegions, v.regions)/v.regions)
}
