package pool

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// readBufferBytes fits the head and the body of most replies.
const readBufferBytes = 4 << 10

// Conn is a connection that carries one request at a time.
type Conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// reused is set when the connection has carried a request before.
	reused bool
	// idleSince is when the last reply ended; idleFor is how long the connection had been idle when it was taken; usableUntil is when the
	// searcher may close the idle connection.
	idleSince   time.Time
	idleFor     time.Duration
	usableUntil time.Time
}

func newConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, raw: Raw(conn), reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// Raw returns the connection as Peek checks it, nil if it cannot be checked.
func Raw(conn net.Conn) syscall.RawConn {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Reader returns the buffered reader of the connection. Bytes that remain in it after a reply belong to no request.
func (c *Conn) Reader() *bufio.Reader { return c.reader }

// Reused reports whether the connection has carried a request before, so that the searcher may have dropped it in the meantime.
func (c *Conn) Reused() bool { return c.reused }

// clean reports whether an idle connection is open and has no unread bytes, which would be taken for the next reply.
func (c *Conn) clean() bool { return c.reader.Buffered() == 0 && Peek(c.raw) == Idle }

// Clean reports whether an idle connection of a client is open and has no unread bytes, which would be taken for the next reply. A connection that
// cannot be checked counts as clean.
func Clean(conn net.Conn) bool { return Peek(Raw(conn)) == Idle }

// ConnState is the state of a connection as seen without reading from it.
type ConnState int

// States of a connection.
const (
	// Idle means open, without bytes to read.
	Idle ConnState = iota
	// Readable means that bytes are waiting to be read.
	Readable
	// Closed means that the peer closed or reset the connection.
	Closed
)

// Peek checks the state of a connection without consuming bytes or blocking. It returns Idle when the connection cannot be checked.
func Peek(raw syscall.RawConn) ConnState {
	if raw == nil {
		return Idle
	}
	state := Idle
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case err == nil:
			state = Closed
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			state = Idle
		default:
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
