// Package fleet holds the searchers that registered with the platform, as immutable snapshots by service.
package fleet

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Searcher is one lifetime of a searcher.
type Searcher struct {
	id       string
	service  string
	address  string
	zone     string
	slots    int
	leaving  bool
	started  int64
	revision uint64
}

// NewSearcher returns a searcher. Started is the Unix time in milliseconds of its start; it tells two lifetimes under one id apart.
// Revision is that of its registration.
func NewSearcher(id, service, address, zone string, slots int, leaving bool, started int64, revision uint64) *Searcher {
	return &Searcher{id: id, service: service, address: address, zone: zone, slots: slots, leaving: leaving, started: started, revision: revision}
}

// ID returns the id under which the searcher registered.
func (s *Searcher) ID() string { return s.id }

// Service returns the service that the searcher belongs to.
func (s *Searcher) Service() string { return s.service }

// Address returns the IP address and TCP port.
func (s *Searcher) Address() string { return s.address }

// Zone returns the availability zone.
func (s *Searcher) Zone() string { return s.zone }

// Slots returns the number of requests that the searcher runs at once.
func (s *Searcher) Slots() int { return s.slots }

// Leaving reports whether the searcher asked for no new work.
func (s *Searcher) Leaving() bool { return s.leaving }

// Key identifies the process behind an id: searchers may start again under the same id.
func (s *Searcher) Key() Key { return Key{ID: s.id, Address: s.address, Started: s.started} }

// Key identifies one process of a searcher.
type Key struct {
	ID      string
	Address string
	Started int64
}

// Snapshot is an immutable state of the registry.
type Snapshot struct {
	byID     map[string]*Searcher
	services map[string][]*Searcher
}

// Service returns the searchers of a service that take new work, sorted by id. The caller must not change the result.
func (s *Snapshot) Service(name string) []*Searcher { return s.services[name] }

// All returns the searchers by id. The caller must not change the result.
func (s *Snapshot) All() map[string]*Searcher { return s.byID }

// Registry follows the registrations. Readers take snapshots without a lock. It is safe for concurrent use.
type Registry struct {
	current atomic.Pointer[Snapshot]

	mu   sync.Mutex
	byID map[string]*Searcher
	// lapsed maps the searchers that were removed while removals were in doubt to the time at which they are dropped.
	lapsed map[string]time.Time
	// doubtUntil is the time until which a removal may be of a living searcher, because the platform was away before.
	doubtUntil time.Time
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{byID: make(map[string]*Searcher), lapsed: make(map[string]time.Time)}
	r.current.Store(&Snapshot{})
	return r
}

// Snapshot returns the present state.
func (r *Registry) Snapshot() *Snapshot { return r.current.Load() }

// DeferRemovals keeps searchers that are removed before a time in use until then. The platform removes registrations of living searchers
// that could not renew them while it was away.
func (r *Registry) DeferRemovals(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.doubtUntil) {
		r.doubtUntil = until
	}
}

// Apply enters the searchers that were seen and removes those that are gone, in this order.
func (r *Registry) Apply(now time.Time, seen []*Searcher, gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range seen {
		r.enter(s)
	}
	for _, id := range gone {
		r.remove(now, id)
	}
	r.publish()
}

func (r *Registry) enter(s *Searcher) {
	if known, ok := r.byID[s.id]; ok && known.revision > s.revision {
		return
	}
	r.byID[s.id] = s
	delete(r.lapsed, s.id)
}

func (r *Registry) remove(now time.Time, id string) {
	if _, ok := r.byID[id]; !ok {
		return
	}
	if now.Before(r.doubtUntil) {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = r.doubtUntil
		}
		return
	}
	delete(r.byID, id)
	delete(r.lapsed, id)
}

// Expire drops the searchers whose removal was in doubt and that did not come back in time.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, until := range r.lapsed {
		if now.Before(until) {
			continue
		}
		delete(r.byID, id)
		delete(r.lapsed, id)
		changed = true
	}
	if changed {
		r.publish()
	}
}

// publish stores a new snapshot. Of two registrations with one address only the later names the process behind it.
func (r *Registry) publish() {
	snapshot := &Snapshot{byID: make(map[string]*Searcher, len(r.byID)), services: make(map[string][]*Searcher)}
	latest := make(map[string]*Searcher, len(r.byID))
	for id, s := range r.byID {
		snapshot.byID[id] = s
		if other, ok := latest[s.address]; !ok || s.revision > other.revision {
			latest[s.address] = s
		}
	}
	for _, s := range latest {
		if !s.leaving {
			snapshot.services[s.service] = append(snapshot.services[s.service], s)
		}
	}
	for _, searchers := range snapshot.services {
		sort.Slice(searchers, func(i, j int) bool { return searchers[i].id < searchers[j].id })
	}
	r.current.Store(snapshot)
}
