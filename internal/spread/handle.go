package spread

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// HandleDigest handles a peer's digest. If the documents differ, the reply lists the versions of all of them, and the peer then repairs
// both sides.
func (e *Engine) HandleDigest(now time.Time, digest *wire.Digest) *wire.Digest {
	e.recordDigest(now, digest)
	count, hash := e.keys.summary(e.store)
	reply := e.digest(now, !sameSummary(digest, count, hash))
	e.counts.servedDigest.served(digest, reply)
	return reply
}

// HandlePush applies a peer's push. Documents whose delta does not apply are fetched from the peer in the background.
func (e *Engine) HandlePush(now time.Time, from string, push *wire.Push) {
	e.recordContact(now)
	e.counts.servedPush.served(push, nil)
	needed := e.applyPush(now, from, push, true)
	if len(needed) > 0 {
		e.fetch(from, needed)
	}
}

// HandlePull returns what is newer than the versions of a peer, up to a bounded size. The peer repeats the pull for the rest.
func (e *Engine) HandlePull(now time.Time, pull *wire.Pull) *wire.Push {
	e.recordContact(now)
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

// fetch pulls documents from the node that pushed them. Each key is fetched from only one node at a time.
func (e *Engine) fetch(from string, needed map[string]bool) {
	to, ok := e.topology.view().vm(from)
	if !ok {
		return
	}
	keys := e.claimFetches(needed)
	if len(keys) == 0 {
		return
	}
	started := e.spawn(func(ctx context.Context) {
		defer e.releaseFetches(keys)
		e.pull(ctx, to, pullRequest{keys: keys, timeout: pullTimeout})
	})
	if !started {
		e.releaseFetches(keys)
	}
}

// claimFetches returns those of the keys that are not being fetched yet, and marks them as being fetched.
func (e *Engine) claimFetches(needed map[string]bool) []string {
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

// releaseFetches marks keys as no longer being fetched.
func (e *Engine) releaseFetches(keys []string) {
	e.fetchMu.Lock()
	defer e.fetchMu.Unlock()
	for _, key := range keys {
		delete(e.fetching, key)
	}
}
