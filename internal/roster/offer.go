package roster

import "time"

// maxOffered is the number of addresses in an answer to a caller.
const maxOffered = 64

// Offer returns the caller addresses of ready nodes for a caller in a zone: those of its zone, or else of its region, or else all.
// Nodes of one group come in no particular order, since callers choose at random.
func (r *Roster) Offer(now time.Time, region, zone string) []string {
	live := r.Live(now)
	for _, near := range []func(State) bool{
		func(s State) bool { return s.Zone == zone },
		func(s State) bool { return s.Region == region },
		func(State) bool { return true },
	} {
		var addresses []string
		for _, state := range live {
			if near(state) && len(addresses) < maxOffered {
				addresses = append(addresses, state.CallerAddress)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}
