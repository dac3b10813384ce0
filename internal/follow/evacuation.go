package follow

import (
	"slices"
	"time"
)

// evacuations holds the availability zones whose searchers take no new work.
type evacuations struct {
	// endsAt maps each evacuated zone to the time at which its evacuation ends, the zero time while the operator asks for it.
	endsAt map[string]time.Time
}

func newEvacuations() evacuations { return evacuations{endsAt: make(map[string]time.Time)} }

// begin evacuates a zone and reports whether it was not evacuated before.
func (e evacuations) begin(zone string) bool {
	_, known := e.endsAt[zone]
	e.endsAt[zone] = time.Time{}
	return !known
}

// end ends the evacuation of a zone, or defers its end to holdUntil. It reports whether the zone may be used again.
func (e evacuations) end(now time.Time, zone string, holdUntil time.Time) bool {
	_, known := e.endsAt[zone]
	if known && now.Before(holdUntil) {
		e.endsAt[zone] = holdUntil
		return false
	}
	delete(e.endsAt, zone)
	return known
}

// extend defers the ends that are deferred already further, to holdUntil.
func (e evacuations) extend(holdUntil time.Time) {
	for zone, at := range e.endsAt {
		if !at.IsZero() {
			e.endsAt[zone] = holdUntil
		}
	}
}

// expire ends the evacuations whose deferred end is due, and returns their zones.
func (e evacuations) expire(now time.Time) []string {
	var ended []string
	for zone, at := range e.endsAt {
		if !at.IsZero() && !now.Before(at) {
			delete(e.endsAt, zone)
			ended = append(ended, zone)
		}
	}
	return ended
}

// zones returns the evacuated zones in order.
func (e evacuations) zones() []string {
	zones := make([]string, 0, len(e.endsAt))
	for zone := range e.endsAt {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}
