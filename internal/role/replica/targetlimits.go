package replica

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// limitsInterval is how often the leader of the fleet group publishes changes of the target
// limits.
const limitsInterval = 200 * time.Millisecond

// TargetLimits implements configuration.Source.
func (h *Host) TargetLimits() control.TargetLimits {
	if h.Store {
		return h.watcher.TargetLimits()
	}
	l := &h.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	return control.TargetLimits{Version: l.version, Limits: l.value}
}

// applyTargetLimits takes over the target limits of the leader of the fleet group.
func (h *Host) applyTargetLimits(in *control.TargetLimits, sent time.Time) {
	if !h.Store && in != nil && h.limits.receive(in.Limits, in.Version, sent) {
		h.notifier.Notify()
	}
}

// updateTargetLimits publishes the target limits if this host leads the fleet group. A new leader
// publishes none, which makes the processes claim again.
func (h *Host) updateTargetLimits() {
	term, leads := h.leadsFleet()
	if !leads {
		return
	}
	now := h.Clock.Now()
	l := &h.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.begin(term, &apportion.Table{Clock: h.Clock}, now) {
		h.notifier.Notify()
		return
	}
	if now.Before(h.nextLimitsAt) {
		return
	}
	h.nextLimitsAt = now.Add(limitsInterval)
	limits := l.table.Limits()
	if slices.EqualFunc(limits, l.value, sameLimit) {
		return
	}
	h.logTargetLimits(limits)
	l.replace(limits, now)
	h.notifier.Notify()
}

// sameLimit reports whether two limits are divided in the same way.
func sameLimit(a, b apportion.Limit) bool {
	return a.Target == b.Target && a.PerSecond == b.PerSecond && slices.Equal(a.Holders, b.Holders)
}

// logTargetLimits logs the limits that differ from the published ones. The lock is held.
func (h *Host) logTargetLimits(limits []apportion.Limit) {
	last := h.limits.value
	for _, l := range limits {
		if !slices.ContainsFunc(last, func(x apportion.Limit) bool { return sameLimit(x, l) }) {
			h.Logger.WithFields(log.Fields{"target": l.Target, "perSecond": l.PerSecond, "holders": len(l.Holders)}).Info("limit of a target divided")
		}
	}
	for _, l := range last {
		if !slices.ContainsFunc(limits, func(x apportion.Limit) bool { return x.Target == l.Target }) {
			h.Logger.WithField("target", l.Target).Info("limit of a target ended")
		}
	}
}

// handleClaimLimits handles control.MethodLimits on the leader of the fleet group.
func (h *Host) handleClaimLimits(_ context.Context, in *control.ClaimLimits) (*control.ClaimLimitsReply, error) {
	term, leads := h.leadsFleet()
	table := h.limits.tableOf(term)
	if !leads || table == nil {
		return &control.ClaimLimitsReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	table.Add(&in.Claim)
	return &control.ClaimLimitsReply{}, nil
}
