package fakes

import (
	"slices"
)

// snapshotShards holds the shards of one index snapshot of a collection that a searcher has loaded.
type snapshotShards struct {
	collection string
	snapshot   uint64
	shards     []int
}

// shardSet is the immutable set of shards that a searcher has loaded, with one element for each collection and snapshot.
type shardSet []snapshotShards

func (s shardSet) find(collection string, snapshot uint64) int {
	return slices.IndexFunc(s, func(element snapshotShards) bool {
		return element.collection == collection && element.snapshot == snapshot
	})
}

// has reports whether the set contains a shard.
func (s shardSet) has(collection string, snapshot uint64, shard int) bool {
	i := s.find(collection, snapshot)
	return i >= 0 && slices.Contains(s[i].shards, shard)
}

// with returns the set with additional shards of a snapshot.
func (s shardSet) with(collection string, snapshot uint64, shards []int) shardSet {
	added := snapshotShards{collection: collection, snapshot: snapshot, shards: slices.Clone(shards)}
	i := s.find(collection, snapshot)
	if i < 0 {
		return append(slices.Clone(s), added)
	}
	added.shards = slices.Concat(s[i].shards, shards)
	result := slices.Clone(s)
	result[i] = added
	return result
}

// without returns the set without a snapshot.
func (s shardSet) without(collection string, snapshot uint64) shardSet {
	return slices.DeleteFunc(slices.Clone(s), func(element snapshotShards) bool {
		return element.collection == collection && element.snapshot == snapshot
	})
}

// snapshots returns the distinct snapshot numbers, sorted.
func (s shardSet) snapshots() []uint64 {
	numbers := make([]uint64, 0, len(s))
	for _, element := range s {
		numbers = append(numbers, element.snapshot)
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}
