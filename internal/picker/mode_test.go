package picker

import (
	"testing"
	"time"
)

// TestInTurnRanksAllAlike guards against a comparison without the choice by latency that in fact prefers fast replicas.
func TestInTurnRanksAllAlike(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewWith(Settings{Ranking: EqualCost{}})
	p.Sent("slow")
	p.Replied(now, "slow", time.Second)
	if slow, unknown := p.Cost(now, "slow"), p.Cost(now, "unknown"); slow != unknown || slow == 0 {
		t.Errorf("got costs %v and %v, want the same above 0", slow, unknown)
	}
}
