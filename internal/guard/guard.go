// Package guard bounds the memory and the descriptors that the connections of callers take on a node, whatever callers send or leave unread.
// All connections of all listeners draw on one budget of bytes, and each listener has a maximum number of connections. Where a bound is
// reached, idle connections are closed first, then those that have sent or read the slowest; requests that run are left alone.
package guard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// MemoryShare is the share of the machine's memory that callers' connections, requests and answers may take. Garbage of bodies that have
	// grown by doubling, and the buffers of a garbage collection in progress, take about as much again.
	MemoryShare = 0.15
	// idleGrace, receiveGrace and sendGrace are how long a connection is left alone in a state. Ordinary callers send a request at once, and
	// finish sending and reading within them.
	idleGrace    = 50 * time.Millisecond
	receiveGrace = 100 * time.Millisecond
	sendGrace    = time.Second
	// largeShare is the share of the budget that requests and answers beyond firstReadBytes may fill. The rest is for connections and small
	// requests, which find room beside a crowd of large ones.
	largeShare = 0.75
	// quietTime is the time without a refusal or closed connection after which callers count as unrestricted again.
	quietTime = 5 * time.Second
)

// ErrNoMemory is the error of a request whose body finds no room.
var ErrNoMemory = errors.New("the memory for callers is in use")

// Guard holds the budget and the connections of a node. It is safe for concurrent use.
type Guard struct {
	logger   *events.Logger
	counters *reason.Counters
	clock    func() time.Time
	limit    atomic.Int64
	used     atomic.Int64
	// restrictedAt is the Unix time in nanoseconds of the latest refusal or closed connection, 0 after quietTime without one.
	restrictedAt atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a guard with a budget of limit bytes.
func New(limit int64, logger *events.Logger, counters *reason.Counters, clock func() time.Time) *Guard {
	g := &Guard{logger: logger, counters: counters, clock: clock, conns: make(map[*Conn]struct{})}
	g.limit.Store(limit)
	return g
}

// Used returns the bytes that connections, requests and answers of callers take.
func (g *Guard) Used() int64 { return g.used.Load() }

// Tick logs that callers are unrestricted again once nothing was refused or closed for quietTime.
func (g *Guard) Tick(now time.Time) {
	at := g.restrictedAt.Load()
	if at != 0 && now.UnixNano()-at > int64(quietTime) && g.restrictedAt.CompareAndSwap(at, 0) {
		g.logger.Log(wire.Event_EVENT_CALLERS_UNRESTRICTED)
	}
}

// recordShed counts a request or connection that was refused or closed, and logs the first of an episode.
func (g *Guard) recordShed(now time.Time, r wire.Reason, listener string) {
	g.Count(r)
	g.recordRestricted(now, r, listener)
}

// Count counts a refusal by its reason.
func (g *Guard) Count(r wire.Reason) { g.counters.Add(r) }

func (g *Guard) recordRestricted(now time.Time, r wire.Reason, listener string) {
	if g.restrictedAt.Swap(now.UnixNano()) == 0 {
		g.logger.Log(wire.Event_EVENT_CALLERS_SHED, zap.String("reason", reason.Name(r)), zap.String("listener", listener), zap.Int64("bytes", g.Used()))
	}
}

// admit registers a new connection and reports whether there is room for it.
func (g *Guard) admit(now time.Time, c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.makePlace(now, c.listener) {
		g.recordShed(now, wire.Reason_REASON_CONNECTIONS, c.listener.class.Name)
		return false
	}
	g.used.Add(c.listener.class.ConnBytes)
	if !g.makeRoom(now, c, g.limit.Load()) && !c.listener.class.Reserved {
		g.used.Add(-c.listener.class.ConnBytes)
		g.recordShed(now, wire.Reason_REASON_MEMORY, c.listener.class.Name)
		return false
	}
	g.conns[c] = struct{}{}
	c.listener.open++
	return true
}

// makePlace closes connections of a listener until it may have another, and reports whether it may.
func (g *Guard) makePlace(now time.Time, l *Listener) bool {
	for l.open >= l.class.Connections {
		victim := g.choose(now, func(c *Conn) bool { return c.listener == l && now.Sub(c.enteredAt()) >= c.loadState().grace() })
		if victim == nil {
			return false
		}
		g.evict(now, victim, wire.Reason_REASON_CONNECTIONS)
	}
	return true
}

// limitFor returns up to how many bytes of the budget may be in use for a connection to hold more.
func (g *Guard) limitFor(c *Conn) int64 {
	limit := g.limit.Load()
	if c.held.Load() <= firstReadBytes {
		return limit
	}
	return int64(largeShare * float64(limit))
}

// makeRoom closes connections other than c until at most limit bytes are in use, and reports whether they are. It gives up when c itself would
// be the next one.
func (g *Guard) makeRoom(now time.Time, c *Conn, limit int64) bool {
	for g.used.Load() > limit {
		victim := g.choose(now, func(other *Conn) bool { return other != c && now.Sub(other.enteredAt()) >= other.loadState().grace() })
		if victim == nil || victim.loadState() != idle && c.loadState() == receiving && c.cost(now) > victim.cost(now) {
			return false
		}
		g.evict(now, victim, wire.Reason_REASON_MEMORY)
	}
	return true
}

// makeRoomForAnswer closes connections other than c until at most limit bytes are in use. An answer that is ready takes its memory already, so
// that answers which others have not read yet are given up even before sendGrace.
func (g *Guard) makeRoomForAnswer(now time.Time, c *Conn, limit int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.makeRoom(now, c, limit) {
		return
	}
	for g.used.Load() > limit {
		victim := g.choose(now, func(other *Conn) bool { return other != c && other.loadState() == sending && other.held.Load() > 0 })
		if victim == nil {
			return
		}
		g.evict(now, victim, wire.Reason_REASON_MEMORY)
	}
}

// choose returns the connection to close first among those that qualify: the one that is idle the longest, or else the one that has held the
// most bytes for the longest time. It returns nil if none qualifies.
func (g *Guard) choose(now time.Time, qualifies func(*Conn) bool) *Conn {
	var chosen *Conn
	for c := range g.conns {
		if c.loadState() == running || !qualifies(c) {
			continue
		}
		if chosen == nil || c.goesBefore(now, chosen) {
			chosen = c
		}
	}
	return chosen
}

// evict closes a connection to make room. Callers hold mu.
func (g *Guard) evict(now time.Time, c *Conn, r wire.Reason) {
	if c.loadState() == sending {
		r = wire.Reason_REASON_CALLER_SLOW
	}
	g.remove(c)
	g.recordShed(now, r, c.listener.class.Name)
	// The goroutine that serves the connection gets an error.
	_ = c.Conn.Close()
}

// remove gives back what a connection holds. Callers hold mu.
func (g *Guard) remove(c *Conn) {
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	c.listener.open--
	c.closed.Store(true)
	g.used.Add(-c.listener.class.ConnBytes - c.held.Swap(0))
}
