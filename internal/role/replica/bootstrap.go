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
	// bootstrapInterval is how often a host without state asks the others.
	bootstrapInterval = 200 * time.Millisecond
	// helloTimeout bounds one question.
	helloTimeout = time.Second
)

// bootstrap puts the first membership in force. A host without state learns the
// incarnations of all members first, so that one that lost its disk later is
// told from the one that voted before.
func (h *Host) bootstrap(ctx context.Context) {
	warned := false
	for ctx.Err() == nil && !h.initialised() {
		members, lost := h.firstMembers(ctx)
		if members != nil {
			h.install(members)
		}
		if lost && !warned {
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
	for g := range h.running() {
		if len(g.Status().Members) == 0 {
			return false
		}
	}
	return true
}

// firstMembers returns the first membership once it is known. lost reports that
// the group exists but does not know this incarnation.
func (h *Host) firstMembers(ctx context.Context) (first raft.Members, lost bool) {
	if h.Join {
		return nil, false
	}
	if len(h.Seeds) > 0 {
		// Hosts that are no seeds, or lost their disk, are added later.
		if slices.Contains(h.Seeds, h.Listen) {
			first, _ = h.meet(ctx, h.Seeds)
		}
		return first, false
	}
	var hosts []netip.AddrPort
	for _, id := range slices.Sorted(maps.Keys(h.Members)) {
		hosts = append(hosts, h.Members[id])
	}
	first, exists := h.meet(ctx, hosts)
	return first, exists && first == nil
}

// meet asks the hosts of the first membership. If one has state, the group exists:
// its members are returned if they know this incarnation. Otherwise the
// membership is made of all hosts, once all have been met.
func (h *Host) meet(ctx context.Context, hosts []netip.AddrPort) (first raft.Members, exists bool) {
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

func (h *Host) hello(ctx context.Context, a netip.AddrPort) (*control.HelloReply, error) {
	if a == h.Listen {
		return h.sayHello(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return wire.Call[control.HelloReply](ctx, h.wire, a, control.MethodHello, &control.Hello{})
}

func (h *Host) sayHello() *control.HelloReply {
	r := &control.HelloReply{ID: h.ID, Incarnation: h.identity.Incarnation, Address: h.Listen, Groups: h.JobGroups}
	if !h.Store {
		s := h.groups[control.FleetGroup].Status()
		r.Initialised, r.Members = len(s.Members) > 0, s.First
	}
	return r
}

// install bootstraps the groups that have no state yet.
func (h *Host) install(m raft.Members) {
	for g := range h.running() {
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
