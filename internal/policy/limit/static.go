package limit

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// Static gives each of a fixed number of entries an equal part of the rate and the
// burst, without any messages. With one entry it is a plain token bucket; with more,
// it is the baseline that Holder and Owner are compared with.
type Static struct {
	Clock clockwork.Clock
	// Rates returns the limit of a workspace, or false if it has none.
	Rates func(workspace string) (Rate, bool)
	// Entries is the number of entries that share each rate.
	Entries int
	// Empty makes buckets start without tokens, instead of full.
	Empty bool

	mu      sync.Mutex
	buckets map[string]*bucket
}

var _ rhubarbgate.Limiter = (*Static)(nil)

// Uniform returns a limiter that gives each workspace the same rate. Its buckets hold the tokens of a second, and at
// least one.
func Uniform(clock clockwork.Clock, perSecond float64) *Static {
	rate := Rate{PerSecond: perSecond, Burst: math.Max(1, perSecond)}
	return &Static{Clock: clock, Rates: func(string) (Rate, bool) { return rate, true }, Entries: 1}
}

// Take implements rhubarbgate.Limiter. The time that it returns with a refusal is a
// fixed value, not an estimate.
func (s *Static) Take(workspace string, n float64) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, ok := s.Rates(workspace)
	if !ok {
		return false, time.Second
	}
	now := s.Clock.Now()
	burst := rate.Burst / float64(s.Entries)
	b := s.buckets[workspace]
	if b == nil {
		if s.buckets == nil {
			s.buckets = map[string]*bucket{}
		}
		b = &bucket{refilledAt: now}
		if !s.Empty {
			b.level = burst
		}
		s.buckets[workspace] = b
	}
	perSecond := rate.PerSecond / float64(s.Entries)
	b.level = math.Min(burst, b.level+perSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.level < n {
		return false, minWait
	}
	b.level -= n
	return true, 0
}
