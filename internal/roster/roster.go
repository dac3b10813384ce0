// Package roster holds what a node knows of the other nodes when no list of them is published: each node counts its own heartbeats,
// nodes pass on the greatest counts that they heard, and a node whose count stands still is not offered to callers. Nodes of one region
// follow each other closely; what is known of other regions is coarse, since bytes between regions are dear.
package roster

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is what a node does.
type Phase int

// Phases of a node, in their order.
const (
	Starting Phase = iota
	Ready
	Stopping
)

// State is what a node says of itself. The greater (Generation, Beat) is the later.
type State struct {
	ID            string
	Region        string
	Zone          string
	CallerAddress string
	PeerAddress   string
	Phase         Phase
	// Generation orders the processes of one VM.
	Generation uint64
	// Beat counts heartbeats of one process.
	Beat uint64
	// Cores is the processor share of the VM, and Load the part of a core that its requests take.
	Cores float64
	Load  float64
}

func (s State) after(other State) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Beat > other.Beat
}

// order is the place of a node among those of its zone. It does not depend on who asks, so that all nodes agree.
func (s State) order() uint64 { return xxhash.Sum64String(s.ID) }

const (
	// defaultSuspectAfter is the silence after which a node is not offered to callers, for nodes that are heard directly.
	defaultSuspectAfter = 2 * time.Second
	// relayedFactor is the multiple of the table interval after which a node that is heard through others counts as silent: a heartbeat
	// passes a few nodes on its way.
	relayedFactor = 6
	// defaultForgetAfter is the silence after which a node is no longer greeted, except by its seed address.
	defaultForgetAfter = 2 * time.Minute
	// farBeats is the least advance of a heartbeat count that is passed on between regions, and farSilence the silence after which a node
	// of another region is not offered: a heartbeat waits for an exchange at both ends.
	farBeats   = 2
	farSilence = 4 * time.Second
	// tableBytesPerS bounds the bytes for the table of a region that a node sends, and stateBytes is the size of one state in it.
	tableBytesPerS = 1024
	stateBytes     = 64
	// minTableInterval is the time between two exchanges of the region's table in a small region.
	minTableInterval = time.Second
)

// Settings of a roster. Zero fields take their defaults.
type Settings struct {
	SuspectAfter time.Duration
	ForgetAfter  time.Duration
}

type record struct {
	state State
	// advancedAt is when the state last moved forward, heardAt when the node itself was last heard.
	advancedAt time.Time
	heardAt    time.Time
}

// Roster is safe for concurrent use.
type Roster struct {
	settings Settings

	mu   sync.Mutex
	self State
	// others is by id, without this node.
	others map[string]*record
	// tableAt is when the region's table was last sent, farAt when another region was last greeted.
	tableAt time.Time
	farAt   time.Time
}

// New returns a roster that knows only its own node.
func New(self State, s Settings) *Roster {
	if s.SuspectAfter <= 0 {
		s.SuspectAfter = defaultSuspectAfter
	}
	if s.ForgetAfter <= 0 {
		s.ForgetAfter = defaultForgetAfter
	}
	return &Roster{settings: s, self: self, others: make(map[string]*record)}
}

// Self returns what this node says of itself.
func (r *Roster) Self() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetPhase changes the phase of this node and counts a heartbeat, so that the change passes on.
func (r *Roster) SetPhase(phase Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Phase = phase
	r.self.Beat++
}

// Beat counts a heartbeat of this node, with its present load.
func (r *Roster) Beat(load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Beat++
	r.self.Load = load
}

// Resumed forgives the silence of all nodes while this process was paused.
func (r *Roster) Resumed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.others {
		record.advancedAt = now
		record.heardAt = now
	}
}

// Heard records contact with a node itself.
func (r *Roster) Heard(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, ok := r.others[id]; ok {
		record.heardAt = now
	}
}

// Merge takes in what another node knows. Merging is idempotent and commutative. It reports whether a phase or the set of nodes changed.
func (r *Roster) Merge(now time.Time, states []State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, state := range states {
		if state.ID == r.self.ID {
			r.outlive(state)
			continue
		}
		known, ok := r.others[state.ID]
		if !ok {
			r.others[state.ID] = &record{state: state, advancedAt: now}
			changed = true
			continue
		}
		if !state.after(known.state) {
			continue
		}
		turned := state.Phase != known.state.Phase || state.Generation != known.state.Generation
		if !turned && state.Region != r.self.Region && state.Beat < known.state.Beat+farBeats {
			continue
		}
		changed = changed || turned
		known.state = state
		known.advancedAt = now
	}
	return changed
}

// outlive makes this process the latest of its VM when a predecessor's state still goes round.
func (r *Roster) outlive(rumour State) {
	if rumour.Generation > r.self.Generation {
		r.self.Generation = rumour.Generation + 1
	}
	if rumour.Generation == r.self.Generation && rumour.Beat > r.self.Beat {
		r.self.Generation++
	}
}

// tableInterval is the time between two exchanges of the region's table; it grows with the region, so that its bytes do not.
func (r *Roster) tableInterval() time.Duration {
	members := 1
	for _, record := range r.others {
		if record.state.Region == r.self.Region {
			members++
		}
	}
	return max(minTableInterval, time.Duration(members*stateBytes)*time.Second/tableBytesPerS)
}

// live reports whether a node was heard lately: directly, as those that this node greets at each heartbeat, or through others, which
// takes longer.
func (r *Roster) live(now time.Time, record *record, interval time.Duration, greeted map[string]bool) bool {
	if !record.heardAt.IsZero() && greeted[record.state.ID] {
		latest := record.heardAt
		if record.advancedAt.After(latest) {
			latest = record.advancedAt
		}
		return now.Sub(latest) < r.settings.SuspectAfter
	}
	if record.state.Region != r.self.Region {
		return now.Sub(record.advancedAt) < farSilence+interval
	}
	return now.Sub(record.advancedAt) < relayedFactor*interval
}

// greeted returns the ids of the nodes that this node greets at each heartbeat.
func (r *Roster) greeted() map[string]bool {
	ids := make(map[string]bool)
	for _, s := range r.closest() {
		ids[s.ID] = true
	}
	return ids
}

// Live returns the nodes that were heard lately and are ready, this node included when it is, sorted by id.
func (r *Roster) Live(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.liveReady(now)
}

func (r *Roster) liveReady(now time.Time) []State {
	var live []State
	if r.self.Phase == Ready {
		live = append(live, r.self)
	}
	interval, greeted := r.tableInterval(), r.greeted()
	for _, record := range r.others {
		if record.state.Phase == Ready && r.live(now, record, interval, greeted) {
			live = append(live, record.state)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Members returns all nodes that were heard within the time after which they are forgotten, this one included. Shares of what all nodes
// use together go by them: a node that is only out of reach still uses its share.
func (r *Roster) Members() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []State{r.self}
	for _, record := range r.others {
		members = append(members, record.state)
	}
	return members
}

// zoneLeaders is the number of nodes of a zone that are followed directly by all others of the zone, and regionLeaders that of a region
// that are followed by the leaders of its zones.
const (
	zoneLeaders   = 3
	regionLeaders = 2
)

// first returns the first n nodes in their order, among those that take part.
func (r *Roster) first(n int, takesPart func(State) bool) []State {
	var states []State
	if takesPart(r.self) {
		states = append(states, r.self)
	}
	for _, record := range r.others {
		if takesPart(record.state) {
			states = append(states, record.state)
		}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].order() < states[j].order() })
	return states[:min(len(states), n)]
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

// closest returns the nodes that this node greets at each heartbeat, possibly itself among them.
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

// First returns the first n live and ready nodes of this node's region in their order.
func (r *Roster) First(now time.Time, n int) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := make(map[string]bool)
	for _, s := range r.liveReady(now) {
		live[s.ID] = true
	}
	return r.first(n, func(s State) bool { return r.inRegion(s) && live[s.ID] })
}

// farInterval is the time between two exchanges of a zone's first nodes with other regions.
const farInterval = time.Second

// Greeting says whom to exchange states with, and which.
type Greeting struct {
	// Address is a peer address.
	Address string
	// States are sent; the other end answers in kind.
	States []State
}

// Greet returns the exchanges of one heartbeat: with the first nodes of the zone, which takes one state, now and then with a node of the
// region, which takes the region's table, and, from the first nodes of a zone only, with another region. While nobody of the region is
// known, seeds are greeted.
func (r *Roster) Greet(now time.Time, seeds []string) []Greeting {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	var greetings []Greeting
	for _, s := range r.closest() {
		if s.ID != r.self.ID {
			greetings = append(greetings, Greeting{Address: s.PeerAddress, States: []State{r.self}})
		}
	}
	if now.Sub(r.tableAt) >= r.tableInterval() {
		r.tableAt = now
		if mate, ok := r.random(r.inRegion); ok {
			greetings = append(greetings, Greeting{Address: mate.PeerAddress, States: r.table(now)})
		}
	}
	if r.leads() && now.Sub(r.farAt) >= farInterval {
		r.farAt = now
		if far, ok := r.random(func(s State) bool { return !r.inRegion(s) }); ok {
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
	known := map[string]bool{r.self.PeerAddress: true}
	for _, record := range r.others {
		known[record.state.PeerAddress] = true
	}
	var unknown []string
	for _, seed := range seeds {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	return []Greeting{{Address: unknown[rand.IntN(len(unknown))], States: []State{r.self}}}
}

// random returns a known node other than this one.
func (r *Roster) random(fits func(State) bool) (State, bool) {
	var states []State
	for _, record := range r.others {
		if fits(record.state) {
			states = append(states, record.state)
		}
	}
	if len(states) == 0 {
		return State{}, false
	}
	return states[rand.IntN(len(states))], true
}

// table returns the states of the region, and those of other regions that moved lately.
func (r *Roster) table(now time.Time) []State {
	lately := 2 * r.tableInterval()
	states := []State{r.self}
	for _, record := range r.others {
		if record.state.Region == r.self.Region || now.Sub(record.advancedAt) < lately {
			states = append(states, record.state)
		}
	}
	return states
}

// region returns the states of the region.
func (r *Roster) region() []State {
	states := []State{r.self}
	for _, record := range r.others {
		if r.inRegion(record.state) {
			states = append(states, record.state)
		}
	}
	return states
}

func (r *Roster) all() []State {
	states := []State{r.self}
	for _, record := range r.others {
		states = append(states, record.state)
	}
	return states
}

// Reply returns the states that answer a greeting in kind: one state for one, the region's table for that of the same region, and all
// for a stranger or another region.
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
	case len(greeting) == 1:
		return []State{r.self}
	default:
		return r.table(now)
	}
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
	var addresses []string
	for _, record := range r.others {
		if fits(record.state) {
			addresses = append(addresses, record.state.PeerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
