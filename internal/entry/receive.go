package entry

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/retry"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

func (f *fanout) handle(now time.Time, ev event) {
	switch ev := ev.(type) {
	case frame:
		f.handleFrame(now, ev.reply)
	case ended:
		f.handleEnded(now, ev)
	}
}

func (f *fanout) handleFrame(now time.Time, reply *wire.BatchReply) {
	if reply.GetQueryId() != f.id {
		f.entry.counters.Add(wire.Reason_REASON_REPLY_MISMATCH)
		return
	}
	f.pressure = max(f.pressure, reply.GetPressure())
	f.load = max(f.load, reply.GetLoad())
	f.frames++
	f.meanPressure += (reply.GetPressure() - f.meanPressure) / float64(f.frames)
	for _, sub := range reply.GetReplies() {
		f.handleReply(now, sub)
	}
}

// handleReply matches a reply to its attempt. A reply without one is late or crossed and is dropped.
func (f *fanout) handleReply(now time.Time, sub *wire.SubReply) {
	a, ok := f.attempts[sub.GetAttemptId()]
	if !ok {
		f.entry.late.Inc(1)
		return
	}
	if sub.GetReason() == wire.Reason_REASON_STOPPING {
		f.passOwner(now, a)
		return
	}
	if sub.GetReason() != wire.Reason_REASON_UNSPECIFIED {
		f.fail(now, a, sub.GetReason(), sub.GetAbrupt())
		return
	}
	if int(sub.GetShard()) != a.part.shard || sub.GetSnapshot() != f.snapshot.Version() {
		f.fail(now, a, wire.Reason_REASON_REPLY_MISMATCH, false)
		return
	}
	f.succeed(now, a, sub.GetHits())
}

// passOwner goes to the next owner after one refused an attempt because it is stopping. The attempt was not run, so
// this costs no retry budget.
func (f *fanout) passOwner(now time.Time, a *attempt) {
	f.entry.counters.Add(wire.Reason_REASON_STOPPING)
	if !slices.Contains(f.downOwners, a.owner.ID()) {
		f.downOwners = append(f.downOwners, a.owner.ID())
	}
	f.pass(now, a, wire.Reason_REASON_STOPPING)
	p := a.part
	f.remove(a)
	p.tried = slices.DeleteFunc(p.tried, func(id string) bool { return id == a.searcher })
	p.attempts--
	if p.settled {
		return
	}
	p.reason = wire.Reason_REASON_OWNER_UNREACHABLE
	p.due = now
}

func (f *fanout) succeed(now time.Time, a *attempt, hits []*wire.Hit) {
	p := a.part
	f.remove(a)
	f.entry.policies.Picker.Replied(now, a.searcher, now.Sub(a.sentAt))
	if p.settled {
		return
	}
	// The time since the first attempt counts, even when a hedge won: the winners' own times would make the learned delay too short.
	f.entry.policies.Hedger.Observe(f.query.GetCollection(), now.Sub(p.firstSent))
	f.entry.policies.Retrier.Observe(f.query.GetCollection(), now.Sub(a.sentAt))
	p.hits = hits
	f.settle(p, wire.Reason_REASON_UNSPECIFIED)
	if p.inFlight > 0 {
		f.cancelAttempts(now, func(other *attempt) bool { return other.part == p })
	}
}

// remove forgets an attempt that ended.
func (f *fanout) remove(a *attempt) {
	delete(f.attempts, a.id)
	a.part.inFlight--
}

// pass tells the picker about an attempt without a result. An owner that refused for lack of capacity says that the
// remaining time would not do.
func (f *fanout) pass(now time.Time, a *attempt, r wire.Reason) {
	waited := now.Sub(a.sentAt)
	if refusedByOwner(r) {
		waited = f.deadline.Sub(a.sentAt)
	}
	f.entry.policies.Picker.Abandoned(now, a.searcher, waited)
}

// handleEnded fails the attempts that a stream left without a reply.
func (f *fanout) handleEnded(now time.Time, ev ended) {
	r := wire.Reason_REASON_OWNER_LOST
	if errors.Is(ev.err, peer.ErrNotSent) {
		r = wire.Reason_REASON_OWNER_UNREACHABLE
	}
	var lost []*attempt
	for _, id := range ev.ids {
		if a, ok := f.attempts[id]; ok {
			lost = append(lost, a)
		}
	}
	if len(lost) == 0 {
		return
	}
	f.downOwners = append(f.downOwners, ev.owner.ID())
	f.entry.sources.OwnerFailed(now, ev.owner.ID())
	for _, a := range lost {
		// The searcher itself may be well; another owner can reach it.
		a.part.tried = slices.DeleteFunc(a.part.tried, func(id string) bool { return id == a.searcher })
		f.fail(now, a, r, false)
	}
}

// fail ends an attempt without a result and decides whether its shard is tried again.
func (f *fanout) fail(now time.Time, a *attempt, r wire.Reason, abrupt bool) {
	p := a.part
	f.remove(a)
	f.pass(now, a, r)
	f.entry.counters.Add(r)
	f.uncertain = f.uncertain || !surelyNotRun(r)
	if refusedByOwner(r) {
		f.refused++
	}
	f.entry.avoided.note(now, a.searcher, f.snapshot.Version(), r)
	if abrupt && f.noteLoss(now, a.searcher) {
		return
	}
	if p.settled {
		return
	}
	p.reason = r
	if p.inFlight > 0 {
		return
	}
	if r == wire.Reason_REASON_SNAPSHOT_GONE && f.changeSnapshot(now) {
		return
	}
	f.retry(now, p, r)
}

// noteLoss marks the query as one that lost a searcher, and stops it when it is quarantined. It reports whether the query was stopped.
func (f *fanout) noteLoss(now time.Time, searcher string) bool {
	quarantine := f.entry.policies.Quarantine
	if f.exclusive {
		quarantine.RecordExclusiveLoss(now, f.fingerprint, searcher)
	} else {
		quarantine.RecordLoss(now, f.fingerprint, searcher)
	}
	f.lostAt = now
	f.entry.sources.QuarantineChanged()
	if _, ok := quarantine.Check(now, f.fingerprint).(quar.Quarantined); ok {
		f.settleAll(wire.Reason_REASON_QUARANTINED)
		return true
	}
	f.exclusive = true
	f.recall(now)
	if f.canary == nil || f.canary.settled {
		f.canary = f.firstOpen()
	}
	return false
}

// recall withdraws all attempts in flight, so that a suspect query reaches no further searcher before its canary replied.
func (f *fanout) recall(now time.Time) {
	for _, a := range f.attempts {
		a.part.inFlight--
		a.part.due = now
		a.part.tried = slices.DeleteFunc(a.part.tried, func(id string) bool { return id == a.searcher })
		f.uncertain = true
	}
	f.cancelAttempts(now, func(*attempt) bool { return true })
}

// firstOpen returns a part that is not settled, or nil.
func (f *fanout) firstOpen() *part {
	for i := range f.parts {
		if !f.parts[i].settled {
			return &f.parts[i]
		}
	}
	return nil
}

// retry schedules another attempt for a part or settles it.
func (f *fanout) retry(now time.Time, p *part, r wire.Reason) {
	failed := retry.FailedAttempt{
		Collection: f.query.GetCollection(),
		Reason:     r,
		Idempotent: !f.query.GetNonIdempotent(),
		Attempts:   p.attempts,
		Deadline:   f.deadline,
	}
	switch decision := f.entry.policies.Retrier.Decide(now, failed).(type) {
	case retry.Again:
		p.due = now.Add(decision.After)
	case retry.Stop:
		f.entry.counters.Add(decision.Reason)
		f.settle(p, r)
	}
}
