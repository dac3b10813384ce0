// Package place selects VMs by rendezvous hashing: the owners of a group of shards, the readers of a document, the neighbours of a node,
// and the order of directory answers. Every node computes the same selection from the same VM list, so no agreement protocol is needed.
package place

import (
	"cmp"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// separator joins the parts of a hashed name, so that different parts never produce the same name.
const separator = "\x00"

// scoredVM is a VM with its rendezvous hash for one subject. It points into the list that it was taken from, since copying the VMs would
// cost more than hashing.
type scoredVM struct {
	score uint64
	vm    *shards.VM
}

// hashSeed returns the hash of a subject.
func hashSeed(subject ...string) uint64 {
	return xxhash.Sum64String(strings.Join(subject, separator))
}

// scoreVMs returns the VMs that the filter keeps, with their hashes, in list order.
func scoreVMs(vms []shards.VM, seed uint64, keep func(*shards.VM) bool) []scoredVM {
	candidates := make([]scoredVM, 0, len(vms))
	var digest xxhash.Digest
	for i := range vms {
		vm := &vms[i]
		if !keep(vm) {
			continue
		}
		digest.ResetWithSeed(seed)
		_, _ = digest.WriteString(vm.ID()) // Digest.WriteString never returns an error.
		candidates = append(candidates, scoredVM{score: digest.Sum64(), vm: vm})
	}
	return candidates
}

// compareScores orders by hash, greatest first; ties are broken by id.
func compareScores(a, b scoredVM) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return strings.Compare(a.vm.ID(), b.vm.ID())
}

// zone identifies an availability zone; regions may use the same zone names.
type zone struct {
	region string
	name   string
}

func zoneOf(vm *shards.VM) zone {
	return zone{region: vm.Region(), name: vm.AvailabilityZone()}
}

// serving reports whether a VM runs a node that is not leaving.
func serving(vm *shards.VM) bool {
	return vm.IsEntry() && !vm.Leaving()
}

// servingIn returns a filter for the nodes of one region that are not leaving.
func servingIn(region string) func(*shards.VM) bool {
	return func(vm *shards.VM) bool { return serving(vm) && vm.Region() == region }
}
