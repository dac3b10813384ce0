package intake

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Decision is what to do with a request now: Run, Wait or Refuse.
type Decision interface{ decision() }

// Run lets a request go to the searchers now.
type Run struct{}

// Wait keeps a request in the waiting queue, at most until a time.
type Wait struct{ Until time.Time }

// Refuse ends a request that has not run.
type Refuse struct {
	Reason wire.Reason
	// After is how long the caller should wait before it tries again.
	After time.Duration
}

func (Run) decision()    {}
func (Wait) decision()   {}
func (Refuse) decision() {}
