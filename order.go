package rhubarbgate

import "time"

// PendingJob describes a batch job with pending items to an Order.
type PendingJob struct {
	Job       string
	Workspace string
	Weight    float64
	Due       time.Time
	Created   time.Time
	// Pending is the number of items without a lease.
	Pending int
	// Remaining is the number of items that have not ended.
	Remaining int
	// ItemsPerSecond is the recent completion rate over all jobs, which is the rate
	// the job would get if it were the only one; 0 means not known.
	ItemsPerSecond float64
}

// Order chooses the batch job from which the next items are leased.
type Order interface {
	// Next returns the index of the job to lease from. The slice is not empty
	// and every job in it has pending items.
	Next(now time.Time, pending []PendingJob) int
}
