// Package order decides which batch job gets the next lease.
package order

import (
	"math/rand/v2"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// FirstCome takes the job that was created first. It is the baseline for Deadline.
type FirstCome struct{}

var _ rhubarbgate.Order = FirstCome{}

// Next implements rhubarbgate.Order.
func (FirstCome) Next(_ time.Time, jobs []rhubarbgate.PendingJob) int {
	best := 0
	for i := range jobs {
		if jobs[i].Created.Before(jobs[best].Created) {
			best = i
		}
	}
	return best
}

// DefaultWeightedShare is the usual value of Deadline.WeightedShare.
const DefaultWeightedShare = 0.2

// Deadline takes the job with the earliest deadline. Jobs that are expected to miss their
// deadline come after all others, and those that have missed it come last. A share of the leases goes
// instead to the workspace with the fewest leases relative to its weight, so that a
// workspace whose deadlines are distant is not starved.
type Deadline struct {
	// WeightedShare is the probability, from 0 to 1, that a lease goes by workspace
	// weight instead of deadline.
	WeightedShare float64
	// Random decides which leases go by weight.
	Random *rand.Rand

	leasesPerWeight map[string]float64 // leases divided by weight, by workspace; see halvingThreshold
}

var _ rhubarbgate.Order = (*Deadline)(nil)

// halvingThreshold is the value of one workspace's leasesPerWeight at which all are
// halved. It bounds the values and gives recent leases more influence.
const halvingThreshold = 1 << 16

// Next implements rhubarbgate.Order. It counts a lease for the job that it returns.
func (d *Deadline) Next(now time.Time, jobs []rhubarbgate.PendingJob) int {
	if d.leasesPerWeight == nil {
		d.leasesPerWeight = map[string]float64{}
	}
	best := d.earliestDue(now, jobs)
	if d.Random.Float64() < d.WeightedShare {
		best = d.leastServed(now, jobs)
	}
	d.countLease(jobs[best])
	return best
}

// earliestDue returns the index of the job that is first by dueBefore.
func (d *Deadline) earliestDue(now time.Time, jobs []rhubarbgate.PendingJob) int {
	best := 0
	for i := range jobs {
		if dueBefore(now, jobs[i], jobs[best]) {
			best = i
		}
	}
	return best
}

// prospect says whether a job can still end by its due time. Jobs with a better prospect are
// served first: under overload the items of all jobs would otherwise end shortly after
// their due time.
type prospect uint8

const (
	// inTime jobs can end by their due time.
	inTime prospect = iota
	// partlyLate jobs cannot end by their due time at the recent completion rate, but
	// some of their items can.
	partlyLate
	// late jobs are past due, or have no pending item that can end by then.
	late
)

// prospectOf returns the prospect of a job.
func prospectOf(now time.Time, j rhubarbgate.PendingJob) prospect {
	left := j.Due.Sub(now)
	switch {
	case left <= 0 || j.NextItem > left:
		return late
	case j.ItemsPerSecond > 0 && float64(j.Remaining)/j.ItemsPerSecond > left.Seconds():
		return partlyLate
	default:
		return inTime
	}
}

// dueBefore reports whether job a is served before job b: the one with the better prospect,
// or of two with the same the one that is due first.
func dueBefore(now time.Time, a, b rhubarbgate.PendingJob) bool {
	prospectA, prospectB := prospectOf(now, a), prospectOf(now, b)
	if prospectA != prospectB {
		return prospectA < prospectB
	}
	return a.Due.Before(b.Due)
}

// leastServed returns the index of a job of the workspace with the fewest leases for
// its weight. If several have the fewest, dueBefore decides.
func (d *Deadline) leastServed(now time.Time, jobs []rhubarbgate.PendingJob) int {
	best := 0
	for i := range jobs {
		a, b := d.leasesPerWeight[jobs[i].Workspace], d.leasesPerWeight[jobs[best].Workspace]
		if a < b || (a == b && dueBefore(now, jobs[i], jobs[best])) {
			best = i
		}
	}
	return best
}

// countLease counts one lease for the job's workspace. A weight of 0 or less counts
// as 1.
func (d *Deadline) countLease(j rhubarbgate.PendingJob) {
	w := j.Weight
	if w <= 0 {
		w = 1
	}
	d.leasesPerWeight[j.Workspace] += 1 / w
	if d.leasesPerWeight[j.Workspace] < halvingThreshold {
		return
	}
	for k := range d.leasesPerWeight {
		d.leasesPerWeight[k] /= 2
	}
}
