package quar

import "sync"

// completedGeneration is the size of one of the two generations of completed fingerprints.
const completedGeneration = MaxCompleted / 2

// completedSet remembers between completedGeneration and MaxCompleted of the fingerprints that completed most recently. A fingerprint
// that completes again moves to the younger generation.
type completedSet struct {
	mu      sync.RWMutex
	younger map[uint64]struct{}
	older   map[uint64]struct{}
}

func newCompletedSet() *completedSet {
	return &completedSet{younger: make(map[uint64]struct{})}
}

func (c *completedSet) has(fingerprint uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if _, ok := c.younger[fingerprint]; ok {
		return true
	}
	_, ok := c.older[fingerprint]
	return ok
}

func (c *completedSet) add(fingerprint uint64) {
	if c.recent(fingerprint) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.younger) >= completedGeneration {
		c.older = c.younger
		c.younger = make(map[uint64]struct{})
	}
	c.younger[fingerprint] = struct{}{}
}

// recent spares the exclusive lock for fingerprints that complete often.
func (c *completedSet) recent(fingerprint uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, ok := c.younger[fingerprint]
	return ok
}

func (c *completedSet) remove(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.younger, fingerprint)
	delete(c.older, fingerprint)
}

func (c *completedSet) size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.younger) + len(c.older)
}
