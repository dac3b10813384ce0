package intake

import (
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// waitShare is the fraction of the goal that a request may wait: a caller that is refused within it can still be served in time on its
	// second attempt.
	waitShare = 0.1
	// lateWaitShare is the fraction of the deadline that a request may wait whose late answer still counts.
	lateWaitShare = 0.5
	// maxWaiting bounds the requests that wait.
	maxWaiting = 512
)

// judge decides about a request that is neither running nor waiting. It changes nothing.
func (l *Limiter) judge(now time.Time, t *Ticket) Decision {
	service := t.service
	if !now.Add(service).Before(t.request.Deadline) {
		return Refuse{Reason: wire.Reason_REASON_CANNOT_MEET_DEADLINE}
	}
	ahead := 0.0
	for _, other := range l.waiting {
		if precedes(now, other, t) {
			ahead += other.cost
		}
	}
	if ahead == 0 && l.hasRoom(now, t) {
		return Run{}
	}
	if l.floor[t.rank] >= t.cost {
		return Run{}
	}
	switch start := l.expectedStart(now, t, ahead); {
	case usefulUntil(t).Before(start.Add(service)):
		return Refuse{Reason: wire.Reason_REASON_CANNOT_MEET_DEADLINE}
	case startBy(t, service).Before(start) || len(l.waiting) >= maxWaiting:
		return Refuse{Reason: wire.Reason_REASON_ADMISSION}
	default:
		return Wait{Until: latestStart(t, service)}
	}
}

// precedes reports whether a waiting request a comes before b: by rank, then those that are committed, then what can still meet its goal, then by
// goal.
func precedes(now time.Time, a, b *Ticket) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if ac, bc := committed(now, a), committed(now, b); ac != bc {
		return ac
	}
	if am, bm := now.Add(a.service).Before(a.request.Goal), now.Add(b.service).Before(b.request.Goal); am != bm {
		return am
	}
	return !b.request.Goal.Before(a.request.Goal)
}

// committed reports whether a request has waited so long that its caller could not be served in time on a second attempt. It is not overtaken
// within its rank any more, since a refusal would be the worst for its caller.
func committed(now time.Time, t *Ticket) bool {
	return t.request.LateCounts && t.ready != nil && float64(now.Sub(t.asked)) > waitShare*float64(t.request.Goal.Sub(t.asked))
}

// startBy returns until when a request must be expected to start for it to wait at all.
func startBy(t *Ticket, service time.Duration) time.Time {
	useful := t.request.Goal
	if t.request.Deadline.Before(useful) {
		useful = t.request.Deadline
	}
	by := t.asked.Add(time.Duration(float64(useful.Sub(t.asked)) * waitShare))
	if last := useful.Add(-service); last.Before(by) {
		return last
	}
	return by
}

// latestStart returns until when a request waits that was expected to start earlier.
func latestStart(t *Ticket, service time.Duration) time.Time {
	if t.request.LateCounts {
		return t.asked.Add(time.Duration(float64(t.request.Deadline.Sub(t.asked)-service) * lateWaitShare))
	}
	return startBy(t, service)
}

// expectedStart returns when a request is expected to start behind waiting ones of the given work.
func (l *Limiter) expectedStart(now time.Time, t *Ticket, ahead float64) time.Time {
	excess := max(l.inFlight+ahead+t.cost-l.room(now, t.rank), 0)
	return now.Add(duration(excess / l.rate()))
}

// enqueue adds a waiting request, and refuses those behind it that can't start in time any more.
func (l *Limiter) enqueue(now time.Time, t *Ticket) {
	l.waiting = append(l.waiting, t)
	l.order(now)
	l.dropHopeless(now, t)
}

// order sorts the waiting requests again if time has changed their order.
func (l *Limiter) order(now time.Time) {
	compare := func(a, b *Ticket) int {
		switch before, after := precedes(now, a, b), precedes(now, b, a); {
		case before == after:
			return 0
		case before:
			return -1
		default:
			return 1
		}
	}
	if !slices.IsSortedFunc(l.waiting, compare) {
		slices.SortStableFunc(l.waiting, compare)
	}
}

// review starts waiting requests in order while there is room, and refuses those that can't start in time any more.
func (l *Limiter) review(now time.Time) {
	if len(l.waiting) == 0 {
		return
	}
	l.order(now)
	for len(l.waiting) > 0 && l.hasRoom(now, l.waiting[0]) {
		t := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.start(now, t)
		close(t.ready)
	}
	l.dropHopeless(now, nil)
}

// dropHopeless refuses waiting requests whose time to start is over or will be. Those behind a new one are displaced by it.
func (l *Limiter) dropHopeless(now time.Time, arrived *Ticket) {
	ahead, behind := 0.0, false
	kept := l.waiting[:0]
	for _, t := range l.waiting {
		hopeless := !now.Before(t.until) || t.until.Before(l.expectedStart(now, t, ahead))
		if t == arrived || !hopeless {
			behind = behind || t == arrived
			ahead += t.cost
			kept = append(kept, t)
			continue
		}
		l.refuse(now, t, l.dropReason(now, t, behind))
		close(t.ready)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
}

// dropReason returns why a waiting request is refused.
func (l *Limiter) dropReason(now time.Time, t *Ticket, displaced bool) wire.Reason {
	switch {
	case !now.Add(t.service).Before(usefulUntil(t)):
		return wire.Reason_REASON_CANNOT_MEET_DEADLINE
	case displaced:
		return wire.Reason_REASON_DISPLACED
	default:
		return wire.Reason_REASON_ADMISSION
	}
}

// usefulUntil returns until when an answer keeps a good part of its value.
func usefulUntil(t *Ticket) time.Time {
	if t.request.LateCounts || t.request.Deadline.Before(t.request.Goal) {
		return t.request.Deadline
	}
	return t.request.Goal
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
