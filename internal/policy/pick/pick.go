// Package pick chooses a target for a request: by load and latency, by cached prefix, or round robin.
package pick

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// RoundRobin is a baseline that picks candidates in turn, whatever their load. It is
// safe for concurrent use.
type RoundRobin struct{ next atomic.Uint64 }

var _ rhubarbgate.Picker = (*RoundRobin)(nil)

// Pick implements rhubarbgate.Picker.
func (r *RoundRobin) Pick(_ rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	return int((r.next.Add(1) - 1) % uint64(len(c)))
}

const (
	// minLatency is the lower bound of the latency in a cost. It also applies to a target
	// that has not been used yet, whose measured latency is 0.
	minLatency = time.Millisecond
	// saturationUtilization is the utilization of the slots above which one more
	// request slows a target down.
	saturationUtilization = 0.75
	// utilizationCost is the relative cost of full utilization. It breaks ties between
	// targets below saturation.
	utilizationCost = 0.2
	// saturationCost is the relative cost per unit of utilization above
	// saturationUtilization.
	saturationCost = 4
)

// cost estimates how long a request takes at the candidate, in seconds, and adds a
// surcharge for distance, so that a nearer availability zone wins unless it is busier.
// A target that batches its streams hardly slows down with more of them until it is
// saturated.
func cost(c rhubarbgate.Candidate) float64 {
	utilization := float64(load(c)+1) / float64(max(c.Slots, 1))
	slowdown := 1 + utilizationCost*utilization + saturationCost*max(0, utilization-saturationUtilization)
	return (max(c.Latency, minLatency).Seconds()*slowdown + c.Wait.Seconds()) * distanceFactor(c.Distance)
}

// distanceCostFactor is the relative cost of each step of distance after the first.
const distanceCostFactor = 0.25

// distanceFactor returns the factor by which distance raises a cost. A distance of 0
// counts as 1.
func distanceFactor(distance int) float64 {
	return 1 + distanceCostFactor*float64(max(distance, 1)-1)
}

// TwoChoices picks the cheaper of two random candidates (power of two choices). It is
// safe for concurrent use.
type TwoChoices struct {
	// Random chooses the two candidates. The picker serializes its use; nothing else
	// may use it.
	Random *rand.Rand

	mu sync.Mutex
}

var _ rhubarbgate.Picker = (*TwoChoices)(nil)

// Pick implements rhubarbgate.Picker.
func (t *TwoChoices) Pick(_ rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	if len(c) == 1 {
		return 0
	}
	t.mu.Lock()
	i := t.Random.IntN(len(c))
	j := t.Random.IntN(len(c) - 1)
	t.mu.Unlock()
	if j >= i {
		j++
	}
	if cost(c[j]) < cost(c[i]) {
		return j
	}
	return i
}
