package spread

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// random is a source of jitter, seeded with the incarnation so that nodes draw different values. It is safe for concurrent use.
type random struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{source: rand.New(rand.NewPCG(seed, seed))}
}

// between returns a duration in [low, high), or low if the interval is empty.
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

// backoff computes exponentially growing delays, from initial up to limit.
type backoff struct {
	initial time.Duration
	limit   time.Duration
	next    time.Duration
}

// reset makes the next delay start from initial again.
func (b *backoff) reset() { b.next = 0 }

// delay doubles the delay and returns it with jitter, between half and all of it.
func (b *backoff) delay(r *random) time.Duration {
	b.next = min(max(2*b.next, b.initial), b.limit)
	return r.between(b.next/2, b.next)
}
