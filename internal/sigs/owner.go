// Package sigs owns the signals of the process from the first statement of the program to its last, so that none of them takes its default
// action while a node starts, serves or shuts down. A program built with cgo ignores SIGHUP until then, from its first instruction on.
package sigs

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// owned are the signals that other processes send and whose default action ends the process.
var owned = []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}

// maxPending bounds the signals that arrive while others are handled. Further ones are lost, which changes nothing: all kinds are pending then.
const maxPending = 64

// Owner receives the signals of the process. It is safe for concurrent use.
type Owner struct {
	received chan os.Signal
	// hangups holds at most one SIGHUP that was not handled yet, terminations at most two SIGTERM or SIGINT.
	hangups      chan struct{}
	terminations chan os.Signal
	// brokenPipes is not read: a write to an output that nobody reads returns an error instead of ending the process.
	brokenPipes chan os.Signal
	released    atomic.Bool
}

// New returns the owner of the signals of the process, which then have no default action until Release.
func New() *Owner {
	o := &Owner{
		received:     make(chan os.Signal, maxPending),
		hangups:      make(chan struct{}, 1),
		terminations: make(chan os.Signal, 2),
		brokenPipes:  make(chan os.Signal, 1),
	}
	signal.Notify(o.received, owned...)
	signal.Notify(o.brokenPipes, syscall.SIGPIPE)
	go o.run()
	return o
}

func (o *Owner) run() {
	for s := range o.received {
		switch {
		case o.released.Load():
			// It was on its way when the default actions were restored.
			raise(s)
		case s == syscall.SIGHUP:
			select {
			case o.hangups <- struct{}{}:
			default:
			}
		default:
			select {
			case o.terminations <- s:
			default:
			}
		}
	}
}

// Hangups returns the channel that receives a value after one or more SIGHUP.
func (o *Owner) Hangups() <-chan struct{} { return o.hangups }

// Terminations returns the channel that receives SIGTERM and SIGINT. It buffers two of them; further ones are lost.
func (o *Owner) Terminations() <-chan os.Signal { return o.terminations }

// Stopping returns a context that ends with ctx or at the first SIGTERM or SIGINT, also one that has arrived before.
func (o *Owner) Stopping(ctx context.Context) (context.Context, context.CancelFunc) {
	return o.until(ctx, nil)
}

// Ending returns a context that ends like that of Stopping or at the first SIGHUP, for a command that has nothing to reload.
func (o *Owner) Ending(ctx context.Context) (context.Context, context.CancelFunc) {
	return o.until(ctx, o.hangups)
}

// until returns a context that ends with ctx, at the first SIGTERM or SIGINT, or at the first value of hangups, which may be nil. Its cause names
// the signal.
func (o *Owner) until(ctx context.Context, hangups <-chan struct{}) (context.Context, context.CancelFunc) {
	stopping, stop := context.WithCancelCause(ctx)
	go func() {
		select {
		case s := <-o.terminations:
			stop(errors.Newf("ended by signal: %v", s))
		case <-hangups:
			stop(errors.Newf("ended by signal: %v", syscall.SIGHUP))
		case <-stopping.Done():
		}
	}()
	return stopping, func() { stop(nil) }
}

// Release restores the default actions, for a command that ends by itself. A SIGTERM, SIGINT or SIGHUP that has arrived before takes its default
// action then.
func (o *Owner) Release() {
	signal.Reset(append(slices.Clone(owned), syscall.SIGPIPE)...)
	restoreHangup()
	o.released.Store(true)
	select {
	case s := <-o.terminations:
		raise(s)
	case <-o.hangups:
		raise(syscall.SIGHUP)
	default:
	}
}

// raise sends a signal to this process.
func raise(s os.Signal) {
	if number, ok := s.(syscall.Signal); ok {
		// The process has the right to signal itself.
		_ = syscall.Kill(syscall.Getpid(), number)
	}
}
