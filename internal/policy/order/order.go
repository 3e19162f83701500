// Package order decides which batch job gets the next lease.
package order

import (
	"math/rand/v2"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// FirstCome is a baseline: the oldest job first.
type FirstCome struct{}

var _ rhubarbgate.Order = FirstCome{}

// Next implements rhubarbgate.Order.
func (FirstCome) Next(_ time.Time, lots []rhubarbgate.PendingJob) int {
	best := 0
	for i := range lots {
		if lots[i].Created.Before(lots[best].Created) {
			best = i
		}
	}
	return best
}

// DefaultFloor is the share of leases that goes by workspace weight alone.
const DefaultFloor = 0.2

// Deadline takes the job that is due first, but gives a floor share of the
// leases to the workspace that has had the least for its weight. Jobs that are
// past due come after those that can still make it.
type Deadline struct {
	// Floor is between 0 and 1.
	Floor float64
	// Random decides which leases go by the floor.
	Random *rand.Rand

	served map[string]float64 // leases over weight, decayed
}

var _ rhubarbgate.Order = (*Deadline)(nil)

// servedLimit is when the served counts are halved.
const servedLimit = 1 << 16

// Next implements rhubarbgate.Order.
func (d *Deadline) Next(now time.Time, lots []rhubarbgate.PendingJob) int {
	if d.served == nil {
		d.served = map[string]float64{}
	}
	best := d.earliest(now, lots)
	if d.Random.Float64() < d.Floor {
		best = d.leastServed(now, lots)
	}
	d.charge(lots[best])
	return best
}

func (d *Deadline) earliest(now time.Time, lots []rhubarbgate.PendingJob) int {
	best := 0
	for i := range lots {
		if before(now, lots[i], lots[best]) {
			best = i
		}
	}
	return best
}

// before orders two jobs by due time, late ones last.
func before(now time.Time, a, b rhubarbgate.PendingJob) bool {
	lateA, lateB := late(now, a), late(now, b)
	if lateA != lateB {
		return lateB
	}
	return a.Due.Before(b.Due)
}

// late reports whether the job cannot end before its due time.
func late(now time.Time, l rhubarbgate.PendingJob) bool {
	left := l.Due.Sub(now)
	if left <= 0 {
		return true
	}
	return l.ItemsPerSecond > 0 && float64(l.Remaining)/l.ItemsPerSecond > left.Seconds()
}

func (d *Deadline) leastServed(now time.Time, lots []rhubarbgate.PendingJob) int {
	best := 0
	for i := range lots {
		a, b := d.served[lots[i].Workspace], d.served[lots[best].Workspace]
		if a < b || (a == b && before(now, lots[i], lots[best])) {
			best = i
		}
	}
	return best
}

func (d *Deadline) charge(l rhubarbgate.PendingJob) {
	w := l.Weight
	if w <= 0 {
		w = 1
	}
	d.served[l.Workspace] += 1 / w
	if d.served[l.Workspace] < servedLimit {
		return
	}
	for k := range d.served {
		d.served[k] /= 2
	}
}
