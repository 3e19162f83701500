package pick

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
)

// maxLoadFactor is the load, relative to the mean load per slot, up to which a target
// is chosen for its cached prefix, as in consistent hashing with bounded loads.
const maxLoadFactor = 1.25

const (
	// maxCostRatio is the cost, relative to the cheapest target, up to which a target
	// is chosen for its cached prefix.
	maxCostRatio = 1.75
	// prefixGenerationSize is the maximum number of prefixes in each of the two
	// generations that Affinity keeps.
	prefixGenerationSize = 4096
)

// Affinity sends requests with a recurring prefix to the same target, chosen by
// rendezvous hashing, so that they hit its prefix cache. Targets that are slow or
// above the load limit are left out. A new prefix is cached nowhere, so Fallback
// chooses its target. It is safe for concurrent use if Fallback is.
type Affinity struct {
	// Fallback picks for requests without a known prefix, and if all targets are
	// too slow or above the load limit.
	Fallback rhubarbgate.Picker

	mu             sync.Mutex
	recentPrefixes map[uint64]bool
	olderPrefixes  map[uint64]bool
}

var _ rhubarbgate.Picker = (*Affinity)(nil)

// Pick implements rhubarbgate.Picker.
func (a *Affinity) Pick(r rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	if r.Prefix == 0 || len(c) == 1 || !a.recordPrefix(r.Prefix) {
		return a.Fallback.Pick(r, c)
	}
	maxLoad, cheapest := maxLoadPerSlot(c), lowestCost(c)
	best, bestScore := -1, uint64(0)
	for i, x := range c {
		overloaded := float64(load(x)+1) > maxLoad*float64(max(x.Slots, 1))
		if overloaded || cost(x) > maxCostRatio*cheapest {
			continue
		}
		if s := rendezvous(r.Prefix, x.Name); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return a.Fallback.Pick(r, c)
	}
	return best
}

// recordPrefix records the prefix and reports whether it was recorded already. When
// the recent generation is full, it becomes the older one, and the prefixes of the
// previous older one are dropped.
func (a *Affinity) recordPrefix(prefix uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.recentPrefixes[prefix] || a.olderPrefixes[prefix]
	if a.recentPrefixes == nil || len(a.recentPrefixes) >= prefixGenerationSize {
		a.olderPrefixes, a.recentPrefixes = a.recentPrefixes, map[uint64]bool{}
	}
	a.recentPrefixes[prefix] = true
	return known
}

// lowestCost returns the cost of the cheapest candidate.
func lowestCost(c []rhubarbgate.Candidate) float64 {
	lowest := cost(c[0])
	for _, x := range c[1:] {
		lowest = min(lowest, cost(x))
	}
	return lowest
}

// load returns the number of requests at the candidate: this entry's own or those in
// the target's last report, whichever is more.
func load(c rhubarbgate.Candidate) int { return max(c.InFlight, c.Reported) }

// maxLoadPerSlot returns the load per slot that a target may reach. It allows for one
// more request at each target; otherwise an idle fleet would accept none.
func maxLoadPerSlot(c []rhubarbgate.Candidate) float64 {
	slots, total := 0, 0
	for _, x := range c {
		slots += max(x.Slots, 1)
		total += load(x)
	}
	return maxLoadFactor * float64(total+len(c)) / float64(slots)
}

// rendezvous returns the rendezvous hash of a target for a prefix: the target with the
// highest hash is preferred.
func rendezvous(prefix uint64, name string) uint64 {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), prefix)
	return xxhash.Sum64(append(b, name...))
}

// HelperCost chooses by the cost function of Hofmann et al., "Caching Techniques
// for Streaming Multimedia over the Internet": network distance times
// maxLoad/(maxLoad-currentLoad). The paper's helpers are the targets here. It is a
// baseline for comparison.
type HelperCost struct{}

var _ rhubarbgate.Picker = HelperCost{}

// noFreeSlotCost replaces the infinite cost of a target without a free slot. It is
// multiplied by the load, so that the least loaded of such targets is chosen.
const noFreeSlotCost = 1e6

// Pick implements rhubarbgate.Picker.
func (HelperCost) Pick(_ rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	best := 0
	for i := range c {
		if helperCost(c[i]) < helperCost(c[best]) {
			best = i
		}
	}
	return best
}

// helperCost returns the value of the cost function for the candidate.
func helperCost(c rhubarbgate.Candidate) float64 {
	free := c.Slots - load(c)
	if free <= 0 {
		return noFreeSlotCost * float64(1+load(c))
	}
	return float64(max(c.Distance, 1)) * float64(c.Slots) / float64(free)
}
