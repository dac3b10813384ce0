package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// signalStream distinguishes the random numbers that select signals.
const signalStream = 2

// maxSignalInterval bounds the time between two signals of a series, and startSignals is the time in which a node that starts gets them.
const (
	maxSignalInterval = 80 * time.Millisecond
	startSignals      = 500 * time.Millisecond
)

// sendSignals sends random signals of a list to the most recently started process of a node, until done is closed.
func (r *runner) sendSignals(p *process, signals []syscall.Signal, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(r.settings.Seed, signalStream))
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.Int64N(int64(maxSignalInterval)))):
			p.signal(signals[random.IntN(len(signals))])
		}
	}
}

// stopUnderSignals stops a node while further signals arrive, and records a violation if it does not end by itself within the grace.
func (r *runner) stopUnderSignals(p *process) {
	done, sent := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		r.sendSignals(p, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGCONT}, done)
	}()
	if !p.stop(syscall.SIGTERM, grace) {
		r.addViolation("graceful stop", "%s still ran %v after SIGTERM", p.machine.Node, grace)
	}
	close(done)
	<-sent
}

// restartUnderSignals starts a node while its settings file is said to have changed, and records a violation if that ends it.
func (r *runner) restartUnderSignals(p *process) {
	r.restart(p)
	// SIGHUP has its default action until the process has been loaded.
	for {
		handled, err := stand.InSignalMasks(p.pid(), syscall.SIGHUP, stand.IgnoredSignals, stand.CaughtSignals)
		if handled || err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	done := make(chan struct{})
	time.AfterFunc(startSignals, func() { close(done) })
	r.sendSignals(p, []syscall.Signal{syscall.SIGHUP, syscall.SIGCONT}, done)
	if p.ended() {
		r.addViolation("signals", "%s ended by a signal while it started", p.machine.Node)
		r.restart(p)
	}
}
