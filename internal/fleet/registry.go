// Package fleet holds the searchers that are registered with the platform, as immutable snapshots by service.
package fleet

import (
	"fmt"
	"maps"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

// Searcher is one registered process of a searcher.
type Searcher struct {
	id      string
	service string
	address string
	zone    string
	slots   int
	leaving bool
	// evacuated is set in snapshots while the searcher's availability zone is evacuated.
	evacuated bool
	started   int64
	revision  epoch.Revision
	// warmupLeft is how much longer the searcher is cold, as of the registration.
	warmupLeft time.Duration
}

// Option is an optional statement of a registration.
type Option func(*Searcher)

// WarmupLeft states how much longer the searcher is cold.
func WarmupLeft(left time.Duration) Option { return func(s *Searcher) { s.warmupLeft = left } }

// NewSearcher returns a searcher. started is the Unix time in milliseconds at which the process started; it distinguishes processes that
// use the same id. revision is the revision of the registration.
func NewSearcher(id, service, address, zone string, slots int, leaving bool, started int64, revision epoch.Revision, options ...Option) *Searcher {
	s := &Searcher{id: id, service: service, address: address, zone: zone, slots: slots, leaving: leaving, started: started, revision: revision}
	for _, option := range options {
		option(s)
	}
	return s
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

// Leaving reports whether the searcher takes no new work: it asked for none, or its availability zone is evacuated.
func (s *Searcher) Leaving() bool { return s.leaving || s.evacuated }

// WarmupLeft returns how much longer the searcher was cold when it registered, 0 if it was warm or did not say.
func (s *Searcher) WarmupLeft() time.Duration { return s.warmupLeft }

// Started returns the Unix time in milliseconds at which the process started by its own clock.
func (s *Searcher) Started() int64 { return s.started }

// Revision returns the revision of the registration.
func (s *Searcher) Revision() epoch.Revision { return s.revision }

// Evacuated reports whether the searcher's availability zone is evacuated.
func (s *Searcher) Evacuated() bool { return s.evacuated }

// registeredAfter reports whether s is the later registration of two. After a restore a revision does not tell when an entry was written, so
// that the start of the process decides between eras.
func (s *Searcher) registeredAfter(other *Searcher) bool {
	if s.revision.Era() != other.revision.Era() && s.started != other.started {
		return s.started > other.started
	}
	return s.revision > other.revision
}

// Key identifies the process behind an id, since searchers may restart under the same id.
func (s *Searcher) Key() Key { return Key{ID: s.id, Address: s.address, Started: s.started} }

// Key identifies one process of a searcher.
type Key struct {
	ID      string
	Address string
	Started int64
}

// String returns the id, the address and the start of the process, which no two processes share.
func (k Key) String() string { return fmt.Sprintf("%s@%s/%d", k.ID, k.Address, k.Started) }

// Snapshot is an immutable state of the registry.
type Snapshot struct {
	byID     map[string]*Searcher
	services map[string][]*Searcher
	// replaced holds the processes at whose address another process has registered since.
	replaced []Key
}

// Service returns the searchers of a service that accept new work, sorted by id. The caller must not modify the result.
func (s *Snapshot) Service(name string) []*Searcher { return s.services[name] }

// All returns the searchers by id. The caller must not modify the result.
func (s *Snapshot) All() map[string]*Searcher { return s.byID }

// Replaced returns the registered processes that have ended, since another one has registered at their address. The caller must not modify the
// result.
func (s *Snapshot) Replaced() []Key { return s.replaced }

// Registry tracks the registrations of searchers. Snapshots are read without a lock. It is safe for concurrent use.
type Registry struct {
	current atomic.Pointer[Snapshot]

	mu   sync.Mutex
	byID map[string]*Searcher
	// pendingRemovals maps the searchers whose removal is deferred to the time at which they are dropped.
	pendingRemovals map[string]time.Time
	// departed holds the processes that were removed within departedTTL.
	departed map[Key]time.Time
	// doubted holds the registrations that are not used yet, by id. A later registration or a removal of the id ends the doubt.
	doubted map[string]doubt
	// services are the names of the services that routes may use, nil while they are not known.
	services map[string]bool
	// evacuated holds the availability zones whose searchers take no new work.
	evacuated map[string]bool
}

// doubt is a registration that takes effect at a time, unless it is replaced before.
type doubt struct {
	searcher *Searcher
	until    time.Time
}

// departedTTL is how long a removed process is remembered. It exceeds the age of a copy from which the platform's store is restored.
const departedTTL = time.Minute

// New returns an empty registry.
func New() *Registry {
	r := &Registry{
		byID:            make(map[string]*Searcher),
		pendingRemovals: make(map[string]time.Time),
		departed:        make(map[Key]time.Time),
		doubted:         make(map[string]doubt),
	}
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

// SetServices sets the services that routes may use. A registration for any other service names no searcher and takes no address from one.
func (r *Registry) SetServices(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := make(map[string]bool, len(names))
	for _, name := range names {
		services[name] = true
	}
	if r.services != nil && maps.Equal(r.services, services) {
		return
	}
	r.services = services
	r.publish()
}

// usable reports whether a registration is for a service that routes may use.
func (r *Registry) usable(s *Searcher) bool { return r.services == nil || r.services[s.service] }

// Doubt sets registrations of a restored store aside until the given time whose processes are known as leaving or departed: the copy may be
// older than their departure. The next Apply ignores them, but not later registrations. Doubt returns the ids; a time that has passed, such as
// the zero time, sets nothing aside.
func (r *Registry) Doubt(now time.Time, registered []*Searcher, until time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, s := range registered {
		if !now.Before(until) || s.leaving || !r.hasLeft(s.Key()) {
			continue
		}
		r.doubted[s.id] = doubt{searcher: s, until: until}
		ids = append(ids, s.id)
	}
	return ids
}

// hasLeft reports whether a process is known as leaving or departed.
func (r *Registry) hasLeft(key Key) bool {
	if known, ok := r.byID[key.ID]; ok && known.Key() == key {
		return known.leaving
	}
	_, ok := r.departed[key]
	return ok
}

func (r *Registry) upsert(s *Searcher) {
	if known, ok := r.byID[s.id]; ok && known.revision > s.revision {
		return
	}
	if d, ok := r.doubted[s.id]; ok {
		if d.searcher.revision >= s.revision {
			return
		}
		delete(r.doubted, s.id)
	}
	r.byID[s.id] = s
	delete(r.pendingRemovals, s.id)
	delete(r.departed, s.Key())
}

// remove removes a searcher, or defers its removal and returns true.
func (r *Registry) remove(now time.Time, id string, holdUntil time.Time) (deferred bool) {
	delete(r.doubted, id)
	if _, ok := r.byID[id]; !ok {
		return false
	}
	if now.Before(holdUntil) {
		if _, ok := r.pendingRemovals[id]; !ok {
			r.pendingRemovals[id] = holdUntil
		}
		return true
	}
	r.drop(now, id)
	return false
}

// drop removes a searcher and remembers that its process has departed.
func (r *Registry) drop(now time.Time, id string) {
	r.departed[r.byID[id].Key()] = now
	delete(r.byID, id)
	delete(r.pendingRemovals, id)
}

// Expire drops the searchers whose removal was deferred and that did not register again in time, and puts registrations in force whose doubt
// has ended. It returns the ids of both.
func (r *Registry) Expire(now time.Time) (dropped, trusted []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.pendingRemovals {
		if !now.Before(until) {
			r.drop(now, id)
			dropped = append(dropped, id)
		}
	}
	for id, d := range r.doubted {
		if !now.Before(d.until) {
			delete(r.doubted, id)
			r.upsert(d.searcher)
			trusted = append(trusted, id)
		}
	}
	for key, at := range r.departed {
		if now.Sub(at) > departedTTL {
			delete(r.departed, key)
		}
	}
	if len(dropped)+len(trusted) > 0 {
		r.publish()
	}
	return dropped, trusted
}

// publish stores a new snapshot. If several registrations have the same address, only the latest one that is usable identifies the process there.
func (r *Registry) publish() {
	snapshot := &Snapshot{byID: make(map[string]*Searcher, len(r.byID)), services: make(map[string][]*Searcher)}
	latest := make(map[string]*Searcher, len(r.byID))
	for id, s := range r.byID {
		if r.evacuated[s.zone] {
			withdrawn := *s
			withdrawn.evacuated = true
			s = &withdrawn
		}
		snapshot.byID[id] = s
		if other, ok := latest[s.address]; r.usable(s) && (!ok || s.registeredAfter(other)) {
			latest[s.address] = s
		}
	}
	for _, s := range snapshot.byID {
		if r.usable(s) && latest[s.address] != s {
			snapshot.replaced = append(snapshot.replaced, s.Key())
		}
	}
	for _, s := range latest {
		if !s.Leaving() {
			snapshot.services[s.service] = append(snapshot.services[s.service], s)
		}
	}
	for _, searchers := range snapshot.services {
		sort.Slice(searchers, func(i, j int) bool { return searchers[i].id < searchers[j].id })
	}
	r.current.Store(snapshot)
}

// SetEvacuated sets the availability zones whose searchers take no new work.
func (r *Registry) SetEvacuated(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	evacuated := make(map[string]bool, len(zones))
	for _, zone := range zones {
		evacuated[zone] = true
	}
	if maps.Equal(r.evacuated, evacuated) {
		return
	}
	r.evacuated = evacuated
	r.publish()
}
