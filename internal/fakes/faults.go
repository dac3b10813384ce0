package fakes

import (
	"sync"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Fault is a fault that is injected into the replies of a searcher, to test that checkers detect it: WrongAttemptID, TruncateHits or
// WrongSnapshot. Its field Every is N in their descriptions; a value below 2 means each reply with hits.
type Fault interface{ every() int }

// WrongAttemptID replaces the attempt id with that of another attempt in every Nth reply with hits.
type WrongAttemptID struct{ Every int }

// TruncateHits omits the second half of the hits in every Nth reply with hits, while the hit count still includes them.
type TruncateHits struct{ Every int }

// WrongSnapshot replaces every Nth reply with hits by one from the preceding snapshot number.
type WrongSnapshot struct{ Every int }

func (f WrongAttemptID) every() int { return f.Every }
func (f TruncateHits) every() int   { return f.Every }
func (f WrongSnapshot) every() int  { return f.Every }

// faultInjector applies the configured faults to replies.
type faultInjector struct {
	mu              sync.Mutex
	faults          []Fault
	replies         int
	previousAttempt uint64
	injected        int
}

func (f *faultInjector) set(faults []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.replies = 0
}

// apply applies the configured faults to a reply with hits.
func (f *faultInjector) apply(request *wire.SearchRequest, reply *wire.SearchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies++
	for _, fault := range f.faults {
		if n := fault.every(); n > 1 && f.replies%n != 0 {
			continue
		}
		f.injected++
		f.inject(fault, request, reply)
	}
	f.previousAttempt = request.GetAttemptId()
}

func (f *faultInjector) inject(fault Fault, request *wire.SearchRequest, reply *wire.SearchReply) {
	switch fault.(type) {
	case WrongAttemptID:
		other := f.previousAttempt
		if other == 0 || other == request.GetAttemptId() {
			other = request.GetAttemptId() + 1
		}
		reply.SetAttemptId(other)
	case TruncateHits:
		hits := reply.GetHits()
		reply.SetHits(hits[:len(hits)/2])
	case WrongSnapshot:
		other := request.GetSnapshot() - 1
		reply.SetSnapshot(other)
		reply.SetHits(Hits(request.GetCollection(), other, int(request.GetShard()), request.GetQuery(), int(request.GetLimit())))
	}
}

func (f *faultInjector) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected
}
