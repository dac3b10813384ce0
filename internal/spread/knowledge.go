package spread

import "sync"

// peerRevisions tracks which revisions peers have, to avoid redundant pushes. It may lag behind a peer, or run ahead of it after a lost
// push; digest exchanges correct both.
type peerRevisions struct {
	mu    sync.Mutex
	peers map[string]*peerRecord
}

// peerRecord holds the revisions that one process of a peer has, by key.
type peerRecord struct {
	incarnation uint64
	revisions   map[string]uint64
}

func newPeerRevisions() *peerRevisions {
	return &peerRevisions{peers: make(map[string]*peerRecord)}
}

// revision returns the revision that a peer is known to have, or 0.
func (r *peerRevisions) revision(peer, key string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.peers[peer]; ok {
		return p.revisions[key]
	}
	return 0
}

// recordAtLeast records that a peer has at least the given revision.
func (r *peerRevisions) recordAtLeast(peer, key string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(peer)
	p.revisions[key] = max(p.revisions[key], revision)
}

// record records the revision that a peer reports, even if it is lower than the known one.
func (r *peerRevisions) record(peer, key string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer(peer).revisions[key] = revision
}

// setIncarnation discards the peer's revisions if they belong to an earlier process of it.
func (r *peerRevisions) setIncarnation(peer string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(peer)
	if p.incarnation != incarnation {
		p.incarnation = incarnation
		clear(p.revisions)
	}
}

// retain discards the records of peers for which listed returns false.
func (r *peerRevisions) retain(listed func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.peers {
		if !listed(id) {
			delete(r.peers, id)
		}
	}
}

// peer returns the record of a peer, creating it if needed. The caller must hold mu.
func (r *peerRevisions) peer(id string) *peerRecord {
	p, ok := r.peers[id]
	if !ok {
		p = &peerRecord{revisions: make(map[string]uint64)}
		r.peers[id] = p
	}
	return p
}
