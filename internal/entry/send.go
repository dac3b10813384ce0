package entry

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// cancelTimeout limits the delivery of a cancellation, which happens in the background.
const cancelTimeout = 500 * time.Millisecond

// prepare appends an attempt for a part to the batch, or settles the part if it has no usable replica. A hedge never settles it.
func (f *fanout) prepare(now time.Time, batch []*attempt, p *part, hedge bool) []*attempt {
	searcher, owner, ok := f.replica(now, p)
	if !ok {
		if !hedge {
			f.entry.counters.Add(wire.Reason_REASON_NO_REPLICA)
			f.settle(p, f.lastReason(p))
		}
		return batch
	}
	a := &attempt{id: f.entry.nextID(), part: p, searcher: searcher, owner: owner, sentAt: now}
	f.attempts[a.id] = a
	f.entry.policies.Picker.Sent(searcher)
	p.tried = append(p.tried, searcher)
	p.attempts++
	p.inFlight++
	if p.firstSent.IsZero() {
		p.firstSent = now
	}
	p.hedgeAt = time.Time{}
	if f.mayHedge() {
		p.hedgeAt = now.Add(f.hedgeDelay)
	}
	return append(batch, a)
}

// lastReason returns why a part without a usable replica is missing: the reason of its last attempt, if there was one.
func (f *fanout) lastReason(p *part) wire.Reason {
	if p.reason != wire.Reason_REASON_UNSPECIFIED {
		return p.reason
	}
	return wire.Reason_REASON_NO_REPLICA
}

// mayHedge reports whether a part may have attempts in flight at two searchers.
func (f *fanout) mayHedge() bool { return !f.query.GetNonIdempotent() && !f.exclusive }

// hedgeDue reports whether a part with one attempt in flight is to be hedged now.
func (f *fanout) hedgeDue(now time.Time, p *part) bool {
	return f.mayHedge() && p.inFlight == 1 && !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt)
}

// prepareHedge appends a second attempt for a straggling part if the hedge budget allows it.
func (f *fanout) prepareHedge(now time.Time, batch []*attempt, p *part) []*attempt {
	if _, _, ok := f.replica(now, p); !ok {
		// Without another replica, a hedge would only use up the budget.
		p.hedgeAt = time.Time{}
		return batch
	}
	if !f.entry.policies.Hedger.Allow(max(f.pressure, f.load)) {
		f.entry.counters.Add(wire.Reason_REASON_HEDGE_BUDGET)
		p.hedgeAt = now.Add(f.hedgeDelay)
		return batch
	}
	batch = f.prepare(now, batch, p, true)
	// A part is hedged again only after it has lost an attempt.
	p.hedgeAt = time.Time{}
	f.lastHedge = now
	f.entry.counters.Add(wire.Reason_REASON_HEDGE)
	return batch
}

// send groups attempts by owner and opens one stream to each.
func (f *fanout) send(ctx context.Context, now time.Time, batch []*attempt) {
	if len(batch) == 0 {
		return
	}
	firsts := 0
	byOwner := make(map[string][]*attempt)
	for _, a := range batch {
		byOwner[a.owner.ID()] = append(byOwner[a.owner.ID()], a)
		if a.part.attempts == 1 {
			firsts++
		}
	}
	f.anySent = true
	f.entry.attempts.Inc(int64(len(batch)))
	f.entry.firstAttempts.Inc(int64(firsts))
	f.entry.policies.Hedger.Sent(firsts)
	f.entry.policies.Retrier.Sent(firsts)
	for _, group := range byOwner {
		f.sendBatch(ctx, now, group)
	}
}

// sendBatch sends one batch to an owner in the background and passes its frames to the query's goroutine until ctx is done.
func (f *fanout) sendBatch(ctx context.Context, now time.Time, group []*attempt) {
	owner := group[0].owner
	message, ids := f.newBatch(now, group)
	post := func(ev event) {
		select {
		case f.events <- ev:
		case <-ctx.Done():
		}
	}
	f.entry.tasks.Go(func() {
		err := f.entry.owners.Batch(ctx, owner, message, func(reply *wire.BatchReply) { post(frameReceived{reply: reply}) })
		post(streamEnded{owner: owner, ids: ids, err: err})
	})
}

func (f *fanout) newBatch(now time.Time, group []*attempt) (*wire.Batch, []uint64) {
	items := make([]*wire.SubRequest, len(group))
	ids := make([]uint64, len(group))
	for i, a := range group {
		ids[i] = a.id
		items[i] = wire.SubRequest_builder{
			AttemptId: a.id,
			Shard:     uint32(a.part.shard),
			Searcher:  a.searcher,
		}.Build()
	}
	return wire.Batch_builder{
		QueryId:       f.id,
		Plan:          f.plan.Name(),
		Rank:          f.plan.Rank().Wire(),
		Weight:        uint32(f.plan.Weight()),
		Collection:    f.query.GetCollection(),
		Snapshot:      f.snapshot.Version(),
		Query:         f.query.GetQuery(),
		NonIdempotent: f.query.GetNonIdempotent(),
		Fingerprint:   f.fingerprint,
		Exclusive:     f.exclusive,
		Remaining:     durationpb.New(f.deadline.Sub(now)),
		Limit:         f.limit(),
		Items:         items,
	}.Build(), ids
}

func (f *fanout) limit() uint32 {
	if limit := f.query.GetLimit(); limit > 0 {
		return limit
	}
	return defaultHitLimit
}

// cancelAttempts removes the matching attempts in flight and sends cancellations for them to their owners in the background.
func (f *fanout) cancelAttempts(now time.Time, match func(*attempt) bool) {
	byOwner := make(map[string][]uint64)
	owners := make(map[string]shards.VM)
	for id, a := range f.attempts {
		if !match(a) {
			continue
		}
		delete(f.attempts, id)
		f.entry.policies.Picker.Abandoned(now, a.searcher, now.Sub(a.sentAt))
		byOwner[a.owner.ID()] = append(byOwner[a.owner.ID()], id)
		owners[a.owner.ID()] = a.owner
	}
	for id, ids := range byOwner {
		owner := owners[id]
		slices.Sort(ids)
		message := wire.Cancel_builder{QueryId: f.id, AttemptIds: ids}.Build()
		f.entry.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			// If the cancellation is lost, a searcher only spends time on a result that is not used.
			_ = f.entry.owners.Cancel(ctx, owner, message)
		})
	}
}
