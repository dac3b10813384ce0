package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// earlyAnswerShare is the fraction of shards that must have replied before a plan that prefers the tail is answered without the rest.
	earlyAnswerShare = 0.95
	// maxSnapshotChanges limits how often one query is restarted on another snapshot.
	maxSnapshotChanges = 1
	// overloadedShare is the fraction of a query's shards that owners must refuse before the refusals reduce the plan's
	// admission. If the collection is short of capacity, the queues of all shards drop the same queries; a single lost or
	// slow searcher must not throttle its whole collection.
	overloadedShare = 0.25
	// eventBuffer is the capacity of the channel that holds frames while the query's goroutine is busy.
	eventBuffer = 64
)

// fanout is the state of one query in progress. Only the goroutine in run accesses it; streams pass their frames to it through events.
type fanout struct {
	entry       *Entry
	query       *wire.Query
	plan        plans.Plan
	view        *view.Snapshot
	index       *shards.Index
	id          uint64
	fingerprint uint64
	started     time.Time
	deadline    time.Time
	hedgeDelay  time.Duration
	events      chan event
	members     *member.Members
	// excludedOwners are the ids of owners that this query found to be unreachable, lost or stopping.
	excludedOwners []string

	// snapshot is the index snapshot that every reply must be from.
	snapshot        *shards.Snapshot
	snapshotChanges int
	parts           []part
	// unsettled is the number of parts without a final result.
	unsettled int
	attempts  map[uint64]*attempt
	// canary is the part that is sent before all others, or nil if all parts may be sent.
	canary *part
	// exclusive asks owners to run each attempt with no other at the searcher, since the query's fingerprint is suspect.
	exclusive bool
	// trial is set if the query is quarantined and runs as a trial.
	trial bool
	// anySent is set once an attempt was sent.
	anySent   bool
	lastHedge time.Time
	// pressure is the maximum pressure reported by any frame; meanPressure is the mean over the frames.
	pressure float64
	// load is the maximum load reported by any frame. It is needed beside pressure because a plan of an urgent rank sees no pressure while
	// other plans saturate its searchers.
	load         float64
	meanPressure float64
	frames       int
	// refused is the number of attempts that owners refused for lack of capacity.
	refused int
	// mayHaveRun is set once a searcher may have run a part whose result is not used; the run state of the answer is then never "not run".
	mayHaveRun bool
	// lostAt is the time of the latest abrupt loss of a searcher during an attempt.
	lostAt time.Time
}

// part is the portion of a query that concerns one shard.
type part struct {
	shard int
	// sendAt is when the next attempt is due. It is ignored while attempts are in flight.
	sendAt time.Time
	// settled is set once the part has a final result.
	settled bool
	// reason is why the part has no result, and unspecified if the shard replied.
	reason wire.Reason
	hits   []*wire.Hit
	// tried lists the ids of the searchers that must not get another attempt.
	tried     []string
	attempts  int
	inFlight  int
	firstSent time.Time
	hedgeAt   time.Time
}

// attempt is one sub-request sent to an owner.
type attempt struct {
	id       uint64
	part     *part
	searcher string
	owner    shards.VM
	sentAt   time.Time
}

// event is a report of a stream to the query's goroutine: frameReceived or streamEnded.
type event interface{ event() }

// frameReceived carries one frame of replies from an owner.
type frameReceived struct{ reply *wire.BatchReply }

// streamEnded reports that a stream has ended; attempts without a reply by then are lost.
type streamEnded struct {
	owner shards.VM
	ids   []uint64
	err   error
}

func (frameReceived) event() {}
func (streamEnded) event()   {}

func newFanout(e *Entry, now time.Time, query *wire.Query, plan plans.Plan, v *view.Snapshot, index *shards.Index, fingerprint uint64) *fanout {
	return &fanout{
		entry:       e,
		query:       query,
		plan:        plan,
		view:        v,
		index:       index,
		id:          e.nextID(),
		fingerprint: fingerprint,
		started:     now,
		deadline:    now.Add(e.deadline(query)),
		hedgeDelay:  e.policies.Hedger.Delay(query.GetCollection()),
		events:      make(chan event, eventBuffer),
		members:     e.hooks.Members(now),
		attempts:    make(map[uint64]*attempt),
	}
}

// run sends the query to its shards and returns the answer no later than the deadline.
func (f *fanout) run(ctx context.Context) *wire.Answer {
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	now := f.entry.hooks.Clock()
	f.chooseSnapshot(now)
	f.createParts(now)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for f.unsettled > 0 {
		f.step(ctx, now)
		if f.unsettled == 0 {
			break
		}
		timer.Reset(max(0, f.nextWake(now).Sub(now)))
		select {
		case ev := <-f.events:
			now = f.entry.hooks.Clock()
			f.handleEvent(now, ev)
			f.drain(now)
		case <-timer.C:
			now = f.entry.hooks.Clock()
		case <-ctx.Done():
			now = f.entry.hooks.Clock()
			f.settleAll(wire.Reason_REASON_DEADLINE)
		}
	}
	f.finish(now)
	f.delayAnswer(ctx, now)
	return f.answer()
}

// delayAnswer delays an incomplete answer after an abrupt loss until the other entries have learned of the loss. Otherwise
// a caller that immediately resends a crashing request could reach an entry that has not learned of it yet.
func (f *fanout) delayAnswer(ctx context.Context, now time.Time) {
	if f.lostAt.IsZero() || f.reflected() == len(f.parts) {
		return
	}
	timer := time.NewTimer(quar.PartialAnswerDelay - now.Sub(f.lostAt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// drain handles all queued events, so that one step covers many frames.
func (f *fanout) drain(now time.Time) {
	for {
		select {
		case ev := <-f.events:
			f.handleEvent(now, ev)
		default:
			return
		}
	}
}

// createParts creates the parts for the selected snapshot and picks the canary.
func (f *fanout) createParts(now time.Time) {
	targets := f.targetShards()
	f.parts = make([]part, len(targets))
	for i, shard := range targets {
		f.parts[i] = part{shard: shard, sendAt: now}
	}
	f.unsettled = len(f.parts)
	// A canary of a previous snapshot is not among the new parts.
	f.canary = nil
	quarantine := f.entry.policies.Quarantine
	_, suspect := quarantine.Check(now, f.fingerprint).(quar.Suspect)
	f.exclusive = suspect || f.trial
	if f.exclusive || quarantine.NeedsCanary(now, f.fingerprint) {
		f.canary = &f.parts[int(f.id%uint64(len(f.parts)))]
	}
}

// targetShards returns the shards that the query goes to: all of them, or for a non-idempotent query the one that its key hashes to.
func (f *fanout) targetShards() []int {
	count := f.snapshot.Shards()
	if f.query.GetNonIdempotent() {
		return []int{int(xxhash.Sum64String(f.query.GetKey()) % uint64(count))}
	}
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

// step sends the attempts and hedges that are due, and settles all parts at the deadline or for an early answer.
func (f *fanout) step(ctx context.Context, now time.Time) {
	if !now.Before(f.deadline) {
		f.settleAll(wire.Reason_REASON_DEADLINE)
		return
	}
	if f.answerEarly(now) {
		f.settleAll(wire.Reason_REASON_ANSWERED_EARLY)
		return
	}
	f.releaseCanary(now)
	var batch []*attempt
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled || (f.canary != nil && f.canary != p) {
			continue
		}
		if p.inFlight == 0 && !now.Before(p.sendAt) {
			batch = f.prepare(now, batch, p, false)
		} else if f.hedgeDue(now, p) {
			batch = f.prepareHedge(now, batch, p)
		}
	}
	f.send(ctx, now, batch)
}

// releaseCanary allows the other parts to be sent once the canary has replied or has not been lost within the hedge delay. A suspect query
// always waits for the reply of its canary; if the canary failed, another unsettled part takes its place.
func (f *fanout) releaseCanary(now time.Time) {
	if f.canary == nil {
		return
	}
	if f.canary.settled && f.exclusive && f.canary.reason != wire.Reason_REASON_UNSPECIFIED {
		f.canary = f.firstUnsettled()
		return
	}
	waited := !f.exclusive && f.anySent && now.Sub(f.started) >= f.hedgeDelay
	if f.canary.settled || waited {
		f.canary = nil
	}
}

// answerEarly reports whether the query should be answered without the shards that straggle even after a hedge, which only plans that
// prefer the tail allow.
func (f *fanout) answerEarly(now time.Time) bool {
	if _, ok := f.plan.Preference().(plans.Tail); !ok || f.lastHedge.IsZero() || f.query.GetNonIdempotent() {
		return false
	}
	if now.Sub(f.lastHedge) < 2*f.hedgeDelay {
		return false
	}
	return float64(f.reflected()) >= earlyAnswerShare*float64(len(f.parts))
}

// reflected returns the number of shards that have replied.
func (f *fanout) reflected() int {
	count := 0
	for i := range f.parts {
		if f.parts[i].settled && f.parts[i].reason == wire.Reason_REASON_UNSPECIFIED {
			count++
		}
	}
	return count
}

// nextWake returns the earliest time at which step has something to do. It must not consider a past time that step cannot
// act on, or the query's goroutine would spin until the next event.
func (f *fanout) nextWake(now time.Time) time.Time {
	if f.canary != nil && f.canary.settled {
		// The canary has no usable replica, so no reply will release the other parts.
		return now
	}
	at := f.deadline
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	if f.canary != nil && !f.exclusive {
		earlier(f.started.Add(f.hedgeDelay))
	}
	if early := f.lastHedge.Add(2 * f.hedgeDelay); !f.lastHedge.IsZero() && early.After(now) {
		earlier(early)
	}
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled || (f.canary != nil && f.canary != p) {
			continue
		}
		if p.inFlight == 0 {
			earlier(p.sendAt)
		} else {
			earlier(p.hedgeAt)
		}
	}
	return at
}

// settle finishes a part. The reason is unspecified if the shard replied.
func (f *fanout) settle(p *part, r wire.Reason) {
	if p.settled {
		return
	}
	p.settled = true
	p.reason = r
	f.unsettled--
}

// settleAll settles the remaining parts with a reason. At the deadline, parts without an attempt in flight count as expired.
func (f *fanout) settleAll(r wire.Reason) {
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled {
			continue
		}
		final := r
		if p.inFlight == 0 && r == wire.Reason_REASON_DEADLINE {
			final = wire.Reason_REASON_EXPIRED
		}
		f.mayHaveRun = f.mayHaveRun || p.inFlight > 0
		f.entry.counters.Add(final)
		f.settle(p, final)
	}
}

// finish cancels the attempts in flight and reports the outcome of the query to the policies.
func (f *fanout) finish(now time.Time) {
	f.cancelAttempts(now, func(*attempt) bool { return true })
	policies := f.entry.policies
	policies.Admission.FeedbackForQuery(now, f.started, f.query.GetCollection(), f.plan.Name(), f.meanPressure, f.overloaded())
	// A trial is about the query, not about shards that are down.
	answeredTrial := f.trial && f.reflected() > 0 && f.lostAt.IsZero()
	if f.reflected() != len(f.parts) && !answeredTrial {
		return
	}
	lost := policies.Quarantine.Mark(now, f.fingerprint).GetSearchers()
	if policies.Quarantine.RecordCompletion(now, f.fingerprint, f.exclusive) {
		f.entry.hooks.QuarantineChanged()
		f.entry.logger.Log(wire.Event_EVENT_QUARANTINE_ENDED, zap.String("fingerprint", quar.FormatFingerprint(f.fingerprint)), zap.Strings("searchers", lost))
	}
}

// overloaded reports whether owners refused enough of the query's shards to conclude that the whole collection, and not
// a single searcher, is short of capacity.
func (f *fanout) overloaded() bool {
	return f.refused > 0 && float64(f.refused) >= overloadedShare*float64(len(f.parts))
}

// refusedByOwner reports whether a reason means that an owner's queue was too full.
func refusedByOwner(r wire.Reason) bool {
	switch r {
	case wire.Reason_REASON_CANNOT_MEET_DEADLINE, wire.Reason_REASON_QUEUE_FULL, wire.Reason_REASON_EXPIRED:
		return true
	default:
		return false
	}
}

// provenNotRun reports whether an attempt that ended with the reason certainly did not run.
func provenNotRun(r wire.Reason) bool {
	return reason.RunState(r) == wire.RunState_RUN_STATE_NOT_RUN
}
