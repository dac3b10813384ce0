package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// linesPerS is the number of lines a second of one event; what is above is dropped and counted.
	linesPerS = 100
	// bufferedLines is the number of lines that wait for a slow reader of the output before further ones are dropped.
	bufferedLines = 2048
	// dropReport is how often dropped lines are reported.
	dropReport = 10 * time.Second
)

// BoundedLogger is a logger whose volume is bounded and which never blocks its callers.
type BoundedLogger struct {
	*Logger
	sink *sink
	core *limited
	stop chan struct{}
	done sync.WaitGroup
}

// NewBoundedLogger returns a logger that writes JSON lines to w from the given level on, in a goroutine of its own. Close flushes it.
func NewBoundedLogger(w io.Writer, level string) (*BoundedLogger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	s := &sink{lines: make(chan []byte, bufferedLines)}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := &limited{
		Core:    zapcore.NewCore(zapcore.NewJSONEncoder(config), s, parsed),
		windows: &windows{counts: make(map[string]int)},
	}
	b := &BoundedLogger{Logger: &Logger{zap: zap.New(core)}, sink: s, core: core, stop: make(chan struct{})}
	b.done.Go(func() { s.run(w) })
	b.done.Go(b.reportDrops)
	return b, nil
}

// Close writes the lines that wait and ends the logger. Lines that are logged later are dropped.
func (b *BoundedLogger) Close() {
	close(b.stop)
	b.sink.close()
	b.done.Wait()
}

func (b *BoundedLogger) reportDrops() {
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			if n := b.sink.dropped.Swap(0) + b.core.windows.takeDropped(); n > 0 {
				b.Log(wire.Event_EVENT_LINES_DROPPED, zap.Int64("lines", n))
			}
		}
	}
}

// sink hands lines over to a goroutine that writes them.
type sink struct {
	lines   chan []byte
	dropped atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// Write is part of zapcore.WriteSyncer. It never blocks.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync is part of zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }

func (s *sink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.lines)
}

// run writes lines, as many at once as wait.
func (s *sink) run(w io.Writer) {
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case next, ok := <-s.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// Nobody is left to tell when the output is gone.
		_, _ = w.Write(batch)
	}
}

// limited drops the lines of an event beyond linesPerS. Warnings and errors are never dropped here.
type limited struct {
	zapcore.Core
	windows *windows
}

// With is part of zapcore.Core.
func (l *limited) With(fields []zapcore.Field) zapcore.Core {
	return &limited{Core: l.Core.With(fields), windows: l.windows}
}

// Check is part of zapcore.Core.
func (l *limited) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !l.Enabled(entry.Level) {
		return checked
	}
	if entry.Level < zapcore.WarnLevel && !l.windows.allow(entry.Message, entry.Time) {
		return checked
	}
	return checked.AddCore(entry, l)
}

// windows counts the lines of each event in the present second.
type windows struct {
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	dropped int64
}

func (w *windows) allow(event string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := at.Unix(); second != w.second {
		w.second = second
		clear(w.counts)
	}
	w.counts[event]++
	if w.counts[event] > linesPerS {
		w.dropped++
		return false
	}
	return true
}

func (w *windows) takeDropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}
