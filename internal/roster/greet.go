package roster

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// zoneLeaders is the number of nodes of a zone that are followed directly by all others of the zone, and regionLeaders that of a region
// that are followed by the leaders of its zones.
const (
	zoneLeaders   = 3
	regionLeaders = 2
)

// first returns the first n nodes in their order, among those that take part.
func (r *Roster) first(n int, takesPart func(State) bool) []State {
	var found firsts
	if takesPart(r.self) {
		found.add(r.self, n)
	}
	for _, record := range r.others {
		if takesPart(record.state) {
			found.add(record.state, n)
		}
	}
	return found
}

// leads reports whether this node is one of its zone's leaders.
func (r *Roster) leads() bool {
	for _, s := range r.first(zoneLeaders, r.inZone) {
		if s.ID == r.self.ID {
			return true
		}
	}
	return false
}

func (r *Roster) inZone(s State) bool   { return s.Zone == r.self.Zone }
func (r *Roster) inRegion(s State) bool { return s.Region == r.self.Region }

// closest returns the nodes that this node greets, possibly itself among them.
func (r *Roster) closest() []State {
	near := r.first(zoneLeaders, r.inZone)
	if !r.leads() {
		return near
	}
	for _, s := range r.first(regionLeaders, r.inRegion) {
		if !r.inZone(s) {
			near = append(near, s)
		}
	}
	return near
}

// meetBeats is the number of heartbeats after the start in which a node greets all leaders of its zone and answers with all that it knows
// of the region, so that nodes that start together soon agree on the leaders.
const meetBeats = 6

// greeted returns the nodes to greet at this heartbeat. Leaders greet all that are closest to them. The other nodes of a zone, which may
// be many, greet its leaders in turn; each answers for all of them.
func (r *Roster) greeted(now time.Time) []State {
	near := r.closest()
	r.beats++
	if r.beats <= meetBeats || r.leads() {
		return near
	}
	if now.Sub(r.greetedAt) < r.greetGap() {
		return nil
	}
	r.greetedAt = now
	r.greetings++
	at := r.greetings % len(near)
	return near[at : at+1]
}

// leaderGreetings bounds the greetings a second that a leader gets from the other nodes of its zone.
const leaderGreetings = 40

// greetGap is the least time between two greetings of a node that is no leader; it grows with the zone.
func (r *Roster) greetGap() time.Duration {
	size := 1
	for _, record := range r.others {
		if r.inZone(record.state) {
			size++
		}
	}
	return time.Duration(size) * time.Second / (zoneLeaders * leaderGreetings)
}

// farInterval is the least time between two exchanges of a zone's first nodes with other regions, which take the region's table.
const farInterval = time.Second

// Greeting says whom to exchange states with, and which.
type Greeting struct {
	// Address is a peer address.
	Address string
	// States are sent; the other end answers in kind.
	States []State
}

// Greet returns the exchanges of one heartbeat: with first nodes of the zone, which takes one state, now and then with a node of the
// region, which takes the region's table, and, from the first nodes of a zone only, with another region. While nobody of the region is
// known, seeds are greeted.
func (r *Roster) Greet(now time.Time, seeds []string) []Greeting {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	var greetings []Greeting
	for _, s := range r.greeted(now) {
		if s.ID != r.self.ID {
			greetings = append(greetings, Greeting{Address: s.PeerAddress, States: []State{r.self}})
		}
	}
	if r.beats > meetBeats && now.Sub(r.tableAt) >= r.tableInterval() {
		r.tableAt = now
		if mate, ok := r.mate(); ok {
			greetings = append(greetings, Greeting{Address: mate.PeerAddress, States: r.table(now)})
		}
	}
	if r.leads() && now.Sub(r.farAt) >= max(farInterval, r.tableInterval()) {
		r.farAt = now
		if far, ok := r.far(); ok {
			greetings = append(greetings, Greeting{Address: far.PeerAddress, States: r.region()})
		}
	}
	return append(greetings, r.greetSeeds(seeds)...)
}

func (r *Roster) forget(now time.Time) {
	for id, record := range r.others {
		if now.Sub(record.advancedAt) > r.settings.ForgetAfter {
			delete(r.others, id)
		}
	}
}

// greetSeeds returns an exchange with a seed that no known node has.
func (r *Roster) greetSeeds(seeds []string) []Greeting {
	var unknown []string
	for _, seed := range seeds {
		if !r.knows(seed) {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	return []Greeting{{Address: unknown[rand.IntN(len(unknown))], States: []State{r.self}}}
}

// knows reports whether a node has a peer address.
func (r *Roster) knows(address string) bool {
	if r.self.PeerAddress == address {
		return true
	}
	for _, record := range r.others {
		if record.state.PeerAddress == address {
			return true
		}
	}
	return false
}

// mate returns the node of the region for the next exchange of its table: those at distances 1, 2, 4 and so on in the order of their
// ids, in turn. So a state reaches all in few exchanges, and a node keeps few connections.
func (r *Roster) mate() (State, bool) {
	states := r.region()
	if len(states) < 2 {
		return State{}, false
	}
	sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	self := slices.IndexFunc(states, func(s State) bool { return s.ID == r.self.ID })
	distance := 1 << r.turn
	if distance >= len(states) {
		distance, r.turn = 1, 0
	}
	r.turn++
	return states[(self+distance)%len(states)], true
}

// far returns one of the first nodes of another region.
func (r *Roster) far() (State, bool) {
	var regions []string
	for _, s := range r.known(func(s State) bool { return !r.inRegion(s) }) {
		if !slices.Contains(regions, s.Region) {
			regions = append(regions, s.Region)
		}
	}
	if len(regions) == 0 {
		return State{}, false
	}
	region := regions[rand.IntN(len(regions))]
	first := r.first(regionLeaders, func(s State) bool { return s.Region == region })
	return first[rand.IntN(len(first))], true
}

// known returns the states of the other nodes that fit.
func (r *Roster) known(fits func(State) bool) []State {
	var states []State
	for _, record := range r.others {
		if fits(record.state) {
			states = append(states, record.state)
		}
	}
	return states
}

// table returns the states of the region, and those of other regions that moved lately.
func (r *Roster) table(now time.Time) []State {
	lately := 2 * r.tableInterval()
	return r.withSelf(func(s State) bool { return r.inRegion(s) || now.Sub(r.others[s.ID].advancedAt) < lately })
}

// region returns the states of the region.
func (r *Roster) region() []State { return r.withSelf(r.inRegion) }

func (r *Roster) all() []State { return r.withSelf(func(State) bool { return true }) }

// withSelf returns the state of this node and those of the others that fit.
func (r *Roster) withSelf(fits func(State) bool) []State {
	return append([]State{r.self}, r.known(fits)...)
}

// Reply returns the states that answer a greeting in kind: those of the zone's leaders for one state, the region's table for that of the
// same region, and all for a stranger or another region. While the nodes meet, one state is answered by the table too.
func (r *Roster) Reply(now time.Time, greeting []State) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(greeting) == 0 {
		return []State{r.self}
	}
	sender := greeting[0]
	_, known := r.others[sender.ID]
	switch {
	case !known:
		return r.all()
	case sender.Region != r.self.Region:
		return r.region()
	case len(greeting) == 1 && r.beats > meetBeats:
		return r.leaders()
	default:
		return r.table(now)
	}
}

// leaders returns the state of this node and those of the other leaders of its zone.
func (r *Roster) leaders() []State {
	states := []State{r.self}
	for _, s := range r.first(zoneLeaders, r.inZone) {
		if s.ID != r.self.ID {
			states = append(states, s)
		}
	}
	return states
}

// Neighbours returns up to n peer addresses of random nodes of the region, which learn of a change at once.
func (r *Roster) Neighbours(n int) []string { return r.sample(n, r.inRegion) }

// Spread returns up to n peer addresses of random nodes of the region and as many of other regions.
func (r *Roster) Spread(n int) []string {
	return append(r.Neighbours(n), r.sample(n, func(s State) bool { return !r.inRegion(s) })...)
}

func (r *Roster) sample(n int, fits func(State) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := r.known(fits)
	rand.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
	addresses := make([]string, 0, n)
	for _, state := range states[:min(n, len(states))] {
		addresses = append(addresses, state.PeerAddress)
	}
	return addresses
}
