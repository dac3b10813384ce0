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

// stuck is an output that takes nothing until it is released.
type stuck struct{ release chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// Guards against a logger that blocks requests while its output is stuck.
func TestBoundedNeverBlocks(t *testing.T) {
	output := stuck{release: make(chan struct{})}
	b, err := NewBoundedLogger(output, "info")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * bufferedLines {
			b.Log(wire.Event_EVENT_ALONE)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on a stuck output")
	}
	if got := b.sink.dropped.Load(); got < bufferedLines {
		t.Errorf("got %d dropped lines, want at least %d", got, bufferedLines)
	}
	close(output.release)
	b.Close()
}

// Guards against a volume that grows with the load, and against dropped warnings.
func TestBoundedVolume(t *testing.T) {
	tests := map[string]struct {
		event wire.Event
		lines int
		most  int
	}{
		"information": {event: wire.Event_EVENT_REQUEST_FAILED, lines: 1500, most: 3 * linesPerS},
		"a warning":   {event: wire.Event_EVENT_ALONE, lines: 500, most: 500},
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
			if got > test.most || got < min(test.most, linesPerS) {
				t.Errorf("got %d lines, want from %d to %d", got, min(test.most, linesPerS), test.most)
			}
		})
	}
}

// Guards against lines that are lost or mixed when the process ends.
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
