package spread

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// HandleDigest answers a peer's digest. When the documents differ, the answer names all of them, and the peer repairs both sides.
func (e *Engine) HandleDigest(now time.Time, digest *wire.Digest) *wire.Digest {
	e.heard(now, digest)
	count, hash := e.keys.summary(e.store)
	reply := e.digest(now, !sameSummary(digest, count, hash))
	e.counts.servedDigest.served(digest, reply)
	return reply
}

// HandlePush takes a peer's news. What does not apply is fetched from the peer in the background.
func (e *Engine) HandlePush(now time.Time, from string, push *wire.Push) {
	e.contact(now)
	e.counts.servedPush.served(push, nil)
	needed := e.absorb(now, from, push, true)
	if len(needed) > 0 {
		e.fetch(from, needed)
	}
}

// HandlePull returns what is newer than the versions that a peer has, up to a bounded size; the peer asks again for the rest.
func (e *Engine) HandlePull(now time.Time, pull *wire.Pull) *wire.Push {
	e.contact(now)
	reply := &wire.Push{}
	var deltas []*wire.Delta
	size := 0
	for _, version := range pull.GetVersions() {
		delta := e.store.Delta(version.GetKey(), version.GetRevision())
		if delta == nil {
			continue
		}
		deltas = append(deltas, delta)
		size += proto.Size(delta)
		if size >= MaxPushBytes {
			break
		}
	}
	reply.SetDeltas(deltas)
	if pull.GetQuarantine() {
		reply.SetMarks(e.quarantine.Export(now))
	}
	e.counts.servedPull.served(pull, reply)
	return reply
}

// fetch pulls documents from the node that pushed them. A key is fetched from one node at a time.
func (e *Engine) fetch(from string, needed map[string]bool) {
	to, ok := e.fleet.view().vm(from)
	if !ok {
		return
	}
	keys := e.claim(needed)
	if len(keys) == 0 {
		return
	}
	started := e.spawn(func(ctx context.Context) {
		defer e.release(keys)
		e.pull(ctx, to, pullRequest{keys: keys, timeout: pullTimeout})
	})
	if !started {
		e.release(keys)
	}
}

// claim returns those of the keys that are not being fetched, and marks them as such.
func (e *Engine) claim(needed map[string]bool) []string {
	e.fetchMu.Lock()
	defer e.fetchMu.Unlock()
	var keys []string
	for key := range needed {
		if !e.fetching[key] {
			e.fetching[key] = true
			keys = append(keys, key)
		}
	}
	return keys
}

func (e *Engine) release(keys []string) {
	e.fetchMu.Lock()
	defer e.fetchMu.Unlock()
	for _, key := range keys {
		delete(e.fetching, key)
	}
}
