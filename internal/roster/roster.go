// Package roster holds what a node knows of the other nodes when no list of them is published: each node counts its own heartbeats,
// nodes pass on the greatest counts that they heard, and a node whose count stands still is not offered to callers. Nodes of one region
// follow each other closely; what is known of other regions is coarse, since bytes between regions are dear.
package roster

import (
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

// String returns the name of a phase.
func (p Phase) String() string {
	switch p {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Stopping:
		return "stopping"
	default:
		return "unknown"
	}
}

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
	// order is the place of the node among those of its zone. It is a hash of the id, so that all nodes agree.
	order uint64
}

func (s State) after(other State) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Beat > other.Beat
}

// ordered returns the state with its place.
func (s State) ordered() State {
	s.order = xxhash.Sum64String(s.ID)
	return s
}

const (
	// defaultSuspectAfter is the silence after which a node is not offered to callers, for nodes that are heard directly.
	defaultSuspectAfter = 2 * time.Second
	// relayedFactor is the multiple of the table interval after which a node that is heard through others counts as silent: a heartbeat
	// passes a few nodes on its way.
	relayedFactor = 6
	// defaultForgetAfter is the silence after which a node is no longer greeted, except by its seed address.
	defaultForgetAfter = 2 * time.Minute
	// farBeats is the least advance of a heartbeat count that is passed on between regions, and farSilence the silence after which a node
	// of another region is not offered, beyond the time that a heartbeat takes through both regions.
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
	// turn is the exponent of the next mate's distance, and beats counts the heartbeats that began exchanges.
	turn  int
	beats int
	// greetedAt is when a leader was last greeted by this node in its turn, and greetings counts such greetings.
	greetedAt time.Time
	greetings int
	// view is the last look at the live nodes; changed is set when a node, its phase or its process changed since.
	view    *view
	changed bool
}

// New returns a roster that knows only its own node.
func New(self State, s Settings) *Roster {
	if s.SuspectAfter <= 0 {
		s.SuspectAfter = defaultSuspectAfter
	}
	if s.ForgetAfter <= 0 {
		s.ForgetAfter = defaultForgetAfter
	}
	return &Roster{settings: s, self: self.ordered(), others: make(map[string]*record)}
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
	r.changed = true
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
	r.changed = true
}

// Heard records contact with a node itself.
func (r *Roster) Heard(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, ok := r.others[id]; ok {
		record.heardAt = now
	}
}

// Merge takes in what another node knows. Merging is idempotent and commutative.
func (r *Roster) Merge(now time.Time, states []State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range states {
		if state.ID == r.self.ID {
			r.outlive(state)
			continue
		}
		known, ok := r.others[state.ID]
		if !ok {
			r.others[state.ID] = &record{state: state.ordered(), advancedAt: now}
			r.changed = true
			continue
		}
		if !state.after(known.state) {
			continue
		}
		turned := state.Phase != known.state.Phase || state.Generation != known.state.Generation
		if !turned && state.Region != r.self.Region && state.Beat < known.state.Beat+farBeats {
			continue
		}
		r.changed = r.changed || turned
		state.order = known.state.order
		known.state = state
		known.advancedAt = now
	}
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

// Members returns all nodes that were heard within the time after which they are forgotten, this one included. Shares of what all nodes
// use together go by them: a node that is only out of reach still uses its share.
func (r *Roster) Members() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all()
}
