// Package stall detects and closes connections to a searcher that stopped responding while the searcher still answers on other
// connections.
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
	// Multiple is the limit as a multiple of the expected reply time.
	Multiple int
	// Minimum is the lower bound of the limit. It applies when the expected reply time is short or unknown.
	Minimum time.Duration
	// Mode decides whether silent connections are detected; nil means Enabled.
	Mode Mode
}

// Mode decides whether silent connections are detected: Enabled or Disabled.
type Mode interface{ mode() }

// Enabled closes silent connections. It is the default.
type Enabled struct{}

// Disabled leaves silent connections to the deadlines of their requests. The load tool uses it as a baseline.
type Disabled struct{}

func (Enabled) mode()  {}
func (Disabled) mode() {}

// Group holds the open connections to one searcher. It is safe for concurrent use.
type Group struct {
	multiple int
	minimum  time.Duration
	disabled bool

	// answered is the offset at which the latest request was written whose reply started. It only grows and outlives the connection, so
	// that a probe still counts after its connection closed.
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
	_, disabled := s.Mode.(Disabled)
	return &Group{multiple: s.Multiple, minimum: s.Minimum, disabled: disabled, conns: make(map[*Conn]struct{})}
}

// Wrap adds a connection that carries one request at a time. The returned connection leaves the group when it is closed. All clocks of a
// group must agree with the times passed to Check.
func (g *Group) Wrap(conn net.Conn, clock func() time.Time) net.Conn {
	now := clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.base.IsZero() {
		g.base = now
	}
	c := &Conn{Conn: conn, group: g, base: g.base, clock: clock, opened: toOffset(g.base, now)}
	g.conns[c] = struct{}{}
	return c
}

// Check closes the silent connections and returns them. A request is overdue after max(Multiple*expected, Minimum), where expected is the
// learned p99 of the reply time. After a pause of the process, replies may be waiting to be read, so the caller must skip one interval.
func (g *Group) Check(now time.Time, expected time.Duration) []*Conn {
	if g.disabled {
		return nil
	}
	conns, base := g.openConns()
	limit := g.limit(expected)
	var closed []*Conn
	for _, c := range conns {
		s := c.state()
		if silent(s, toOffset(base, now), g.answered.Load(), limit) && c.closeIfSilent(s.pending) {
			closed = append(closed, c)
		}
	}
	return closed
}

// NeedsProbe reports whether a request is overdue without evidence from another connection. The owner then sends one cheap request on a
// new connection of the group, whose reply makes the next Check close the silent connections. While such a request is pending, NeedsProbe
// returns false.
func (g *Group) NeedsProbe(now time.Time, expected time.Duration) bool {
	if g.disabled {
		return false
	}
	conns, base := g.openConns()
	states := make([]state, 0, len(conns))
	for _, c := range conns {
		states = append(states, c.state())
	}
	return needsProbe(states, toOffset(base, now), g.answered.Load(), g.limit(expected))
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

func (g *Group) openConns() ([]*Conn, time.Time) {
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

// recordAnswered records that a reply started to a request written at the offset.
func (g *Group) recordAnswered(written int64) {
	for {
		latest := g.answered.Load()
		if written <= latest || g.answered.CompareAndSwap(latest, written) {
			return
		}
	}
}

// toOffset returns a time as nanoseconds from base, at least 1, since 0 and negative values are reserved.
func toOffset(base, t time.Time) int64 {
	return max(int64(t.Sub(base)), 0) + 1
}
