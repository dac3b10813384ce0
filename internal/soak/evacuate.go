package soak

import (
	"context"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/delay"
)

// evacuationStream distinguishes the random numbers that select evacuations.
const evacuationStream = 4

const (
	// evacuationBound is the time after which no request may reach the searchers of an evacuated zone, and evacuationCheck the time after that in
	// which their requests are counted.
	evacuationBound = 5 * time.Second
	evacuationCheck = time.Second
)

// checkEvacuation evacuates an availability zone for a while. No request may reach its searchers later than evacuationBound.
func (r *runner) checkEvacuation(ctx context.Context) {
	zone := zoneNames[r.evacuationRandom.IntN(len(zoneNames))]
	r.recordFault("zone evacuated")
	r.fleet.store.Evacuate(zone, true)
	delay.Sleep(ctx, evacuationBound)
	from := time.Now()
	delay.Sleep(ctx, evacuationCheck)
	to := time.Now()
	r.fleet.store.Evacuate(zone, false)
	inZone := make(map[string]bool)
	for _, s := range r.fleet.activeSearchers() {
		inZone[s.ID()] = s.zone == zone
	}
	for _, run := range r.fleet.runs() {
		if inZone[run.searcher] && run.StartTime.After(from) && run.StartTime.Before(to) {
			r.addViolation("evacuation", "request %s reached %s later than %v after its zone was evacuated", run.ID, run.searcher, evacuationBound)
		}
	}
}
