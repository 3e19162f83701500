package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

const (
	// evacuationBound is the time after the acknowledgement of an evacuation from which targets of the
	// zone get nothing.
	evacuationBound = 5 * time.Second
	// evacuationStartDivisor is the part of the run after which a zone is evacuated.
	evacuationStartDivisor = 8
	// minEvacuation and randomEvacuation are how long a zone stays evacuated; the least leaves time for
	// the check behind evacuationBound.
	minEvacuation    = evacuationBound + 1500*time.Millisecond
	randomEvacuation = 3 * time.Second
	// orderTimeout bounds one call for an order; operators then try another control host.
	orderTimeout = time.Second
	// evacuationDisturbance is how long after a disturbance of a process its requests are not checked. What
	// it was about to send is sent by then.
	evacuationDisturbance = 3 * time.Second
)

// evacuation is the evacuation of a zone during a run. restoring is when the first call to restore it was
// sent; zero if there was none.
type evacuation struct {
	zone                    string
	acknowledged, restoring time.Time
}

// evacuateZone evacuates a zone while callers send, and restores it later.
func (s *Soak) evacuateZone(ctx context.Context, random *rand.Rand) {
	s.Clock.Sleep(s.Duration / evacuationStartDivisor)
	zone := availabilityZone(random.IntN(len(s.targets)))
	s.Logger.WithField("zone", zone).Info("evacuating zone")
	if !s.order(ctx, "evacuating "+zone, func(ctx context.Context, host netip.AddrPort) platformtest.Response {
		return s.client.Evacuate(ctx, host, zone)
	}) {
		return
	}
	s.evacuated = evacuation{zone: zone, acknowledged: s.Clock.Now()}
	s.Clock.Sleep(minEvacuation + time.Duration(random.Int64N(int64(randomEvacuation))))
	s.evacuated.restoring = s.Clock.Now()
	s.Logger.WithField("zone", zone).Info("restoring zone")
	s.order(ctx, "restoring "+zone, func(ctx context.Context, host netip.AddrPort) platformtest.Response {
		return s.client.Restore(ctx, host, zone)
	})
}

// order sends an order to the control hosts in turn until one acknowledges it, and reports whether one did.
func (s *Soak) order(ctx context.Context, name string, call func(ctx context.Context, host netip.AddrPort) platformtest.Response) bool {
	began := s.Clock.Now()
	for n := 0; s.Clock.Since(began) < convergenceTimeout && ctx.Err() == nil; n++ {
		callCtx, cancel := deadline.WithTimeout(ctx, s.Clock, orderTimeout)
		r := call(callCtx, netip.AddrPortFrom(s.controlHosts[n%controlCount].address, operatorPort))
		cancel()
		switch {
		case r.Err == nil && r.Status >= 200 && r.Status < 300:
			if now := s.Clock.Now(); now.Sub(began) > evacuationBound && !s.disturbed(s.controlHosts, began, now) {
				s.history.addViolation("%s was acknowledged after %v, while the control hosts ran", name, now.Sub(began))
			}
			return true
		case r.Err == nil && r.Status >= 400 && r.Status < 500:
			s.history.addViolation("%s was refused with status %d: %s", name, r.Status, r.Body)
			return false
		}
		s.Clock.Sleep(50 * time.Millisecond)
	}
	s.history.addViolation("%s was not acknowledged within %v", name, convergenceTimeout)
	return false
}

// verifyEvacuation checks that the targets of the evacuated zone got nothing from evacuationBound after the
// acknowledgement until the zone was to be restored. It leaves out processes that were disturbed shortly before,
// and times at which most of the control hosts had been disturbed since the order.
func (s *Soak) verifyEvacuation() {
	e := s.evacuated
	if e.restoring.IsZero() {
		return
	}
	senders := map[string]*process{}
	for _, req := range s.history.requests {
		senders[req.id] = req.entry
	}
	for i, t := range s.targets {
		if t.Zone != e.zone {
			continue
		}
		for _, a := range t.Arrivals() {
			late := a.At.Sub(e.acknowledged)
			if late < evacuationBound || !a.At.Before(e.restoring) {
				continue
			}
			sender := s.sides[i] // of items and probes, which have no entry
			if p, ok := senders[a.ID]; ok {
				sender = p
			}
			if !s.disturbed([]*process{sender}, a.At.Add(-evacuationDisturbance), a.At) && s.disturbedControls(e.acknowledged, a.At) < controlCount/2+1 {
				s.history.addViolation("target %s got request %q of %s %v after the evacuation of %s was acknowledged", a.Instance, a.ID, sender.name, late, e.zone)
			}
		}
	}
}

// disturbedControls returns how many control hosts were disturbed at any time from start to end.
func (s *Soak) disturbedControls(start, end time.Time) int {
	n := 0
	for _, p := range s.controlHosts {
		if s.disturbed([]*process{p}, start, end) {
			n++
		}
	}
	return n
}

// verifyRestored checks that targets of the restored zone get requests again.
func (s *Soak) verifyRestored(ctx context.Context) {
	e := s.evacuated
	if e.restoring.IsZero() {
		return
	}
	until := s.Clock.Now().Add(convergenceTimeout)
	for n := 0; s.Clock.Now().Before(until) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("restored-%d", n)
		s.send(ctx, n%len(s.entries), "safe", id, "one", "key-one-a", callerTimeout)
		for _, t := range s.targets {
			if t.Zone != e.zone {
				continue
			}
			for _, r := range t.Runs() {
				if r.ID == id {
					return
				}
			}
		}
	}
	s.history.addViolation("no target of %s gets requests after the zone was restored", e.zone)
}
