// Package parents decides which of its parents a daemon asks for the configuration.
package parents

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
)

// Order remembers which parents failed. It is not safe for concurrent use.
type Order struct {
	Clock  clockwork.Clock
	Random *rand.Rand

	failedAt map[netip.AddrPort]time.Time
}

// Failed records that a parent did not reply in time, or not with a current configuration.
func (o *Order) Failed(parent netip.AddrPort) {
	if o.failedAt == nil {
		o.failedAt = map[netip.AddrPort]time.Time{}
	}
	o.failedAt[parent] = o.Clock.Now()
}

// Replied records that a parent replied with a current configuration.
func (o *Order) Replied(parent netip.AddrPort) { delete(o.failedAt, parent) }

// Next returns the parent to ask next: a random one of those that did not fail, so that daemons that
// lose a parent at the same time spread over the others, or else the one that failed the longest ago.
func (o *Order) Next(parents []netip.AddrPort) netip.AddrPort {
	o.forget(parents)
	var next netip.AddrPort
	var nextFailedAt time.Time
	equal := 0
	for _, p := range parents {
		at := o.failedAt[p]
		switch {
		case equal == 0 || at.Before(nextFailedAt):
			next, nextFailedAt, equal = p, at, 1
		case at.Equal(nextFailedAt):
			if equal++; o.Random.IntN(equal) == 0 {
				next = p
			}
		}
	}
	return next
}

// forget drops what is known of hosts that are no parents any more.
func (o *Order) forget(parents []netip.AddrPort) {
	if len(o.failedAt) <= len(parents) {
		return
	}
	kept := make(map[netip.AddrPort]time.Time, len(parents))
	for _, p := range parents {
		if at, ok := o.failedAt[p]; ok {
			kept[p] = at
		}
	}
	o.failedAt = kept
}
