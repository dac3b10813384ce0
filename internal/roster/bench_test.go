package roster

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBeat measures the work of one heartbeat of a node by the number of nodes, exchanges excluded.
func BenchmarkBeat(b *testing.B) {
	for _, nodes := range []int{8, 68, 300, 2700} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			r := New(State{ID: "n0", Region: "r0", Zone: "z0", Phase: Ready, PeerAddress: "n0:2"}, Settings{})
			states := make([]State, 0, nodes)
			for i := 1; i < nodes; i++ {
				states = append(states, State{
					ID: fmt.Sprintf("n%d", i), Region: fmt.Sprintf("r%d", i%3), Zone: fmt.Sprintf("z%d", i%9), Phase: Ready,
					PeerAddress: fmt.Sprintf("n%d:2", i), Cores: 0.4,
				})
			}
			now := start
			for b.Loop() {
				b.StopTimer()
				now = now.Add(500 * time.Millisecond)
				for i := range states {
					states[i].Beat += farBeats
				}
				r.Merge(now, states)
				b.StartTimer()
				r.Beat(0)
				r.Greet(now, []string{"n1:2", "n2:2", "n3:2"})
				for i := range 2 {
					at := now.Add(time.Duration(i) * 250 * time.Millisecond)
					r.First(at, 2)
					r.Sharers(at, 0.01)
					r.IsActive(at)
				}
			}
		})
	}
}
