package cmd

import (
	"os"
	"syscall"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// signalEffect is what a signal does to a node.
type signalEffect string

const (
	effectNone   signalEffect = "none"
	effectStop   signalEffect = "stop"
	effectAbort  signalEffect = "abort"
	effectReload signalEffect = "reload"
)

// interruptsToAbort is the number of SIGINT after which a node aborts its graceful shutdown. SIGTERM never does: supervisors repeat it.
const interruptsToAbort = 2

// stopper decides what the signals that stop a node do.
type stopper struct {
	// abortable is set if a graceful shutdown can be aborted.
	abortable  bool
	stopping   bool
	interrupts int
}

// handle returns the effect of a SIGTERM or SIGINT.
func (s *stopper) handle(received os.Signal) signalEffect {
	if received == syscall.SIGINT {
		s.interrupts++
	}
	switch {
	case !s.stopping:
		s.stopping = true
		return effectStop
	case s.abortable && received == syscall.SIGINT && s.interrupts == interruptsToAbort:
		return effectAbort
	default:
		return effectNone
	}
}

// stopOnSignals calls stop and abort, which may be nil, as the signals of the process demand, and logs each signal, until ended is closed.
func stopOnSignals(signals *sigs.Owner, stop, abort func(), ended <-chan struct{}, logger *events.Logger) {
	s := stopper{abortable: abort != nil}
	for {
		select {
		case received := <-signals.Terminations():
			effect := s.handle(received)
			logSignal(logger, received, effect)
			switch effect {
			case effectStop:
				stop()
			case effectAbort:
				abort()
			}
		case <-ended:
			return
		}
	}
}

func logSignal(logger *events.Logger, received os.Signal, effect signalEffect) {
	logger.Log(wire.Event_EVENT_SIGNAL_RECEIVED, zap.Stringer("signal", received), zap.String("effect", string(effect)))
}
