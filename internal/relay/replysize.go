package relay

import (
	"sync/atomic"

	"github.com/fireflylanding/fireflylanding/internal/meter"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

const (
	// maxReplyBytes bounds a reply, whatever is expected of it.
	maxReplyBytes = 8 << 20
	// minPartBytes is the least allowance of a part, head and framing included.
	minPartBytes = 64 << 10
	// partSizeFactor is how many times as large as the largest part of its shard so far a part may be.
	partSizeFactor = 8
	// cutsPerDoubling is the number of parts in a row that must be cut, without one that arrives whole, for the allowance of their shard to
	// double: then its parts have grown, and not single searchers are in trouble.
	cutsPerDoubling = 8
	maxDoublings    = 7
)

// replySize is the size of the replies of one service. It is safe for concurrent use.
type replySize struct {
	// largest is the size in bytes of the largest reply that arrived whole, cuts the number of replies that were cut since the latest one.
	largest atomic.Int64
	cuts    atomic.Int64
}

// bounds returns the expected size and the allowance of a reply in bytes. A part over shards is small and there are many; a single reply may
// have any size up to maxReplyBytes as long as the node has room for it.
func (s *replySize) bounds(target route.Target) (expected, allowance int64) {
	expected = s.largest.Load()
	gather, ok := target.(route.Gather)
	if !ok {
		return expected, maxReplyBytes
	}
	expected = max(expected, int64(gather.Top)*recordBytes)
	allowance = max(minPartBytes, partSizeFactor*expected) << min(s.cuts.Load()/cutsPerDoubling, maxDoublings)
	return expected, min(allowance, maxReplyBytes)
}

func (s *replySize) recordWhole(bytes int64) {
	s.cuts.Store(0)
	for known := s.largest.Load(); bytes > known && !s.largest.CompareAndSwap(known, bytes); known = s.largest.Load() {
	}
}

func (s *replySize) recordCut() { s.cuts.Add(1) }

func (e *Engine) replySizeOf(service string) *replySize {
	if s, ok := e.replySizes.Load(service); ok {
		return s.(*replySize)
	}
	s, _ := e.replySizes.LoadOrStore(service, &replySize{})
	return s.(*replySize)
}

// beginReply bounds the reply that is read next from the connection. The returned function ends it and reports whether it was cut.
func beginReply(conn *pool.Conn, expected, allowance int64) (end func() (cut bool)) {
	metered, ok := conn.Conn.(*meter.Conn)
	if !ok {
		return func() bool { return false }
	}
	metered.Begin(expected, allowance)
	return func() bool {
		metered.End()
		return metered.Cut() != nil
	}
}
