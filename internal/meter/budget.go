// Package meter bounds the bytes that replies may take: each reply by an allowance of its own, and all replies that a node is reading by a
// budget that their readers share. A searcher in trouble may send bytes without end.
package meter

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrTooLong is the error of a read beyond the allowance of a reply, and ErrBudget that of a read of a reply that was given up because all
// replies together exceeded the budget.
var (
	ErrTooLong = errors.New("reply exceeds its allowance")
	ErrBudget  = errors.New("replies exceed the budget of the node")
)

// Budget bounds the bytes of the replies that a node is reading. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	// used is the sum of the bytes of the replies in reading.
	used    int64
	reading map[*Conn]struct{}
}

// maxReadBytes bounds a single read of a reply, since its bytes are counted after it.
const maxReadBytes = 64 << 10

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reading: make(map[*Conn]struct{})}
}

// SetLimit changes the limit in bytes.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the bytes of the replies in reading.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (b *Budget) begin(c *Conn, expected, allowance int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= c.taken
	c.taken, c.expected, c.allowance, c.cut = 0, expected, allowance, nil
	b.reading[c] = struct{}{}
}

func (b *Budget) end(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= c.taken
	c.taken = 0
	delete(b.reading, c)
}

// room returns how many bytes the connection may read now. Bytes outside a reply are not counted.
func (b *Budget) room(c *Conn, wanted int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.reading[c]; !ok {
		return wanted, nil
	}
	if c.cut == nil && c.taken >= c.allowance {
		c.cut = ErrTooLong
	}
	if c.cut != nil {
		return 0, c.cut
	}
	return int(min(int64(wanted), c.allowance-c.taken, maxReadBytes)), nil
}

// take counts bytes that the connection read. While the replies exceed the budget, it gives up those that have grown the most beyond what
// was expected of them.
func (b *Budget) take(c *Conn, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.reading[c]; !ok {
		return
	}
	c.taken += int64(n)
	b.used += int64(n)
	for b.used > b.limit {
		worst := b.mostExceeding()
		if worst == nil {
			return
		}
		worst.cut = ErrBudget
		b.used -= worst.taken
		worst.taken = 0
		// The reader of the connection gets an error, and the searcher stops sending.
		_ = worst.Conn.Close()
	}
}

// mostExceeding returns the connection whose reply exceeds its expected size the most, or nil when none does.
func (b *Budget) mostExceeding() *Conn {
	var worst *Conn
	for c := range b.reading {
		if c.cut == nil && c.excess() > 0 && (worst == nil || c.excess() > worst.excess()) {
			worst = c
		}
	}
	return worst
}
