// Package roster is a gossip-based membership protocol for deployments without a published list of nodes. Each node counts its own
// heartbeats, nodes relay the highest counts that they received, and a node whose count stops advancing is no longer given to callers.
// Nodes of one region track each other closely. Knowledge of other regions is coarse, since traffic between regions is expensive.
package roster

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/reach"
)

// Phase is the lifecycle phase of a node.
type Phase int

// Phases of a node, in the order in which it passes through them.
const (
	Starting Phase = iota
	Ready
	Stopping
)

// String returns the name of the phase.
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

// State is the state that a node publishes about itself. The state with the greater (Generation, Heartbeat) is newer.
type State struct {
	ID            string
	Region        string
	Zone          string
	CallerAddress string
	PeerAddress   string
	Phase         Phase
	// Generation orders the successive processes on one VM.
	Generation uint64
	// Heartbeat counts the heartbeats of one process.
	Heartbeat uint64
	// Cores is the CPU capacity of the VM in cores, and Load the cores that its requests use.
	Cores float64
	Load  float64
	// Reach is the share of the searchers that the node reaches.
	Reach reach.Reach
	// hashOrder orders the nodes of a zone. It is a hash of the id, so that all nodes compute the same order.
	hashOrder uint64
}

func (s State) newerThan(other State) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Heartbeat > other.Heartbeat
}

// normalized returns the state with its hash order set and its size rounded to the 32 bits with which it is published, so that nodes of the
// same size compare as equal at each of them.
func (s State) normalized() State {
	s.hashOrder = xxhash.Sum64String(s.ID)
	s.Cores = float64(float32(s.Cores))
	return s
}

const (
	// defaultSuspectAfter is the silence after which a directly contacted node is no longer live.
	defaultSuspectAfter = 2 * time.Second
	// relayedIntervals is the number of table intervals after which a node whose state is relayed counts as silent. A heartbeat passes
	// through a few nodes on its way.
	relayedIntervals = 6
	// defaultRemoveAfter is the silence after which a node is removed, and from then on only contacted by its seed address.
	defaultRemoveAfter = 2 * time.Minute
	// minRemoteHeartbeatAdvance is the minimum advance of the heartbeat count at which a newer state of a node in another region is
	// accepted, and so relayed. remoteRegionSilence is the silence after which such a node is no longer live, in addition to the time that
	// a heartbeat takes through both regions.
	minRemoteHeartbeatAdvance = 2
	remoteRegionSilence       = 4 * time.Second
	// tableBytesPerS bounds the rate at which a node sends the region's table, and stateBytes is the size of one state in it.
	tableBytesPerS = 1024
	stateBytes     = 64
	// minTableInterval is the minimum time between two exchanges of the region's table; it applies to small regions.
	minTableInterval = time.Second
)

// Settings of a roster. Zero fields take their defaults.
type Settings struct {
	SuspectAfter time.Duration
	RemoveAfter  time.Duration
	// Random draws the partners of exchanges; the roster alone may use it. nil means a source with a random seed.
	Random *rand.Rand
}

type record struct {
	state State
	// advancedAt is when the state last advanced, and contactAt when the node itself was last in contact.
	advancedAt time.Time
	contactAt  time.Time
}

// Roster holds the known states of all nodes. It is safe for concurrent use.
type Roster struct {
	settings Settings

	mu     sync.Mutex
	random *rand.Rand
	self   State
	// others holds the other nodes by id.
	others map[string]*record
	// tableAt is when the region's table was last sent, and crossRegionAt when an exchange with another region was last started.
	tableAt       time.Time
	crossRegionAt time.Time
	// tableExchanges counts the exchanges of the region's table, and heartbeatRounds the calls of NextExchanges.
	tableExchanges  int
	heartbeatRounds int
	// leaderExchangeAt is when this node, as a non-leader, last contacted a leader, and leaderExchanges counts these exchanges.
	leaderExchangeAt time.Time
	leaderExchanges  int
	// view is the latest view of the live nodes; changed is set when a node, its phase or its process has changed since.
	view    *view
	changed bool
}

// New returns a roster that knows only this node.
func New(self State, s Settings) *Roster {
	if s.SuspectAfter <= 0 {
		s.SuspectAfter = defaultSuspectAfter
	}
	if s.RemoveAfter <= 0 {
		s.RemoveAfter = defaultRemoveAfter
	}
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Roster{settings: s, random: s.Random, self: self.normalized(), others: make(map[string]*record)}
}

// Self returns the state of this node.
func (r *Roster) Self() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetPhase changes the phase of this node and advances its heartbeat, so that the change propagates. A node that is stopping stays so, since a
// node may be stopped before it is ready.
func (r *Roster) SetPhase(phase Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Phase == Stopping {
		return
	}
	r.self.Phase = phase
	r.self.Heartbeat++
	r.changed = true
}

// RecordHeartbeat advances the heartbeat of this node and sets its current load.
func (r *Roster) RecordHeartbeat(load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Heartbeat++
	r.self.Load = load
}

// SetReach sets the share of the searchers that this node reaches. It advances the heartbeat if the node has lost its links or has them back,
// so that the change propagates, and reports whether this is so.
func (r *Roster) SetReach(current reach.Reach) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = current.Low() != r.self.Reach.Low()
	r.self.Reach = current
	if changed {
		r.self.Heartbeat++
		r.changed = true
	}
	return changed
}

// HandlePause restarts the silence timers of all nodes, since this process received nothing while it was paused.
func (r *Roster) HandlePause(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.others {
		record.advancedAt = now
		record.contactAt = now
	}
	r.changed = true
}

// RecordContact records direct contact with a node.
func (r *Roster) RecordContact(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, ok := r.others[id]; ok {
		record.contactAt = now
	}
}

// Merge adds states that another node sent, and returns those of nodes that have lost their links to the searchers or have them back, which
// other nodes should learn soon. Merging is idempotent and commutative.
func (r *Roster) Merge(now time.Time, states []State) (urgent []State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range states {
		if state.ID == r.self.ID {
			r.supersedePredecessor(state)
			continue
		}
		known, ok := r.others[state.ID]
		if !ok {
			r.others[state.ID] = &record{state: state.normalized(), advancedAt: now}
			r.changed = true
			continue
		}
		if !state.newerThan(known.state) {
			continue
		}
		reachChanged := state.Reach.Low() != known.state.Reach.Low()
		lifecycleChanged := state.Phase != known.state.Phase || state.Generation != known.state.Generation || reachChanged
		if !lifecycleChanged && state.Region != r.self.Region && state.Heartbeat < known.state.Heartbeat+minRemoteHeartbeatAdvance {
			continue
		}
		r.changed = r.changed || lifecycleChanged
		state.hashOrder = known.state.hashOrder
		known.state = state
		known.advancedAt = now
		if reachChanged {
			urgent = append(urgent, state)
		}
	}
	return urgent
}

// supersedePredecessor raises this node's generation above that of a predecessor on the same VM whose state is still being relayed.
func (r *Roster) supersedePredecessor(relayed State) {
	if relayed.Generation > r.self.Generation {
		r.self.Generation = relayed.Generation + 1
	}
	if relayed.Generation == r.self.Generation && relayed.Heartbeat > r.self.Heartbeat {
		r.self.Generation++
	}
}

// Members returns all nodes that have not been removed for silence, including this one. Cluster-wide budgets are divided among them, since
// a node that is only unreachable still uses its share.
func (r *Roster) Members() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allStates()
}
