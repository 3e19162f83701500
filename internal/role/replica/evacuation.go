package replica

import (
	"context"
	"expvar"
	"slices"
	"sync"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
)

// registeredEvacuation holds the evacuated zones as the leader of the fleet group last sent them to this
// control host, which may not be a member of the group or may be behind.
type registeredEvacuation struct {
	mu  sync.Mutex
	set evacuation.Set
	// orders counts the orders that this host carried out as the leader, repeated ones too.
	orders *expvar.Int
}

// prepareEvacuation makes changes of the replicated set known.
func (h *Host) prepareEvacuation() {
	h.fleet.EvacuationChanged = func(s evacuation.Set) {
		h.Logger.WithFields(log.Fields{"version": s.Version, "zones": s.String()}).Info("evacuated zones changed")
		h.notifier.Notify()
	}
	h.evacuation.orders = new(expvar.Int)
	h.Metrics.Set("EvacuationOrders", h.evacuation.orders)
	h.Metrics.Set("EvacuationVersion", expvar.Func(func() any { return h.Evacuation().Version }))
	h.Metrics.Set("ZonesEvacuated", expvar.Func(func() any { return len(h.Evacuation().Zones) }))
}

// Evacuation implements configuration.Source.
func (h *Host) Evacuation() evacuation.Set {
	if h.Store {
		return h.watcher.Evacuation()
	}
	replicated := h.fleet.Evacuation()
	h.evacuation.mu.Lock()
	defer h.evacuation.mu.Unlock()
	if h.evacuation.set.Version > replicated.Version {
		return h.evacuation.set
	}
	return replicated
}

// applyEvacuation takes over newer evacuated zones from the reply to a registration.
func (h *Host) applyEvacuation(s *evacuation.Set) {
	if h.Store || s == nil || s.Version <= h.Evacuation().Version {
		return
	}
	h.evacuation.mu.Lock()
	h.evacuation.set = *s
	h.evacuation.mu.Unlock()
	h.notifier.Notify()
}

// handleEvacuate handles control.MethodEvacuate on the leader of the fleet group. The order is in force
// once a majority of the group has it on disk; only then is it acknowledged.
func (h *Host) handleEvacuate(ctx context.Context, in *control.Evacuate) (*control.EvacuateReply, error) {
	if err := in.Order.Check(); err != nil {
		return nil, err
	}
	if _, leads := h.leadsFleet(); !leads {
		return &control.EvacuateReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	if err := h.checkZoneKnown(in.Order.Zone); err != nil {
		h.Logger.WithFields(log.Fields{"zone": in.Order.Zone, "restore": in.Order.Restore}).Warn("evacuation order refused: " + err.Message)
		return &control.EvacuateReply{Err: err}, nil
	}
	if ctx.Err() != nil {
		// The caller may have repeated the order elsewhere and withdrawn it by now.
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the call has ended")
	}
	v, notLeader, err := h.propose(ctx, control.FleetGroup, &fleet.Command{Evacuate: &in.Order})
	if err != nil {
		// Whatever the cause, the order may be repeated.
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.MayHaveRun, "the order was not committed: %v", err)
	}
	if notLeader {
		return &control.EvacuateReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	r, ok := v.(*fleet.EvacuationResult)
	if !ok {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInternal, rhubarbgate.MayHaveRun, "unexpected result of an evacuation order")
	}
	h.evacuation.orders.Add(1)
	h.Logger.WithFields(log.Fields{
		"zone": in.Order.Zone, "restore": in.Order.Restore, "changed": r.Changed, "version": r.Set.Version, "zones": r.Set.String(),
	}).Info("evacuation order committed")
	return &control.EvacuateReply{Set: r.Set, Changed: r.Changed}, nil
}

// checkZoneKnown returns an error unless the list of targets, the roster of hosts or an order in force
// names the zone. A zone whose targets are all gone can thus still be restored.
func (h *Host) checkZoneKnown(zone string) *rhubarbgate.Error {
	if h.fleet.Evacuation().Has(zone) || slices.ContainsFunc(h.fleet.Hosts(), func(x fleet.HostRecord) bool { return x.AvailabilityZone == zone }) {
		return nil
	}
	for _, x := range h.fleet.Current().Targets {
		if x.AvailabilityZone == zone {
			return nil
		}
	}
	list, _ := h.Targets()
	switch {
	case slices.ContainsFunc(list.Instances, func(x rhubarbgate.Instance) bool { return x.AvailabilityZone == zone }):
		return nil
	case h.Directory != nil && list.Digest == 0:
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the list of targets was not read yet, and no host is in zone %q", zone)
	default:
		return rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "neither a target nor a host is in zone %q", zone)
	}
}

// handleEvacuation handles control.MethodEvacuation: it returns the evacuated zones.
func (h *Host) handleEvacuation(ctx context.Context, _ *control.Hello) (*control.EvacuationReply, error) {
	notLeader, err := readBarrier(ctx, h.groups[control.FleetGroup])
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.EvacuationReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	return &control.EvacuationReply{Set: h.fleet.Evacuation()}, nil
}
