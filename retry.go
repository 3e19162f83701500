package rhubarbgate

// RetryBudget limits retries to a share of recent successful requests.
type RetryBudget interface {
	// RecordSuccess records a request that succeeded, at whichever attempt.
	RecordSuccess()
	// Withdraw takes one retry from the budget, or returns false if none is left.
	Withdraw() bool
}
