// Package retry limits the load that retries add.
package retry

import (
	"sync"

	"rhubarbgate.example/rhubarbgate"
)

// Budget allows retries in proportion to successes. Its balance starts at MaxBalance,
// rises with each success and falls by 1 with each retry.
type Budget struct {
	// Ratio is the number of retries that one success adds to the balance.
	Ratio float64
	// MaxBalance is the largest number of retries in the balance.
	MaxBalance float64

	mu      sync.Mutex
	started bool // the balance was set to MaxBalance
	balance float64
}

var _ rhubarbgate.RetryBudget = (*Budget)(nil)

// start sets the balance to MaxBalance at the first use.
func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.balance = b.MaxBalance
	}
}

// RecordSuccess implements rhubarbgate.RetryBudget.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.balance = min(b.MaxBalance, b.balance+b.Ratio)
}

// Withdraw implements rhubarbgate.RetryBudget.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Unlimited allows every retry. It is the baseline for Budget.
type Unlimited struct{}

var _ rhubarbgate.RetryBudget = Unlimited{}

// RecordSuccess implements rhubarbgate.RetryBudget.
func (Unlimited) RecordSuccess() {}

// Withdraw implements rhubarbgate.RetryBudget.
func (Unlimited) Withdraw() bool { return true }
