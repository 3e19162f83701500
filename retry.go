package rhubarbgate

// RetryBudget bounds retries to a share of recent successes.
type RetryBudget interface {
	// Succeed records a request that was answered at its first attempt or later.
	Succeed()
	// Withdraw takes one retry from the budget, or returns false.
	Withdraw() bool
}
