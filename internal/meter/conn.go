package meter

import (
	"context"
	"net"
	"syscall"
)

// Conn is a connection whose reads are bounded while a reply is read. Its fields are guarded by the budget's mu.
type Conn struct {
	net.Conn
	budget *Budget
	// taken counts the bytes of the reply in reading. It never exceeds allowance.
	taken     int64
	expected  int64
	allowance int64
	// cut is why the reply was given up, or nil.
	cut error
}

// Dialer returns a dial function whose connections are bounded by the budget.
func (b *Budget) Dialer(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn, budget: b}, nil
	}
}

// Begin starts a reply of which a size in bytes is expected, and which may not exceed its allowance, head and framing included.
func (c *Conn) Begin(expected, allowance int64) { c.budget.begin(c, expected, allowance) }

// End ends the reply. Bytes that are read afterwards belong to no reply.
func (c *Conn) End() { c.budget.end(c) }

// Cut returns why the reply was given up, or nil.
func (c *Conn) Cut() error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.cut
}

// Read implements net.Conn. It fails once the reply was given up.
func (c *Conn) Read(p []byte) (int, error) {
	room, err := c.budget.room(c, len(p))
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:room])
	c.budget.take(c, n)
	return n, err
}

// SyscallConn implements syscall.Conn where the underlying connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// excess returns by how much the reply exceeds its expected size.
func (c *Conn) excess() int64 { return c.taken - c.expected }
