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

// keySet holds the keys of the documents that a node wants.
type keySet struct {
	base []string
	// changed receives when the set grew or a document came into force.
	changed chan struct{}

	mu sync.Mutex
	// named holds the keys that are named now, sorted. Nodes with the same list of uses name the same keys, so only these enter the
	// summary of a digest.
	named []string
	// wanted holds all keys that were ever named.
	wanted map[string]bool
	// unknown holds keys that the configuration service did not have.
	unknown map[string]bool
	// version counts changes of wanted.
	version int
}

func newKeySet(regions []string) *keySet {
	base := []string{plans.PlansKey, plans.UsesKey} // A region may repeat: name removes duplicates.
	for _, region := range regions {
		base = append(base, shards.VMsPrefix+region)
	}
	k := &keySet{base: base, changed: make(chan struct{}, 1), wanted: make(map[string]bool), unknown: make(map[string]bool)}
	k.name(nil)
	return k
}

// indexKeys returns the keys of the indexes that a list of uses names, and false for other documents.
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

func (k *keySet) name(keys []string) {
	named := slices.Concat(k.base, keys)
	slices.Sort(named)
	named = slices.Compact(named)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.named = named
	for _, key := range named {
		if !k.wanted[key] {
			k.wanted[key] = true
			k.version++
		}
	}
	notify(k.changed)
}

// found records that a document is in force.
func (k *keySet) found(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.unknown, key)
	notify(k.changed)
}

// notFound records that the configuration service does not have a key.
func (k *keySet) notFound(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unknown[key] = true
}

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

// missing returns the keys named now that are neither in force nor unknown to the configuration service.
func (k *keySet) missing(store *Store) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var missing []string
	for _, key := range k.named {
		if store.Get(key) == nil && !k.unknown[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

// summary returns the number and a hash of the documents that are named now, with their revisions.
func (k *keySet) summary(store *Store) (uint64, uint64) {
	k.mu.Lock()
	named := k.named // Replaced as a whole, never changed.
	k.mu.Unlock()
	var digest xxhash.Digest
	digest.Reset()
	var numbers [16]byte
	for _, key := range named {
		doc := store.Get(key)
		if doc != nil {
			binary.LittleEndian.PutUint64(numbers[:8], doc.Revision())
			binary.LittleEndian.PutUint64(numbers[8:], doc.Hash())
		} else {
			clear(numbers[:])
		}
		_, _ = digest.WriteString(key) // The writes of a Digest never return an error.
		_, _ = digest.Write(numbers[:])
	}
	return uint64(len(named)), digest.Sum64()
}

// notify sends on a channel of size 1 unless a notice waits already.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
