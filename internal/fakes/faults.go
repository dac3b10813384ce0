package fakes

import (
	"sync"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Fault is a planted fault of a searcher's replies that checkers must find: CrossReplies, TruncateHits or WrongSnapshot.
type Fault interface{ every() int }

// WrongAttemptID puts another attempt's id into every Nth reply that has hits; an Every below 2 means each reply.
type WrongAttemptID struct{ Every int }

// TruncateHits leaves out the second half of the hits of every Nth reply, while the count states them all.
type TruncateHits struct{ Every int }

// WrongSnapshot answers every Nth reply from the preceding snapshot number.
type WrongSnapshot struct{ Every int }

func (f WrongAttemptID) every() int { return f.Every }
func (f TruncateHits) every() int   { return f.Every }
func (f WrongSnapshot) every() int  { return f.Every }

// planted applies faults to replies.
type planted struct {
	mu       sync.Mutex
	faults   []Fault
	replies  int
	previous uint64
	applied  int
}

func (p *planted) set(faults []Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.replies = 0
}

// apply changes a reply with hits as the planted faults ask.
func (p *planted) apply(request *wire.SearchRequest, reply *wire.SearchReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies++
	for _, fault := range p.faults {
		if n := fault.every(); n > 1 && p.replies%n != 0 {
			continue
		}
		p.applied++
		p.plant(fault, request, reply)
	}
	p.previous = request.GetAttemptId()
}

func (p *planted) plant(fault Fault, request *wire.SearchRequest, reply *wire.SearchReply) {
	switch fault.(type) {
	case WrongAttemptID:
		other := p.previous
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

func (p *planted) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applied
}
