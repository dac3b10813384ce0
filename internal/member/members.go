package member

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// Suspect is a node that does not answer this node, to be passed on as a rumour.
type Suspect struct {
	id          string
	incarnation uint64
}

// ID returns the name of the VM.
func (s Suspect) ID() string { return s.id }

// Incarnation returns the last known incarnation, 0 when the node was never heard.
func (s Suspect) Incarnation() uint64 { return s.incarnation }

// Members is an immutable snapshot of a view.
type Members struct {
	self   string
	listed map[string]shards.VM
	vms    []shards.VM
	live   []shards.VM
	// suspects is sorted by id.
	suspects []Suspect
	// unreachable holds the ids of suspects.
	unreachable map[string]bool
	leaving     map[string]bool
	doubtful    map[string]bool
	// heard holds the incarnation of each process that made contact.
	heard map[string]uint64
	alone bool
	// until is the time at which silence may change a state.
	until time.Time
}

// Snapshot returns the state at a time. It takes no lock while nothing changed.
func (v *View) Snapshot(now time.Time) *Members {
	if m := v.current.Load(); m != nil && now.Before(m.until) {
		return m
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begin(now)
	if m := v.current.Load(); m != nil && now.Before(m.until) {
		return m
	}
	m := v.build(now)
	v.current.Store(m)
	return m
}

func (v *View) build(now time.Time) *Members {
	m := &Members{
		self:        v.self.id,
		listed:      v.listed,
		vms:         v.vms,
		unreachable: make(map[string]bool),
		leaving:     make(map[string]bool),
		doubtful:    make(map[string]bool),
		heard:       make(map[string]uint64, len(v.peers)),
	}
	m.alone, m.until = v.alone(now)
	for id, p := range v.peers {
		v.addPeer(m, now, id, p)
	}
	slices.SortFunc(m.suspects, func(a, b Suspect) int { return strings.Compare(a.id, b.id) })
	m.live = make([]shards.VM, 0, len(v.vms))
	for _, vm := range v.vms {
		if vm.Leaving() {
			m.leaving[vm.ID()] = true
		}
		if !m.leaving[vm.ID()] && !m.unreachable[vm.ID()] {
			m.live = append(m.live, vm)
		}
	}
	return m
}

func (v *View) addPeer(m *Members, now time.Time, id string, p *peer) {
	if p.stopping {
		m.leaving[id] = true
	}
	if !p.doubted.IsZero() {
		m.doubtful[id] = true
	}
	if !p.heard.IsZero() {
		m.heard[id] = p.incarnation
	}
	if p.suspect(now, v.settings.SuspectAfter) {
		m.unreachable[id] = true
		m.suspects = append(m.suspects, Suspect{id: id, incarnation: p.incarnation})
		return
	}
	if p.asked.IsZero() {
		return
	}
	if at := p.asked.Add(v.settings.SuspectAfter); at.Before(m.until) {
		m.until = at
	}
}

// alone reports whether no peer was heard for AloneAfter although some are listed, and when that may change by silence.
func (v *View) alone(now time.Time) (bool, time.Time) {
	last := v.lastHeard
	if last.Before(v.since) {
		last = v.since
	}
	at := last.Add(v.settings.AloneAfter)
	if now.Before(at) {
		return false, at
	}
	for _, vm := range v.vms {
		if vm.ID() != v.self.id && !vm.Leaving() {
			return true, now.Add(v.settings.AloneAfter)
		}
	}
	return false, now.Add(v.settings.AloneAfter)
}

// VMs returns all listed entry VMs, also those that are leaving or suspect. The caller must not change the result.
func (m *Members) VMs() []shards.VM { return m.vms }

// VM returns a listed entry VM by id.
func (m *Members) VM(id string) (shards.VM, bool) {
	vm, ok := m.listed[id]
	return vm, ok
}

// Live returns the listed entry VMs that are neither leaving nor suspect, this node among them, in the order of the
// list. The caller must not change the result.
func (m *Members) Live() []shards.VM { return m.live }

// Reachable reports whether own evidence allows to send to a node: it is listed or was heard, and it is not suspect. A
// leaving node may be reachable.
func (m *Members) Reachable(id string) bool {
	if id == m.self {
		return true
	}
	if m.unreachable[id] {
		return false
	}
	_, listed := m.listed[id]
	_, heard := m.heard[id]
	return listed || heard
}

// Leaving reports whether the list or the node itself says that it is leaving.
func (m *Members) Leaving(id string) bool { return m.leaving[id] }

// Doubtful reports whether others could not reach a node and own evidence is still missing; such a node is used after others.
func (m *Members) Doubtful(id string) bool { return m.doubtful[id] }

// Incarnation returns the process that was last heard on a VM.
func (m *Members) Incarnation(id string) (uint64, bool) {
	incarnation, ok := m.heard[id]
	return incarnation, ok
}

// Suspects returns the nodes that do not answer this node, sorted by id. The caller must not change the result.
func (m *Members) Suspects() []Suspect { return m.suspects }

// Alone reports whether this node hears no other although some are listed.
func (m *Members) Alone() bool { return m.alone }

// Suspects returns the nodes that do not answer this node at a time, sorted by id. The caller must not change the result.
func (v *View) Suspects(now time.Time) []Suspect { return v.Snapshot(now).Suspects() }
