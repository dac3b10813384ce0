package limit

import (
	"testing"
	"time"
)

// TestConstantIgnoresOutcomes guards against a constant limit, the baseline of load tests, that adapts to outcomes.
func TestConstantIgnoresOutcomes(t *testing.T) {
	const connections = 15
	now := time.Unix(1000, 0)
	l := New(Settings{Slots: 2, Connections: connections, Mode: Constant{}})
	for _, o := range []Outcome{Shed{}, Lost{}, Completed{Latency: time.Second}} {
		l.Observe(now, o)
		if got := l.Allowed(now); got != connections {
			t.Errorf("after %T: got %d, want %d", o, got, connections)
		}
	}
}
