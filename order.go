package rhubarbgate

import "time"

// PendingJob is a batch job with pending items, as an Order sees it.
type PendingJob struct {
	Job       string
	Workspace string
	Weight    float64
	Due       time.Time
	Created   time.Time
	// Pending counts items that wait for a lease.
	Pending int
	// Remaining counts items that are not yet terminal.
	Remaining int
	// ItemsPerSecond is the pace at which items of all jobs completed lately, which
	// the job would get if it were the only one; 0 means not known.
	ItemsPerSecond float64
}

// Order chooses from which batch job the next items are leased.
type Order interface {
	// Next returns the index of the lot to lease from. The slice is not empty
	// and every lot in it has pending items.
	Next(now time.Time, lots []PendingJob) int
}
