package pick

import (
	"math/rand/v2"
	"sync"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// queuedCost is the cost of a request that waited at the target lately, in
	// requests of this entry's own.
	queuedCost = 1.0
	// occupiedCost is the cost of a full target, in the same unit: less than one
	// request, since batch items among those reported make room.
	occupiedCost = 0.8
	// farCost is the cost of one step of distance: it decides between equals.
	farCost = 0.05
)

// LeastRequests takes the candidate with the fewest of this entry's own requests a slot,
// and among equals the one that reported less. Entries that spread their own
// requests evenly keep the sum of all of them even without talking.
type LeastRequests struct {
	// Random is guarded by the picker.
	Random *rand.Rand

	mu sync.Mutex
}

var _ rhubarbgate.Picker = (*LeastRequests)(nil)

// Pick implements rhubarbgate.Picker.
func (l *LeastRequests) Pick(_ rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	best, lowest, ties := 0, 0.0, 0
	for i, x := range c {
		cost := l.cost(x)
		switch {
		case i == 0 || cost < lowest:
			best, lowest, ties = i, cost, 1
		case cost == lowest:
			ties++
			if l.Random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (l *LeastRequests) cost(c rhubarbgate.Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	return float64(c.Inflight) + queuedCost*float64(c.Queued) + occupiedCost*float64(c.Reported)/slots + farCost*float64(c.Distance-1)
}
