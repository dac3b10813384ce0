package fakes

import (
	"hash/fnv"
	"strconv"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// DefaultHits is the number of hits for a sub-request without a limit.
	DefaultHits = 10
	// MaxHits is the number of hits that each shard has for each query.
	MaxHits = 1000

	hitIDBytes = 48
	// scoreStep is the maximum relative difference between the scores of consecutive hits.
	scoreStep = 0.1
	mantissa  = 1 << 53
)

// Hits returns the hits of a shard for a query, best first. They are a deterministic function of the arguments, and a smaller limit
// yields a prefix. An id is SNAPSHOT/SHARD/HASH. A limit of 0 or less means DefaultHits, and no shard returns more than MaxHits.
func Hits(collection string, snapshot uint64, shard int, query string, limit int) []*wire.Hit {
	if limit <= 0 {
		limit = DefaultHits
	}
	limit = min(limit, MaxHits)
	state := seed(collection, snapshot, shard, query)
	prefix := hitPrefix(snapshot, shard)
	block := make([]wire.Hit, limit)
	hits := make([]*wire.Hit, limit)
	id := make([]byte, 0, hitIDBytes)
	score := 1.0
	for i := range hits {
		state += 0x9e3779b97f4a7c15
		bits := mix(state)
		score *= 1 - scoreStep*float64(bits>>11)/mantissa
		id = append(id[:0], prefix...)
		id = strconv.AppendUint(id, bits, 16)
		block[i].SetId(string(id))
		block[i].SetScore(score)
		hits[i] = &block[i]
	}
	return hits
}

func hitPrefix(snapshot uint64, shard int) []byte {
	prefix := strconv.AppendUint(make([]byte, 0, hitIDBytes), snapshot, 10)
	prefix = append(prefix, '/')
	prefix = strconv.AppendInt(prefix, int64(shard), 10)
	return append(prefix, '/')
}

func seed(collection string, snapshot uint64, shard int, query string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(collection))
	h.Write([]byte{0})
	h.Write(hitPrefix(snapshot, shard))
	h.Write([]byte(query))
	return h.Sum64()
}

// mix is the output function of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
