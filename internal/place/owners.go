package place

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

const (
	// ownersPerGroup counts the primary, the secondary and the standby.
	ownersPerGroup = 3
	// readersPerRegion is the number of readers of one key in each region.
	readersPerRegion = 2
)

// Owners returns the primary, the secondary and the standby owner of a group of shards in a region, or fewer when there are fewer VMs.
// They are in different availability zones if the region has enough of them. A region without a live entry VM takes owners from all regions.
func Owners(collection string, group int, region string, vms []shards.VM) []shards.VM {
	subject := hashSeed("owner", collection, strconv.Itoa(group), region)
	candidates := scoreVMs(vms, subject, servingIn(region))
	if len(candidates) == 0 {
		candidates = scoreVMs(vms, subject, serving)
	}
	return spreadZones(candidates, ownersPerGroup)
}

// Readers returns the VMs of a region that watch a key at the configuration service, in distinct availability zones where possible.
func Readers(key, region string, vms []shards.VM) []shards.VM {
	return spreadZones(scoreVMs(vms, hashSeed("reader", key), servingIn(region)), readersPerRegion)
}

// spreadZones selects up to n VMs by score, preferring zones that have none selected yet.
func spreadZones(candidates []scoredVM, n int) []shards.VM {
	n = min(n, len(candidates))
	chosen := make([]shards.VM, 0, n)
	for len(chosen) < n {
		best := highestScoreIndex(candidates, func(s scoredVM) bool { return !hasZone(chosen, zoneOf(s.vm)) })
		if best < 0 {
			best = highestScoreIndex(candidates, func(scoredVM) bool { return true })
		}
		chosen = append(chosen, *candidates[best].vm)
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

// highestScoreIndex returns the index of the qualifying candidate with the highest score, or -1.
func highestScoreIndex(candidates []scoredVM, qualifies func(scoredVM) bool) int {
	best := -1
	for i, candidate := range candidates {
		if best >= 0 && compareScores(candidate, candidates[best]) >= 0 {
			continue
		}
		if qualifies(candidate) {
			best = i
		}
	}
	return best
}

func hasZone(vms []shards.VM, z zone) bool {
	for i := range vms {
		if zoneOf(&vms[i]) == z {
			return true
		}
	}
	return false
}

// Order returns the live entry VMs in the order of a directory answer: those in the caller's availability zone first, then those in its
// region, then the others, each part by rendezvous hash of the caller's id. The region is that of the listed VMs in the zone.
func Order(caller, zone string, vms []shards.VM) []shards.VM {
	ranked := scoreVMs(vms, hashSeed("caller", caller), serving)
	slices.SortFunc(ranked, compareScores)
	region := regionOf(zone, vms)
	distance := func(vm *shards.VM) int {
		switch {
		case vm.AvailabilityZone() == zone:
			return 0
		case vm.Region() == region:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(ranked, func(a, b scoredVM) int { return distance(a.vm) - distance(b.vm) })
	ordered := make([]shards.VM, len(ranked))
	for i, s := range ranked {
		ordered[i] = *s.vm
	}
	return ordered
}

// regionOf returns the region of an availability zone, or an empty string when no VM is listed in it.
func regionOf(zone string, vms []shards.VM) string {
	for i := range vms {
		if vms[i].AvailabilityZone() == zone {
			return vms[i].Region()
		}
	}
	return ""
}

// Rank returns the number of other VMs before a VM in the order for a key.
func Rank(self string, key uint64, vms []shards.VM) int {
	rank := 0
	candidates := scoreVMs(vms, key, func(*shards.VM) bool { return true })
	own := slices.IndexFunc(candidates, func(c scoredVM) bool { return c.vm.ID() == self })
	if own < 0 {
		return len(vms)
	}
	for _, other := range candidates {
		if cmp.Or(cmp.Compare(other.score, candidates[own].score), cmp.Compare(other.vm.ID(), self)) < 0 {
			rank++
		}
	}
	return rank
}
