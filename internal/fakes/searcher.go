package fakes

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// An outgoing connection can briefly occupy a port that was just released, so listening on it again is retried.
	relistenAttempts = 50
	relistenInterval = 20 * time.Millisecond
)

// Searcher is a fake searcher.
type Searcher struct {
	settings SearcherSettings
	address  string
	group    conc.WaitGroup
	counts   connCounts
	log      *runLog
	hints    hints
	faults   faultInjector

	started atomic.Int64
	shed    atomic.Int64
	// lastRefused is the Unix time in nanoseconds of the last sub-request that was refused because the searcher is leaving.
	lastRefused atomic.Int64
	leaving     atomic.Bool
	endless     atomic.Bool
	malformed   atomic.Bool
	slowdown    atomic.Uint64
	loaded      atomic.Pointer[shardSet]
	process     atomic.Pointer[process]

	// closing is closed once, by Close, before it acquires mu.
	closing   chan struct{}
	closeOnce sync.Once

	randomMu sync.Mutex
	random   *rand.Rand

	// mu guards updates of loaded and process, which are read atomically without it, and the start of goroutines.
	mu sync.Mutex
}

// StartSearcher starts a searcher.
func StartSearcher(s SearcherSettings) (*Searcher, error) {
	if s.slots < 1 || s.connections < 1 || s.maxQueue < 0 || s.runLog < 1 {
		return nil, errors.Newf("searcher %s: slots, connections and run log limit must be at least 1 and queue limit at least 0", s.id)
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, errors.Wrapf(err, "searcher %s", s.id)
	}
	searcher := &Searcher{
		settings: s,
		address:  listener.Addr().String(),
		log:      newRunLog(s.runLog),
		hints:    hints{mode: AccurateHints{}},
		closing:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(s.seed, nameSeed(s.id))),
	}
	searcher.SetSlowdown(1)
	searcher.loaded.Store(&s.loaded)
	searcher.mu.Lock()
	defer searcher.mu.Unlock()
	searcher.startProcess(listener)
	return searcher, nil
}

func nameSeed(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// startProcess starts a process on the listener; s.mu must be held.
func (s *Searcher) startProcess(listener net.Listener) {
	p := newProcess(s, listener)
	s.leaving.Store(false)
	s.process.Store(p)
	s.group.Go(func() { p.server.run(&s.group) })
}

// ID returns the searcher's id.
func (s *Searcher) ID() string { return s.settings.id }

// Address returns the listen address as host:port, which does not change across restarts.
func (s *Searcher) Address() string { return s.address }

// Settings returns the settings of the searcher.
func (s *Searcher) Settings() SearcherSettings { return s.settings }

// SetSlowdown multiplies the service times of sub-requests that start after the call.
func (s *Searcher) SetSlowdown(factor float64) { s.slowdown.Store(math.Float64bits(factor)) }

// SetHints sets what the health and load endpoints report.
func (s *Searcher) SetHints(mode HintMode) {
	s.hints.set(mode)
	s.recordState()
}

// InjectFaults replaces the faults that are injected into replies; no arguments stop the injection.
func (s *Searcher) InjectFaults(faults ...Fault) { s.faults.set(faults) }

// InjectedFaults returns the number of faults that were injected into replies.
func (s *Searcher) InjectedFaults() int { return s.faults.count() }

// AddShards loads additional shards of an index snapshot.
func (s *Searcher) AddShards(collection string, snapshot uint64, shards ...int) {
	s.updateShards(func(loaded shardSet) shardSet { return loaded.with(collection, snapshot, shards) })
}

// DropSnapshot unloads an index snapshot.
func (s *Searcher) DropSnapshot(collection string, snapshot uint64) {
	s.updateShards(func(loaded shardSet) shardSet { return loaded.without(collection, snapshot) })
}

func (s *Searcher) updateShards(change func(shardSet) shardSet) {
	s.mu.Lock()
	changed := change(*s.loaded.Load())
	s.loaded.Store(&changed)
	s.mu.Unlock()
	s.recordState()
}

// Leave makes the searcher drain: it finishes running and queued sub-requests, refuses new ones, and reports that it is leaving in its
// replies and its health. A restart ends the draining.
func (s *Searcher) Leave() {
	s.leaving.Store(true)
	s.recordState()
}

// SetEndless makes the replies to sub-requests that start after the call bodies without an end, until it is called with false.
func (s *Searcher) SetEndless(endless bool) { s.endless.Store(endless) }

// SetMalformed makes the replies to sub-requests that start after the call malformed, until it is called with false. The sub-requests run.
func (s *Searcher) SetMalformed(malformed bool) { s.malformed.Store(malformed) }

// SilenceConnections silences up to n open connections that have carried requests: they never answer again but stay open. Connections
// with requests in flight are silenced first. It returns the number of silenced connections.
func (s *Searcher) SilenceConnections(n int) int { return s.process.Load().server.silenceConns(n) }

// Crash resets all connections and closes the listener, like a sub-request that contains the crash marker.
func (s *Searcher) Crash() { s.crash(s.process.Load()) }

func (s *Searcher) crash(p *process) {
	p.server.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() || s.process.Load() != p || s.settings.restartAfter <= 0 || p.restarting {
		return
	}
	p.restarting = true
	s.group.Go(func() {
		if sleep(s.settings.restartAfter, s.closing) {
			// A failed restart leaves the searcher down. Callers that need the error call Restart themselves.
			_ = s.Restart()
		}
	})
}

// Restart restarts the searcher on its address, crashing it first if it is running. It returns an error when the searcher is closed or
// its port is in use.
func (s *Searcher) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() {
		return errors.Newf("searcher %s is closed", s.settings.id)
	}
	s.process.Load().server.stop()
	listener, err := s.relisten()
	if err != nil {
		return errors.Wrapf(err, "searcher %s", s.settings.id)
	}
	s.startProcess(listener)
	return nil
}

func (s *Searcher) relisten() (net.Listener, error) {
	var lastErr error
	for range relistenAttempts {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return listener, nil
		}
		lastErr = err
		if !sleep(relistenInterval, s.closing) {
			break
		}
	}
	return nil, lastErr
}

// Close stops the searcher and waits for its goroutines.
func (s *Searcher) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	s.mu.Lock()
	s.process.Load().server.stop()
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Searcher) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// Runs returns the retained log of sub-requests that acquired a slot, in start order.
func (s *Searcher) Runs() []Run { return s.log.runs() }

// RunsDropped returns the number of runs that were evicted from the log.
func (s *Searcher) RunsDropped() int { return s.log.dropped() }

// Started returns the number of sub-requests that acquired a slot.
func (s *Searcher) Started() int { return int(s.started.Load()) }

// Shed returns the number of sub-requests that were shed because the queue was full.
func (s *Searcher) Shed() int { return int(s.shed.Load()) }

// LastRefused returns the time at which a sub-request was last refused because the searcher is leaving, or the zero time.
func (s *Searcher) LastRefused() time.Time {
	at := s.lastRefused.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Connections returns the number of open connections.
func (s *Searcher) Connections() int { return int(s.counts.open.Load()) }

// PeakConnections returns the maximum number of connections that were open at once.
func (s *Searcher) PeakConnections() int { return int(s.counts.peak.Load()) }

// RefusedConnections returns the number of connections that were closed immediately because of the connection limit.
func (s *Searcher) RefusedConnections() int { return int(s.counts.refused.Load()) }

// recordState records the current state for delayed hints.
func (s *Searcher) recordState() {
	if s.hints.recording.Load() {
		s.hints.record(s.state)
	}
}

func (s *Searcher) state() state {
	running, waiting := s.process.Load().slots.load()
	return state{
		healthy:     true,
		leaving:     s.leaving.Load(),
		running:     running,
		waiting:     waiting,
		connections: s.Connections(),
		snapshots:   s.loaded.Load().snapshots(),
	}
}

// sampleServiceTime returns a random service time, multiplied by the slowdown and the cold-start factor.
func (s *Searcher) sampleServiceTime(cold float64) time.Duration {
	s.randomMu.Lock()
	sampled := sample(s.settings.serviceTime, s.random)
	s.randomMu.Unlock()
	return time.Duration(float64(sampled) * math.Float64frombits(s.slowdown.Load()) * cold)
}
