package replica

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/controller/batch"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/peer"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

const (
	// maxLeaseItems bounds the items that one call leases.
	maxLeaseItems = 256
	// maxPageBytes bounds one page of a file or of results.
	maxPageBytes = 1 << 20
	// MaxCommandBytes bounds a command, which has to fit into one message between replicas. A larger one
	// would be in the leader's log and never be replicated, nor anything after it.
	MaxCommandBytes = wire.MaxMessageBytes - 1<<20
)

// registerMethods registers the host's RPC methods and the roles that may call them.
func (h *Host) registerMethods(m *wire.Mux) {
	peer.Register(m, h.receive)
	configuration.Register(m, h, h.Clock)
	allRoles := append([]wire.Role{wire.RoleOperator}, wire.Daemons...)
	proposers := []wire.Role{wire.RoleEntry, wire.RoleSide, wire.RoleControl, wire.RoleOperator}
	readers := []wire.Role{wire.RoleEntry, wire.RoleControl, wire.RoleOperator}
	wire.Unary(m, control.MethodHello, allRoles, func(context.Context, *control.Hello) (*control.HelloReply, error) { return h.helloReply(), nil })
	wire.Unary(m, control.MethodStatus, wire.Operators, func(context.Context, *control.Hello) (*control.StatusReply, error) { return h.Status(), nil })
	wire.Unary(m, control.MethodSettle, wire.Entries, h.settle)
	wire.Unary(m, control.MethodPropose, proposers, h.proposeCommand)
	wire.Unary(m, control.MethodLease, wire.Sides, h.lease)
	wire.Unary(m, control.MethodRenew, wire.Sides, h.renew)
	wire.Unary(m, control.MethodQuery, readers, h.query)
	if !h.Store {
		wire.Unary(m, control.MethodCommit, wire.Operators, h.commit)
		wire.Unary(m, control.MethodRegister, wire.Controls, h.handleRegister)
		wire.Unary(m, control.MethodCrashes, wire.Daemons, h.handleCrashes)
		wire.Unary(m, control.MethodLift, wire.Operators, h.handleLift)
		wire.Unary(m, control.MethodStreams, wire.Daemons, h.streams.Handle)
		wire.Unary(m, control.MethodLimits, wire.Daemons, h.handleClaimLimits)
		wire.Unary(m, control.MethodDocument, wire.Operators, h.document)
		wire.Unary(m, control.MethodRetire, wire.Operators, h.retire)
		wire.Unary(m, control.MethodEvacuate, wire.Operators, h.handleEvacuate)
		wire.Unary(m, control.MethodEvacuation, wire.Operators, h.handleEvacuation)
	}
	wire.Unary(m, control.MethodMember, wire.Operators, h.member)
}

// receive passes a Raft message to its group; messages for unknown groups are dropped.
func (h *Host) receive(m raft.Message) {
	if int(m.Group) < len(h.groups) && h.groups[m.Group] != nil {
		h.groups[m.Group].Receive(m)
	}
}

// routing returns the address of the group's leader, if it is known and is another
// host.
func (h *Host) routing(group uint32) control.Routing {
	s := h.groups[group].Status()
	r := control.Routing{NotLeader: true}
	if m, ok := s.Members.Find(s.Leader); ok && s.Leader != h.ID {
		r.Leader = m.Address
	}
	return r
}

// jobGroup returns the job group with this ID.
func (h *Host) jobGroup(group uint32) (*leadership, error) {
	if group == 0 || int(group) > len(h.jobGroups) {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "no job group %d", group)
	}
	return h.jobGroups[group-1], nil
}

// checkSize refuses an encoded command that is too large to be replicated.
func checkSize(data []byte) error {
	if len(data) > MaxCommandBytes {
		return rhubarbgate.Errorf(rhubarbgate.CodeTooLarge, rhubarbgate.NotRun, "a command of %d bytes, more than %d, is too large to be replicated", len(data), MaxCommandBytes)
	}
	return nil
}

// CheckBundleSize returns the error with which a control host refuses a bundle that is too large to be replicated.
func CheckBundleSize(b *rhubarbgate.Bundle) error {
	data, err := wire.Marshal(&fleet.Command{Bundle: b})
	if err != nil {
		return errors.Trace(err)
	}
	return checkSize(data)
}

// propose commits a command and returns its result. notLeader reports that this
// host does not lead the group.
func (h *Host) propose(ctx context.Context, group uint32, command any) (result any, notLeader bool, err error) {
	return h.proposeThen(ctx, group, command, func(any) {})
}

// proposeThen is like propose and calls onResult when the command is committed, even
// after ctx has ended. The leader thus records results that the caller misses.
func (h *Host) proposeThen(ctx context.Context, group uint32, command any, onResult func(result any)) (result any, notLeader bool, err error) {
	data, err := wire.Marshal(command)
	if err != nil {
		return nil, false, errors.Trace(err)
	}
	if err := checkSize(data); err != nil {
		h.Logger.WithFields(log.Fields{"group": group, "bytes": len(data), "limit": MaxCommandBytes}).Warn("a command is too large to be replicated")
		return nil, false, err
	}
	done := make(chan raft.Result, 1)
	h.groups[group].Propose(data, func(r raft.Result) {
		if r.Err == nil {
			onResult(r.Value)
		}
		done <- r
	})
	return awaitResult(ctx, done)
}

// awaitResult waits for the result of a proposal or until ctx ends.
func awaitResult(ctx context.Context, done <-chan raft.Result) (result any, notLeader bool, err error) {
	select {
	case r := <-done:
		if errors.Is(r.Err, raft.ErrNotLeader) || errors.Is(r.Err, raft.ErrStopped) {
			return nil, true, nil
		}
		if errors.Is(r.Err, raft.ErrOutcomeUnknown) {
			return nil, false, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.MayHaveRun, "leadership was lost before the command was committed")
		}
		return r.Value, false, r.Err
	case <-ctx.Done():
		return nil, false, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.MayHaveRun, "the command was not committed in time")
	}
}

// settle handles control.MethodSettle: it records a holder's reports and grants its
// token requests.
func (h *Host) settle(_ context.Context, in *control.Settle) (*control.SettleReply, error) {
	l, err := h.jobGroup(in.Group)
	if err != nil {
		return nil, err
	}
	if !l.leads() {
		return &control.SettleReply{Routing: h.routing(in.Group)}, nil
	}
	grants := l.owner.Exchange(in.Holder, in.Asks)
	// A grant is valid only if the leader's lease was still valid after it was made.
	if !l.leads() {
		return &control.SettleReply{Routing: h.routing(in.Group)}, nil
	}
	return &control.SettleReply{Grants: grants}, nil
}

// proposeCommand handles control.MethodPropose: it commits a command in a job group.
func (h *Host) proposeCommand(ctx context.Context, in *control.Propose) (*control.ProposeReply, error) {
	l, err := h.jobGroup(in.Group)
	if err != nil {
		return nil, err
	}
	if err := authorizeCommand(wire.PeerFrom(ctx), &in.Command); err != nil {
		return nil, err
	}
	if !l.leads() {
		return &control.ProposeReply{Routing: h.routing(in.Group)}, nil
	}
	h.setTimes(&in.Command)
	v, notLeader, err := h.proposeThen(ctx, in.Group, &in.Command, func(v any) {
		r, _ := v.(*shard.Result)
		l.recordEnded(in.Command.Jobs, r)
	})
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.ProposeReply{Routing: h.routing(in.Group)}, nil
	}
	r, _ := v.(*shard.Result)
	return &control.ProposeReply{Result: r}, nil
}

// setTimes sets the command's time to the leader's wall clock, so that all replicas
// apply it with the same time.
func (h *Host) setTimes(c *shard.Command) {
	now := h.Clock.Now().UTC()
	if c.Jobs != nil {
		c.Jobs.At = now
	}
	if c.Claims != nil {
		c.Claims.At = now
	}
	if c.Burn != nil {
		c.Burn.At = now
	}
}

// authorizeCommand checks that the peer's role may issue the command. Without TLS
// the role is not known and every command is allowed.
func authorizeCommand(p wire.Peer, c *shard.Command) error {
	if !p.TLS {
		return nil
	}
	ok := false
	switch {
	case c.Jobs != nil && (c.Jobs.Lease != nil || c.Jobs.Expire != nil || c.Jobs.Collect != nil || c.Jobs.GiveUp != nil):
		// Only the group's leader issues these, and it proposes them directly.
	case c.Claims != nil || c.Burn != nil:
		ok = p.Role == wire.RoleEntry
	case c.Jobs == nil:
	case c.Jobs.Start != nil || c.Jobs.Return != nil || c.Jobs.Complete != nil:
		ok = p.Role == wire.RoleSide
	case c.Jobs.CancelJob != nil:
		ok = p.Role != wire.RoleSide
	default:
		ok = p.Role == wire.RoleEntry
	}
	if !ok {
		return rhubarbgate.Errorf(rhubarbgate.CodeForbidden, rhubarbgate.NotRun, "the role %v may not issue this command", p.Role)
	}
	return nil
}

// recordEnded reports to the dispatcher which leases a committed command ended.
func (l *leadership) recordEnded(c *jobs.Command, r *shard.Result) {
	if c == nil || r == nil || r.Jobs == nil {
		return
	}
	if c.Return != nil {
		l.dispatcher.RemoveLeases(c.Return.Items, 0)
		l.logWaits(c.Return, r.Jobs)
	}
	if c.Complete == nil {
		return
	}
	refs := make([]jobs.ItemRef, len(c.Complete.Outcomes))
	for i, o := range c.Complete.Outcomes {
		refs[i] = o.Ref
	}
	l.dispatcher.RemoveLeases(refs, len(refs))
}

// logWaits logs how long items wait at whose runs targets ended.
func (l *leadership) logWaits(c *jobs.Return, r *jobs.Result) {
	for i, ref := range c.Items {
		if i >= len(c.TargetEnded) || !c.TargetEnded[i] || i >= len(r.Accepted) || !r.Accepted[i] {
			continue
		}
		if w, ok := l.machine.Jobs.WaitOf(ref); ok && (w.Wait > 0 || w.JobWait > 0) {
			l.logger.WithFields(log.Fields{
				"job": ref.Job, "index": ref.Index, "attempt": ref.Attempt, "ends": w.Ends, "wait": w.Wait.String(), "jobEnds": w.JobEnds, "jobWait": w.JobWait.String(),
			}).Info("item waits, targets ended with it")
		}
	}
}

// lease handles control.MethodLease: it leases pending items to a side. Leases of
// earlier incarnations of the side expire first.
func (h *Host) lease(ctx context.Context, in *control.Lease) (*control.LeaseReply, error) {
	l, err := h.jobGroup(in.Group)
	if err != nil {
		return nil, err
	}
	if !l.leads() {
		return &control.LeaseReply{Routing: h.routing(in.Group)}, nil
	}
	if lost := l.dispatcher.RegisterSide(in.Side, in.Incarnation); len(lost) > 0 {
		h.Logger.WithFields(log.Fields{"side": in.Side, "items": len(lost)}).Info("side restarted; expiring its leases")
		l.propose(h, &shard.Command{Jobs: &jobs.Command{Expire: &jobs.Expire{Items: lost}}})
	}
	refs := l.dispatcher.Pick(in.Needs, min(in.Count, maxLeaseItems))
	if len(refs) == 0 {
		return &control.LeaseReply{TTL: batch.LeaseTTL}, nil
	}
	c := &shard.Command{Jobs: &jobs.Command{Lease: &jobs.Lease{Side: batch.LeaseHolder(in.Side, in.Incarnation), Items: refs}}}
	h.setTimes(c)
	v, notLeader, err := h.proposeThen(ctx, in.Group, c, func(v any) {
		r, _ := v.(*shard.Result)
		l.dispatcher.RecordGranted(refs, r.Jobs.Granted)
	})
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.LeaseReply{Routing: h.routing(in.Group)}, nil
	}
	r, _ := v.(*shard.Result)
	granted, err := l.withLines(r.Jobs.Granted)
	if err != nil {
		return nil, err
	}
	return &control.LeaseReply{Granted: granted, TTL: batch.LeaseTTL}, nil
}

// withLines adds the input lines of the items to the grants, and the routes in force.
func (l *leadership) withLines(grants []jobs.Grant) ([]jobs.Grant, error) {
	for i := range grants {
		line, err := l.machine.Jobs.Line(grants[i].Ref)
		if err != nil {
			return nil, errors.Trace(err)
		}
		grants[i].Line = line
		l.machine.Jobs.AddRouting(&grants[i])
	}
	return grants, nil
}

// renew handles control.MethodRenew: it renews leases of items.
func (h *Host) renew(_ context.Context, in *control.Renew) (*control.RenewReply, error) {
	l, err := h.jobGroup(in.Group)
	if err != nil {
		return nil, err
	}
	if !l.leads() {
		return &control.RenewReply{Routing: h.routing(in.Group)}, nil
	}
	return &control.RenewReply{Live: l.dispatcher.Renew(in.Items)}, nil
}

// expire proposes the expiry of the leases that were not renewed in time.
func (l *leadership) expire(h *Host) {
	refs := l.dispatcher.TakeExpired()
	if len(refs) == 0 {
		return
	}
	// If the command is lost, the next leader gives the leases a new TTL and expires
	// them later.
	l.propose(h, &shard.Command{Jobs: &jobs.Command{Expire: &jobs.Expire{Items: refs}}})
	h.Metrics.Add("LeasesExpired", int64(len(refs)))
}

// commit handles control.MethodCommit: it verifies the operators' signatures of a
// bundle and commits it.
func (h *Host) commit(ctx context.Context, in *control.Commit) (*control.CommitReply, error) {
	if err := h.Operators.Verify(&in.Bundle); err != nil {
		return nil, err
	}
	v, notLeader, err := h.propose(ctx, control.FleetGroup, &fleet.Command{Bundle: &in.Bundle})
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.CommitReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	r, _ := v.(*fleet.CommitResult)
	return &control.CommitReply{Result: r}, nil
}

// member handles control.MethodMember: it changes the membership of one group.
func (h *Host) member(ctx context.Context, in *control.Member) (*control.MemberReply, error) {
	if int(in.Group) >= len(h.groups) || h.groups[in.Group] == nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "no group %d", in.Group)
	}
	done := make(chan raft.Result, 1)
	h.groups[in.Group].ChangeMembers(func(m raft.Members) raft.Members { return applyMemberChange(m, in) }, func(r raft.Result) { done <- r })
	_, notLeader, err := awaitResult(ctx, done)
	if errors.Is(err, raft.ErrBusy) {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "group %d: %v", in.Group, err)
	}
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.MemberReply{Routing: h.routing(in.Group)}, nil
	}
	return &control.MemberReply{}, nil
}

// applyMemberChange returns the membership after a change. A host is added as a
// learner. Repeating a change has no effect.
func applyMemberChange(m raft.Members, in *control.Member) raft.Members {
	if in.Remove != 0 {
		m = m.Without(in.Remove)
	}
	if in.Add == nil {
		return m
	}
	if old, ok := m.Find(in.Add.ID); ok && old.Incarnation == in.Add.Incarnation {
		return m
	}
	add := *in.Add
	add.Learner = true
	return m.With(add)
}

// Status returns the state of the host's groups, and the version and age of its
// configuration.
func (h *Host) Status() *control.StatusReply {
	r := &control.StatusReply{ID: h.ID, Address: h.Listen, Version: h.Current().Version}
	r.Age = h.Clock.Now().Sub(h.ConfirmedAt()).Round(time.Millisecond)
	for g := range h.raftGroups() {
		r.Groups = append(r.Groups, g.Status())
	}
	return r
}
