package stall

import (
	"net"
	"testing"
	"time"
)

// TestDisabledClosesNothing guards against a benchmark variant without silence detection that still closes connections.
func TestDisabledClosesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		mode Mode
		want bool
	}{
		"default":  {mode: nil, want: true},
		"disabled": {mode: Disabled{}, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := NewGroup(Settings{Mode: test.mode})
			local, remote := net.Pipe()
			defer remote.Close()
			go func() { _, _ = remote.Read(make([]byte, 1)) }()
			conn := g.Wrap(local, func() time.Time { return now })
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
