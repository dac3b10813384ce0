// Package fakes provides in-process fakes of the systems that the tier depends on: the platform's configuration service, searchers,
// and whole fleets of them. They listen on loopback TCP and can simulate the failures of the real systems.
package fakes

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// RevisionHeader is the response header that carries the revision of a value.
	RevisionHeader = "X-Revision"

	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20

	valuesPath        = "/v1/values/"
	loopback          = "127.0.0.1:0"
	defaultCallRate   = 2000
	maxWatchWait      = 5 * time.Minute
	versionsPerKey    = 64
	callWindow        = time.Second
	statusOverRate    = fasthttp.StatusTooManyRequests
	statusUnchanged   = fasthttp.StatusNotModified
	statusUnknownKey  = fasthttp.StatusNotFound
	statusBadArgument = fasthttp.StatusBadRequest
)

// PlatformSettings configures a Platform. The zero value listens on a free loopback port and allows 2,000 calls/s.
type PlatformSettings struct {
	address  string
	callRate int
}

// WithAddress returns the settings with a listen address.
func (s PlatformSettings) WithAddress(address string) PlatformSettings {
	s.address = address
	return s
}

// WithCallRate returns the settings with the maximum number of calls within any one second, over all clients.
func (s PlatformSettings) WithCallRate(callsPerSecond int) PlatformSettings {
	s.callRate = callsPerSecond
	return s
}

// Platform is a fake of the configuration service.
type Platform struct {
	server  *connServer
	group   conc.WaitGroup
	counts  connCounts
	meter   callMeter
	waiting atomic.Int64
	down    atomic.Bool
	blocked atomic.Pointer[func(string) bool]

	mu               sync.Mutex
	closed           bool
	revision         uint64
	stale            uint64
	visibilityDelays map[string]time.Duration
	histories        map[string]*keyHistory
}

// keyHistory is the version history of a key.
type keyHistory struct {
	// versions is sorted by revision and holds at most versionsPerKey elements.
	versions []version
	// changed is closed and replaced whenever the version visible to clients may have changed.
	changed chan struct{}
}

// version is the state of a key since a revision.
type version struct {
	revision uint64
	body     []byte
	removed  bool
	visible  time.Time
}

// StartPlatform starts a configuration service that holds no values.
func StartPlatform(s PlatformSettings) (*Platform, error) {
	if s.address == "" {
		s.address = loopback
	}
	if s.callRate <= 0 {
		s.callRate = defaultCallRate
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, errors.Wrap(err, "configuration service")
	}
	p := &Platform{
		meter:            callMeter{rate: s.callRate, window: callWindow},
		visibilityDelays: make(map[string]time.Duration),
		histories:        make(map[string]*keyHistory),
	}
	p.server = newConnServer(listener, p.handle, &p.counts)
	p.server.allow = func(c net.Conn) bool { return !p.unreachable(c) }
	p.group.Go(func() { p.server.run(&p.group) })
	return p, nil
}

// Address returns the listen address as host:port.
func (p *Platform) Address() string { return p.server.listener.Addr().String() }

// Set stores a value and returns its revision. Each change of any key increments the revision by one. A body above MaxValueBytes is
// rejected with revision 0.
func (p *Platform) Set(key string, body []byte) uint64 {
	if len(body) > MaxValueBytes {
		return 0
	}
	return p.change(key, version{body: append([]byte(nil), body...)})
}

// Remove deletes a key and returns the revision of the deletion.
func (p *Platform) Remove(key string) uint64 {
	return p.change(key, version{removed: true})
}

func (p *Platform) change(key string, v version) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	v.revision = p.revision
	lag := p.visibilityDelay(key)
	v.visible = time.Now().Add(lag)
	history := p.history(key)
	history.versions = append(history.versions, v)
	if extra := len(history.versions) - versionsPerKey; extra > 0 {
		history.versions = append([]version(nil), history.versions[extra:]...)
	}
	history.notify()
	if lag > 0 && !p.closed {
		p.group.Go(func() { p.notifyAfter(history, lag) })
	}
	return v.revision
}

// notifyAfter notifies the watches of a key when a delayed value becomes visible.
func (p *Platform) notifyAfter(history *keyHistory, lag time.Duration) {
	if !sleep(lag, p.server.done) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	history.notify()
}

// history returns the history of a key, creating it if necessary; p.mu must be held.
func (p *Platform) history(key string) *keyHistory {
	history, ok := p.histories[key]
	if !ok {
		history = &keyHistory{changed: make(chan struct{})}
		p.histories[key] = history
	}
	return history
}

func (h *keyHistory) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (p *Platform) notifyAll() {
	for _, history := range p.histories {
		history.notify()
	}
}

// visibilityDelay returns the delay of the longest matching prefix; p.mu must be held.
func (p *Platform) visibilityDelay(key string) time.Duration {
	longest := -1
	var lag time.Duration
	for prefix, d := range p.visibilityDelays {
		if strings.HasPrefix(key, prefix) && len(prefix) > longest {
			longest = len(prefix)
			lag = d
		}
	}
	return lag
}

// SetLag delays the visibility of values that are subsequently set under keys with the prefix. The longest matching prefix applies;
// a lag of 0 removes the delay.
func (p *Platform) SetLag(prefix string, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lag <= 0 {
		delete(p.visibilityDelays, prefix)
		return
	}
	p.visibilityDelays[prefix] = lag
}

// SetStale serves all values as of a revision; 0 restores the latest values. Each key retains its latest 64 revisions, and a key whose
// retained revisions are all newer is reported as unknown. A watch ends only on a revision above the one that it names, so an older
// revision is visible only to reads without a watch.
func (p *Platform) SetStale(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = revision
	p.notifyAll()
}

// SetDown resets all connections, and each new one immediately, until it is called with false. The port stays bound, so that no
// other process can take it.
func (p *Platform) SetDown(down bool) {
	p.down.Store(down)
	p.dropUnreachable()
}

// SetBlocked resets the connections of clients for whose remote address the function returns true; nil blocks no client.
func (p *Platform) SetBlocked(blocked func(remoteAddr string) bool) {
	if blocked == nil {
		p.blocked.Store(nil)
		return
	}
	p.blocked.Store(&blocked)
	p.dropUnreachable()
}

func (p *Platform) dropUnreachable() {
	p.server.abortIf(p.unreachable)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyAll()
}

func (p *Platform) unreachable(c net.Conn) bool {
	if p.down.Load() {
		return true
	}
	blocked := p.blocked.Load()
	return blocked != nil && (*blocked)(c.RemoteAddr().String())
}

// Revision returns the latest revision.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// latest returns the latest version of a key, whether visible or not.
func (p *Platform) latest(key string) version {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.history(key).versions
	if len(versions) == 0 {
		return version{}
	}
	return versions[len(versions)-1]
}

// WaitingWatches returns the number of watches that are currently waiting.
func (p *Platform) WaitingWatches() int { return int(p.waiting.Load()) }

// Calls returns the call counters.
func (p *Platform) Calls() Calls { return p.meter.calls() }

// Close stops the service and waits for its goroutines.
func (p *Platform) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.server.stop()
	p.group.Wait()
}

// keyState is the state of a key that a client sees at one time.
type keyState struct {
	version version
	found   bool
	changed <-chan struct{}
}

// read returns the currently visible state of a key. It reads the clock under the lock: a time from before acquiring the lock could
// hide a value set in between, and a watch would then wait for the following change.
func (p *Platform) read(key string) keyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	history := p.history(key)
	result := keyState{changed: history.changed}
	for i := len(history.versions) - 1; i >= 0; i-- {
		v := history.versions[i]
		if v.visible.After(now) || (p.stale > 0 && v.revision > p.stale) {
			continue
		}
		result.version = v
		result.found = !v.removed
		break
	}
	return result
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	if p.unreachable(ctx.Conn()) {
		abort(ctx)
		return
	}
	key, ok := strings.CutPrefix(string(ctx.Path()), valuesPath)
	if !ok || key == "" || !ctx.IsGet() {
		ctx.SetStatusCode(statusUnknownKey)
		return
	}
	after, wait, err := parseWatchArgs(ctx.QueryArgs())
	if err != nil {
		ctx.SetStatusCode(statusBadArgument)
		ctx.SetBodyString(err.Error())
		return
	}
	if !p.meter.allow(time.Now(), wait > 0) {
		ctx.SetStatusCode(statusOverRate)
		return
	}
	p.respond(ctx, key, after, wait)
}

func (p *Platform) respond(ctx *fasthttp.RequestCtx, key string, after uint64, wait time.Duration) {
	first := p.read(key)
	last := first
	if wait > 0 && !changedSince(first, first, after) {
		last = p.watch(ctx.Conn(), first, key, after, wait)
	}
	switch {
	case p.unreachable(ctx.Conn()), p.server.stopped():
		abort(ctx)
	case !last.found:
		ctx.SetStatusCode(statusUnknownKey)
	default:
		ctx.Response.Header.Set(RevisionHeader, strconv.FormatUint(last.version.revision, 10))
		if after > 0 && last.version.revision <= after {
			ctx.SetStatusCode(statusUnchanged)
			return
		}
		ctx.SetBody(last.version.body)
	}
}

// watch waits until the key changes, the wait time ends, the caller becomes unreachable or the service stops, and returns the last state
// read.
func (p *Platform) watch(caller net.Conn, first keyState, key string, after uint64, wait time.Duration) keyState {
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	last := first
	for {
		select {
		case <-last.changed:
		case <-timer.C:
			return last
		case <-p.server.done:
			return last
		}
		last = p.read(key)
		if changedSince(first, last, after) || p.unreachable(caller) {
			return last
		}
	}
}

// changedSince reports whether a watch that read the state first must return now that it has read last: the revision is above after,
// or the key existed in first but not in last.
func changedSince(first, last keyState, after uint64) bool {
	if last.found {
		return last.version.revision > after
	}
	return first.found
}

func parseWatchArgs(args *fasthttp.Args) (uint64, time.Duration, error) {
	var after uint64
	var wait time.Duration
	if text := args.Peek("after"); len(text) > 0 {
		parsed, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return 0, 0, errors.Newf("after: %q is not a revision", text)
		}
		after = parsed
	}
	if text := args.Peek("wait"); len(text) > 0 {
		seconds, err := strconv.ParseFloat(string(text), 64)
		if err != nil || !(seconds >= 0) {
			return 0, 0, errors.Newf("wait: %q is not a number of seconds", text)
		}
		wait = time.Duration(min(seconds, maxWatchWait.Seconds()) * float64(time.Second))
	}
	return after, wait, nil
}

// abort resets the connection of a request without a response.
func abort(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.abort()
	}
}
