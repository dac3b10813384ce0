// Package events logs the numbered events that the schema defines, each with its number, level, text and action for the operator.
package events

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Logger logs the events of the schema. The zero value is not usable; call New, NewBoundedLogger or Discard.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes JSON lines of the given level and above to w.
func New(w io.Writer, level string) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), parsed)
	return &Logger{zap: zap.New(core)}, nil
}

// Discard returns a logger that discards all events.
func Discard() *Logger { return &Logger{zap: zap.NewNop()} }

// With returns a logger that adds the fields to every event.
func (l *Logger) With(fields ...zap.Field) *Logger {
	return &Logger{zap: l.zap.With(fields...)}
}

// Log logs an event at the level that the schema defines for it.
func (l *Logger) Log(event wire.Event, fields ...zap.Field) {
	info := Info(event)
	entry := l.zap.Check(level(info), info.GetText())
	if entry == nil {
		return
	}
	entry.Write(append(fields, zap.Int32("event", int32(event)))...)
}

// Info returns the schema's description of an event, or an empty one for an unknown event.
func Info(event wire.Event) *wire.EventInfo {
	value := event.Descriptor().Values().ByNumber(event.Number())
	if value == nil {
		return &wire.EventInfo{}
	}
	return proto.GetExtension(value.Options(), wire.E_Event).(*wire.EventInfo)
}

func level(info *wire.EventInfo) zapcore.Level {
	parsed, err := zapcore.ParseLevel(info.GetLevel())
	if err != nil {
		return zapcore.InfoLevel
	}
	return parsed
}
