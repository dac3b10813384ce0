// Package shards parses what the platform publishes about the fleet into immutable values: the VM lists, and for each
// collection the index document with its searchers, index snapshots and partition maps.
package shards

import (
	"slices"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// VMsPrefix is the prefix of the keys of VM lists; the name of the region follows.
const VMsPrefix = "vms/"

// VM is one section of a VM list.
type VM struct {
	id          string
	entry       bool
	address     string
	peerAddress string
	region      string
	zone        string
	leaving     bool
}

// NewVM returns an entry VM. It is meant for tests and tools; nodes use ParseVMList.
func NewVM(id, region, zone, address, peerAddress string) VM {
	return VM{id: id, entry: true, region: region, zone: zone, address: address, peerAddress: peerAddress}
}

// ID returns the VM's id.
func (v VM) ID() string { return v.id }

// IsEntry reports whether the VM runs a node; otherwise it runs a searcher.
func (v VM) IsEntry() bool { return v.entry }

// Address returns the host and TCP port for callers, or for sub-requests if the VM runs a searcher.
func (v VM) Address() string { return v.address }

// PeerAddress returns the host and UDP port for other nodes.
func (v VM) PeerAddress() string { return v.peerAddress }

// Region returns the region.
func (v VM) Region() string { return v.region }

// AvailabilityZone returns the availability zone.
func (v VM) AvailabilityZone() string { return v.zone }

// Leaving reports whether the VM list marks the VM as leaving.
func (v VM) Leaving() bool { return v.leaving }

// AsLeaving returns a copy of the VM that is marked as leaving.
func (v VM) AsLeaving() VM {
	v.leaving = true
	return v
}

// ParseVMs parses the sections of one region's VM list and returns the VMs, sorted by id. It returns conf.Faults if a
// section is invalid, an entry VM has no peer address, or a VM is in another region than the key names.
func ParseVMs(key string, sections map[string]string) ([]VM, error) {
	list, err := ParseVMList(key, sections, nil)
	if err != nil {
		return nil, err
	}
	return list.vms, nil
}

// VMList is one region's parsed VM list. It is immutable.
type VMList struct {
	// vms is sorted by id.
	vms []VM
	// bodies holds the sections that the VMs were parsed from.
	bodies map[string]string
}

// VMs returns the VMs, sorted by id. The caller must not change the result.
func (l *VMList) VMs() []VM { return l.vms }

// unchanged returns the VM with the given id if its section is the same as in this list. The list may be nil.
func (l *VMList) unchanged(id, body string) (VM, bool) {
	if l == nil {
		return VM{}, false
	}
	if old, ok := l.bodies[id]; !ok || old != body {
		return VM{}, false
	}
	i, ok := slices.BinarySearchFunc(l.vms, id, func(vm VM, id string) int { return strings.Compare(vm.id, id) })
	return l.vms[i], ok
}

// ParseVMList parses a VM list. VMs of unchanged sections are taken from the previous list before, which may be nil. The
// result retains the map of sections, which must not be changed afterwards. ParseVMList returns the same conf.Faults as
// ParseVMs.
func ParseVMList(key string, sections map[string]string, before *VMList) (*VMList, error) {
	vms := make([]VM, 0, len(sections))
	var faults conf.Faults
	for id, body := range sections {
		vm, ok := before.unchanged(id, body)
		if !ok {
			section := &wire.VMSection{}
			if err := conf.Decode(key, id, body, section); err != nil {
				faults = faults.AppendError(err)
				continue
			}
			vm = newVM(id, section)
			faults = append(faults, checkVM(key, vm)...)
		}
		vms = append(vms, vm)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.id, b.id) })
	return &VMList{vms: vms, bodies: sections}, nil
}

func newVM(id string, section *wire.VMSection) VM {
	return VM{
		id:          id,
		entry:       section.GetKind() == "entry",
		address:     section.GetAddress(),
		peerAddress: section.GetPeerAddress(),
		region:      section.GetRegion(),
		zone:        section.GetAvailabilityZone(),
		leaving:     section.GetState() == "leaving",
	}
}

// checkVM returns faults for an entry VM that other nodes could not reach and for a VM of another region than its list.
func checkVM(key string, vm VM) conf.Faults {
	var faults conf.Faults
	if vm.entry && vm.peerAddress == "" {
		faults = append(faults, conf.NewFault(key, vm.id, "peer_address", "an entry VM needs a peer address"))
	}
	if region := strings.TrimPrefix(key, VMsPrefix); vm.region != region {
		faults = append(faults, conf.NewFault(key, vm.id, "region", "the list is of region "+region+", not "+vm.region))
	}
	return faults
}
