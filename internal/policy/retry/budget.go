// Package retry bounds how much load retries may add.
package retry

import (
	"sync"

	"rhubarbgate.example/rhubarbgate"
)

// Budget allows retries as a share of recent successes, and a few at the start.
type Budget struct {
	// Ratio is the number of retries that one success earns.
	Ratio float64
	// MaxBalance is the largest number of retries that may be saved up.
	MaxBalance float64

	mu      sync.Mutex
	started bool
	balance float64
}

var _ rhubarbgate.RetryBudget = (*Budget)(nil)

func (b *Budget) open() {
	if !b.started {
		b.started = true
		b.balance = b.MaxBalance
	}
}

// Succeed implements rhubarbgate.RetryBudget.
func (b *Budget) Succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	b.balance = min(b.MaxBalance, b.balance+b.Ratio)
}

// Withdraw implements rhubarbgate.RetryBudget.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Unlimited is a baseline that allows every retry.
type Unlimited struct{}

var _ rhubarbgate.RetryBudget = Unlimited{}

// Succeed implements rhubarbgate.RetryBudget.
func (Unlimited) Succeed() {}

// Withdraw implements rhubarbgate.RetryBudget.
func (Unlimited) Withdraw() bool { return true }
