package relay

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// step is one attempt as the log shows it: why it went where it did, and how it ended.
type step struct {
	service  string
	searcher string
	// cause is why it was sent; REASON_UNSPECIFIED is the first attempt.
	cause wire.Reason
	// at is the time since the request began, expected the latency that was expected of the searcher, took the time until its end.
	at       time.Duration
	expected time.Duration
	stalled  bool
	took     time.Duration
	ended    bool
	result   wire.Reason
}

// MarshalLogObject is part of zapcore.ObjectMarshaler.
func (s *step) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("service", s.service)
	encoder.AddString("searcher", s.searcher)
	if s.cause != wire.Reason_REASON_UNSPECIFIED {
		encoder.AddString("cause", reason.Name(s.cause))
	}
	encoder.AddDuration("at", s.at)
	encoder.AddDuration("expected", s.expected)
	if s.stalled {
		encoder.AddBool("stalled", true)
	}
	switch {
	case !s.ended:
		encoder.AddString("result", "open")
	case s.result == wire.Reason_REASON_UNSPECIFIED:
		encoder.AddString("result", "replied")
		encoder.AddDuration("took", s.took)
	default:
		encoder.AddString("result", reason.Name(s.result))
		encoder.AddDuration("took", s.took)
	}
	return nil
}

// trail is the attempts of a request in the order of sending.
type trail []*step

// maxSteps bounds the attempts in a log line.
const maxSteps = 24

// MarshalLogArray is part of zapcore.ArrayMarshaler. Attempts that replied at once are left out: their number is in the line.
func (t trail) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	written := 0
	for _, s := range t {
		if s.plain() || written >= maxSteps {
			continue
		}
		written++
		if err := encoder.AppendObject(s); err != nil {
			return err
		}
	}
	return nil
}

// plain reports whether an attempt was the first of its part and replied.
func (s *step) plain() bool {
	return s.ended && s.result == wire.Reason_REASON_UNSPECIFIED && s.cause == wire.Reason_REASON_UNSPECIFIED
}

// troubled reports whether any attempt was not plain.
func (t trail) troubled() bool {
	for _, s := range t {
		if !s.plain() {
			return true
		}
	}
	return false
}

// log writes one line for an answer that is not whole or took more than one attempt at a shard. The caller holds mu.
func (f *flight) log(now time.Time, answer Answer, fields ...zap.Field) {
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
		if f.good == 0 {
			event, result = wire.Event_EVENT_REQUEST_FAILED, f.parts[0].reason
		}
	}
	if event == wire.Event_EVENT_REQUEST_REPEATED && !f.trail.troubled() {
		return
	}
	f.engine.logger.Log(event, append(fields,
		zap.String("request", f.request.ID),
		zap.String("route", f.request.Route.Name()),
		zap.Uint64("version", f.request.Version),
		zap.String("reason", reason.Name(result)),
		zap.Bool("not_run", !f.uncertain && f.good == 0),
		zap.Duration("took", now.Sub(f.started)),
		zap.Duration("patience", f.deadline.Sub(f.started)),
		zap.Int("shards", len(f.parts)),
		zap.Int("missing", missing),
		zap.Int("attempts_sent", len(f.trail)),
		zap.Strings("services_missing", f.missing()),
		zap.Array("attempts", f.trail),
	)...)
}
