// Package parts supervises the parts of a node that must run for as long as the node does: its listeners and its control loops. Without one of
// them a node would do only a part of its work and still be ready.
package parts

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// errReturned is the error of a part that returned none.
var errReturned = errors.New("the part returned")

// Supervisor runs the parts of a node and ends the node when one of them ends first. It is safe for concurrent use.
type Supervisor struct {
	logger *events.Logger
	end    context.CancelFunc
	// failure is the error of the part that ended first, nil if none ended before the stop.
	failure atomic.Pointer[error]
	// stopping is set once the parts may end.
	stopping atomic.Bool
}

// New returns a supervisor, and a context that ends with stop or when a part has ended before Stop was called.
func New(stop context.Context, logger *events.Logger) (*Supervisor, context.Context) {
	ending, end := context.WithCancel(stop)
	return &Supervisor{logger: logger, end: end}, ending
}

// Loop runs a part in a group until it returns.
func (s *Supervisor) Loop(group *conc.WaitGroup, part string, run func()) {
	s.Serve(group, part, func() error {
		run()
		return nil
	})
}

// Serve runs a part that returns an error, such as a server, in a group.
func (s *Supervisor) Serve(group *conc.WaitGroup, part string, run func() error) {
	group.Go(func() {
		var err error
		recovered := panics.Try(func() { err = run() })
		switch {
		case recovered != nil:
			err = recovered.AsError()
		case s.stopping.Load():
			return
		case err == nil:
			err = errReturned
		}
		s.logger.Log(wire.Event_EVENT_PART_ENDED, zap.String("part", part), zap.Error(err))
		err = errors.Wrap(err, part)
		s.failure.CompareAndSwap(nil, &err)
		s.end()
	})
}

// Stop tells the supervisor that the node shuts down, so that its parts may end. It returns the error of the part for which the node ends, or nil.
func (s *Supervisor) Stop() error {
	s.stopping.Store(true)
	s.end()
	if failure := s.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}
