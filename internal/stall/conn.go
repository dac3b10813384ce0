package stall

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// ErrSilent is the error of Read and Write on a connection that Check closed. A request on it may have run. It is a timeout, because
// fasthttp reports every other error before the first byte of a reply as a close by the server, which would look like a crash of the
// searcher. fasthttp returns ErrTimeout for it, so a caller that sees ErrTimeout before its deadline knows the cause.
var ErrSilent net.Error = silentError{}

type silentError struct{}

// Error implements error.
func (silentError) Error() string { return "the connection made no progress and was closed" }

// Timeout returns true.
func (silentError) Timeout() bool { return true }

// Temporary returns false, since the connection is closed.
func (silentError) Temporary() bool { return false }

// closedSilent is the pending value of a connection that Check closed. It is final.
const closedSilent = -1

// Conn is a connection of a group. It records when the outstanding request was last written to and when bytes were last read.
type Conn struct {
	net.Conn
	group  *Group
	base   time.Time
	clock  func() time.Time
	opened int64

	// pending is when the outstanding request was last written to, idle, or closedSilent. A single word holds all three, so that the
	// start of a reply and a concurrent Check that closes the connection exclude each other.
	pending atomic.Int64
	// lastRead is when bytes were last read, or 0.
	lastRead atomic.Int64
}

// Read reads from the connection. The first bytes after a write count as the start of the reply.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(toOffset(c.base, c.clock()))
		c.finishRequest()
	}
	if c.pending.Load() == closedSilent {
		return 0, ErrSilent
	}
	return n, err
}

// Write writes to the connection. The time is recorded before the bytes are passed on, so that a write that blocks on a silent connection
// counts as outstanding too.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.startRequest(toOffset(c.base, c.clock())) {
		return 0, ErrSilent
	}
	n, err := c.Conn.Write(p)
	if err != nil && c.pending.Load() == closedSilent {
		return n, ErrSilent
	}
	return n, err
}

// Close removes the connection from its group and closes it.
func (c *Conn) Close() error {
	c.group.remove(c)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn where the underlying connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// LastRead returns when bytes were last read, and false when none were.
func (c *Conn) LastRead() (time.Time, bool) {
	read := c.lastRead.Load()
	return c.base.Add(time.Duration(read - 1)), read > 0
}

// LastWrite returns when the outstanding request was last written to, and false when none is outstanding.
func (c *Conn) LastWrite() (time.Time, bool) {
	pending := c.pending.Load()
	return c.base.Add(time.Duration(pending - 1)), pending > idle
}

func (c *Conn) state() state {
	return state{opened: c.opened, pending: c.pending.Load()}
}

// startRequest marks a request as outstanding. It returns false when Check closed the connection.
func (c *Conn) startRequest(now int64) bool {
	for {
		pending := c.pending.Load()
		if pending == closedSilent {
			return false
		}
		if c.pending.CompareAndSwap(pending, now) {
			return true
		}
	}
}

// finishRequest ends the outstanding request and records it as answered, which is evidence against older requests of the group.
func (c *Conn) finishRequest() {
	for {
		pending := c.pending.Load()
		if pending <= idle {
			return
		}
		if c.pending.CompareAndSwap(pending, idle) {
			c.group.recordAnswered(pending)
			return
		}
	}
}

// closeIfSilent closes the connection unless its reply started since the given pending time was observed.
func (c *Conn) closeIfSilent(pending int64) bool {
	if !c.pending.CompareAndSwap(pending, closedSilent) {
		return false
	}
	// The connection is already given up, so an error of closing it is of no use.
	_ = c.Close()
	return true
}
