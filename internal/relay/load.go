package relay

import "sync/atomic"

// maxRequestLoad bounds the bytes of the requests that this node has in flight to one searcher, which holds them in its memory until it has
// answered. Forty nodes that share a searcher send it 160 MB at most.
const maxRequestLoad = 4 << 20

// requestLoad counts the bytes of the requests in flight to a searcher. It is safe for concurrent use.
type requestLoad struct{ bytes atomic.Int64 }

// take counts a request and reports whether there is room for it. A request of any size may be alone.
func (l *requestLoad) take(size int64) bool {
	if sum := l.bytes.Add(size); sum > maxRequestLoad && sum != size {
		l.bytes.Add(-size)
		return false
	}
	return true
}

func (l *requestLoad) release(size int64) { l.bytes.Add(-size) }
