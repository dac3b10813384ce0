// Package member holds a node's view of the other nodes: the published VM list joined with the node's own evidence. The list says who
// exists; own contact decides who is reachable; rumours from others only lower preference and prompt an own check.
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

	// evidenceKept is the time for which evidence about a VM outlives its removal from the list, since the list lags.
	evidenceKept = time.Minute
	// maxSuperseded is the number of former incarnations of a VM whose late messages are recognised.
	maxSuperseded = 4
)

// Settings of a view. Zero fields take their defaults.
type Settings struct {
	// SuspectAfter is the time without an answer after which a node is suspect; default 3 s.
	SuspectAfter time.Duration
	// AloneAfter is the time without contact from any node after which this node reports that it is alone; default 3 s.
	// It must exceed the time between two digest exchanges.
	AloneAfter time.Duration
	// ProbeInterval is the time until a suspect node is probed again, doubled with each probe up to ProbeMax; defaults 1 s and 8 s.
	ProbeInterval time.Duration
	ProbeMax      time.Duration
	// MaxProbes bounds the probes that one call of Due asks for; default 8.
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
	// superseded lists former incarnations, newest last. Incarnations are random, so their order is known only from contact.
	superseded []uint64
	// heard is the time of the last contact, zero without any.
	heard time.Time
	// asked is the time of the earliest question without an answer, zero when none is outstanding.
	asked time.Time
	// failed is set by a failure and cleared by contact.
	failed time.Time
	// doubted is set by a rumour and cleared by own evidence.
	doubted time.Time
	// stopping is set by the peer's own flag; a process that is stopping never serves again, so only a new incarnation clears it.
	stopping bool
	// probeAt and probes schedule own checks.
	probeAt time.Time
	probes  int
}

// View is safe for concurrent use.
type View struct {
	self     Node
	settings Settings
	current  atomic.Pointer[Members]

	mu     sync.Mutex
	listed map[string]shards.VM
	vms    []shards.VM
	peers  map[string]*peer
	// since is the time from which evidence counts: the first call, or the end of the last pause.
	since time.Time
	// lastHeard is the time of the last contact from any peer after since.
	lastHeard time.Time
}

// New returns a view in which nobody is listed.
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
	v.begin(now)
	v.listed = listed
	v.vms = kept
	for id, p := range v.peers {
		if _, ok := listed[id]; !ok && now.Sub(p.heard) > evidenceKept {
			delete(v.peers, id)
		}
	}
	v.current.Store(nil)
}

// RecordContact records contact: any message or answer that a process sent.
func (v *View) RecordContact(now time.Time, id string, incarnation uint64) {
	v.contact(now, id, incarnation, false)
}

// RecordStopping records contact with a process that says that it is stopping.
func (v *View) RecordStopping(now time.Time, id string, incarnation uint64) {
	v.contact(now, id, incarnation, true)
}

func (v *View) contact(now time.Time, id string, incarnation uint64, stopping bool) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begin(now)
	p := v.peer(id)
	if slices.Contains(p.superseded, incarnation) {
		return
	}
	if p.incarnation != incarnation {
		p.replace(incarnation)
		v.current.Store(nil)
	}
	if now.Before(p.failed) {
		return
	}
	if p.hear(now, stopping, v.settings.SuspectAfter) {
		v.current.Store(nil)
	}
	if now.After(v.lastHeard) {
		v.lastHeard = now
	}
	if m := v.current.Load(); m != nil && m.alone {
		v.current.Store(nil)
	}
}

// replace starts the evidence of a new process on the same VM.
func (p *peer) replace(incarnation uint64) {
	if p.incarnation != 0 {
		p.superseded = append(p.superseded, p.incarnation)
		p.superseded = p.superseded[max(0, len(p.superseded)-maxSuperseded):]
	}
	p.incarnation = incarnation
	p.stopping = false
}

// hear records contact and reports whether it may change the peer's state.
func (p *peer) hear(now time.Time, stopping bool, suspectAfter time.Duration) bool {
	changed := p.suspect(now, suspectAfter) || !p.doubted.IsZero() || p.heard.IsZero() || (stopping && !p.stopping)
	if now.After(p.heard) {
		p.heard = now
	}
	p.asked = time.Time{}
	p.failed = time.Time{}
	p.doubted = time.Time{}
	p.probes = 0
	p.stopping = p.stopping || stopping
	return changed
}

// suspect reports whether own evidence says that the peer does not answer.
func (p *peer) suspect(now time.Time, after time.Duration) bool {
	return !p.failed.IsZero() || (!p.asked.IsZero() && now.Sub(p.asked) >= after)
}

// RecordRequest records a question to a node. Without an answer for SuspectAfter the node is suspect.
func (v *View) RecordRequest(now time.Time, id string) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begin(now)
	v.ask(now, v.peer(id))
}

func (v *View) ask(now time.Time, p *peer) {
	if !p.asked.IsZero() {
		return
	}
	p.asked = now
	v.expireBy(now.Add(v.settings.SuspectAfter))
}

// RecordFailure records an explicit failure: a refused or broken connection, or an exchange that timed out.
func (v *View) RecordFailure(now time.Time, id string) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begin(now)
	p := v.peer(id)
	if now.Before(p.heard) || !p.failed.IsZero() {
		return
	}
	p.failed = now
	p.doubted = time.Time{}
	p.probeAt = now.Add(v.settings.ProbeInterval)
	v.current.Store(nil)
}

// RecordSuspicion records that another node could not reach a process. It lowers preference and makes Due name the node; own contact within
// SuspectAfter and later contact outweigh it.
func (v *View) RecordSuspicion(now time.Time, id string, incarnation uint64) {
	if id == v.self.id {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begin(now)
	_, listed := v.listed[id]
	p, known := v.peers[id]
	if !listed && !known {
		return // Evidence grows only with the list and with own contact, whatever others send.
	}
	if !known {
		p = v.peer(id)
	}
	fresh := !p.heard.IsZero() && now.Sub(p.heard) < v.settings.SuspectAfter
	if fresh || slices.Contains(p.superseded, incarnation) || p.suspect(now, v.settings.SuspectAfter) || !p.doubted.IsZero() {
		return
	}
	p.doubted = now
	p.probeAt = now
	v.current.Store(nil)
}

// HandlePause tells the view that this process did not run for a while, up to now. Evidence from before the pause says nothing about the
// present: nobody is suspect until a failure or silence after now. Leaving flags stay, since a stopping process never returns.
func (v *View) HandlePause(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.since = now
	v.lastHeard = time.Time{}
	for _, p := range v.peers {
		p.asked = time.Time{}
		p.failed = time.Time{}
		p.doubted = time.Time{}
		p.probes = 0
	}
	v.current.Store(nil)
}

// DueProbes returns the VMs to probe now, those that waited longest first, and records that they were asked. The caller reports each outcome
// with Heard or Failed.
func (v *View) DueProbes(now time.Time) []shards.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begin(now)
	var due []shards.VM
	for id, p := range v.peers {
		vm, ok := v.listed[id]
		wanted := !p.doubted.IsZero() || p.suspect(now, v.settings.SuspectAfter)
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
		v.ask(now, p)
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

func (v *View) peer(id string) *peer {
	p, ok := v.peers[id]
	if !ok {
		p = &peer{}
		v.peers[id] = p
	}
	return p
}

// begin starts the evidence with the first call.
func (v *View) begin(now time.Time) {
	if v.since.IsZero() {
		v.since = now
	}
}

// expireBy makes the current snapshot end no later than the given time.
func (v *View) expireBy(at time.Time) {
	m := v.current.Load()
	if m == nil || !at.Before(m.until) {
		return
	}
	earlier := *m
	earlier.until = at
	v.current.Store(&earlier)
}
