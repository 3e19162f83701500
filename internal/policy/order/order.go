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

// Deadline takes the job with the earliest deadline. Jobs that have missed or are
// expected to miss their deadline come after all others. A share of the leases goes
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

// dueBefore reports whether job a is served before job b. Jobs are ordered by due time,
// except that those for which missesDue is true come after all others.
func dueBefore(now time.Time, a, b rhubarbgate.PendingJob) bool {
	missesA, missesB := missesDue(now, a), missesDue(now, b)
	if missesA != missesB {
		return missesB
	}
	return a.Due.Before(b.Due)
}

// missesDue reports whether the job is past due or cannot end by its due time at the
// recent completion rate.
func missesDue(now time.Time, j rhubarbgate.PendingJob) bool {
	left := j.Due.Sub(now)
	if left <= 0 {
		return true
	}
	return j.ItemsPerSecond > 0 && float64(j.Remaining)/j.ItemsPerSecond > left.Seconds()
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
