package reserve

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// slownessTTL is how long a service counts as contended after one of its targets stated a slowness.
	slownessTTL = time.Minute
	// contentionTTL is how long sides are asked after a response or an offer showed contention.
	contentionTTL = 2 * time.Second
	// busyNumerator and busyDenominator are the share of a target's slots from which it counts as busy.
	busyNumerator, busyDenominator = 5, 8
	// suspicionTTL is how long a response counts that shows a busy target. It does not tell online
	// requests from batch items, so that only an offer can confirm it.
	suspicionTTL = 400 * time.Millisecond
	// suspicionInterval is the least time between two requests that are asked for on suspicion.
	suspicionInterval = 250 * time.Millisecond
	// defaultHold is used until the first request ended.
	defaultHold = 500 * time.Millisecond
	// maxHold bounds a sample: a longer one waited for its caller.
	maxHold = 10 * time.Second
	// holdWeight is the weight of a new sample in the mean hold time, that of about 16 requests.
	holdWeight = 1.0 / 16
	// silentAsks is the number of asks without a reply of any side after which the sides of a service
	// are not asked for silentPause, as targets without sides never reply.
	silentAsks  = 12
	silentPause = 5 * time.Second
	// maxServices bounds the services that are kept. A configuration has a few.
	maxServices = 256
)

// Demand says for which services an entry asks sides, by what responses and offers show. It is safe
// for concurrent use.
type Demand struct {
	Clock clockwork.Clock
	// Always says that all services contend for capacity, whether or not targets state a slowness.
	Always bool

	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of the targets of one service.
type service struct {
	slownessAt     time.Time // when a target last stated a slowness
	contendedAt    time.Time // when contention was last shown
	contended      bool      // as last reported by Asks
	suspectedAt    time.Time
	suspicionAsked time.Time
	hold           time.Duration
	silent         int // asks without a reply since the last reply
	silentUntil    time.Time
}

// get returns the state of a service, or nil if there are too many. The lock is held.
func (d *Demand) get(name string) *service {
	s := d.services[name]
	if s == nil && len(d.services) < maxServices {
		if d.services == nil {
			d.services = map[string]*service{}
		}
		s = &service{}
		d.services[name] = s
	}
	return s
}

// within reports whether at is set and less than d before now.
func within(now, at time.Time, d time.Duration) bool { return !at.IsZero() && now.Sub(at) < d }

// Applies reports whether the service's targets may be contended for.
func (d *Demand) Applies(name string) bool {
	if d.Always {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	return s != nil && within(d.Clock.Now(), s.slownessAt, slownessTTL)
}

// ObserveLoad records the load that a response of a target reported.
func (d *Demand) ObserveLoad(name string, l rhubarbgate.TargetLoad) {
	if !d.Always && l.Slowness == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(name)
	if s == nil {
		return
	}
	now := d.Clock.Now()
	if l.Slowness > 0 {
		s.slownessAt = now
	}
	if l.Waiting > 0 {
		s.contendedAt = now
	} else if busy(l.Running, l.Slots) {
		s.suspectedAt = now
	}
}

// busy reports whether so many of the slots are taken that a target counts as busy.
func busy(taken, slots int) bool {
	return slots > 0 && taken*busyDenominator >= slots*busyNumerator
}

// ObserveOffer records the offer of a side.
func (d *Demand) ObserveOffer(name string, o rhubarbgate.TargetOffer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(name)
	if s == nil {
		return
	}
	now := d.Clock.Now()
	s.silent = 0
	if o.Slowness > 0 {
		s.slownessAt = now
	}
	if o.Age <= maxOfferAge && (o.Queued > 0 || busy(o.Online+o.Queued+o.Reserved, o.Slots)) {
		s.contendedAt = now
	}
}

// ObserveMiss records that a side of a service did not reply to an ask.
func (d *Demand) ObserveMiss(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(name)
	if s == nil {
		return
	}
	s.silent++
	if s.silent >= silentAsks {
		// One more miss after the pause begins the next one.
		s.silent, s.silentUntil = silentAsks-1, d.Clock.Now().Add(silentPause)
	}
}

// Asks reports whether sides are asked for a request now, and whether that changed by contention that
// began or ended.
func (d *Demand) Asks(name string) (ask, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		return false, false
	}
	now := d.Clock.Now()
	contended := within(now, s.contendedAt, contentionTTL)
	changed = contended != s.contended
	s.contended = contended
	if now.Before(s.silentUntil) {
		return false, changed
	}
	if contended {
		return true, changed
	}
	if !within(now, s.suspectedAt, suspicionTTL) || within(now, s.suspicionAsked, suspicionInterval) {
		return false, changed
	}
	s.suspicionAsked = now
	return true, changed
}

// ObserveHold records for how long a request that found a free slot held it, at usual speed.
func (d *Demand) ObserveHold(name string, hold time.Duration) {
	if hold <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(name)
	if s == nil {
		return
	}
	hold = min(hold, maxHold)
	if s.hold == 0 {
		s.hold = hold
		return
	}
	s.hold += time.Duration(holdWeight * float64(hold-s.hold))
}

// Hold returns the mean time for which a request of the service holds a slot.
func (d *Demand) Hold(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[name]; s != nil && s.hold > 0 {
		return s.hold
	}
	return defaultHold
}
