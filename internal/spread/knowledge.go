package spread

import "sync"

// knowledge remembers which revisions peers have, to spare pushes. It may be behind or, after a lost push, ahead; digests repair.
type knowledge struct {
	mu    sync.Mutex
	peers map[string]*peerKnowledge
}

type peerKnowledge struct {
	incarnation uint64
	revisions   map[string]uint64
}

func newKnowledge() *knowledge {
	return &knowledge{peers: make(map[string]*peerKnowledge)}
}

func (k *knowledge) revision(peer, key string) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.peers[peer]; ok {
		return p.revisions[key]
	}
	return 0
}

// learn records that a peer has at least a revision.
func (k *knowledge) learn(peer, key string, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peer(peer)
	p.revisions[key] = max(p.revisions[key], revision)
}

// set records the revision that a peer states.
func (k *knowledge) set(peer, key string, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peer(peer).revisions[key] = revision
}

// incarnation forgets what a former process of the peer had.
func (k *knowledge) incarnation(peer string, incarnation uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peer(peer)
	if p.incarnation != incarnation {
		p.incarnation = incarnation
		clear(p.revisions)
	}
}

// retain forgets peers that are not listed.
func (k *knowledge) retain(listed func(id string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.peers {
		if !listed(id) {
			delete(k.peers, id)
		}
	}
}

func (k *knowledge) peer(id string) *peerKnowledge {
	p, ok := k.peers[id]
	if !ok {
		p = &peerKnowledge{revisions: make(map[string]uint64)}
		k.peers[id] = p
	}
	return p
}
