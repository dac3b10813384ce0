package roster

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHeartbeat measures one heartbeat of a node by fleet size, without the network exchanges.
func BenchmarkHeartbeat(b *testing.B) {
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
					states[i].Heartbeat += minRemoteHeartbeatAdvance
				}
				r.Merge(now, states)
				b.StartTimer()
				r.RecordHeartbeat(0)
				r.NextExchanges(now, []string{"n1:2", "n2:2", "n3:2"})
				for i := range 2 {
					at := now.Add(time.Duration(i) * 250 * time.Millisecond)
					r.FirstInRegion(at, 2)
					r.SharingNodes(at, 0.01)
					r.IsActive(at)
				}
			}
		})
	}
}
