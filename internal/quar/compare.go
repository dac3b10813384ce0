package quar

import (
	"math/bits"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Two nodes compare their tables by the hashes of buckets of marks. The node that asks chooses the number of buckets by the size of its own table.
const (
	marksPerBucket = 4
	minBuckets     = 8
	maxBuckets     = 512
)

// bucketOf returns the bucket of a fingerprint. Fingerprints are hashes.
func bucketOf(fingerprint uint64, buckets int) uint32 { return uint32(fingerprint % uint64(buckets)) }

// Buckets returns the hashes of the buckets of this table, for Compare at another node.
func (t *Table) Buckets(now time.Time) []uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	wanted := uint(max(len(t.marks)/marksPerBucket, 1))
	return t.bucketHashes(now, min(max(1<<bits.Len(wanted-1), minBuckets), maxBuckets))
}

// bucketHashes returns the hashes of a number of buckets. The caller holds mu.
func (t *Table) bucketHashes(now time.Time, buckets int) []uint64 {
	hashes := make([]uint64, buckets)
	for fingerprint, m := range t.marks {
		if now.Before(m.expires) {
			hashes[bucketOf(fingerprint, buckets)] += m.hash(now, fingerprint)
		}
	}
	return hashes
}

// Compare returns the buckets whose hashes differ from those of another node, and this node's marks in them.
func (t *Table) Compare(now time.Time, theirs []uint64) (differing []uint32, marks []*wire.QuarantineMark) {
	if len(theirs) == 0 || len(theirs) > maxBuckets {
		return nil, nil
	}
	t.mu.RLock()
	ours := t.bucketHashes(now, len(theirs))
	t.mu.RUnlock()
	for i := range ours {
		if ours[i] != theirs[i] {
			differing = append(differing, uint32(i))
		}
	}
	return differing, inBuckets(t.Export(now), len(theirs), differing)
}

// Lacking returns this node's marks in the differing buckets that another node, which has sent its marks in them, does not have.
func (t *Table) Lacking(now time.Time, buckets int, differing []uint32, theirs []*wire.QuarantineMark) []*wire.QuarantineMark {
	known := make(map[uint64]*wire.QuarantineMark, len(theirs))
	for _, mark := range theirs {
		known[mark.GetFingerprint()] = mark
	}
	return slices.DeleteFunc(inBuckets(t.Export(now), buckets, differing), func(mark *wire.QuarantineMark) bool {
		other, ok := known[mark.GetFingerprint()]
		return ok && !addsTo(other, mark)
	})
}

// addsTo reports whether a mark holds something that another mark of the request lacks.
func addsTo(other, mark *wire.QuarantineMark) bool {
	if mark.GetGeneration() != other.GetGeneration() {
		return mark.GetGeneration() > other.GetGeneration()
	}
	return mark.GetTrials() > other.GetTrials() || mark.GetAnswered() && !other.GetAnswered() ||
		slices.ContainsFunc(mark.GetSearchers(), func(searcher string) bool { return !slices.Contains(other.GetSearchers(), searcher) })
}

// inBuckets returns the marks of some buckets.
func inBuckets(marks []*wire.QuarantineMark, buckets int, wanted []uint32) []*wire.QuarantineMark {
	return slices.DeleteFunc(marks, func(mark *wire.QuarantineMark) bool {
		return !slices.Contains(wanted, bucketOf(mark.GetFingerprint(), buckets))
	})
}
