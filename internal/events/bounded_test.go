package events

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// Guards against a logger that blocks its callers while the output is blocked.
func TestBoundedNeverBlocks(t *testing.T) {
	output := blockedWriter{release: make(chan struct{})}
	b, err := NewBoundedLogger(output, "info")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxBufferedLines {
			b.Log(wire.Event_EVENT_ALONE)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on a blocked output")
	}
	if got := b.writer.dropped.Load(); got < maxBufferedLines {
		t.Errorf("got %d dropped lines, want at least %d", got, maxBufferedLines)
	}
	close(output.release)
	b.Close()
}

// lineCounter records the number of lines of each write.
type lineCounter struct{ lines []int }

func (c *lineCounter) Write(batch []byte) (int, error) {
	c.lines = append(c.lines, bytes.Count(batch, []byte("\n")))
	return len(batch), nil
}

// Guards against a batch that grows without bound while lines come as fast as they are collected.
func TestBatchIsBounded(t *testing.T) {
	const lines = 3 * maxBufferedLines
	w := &asyncWriter{lines: make(chan []byte, lines)}
	for range lines {
		w.lines <- []byte("line\n")
	}
	close(w.lines)
	var output lineCounter
	w.run(&output)
	total := 0
	for _, n := range output.lines {
		total += n
		if n > maxBufferedLines {
			t.Errorf("got a write of %d lines, want at most %d", n, maxBufferedLines)
		}
	}
	if total != lines {
		t.Errorf("got %d lines, want %d", total, lines)
	}
}

// Guards against a log volume that grows with the load, and against dropped warnings.
func TestBoundedVolume(t *testing.T) {
	tests := map[string]struct {
		event    wire.Event
		lines    int
		maxLines int
	}{
		"info":    {event: wire.Event_EVENT_REQUEST_FAILED, lines: 1500, maxLines: 3 * maxLinesPerSecond},
		"warning": {event: wire.Event_EVENT_ALONE, lines: 500, maxLines: 500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			b, err := NewBoundedLogger(&out, "info")
			if err != nil {
				t.Fatal(err)
			}
			for i := range test.lines {
				b.With(zap.Int("i", i)).Log(test.event)
			}
			b.Close()
			got := strings.Count(out.String(), "\n")
			if got > test.maxLines || got < min(test.maxLines, maxLinesPerSecond) {
				t.Errorf("got %d lines, want from %d to %d", got, min(test.maxLines, maxLinesPerSecond), test.maxLines)
			}
		})
	}
}

// Guards against lines that are lost or interleaved when the logger is closed.
func TestBoundedFlushes(t *testing.T) {
	reader, writer := io.Pipe()
	b, err := NewBoundedLogger(writer, "info")
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(reader)
		read <- string(data)
	}()
	for range 20 {
		b.Log(wire.Event_EVENT_NODE_READY)
	}
	b.Close()
	b.Log(wire.Event_EVENT_NODE_READY)
	writer.Close()
	lines := strings.Split(strings.TrimSpace(<-read), "\n")
	if len(lines) != 20 {
		t.Errorf("got %d lines, want 20", len(lines))
	}
	for _, line := range lines {
		if !strings.HasPrefix(line, "{") || !strings.HasSuffix(line, "}") {
			t.Errorf("got line %q, want one JSON object", line)
		}
	}
}
