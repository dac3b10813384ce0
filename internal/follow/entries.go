package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

// Entry is an entry of the source, or a record of its removal.
type Entry struct {
	Key      string
	Value    []byte
	Revision epoch.Revision
	Removed  bool
}

// Batch is a set of entries up to a revision of the source, all of its era. A complete batch lists all existing entries.
type Batch struct {
	Entries  []Entry
	Revision epoch.Revision
	Complete bool
}

// maxRemoved is the number of removals that are kept for other nodes. A node that is missing an older removal gets a complete batch.
const maxRemoved = 4096

// entries is a copy of the source's entries, complete up to revision. It never moves backwards: of two entries with the same key the later one
// is kept.
type entries struct {
	byKey map[string]Entry
	// removed holds the removals in the order of their revisions. Some of those up to historyFloor are missing.
	removed      []Entry
	historyFloor epoch.Revision
	revision     epoch.Revision
	// upToDateAt is the latest time at which the source was known to have no later entries.
	upToDateAt time.Time
}

func newEntries() *entries { return &entries{byKey: make(map[string]Entry)} }

// countOlder returns the number of entries of a batch that merge ignores, since later revisions are known.
func (e *entries) countOlder(batch Batch) int {
	older := 0
	for _, entry := range batch.Entries {
		known, ok := e.byKey[entry.Key]
		if (ok && known.Revision > entry.Revision) || (!ok && !entry.Removed && entry.Revision <= e.revision) {
			older++
		}
	}
	return older
}

// merge merges a batch and returns the entries that changed, one per key, in their final state.
func (e *entries) merge(batch Batch) []Entry {
	latest := make(map[string]Entry)
	listed := make(map[string]bool)
	for _, entry := range batch.Entries {
		listed[entry.Key] = true
		if e.store(entry) {
			latest[entry.Key] = entry
		}
	}
	if batch.Complete {
		for key, known := range e.byKey {
			if listed[key] || known.Revision > batch.Revision {
				continue
			}
			latest[key] = Entry{Key: key, Revision: batch.Revision, Removed: true}
			e.store(latest[key])
		}
		// Keys that came and went before the batch are in neither.
		e.historyFloor = max(e.historyFloor, batch.Revision)
	}
	e.revision = max(e.revision, batch.Revision)
	return slices.Collect(maps.Values(latest))
}

// store stores an entry unless a later one is known, and reports whether it did.
func (e *entries) store(entry Entry) bool {
	known, ok := e.byKey[entry.Key]
	if ok && known.Revision >= entry.Revision {
		return false
	}
	if !ok && entry.Revision <= e.revision {
		// An entry up to this revision that is unknown has been removed since.
		return false
	}
	if !entry.Removed {
		if e.removedSince(entry) {
			return false
		}
		e.byKey[entry.Key] = entry
		return true
	}
	delete(e.byKey, entry.Key)
	e.recordRemoval(entry)
	return ok
}

// recordRemoval keeps a removal for other nodes, which may know a key that this node never learned of.
func (e *entries) recordRemoval(entry Entry) {
	e.removed = append(e.removed, entry)
	if len(e.removed) > maxRemoved {
		e.historyFloor = max(e.historyFloor, e.removed[0].Revision)
		e.removed = slices.Delete(e.removed, 0, 1)
	}
}

// removedSince reports whether the key was removed after the entry was written.
func (e *entries) removedSince(entry Entry) bool {
	for i := len(e.removed) - 1; i >= 0; i-- {
		if e.removed[i].Key == entry.Key {
			return e.removed[i].Revision >= entry.Revision
		}
	}
	return false
}

// since returns the changes after a revision, or a complete batch when some of the removals since then have been dropped.
func (e *entries) since(revision epoch.Revision) Batch {
	batch := Batch{Revision: e.revision, Complete: revision == 0 || revision < e.historyFloor}
	for _, entry := range e.byKey {
		if batch.Complete || entry.Revision > revision {
			batch.Entries = append(batch.Entries, entry)
		}
	}
	if !batch.Complete {
		for _, entry := range e.removed {
			if entry.Revision > revision {
				batch.Entries = append(batch.Entries, entry)
			}
		}
	}
	return batch
}

// confirm records that the source had nothing later than the current revision at the given time.
func (e *entries) confirm(at time.Time) {
	if at.After(e.upToDateAt) {
		e.upToDateAt = at
	}
}
