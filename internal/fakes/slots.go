package fakes

import (
	"slices"
	"sync"
	"time"
)

// attempt is a sub-request between its arrival and its reply.
type attempt struct {
	id uint64
	// granted and cancelled each hold at most one signal.
	granted   chan struct{}
	cancelled chan struct{}
	timer     *time.Timer
}

var attempts = sync.Pool{New: func() any {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &attempt{granted: make(chan struct{}, 1), cancelled: make(chan struct{}, 1), timer: timer}
}}

func newAttempt(id uint64) *attempt {
	a := attempts.Get().(*attempt)
	a.id = id
	return a
}

// recycle returns an attempt to the pool. No slots may refer to it.
func (a *attempt) recycle() {
	a.timer.Stop()
	drain(a.granted)
	drain(a.cancelled)
	attempts.Put(a)
}

func drain(signal chan struct{}) {
	select {
	case <-signal:
	default:
	}
}

// slots is a FIFO semaphore with a bounded queue that allocates the slots of a searcher.
type slots struct {
	size     int
	maxQueue int

	mu      sync.Mutex
	running int
	queue   []*attempt
	byID    map[uint64]*attempt
}

func newSlots(size, maxQueue int) *slots {
	return &slots{size: size, maxQueue: maxQueue, byID: make(map[uint64]*attempt)}
}

// acquire grants the attempt a slot or queues it. It returns false when all slots are in use and the queue is full.
func (s *slots) acquire(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.size {
		s.running++
		a.granted <- struct{}{}
		s.byID[a.id] = a
		return true
	}
	if len(s.queue) >= s.maxQueue {
		return false
	}
	s.queue = append(s.queue, a)
	s.byID[a.id] = a
	return true
}

// abandon removes an attempt that stopped waiting, and frees its slot if it was granted one in the meantime.
func (s *slots) abandon(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, a); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.forget(a)
		return
	}
	s.free(a)
}

// release frees the slot of an attempt.
func (s *slots) release(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free(a)
}

func (s *slots) free(a *attempt) {
	s.forget(a)
	if len(s.queue) == 0 {
		s.running--
		return
	}
	next := s.queue[0]
	s.queue = slices.Delete(s.queue, 0, 1)
	next.granted <- struct{}{}
}

func (s *slots) forget(a *attempt) {
	if s.byID[a.id] == a {
		delete(s.byID, a.id)
	}
}

// cancel signals the attempt with an id, if there is one.
func (s *slots) cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	if !ok {
		return
	}
	select {
	case a.cancelled <- struct{}{}:
	default:
	}
}

// load returns the numbers of running and waiting attempts.
func (s *slots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
