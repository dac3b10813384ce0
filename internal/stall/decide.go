package stall

import (
	"slices"
	"time"
)

// idle is the pending value of a connection without an outstanding request.
const idle = 0

// state is a snapshot of one connection. Times are offsets from the group's base and greater than 0.
type state struct {
	// opened is when the connection was wrapped.
	opened int64
	// pending is when the outstanding request was last written to, or idle.
	pending int64
}

// overdue reports whether a request has been outstanding for longer than limit.
func (s state) overdue(now int64, limit time.Duration) bool {
	return s.pending > idle && now-s.pending > int64(limit)
}

// silent reports whether a connection has stopped responding: its request is overdue, and the reply to a request that was written later
// has started. answered is when the latest request was written whose reply started on any connection of the group. That request was on
// another connection, since one connection carries one request at a time.
func silent(s state, now, answered int64, limit time.Duration) bool {
	return s.overdue(now, limit) && answered > s.pending
}

// needsProbe reports whether some overdue connection has no later answered request in the group, and no request is pending on a newer
// connection whose reply would be one. A probe that is itself overdue no longer counts, so there is at most one probe per limit.
func needsProbe(states []state, now, answered int64, limit time.Duration) bool {
	return slices.ContainsFunc(states, func(s state) bool {
		return s.overdue(now, limit) && answered <= s.pending && !hasPendingProbe(states, s, now, limit)
	})
}

func hasPendingProbe(states []state, suspect state, now int64, limit time.Duration) bool {
	return slices.ContainsFunc(states, func(s state) bool {
		return s.opened > suspect.pending && s.pending > idle && !s.overdue(now, limit)
	})
}
