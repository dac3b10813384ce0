package entry

import (
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// chooseSnapshot sets the index snapshot that the query runs on.
func (f *fanout) chooseSnapshot(now time.Time) {
	f.snapshot = f.bestSnapshot(now)
}

// bestSnapshot returns the index snapshot with the greatest share of reachable shards, or the newest of several with an equal share.
func (f *fanout) bestSnapshot(now time.Time) *shards.Snapshot {
	var best *shards.Snapshot
	if all := f.index.Snapshots(); len(all) == 1 {
		return all[0]
	}
	bestShare := -1.0
	for _, snapshot := range f.index.Snapshots() {
		if share := f.reachable(now, snapshot); share > bestShare {
			best, bestShare = snapshot, share
		}
	}
	return best
}

// reachable returns the fraction of a snapshot's shards that have a usable replica.
func (f *fanout) reachable(now time.Time, snapshot *shards.Snapshot) float64 {
	count := 0
	for shard := range snapshot.Shards() {
		usable := func(id string) bool {
			return !f.entry.avoided.lacksSnapshot(now, id, snapshot.Version()) && f.usable(now, id)
		}
		if slices.ContainsFunc(snapshot.Replicas(shard), usable) {
			count++
		}
	}
	return float64(count) / float64(snapshot.Shards())
}

// usable reports whether a searcher accepts work and one of its owners is reachable.
func (f *fanout) usable(now time.Time, id string) bool {
	if f.view.Leaving(id) || f.entry.avoided.avoided(now, id) {
		return false
	}
	_, ok := f.owner(id)
	return ok
}

// restartOnBetterSnapshot restarts the query on another snapshot if searchers no longer hold the current one and the other has more
// reachable shards. It reports whether it did. Results of the old snapshot are dropped, since an answer never mixes snapshots. A
// non-idempotent query may be restarted because the searcher that reported the snapshot as gone ran nothing of it; it is not
// restarted while another attempt is in flight.
func (f *fanout) restartOnBetterSnapshot(now time.Time) bool {
	if f.snapshotChanges >= maxSnapshotChanges || len(f.attempts) > 0 && f.query.GetNonIdempotent() {
		return false
	}
	best := f.bestSnapshot(now)
	if best == f.snapshot || f.reachable(now, best) <= f.reachable(now, f.snapshot) {
		return false
	}
	f.snapshotChanges++
	f.mayHaveRun = f.mayHaveRun || len(f.attempts) > 0 || f.reflected() > 0
	f.cancelAttempts(now, func(*attempt) bool { return true })
	f.snapshot = best
	f.parts = nil
	f.createParts(now)
	return true
}

// replicaCost is a candidate replica with its owner and its estimated cost; lower is better.
type replicaCost struct {
	id    string
	owner shards.VM
	cost  time.Duration
}

const (
	// otherRegionCost is the assumed round-trip time to another region until a latency has been observed.
	otherRegionCost = 25 * time.Millisecond
	// avoidedPenalty ranks an avoided searcher behind all others.
	avoidedPenalty = time.Minute
)

// replica returns the searcher to try next for a part and the owner to send the attempt through. It never returns a searcher that the VM
// list marks as leaving or that the part has already tried.
func (f *fanout) replica(now time.Time, p *part) (string, shards.VM, bool) {
	replicas := f.snapshot.Replicas(p.shard)
	var best replicaCost
	found := false
	for i := range replicas {
		// The iteration starts at a different replica for each query, so that replicas of equal cost, such as those in one region,
		// share the load.
		id := replicas[(i+int(f.id%uint64(len(replicas))))%len(replicas)]
		candidate, ok := f.candidate(now, p, id)
		if ok && (!found || candidate.cost < best.cost) {
			best, found = candidate, true
		}
	}
	return best.id, best.owner, found
}

// candidate returns a replica's cost and owner, or false if the replica must not be used for the part.
func (f *fanout) candidate(now time.Time, p *part, id string) (replicaCost, bool) {
	searcher, ok := f.index.Searcher(id)
	if !ok || f.view.Leaving(id) || slices.Contains(p.tried, id) || f.entry.avoided.lacksSnapshot(now, id, f.snapshot.Version()) {
		return replicaCost{}, false
	}
	owner, ok := f.owner(id)
	if !ok {
		return replicaCost{}, false
	}
	cost := f.entry.policies.Picker.Cost(now, id)
	if cost == 0 && searcher.Region() != f.entry.self.Region() {
		cost = otherRegionCost
	}
	if f.entry.avoided.avoided(now, id) {
		cost += avoidedPenalty
	}
	return replicaCost{id: id, owner: owner, cost: cost}, true
}

// owner returns the first owner of a searcher that this node can reach. A stopping owner is used only if there is no
// other, so that its work drains.
func (f *fanout) owner(searcher string) (shards.VM, bool) {
	var stopping shards.VM
	found := false
	for _, vm := range f.view.Owners(f.query.GetCollection(), searcher) {
		if slices.Contains(f.excludedOwners, vm.ID()) {
			continue
		}
		if vm.ID() != f.entry.self.ID() && !f.members.Reachable(vm.ID()) {
			continue
		}
		if !f.members.Leaving(vm.ID()) {
			return vm, true
		}
		if !found {
			stopping, found = vm, true
		}
	}
	return stopping, found
}

// coverage returns the number of shards that the answer reflects, and each missing shard with its reason.
func (f *fanout) coverage() *wire.Coverage {
	var missing []*wire.MissingShard
	for i := range f.parts {
		p := &f.parts[i]
		if p.reason == wire.Reason_REASON_UNSPECIFIED {
			continue
		}
		missing = append(missing, wire.MissingShard_builder{Shard: uint32(p.shard), Reason: p.reason}.Build())
	}
	return wire.Coverage_builder{
		Total:     uint32(len(f.parts)),
		Reflected: uint32(len(f.parts) - len(missing)),
		Missing:   missing,
	}.Build()
}
