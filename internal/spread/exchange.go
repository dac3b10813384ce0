package spread

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// MaxPushBytes is the size at which no further delta is added to a Push. Including the last delta, a Push stays below three times this
	// size.
	MaxPushBytes = 1 << 20

	// digestTimeout is the timeout of one digest exchange. It is short, so that an unresponsive neighbour hardly delays the next exchange.
	digestTimeout = time.Second
	// pullTimeout is the timeout of one pull.
	pullTimeout = 3 * time.Second
	// maxPullRounds limits the pulls of one repair, each of which returns at least one document.
	maxPullRounds = 64
	// maxSuspects limits the suspected nodes in one digest, both sent and received.
	maxSuspects = 16
)

// exchangeLoop exchanges a digest with the next neighbour in each interval, and probes the nodes that Membership reports as due.
func (e *Engine) exchangeLoop(ctx context.Context) {
	next := e.clock().Add(e.random.between(1, e.settings.DigestInterval))
	for delay.Wait(ctx, next.Sub(e.clock()), e.stopSignal) {
		now := e.clock()
		if now.Before(next) {
			e.exchangeConcurrently(e.topology.view().neighbours) // Woken by SetStopping before the interval ended.
			continue
		}
		next = now.Add(e.settings.DigestInterval)
		e.exchangeConcurrently(e.membership.DueProbes(now))
		if to, ok := e.topology.nextNeighbour(); ok {
			e.exchange(ctx, to)
		}
	}
}

// exchangeConcurrently starts digest exchanges with all given nodes.
func (e *Engine) exchangeConcurrently(nodes []shards.VM) {
	for _, to := range nodes {
		e.spawn(func(ctx context.Context) { e.exchange(ctx, to) })
	}
}

// exchange sends a digest to a node, repairs the differences that its reply shows, and reports whether it answered.
func (e *Engine) exchange(ctx context.Context, to shards.VM) bool {
	e.membership.RecordRequest(e.clock(), to.ID())
	digest := e.digest(e.clock(), false)
	e.counts.digest.sent(digest)
	callCtx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	reply, err := e.peers.Digest(callCtx, to, digest)
	e.counts.digest.answered(reply, err)
	if err != nil {
		e.recordFailure(ctx, to, err)
		return false
	}
	e.recordDigest(e.clock(), reply)
	e.repair(ctx, to, reply)
	return true
}

// recordFailure records an explicit failure of a call, unless ctx is done. It ignores timeouts, since Membership itself tracks how long a
// node is silent.
func (e *Engine) recordFailure(ctx context.Context, to shards.VM, err error) {
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	e.membership.RecordFailure(e.clock(), to.ID())
}

// digest returns the digest of this node. It summarises the referenced documents in one version with an empty key, whose revision is their
// number and whose hash covers their keys, revisions and hashes. If all is set, it also lists the version of each document. With 65
// documents, the summary alone takes about 60 bytes instead of 2.4 KB a second.
func (e *Engine) digest(now time.Time, all bool) *wire.Digest {
	count, hash := e.keys.summary(e.store)
	versions := []*wire.Version{wire.Version_builder{Revision: count, Hash: hash}.Build()}
	if all {
		versions = append(versions, e.versions(e.store.Keys())...)
	}
	return wire.Digest_builder{
		Id:             e.self.ID(),
		Incarnation:    e.self.Incarnation(),
		Versions:       versions,
		Stopping:       e.stopping.Load(),
		Suspects:       wireSuspects(e.membership.Suspects(now)),
		QuarantineHash: e.quarantine.Hash(),
		Ready:          e.Ready(),
	}.Build()
}

func wireSuspects(suspects []member.Suspect) []*wire.Suspect {
	var list []*wire.Suspect
	for _, s := range suspects[:min(len(suspects), maxSuspects)] {
		list = append(list, wire.Suspect_builder{Id: s.ID(), Incarnation: s.Incarnation()}.Build())
	}
	return list
}

// versions returns the versions of the given documents, with revision 0 for those not in force.
func (e *Engine) versions(keys []string) []*wire.Version {
	versions := make([]*wire.Version, 0, len(keys))
	for _, key := range keys {
		version := wire.Version_builder{Key: key}.Build()
		if doc := e.store.Get(key); doc != nil {
			version.SetRevision(doc.Revision())
			version.SetHash(doc.Hash())
		}
		versions = append(versions, version)
	}
	return versions
}

// recordDigest records the state that a peer reports about itself and its suspicions about other nodes.
func (e *Engine) recordDigest(now time.Time, digest *wire.Digest) {
	e.recordContact(now)
	e.peerRevisions.setIncarnation(digest.GetId(), digest.GetIncarnation())
	if digest.GetStopping() {
		e.membership.RecordStopping(now, digest.GetId(), digest.GetIncarnation())
	} else {
		e.membership.RecordContact(now, digest.GetId(), digest.GetIncarnation())
	}
	suspects := digest.GetSuspects()
	for _, suspect := range suspects[:min(len(suspects), maxSuspects)] {
		e.membership.RecordSuspicion(now, suspect.GetId(), suspect.GetIncarnation())
	}
}

// repair pulls what is newer on the peer and pushes what is newer on this node, for documents and the quarantine table.
func (e *Engine) repair(ctx context.Context, to shards.VM, theirs *wire.Digest) {
	if theirs.GetQuarantineHash() != e.quarantine.Hash() {
		e.pull(ctx, to, pullRequest{withQuarantine: true, timeout: pullTimeout})
		if theirs.GetQuarantineHash() != e.quarantine.Hash() {
			e.outbox.announceQuarantineTo(to)
		}
	}
	count, hash := e.keys.summary(e.store)
	if sameSummary(theirs, count, hash) {
		return
	}
	if ahead := e.compareVersions(to.ID(), theirs.GetVersions()); len(ahead) > 0 {
		e.pull(ctx, to, pullRequest{keys: ahead, timeout: pullTimeout})
	}
	e.outbox.offerNewer(to)
}

// compareVersions records the revisions that a peer has and returns the keys for which it has a revision that this node wants.
func (e *Engine) compareVersions(peer string, versions []*wire.Version) []string {
	reported := make(map[string]uint64, len(versions))
	var ahead []string
	for _, version := range versions {
		key := version.GetKey()
		reported[key] = version.GetRevision()
		if key != "" && e.keys.wants(key) && e.store.Wants(key, version.GetRevision()) {
			ahead = append(ahead, key)
		}
	}
	for _, key := range e.store.Keys() {
		e.peerRevisions.record(peer, key, reported[key])
	}
	return ahead
}

// sameSummary reports whether the summary in a digest equals the given one.
func sameSummary(digest *wire.Digest, count, hash uint64) bool {
	for _, version := range digest.GetVersions() {
		if version.GetKey() == "" {
			return version.GetRevision() == count && version.GetHash() == hash
		}
	}
	return false
}

// pullRequest describes what to pull from a peer.
type pullRequest struct {
	keys           []string
	withQuarantine bool
	timeout        time.Duration
	// suppressAnnounce prevents the documents from being announced to neighbours.
	suppressAnnounce bool
}

// pull fetches documents until the peer has nothing newer or maxPullRounds is reached. It reports whether the peer answered each pull.
func (e *Engine) pull(ctx context.Context, to shards.VM, request pullRequest) bool {
	versions := e.versions(request.keys)
	for range maxPullRounds {
		reply, err := e.pullOnce(ctx, to, wire.Pull_builder{Versions: versions, Quarantine: request.withQuarantine}.Build(), request.timeout)
		if err != nil {
			e.recordFailure(ctx, to, err)
			return false
		}
		needed := e.applyPush(e.clock(), to.ID(), reply, !request.suppressAnnounce)
		if len(needed) == 0 && proto.Size(reply) < MaxPushBytes {
			return true
		}
		versions = e.versions(request.keys)
		for _, version := range versions {
			if needed[version.GetKey()] {
				version.SetRevision(0)
			}
		}
		request.withQuarantine = false
	}
	return true
}

func (e *Engine) pullOnce(ctx context.Context, to shards.VM, pull *wire.Pull, timeout time.Duration) (*wire.Push, error) {
	e.counts.pull.sent(pull)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := e.peers.Pull(ctx, to, pull)
	e.counts.pull.answered(reply, err)
	if err == nil {
		e.recordContact(e.clock())
	}
	return reply, err
}

// applyPush offers a peer's deltas to the store and merges its quarantine marks. It returns the keys whose full document is needed.
func (e *Engine) applyPush(now time.Time, from string, push *wire.Push, announce bool) map[string]bool {
	needed := make(map[string]bool)
	for _, delta := range push.GetDeltas() {
		if e.applyDelta(now, from, delta, announce) {
			needed[delta.GetKey()] = true
		}
	}
	if len(push.GetMarks()) > 0 && e.quarantine.Merge(now, push.GetMarks()) {
		e.outbox.announceQuarantine(from)
	}
	return needed
}

// applyDelta offers a peer's delta to the store if this node wants the document. It reports whether the full document is needed.
func (e *Engine) applyDelta(now time.Time, from string, delta *wire.Delta, announce bool) bool {
	key := delta.GetKey()
	if !e.keys.wants(key) {
		return false
	}
	if _, listed := e.topology.view().vm(from); listed {
		e.peerRevisions.recordAtLeast(from, key, delta.GetTo())
	}
	if !e.store.Wants(key, delta.GetTo()) {
		return false
	}
	doc, err := Apply(e.store.Get(key), delta)
	var needed *FullDocumentNeededError
	if errors.As(err, &needed) {
		return true
	}
	if err == nil {
		e.handleStoreResult(key, doc.Revision(), e.store.Accept(now, doc), announce)
	}
	return false
}

// handleStoreResult logs the result of offering a document to the store, and announces an accepted document to the neighbours if announce
// is set.
func (e *Engine) handleStoreResult(key string, revision uint64, result Result, announce bool) {
	switch r := result.(type) {
	case Accepted:
		e.log.Log(wire.Event_EVENT_DOCUMENT_IN_FORCE, zap.String("key", key), zap.Uint64("revision", revision))
		if announce {
			e.outbox.announce(key, r.Previous())
		}
	case Invalid:
		if !r.Known() {
			e.log.Log(wire.Event_EVENT_DOCUMENT_REJECTED, zap.String("key", key), zap.Uint64("revision", revision),
				zap.Error(r.Faults()))
		}
	}
}
