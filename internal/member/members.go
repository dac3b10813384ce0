package member

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// Suspect is a node that does not answer this node. It is reported to other nodes as a suspicion.
type Suspect struct {
	id          string
	incarnation uint64
}

// ID returns the name of the VM.
func (s Suspect) ID() string { return s.id }

// Incarnation returns the last known incarnation, or 0 when there was never any contact.
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
	unreachable       map[string]bool
	leaving           map[string]bool
	suspectedByOthers map[string]bool
	// contacted holds the incarnation of each process that made contact.
	contacted map[string]uint64
	alone     bool
	// validUntil is the earliest time at which silence may change a state.
	validUntil time.Time
}

// Snapshot returns the state at now. It takes no lock while the previous snapshot is valid.
func (v *View) Snapshot(now time.Time) *Members {
	if m := v.current.Load(); m != nil && now.Before(m.validUntil) {
		return m
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.initEvidence(now)
	if m := v.current.Load(); m != nil && now.Before(m.validUntil) {
		return m
	}
	m := v.build(now)
	v.current.Store(m)
	return m
}

func (v *View) build(now time.Time) *Members {
	m := &Members{
		self:              v.self.id,
		listed:            v.listed,
		vms:               v.vms,
		unreachable:       make(map[string]bool),
		leaving:           make(map[string]bool),
		suspectedByOthers: make(map[string]bool),
		contacted:         make(map[string]uint64, len(v.peers)),
	}
	m.alone, m.validUntil = v.isAlone(now)
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
	if !p.suspectedByOthersAt.IsZero() {
		m.suspectedByOthers[id] = true
	}
	if !p.lastContact.IsZero() {
		m.contacted[id] = p.incarnation
	}
	if p.suspect(now, v.settings.SuspectAfter) {
		m.unreachable[id] = true
		m.suspects = append(m.suspects, Suspect{id: id, incarnation: p.incarnation})
		return
	}
	if p.pendingSince.IsZero() {
		return
	}
	if at := p.pendingSince.Add(v.settings.SuspectAfter); at.Before(m.validUntil) {
		m.validUntil = at
	}
}

// isAlone reports whether there was no contact from any peer for AloneAfter although some are listed, and until when this holds without
// further contact.
func (v *View) isAlone(now time.Time) (bool, time.Time) {
	last := v.lastContact
	if last.Before(v.evidenceSince) {
		last = v.evidenceSince
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

// VMs returns all listed entry VMs, including those that are leaving or suspect. The caller must not modify the result.
func (m *Members) VMs() []shards.VM { return m.vms }

// VM returns a listed entry VM by id.
func (m *Members) VM(id string) (shards.VM, bool) {
	vm, ok := m.listed[id]
	return vm, ok
}

// Live returns the listed entry VMs that are neither leaving nor suspect, including this node, in list order. The caller must not modify
// the result.
func (m *Members) Live() []shards.VM { return m.live }

// Reachable reports whether this node's own evidence permits sending to a node: the node is listed or made contact, and it is not
// suspect. A leaving node may be reachable.
func (m *Members) Reachable(id string) bool {
	if id == m.self {
		return true
	}
	if m.unreachable[id] {
		return false
	}
	_, listed := m.listed[id]
	_, contacted := m.contacted[id]
	return listed || contacted
}

// Leaving reports whether the list or the node itself says that it is leaving.
func (m *Members) Leaving(id string) bool { return m.leaving[id] }

// SuspectedByOthers reports whether other nodes could not reach a node and this node has no evidence of its own yet. Such a node is used
// only after others.
func (m *Members) SuspectedByOthers(id string) bool { return m.suspectedByOthers[id] }

// Incarnation returns the incarnation of the process that last made contact from a VM.
func (m *Members) Incarnation(id string) (uint64, bool) {
	incarnation, ok := m.contacted[id]
	return incarnation, ok
}

// Suspects returns the nodes that do not answer this node, sorted by id. The caller must not modify the result.
func (m *Members) Suspects() []Suspect { return m.suspects }

// Alone reports whether this node has no contact with any other node although some are listed.
func (m *Members) Alone() bool { return m.alone }

// Suspects returns the nodes that do not answer this node at now, sorted by id. The caller must not modify the result.
func (v *View) Suspects(now time.Time) []Suspect { return v.Snapshot(now).Suspects() }
