package discovery

import (
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
)

// SetEvacuation replaces the evacuated zones, which were known to be the newest at the given time. Idle
// connections to targets in zones that were not evacuated before are closed. Requests in flight go on.
func (t *Table) SetEvacuation(s evacuation.Set, at time.Time) {
	t.initialize()
	last := t.Evacuation()
	t.evacuated.Store(&s)
	var targets int
	var closing []*Target
	t.mu.RLock()
	for _, x := range t.targets {
		if !s.Has(x.Instance.AvailabilityZone) {
			continue
		}
		targets++
		if !last.Has(x.Instance.AvailabilityZone) {
			closing = append(closing, x)
		}
	}
	t.mu.RUnlock()
	for _, x := range closing {
		x.Client.CloseIdle()
	}
	t.Logger.WithFields(log.Fields{
		"version": s.Version, "zones": s.String(), "earlier": last.String(), "targets": targets, "age": t.Clock.Since(at).String(),
	}).Info("evacuated zones changed")
}

// Evacuation returns the evacuated zones.
func (t *Table) Evacuation() evacuation.Set {
	if s := t.evacuated.Load(); s != nil {
		return *s
	}
	return evacuation.Set{}
}

// Evacuated returns the targets of the service in evacuated zones, which Candidates leaves out.
func (t *Table) Evacuated(service string) []*Target {
	t.initialize()
	evacuated := t.Evacuation()
	var list []*Target
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, x := range t.targets {
		if x.Instance.Service == service && evacuated.Has(x.Instance.AvailabilityZone) {
			list = append(list, x)
		}
	}
	return list
}
