package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// attemptRecord describes one attempt in the log: why it was sent, what was expected, and how it ended.
type attemptRecord struct {
	service  string
	searcher string
	// cause is why the attempt was sent; REASON_UNSPECIFIED marks a first attempt.
	cause wire.Reason
	// at is the time from the start of the request to the choice of the searcher, expected the latency that was predicted, waited the time
	// from the choice until there was a connection, and took the time from the choice to the end.
	at       time.Duration
	expected time.Duration
	stalled  bool
	waited   time.Duration
	took     time.Duration
	ended    bool
	result   wire.Reason
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r *attemptRecord) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("service", r.service)
	encoder.AddString("searcher", r.searcher)
	if r.cause != wire.Reason_REASON_UNSPECIFIED {
		encoder.AddString("cause", reason.Name(r.cause))
	}
	encoder.AddDuration("at", r.at)
	encoder.AddDuration("expected", r.expected)
	if r.stalled {
		encoder.AddBool("stalled", true)
	}
	if r.waited >= minLoggedWait {
		encoder.AddDuration("waited", r.waited)
	}
	switch {
	case !r.ended:
		encoder.AddString("result", "open")
	case r.result == wire.Reason_REASON_UNSPECIFIED:
		encoder.AddString("result", "replied")
		encoder.AddDuration("took", r.took)
	default:
		encoder.AddString("result", reason.Name(r.result))
		encoder.AddDuration("took", r.took)
	}
	return nil
}

// attemptLog holds the attempts of a request in the order of sending.
type attemptLog []*attemptRecord

// minLoggedWait is the shortest wait for a connection that the log shows.
const minLoggedWait = time.Millisecond

// maxLoggedAttempts bounds the attempts in a log line.
const maxLoggedAttempts = 24

// MarshalLogArray implements zapcore.ArrayMarshaler. First attempts that succeeded are left out; the log line holds the total number of
// attempts.
func (l attemptLog) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	written := 0
	for _, r := range l {
		if r.firstTrySuccess() || written >= maxLoggedAttempts {
			continue
		}
		written++
		if err := encoder.AppendObject(r); err != nil {
			return err
		}
	}
	return nil
}

// firstTrySuccess reports whether the attempt was a first attempt of its part and got a reply.
func (r *attemptRecord) firstTrySuccess() bool {
	return r.ended && r.result == wire.Reason_REASON_UNSPECIFIED && r.cause == wire.Reason_REASON_UNSPECIFIED
}

// notable reports whether any attempt was other than a successful first attempt.
func (l attemptLog) notable() bool {
	for _, r := range l {
		if !r.firstTrySuccess() {
			return true
		}
	}
	return false
}

// lostConnection reports whether the connection of any attempt broke.
func (l attemptLog) lostConnection() bool {
	return slices.ContainsFunc(l, func(r *attemptRecord) bool { return r.result == wire.Reason_REASON_CONNECTION_LOST })
}

// log writes one line for an answer that is refused or incomplete, or that took more than one attempt for a part. The caller must hold mu.
func (f *fanout) log(now time.Time, answer Answer, fields ...zap.Field) {
	event := wire.Event_EVENT_REQUEST_REPEATED
	result := wire.Reason_REASON_UNSPECIFIED
	missing := 0
	switch answer := answer.(type) {
	case Refused:
		event, result = wire.Event_EVENT_REQUEST_FAILED, answer.Reason
	case Merged:
		missing = answer.Missing
		if missing > 0 {
			event = wire.Event_EVENT_ANSWER_PARTIAL
		}
	case Forwarded:
		if f.succeeded == 0 {
			event, result = wire.Event_EVENT_REQUEST_FAILED, f.parts[0].reason
		}
	}
	if event == wire.Event_EVENT_REQUEST_REPEATED && !f.attemptLog.notable() {
		return
	}
	if f.attemptLog.lostConnection() || f.engine.crashes.marks.suspected(now, f.fingerprint) {
		fields = append(fields, zap.String("fingerprint", quar.FormatFingerprint(f.fingerprint)))
	}
	f.engine.logger.Log(event, append(fields,
		zap.String("request", f.request.ID),
		zap.String("route", f.request.Route.Name()),
		zap.Uint64("version", f.request.Version),
		zap.String("reason", reason.Name(result)),
		zap.Bool("not_run", !f.mayHaveRun && f.succeeded == 0),
		zap.Duration("took", now.Sub(f.started)),
		zap.Duration("patience", f.deadline.Sub(f.started)),
		zap.Int("shards", len(f.parts)),
		zap.Int("missing", missing),
		zap.Int("attempts_sent", len(f.attemptLog)),
		zap.Strings("services_missing", f.missingServices()),
		zap.Array("attempts", f.attemptLog),
	)...)
}
