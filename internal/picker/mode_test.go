package picker

import (
	"testing"
	"time"
)

// TestEqualCostIgnoresLatency guards against EqualCost, the baseline of load tests, preferring fast replicas.
func TestEqualCostIgnoresLatency(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewWith(Settings{Ranking: EqualCost{}})
	p.Sent("slow")
	p.Replied(now, "slow", time.Second)
	if slow, unknown := p.Cost(now, "slow"), p.Cost(now, "unknown"); slow != unknown || slow == 0 {
		t.Errorf("got costs %v and %v, want the same above 0", slow, unknown)
	}
}
