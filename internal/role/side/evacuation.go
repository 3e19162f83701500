package side

import (
	"context"
	"time"

	"github.com/apex/log"
)

// evacuationCheckInterval bounds the delay until a side follows a change of its target's zone in a list that
// it read from the platform itself. It follows all other changes at once.
const evacuationCheckInterval = 200 * time.Millisecond

// followEvacuation applies evacuations and restorations of the target's zone until ctx ends.
func (h *Host) followEvacuation(ctx context.Context) {
	t := h.Clock.NewTicker(evacuationCheckInterval)
	defer t.Stop()
	for {
		changed := h.watcher.Changed()
		h.updateEvacuated()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.Chan():
		}
	}
}

// zone returns the availability zone of the target: the one in the list, as entries see it, or that of this
// side while the target is not listed.
func (h *Host) zone() string {
	if h.Probe != nil {
		if i, ok := h.Targets.Find(h.Target); ok {
			return i.AvailabilityZone
		}
	} else if t, ok := h.configuration().Targets[h.Name]; ok {
		return t.AvailabilityZone
	}
	return h.AvailabilityZone
}

// updateEvacuated compares the zone of the target with the evacuated zones. When it is evacuated, running
// items are preempted, and their leases and those of queued items are returned.
func (h *Host) updateEvacuated() {
	zone, set := h.zone(), h.watcher.Evacuation()
	evacuated := set.Has(zone)
	if evacuated == h.evacuated.Load() {
		return
	}
	f := log.Fields{"zone": zone, "version": set.Version, "zones": set.String(), "age": h.Clock.Since(h.watcher.ConfirmedAt()).String()}
	if !evacuated {
		// The load that was probed last is that of before the evacuation.
		h.keeper.LoadLost()
		h.evacuated.Store(false)
		h.Logger.WithFields(f).Info("zone restored; the target gets requests again")
		h.worker.wake()
		return
	}
	h.evacuated.Store(true)
	h.keeper.LoadLost()
	f["preempted"] = h.worker.preemptRunning()
	h.worker.returnQueued() // the worker may be waiting for a reply to a call for leases
	h.targetClient.CloseIdle()
	h.Logger.WithFields(f).Info("zone evacuated; the target gets no requests")
	h.worker.wake()
}
