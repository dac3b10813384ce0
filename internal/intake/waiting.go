package intake

import (
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// waitShare is the fraction of the goal that a request may wait: a caller that is refused within it can still be served in time on its
	// second attempt.
	waitShare = 0.25
	// lateWaitShare is the fraction of the deadline that a request may wait whose late answer still counts.
	lateWaitShare = 0.25
	// maxWaiting bounds the requests that wait.
	maxWaiting = 512
)

// judge decides about a request that is neither running nor waiting. It changes nothing.
func (l *Limiter) judge(now time.Time, t *Ticket) Decision {
	service := duration(l.works.byRoute[t.request.Route])
	if !now.Add(service).Before(t.request.Deadline) {
		return Refuse{Reason: wire.Reason_REASON_CANNOT_MEET_DEADLINE}
	}
	ahead := 0.0
	for _, other := range l.waiting {
		if precedes(now, other, t, service) {
			ahead += other.cost
		}
	}
	if ahead == 0 && l.hasRoom(now, t) {
		return Run{}
	}
	if l.floor[t.rank] >= t.cost {
		return Run{}
	}
	start, until := l.expectedStart(now, t, ahead), latestStart(t, service)
	switch {
	case usefulUntil(t).Before(start.Add(service)):
		return Refuse{Reason: wire.Reason_REASON_CANNOT_MEET_DEADLINE}
	case until.Before(start) || len(l.waiting) >= maxWaiting:
		return Refuse{Reason: wire.Reason_REASON_ADMISSION}
	default:
		return Wait{Until: until}
	}
}

// precedes reports whether a waiting request a comes before b: by rank, then what can still meet its goal, then by goal.
func precedes(now time.Time, a, b *Ticket, service time.Duration) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if am, bm := now.Add(service).Before(a.request.Goal), now.Add(service).Before(b.request.Goal); am != bm {
		return am
	}
	return !b.request.Goal.Before(a.request.Goal)
}

// latestStart returns until when a request may wait.
func latestStart(t *Ticket, service time.Duration) time.Time {
	if t.request.LateCounts {
		return t.asked.Add(time.Duration(float64(t.request.Deadline.Sub(t.asked)-service) * lateWaitShare))
	}
	useful := usefulUntil(t)
	until := t.asked.Add(time.Duration(float64(useful.Sub(t.asked)) * waitShare))
	if last := useful.Add(-service); last.Before(until) {
		return last
	}
	return until
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

func (l *Limiter) order(now time.Time) {
	slices.SortStableFunc(l.waiting, func(a, b *Ticket) int {
		service := duration(l.works.byRoute[a.request.Route])
		switch {
		case a == b:
			return 0
		case precedes(now, a, b, service):
			return -1
		default:
			return 1
		}
	})
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
	switch service := duration(l.works.byRoute[t.request.Route]); {
	case !now.Add(service).Before(usefulUntil(t)):
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
