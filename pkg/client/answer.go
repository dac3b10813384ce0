package client

import (
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// RunState states whether a question was run.
type RunState int

// The run states. Unknown means that the question may or may not have run.
const (
	Unknown RunState = iota
	Run
	NotRun
)

// String returns run, not_run or unknown.
func (s RunState) String() string {
	switch s {
	case Run:
		return "run"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

func newRunState(s wire.RunState) RunState {
	switch s {
	case wire.RunState_RUN_STATE_RUN:
		return Run
	case wire.RunState_RUN_STATE_NOT_RUN:
		return NotRun
	default:
		return Unknown
	}
}

// Reason is the short name of the reason of a refusal or of a missing shard, such as over_rate. docs/REASONS.md lists the reasons of
// the nodes.
type Reason string

// Reasons that the client itself reports.
const (
	// ReasonUnreachable means that no entry could be connected to.
	ReasonUnreachable Reason = "entry_unreachable"
	// ReasonConnectionLost means that the connection ended before the whole answer arrived.
	ReasonConnectionLost Reason = "entry_connection_lost"
	// ReasonDeadline means that no answer arrived by the deadline.
	ReasonDeadline Reason = "client_deadline"
	// ReasonCancelled means that the context was cancelled before an answer arrived.
	ReasonCancelled Reason = "client_cancelled"
	// ReasonBadAnswer means that the answer could not be decoded.
	ReasonBadAnswer Reason = "bad_answer"
)

var clientReasonTexts = map[Reason]string{
	ReasonUnreachable:    "no entry could be connected to",
	ReasonConnectionLost: "the connection ended before the whole answer arrived",
	ReasonDeadline:       "no answer arrived by the deadline",
	ReasonCancelled:      "the context was cancelled before an answer arrived",
	ReasonBadAnswer:      "the answer could not be decoded",
}

// Text returns a description of the reason, or its name if this version of the client does not know it.
func (r Reason) Text() string {
	if text, ok := clientReasonTexts[r]; ok {
		return text
	}
	number, ok := wire.Reason_value["REASON_"+strings.ToUpper(string(r))]
	if !ok {
		return string(r)
	}
	return reason.Text(wire.Reason(number))
}

func newReason(r wire.Reason) Reason {
	if r == wire.Reason_REASON_UNSPECIFIED {
		return ""
	}
	return Reason(reason.Name(r))
}

// Hit is a document that the query found.
type Hit struct {
	id    string
	score float64
}

// ID returns the ID of the document.
func (h Hit) ID() string { return h.id }

// Score returns the score of the document. A higher score is a better match.
func (h Hit) Score() float64 { return h.score }

// MissingShard is a shard that an answer does not reflect.
type MissingShard struct {
	shard  int
	reason Reason
}

// Shard returns the number of the shard.
func (m MissingShard) Shard() int { return m.shard }

// Reason returns why the shard is missing.
func (m MissingShard) Reason() Reason { return m.reason }

// Coverage states which shards of the snapshot an answer reflects.
type Coverage struct {
	total     int
	reflected int
	missing   []MissingShard
}

// Total returns the number of shards of the snapshot.
func (c Coverage) Total() int { return c.total }

// Reflected returns the number of shards that the answer reflects.
func (c Coverage) Reflected() int { return c.reflected }

// Complete reports whether the answer reflects every shard.
func (c Coverage) Complete() bool { return c.reflected == c.total && len(c.missing) == 0 }

// Missing returns the shards that the answer does not reflect. The caller must not modify the result.
func (c Coverage) Missing() []MissingShard { return c.missing }

// Answer is the answer to a question. It is immutable.
type Answer struct {
	snapshot uint64
	hits     []Hit
	coverage Coverage
	run      RunState
}

// Snapshot returns the version of the index snapshot that all parts of the answer come from.
func (a Answer) Snapshot() uint64 { return a.snapshot }

// Hits returns the hits, best first. The caller must not modify the result.
func (a Answer) Hits() []Hit { return a.hits }

// Coverage returns the coverage of the answer.
func (a Answer) Coverage() Coverage { return a.coverage }

// Run returns whether the question was run.
func (a Answer) Run() RunState { return a.run }

func newAnswer(m *wire.Answer) Answer {
	a := Answer{snapshot: m.GetSnapshot(), coverage: newCoverage(m.GetCoverage()), run: newRunState(m.GetRun())}
	for _, hit := range m.GetHits() {
		a.hits = append(a.hits, Hit{id: hit.GetId(), score: hit.GetScore()})
	}
	return a
}

func newCoverage(m *wire.Coverage) Coverage {
	c := Coverage{total: int(m.GetTotal()), reflected: int(m.GetReflected())}
	for _, missing := range m.GetMissing() {
		c.missing = append(c.missing, MissingShard{shard: int(missing.GetShard()), reason: newReason(missing.GetReason())})
	}
	return c
}
