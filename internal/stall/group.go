// Package stall detects connections to a searcher that stopped responding while the searcher itself still answers on others, and
// closes them.
package stall

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Settings.
const (
	DefaultMultiple = 4
	DefaultMinimum  = 250 * time.Millisecond
)

// Settings bound the time that a request may be outstanding. A zero field takes its default.
type Settings struct {
	// Multiple of the expected reply time.
	Multiple int
	// Minimum applies when the expected reply time is short or unknown.
	Minimum time.Duration
	// Mode decides whether silent connections are looked for; nil means Detecting.
	Mode Mode
}

// Mode decides whether silent connections are looked for: Detecting or Waiting.
type Mode interface{ mode() }

// Enabled closes silent connections. It is the default.
type Enabled struct{}

// Disabled leaves silent connections to the deadlines of their requests. The load tool compares with it.
type Disabled struct{}

func (Enabled) mode()  {}
func (Disabled) mode() {}

// Group holds the open connections to one searcher. It is safe for concurrent use.
type Group struct {
	multiple int
	minimum  time.Duration
	waiting  bool

	// answered is the offset at which the latest request was written whose reply began. It only grows, and it outlives the connection,
	// so that a probe remains a witness after its connection closed.
	answered atomic.Int64

	mu sync.Mutex
	// base is the origin of all offsets, set by the first Wrap.
	base  time.Time
	conns map[*Conn]struct{}
}

// NewGroup returns an empty group.
func NewGroup(s Settings) *Group {
	if s.Multiple <= 0 {
		s.Multiple = DefaultMultiple
	}
	if s.Minimum <= 0 {
		s.Minimum = DefaultMinimum
	}
	_, waiting := s.Mode.(Disabled)
	return &Group{multiple: s.Multiple, minimum: s.Minimum, waiting: waiting, conns: make(map[*Conn]struct{})}
}

// Wrap adds a connection that carries one request at a time. The result leaves the group when it is closed. All clocks of a group must
// show the same time as the arguments of Check.
func (g *Group) Wrap(conn net.Conn, clock func() time.Time) net.Conn {
	now := clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.base.IsZero() {
		g.base = now
	}
	c := &Conn{Conn: conn, group: g, base: g.base, clock: clock, opened: offset(g.base, now)}
	g.conns[c] = struct{}{}
	return c
}

// Check closes the connections that are silent and returns them. A request is overdue after max(Multiple*expected, Minimum), where
// expected is the learned p99 of the reply time. After a pause of the process replies may wait unread, so the caller skips one
// interval.
func (g *Group) Check(now time.Time, expected time.Duration) []*Conn {
	if g.waiting {
		return nil
	}
	conns, base := g.open()
	limit := g.limit(expected)
	var closed []*Conn
	for _, c := range conns {
		s := c.state()
		if silent(s, offset(base, now), g.answered.Load(), limit) && c.condemn(s.pending) {
			closed = append(closed, c)
		}
	}
	return closed
}

// NeedsProbe reports whether a request is overdue without evidence from another connection. The owner then sends one cheap request
// on a new connection of the group; its reply makes the next Check close the silent connections. While such a request is under way,
// NeedsProbe returns false.
func (g *Group) NeedsProbe(now time.Time, expected time.Duration) bool {
	if g.waiting {
		return false
	}
	conns, base := g.open()
	states := make([]state, 0, len(conns))
	for _, c := range conns {
		states = append(states, c.state())
	}
	return needsProbe(states, offset(base, now), g.answered.Load(), g.limit(expected))
}

// Len returns the number of open connections.
func (g *Group) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func (g *Group) limit(expected time.Duration) time.Duration {
	return max(time.Duration(g.multiple)*expected, g.minimum)
}

func (g *Group) open() ([]*Conn, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	return conns, g.base
}

func (g *Group) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// witness records that a reply began to a request written at the offset.
func (g *Group) witness(written int64) {
	for {
		latest := g.answered.Load()
		if written <= latest || g.answered.CompareAndSwap(latest, written) {
			return
		}
	}
}

// offset returns a time as nanoseconds from base, at least 1, since 0 and below are reserved.
func offset(base, t time.Time) int64 {
	return max(int64(t.Sub(base)), 0) + 1
}
