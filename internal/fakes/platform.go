// Package fakes holds in-process stand-ins of the systems that the tier serves and uses: the platform's configuration
// service, searchers, and whole fleets of them. They listen on loopback TCP and show the failures of the real systems on request.
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
	// RevisionHeader is the reply header with the revision of a value.
	RevisionHeader = "X-Revision"

	// MaxValueBytes is the greatest size of a value.
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

// WithCallRate returns the settings with the greatest number of calls in any one second over all readers.
func (s PlatformSettings) WithCallRate(callsPerSecond int) PlatformSettings {
	s.callRate = callsPerSecond
	return s
}

// Platform is a stand-in of the configuration service.
type Platform struct {
	gate    *gate
	group   conc.WaitGroup
	counts  connCounts
	meter   callMeter
	waiting atomic.Int64
	down    atomic.Bool
	blocked atomic.Pointer[func(string) bool]

	mu       sync.Mutex
	closed   bool
	revision uint64
	stale    uint64
	lags     map[string]time.Duration
	values   map[string]*value
}

// value is the history of one key.
type value struct {
	// versions is sorted by revision and holds at most versionsPerKey.
	versions []version
	// changed is closed and replaced when what readers see may have changed.
	changed chan struct{}
}

// version is the state of a key from a revision on.
type version struct {
	revision uint64
	body     []byte
	removed  bool
	visible  time.Time
}

// StartPlatform starts a configuration service without values.
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
		meter:  callMeter{rate: s.callRate, window: callWindow},
		lags:   make(map[string]time.Duration),
		values: make(map[string]*value),
	}
	p.gate = newGate(listener, p.handle, &p.counts)
	p.gate.admit = func(c net.Conn) bool { return !p.unreachable(c) }
	p.group.Go(func() { p.gate.run(&p.group) })
	return p, nil
}

// Address returns the address and TCP port.
func (p *Platform) Address() string { return p.gate.listener.Addr().String() }

// Set stores a value and returns its revision. Revisions grow by one with each change of any key. A body above MaxValueBytes
// is refused with revision 0.
func (p *Platform) Set(key string, body []byte) uint64 {
	if len(body) > MaxValueBytes {
		return 0
	}
	return p.change(key, version{body: append([]byte(nil), body...)})
}

// Remove removes a key and returns the revision of the removal.
func (p *Platform) Remove(key string) uint64 {
	return p.change(key, version{removed: true})
}

func (p *Platform) change(key string, v version) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	v.revision = p.revision
	lag := p.lag(key)
	v.visible = time.Now().Add(lag)
	entry := p.entry(key)
	entry.versions = append(entry.versions, v)
	if extra := len(entry.versions) - versionsPerKey; extra > 0 {
		entry.versions = append([]version(nil), entry.versions[extra:]...)
	}
	entry.wake()
	if lag > 0 && !p.closed {
		p.group.Go(func() { p.wakeAfter(entry, lag) })
	}
	return v.revision
}

// wakeAfter wakes the readers of a key when a lagging value becomes visible.
func (p *Platform) wakeAfter(entry *value, lag time.Duration) {
	if !sleep(lag, p.gate.dead) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.wake()
}

// entry returns the history of a key; the lock is held.
func (p *Platform) entry(key string) *value {
	entry, ok := p.values[key]
	if !ok {
		entry = &value{changed: make(chan struct{})}
		p.values[key] = entry
	}
	return entry
}

func (v *value) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (p *Platform) wakeAll() {
	for _, entry := range p.values {
		entry.wake()
	}
}

// lag returns the lag of the longest prefix that matches; the lock is held.
func (p *Platform) lag(key string) time.Duration {
	longest := -1
	var lag time.Duration
	for prefix, d := range p.lags {
		if strings.HasPrefix(key, prefix) && len(prefix) > longest {
			longest = len(prefix)
			lag = d
		}
	}
	return lag
}

// SetLag delays the visibility of values that are set from now on under keys with the prefix. The longest matching prefix
// decides; a lag of 0 ends it.
func (p *Platform) SetLag(prefix string, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lag <= 0 {
		delete(p.lags, prefix)
		return
	}
	p.lags[prefix] = lag
}

// SetStale serves all values as they were at a revision; 0 ends it. Each key keeps its latest 64 revisions, and a key whose kept
// revisions are all later is unknown. A watch ends only on a revision above the one it names, so
// readers see the older revision by reads without a watch.
func (p *Platform) SetStale(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = revision
	p.wakeAll()
}

// SetDown resets all connections, and each new one at once, until it is called with false. The port stays bound, so that no
// other process takes it.
func (p *Platform) SetDown(down bool) {
	p.down.Store(down)
	p.dropUnreachable()
}

// SetBlocked resets the connections of callers for whose remote address the function returns true; nil blocks nobody.
func (p *Platform) SetBlocked(blocked func(remoteAddr string) bool) {
	if blocked == nil {
		p.blocked.Store(nil)
		return
	}
	p.blocked.Store(&blocked)
	p.dropUnreachable()
}

func (p *Platform) dropUnreachable() {
	p.gate.abortIf(p.unreachable)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeAll()
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

// latest returns the latest version of a key, visible or not.
func (p *Platform) latest(key string) version {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.entry(key).versions
	if len(versions) == 0 {
		return version{}
	}
	return versions[len(versions)-1]
}

// WaitingWatches returns the number of watches that wait at present.
func (p *Platform) WaitingWatches() int { return int(p.waiting.Load()) }

// Calls returns the figures of the call meter.
func (p *Platform) Calls() Calls { return p.meter.calls() }

// Close stops the service and waits for its goroutines.
func (p *Platform) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.gate.stop()
	p.group.Wait()
}

// seen is what a reader sees of a key at one moment.
type seen struct {
	version version
	found   bool
	changed <-chan struct{}
}

// see reads the clock under the lock: a time from before the wait for the lock would hide a value that was set meanwhile, and
// the reader would wait for the change after it.
func (p *Platform) see(key string) seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	entry := p.entry(key)
	result := seen{changed: entry.changed}
	for i := len(entry.versions) - 1; i >= 0; i-- {
		v := entry.versions[i]
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
	after, wait, err := watchArguments(ctx.QueryArgs())
	if err != nil {
		ctx.SetStatusCode(statusBadArgument)
		ctx.SetBodyString(err.Error())
		return
	}
	if !p.meter.call(time.Now(), wait > 0) {
		ctx.SetStatusCode(statusOverRate)
		return
	}
	p.answer(ctx, key, after, wait)
}

func (p *Platform) answer(ctx *fasthttp.RequestCtx, key string, after uint64, wait time.Duration) {
	first := p.see(key)
	last := first
	if wait > 0 && !news(first, first, after) {
		last = p.watch(ctx.Conn(), first, key, after, wait)
	}
	switch {
	case p.unreachable(ctx.Conn()), p.gate.stopped():
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

// watch waits for news and returns what the reader sees in the end.
func (p *Platform) watch(caller net.Conn, first seen, key string, after uint64, wait time.Duration) seen {
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
		case <-p.gate.dead:
			return last
		}
		last = p.see(key)
		if news(first, last, after) || p.unreachable(caller) {
			return last
		}
	}
}

// news reports whether a watch that first saw one state ends with another.
func news(first, last seen, after uint64) bool {
	if last.found {
		return last.version.revision > after
	}
	return first.found
}

func watchArguments(args *fasthttp.Args) (uint64, time.Duration, error) {
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

// abort resets the connection of a request, so that no reply is sent.
func abort(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.abort()
	}
}
