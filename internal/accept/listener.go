// Package accept keeps listeners accepting connections across errors that pass, such as a lack of descriptors. The HTTP libraries end their
// accept loop on such an error, after which a node would never take a connection again.
package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// minDelay and maxDelay bound the exponential delay before a failed accept is retried.
	minDelay = 5 * time.Millisecond
	maxDelay = 250 * time.Millisecond
	// quietTime is the time without a failure after which a listener counts as recovered. It bounds the events of a listener whose accepts fail
	// and succeed by turns.
	quietTime = time.Second
)

// passing are the errors of accept(2) that say nothing about the listening socket: the process or the host lacks a resource, or the pending
// connection has failed.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM, syscall.EPROTO,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENOPROTOOPT, syscall.ENONET, syscall.ETIMEDOUT,
}

// Listener is a net.Listener whose Accept retries errors that pass. Accept must be called by one goroutine at a time, as net.Listener's users
// do here; the other methods are safe for concurrent use.
type Listener struct {
	net.Listener
	name    string
	logger  *events.Logger
	retries metrics.Counter
	clock   func() time.Time
	// failing is set from the first failure of an episode until the recovery.
	failing atomic.Bool
	// failedAt is the time of the latest failure of an episode, and failures their number. Only Accept uses them.
	failedAt time.Time
	failures int
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a listener that accepts the connections of inner. The metric listeners.NAME.retries counts its failed accepts.
func New(inner net.Listener, name string, logger *events.Logger, registry metrics.Registry, clock func() time.Time) *Listener {
	return &Listener{
		Listener: inner,
		name:     name,
		logger:   logger,
		retries:  metrics.GetOrRegisterCounter("listeners."+name+".retries", registry),
		clock:    clock,
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener. It returns an error only when the listener is closed or can't accept connections any more.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.recordSuccess(l.clock())
			return conn, nil
		}
		if !passes(err) {
			return nil, err
		}
		l.recordFailure(l.clock(), err)
		if !l.wait(delay) {
			return nil, errors.Mark(err, net.ErrClosed)
		}
	}
}

// Close implements net.Listener. It also ends an Accept that waits for its next try.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Failing reports whether accepts have failed and none has succeeded for quietTime after that.
func (l *Listener) Failing() bool { return l.failing.Load() }

// passes reports whether a failed accept is worth another try.
func passes(err error) bool { return errors.IsAny(err, passing...) }

// wait waits for a delay. It returns false if the listener is closed before that.
func (l *Listener) wait(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

func (l *Listener) recordFailure(now time.Time, err error) {
	l.retries.Inc(1)
	l.failures++
	l.failedAt = now
	if l.failing.CompareAndSwap(false, true) {
		l.logger.Log(wire.Event_EVENT_LISTENER_RETRIES, zap.String("listener", l.name), zap.Error(err))
	}
}

func (l *Listener) recordSuccess(now time.Time) {
	if !l.failing.Load() || now.Sub(l.failedAt) < quietTime {
		return
	}
	l.failing.Store(false)
	l.logger.Log(wire.Event_EVENT_LISTENER_RECOVERED, zap.String("listener", l.name), zap.Int("failures", l.failures))
	l.failures = 0
}
