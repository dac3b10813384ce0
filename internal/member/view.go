// Package member holds a node's view of the other nodes: the published VM list combined with the node's own evidence. The list decides
// which nodes exist, and direct contact decides which are reachable. Suspicions from other nodes only lower preference and trigger a probe.
package member

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

const (
	defaultSuspectAfter  = 3 * time.Second
	defaultAloneAfter    = 3 * time.Second
	defaultProbeInterval = time.Second
	defaultProbeMax      = 8 * time.Second
	defaultMaxProbes     = 8

	// evidenceRetention is how long evidence about a VM is kept after its removal from the list, since the list lags behind.
	evidenceRetention = time.Minute
	// maxFormerIncarnations is the number of former incarnations of a VM whose late messages are recognized.
	maxFormerIncarnations = 4
)

// Settings of a view. Zero fields take their defaults.
type Settings struct {
	// SuspectAfter is the time without an answer after which a node is suspect; default 3 s.
	SuspectAfter time.Duration
	// AloneAfter is the time without contact from any node after which this node reports that it is alone; default 3 s.
	// It must exceed the time between two digest exchanges.
	AloneAfter time.Duration
	// ProbeInterval is the time until a suspect node is probed again. It doubles with each probe up to ProbeMax. Defaults: 1 s and 8 s.
	ProbeInterval time.Duration
	ProbeMax      time.Duration
	// MaxProbes bounds the probes that one call of DueProbes returns; default 8.
	MaxProbes int
}

func (s Settings) withDefaults() Settings {
	s.SuspectAfter = cmp.Or(s.SuspectAfter, defaultSuspectAfter)
	s.AloneAfter = cmp.Or(s.AloneAfter, defaultAloneAfter)
	s.ProbeInterval = cmp.Or(s.ProbeInterval, defaultProbeInterval)
	s.ProbeMax = cmp.Or(s.ProbeMax, defaultProbeMax)
	s.MaxProbes = cmp.Or(s.MaxProbes, defaultMaxProbes)
	return s
}

// Node identifies one process of the system.
type Node struct {
	id          string
	incarnation uint64
}

// NewNode returns the node with the given VM id and process incarnation.
func NewNode(id string, incarnation uint64) Node {
	return Node{id: id, incarnation: incarnation}
}

// ID returns the name of the VM.
func (n Node) ID() string { return n.id }

// Incarnation returns the random id of the process.
func (n Node) Incarnation() uint64 { return n.incarnation }

// peer is the evidence about one other VM.
type peer struct {
	incarnation uint64
	// formerIncarnations lists former incarnations, newest last. Incarnations are random, so their order is known only from contact.
	formerIncarnations []uint64
	// lastContact is the time of the last contact, or zero without any.
	lastContact time.Time
	// pendingSince is the time of the earliest unanswered request, or zero when none is outstanding.
	pendingSince time.Time
	// failedAt is set by a failure and cleared by contact.
	failedAt time.Time
	// suspectedByOthersAt is set by another node's suspicion and cleared by own evidence.
	suspectedByOthersAt time.Time
	// stopping is set by the peer's own flag. A stopping process never serves again, so only a new incarnation clears it.
	stopping bool
	// probeAt is when the peer is probed next, and probes counts the unanswered probes.
	probeAt time.Time
	probes  int
}

// View is a node's view of the other nodes. It is safe for concurrent use.
type View struct {
	self     Node
	settings Settings
	current  atomic.Pointer[Members]

	mu     sync.Mutex
	listed map[string]shards.VM
	vms    []shards.VM
	peers  map[string]*peer
	// evidenceSince is the time from which evidence counts: the first call, or the end of the last pause.
	evidenceSince time.Time
	// lastContact is the time of the last contact from any peer after evidenceSince.
	lastContact time.Time
}

// New returns a view in which no VM is listed.
func New(self Node, s Settings) *View {
	return &View{self: self, settings: s.withDefaults(), peers: make(map[string]*peer)}
}

// Self returns this node.
func (v *View) Self() Node { return v.self }

// SetVMs replaces the VM list, which covers all regions.
func (v *View) SetVMs(now time.Time, vms []shards.VM) {
	listed := make(map[string]shards.VM, len(vms))
	kept := make([]shards.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.IsEntry() {
			listed[vm.ID()] = vm
			kept = append(kept, vm)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.initEvidence(now)
	v.listed = listed
	v.vms = kept
	for id, p := range v.peers {
		if _, ok := listed[id]; !ok && now.Sub(p.lastContact) > evidenceRetention {
			delete(v.peers, id)
		}
	}
	v.current.Store(nil)
}

// RecordContact records contact: any message or answer that a process sent.
func (v *View) RecordContact(now time.Time, id string, incarnation uint64) {
	v.recordContact(now, id, incarnation, false)
}

// RecordStopping records contact with a process that says that it is stopping.
func (v *View) RecordStopping(now time.Time, id string, incarnation uint64) {
	v.recordContact(now, id, incarnation, true)
}

func (v *View) recordContact(now time.Time, id string, incarnation uint64, stopping bool) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.initEvidence(now)
	p := v.getOrCreatePeer(id)
	if slices.Contains(p.formerIncarnations, incarnation) {
		return
	}
	if p.incarnation != incarnation {
		p.setIncarnation(incarnation)
		v.current.Store(nil)
	}
	if now.Before(p.failedAt) {
		return
	}
	if p.recordContact(now, stopping, v.settings.SuspectAfter) {
		v.current.Store(nil)
	}
	if now.After(v.lastContact) {
		v.lastContact = now
	}
	if m := v.current.Load(); m != nil && m.alone {
		v.current.Store(nil)
	}
}

// setIncarnation starts the evidence of a new process on the same VM.
func (p *peer) setIncarnation(incarnation uint64) {
	if p.incarnation != 0 {
		p.formerIncarnations = append(p.formerIncarnations, p.incarnation)
		p.formerIncarnations = p.formerIncarnations[max(0, len(p.formerIncarnations)-maxFormerIncarnations):]
	}
	p.incarnation = incarnation
	p.stopping = false
}

// recordContact records contact and reports whether it may change the peer's state.
func (p *peer) recordContact(now time.Time, stopping bool, suspectAfter time.Duration) bool {
	changed := p.suspect(now, suspectAfter) || !p.suspectedByOthersAt.IsZero() || p.lastContact.IsZero() || (stopping && !p.stopping)
	if now.After(p.lastContact) {
		p.lastContact = now
	}
	p.pendingSince = time.Time{}
	p.failedAt = time.Time{}
	p.suspectedByOthersAt = time.Time{}
	p.probes = 0
	p.stopping = p.stopping || stopping
	return changed
}

// suspect reports whether own evidence says that the peer does not answer.
func (p *peer) suspect(now time.Time, after time.Duration) bool {
	return !p.failedAt.IsZero() || (!p.pendingSince.IsZero() && now.Sub(p.pendingSince) >= after)
}

// RecordRequest records a request to a node. Without an answer for SuspectAfter the node is suspect.
func (v *View) RecordRequest(now time.Time, id string) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.initEvidence(now)
	v.recordRequest(now, v.getOrCreatePeer(id))
}

func (v *View) recordRequest(now time.Time, p *peer) {
	if !p.pendingSince.IsZero() {
		return
	}
	p.pendingSince = now
	v.limitValidity(now.Add(v.settings.SuspectAfter))
}

// RecordFailure records an explicit failure: a refused or broken connection, or an exchange that timed out.
func (v *View) RecordFailure(now time.Time, id string) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.initEvidence(now)
	p := v.getOrCreatePeer(id)
	if now.Before(p.lastContact) || !p.failedAt.IsZero() {
		return
	}
	p.failedAt = now
	p.suspectedByOthersAt = time.Time{}
	p.probeAt = now.Add(v.settings.ProbeInterval)
	v.current.Store(nil)
}

// RecordSuspicion records that another node could not reach a process. It lowers the preference of the node and makes DueProbes return it.
// Own contact within the last SuspectAfter, or later, overrides it.
func (v *View) RecordSuspicion(now time.Time, id string, incarnation uint64) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.initEvidence(now)
	_, listed := v.listed[id]
	p, known := v.peers[id]
	if !listed && !known {
		return // Evidence is kept only for listed nodes and after own contact, so that reports of others cannot grow it.
	}
	if !known {
		p = v.getOrCreatePeer(id)
	}
	fresh := !p.lastContact.IsZero() && now.Sub(p.lastContact) < v.settings.SuspectAfter
	if fresh || slices.Contains(p.formerIncarnations, incarnation) || p.suspect(now, v.settings.SuspectAfter) || !p.suspectedByOthersAt.IsZero() {
		return
	}
	p.suspectedByOthersAt = now
	p.probeAt = now
	v.current.Store(nil)
}

// HandlePause tells the view that this process did not run for some time until now. Evidence from before the pause says nothing about the
// present, so no node is suspect until a failure or silence after now. Stopping flags stay, since a stopping process never returns.
func (v *View) HandlePause(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evidenceSince = now
	v.lastContact = time.Time{}
	for _, p := range v.peers {
		p.pendingSince = time.Time{}
		p.failedAt = time.Time{}
		p.suspectedByOthersAt = time.Time{}
		p.probes = 0
	}
	v.current.Store(nil)
}

// DueProbes returns the VMs to probe now, those due longest first, and records a request to each. The caller reports each outcome with
// RecordContact or RecordFailure.
func (v *View) DueProbes(now time.Time) []shards.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.initEvidence(now)
	var due []shards.VM
	for id, p := range v.peers {
		vm, ok := v.listed[id]
		wanted := !p.suspectedByOthersAt.IsZero() || p.suspect(now, v.settings.SuspectAfter)
		if ok && wanted && !now.Before(p.probeAt) {
			due = append(due, vm)
		}
	}
	slices.SortFunc(due, func(a, b shards.VM) int {
		return cmp.Or(v.peers[a.ID()].probeAt.Compare(v.peers[b.ID()].probeAt), cmp.Compare(a.ID(), b.ID()))
	})
	due = due[:min(len(due), v.settings.MaxProbes)]
	for _, vm := range due {
		p := v.peers[vm.ID()]
		p.probeAt = now.Add(v.probeDelay(p.probes))
		p.probes++
		v.recordRequest(now, p)
	}
	return due
}

// probeDelay returns the time until the next probe after a number of unanswered probes.
func (v *View) probeDelay(probes int) time.Duration {
	delay := v.settings.ProbeInterval
	for range probes {
		delay *= 2
		if delay >= v.settings.ProbeMax {
			return v.settings.ProbeMax
		}
	}
	return delay
}

func (v *View) getOrCreatePeer(id string) *peer {
	p, ok := v.peers[id]
	if !ok {
		p = &peer{}
		v.peers[id] = p
	}
	return p
}

// initEvidence sets evidenceSince on the first call.
func (v *View) initEvidence(now time.Time) {
	if v.evidenceSince.IsZero() {
		v.evidenceSince = now
	}
}

// limitValidity makes the current snapshot expire no later than at.
func (v *View) limitValidity(at time.Time) {
	m := v.current.Load()
	if m == nil || !at.Before(m.validUntil) {
		return
	}
	earlier := *m
	earlier.validUntil = at
	v.current.Store(&earlier)
}
