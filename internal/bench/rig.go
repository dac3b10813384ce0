package bench

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// rig is what every trial runs on: stand-ins, nodes and a caller, and the time at which its load began.
type rig struct {
	searchers *fakes.Fleet
	nodes     *local.Fleet
	caller    *caller
	begun     time.Time
}

// startFleet starts the stand-ins and the nodes and connects the caller. What was started before an error is left for close.
func (r *rig) startFleet(ctx context.Context, settings fakes.FleetSettings, options local.Options) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	var err error
	if r.searchers, err = fakes.StartFleet(settings); err != nil {
		return err
	}
	options.AdjustSettings = func(s *wire.Settings) { s.GetLimits().SetMaxInFlight(maxInFlight) }
	r.nodes = local.New(r.searchers, options)
	if err = r.nodes.StartPerRegion(ctx, nodesPerRegion); err != nil {
		return err
	}
	r.caller = newCaller(r.nodes.Addresses())
	time.Sleep(settle)
	return nil
}

func (r *rig) close() {
	if r.caller != nil {
		r.caller.close()
	}
	if r.nodes != nil {
		r.nodes.Close()
	}
	if r.searchers != nil {
		r.searchers.Close()
	}
}

// sleepUntil returns at an offset from the start of the load, and false when ctx ended before.
func (r *rig) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.begun.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends the i-th query of a load that was intended for an offset. A non-idempotent query may take several requests, with a record each.
func (r *rig) ask(l *Load, i int, at time.Duration, query *wire.Query) []record {
	asked := record{load: l, intended: at, lag: time.Since(r.begun) - at, query: query}
	if query.GetNonIdempotent() {
		return r.caller.sendOnce(asked, r.begun, i%resendEvery == 0)
	}
	asked.body, asked.err = r.caller.send(query)
	asked.took = time.Since(r.begun) - at
	return []record{asked}
}
