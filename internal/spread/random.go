package spread

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// random is a source of jitter, seeded by the incarnation so that nodes differ. It is safe for concurrent use.
type random struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{source: rand.New(rand.NewPCG(seed, seed))}
}

// between returns a duration in [low, high).
func (r *random) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return low + time.Duration(r.source.Int64N(int64(high-low)))
}

// shuffled returns the VMs in random order.
func (r *random) shuffled(vms []shards.VM) []shards.VM {
	order := slices.Clone(vms)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// shuffledKeys returns the keys in random order.
func (r *random) shuffledKeys(keys []string) []string {
	order := slices.Clone(keys)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// backoff doubles a delay with each failure.
type backoff struct {
	least time.Duration
	most  time.Duration
	next  time.Duration
}

func (b *backoff) reset() { b.next = 0 }

// delay returns the next delay with jitter: between half of it and all of it.
func (b *backoff) delay(r *random) time.Duration {
	b.next = min(max(2*b.next, b.least), b.most)
	return r.between(b.next/2, b.next)
}
