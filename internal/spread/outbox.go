package spread

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// pushTimeout is the timeout of one push.
	pushTimeout = 2 * time.Second
	// maxPushedDeltaBytes is the size of a delta above which only a notice is pushed. A node has about 17 neighbours that all push the
	// same update, so it fetches a larger delta only from the first of them.
	maxPushedDeltaBytes = 4 << 10
)

// outbox sends updates to neighbours, with at most one push in flight to each. Updates that arrive during a push are merged into the next
// one.
type outbox struct {
	engine *Engine

	mu     sync.Mutex
	queues map[string]*peerQueue
}

// peerQueue holds the pending updates for one neighbour while a task sends to it.
type peerQueue struct {
	// pending holds the updates by key.
	pending map[string]update
	// sendQuarantine is set if the quarantine table is to be sent.
	sendQuarantine bool
}

// update describes what to send to a neighbour about one document.
type update struct {
	// previous is the revision before the update. The delta starts there unless the neighbour is known to have a higher one.
	previous uint64
	// ignoreSizeLimit sends the delta whatever its size. A node without a VM list can't fetch it, since it does not know the addresses of
	// its peers.
	ignoreSizeLimit bool
}

func newOutbox(e *Engine) *outbox {
	return &outbox{engine: e, queues: make(map[string]*peerQueue)}
}

// announce queues a document that just came into force for all neighbours. Those known to have it by the time of the push are skipped.
func (o *outbox) announce(key string, previous uint64) {
	for _, to := range o.engine.topology.view().neighbours {
		o.enqueue(to, func(q *peerQueue) { q.merge(key, update{previous: previous}) })
	}
}

// offerNewer queues each document of which the neighbour is known to have a lower revision than the one in force.
func (o *outbox) offerNewer(to shards.VM) {
	behind := make(map[string]uint64)
	for _, key := range o.engine.store.Keys() {
		known := o.engine.peerRevisions.revision(to.ID(), key)
		if known < o.engine.store.Get(key).Revision() {
			behind[key] = known
		}
	}
	if len(behind) == 0 {
		return
	}
	o.enqueue(to, func(q *peerQueue) {
		for key, revision := range behind {
			q.merge(key, update{previous: revision, ignoreSizeLimit: true})
		}
	})
}

// announceQuarantine queues the quarantine table for all neighbours except the one with the given id, if any.
func (o *outbox) announceQuarantine(except string) {
	for _, to := range o.engine.topology.view().neighbours {
		if to.ID() != except {
			o.announceQuarantineTo(to)
		}
	}
}

// announceQuarantineTo queues the quarantine table for one neighbour.
func (o *outbox) announceQuarantineTo(to shards.VM) {
	o.enqueue(to, func(q *peerQueue) { q.sendQuarantine = true })
}

// merge adds an update, combining it with a pending one for the same document.
func (q *peerQueue) merge(key string, u update) {
	if earlier, ok := q.pending[key]; ok {
		u.previous = min(u.previous, earlier.previous)
		u.ignoreSizeLimit = u.ignoreSizeLimit || earlier.ignoreSizeLimit
	}
	q.pending[key] = u
}

// enqueue changes the queue of a neighbour and starts a task that sends it, unless one is running.
func (o *outbox) enqueue(to shards.VM, change func(*peerQueue)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q, ok := o.queues[to.ID()]; ok {
		change(q)
		return
	}
	q := &peerQueue{pending: make(map[string]update)}
	change(q)
	if o.engine.spawn(func(ctx context.Context) { o.drain(ctx, to) }) {
		o.queues[to.ID()] = q
	}
}

// drain sends the queued updates for a neighbour until its queue is empty or a push fails. Digest exchanges repair what was not sent.
func (o *outbox) drain(ctx context.Context, to shards.VM) {
	for {
		q := o.dequeue(to.ID())
		if q == nil {
			return
		}
		for _, push := range o.pushes(to.ID(), q) {
			if !o.send(ctx, to, push) {
				o.discard(to.ID())
				return
			}
		}
	}
}

// dequeue takes the pending updates for a neighbour. If there are none it removes the queue and returns nil.
func (o *outbox) dequeue(id string) *peerQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[id]
	if len(q.pending) == 0 && !q.sendQuarantine {
		delete(o.queues, id)
		return nil
	}
	o.queues[id] = &peerQueue{pending: make(map[string]update)}
	return q
}

// discard removes the queue of a neighbour.
func (o *outbox) discard(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queues, id)
}

// pushes returns messages of bounded size with the updates that the neighbour is not known to have.
func (o *outbox) pushes(id string, q *peerQueue) []*wire.Push {
	var pushes []*wire.Push
	var deltas []*wire.Delta
	size := 0
	for _, key := range slices.Sorted(maps.Keys(q.pending)) {
		delta := o.delta(id, key, q.pending[key])
		if delta == nil {
			continue
		}
		deltas = append(deltas, delta)
		size += proto.Size(delta)
		if size >= MaxPushBytes {
			pushes = append(pushes, wire.Push_builder{Deltas: deltas}.Build())
			deltas, size = nil, 0
		}
	}
	var marks []*wire.QuarantineMark
	if q.sendQuarantine {
		marks = o.engine.quarantine.Export(o.engine.clock())
	}
	if len(deltas) > 0 || len(marks) > 0 {
		pushes = append(pushes, wire.Push_builder{Deltas: deltas, Marks: marks}.Build())
	}
	return pushes
}

// delta returns the delta or the notice to send for one document, or nil if the neighbour is known to be up to date.
func (o *outbox) delta(id, key string, u update) *wire.Delta {
	base := max(u.previous, o.engine.peerRevisions.revision(id, key))
	delta := o.engine.store.Delta(key, base)
	if delta == nil || u.ignoreSizeLimit || proto.Size(delta) <= maxPushedDeltaBytes {
		return delta
	}
	return notice(delta)
}

// notice returns a delta that applies to no revision. A receiver that lacks the target revision fetches it, and any other ignores the
// notice.
func notice(delta *wire.Delta) *wire.Delta {
	return wire.Delta_builder{Key: delta.GetKey(), From: delta.GetTo(), To: delta.GetTo(), Hash: delta.GetHash()}.Build()
}

// send makes one push and, if it succeeds, records the revisions that the neighbour now has.
func (o *outbox) send(ctx context.Context, to shards.VM, push *wire.Push) bool {
	e := o.engine
	e.counts.push.sent(push)
	callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	err := e.peers.Push(callCtx, to, push)
	e.counts.push.answered(nil, err)
	if err != nil {
		e.recordFailure(ctx, to, err)
		return false
	}
	for _, delta := range push.GetDeltas() {
		e.peerRevisions.recordAtLeast(to.ID(), delta.GetKey(), delta.GetTo())
	}
	return true
}
