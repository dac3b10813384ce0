package guard

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// stallTimeout is how long a caller may read nothing of its answer, and answerTimeout how long it may take to read all of it. Callers wait
	// for 10 s at most.
	stallTimeout  = 10 * time.Second
	answerTimeout = 60 * time.Second
	// lingerTime bounds how long a closed connection is read for the answer to arrive.
	lingerTime = 500 * time.Millisecond
	// writeBytes bounds a single write, so that progress is seen between writes.
	writeBytes = 64 << 10
)

// state is what a connection is doing.
type state int32

const (
	idle      state = iota // no byte of a request has arrived
	receiving              // a request is incomplete
	running                // a request runs
	sending                // an answer is being written
)

// grace returns how long a connection is left alone in the state.
func (s state) grace() time.Duration {
	switch s {
	case idle:
		return idleGrace
	case receiving:
		return receiveGrace
	default:
		return sendGrace
	}
}

// Class says how many connections a listener may have.
type Class struct {
	Name        string
	Connections int
	// ConnBytes is what a connection takes without bodies and answers: its buffers, the stack of its goroutine, and its state.
	ConnBytes int64
	// Reserved listeners get their connections even if the budget is used up, because the platform needs them.
	Reserved bool
}

// Listener bounds the connections that it accepts.
type Listener struct {
	net.Listener
	guard *Guard
	class Class
	// open is the number of connections; the guard's mu guards it.
	open int
}

// Listen returns a listener that accepts the connections of inner within the bounds of a class.
func (g *Guard) Listen(inner net.Listener, class Class) *Listener {
	return &Listener{Listener: inner, guard: g, class: class}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, listener: l}
		now := l.guard.clock()
		c.since.Store(now.UnixNano())
		if l.guard.admit(now, c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	listener *Listener
	// state is what the connection is doing since the Unix time in nanoseconds in since.
	state atomic.Int32
	since atomic.Int64
	// held counts the bytes of the request and of the answer. closed is set when the connection has given up what it held.
	held   atomic.Int64
	closed atomic.Bool
	// linger is set when the connection closes while the caller may still send a body that nobody reads.
	linger atomic.Bool
	// writeBy is the write deadline that the server has set, as Unix time in nanoseconds, 0 for none.
	writeBy atomic.Int64
}

// Guarded returns the connection. Types that embed a Conn are found by it.
func (c *Conn) Guarded() *Conn { return c }

// From returns the guarded connection that a connection is or embeds, or nil.
func From(conn net.Conn) *Conn {
	if holder, ok := conn.(interface{ Guarded() *Conn }); ok {
		return holder.Guarded()
	}
	return nil
}

func (c *Conn) loadState() state     { return state(c.state.Load()) }
func (c *Conn) enteredAt() time.Time { return time.Unix(0, c.since.Load()) }

func (c *Conn) enter(now time.Time, s state) {
	c.since.Store(now.UnixNano())
	c.state.Store(int32(s))
}

// cost returns the bytes that the connection takes, times the seconds for which it has been in its state.
func (c *Conn) cost(now time.Time) float64 {
	return float64(c.listener.class.ConnBytes+c.held.Load()) * now.Sub(c.enteredAt()).Seconds()
}

// goesBefore reports whether the connection is closed before another one.
func (c *Conn) goesBefore(now time.Time, other *Conn) bool {
	ours, theirs := c.loadState() == idle, other.loadState() == idle
	switch {
	case ours != theirs:
		return ours
	case ours:
		return c.since.Load() < other.since.Load()
	default:
		return c.cost(now) > other.cost(now)
	}
}

// add counts bytes and reports whether the connection is still open.
func (c *Conn) add(bytes int64) bool {
	c.held.Add(bytes)
	c.listener.guard.used.Add(bytes)
	if c.closed.Load() {
		c.listener.guard.used.Add(-c.held.Swap(0))
		return false
	}
	return true
}

// hold draws bytes of a request from the budget. It returns ErrNoMemory if there is no room.
func (c *Conn) hold(bytes int64) error {
	g := c.listener.guard
	if !c.add(bytes) {
		return net.ErrClosed
	}
	limit := g.limitFor(c)
	if g.used.Load() <= limit {
		return nil
	}
	now := g.clock()
	g.mu.Lock()
	ok := g.makeRoom(now, c, limit)
	g.mu.Unlock()
	if !ok {
		c.add(-bytes)
		return ErrNoMemory
	}
	return nil
}

// holdAnswer draws the bytes of an answer from the budget.
func (c *Conn) holdAnswer(bytes int64) {
	g := c.listener.guard
	if !c.add(bytes) {
		return
	}
	if limit := g.limitFor(c); g.used.Load() > limit {
		g.makeRoomForAnswer(g.clock(), c, limit)
	}
}

// release gives back what the connection holds for a request and its answer.
func (c *Conn) release() {
	if held := c.held.Swap(0); held != 0 {
		c.listener.guard.used.Add(-held)
	}
}

// Close implements net.Conn. After a body that was not read, it reads on for a moment, since a reset would discard the answer.
func (c *Conn) Close() error {
	g := c.listener.guard
	if c.linger.Load() && !c.closed.Load() {
		c.drain()
	}
	g.mu.Lock()
	g.remove(c)
	g.mu.Unlock()
	return c.Conn.Close()
}

// drain reads and discards what the caller sends, until it closes the connection or lingerTime has passed.
func (c *Conn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.Conn.SetReadDeadline(c.listener.guard.clock().Add(lingerTime)) != nil {
		return
	}
	var buffer [4 << 10]byte
	for {
		if _, err := c.Conn.Read(buffer[:]); err != nil {
			return
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	if at.IsZero() {
		c.writeBy.Store(0)
	} else {
		c.writeBy.Store(at.UnixNano())
	}
	return c.Conn.SetWriteDeadline(at)
}

// Write implements net.Conn. It fails when the caller reads nothing for stallTimeout, or takes longer than answerTimeout for an answer.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if c.closed.Load() {
			// The guard has given the connection up and is about to close it. An answer to a request that was not handled must not be sent.
			return written, net.ErrClosed
		}
		if err := c.Conn.SetWriteDeadline(c.writeDeadline(c.listener.guard.clock())); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if stalled := errors.Is(err, os.ErrDeadlineExceeded); stalled && (n == 0 || !c.mayGoOn()) {
			c.listener.guard.recordShed(c.listener.guard.clock(), wire.Reason_REASON_CALLER_SLOW, c.listener.class.Name)
			return written, err
		} else if err != nil && !stalled || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) mayGoOn() bool {
	now := c.listener.guard.clock()
	return c.writeDeadline(now).After(now)
}

// writeDeadline returns when the next write must have made progress.
func (c *Conn) writeDeadline(now time.Time) time.Time {
	at := now.Add(stallTimeout)
	if c.loadState() == sending {
		if end := c.enteredAt().Add(answerTimeout); end.Before(at) {
			at = end
		}
	}
	if by := c.writeBy.Load(); by != 0 && by < at.UnixNano() {
		at = time.Unix(0, by)
	}
	return at
}

// SyscallConn implements syscall.Conn where the underlying connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}
