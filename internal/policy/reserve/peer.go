package reserve

import "time"

const (
	// MissesBeforePause is how many asks in a row a side may leave without a reply, and MissPause how long
	// it is not asked then.
	MissesBeforePause = 3
	MissPause         = time.Second
)

// Peer is what an entry knows of the side of one target. The zero value is a side that was never asked.
type Peer struct {
	misses      int // in a row
	pausedUntil time.Time
}

// Replied records a reply.
func (p *Peer) Replied() { *p = Peer{} }

// Missed records an ask without a reply, and reports whether the side is not asked for MissPause from now on.
// After the pause one more miss begins the next one.
func (p *Peer) Missed(now time.Time) bool {
	p.misses = min(p.misses+1, MissesBeforePause)
	if p.misses < MissesBeforePause {
		return false
	}
	p.pausedUntil = now.Add(MissPause)
	return true
}

// Paused reports whether the side is not asked now.
func (p *Peer) Paused(now time.Time) bool { return p != nil && now.Before(p.pausedUntil) }

// ChoosesUnasked reports whether a request goes to one of the targets whose sides are paused, without asking.
// They get as many requests each as the others, so that a target is not idle because its side is down. The
// point is random in [0, 1).
func ChoosesUnasked(paused, candidates int, point float64) bool {
	return point*float64(candidates) < float64(paused)
}
