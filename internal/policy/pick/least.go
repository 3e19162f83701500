package pick

import (
	"math/rand/v2"
	"sync"

	"rhubarbgate.example/rhubarbgate"
)

// Costs of LeastRequests. The unit is one request of this entry in flight at the
// target.
const (
	// queuedCost is the cost of a request that was queued at the target in its last
	// report.
	queuedCost = 1.0
	// occupiedCost is the cost of a target with all slots occupied. It is less than
	// one request, since batch items among the reported ones are preempted for
	// online requests.
	occupiedCost = 0.8
	// distanceCost is the cost of one step of distance. It is small, so that distance
	// decides only between targets of nearly equal load.
	distanceCost = 0.05
	// connectCost is the cost of opening a connection. It decides only between targets
	// that are equal otherwise: a new connection delays the request, and may hold a slot.
	connectCost = 0.04
	// limitedCost is the cost of a target that states a limit. Such a target is spared while others
	// are nearly idle, which also saves its tokens for when they are not.
	limitedCost = 0.6
	// slowCost is the cost per unit of slowness above the usual one. A target that takes 2.5 times the
	// usual time is chosen after one with half of its slots taken, as it may be so for a moment only.
	slowCost = 0.3
)

// LeastRequests picks the candidate with the fewest requests of this entry in flight
// and requests reported as queued; among equals, the one with the lower reported
// load. If each entry spreads its own requests evenly, the sum over all entries is
// even too, without communication between them. It is safe for concurrent use.
type LeastRequests struct {
	// Random chooses among candidates of equal cost. The picker serializes its use;
	// nothing else may use it.
	Random *rand.Rand

	mu sync.Mutex
}

var _ rhubarbgate.RankingPicker = (*LeastRequests)(nil)

// Pick implements rhubarbgate.Picker.
func (l *LeastRequests) Pick(_ rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	best, lowest, ties := 0, 0.0, 0
	for i := range c {
		cost := l.cost(&c[i])
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

// Rank implements rhubarbgate.RankingPicker. It inserts each candidate into the best ones found so far,
// in random order among those of equal cost.
func (l *LeastRequests) Rank(_ rhubarbgate.PickRequest, c []rhubarbgate.Candidate, best []int) int {
	var costs [maxRanked]float64
	var keys [maxRanked]uint64
	best = best[:min(len(best), maxRanked)]
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range c {
		cost, key := l.cost(&c[i]), l.Random.Uint64()
		at := n
		for at > 0 && (cost < costs[at-1] || cost == costs[at-1] && key < keys[at-1]) {
			at--
		}
		if at == len(best) {
			continue
		}
		n = min(n+1, len(best))
		copy(best[at+1:n], best[at:n-1])
		copy(costs[at+1:n], costs[at:n-1])
		copy(keys[at+1:n], keys[at:n-1])
		best[at], costs[at], keys[at] = i, cost, key
	}
	return n
}

// maxRanked bounds the candidates that Rank returns.
const maxRanked = 16

// cost returns the cost of the candidate in requests.
func (l *LeastRequests) cost(c *rhubarbgate.Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	connect := connectCost
	if c.Connected {
		connect = 0
	}
	limited := 0.0
	if c.Limited {
		limited = limitedCost
	}
	slow := slowCost * max(0, c.Slowness-1)
	return connect + limited + slow + float64(c.InFlight) + queuedCost*float64(c.Queued) + occupiedCost*float64(c.Reported)/slots + distanceCost*float64(c.Distance-1)
}
