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

func (f *fanout) handleEvent(now time.Time, ev event) {
	switch ev := ev.(type) {
	case frameReceived:
		f.handleFrame(now, ev.reply)
	case streamEnded:
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

// handleReply matches a reply to its attempt. A reply without a known attempt is late or misrouted and is dropped.
func (f *fanout) handleReply(now time.Time, sub *wire.SubReply) {
	a, ok := f.attempts[sub.GetAttemptId()]
	if !ok {
		f.entry.lateReplies.Inc(1)
		return
	}
	if sub.GetReason() == wire.Reason_REASON_STOPPING {
		f.skipOwner(now, a)
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

// skipOwner schedules an attempt through another owner after one refused it because it is stopping. The attempt did not
// run, so this uses no retry budget.
func (f *fanout) skipOwner(now time.Time, a *attempt) {
	f.entry.counters.Add(wire.Reason_REASON_STOPPING)
	if !slices.Contains(f.excludedOwners, a.owner.ID()) {
		f.excludedOwners = append(f.excludedOwners, a.owner.ID())
	}
	f.recordAbandoned(now, a, wire.Reason_REASON_STOPPING)
	p := a.part
	f.removeAttempt(a)
	p.tried = slices.DeleteFunc(p.tried, func(id string) bool { return id == a.searcher })
	p.attempts--
	if p.settled {
		return
	}
	p.reason = wire.Reason_REASON_OWNER_UNREACHABLE
	p.sendAt = now
}

// succeed records the hits of an attempt, settles its part and cancels the part's other attempts.
func (f *fanout) succeed(now time.Time, a *attempt, hits []*wire.Hit) {
	p := a.part
	f.removeAttempt(a)
	f.entry.policies.Picker.Replied(now, a.searcher, now.Sub(a.sentAt))
	if p.settled {
		return
	}
	// The hedger observes the time since the first attempt even if a hedge replied first. The latency of the hedges alone would make the
	// measured hedge delay too short.
	f.entry.policies.Hedger.Observe(f.query.GetCollection(), now.Sub(p.firstSent))
	f.entry.policies.Retrier.Observe(f.query.GetCollection(), now.Sub(a.sentAt))
	p.hits = hits
	f.settle(p, wire.Reason_REASON_UNSPECIFIED)
	if p.inFlight > 0 {
		f.cancelAttempts(now, func(other *attempt) bool { return other.part == p })
	}
}

// removeAttempt removes an attempt that has ended.
func (f *fanout) removeAttempt(a *attempt) {
	delete(f.attempts, a.id)
	a.part.inFlight--
}

// recordAbandoned reports an attempt without a result to the picker. If an owner refused it for lack of capacity, the time until the
// deadline is reported, since the refusal means that the attempt would have taken longer than that.
func (f *fanout) recordAbandoned(now time.Time, a *attempt, r wire.Reason) {
	waited := now.Sub(a.sentAt)
	if refusedByOwner(r) {
		waited = f.deadline.Sub(a.sentAt)
	}
	f.entry.policies.Picker.Abandoned(now, a.searcher, waited)
}

// handleEnded fails the attempts that had no reply when their stream ended.
func (f *fanout) handleEnded(now time.Time, ev streamEnded) {
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
	f.excludedOwners = append(f.excludedOwners, ev.owner.ID())
	f.entry.hooks.OwnerFailed(now, ev.owner.ID())
	for _, a := range lost {
		// The searcher itself may be healthy, so the part may try it again through another owner.
		a.part.tried = slices.DeleteFunc(a.part.tried, func(id string) bool { return id == a.searcher })
		f.fail(now, a, r, false)
	}
}

// fail ends an attempt without a result and decides whether its part gets another attempt.
func (f *fanout) fail(now time.Time, a *attempt, r wire.Reason, abrupt bool) {
	p := a.part
	f.removeAttempt(a)
	f.recordAbandoned(now, a, r)
	f.entry.counters.Add(r)
	f.mayHaveRun = f.mayHaveRun || !provenNotRun(r)
	if refusedByOwner(r) {
		f.refused++
	}
	f.entry.avoided.record(now, a.searcher, f.snapshot.Version(), r)
	if abrupt && f.recordLoss(now, a.searcher) {
		return
	}
	if p.settled {
		return
	}
	p.reason = r
	if p.inFlight > 0 {
		return
	}
	if r == wire.Reason_REASON_SNAPSHOT_GONE && f.restartOnBetterSnapshot(now) {
		return
	}
	f.retry(now, p, r)
}

// recordLoss records in the quarantine table that the query lost a searcher. If the query is now quarantined, it settles all parts and
// returns true. Otherwise the query continues in exclusive mode with a canary.
func (f *fanout) recordLoss(now time.Time, searcher string) bool {
	quarantine := f.entry.policies.Quarantine
	if f.exclusive {
		quarantine.RecordExclusiveLoss(now, f.fingerprint, searcher)
	} else {
		quarantine.RecordLoss(now, f.fingerprint, searcher)
	}
	f.lostAt = now
	f.entry.hooks.QuarantineChanged()
	if _, ok := quarantine.Check(now, f.fingerprint).(quar.Quarantined); ok {
		f.entry.logQuarantine(wire.Event_EVENT_QUARANTINED, now, f.fingerprint)
		f.settleAll(wire.Reason_REASON_QUARANTINED)
		return true
	}
	f.exclusive = true
	f.cancelForCanary(now)
	if f.canary == nil || f.canary.settled {
		f.canary = f.firstUnsettled()
	}
	return false
}

// cancelForCanary cancels all attempts in flight, so that a suspect query reaches no further searcher before its canary has replied.
func (f *fanout) cancelForCanary(now time.Time) {
	for _, a := range f.attempts {
		a.part.inFlight--
		a.part.sendAt = now
		a.part.tried = slices.DeleteFunc(a.part.tried, func(id string) bool { return id == a.searcher })
		f.mayHaveRun = true
	}
	f.cancelAttempts(now, func(*attempt) bool { return true })
}

// firstUnsettled returns the first part that is not settled, or nil.
func (f *fanout) firstUnsettled() *part {
	for i := range f.parts {
		if !f.parts[i].settled {
			return &f.parts[i]
		}
	}
	return nil
}

// retry schedules another attempt for a part, or settles the part if the retry policy allows none.
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
		p.sendAt = now.Add(decision.After)
	case retry.Stop:
		f.entry.counters.Add(decision.Reason)
		f.settle(p, r)
	}
}
