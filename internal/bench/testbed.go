package bench

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// testbed holds what every trial runs on: stand-ins, nodes and a caller. startedAt is the start of its load.
type testbed struct {
	searchers *fakes.Fleet
	nodes     *local.Fleet
	caller    *caller
	startedAt time.Time
}

// startFleet starts the stand-ins and the nodes and creates the caller. After an error, close must be called to stop what was started.
func (r *testbed) startFleet(ctx context.Context, settings fakes.FleetSettings, options local.Options) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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
	time.Sleep(settleTime)
	return nil
}

func (r *testbed) close() {
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

// sleepUntil waits until an offset from the start of the load. It returns false if ctx is done before.
func (r *testbed) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.startedAt.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends query number i of a load, which was scheduled for an offset from the start of the load. A non-idempotent query may take
// several requests, with one record each.
func (r *testbed) ask(l *Load, i int, at time.Duration, query *wire.Query) []record {
	sent := record{load: l, intended: at, lag: time.Since(r.startedAt) - at, query: query}
	if query.GetNonIdempotent() {
		return r.caller.sendNonIdempotent(sent, r.startedAt, i%resendEvery == 0)
	}
	sent.body, sent.err = r.caller.send(query)
	sent.latency = time.Since(r.startedAt) - at
	return []record{sent}
}
