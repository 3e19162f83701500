package rhubarbgate

import (
	"expvar"
	"math/rand/v2"
	"time"
)

const (
	defaultMaxAge = 4 * time.Second
	defaultGrace  = 90 * time.Second
	defaultLag    = 2 * time.Second
	defaultGroups = 3
	defaultSubset = 16
)

// newRandom returns a generator with a seed of its own; 0 draws one.
func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// newMetrics returns the counters published under a name, once a process.
func newMetrics(name string) *expvar.Map {
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		return m
	}
	return expvar.NewMap(name)
}
