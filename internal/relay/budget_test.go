package relay

import (
	"testing"
	"time"
)

// Guards against nodes that start at the same time and each spend the budget of extra attempts of all of them, since they do not know the others
// yet.
func TestBudgetOfNodesThatStart(t *testing.T) {
	const nodes = 8
	budget := Budget{Share: 0.2, Allowance: 56, Window: 10 * time.Second}
	tests := map[string]struct {
		counts NodeCounts
		want   int
	}{
		"not known yet": {counts: NodeCounts{Active: 1, SelfActive: true, Discovering: true}, want: int(budget.Allowance)},
		"known":         {counts: NodeCounts{Active: nodes, SelfActive: true}, want: int(budget.Allowance)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := 0
			for range nodes {
				e := newEngine(func() time.Time { return start })
				e.SetBudget(budget)
				e.SetNodes(test.counts)
				for e.allowExtraAttempt(start, "one") {
					got++
				}
			}
			if got > test.want {
				t.Errorf("%d nodes: got %d extra attempts without requests, want at most %d", nodes, got, test.want)
			}
		})
	}
}
