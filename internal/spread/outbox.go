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
	// pushTimeout bounds one push.
	pushTimeout = 2 * time.Second
	// maxPushedDeltaBytes is the size above which only a notice is pushed. A node has some 17 neighbours that all push
	// the same news, so it fetches a larger delta from the first of them only.
	maxPushedDeltaBytes = 4 << 10
)

// outbox sends news to neighbours: at most one push at a time to each, and what comes up meanwhile in the next one.
type outbox struct {
	engine *Engine

	mu    sync.Mutex
	lanes map[string]*lane
}

// lane holds the news for one neighbour while a task sends to it.
type lane struct {
	pending map[string]news
	marks   bool
}

// news is what to tell a neighbour about one document.
type news struct {
	// previous is the revision before the news.
	previous uint64
	// whole asks for the delta whatever its size. A node without a VM list can't fetch, since it does not know the
	// addresses of its peers.
	whole bool
}

func newOutbox(e *Engine) *outbox {
	return &outbox{engine: e, lanes: make(map[string]*lane)}
}

// announce sends a document that just came into force to all neighbours that are not known to have it.
func (o *outbox) announce(key string, previous uint64) {
	for _, to := range o.engine.fleet.view().neighbours {
		o.add(to, func(l *lane) { l.put(key, news{previous: previous}) })
	}
}

// offer sends each document of which a neighbour is known to have a lower revision.
func (o *outbox) offer(to shards.VM) {
	behind := make(map[string]uint64)
	for _, key := range o.engine.store.Keys() {
		theirs := o.engine.knowledge.revision(to.ID(), key)
		if theirs < o.engine.store.Get(key).Revision() {
			behind[key] = theirs
		}
	}
	if len(behind) == 0 {
		return
	}
	o.add(to, func(l *lane) {
		for key, revision := range behind {
			l.put(key, news{previous: revision, whole: true})
		}
	})
}

// announceMarks sends the quarantine table to all neighbours but one.
func (o *outbox) announceMarks(except string) {
	for _, to := range o.engine.fleet.view().neighbours {
		if to.ID() != except {
			o.announceMarksTo(to)
		}
	}
}

func (o *outbox) announceMarksTo(to shards.VM) {
	o.add(to, func(l *lane) { l.marks = true })
}

func (l *lane) put(key string, n news) {
	if earlier, ok := l.pending[key]; ok {
		n.previous = min(n.previous, earlier.previous)
		n.whole = n.whole || earlier.whole
	}
	l.pending[key] = n
}

// add changes the news for a neighbour and starts a task that sends them unless one is at work.
func (o *outbox) add(to shards.VM, change func(*lane)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l, ok := o.lanes[to.ID()]; ok {
		change(l)
		return
	}
	l := &lane{pending: make(map[string]news)}
	change(l)
	if o.engine.spawn(func(ctx context.Context) { o.drain(ctx, to) }) {
		o.lanes[to.ID()] = l
	}
}

// drain sends the news for a neighbour until there are none, or until a push fails; digests repair what was not sent.
func (o *outbox) drain(ctx context.Context, to shards.VM) {
	for {
		l := o.take(to.ID())
		if l == nil {
			return
		}
		for _, push := range o.pushes(to.ID(), l) {
			if !o.send(ctx, to, push) {
				o.drop(to.ID())
				return
			}
		}
	}
}

// take returns the news for a neighbour, and ends its lane when there are none.
func (o *outbox) take(id string) *lane {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lanes[id]
	if len(l.pending) == 0 && !l.marks {
		delete(o.lanes, id)
		return nil
	}
	o.lanes[id] = &lane{pending: make(map[string]news)}
	return l
}

func (o *outbox) drop(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.lanes, id)
}

// pushes returns messages of bounded size with the news that a neighbour is not known to have.
func (o *outbox) pushes(id string, l *lane) []*wire.Push {
	var pushes []*wire.Push
	var deltas []*wire.Delta
	size := 0
	for _, key := range slices.Sorted(maps.Keys(l.pending)) {
		delta := o.delta(id, key, l.pending[key])
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
	if l.marks {
		marks = o.engine.quarantine.Export(o.engine.clock())
	}
	if len(deltas) > 0 || len(marks) > 0 {
		pushes = append(pushes, wire.Push_builder{Deltas: deltas, Marks: marks}.Build())
	}
	return pushes
}

// delta returns the news of one document for a neighbour, or nil when it is known to have them.
func (o *outbox) delta(id, key string, n news) *wire.Delta {
	base := max(n.previous, o.engine.knowledge.revision(id, key))
	delta := o.engine.store.Delta(key, base)
	if delta == nil || n.whole || proto.Size(delta) <= maxPushedDeltaBytes {
		return delta
	}
	return notice(delta)
}

// notice returns a delta that applies to no revision, so that a receiver without the target fetches it and any other ignores it.
func notice(delta *wire.Delta) *wire.Delta {
	return wire.Delta_builder{Key: delta.GetKey(), From: delta.GetTo(), To: delta.GetTo(), Hash: delta.GetHash()}.Build()
}

func (o *outbox) send(ctx context.Context, to shards.VM, push *wire.Push) bool {
	e := o.engine
	e.counts.push.sent(push)
	callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	err := e.peers.Push(callCtx, to, push)
	e.counts.push.answered(nil, err)
	if err != nil {
		e.failed(ctx, to, err)
		return false
	}
	for _, delta := range push.GetDeltas() {
		e.knowledge.learn(to.ID(), delta.GetKey(), delta.GetTo())
	}
	return true
}
