package edge

import (
	"net"
	"syscall"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

const (
	// headerTimeoutPlaceholder and idleTimeoutPlaceholder identify the deadlines that the HTTP library sets for reading a head and between
	// requests. The connection replaces them by the operator's current limits, which may change while the server runs.
	headerTimeoutPlaceholder = 100 * time.Hour
	idleTimeoutPlaceholder   = 200 * time.Hour
	// Limits that apply until the first route table is in force.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// conn is a caller's connection whose state can be checked while its request runs.
type conn struct {
	*guard.Conn
	raw    syscall.RawConn
	limits func() route.Limits
}

// SetReadDeadline replaces placeholder deadlines of the library by the operator's limits.
func (c *conn) SetReadDeadline(at time.Time) error {
	wait := time.Until(at)
	limits := c.limits()
	switch {
	case at.IsZero():
	case wait > (headerTimeoutPlaceholder+idleTimeoutPlaceholder)/2:
		at = time.Now().Add(orDefault(limits.IdleTimeout, defaultIdleTimeout))
	case wait > headerTimeoutPlaceholder/2:
		at = time.Now().Add(orDefault(limits.HeaderTimeout, defaultHeaderTimeout))
	}
	return c.Conn.SetReadDeadline(at)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// closedByPeer reports whether the caller has closed the connection.
func (c *conn) closedByPeer() bool { return pool.Peek(c.raw) == pool.Closed }

// listener wraps each accepted connection in a conn.
type listener struct {
	*guard.Listener
	limits func() route.Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: guard.From(accepted), raw: pool.Raw(accepted), limits: l.limits}, nil
}
