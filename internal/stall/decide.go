package stall

import (
	"slices"
	"time"
)

// idle is the pending value of a connection with no request outstanding.
const idle = 0

// state is what one connection shows at one moment. Times are offsets from the group's base and above 0.
type state struct {
	// opened is when the connection was wrapped.
	opened int64
	// pending is when the outstanding request was last written to, or idle.
	pending int64
}

// overdue reports whether a request is outstanding for longer than the limit.
func (s state) overdue(now int64, limit time.Duration) bool {
	return s.pending > idle && now-s.pending > int64(limit)
}

// silent reports whether a connection has stopped responding: its request is overdue, and a reply began to arrive to a request that
// was written later. answered is when the latest request was written whose reply began on any connection of the group. That request
// was on another connection, since one connection carries one request at a time.
func silent(s state, now, answered int64, limit time.Duration) bool {
	return s.overdue(now, limit) && answered > s.pending
}

// needsProbe reports whether an overdue connection has no witness and no request on a newer connection is under way that could
// become one. A probe that is itself overdue no longer counts, so probes follow each other at most once per limit.
func needsProbe(states []state, now, answered int64, limit time.Duration) bool {
	return slices.ContainsFunc(states, func(s state) bool {
		return s.overdue(now, limit) && answered <= s.pending && !probed(states, s, now, limit)
	})
}

func probed(states []state, suspect state, now int64, limit time.Duration) bool {
	return slices.ContainsFunc(states, func(s state) bool {
		return s.opened > suspect.pending && s.pending > idle && !s.overdue(now, limit)
	})
}
