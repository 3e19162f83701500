package discovery

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Presence records since when the address of a target has been in use without a pause. The platform
// gives an address to a target of another service only after it was unused for ReuseDelay, so
// all targets that responded there since then are of one service. Set the exported fields
// before calling a method.
type Presence struct {
	Clock clockwork.Clock
	// ReuseDelay is how long the platform leaves an address unused; 0 means that it is not known, and
	// that any pause may have been long enough.
	ReuseDelay time.Duration

	mu    sync.Mutex
	since time.Time // when the first response after the last pause arrived
	sent  time.Time // when the last request that got a response was sent
}

// Observe records that a response to a request arrived which was sent at the given time. The
// target was there at some moment in between.
func (p *Presence) Observe(sent time.Time) {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused(now) {
		p.since = now
	}
	if sent.After(p.sent) {
		p.sent = sent
	}
}

// Since returns since when the address has been in use without a pause, or false if it may have been
// unused for long enough since the last response.
func (p *Presence) Since() (time.Time, bool) {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since, !p.paused(now)
}

// paused reports whether the address may have been unused for ReuseDelay by now. The lock is held.
func (p *Presence) paused(now time.Time) bool {
	return p.sent.IsZero() || now.Sub(p.sent) >= p.ReuseDelay
}
