// Package budget holds the extra attempts that hedging and retrying may send: first attempts earn them and each extra attempt costs
// several, so that they stay a fixed share of first attempts.
package budget

import "sync/atomic"

// Budget is a balance in units between 0 and a limit. It is safe for concurrent use.
type Budget struct {
	limit   int64
	balance atomic.Int64
}

// New returns a budget with a first balance and the greatest one.
func New(first, most int64) *Budget {
	b := &Budget{limit: most}
	b.balance.Store(min(first, most))
	return b
}

// Earn adds one unit for each of n first attempts, up to the limit.
func (b *Budget) Earn(n int) {
	if n <= 0 {
		return
	}
	for {
		balance := b.balance.Load()
		if balance >= b.limit || b.balance.CompareAndSwap(balance, min(balance+int64(n), b.limit)) {
			return
		}
	}
}

// Spend takes a cost from the balance and reports whether it sufficed.
func (b *Budget) Spend(cost int64) bool {
	for {
		balance := b.balance.Load()
		if balance < cost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-cost) {
			return true
		}
	}
}
