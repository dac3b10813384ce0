package spread

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// ValidateFunc checks a document before it comes into force. It returns conf.Faults if the faults can be located.
type ValidateFunc func(key string, revision uint64, sections map[string]string) error

// Result is the outcome of offering a document: Accepted, Stale or Invalid.
type Result interface{ result() }

// Accepted means that the document is now in force.
type Accepted struct {
	previous uint64
}

// Previous returns the revision that was in force before, or 0 if there was none.
func (a Accepted) Previous() uint64 { return a.previous }

// Stale means that the document's revision is not higher than the one in force.
type Stale struct {
	inForce uint64
}

// InForce returns the revision in force.
func (s Stale) InForce() uint64 { return s.inForce }

// Invalid means that the document was rejected.
type Invalid struct {
	faults conf.Faults
	known  bool
}

// Faults returns the document's faults.
func (i Invalid) Faults() conf.Faults { return i.faults }

// Known reports whether the same document had been rejected before.
func (i Invalid) Known() bool { return i.known }

func (Accepted) result() {}
func (Stale) result()    {}
func (Invalid) result()  {}

// Rejection is the last rejected revision of a document.
type Rejection struct {
	key      string
	revision uint64
	hash     uint64
	at       time.Time
	faults   conf.Faults
}

// Key returns the key of the document.
func (r Rejection) Key() string { return r.key }

// Revision returns the rejected revision.
func (r Rejection) Revision() uint64 { return r.revision }

// At returns the time of the rejection.
func (r Rejection) At() time.Time { return r.at }

// Faults returns the document's faults.
func (r Rejection) Faults() conf.Faults { return r.faults }

// Store holds the documents in force. It is safe for concurrent use. Get does not lock.
type Store struct {
	validate ValidateFunc
	docs     atomic.Pointer[map[string]*Document]

	// acceptMu serialises Accept, so that subscribers see revisions in order. It guards subscribers and nextID.
	acceptMu    sync.Mutex
	subscribers map[int]func(*Document)
	nextID      int

	// mu guards the fields below. It is also held while docs is replaced, so that the documents in force and their histories change
	// together. It is not held during validation.
	mu        sync.Mutex
	histories map[string]*history
	rejected  map[string]Rejection
	// restored holds the first document of a later era that differed from the one in force, by key.
	restored map[string]restoredDocument
}

// restoredDocument is a document that a restored service offered first.
type restoredDocument struct {
	revision uint64
	at       time.Time
}

// rewriteTime is the time that operators need to write again what a restored service lost.
const rewriteTime = 3 * time.Second

// NewStore returns an empty store.
func NewStore(validate ValidateFunc) *Store {
	s := &Store{
		validate:    validate,
		subscribers: make(map[int]func(*Document)),
		histories:   make(map[string]*history),
		rejected:    make(map[string]Rejection),
		restored:    make(map[string]restoredDocument),
	}
	s.docs.Store(&map[string]*Document{})
	return s
}

// Get returns the document in force, or nil if there is none.
func (s *Store) Get(key string) *Document { return (*s.docs.Load())[key] }

// Keys returns the keys of all documents in force, sorted.
func (s *Store) Keys() []string { return slices.Sorted(maps.Keys(*s.docs.Load())) }

// Accept brings a document into force if its revision is higher than the current one and it is valid. A document with revision 0 is
// Stale.
func (s *Store) Accept(now time.Time, doc *Document) Result {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	current := s.Get(doc.key)
	if doc.revision <= current.Revision() {
		return Stale{inForce: current.Revision()}
	}
	if s.mayRevert(now, current, doc) {
		return Stale{inForce: current.Revision()}
	}
	if r, ok := s.Rejected(doc.key); ok && r.revision == doc.revision && r.hash == doc.hash {
		return Invalid{faults: r.faults, known: true}
	}
	if err := s.validate(doc.key, doc.revision, doc.sections); err != nil {
		return s.reject(now, doc.key, doc.revision, doc.hash, err)
	}
	s.publish(current, doc)
	for _, id := range slices.Sorted(maps.Keys(s.subscribers)) {
		s.subscribers[id](doc)
	}
	return Accepted{previous: current.Revision()}
}

// mayRevert reports whether a document of a later era may be older than the one in force, which the service then lost and operators write
// again. The first different document of an era is taken after rewriteTime only, a later one at once.
func (s *Store) mayRevert(now time.Time, current, doc *Document) bool {
	if current == nil || epoch.Revision(doc.revision).Era() == epoch.Revision(current.revision).Era() || doc.hash == current.hash {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.restored[doc.key]
	if !ok || epoch.Revision(first.revision).Era() != epoch.Revision(doc.revision).Era() {
		first = restoredDocument{revision: doc.revision, at: now}
		s.restored[doc.key] = first
	}
	return doc.revision <= first.revision && now.Sub(first.at) < rewriteTime
}

// RejectValue records a value that could not be parsed as a document.
func (s *Store) RejectValue(now time.Time, key string, revision uint64, err error) Result {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	if current := s.Get(key).Revision(); revision <= current {
		return Stale{inForce: current}
	}
	if r, ok := s.Rejected(key); ok && r.revision == revision {
		return Invalid{faults: r.faults, known: true}
	}
	return s.reject(now, key, revision, 0, err)
}

func (s *Store) reject(now time.Time, key string, revision, hash uint64, err error) Invalid {
	faults := conf.Faults{}.AppendError(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[key] = Rejection{key: key, revision: revision, hash: hash, at: now, faults: faults}
	return Invalid{faults: faults}
}

// publish makes doc the document in force and records the change in its history.
func (s *Store) publish(current, doc *Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rejected[doc.key]; ok && r.revision <= doc.revision {
		delete(s.rejected, doc.key)
	}
	if current == nil {
		s.histories[doc.key] = &history{}
	} else {
		s.histories[doc.key].add(current, doc)
	}
	delete(s.restored, doc.key)
	docs := maps.Clone(*s.docs.Load())
	docs[doc.key] = doc
	s.docs.Store(&docs)
}

// Rejected returns the last rejected revision of a document, if it is higher than the one in force.
func (s *Store) Rejected(key string) (Rejection, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rejected[key]
	return r, ok
}

// Rejections returns the rejected revisions that are higher than those in force, sorted by key.
func (s *Store) Rejections() []Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Collect(maps.Values(s.rejected))
	slices.SortFunc(all, func(a, b Rejection) int { return cmp.Compare(a.key, b.key) })
	return all
}

// Seen returns the higher of the revision in force and the last rejected one. Revisions up to it need not be fetched from the service.
func (s *Store) Seen(key string) uint64 {
	r, _ := s.Rejected(key)
	return max(r.revision, s.Get(key).Revision())
}

// Wants reports whether a peer's revision could come into force. A revision below a rejected one could: after a restart, the service may
// offer an invalid revision before a peer offers the last valid one.
func (s *Store) Wants(key string, revision uint64) bool {
	r, rejected := s.Rejected(key)
	return revision > s.Get(key).Revision() && (!rejected || revision != r.revision)
}

// Delta returns a delta that takes a peer from the given revision to the one in force, or nil if the peer is up to date. The delta holds
// the full document if the history does not reach back to the revision, or if at least as many sections changed as the document has
// and the full document takes no more space than these.
func (s *Store) Delta(key string, revision uint64) *wire.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc := s.Get(key)
	if doc.Revision() <= revision {
		return nil
	}
	from, names, ok := s.histories[key].since(revision)
	if revision == 0 || !ok {
		return fullDelta(doc)
	}
	delta := partialDelta(from, doc, names)
	if len(names) < len(doc.sections) {
		return delta
	}
	if full := fullDelta(doc); proto.Size(full) <= proto.Size(delta) {
		return full
	}
	return delta
}

// Subscribe registers a callback for each document that comes into force, in the order of its revisions, until cancel is called. The
// callback must return quickly and must not call Accept or Subscribe, which would deadlock.
func (s *Store) Subscribe(callback func(*Document)) (cancel func()) {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscribers[id] = callback
	return func() {
		s.acceptMu.Lock()
		defer s.acceptMu.Unlock()
		delete(s.subscribers, id)
	}
}
