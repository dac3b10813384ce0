package fakes

import (
	"slices"
)

// holding is one index snapshot of a collection with the shards that a searcher has of it.
type holding struct {
	collection string
	snapshot   uint64
	shards     []int
}

// holdings is an immutable list of holdings, one for each collection and snapshot.
type holdings []holding

func (h holdings) find(collection string, snapshot uint64) int {
	return slices.IndexFunc(h, func(one holding) bool {
		return one.collection == collection && one.snapshot == snapshot
	})
}

// has reports whether a shard is held.
func (h holdings) has(collection string, snapshot uint64, shard int) bool {
	at := h.find(collection, snapshot)
	return at >= 0 && slices.Contains(h[at].shards, shard)
}

// with returns the holdings and further shards of a snapshot.
func (h holdings) with(collection string, snapshot uint64, shards []int) holdings {
	added := holding{collection: collection, snapshot: snapshot, shards: slices.Clone(shards)}
	at := h.find(collection, snapshot)
	if at < 0 {
		return append(slices.Clone(h), added)
	}
	added.shards = slices.Concat(h[at].shards, shards)
	result := slices.Clone(h)
	result[at] = added
	return result
}

// without returns the holdings except a snapshot.
func (h holdings) without(collection string, snapshot uint64) holdings {
	return slices.DeleteFunc(slices.Clone(h), func(one holding) bool {
		return one.collection == collection && one.snapshot == snapshot
	})
}

// snapshots returns the distinct snapshot numbers, sorted.
func (h holdings) snapshots() []uint64 {
	numbers := make([]uint64, 0, len(h))
	for _, one := range h {
		numbers = append(numbers, one.snapshot)
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}
