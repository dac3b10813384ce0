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
	// maxLinesPerSecond is the number of lines of one event that are written per second. Further lines are dropped and counted.
	maxLinesPerSecond = 100
	// maxBufferedLines is the number of lines that are buffered for a slow output. Further lines are dropped and counted.
	maxBufferedLines = 2048
	// dropReportInterval is the interval at which the number of dropped lines is logged.
	dropReportInterval = 10 * time.Second
)

// BoundedLogger is a logger with a rate limit per event that never blocks its callers.
type BoundedLogger struct {
	*Logger
	writer *asyncWriter
	core   *rateLimitedCore
	stop   chan struct{}
	tasks  sync.WaitGroup
}

// NewBoundedLogger returns a logger that writes JSON lines of the given level and above to w, in a goroutine of its own. Close
// flushes it.
func NewBoundedLogger(w io.Writer, level string) (*BoundedLogger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	writer := &asyncWriter{lines: make(chan []byte, maxBufferedLines)}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := &rateLimitedCore{
		Core:   zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, parsed),
		counts: &eventCounts{counts: make(map[string]int)},
	}
	b := &BoundedLogger{Logger: &Logger{zap: zap.New(core)}, writer: writer, core: core, stop: make(chan struct{})}
	b.tasks.Go(func() { writer.run(w) })
	b.tasks.Go(b.reportDrops)
	return b, nil
}

// Close writes the buffered lines and stops the logger. Lines logged after Close are dropped.
func (b *BoundedLogger) Close() {
	close(b.stop)
	b.writer.close()
	b.tasks.Wait()
}

func (b *BoundedLogger) reportDrops() {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			if n := b.writer.dropped.Swap(0) + b.core.counts.takeDropped(); n > 0 {
				b.Log(wire.Event_EVENT_LINES_DROPPED, zap.Int64("lines", n))
			}
		}
	}
}

// asyncWriter buffers lines for a goroutine that writes them.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (a *asyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (a *asyncWriter) Sync() error { return nil }

func (a *asyncWriter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	close(a.lines)
}

// run writes the lines to w until the writer is closed. Each call of Write holds the lines that are buffered by then, at most
// maxBufferedLines.
func (a *asyncWriter) run(w io.Writer) {
	var batch []byte
	for line := range a.lines {
		batch = append(batch[:0], line...)
		more := true
		for n := 1; more && n < maxBufferedLines; n++ {
			select {
			case next, ok := <-a.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// An error is ignored: without the output there is nowhere to report it.
		_, _ = w.Write(batch)
	}
}

// rateLimitedCore drops the lines of an event beyond maxLinesPerSecond. It never drops warnings and errors.
type rateLimitedCore struct {
	zapcore.Core
	counts *eventCounts
}

// With implements zapcore.Core.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: c.Core.With(fields), counts: c.counts}
}

// Check implements zapcore.Core.
func (c *rateLimitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if entry.Level < zapcore.WarnLevel && !c.counts.allow(entry.Message, entry.Time) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// eventCounts counts the lines of each event in the current second, and the lines dropped since the last takeDropped.
type eventCounts struct {
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	dropped int64
}

func (c *eventCounts) allow(event string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := at.Unix(); second != c.second {
		c.second = second
		clear(c.counts)
	}
	c.counts[event]++
	if c.counts[event] > maxLinesPerSecond {
		c.dropped++
		return false
	}
	return true
}

func (c *eventCounts) takeDropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.dropped
	c.dropped = 0
	return n
}
