// Package pick chooses targets: by load and latency, by cached prefix, and by plain baselines.
package pick

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// RoundRobin is a baseline that takes candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

var _ rhubarbgate.Picker = (*RoundRobin)(nil)

// Pick implements rhubarbgate.Picker.
func (r *RoundRobin) Pick(_ rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	return int((r.next.Add(1) - 1) % uint64(len(c)))
}

// floorLatency is the latency assumed of a target that was not used yet.
const floorLatency = time.Millisecond

// cost estimates how long a request takes at the candidate, in seconds, raised
// with distance so that a nearer availability zone wins unless it is busier.
func cost(c rhubarbgate.Candidate) float64 {
	load := float64(max(c.Inflight, c.Reported)+1) / float64(max(c.Slots, 1))
	latency := max(c.Latency, floorLatency).Seconds()
	// Below its slots a target serves requests side by side; above, they queue.
	queue := max(1, load)
	return (latency*queue*(0.5+load) + c.Wait.Seconds()) * distanceFactor(c.Distance)
}

// distancePenalty is the relative cost of one more step of distance.
const distancePenalty = 0.25

func distanceFactor(distance int) float64 {
	return 1 + distancePenalty*float64(max(distance, 1)-1)
}

// TwoChoices compares two random candidates and takes the cheaper one.
type TwoChoices struct {
	// Random is guarded by the picker.
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
