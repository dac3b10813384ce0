package quar

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two nodes that still have different marks after a comparison, and against marks that are sent to a node that has them.
func TestComparisonLeavesBothWithTheUnion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		near, far := New(Settings{}), New(Settings{})
		for _, table := range []*Table{near, far} {
			for range rapid.IntRange(0, 80).Draw(t, "losses") {
				fingerprint := rapid.Uint64Range(0, 200).Draw(t, "fingerprint")
				table.RecordExclusiveLoss(now, fingerprint, fmt.Sprint("i-", rapid.IntRange(0, 3).Draw(t, "searcher")))
			}
		}
		before := far.Hash(now)
		buckets := near.Buckets(now)
		differing, marks := far.Compare(now, buckets)
		lacking := near.Lacking(now, len(buckets), differing, marks)
		near.Merge(now, marks)
		for _, mark := range lacking {
			if own := far.Mark(now, mark.GetFingerprint()); own != nil && !slices.ContainsFunc(mark.GetSearchers(), func(s string) bool { return !slices.Contains(own.GetSearchers(), s) }) {
				t.Fatalf("got mark %v sent to a node that has %v", mark, own)
			}
		}
		far.Merge(now, lacking)
		if got, want := near.Hash(now), far.Hash(now); got != want {
			t.Fatalf("got hashes %x and %x after a comparison, want equal ones", got, want)
		}
		if far.Hash(now) == before && len(lacking) > 0 {
			t.Fatalf("got %d marks that the other node lacked, want none that change nothing", len(lacking))
		}
	})
}

// Guards against an answer to a comparison that another node has malformed.
func TestCompareRefusesTooManyBuckets(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := New(Settings{})
	table.RecordExclusiveLoss(now, 1, "i-0")
	for name, buckets := range map[string]int{"none": 0, "too many": maxBuckets + 1} {
		if differing, marks := table.Compare(now, make([]uint64, buckets)); len(differing) > 0 || len(marks) > 0 {
			t.Errorf("%s: got %d buckets and %d marks, want none", name, len(differing), len(marks))
		}
	}
}
