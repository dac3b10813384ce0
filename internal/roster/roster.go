// Package roster holds what a node knows of the other nodes when no list of them is published: each node counts its own heartbeats,
// nodes pass on the greatest counts that they heard, and a node whose count stands still is not offered to callers.
package roster

import (
	"sort"
	"sync"
	"time"
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
}

func (s State) after(other State) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Beat > other.Beat
}

const (
	// defaultSuspectAfter is the silence after which a node is not offered to callers.
	defaultSuspectAfter = 2 * time.Second
	// defaultForgetAfter is the silence after which a node is no longer greeted, except by its seed address.
	defaultForgetAfter = 2 * time.Minute
)

// Settings of a roster. Zero fields take their defaults.
type Settings struct {
	SuspectAfter time.Duration
	ForgetAfter  time.Duration
}

type record struct {
	state State
	// advancedAt is when the state last moved forward.
	advancedAt time.Time
}

// Roster is safe for concurrent use.
type Roster struct {
	settings Settings

	mu   sync.Mutex
	self State
	// others is by id, without this node.
	others map[string]*record
	// turn rotates the nodes that are greeted.
	turn int
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

// Beat counts a heartbeat of this node.
func (r *Roster) Beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Beat++
}

// Resumed forgives the silence of all nodes while this process was paused.
func (r *Roster) Resumed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.others {
		record.advancedAt = now
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
		changed = changed || state.Phase != known.state.Phase || state.Generation != known.state.Generation
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

// States returns this node's state and those of all nodes that are not silent, to be passed on.
func (r *Roster) States(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := []State{r.self}
	for _, record := range r.others {
		if now.Sub(record.advancedAt) < r.settings.SuspectAfter {
			states = append(states, record.state)
		}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	return states
}

// Live returns the nodes that were heard lately and are ready, this node included when it is.
func (r *Roster) Live(now time.Time) []State {
	states := r.States(now)
	live := states[:0]
	for _, state := range states {
		if state.Phase == Ready {
			live = append(live, state)
		}
	}
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

// Greet returns up to n peer addresses to exchange states with: known nodes in turn, then seeds that no known node has.
func (r *Roster) Greet(now time.Time, n int, seeds []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	known := map[string]bool{r.self.PeerAddress: true}
	for id, record := range r.others {
		if now.Sub(record.advancedAt) > r.settings.ForgetAfter {
			delete(r.others, id)
			continue
		}
		if !known[record.state.PeerAddress] {
			known[record.state.PeerAddress] = true
			addresses = append(addresses, record.state.PeerAddress)
		}
	}
	for _, seed := range seeds {
		if !known[seed] {
			known[seed] = true
			addresses = append(addresses, seed)
		}
	}
	sort.Strings(addresses)
	if len(addresses) <= n {
		return addresses
	}
	chosen := make([]string, n)
	for i := range chosen {
		chosen[i] = addresses[(r.turn+i)%len(addresses)]
	}
	r.turn = (r.turn + n) % len(addresses)
	return chosen
}
