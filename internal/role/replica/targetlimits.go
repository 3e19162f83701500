package replica

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// limitsInterval is how often the leader of the fleet group publishes changes of the target
// limits.
const limitsInterval = 200 * time.Millisecond

// limitList is what the leader of the fleet group publishes of the target limits.
type limitList struct {
	limits    []apportion.Limit
	processes []string
}

// TargetLimits implements configuration.Source.
func (h *Host) TargetLimits() control.TargetLimits {
	if h.Store {
		return h.watcher.TargetLimits()
	}
	l := &h.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	return control.TargetLimits{Version: l.version, Limits: agedLimits(l.value.limits, h.Clock.Since(l.at)), Processes: l.value.processes}
}

// agedLimits returns limits as they are some time after they were published.
func agedLimits(limits []apportion.Limit, elapsed time.Duration) []apportion.Limit {
	if !slices.ContainsFunc(limits, func(x apportion.Limit) bool { return x.ColdLeft > 0 }) {
		return limits
	}
	aged := slices.Clone(limits)
	for i, x := range aged {
		if x.ColdLeft > 0 {
			// The limit lasts until the leader ends it.
			aged[i].ColdLeft = max(1, x.ColdLeft-elapsed)
		}
	}
	return aged
}

// applyTargetLimits takes over the target limits of the leader of the fleet group.
func (h *Host) applyTargetLimits(in *control.TargetLimits) {
	if !h.Store && in != nil && h.limits.receive(limitList{in.Limits, in.Processes}, in.Version, h.Clock.Now()) {
		h.notifier.Notify()
	}
}

// updateTargetLimits publishes the target limits if this host leads the fleet group. A new leader publishes
// none, which makes the processes claim again.
func (h *Host) updateTargetLimits() { h.publishTargetLimits(false) }

// publishTargetLimits publishes the target limits if this host leads the fleet group and they are due, or at
// once.
func (h *Host) publishTargetLimits(atOnce bool) {
	term, leads := h.leadsFleet()
	if !leads {
		return
	}
	now := h.Clock.Now()
	l := &h.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.begin(term, &apportion.Table{Clock: h.Clock, Begun: now, Previous: l.value.processes}, now) {
		h.notifier.Notify()
		return
	}
	if now.Before(h.nextLimitsAt) && !atOnce {
		return
	}
	h.nextLimitsAt = now.Add(limitsInterval)
	h.cold.SetServices(h.Current().Services)
	l.table.SetCold(h.cold.Targets())
	next := limitList{limits: l.table.Limits()}
	if h.cold.Enabled() {
		next.processes = l.table.Processes()
	}
	elapsed := now.Sub(l.at)
	same := func(a, b apportion.Limit) bool { return sameLimit(a, b, elapsed) }
	if slices.EqualFunc(next.limits, l.value.limits, same) && slices.Equal(next.processes, l.value.processes) {
		return
	}
	h.logTargetLimits(next.limits, elapsed)
	l.replace(next, now)
	l.table.Published(l.version.Number)
	h.notifier.Notify()
}

// observeCold records which targets are cold in a list that was requested at the given time, and divides
// their rates at once if this host leads the fleet group: processes are to know the division before they
// know the list.
func (h *Host) observeCold(list []rhubarbgate.Instance, requestedAt time.Time) {
	h.cold.ObserveList(list, requestedAt, discovery.TargetName)
	if h.cold.Enabled() && len(h.cold.Targets()) > 0 {
		h.publishTargetLimits(true)
	}
}

// sameLimit reports whether a limit is divided as one that was published some time ago.
func sameLimit(a, b apportion.Limit, elapsed time.Duration) bool {
	left := max(0, b.ColdLeft-elapsed)
	return a.Target == b.Target && a.PerSecond == b.PerSecond && slices.Equal(a.Holders, b.Holders) &&
		(a.ColdLeft > 0) == (b.ColdLeft > 0) && a.ColdLeft-left <= coldTolerance
}

// logTargetLimits logs the limits that differ from those that were published some time ago. The lock is held.
func (h *Host) logTargetLimits(limits []apportion.Limit, elapsed time.Duration) {
	last := h.limits.value.limits
	for _, l := range limits {
		if !slices.ContainsFunc(last, func(x apportion.Limit) bool { return sameLimit(l, x, elapsed) }) {
			h.Logger.WithFields(log.Fields{"target": l.Target, "perSecond": l.PerSecond, "holders": len(l.Holders), "coldLeft": l.ColdLeft.String()}).Info("limit of a target divided")
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
	in.Claim.Current = in.Version.Term == term
	if in.Claim.Current {
		in.Claim.Seen = in.Version.Number
	}
	for _, c := range in.Claim.Cold {
		if c.Stated {
			h.cold.ObserveResponse(c.Target, c.Service, c.Left, h.Clock.Now().Add(-c.Age))
		}
	}
	table.Add(&in.Claim)
	return &control.ClaimLimitsReply{}, nil
}
