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
	// A port that was just released can be taken for a moment by an outgoing connection.
	relistenAttempts = 50
	relistenInterval = 20 * time.Millisecond
)

// Searcher is a stand-in of a searcher.
type Searcher struct {
	settings SearcherSettings
	address  string
	group    conc.WaitGroup
	counts   connCounts
	log      *runLog
	hints    hints
	planted  planted

	started atomic.Int64
	shed    atomic.Int64
	// refused is the Unix time in nanoseconds of the last sub-request that was refused because the searcher leaves.
	refused  atomic.Int64
	leaving  atomic.Bool
	slow     atomic.Uint64
	holdings atomic.Pointer[holdings]
	process  atomic.Pointer[process]

	// closing is closed once, by Close, before it takes mu.
	closing   chan struct{}
	closeOnce sync.Once

	randomMu sync.Mutex
	random   *rand.Rand

	// mu guards changes of the holdings and of the process, which readers load atomically, and the start of goroutines.
	mu sync.Mutex
}

// StartSearcher starts a searcher.
func StartSearcher(s SearcherSettings) (*Searcher, error) {
	if s.slots < 1 || s.connections < 1 || s.maxQueue < 0 || s.runLog < 1 {
		return nil, errors.Newf("searcher %s: slots, connections and run log must be at least 1 and the queue at least 0", s.id)
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
	searcher.holdings.Store(&s.holdings)
	searcher.mu.Lock()
	defer searcher.mu.Unlock()
	searcher.begin(listener)
	return searcher, nil
}

func nameSeed(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// begin starts a process on the listener; the lock is held.
func (s *Searcher) begin(listener net.Listener) {
	p := newProcess(s, listener)
	s.leaving.Store(false)
	s.process.Store(p)
	s.group.Go(func() { p.gate.run(&s.group) })
}

// ID returns the searcher's name.
func (s *Searcher) ID() string { return s.settings.id }

// Address returns the address and TCP port, which stay the same after a restart.
func (s *Searcher) Address() string { return s.address }

// Settings returns the settings that the searcher was started with.
func (s *Searcher) Settings() SearcherSettings { return s.settings }

// SetSlowdown multiplies the service times of sub-requests that start from now on.
func (s *Searcher) SetSlowdown(factor float64) { s.slow.Store(math.Float64bits(factor)) }

// SetHints decides what the health and load endpoints answer.
func (s *Searcher) SetHints(mode HintMode) {
	s.hints.set(mode)
	s.noteState()
}

// InjectFaults replaces the planted faults of replies; none ends them.
func (s *Searcher) InjectFaults(faults ...Fault) { s.planted.set(faults) }

// InjectedFaults returns the number of faults that were put into replies.
func (s *Searcher) InjectedFaults() int { return s.planted.count() }

// AddShards adds shards of an index snapshot.
func (s *Searcher) AddShards(collection string, snapshot uint64, shards ...int) {
	s.changeHoldings(func(h holdings) holdings { return h.with(collection, snapshot, shards) })
}

// DropSnapshot removes an index snapshot.
func (s *Searcher) DropSnapshot(collection string, snapshot uint64) {
	s.changeHoldings(func(h holdings) holdings { return h.without(collection, snapshot) })
}

func (s *Searcher) changeHoldings(change func(holdings) holdings) {
	s.mu.Lock()
	changed := change(*s.holdings.Load())
	s.holdings.Store(&changed)
	s.mu.Unlock()
	s.noteState()
}

// Leave makes the searcher drain: it finishes the sub-requests that run or wait, refuses new ones, and says so in replies and
// in its health. A restart ends it.
func (s *Searcher) Leave() {
	s.leaving.Store(true)
	s.noteState()
}

// SilenceConnections makes up to n open connections with traffic silent: they never answer again and are not closed. Connections with
// requests in flight come first. It returns the number of connections that it silenced.
func (s *Searcher) SilenceConnections(n int) int { return s.process.Load().gate.silence(n) }

// Crash resets all connections and closes the listener, as a marked sub-request does.
func (s *Searcher) Crash() { s.crash(s.process.Load()) }

func (s *Searcher) crash(p *process) {
	p.gate.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() || s.process.Load() != p || s.settings.restartAfter <= 0 || p.restarting {
		return
	}
	p.restarting = true
	s.group.Go(func() {
		if sleep(s.settings.restartAfter, s.closing) {
			// A failed restart looks like a searcher that stays down; Restart returns the cause to callers who ask for one.
			_ = s.Restart()
		}
	})
}

// Restart starts the searcher again on its address, after a crash if it still runs. It returns an error when the searcher is
// closed or its port is taken.
func (s *Searcher) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() {
		return errors.Newf("searcher %s is closed", s.settings.id)
	}
	s.process.Load().gate.stop()
	listener, err := s.listenAgain()
	if err != nil {
		return errors.Wrapf(err, "searcher %s", s.settings.id)
	}
	s.begin(listener)
	return nil
}

func (s *Searcher) listenAgain() (net.Listener, error) {
	var last error
	for range relistenAttempts {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return listener, nil
		}
		last = err
		if !sleep(relistenInterval, s.closing) {
			break
		}
	}
	return nil, last
}

// Close stops the searcher and waits for its goroutines.
func (s *Searcher) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	s.mu.Lock()
	s.process.Load().gate.stop()
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

// Runs returns the latest sub-requests that took a slot, in order of start.
func (s *Searcher) Runs() []Run { return s.log.runs() }

// RunsDropped returns the number of runs that the log no longer keeps.
func (s *Searcher) RunsDropped() int { return s.log.dropped() }

// Started returns the number of sub-requests that took a slot.
func (s *Searcher) Started() int { return int(s.started.Load()) }

// Shed returns the number of sub-requests that were shed.
func (s *Searcher) Shed() int { return int(s.shed.Load()) }

// LastRefused returns when a sub-request was last refused because the searcher leaves, or the zero time.
func (s *Searcher) LastRefused() time.Time {
	at := s.refused.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Connections returns the number of open connections.
func (s *Searcher) Connections() int { return int(s.counts.open.Load()) }

// PeakConnections returns the greatest number of connections that were open at once.
func (s *Searcher) PeakConnections() int { return int(s.counts.peak.Load()) }

// RefusedConnections returns the number of connections that were closed at once because of the cap.
func (s *Searcher) RefusedConnections() int { return int(s.counts.refused.Load()) }

// noteState records the present state for lagging hints.
func (s *Searcher) noteState() {
	if s.hints.lags.Load() {
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
		snapshots:   s.holdings.Load().snapshots(),
	}
}

// draw returns one service time, multiplied by the slow factor and the cold-start factor.
func (s *Searcher) draw(cold float64) time.Duration {
	s.randomMu.Lock()
	drawn := sample(s.settings.serviceTime, s.random)
	s.randomMu.Unlock()
	return time.Duration(float64(drawn) * math.Float64frombits(s.slow.Load()) * cold)
}
