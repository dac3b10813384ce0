package accept

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/fireflylanding/fireflylanding/internal/events"
)

// scriptedListener returns the errors of a script, then connections. With blocking set it fails with the last error of the script for ever.
type scriptedListener struct {
	net.Listener
	script   []error
	blocking bool
	calls    int
}

// Accept implements net.Listener.
func (l *scriptedListener) Accept() (net.Conn, error) {
	l.calls++
	if l.calls <= len(l.script) {
		return nil, l.script[l.calls-1]
	}
	if l.blocking {
		return nil, l.script[len(l.script)-1]
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// Close implements net.Listener.
func (l *scriptedListener) Close() error { return nil }

// acceptError returns an error as the net package returns it from accept.
func acceptError(number syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", number)}
}

func newListener(inner net.Listener, now *time.Time) (*Listener, metrics.Counter) {
	registry := metrics.NewRegistry()
	l := New(inner, "callers", events.Discard(), registry, func() time.Time { return *now })
	return l, metrics.GetOrRegisterCounter("listeners.callers.retries", registry)
}

// Guards against an accept loop that ends on an error that passes, and against one that goes on although its socket is closed.
func TestAcceptRetriesErrorsThatPass(t *testing.T) {
	tests := map[string]struct {
		script      []error
		want        error
		wantRetries int64
	}{
		"descriptors of the process": {script: []error{acceptError(syscall.EMFILE), acceptError(syscall.EMFILE)}, wantRetries: 2},
		"descriptors of the host":    {script: []error{acceptError(syscall.ENFILE)}, wantRetries: 1},
		"socket buffers":             {script: []error{acceptError(syscall.ENOBUFS)}, wantRetries: 1},
		"memory":                     {script: []error{acceptError(syscall.ENOMEM)}, wantRetries: 1},
		"connection aborted":         {script: []error{acceptError(syscall.ECONNABORTED)}, wantRetries: 1},
		"network down":               {script: []error{acceptError(syscall.ENETDOWN)}, wantRetries: 1},
		"closed":                     {script: []error{net.ErrClosed}, want: net.ErrClosed},
		"invalid socket":             {script: []error{acceptError(syscall.EINVAL)}, want: syscall.EINVAL},
		"lack, then closed":          {script: []error{acceptError(syscall.EMFILE), net.ErrClosed}, want: net.ErrClosed, wantRetries: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			l, retries := newListener(&scriptedListener{script: test.script}, &now)
			conn, err := l.Accept()
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			if got, want := conn != nil, test.want == nil; got != want {
				t.Errorf("got a connection %v, want %v", got, want)
			}
			if got := retries.Count(); got != test.wantRetries {
				t.Errorf("got %d retries, want %d", got, test.wantRetries)
			}
		})
	}
}

// Guards against a shutdown that waits for a listener which waits for its next try.
func TestCloseEndsWaitingAccept(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l, _ := newListener(&scriptedListener{script: []error{acceptError(syscall.EMFILE)}, blocking: true}, &now)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond)
	for range 2 {
		if err := l.Close(); err != nil {
			t.Errorf("got %v from Close, want no error", err)
		}
	}
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("got error %v, want %v", err, net.ErrClosed)
		}
	case <-time.After(5 * time.Second):
		t.Error("Accept still waits 5s after Close")
	}
}

// Guards against a listener that counts as recovered while its accepts fail and succeed by turns.
func TestFailingUntilQuiet(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l, _ := newListener(&scriptedListener{script: []error{acceptError(syscall.EMFILE)}}, &now)
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{after: 0, want: true}, {after: quietTime / 2, want: true}, {after: quietTime / 2, want: false}} {
		now = now.Add(step.after)
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		if got := l.Failing(); got != step.want {
			t.Errorf("got failing %v, want %v", got, step.want)
		}
	}
}
