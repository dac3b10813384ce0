package stall

import (
	"net"
	"testing"
	"time"
)

// TestWaitingClosesNothing guards against a comparison without the detection of silent connections that in fact closes them.
func TestWaitingClosesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		mode Mode
		want bool
	}{
		"default": {mode: nil, want: true},
		"waiting": {mode: Disabled{}, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := NewGroup(Settings{Mode: test.mode})
			near, far := net.Pipe()
			defer far.Close()
			go func() { _, _ = far.Read(make([]byte, 1)) }()
			conn := g.Wrap(near, func() time.Time { return now })
			defer conn.Close()
			if _, err := conn.Write([]byte{1}); err != nil {
				t.Fatal(err)
			}
			late := now.Add(time.Minute)
			if got := g.NeedsProbe(late, time.Millisecond); got != test.want {
				t.Errorf("got NeedsProbe %v, want %v", got, test.want)
			}
		})
	}
}
