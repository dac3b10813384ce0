// Package fleet holds the searchers that are registered with the platform, as immutable snapshots by service.
package fleet

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Searcher is one registered process of a searcher.
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

// NewSearcher returns a searcher. started is the Unix time in milliseconds at which the process started; it distinguishes processes that
// use the same id. revision is the revision of the registration.
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

// Slots returns the number of requests that the searcher runs in parallel.
func (s *Searcher) Slots() int { return s.slots }

// Leaving reports whether the searcher asked for no new work.
func (s *Searcher) Leaving() bool { return s.leaving }

// Key identifies the process behind an id, since searchers may restart under the same id.
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

// Service returns the searchers of a service that accept new work, sorted by id. The caller must not modify the result.
func (s *Snapshot) Service(name string) []*Searcher { return s.services[name] }

// All returns the searchers by id. The caller must not modify the result.
func (s *Snapshot) All() map[string]*Searcher { return s.byID }

// Registry tracks the registrations of searchers. Snapshots are read without a lock. It is safe for concurrent use.
type Registry struct {
	current atomic.Pointer[Snapshot]

	mu   sync.Mutex
	byID map[string]*Searcher
	// pendingRemovals maps the searchers whose removal is deferred to the time at which they are dropped.
	pendingRemovals map[string]time.Time
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{byID: make(map[string]*Searcher), pendingRemovals: make(map[string]time.Time)}
	r.current.Store(&Snapshot{})
	return r
}

// Snapshot returns the current state.
func (r *Registry) Snapshot() *Snapshot { return r.current.Load() }

// Apply first adds or updates the registered searchers, then removes those with the ids in removed. Until holdUntil the removal is deferred,
// since after an outage the platform also removes registrations that live searchers could not renew. It returns the ids whose removal is
// deferred.
func (r *Registry) Apply(now time.Time, registered []*Searcher, removed []string, holdUntil time.Time) (deferred []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range registered {
		r.upsert(s)
	}
	for _, id := range removed {
		if r.remove(now, id, holdUntil) {
			deferred = append(deferred, id)
		}
	}
	r.publish()
	return deferred
}

func (r *Registry) upsert(s *Searcher) {
	if known, ok := r.byID[s.id]; ok && known.revision > s.revision {
		return
	}
	r.byID[s.id] = s
	delete(r.pendingRemovals, s.id)
}

// remove removes a searcher, or defers its removal and returns true.
func (r *Registry) remove(now time.Time, id string, holdUntil time.Time) (deferred bool) {
	if _, ok := r.byID[id]; !ok {
		return false
	}
	if now.Before(holdUntil) {
		if _, ok := r.pendingRemovals[id]; !ok {
			r.pendingRemovals[id] = holdUntil
		}
		return true
	}
	delete(r.byID, id)
	delete(r.pendingRemovals, id)
	return false
}

// Expire drops the searchers whose removal was deferred and that did not register again in time. It returns their ids.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []string
	for id, until := range r.pendingRemovals {
		if now.Before(until) {
			continue
		}
		delete(r.byID, id)
		delete(r.pendingRemovals, id)
		expired = append(expired, id)
	}
	if len(expired) > 0 {
		r.publish()
	}
	return expired
}

// publish stores a new snapshot. If several registrations have the same address, only the latest one identifies the process there.
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
