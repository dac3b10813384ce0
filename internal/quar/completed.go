package quar

import "sync"

// generationSize is the capacity of one of the two generations of completed fingerprints.
const generationSize = MaxCompleted / 2

// completedSet remembers between generationSize and MaxCompleted of the fingerprints that completed most recently. A fingerprint that
// completes again moves to the current generation.
type completedSet struct {
	mu       sync.RWMutex
	current  map[uint64]struct{}
	previous map[uint64]struct{}
}

func newCompletedSet() *completedSet {
	return &completedSet{current: make(map[uint64]struct{})}
}

func (c *completedSet) has(fingerprint uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if _, ok := c.current[fingerprint]; ok {
		return true
	}
	_, ok := c.previous[fingerprint]
	return ok
}

func (c *completedSet) add(fingerprint uint64) {
	if c.inCurrent(fingerprint) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.current) >= generationSize {
		c.previous = c.current
		c.current = make(map[uint64]struct{})
	}
	c.current[fingerprint] = struct{}{}
}

// inCurrent reports whether the fingerprint is in the current generation. It avoids the exclusive lock for frequent fingerprints.
func (c *completedSet) inCurrent(fingerprint uint64) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, ok := c.current[fingerprint]
	return ok
}

func (c *completedSet) remove(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.current, fingerprint)
	delete(c.previous, fingerprint)
}

func (c *completedSet) size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.current) + len(c.previous)
}
