package limit

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// Static is a baseline: each of a fixed number of entries gets an equal part of
// the rate and the burst, without any messages.
type Static struct {
	Clock   clockwork.Clock
	Rates   func(workspace string) (Rate, bool)
	Entries int
	// Empty buckets start without tokens.
	Empty bool

	mu      sync.Mutex
	buckets map[string]*bucket
}

var _ rhubarbgate.Limiter = (*Static)(nil)

// Take implements rhubarbgate.Limiter.
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
		b = &bucket{at: now}
		if !s.Empty {
			b.level = burst
		}
		s.buckets[workspace] = b
	}
	perSecond := rate.PerSecond / float64(s.Entries)
	b.level = math.Min(burst, b.level+perSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < n {
		return false, minWait
	}
	b.level -= n
	return true, 0
}
