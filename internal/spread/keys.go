package spread

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// keySet holds the keys of the documents that a node keeps up to date.
type keySet struct {
	baseKeys []string
	// changed receives a notification when the set of keys was replaced or a document came into force.
	changed chan struct{}

	mu sync.Mutex
	// referenced holds the currently referenced keys, sorted. Nodes with the same list of uses reference the same keys, so the summary of
	// a digest covers only these.
	referenced []string
	// wanted holds all keys that were ever referenced.
	wanted map[string]bool
	// unknown holds the keys that the configuration service reported as unknown.
	unknown map[string]bool
	// version counts additions to wanted.
	version int
}

func newKeySet(regions []string) *keySet {
	baseKeys := []string{plans.PlansKey, plans.UsesKey} // A region may occur twice; setReferenced removes duplicates.
	for _, region := range regions {
		baseKeys = append(baseKeys, shards.VMsPrefix+region)
	}
	k := &keySet{baseKeys: baseKeys, changed: make(chan struct{}, 1), wanted: make(map[string]bool), unknown: make(map[string]bool)}
	k.setReferenced(nil)
	return k
}

// indexKeys returns the keys of the indexes that a list of uses refers to, and false for any other document.
func indexKeys(doc *Document) ([]string, bool) {
	if doc.Key() != plans.UsesKey {
		return nil, false
	}
	var keys []string
	for name := range doc.Sections() {
		if _, collection, ok := strings.Cut(name, "/"); ok {
			keys = append(keys, shards.IndexPrefix+collection)
		}
	}
	return keys, true
}

// setReferenced replaces the referenced keys by baseKeys and the given keys, and adds new ones to wanted.
func (k *keySet) setReferenced(keys []string) {
	referenced := slices.Concat(k.baseKeys, keys)
	slices.Sort(referenced)
	referenced = slices.Compact(referenced)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.referenced = referenced
	for _, key := range referenced {
		if !k.wanted[key] {
			k.wanted[key] = true
			k.version++
		}
	}
	notify(k.changed)
}

// recordFound records that a document is in force.
func (k *keySet) recordFound(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.unknown, key)
	notify(k.changed)
}

// recordUnknown records that the configuration service does not have the key.
func (k *keySet) recordUnknown(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unknown[key] = true
}

// wants reports whether the key was ever referenced.
func (k *keySet) wants(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wanted[key]
}

func (k *keySet) wantedKeys() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.wanted))
}

func (k *keySet) currentVersion() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}

// missing returns the referenced keys that are neither in force nor unknown to the configuration service.
func (k *keySet) missing(store *Store) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var missing []string
	for _, key := range k.referenced {
		if store.Get(key) == nil && !k.unknown[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

// summary returns the number of referenced documents and a hash of their keys, revisions and content hashes.
func (k *keySet) summary(store *Store) (uint64, uint64) {
	k.mu.Lock()
	referenced := k.referenced // The slice is replaced as a whole and never modified.
	k.mu.Unlock()
	var digest xxhash.Digest
	digest.Reset()
	var numbers [16]byte
	for _, key := range referenced {
		doc := store.Get(key)
		if doc != nil {
			binary.LittleEndian.PutUint64(numbers[:8], doc.Revision())
			binary.LittleEndian.PutUint64(numbers[8:], doc.Hash())
		} else {
			clear(numbers[:])
		}
		_, _ = digest.WriteString(key) // Writes to an xxhash.Digest never fail.
		_, _ = digest.Write(numbers[:])
	}
	return uint64(len(referenced)), digest.Sum64()
}

// notify sends on a channel with a buffer of 1, unless a notification is already pending.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
