package replica

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// bootstrapInterval is how often a host without state calls the other hosts.
	bootstrapInterval = 200 * time.Millisecond
	// helloTimeout bounds one Hello call.
	helloTimeout = time.Second
)

// bootstrap installs the initial membership in groups that have none. A host
// without state first collects the incarnations of all members. The membership
// records them, so that a host that later loses its disk, and thus its votes, is
// not mistaken for the member that voted.
func (h *Host) bootstrap(ctx context.Context) {
	warned := false
	for ctx.Err() == nil && !h.initialised() {
		members, stateLost := h.firstMembers(ctx)
		if members != nil {
			h.bootstrapGroups(members)
		}
		if stateLost && !warned {
			warned = true
			h.Logger.Error("the group has state but this host has none: remove the member and add it again")
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(bootstrapInterval):
		}
	}
}

// initialised reports whether all groups have a membership.
func (h *Host) initialised() bool {
	for g := range h.raftGroups() {
		if len(g.Status().Members) == 0 {
			return false
		}
	}
	return true
}

// firstMembers returns the initial membership, or nil while it is not known.
// stateLost reports that the group exists but this incarnation is not among the
// initial members that its hosts report.
func (h *Host) firstMembers(ctx context.Context) (first raft.Members, stateLost bool) {
	if h.Join {
		return nil, false
	}
	if len(h.Seeds) > 0 {
		// Hosts that are no seeds, or lost their disk, are added later by the
		// leader's membership planning.
		if slices.Contains(h.Seeds, h.Listen) {
			first, _ = h.probeHosts(ctx, h.Seeds)
		}
		return first, false
	}
	var hosts []netip.AddrPort
	for _, id := range slices.Sorted(maps.Keys(h.Members)) {
		hosts = append(hosts, h.Members[id])
	}
	first, exists := h.probeHosts(ctx, hosts)
	return first, exists && first == nil
}

// probeHosts calls the hosts of the initial membership. If one has state, the group
// exists: its initial members are returned if this incarnation is among them.
// Otherwise the initial membership consists of all hosts, once all have replied.
func (h *Host) probeHosts(ctx context.Context, hosts []netip.AddrPort) (first raft.Members, exists bool) {
	for _, a := range hosts {
		r, err := h.hello(ctx, a)
		if err != nil {
			continue
		}
		if r.Initialised {
			self, ok := r.Members.Find(h.ID)
			if ok && self.Incarnation == h.identity.Incarnation {
				return r.Members, true
			}
			return nil, true
		}
		first = first.With(raft.Member{ID: r.ID, Incarnation: r.Incarnation, Address: a})
	}
	if len(first) < len(hosts) {
		return nil, false
	}
	return first, false
}

// hello returns the state of the host at address a.
func (h *Host) hello(ctx context.Context, a netip.AddrPort) (*control.HelloReply, error) {
	if a == h.Listen {
		return h.helloReply(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return wire.Call[control.HelloReply](ctx, h.wire, a, control.MethodHello, &control.Hello{})
}

// helloReply describes this host and its fleet group to another host.
func (h *Host) helloReply() *control.HelloReply {
	r := &control.HelloReply{ID: h.ID, Incarnation: h.identity.Incarnation, Address: h.Listen, Groups: h.JobGroups}
	if !h.Store {
		s := h.groups[control.FleetGroup].Status()
		r.Initialised, r.Members = len(s.Members) > 0, s.First
	}
	return r
}

// bootstrapGroups installs m in the groups that have no membership yet.
func (h *Host) bootstrapGroups(m raft.Members) {
	for g := range h.raftGroups() {
		if len(g.Status().Members) > 0 {
			continue
		}
		if err := g.Bootstrap(m); err != nil && !errors.Is(err, errors.AlreadyExists) {
			h.fail(err)
			return
		}
	}
	h.Logger.WithField("members", len(m)).Info("groups bootstrapped")
}
