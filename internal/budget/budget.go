// Package budget limits the extra attempts of hedging and retrying to a fixed share of first attempts: each first attempt
// earns one unit, and each extra attempt costs several.
package budget

import "sync/atomic"

// Budget is a balance in units between 0 and a limit. It is safe for concurrent use.
type Budget struct {
	limit   int64
	balance atomic.Int64
}

// New returns a budget with an initial balance and an upper limit of the balance.
func New(initial, limit int64) *Budget {
	b := &Budget{limit: limit}
	b.balance.Store(min(initial, limit))
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

// Spend deducts a cost if the balance covers it, and reports whether it did.
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
