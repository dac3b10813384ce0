package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// earlyShare is the share of shards that must have replied before a plan that prefers the tail is answered without the rest.
	earlyShare = 0.95
	// maxSnapshotChanges bounds how often one query starts anew on another snapshot.
	maxSnapshotChanges = 1
	// refusedShare is the share of a query's shards that owners must refuse before the refusal counts against the
	// plan's admission. The queues of a query's shards drop the same queries when the collection is short of capacity;
	// a single lost or slow searcher must not throttle its whole collection.
	refusedShare = 0.25
	// eventBuffer holds the frames that arrive while the query's goroutine works.
	eventBuffer = 64
)

// fanout is one query on its way. Only the goroutine in run touches it; streams hand their frames over through events.
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
	// downOwners are owners that this query found unreachable.
	downOwners []string

	// snapshot is the one index snapshot that every reply must be from.
	snapshot *shards.Snapshot
	changes  int
	parts    []part
	// open is the number of parts that are not settled.
	open     int
	attempts map[uint64]*attempt
	// canary is the part that is tried before all others, or nil when all parts may be sent.
	canary *part
	// exclusive asks owners to run attempts alone, since the fingerprint is suspect.
	exclusive bool
	sent      bool
	hedged    time.Time
	// pressure is the greatest pressure of any frame; meanPressure is over the frames.
	pressure float64
	// load is the greatest load of any frame. A plan of an urgent rank feels no pressure while its searchers are saturated by others.
	load         float64
	meanPressure float64
	frames       int
	// refused counts the attempts that owners refused for lack of capacity.
	refused int
	// uncertain is set once a searcher may have run a part whose result is not used; the answer then never says "not run".
	uncertain bool
	// lostAt is when an attempt last lost its searcher abruptly.
	lostAt time.Time
}

// part is one shard's share of a query.
type part struct {
	shard int
	// due is when the part is to be sent; it is zero while attempts are in flight.
	due     time.Time
	settled bool
	reason  wire.Reason
	hits    []*wire.Hit
	// tried lists the searchers that got an attempt.
	tried     []string
	attempts  int
	inFlight  int
	firstSent time.Time
	hedgeAt   time.Time
}

// attempt is one sub-request that was handed to an owner.
type attempt struct {
	id       uint64
	part     *part
	searcher string
	owner    shards.VM
	sentAt   time.Time
}

// event is what a stream reports to the query's goroutine: frame or ended.
type event interface{ event() }

// frame carries replies of an owner.
type frame struct{ reply *wire.BatchReply }

// ended says that a stream is over; the attempts that had no reply are lost.
type ended struct {
	owner shards.VM
	ids   []uint64
	err   error
}

func (frame) event() {}
func (ended) event() {}

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
		members:     e.sources.Members(now),
		attempts:    make(map[uint64]*attempt),
	}
}

// run sends the query to all shards and returns the answer at the latest at the deadline.
func (f *fanout) run(ctx context.Context) *wire.Answer {
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	now := f.entry.sources.Clock()
	f.choose(now)
	f.plant(now)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for f.open > 0 {
		f.step(ctx, now)
		if f.open == 0 {
			break
		}
		timer.Reset(max(0, f.wakeAt(now).Sub(now)))
		select {
		case ev := <-f.events:
			now = f.entry.sources.Clock()
			f.handle(now, ev)
			f.drain(now)
		case <-timer.C:
			now = f.entry.sources.Clock()
		case <-ctx.Done():
			now = f.entry.sources.Clock()
			f.settleAll(wire.Reason_REASON_DEADLINE)
		}
	}
	f.finish(now)
	f.holdBack(ctx, now)
	return f.answer()
}

// holdBack delays an incomplete answer after an abrupt loss until the other entries know of it. Otherwise a caller
// that sends a crashing request again at once could reach an entry that does not know it yet.
func (f *fanout) holdBack(ctx context.Context, now time.Time) {
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

// drain handles what arrived meanwhile, so that one step serves many frames.
func (f *fanout) drain(now time.Time) {
	for {
		select {
		case ev := <-f.events:
			f.handle(now, ev)
		default:
			return
		}
	}
}

// plant creates the parts of the chosen snapshot and picks the canary.
func (f *fanout) plant(now time.Time) {
	targets := f.targets()
	f.parts = make([]part, len(targets))
	for i, shard := range targets {
		f.parts[i] = part{shard: shard, due: now}
	}
	f.open = len(f.parts)
	// A canary of an earlier snapshot is no longer among the parts.
	f.canary = nil
	quarantine := f.entry.policies.Quarantine
	_, f.exclusive = quarantine.Check(now, f.fingerprint).(quar.Suspect)
	if f.exclusive || quarantine.NeedsCanary(now, f.fingerprint) {
		f.canary = &f.parts[int(f.id%uint64(len(f.parts)))]
	}
}

// targets returns the shards that the query concerns: all, or the one that the routing key names.
func (f *fanout) targets() []int {
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

// step sends what is due and gives up what no longer can succeed.
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
		if p.inFlight == 0 && !now.Before(p.due) {
			batch = f.prepare(now, batch, p, false)
		} else if f.hedgeDue(now, p) {
			batch = f.prepareHedge(now, batch, p)
		}
	}
	f.send(ctx, now, batch)
}

// releaseCanary lets the other parts go when the canary replied, or was not lost within the hedge delay. A suspect query waits for its
// canary's reply.
func (f *fanout) releaseCanary(now time.Time) {
	if f.canary == nil {
		return
	}
	if f.canary.settled && f.exclusive && f.canary.reason != wire.Reason_REASON_UNSPECIFIED {
		f.canary = f.firstOpen()
		return
	}
	waited := !f.exclusive && f.sent && now.Sub(f.started) >= f.hedgeDelay
	if f.canary.settled || waited {
		f.canary = nil
	}
}

// answerEarly reports whether a plan that prefers the tail is to be answered without the shards that straggle even after their hedge.
func (f *fanout) answerEarly(now time.Time) bool {
	if _, ok := f.plan.Preference().(plans.Tail); !ok || f.hedged.IsZero() || f.query.GetNonIdempotent() {
		return false
	}
	if now.Sub(f.hedged) < 2*f.hedgeDelay {
		return false
	}
	return float64(f.reflected()) >= earlyShare*float64(len(f.parts))
}

func (f *fanout) reflected() int {
	count := 0
	for i := range f.parts {
		if f.parts[i].settled && f.parts[i].reason == wire.Reason_REASON_UNSPECIFIED {
			count++
		}
	}
	return count
}

// wakeAt returns the earliest time at which step has something to do. A time in the past that step cannot act on must
// not be among them, or the query's goroutine would spin until the next event.
func (f *fanout) wakeAt(now time.Time) time.Time {
	if f.canary != nil && f.canary.settled {
		// The canary had no replica, so no reply will release the other parts.
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
	if early := f.hedged.Add(2 * f.hedgeDelay); !f.hedged.IsZero() && early.After(now) {
		earlier(early)
	}
	for i := range f.parts {
		p := &f.parts[i]
		if p.settled || (f.canary != nil && f.canary != p) {
			continue
		}
		if p.inFlight == 0 {
			earlier(p.due)
		} else {
			earlier(p.hedgeAt)
		}
	}
	return at
}

// settle ends a part; reason is unspecified when the shard replied.
func (f *fanout) settle(p *part, r wire.Reason) {
	if p.settled {
		return
	}
	p.settled = true
	p.reason = r
	f.open--
}

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
		f.uncertain = f.uncertain || p.inFlight > 0
		f.entry.counters.Add(final)
		f.settle(p, final)
	}
}

// finish cancels what is still in flight and feeds the policies.
func (f *fanout) finish(now time.Time) {
	f.cancelAttempts(now, func(*attempt) bool { return true })
	policies := f.entry.policies
	policies.Admission.FeedbackForQuery(now, f.started, f.query.GetCollection(), f.plan.Name(), f.meanPressure, f.overloaded())
	if f.reflected() == len(f.parts) {
		policies.Quarantine.RecordCompletion(now, f.fingerprint, f.exclusive)
	}
}

// overloaded reports whether owners refused so many of the query's shards that the collection, and not a single
// searcher, is short of capacity.
func (f *fanout) overloaded() bool {
	return f.refused > 0 && float64(f.refused) >= refusedShare*float64(len(f.parts))
}

// refusedByOwner reports whether a reason says that the owner's queue is too full.
func refusedByOwner(r wire.Reason) bool {
	switch r {
	case wire.Reason_REASON_CANNOT_MEET_DEADLINE, wire.Reason_REASON_QUEUE_FULL, wire.Reason_REASON_EXPIRED:
		return true
	default:
		return false
	}
}

// surelyNotRun reports whether an attempt that ended with the reason was not run.
func surelyNotRun(r wire.Reason) bool {
	return reason.RunState(r) == wire.RunState_RUN_STATE_NOT_RUN
}
