package fakes

import (
	"slices"
	"sync"
	"time"
)

// attempt is one sub-request between its arrival and its reply.
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

// recycle returns an attempt that no slots refer to any more.
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

// slots hands out the slots of a searcher in order of arrival, with a bounded queue.
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

// enter gives the attempt a slot or a place in the queue. It returns false when both are full.
func (s *slots) enter(a *attempt) bool {
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

// abandon removes an attempt that gave up waiting, and frees its slot if it was granted one meanwhile.
func (s *slots) abandon(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.queue, a); at >= 0 {
		s.queue = slices.Delete(s.queue, at, at+1)
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

// cancel signals the attempt with the id, if any.
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

// load returns the attempts that run and wait.
func (s *slots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
