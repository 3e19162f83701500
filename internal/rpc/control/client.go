package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/claims"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

const (
	// attemptTimeout bounds one call to one host. It allows for several syncs of a
	// slow disk and leaves time to try another host before operators, after about one
	// second, send their call to another host.
	attemptTimeout = 600 * time.Millisecond
	// avoidDuration is how long a host is skipped after a call to it timed out.
	avoidDuration = time.Second
	// retryInterval is the time between attempts while no leader is known.
	retryInterval = 50 * time.Millisecond
)

// Client calls the leaders of the Raft groups. All commands are idempotent, so a call
// is retried until its context ends.
type Client struct {
	Wire *wire.Client
	// Hosts are the addresses of the hosts that replicate the groups; SetHosts replaces
	// them.
	Hosts []netip.AddrPort
	Clock clockwork.Clock

	mu      sync.Mutex
	leaders map[uint32]netip.AddrPort // by group
	// avoidedUntil is, for each host at which a call timed out, the end of the time
	// for which it is skipped.
	avoidedUntil map[netip.AddrPort]time.Time
	hostIndex    int // round-robin counter, used modulo the number of Hosts
}

// redirector is a reply that may redirect the call to another host.
type redirector interface {
	Redirect() (bool, netip.AddrPort)
}

// chooseHost returns the group's leader if it is known, and otherwise the next host by
// round robin, avoided hosts only if all are avoided.
func (c *Client) chooseHost(group uint32) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.leaders[group]; ok {
		return a
	}
	if len(c.Hosts) == 0 {
		return netip.AddrPort{}
	}
	now := c.Clock.Now()
	for range c.Hosts {
		c.hostIndex++
		if a := c.Hosts[c.hostIndex%len(c.Hosts)]; !now.Before(c.avoidedUntil[a]) {
			return a
		}
	}
	c.hostIndex++
	return c.Hosts[c.hostIndex%len(c.Hosts)]
}

// isAvoided reports whether a host is currently skipped.
func (c *Client) isAvoided(a netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Before(c.avoidedUntil[a])
}

// unlessAvoided returns a, or the zero address if a is avoided: other hosts still name
// an unresponsive leader until they have detected its failure.
func (c *Client) unlessAvoided(a netip.AddrPort) netip.AddrPort {
	if c.isAvoided(a) {
		return netip.AddrPort{}
	}
	return a
}

// avoid skips a host for avoidDuration and forgets the groups that it led.
func (c *Client) avoid(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoidedUntil == nil {
		c.avoidedUntil = map[netip.AddrPort]time.Time{}
	}
	c.avoidedUntil[a] = c.Clock.Now().Add(avoidDuration)
	for g, l := range c.leaders {
		if l == a {
			delete(c.leaders, g)
		}
	}
}

// SetHosts replaces Hosts; an empty list changes nothing.
func (c *Client) SetHosts(hosts []netip.AddrPort) {
	if len(hosts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Hosts = hosts
}

// setLeader records a group's leader; the zero address means that it is unknown.
func (c *Client) setLeader(group uint32, a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders == nil {
		c.leaders = map[uint32]netip.AddrPort{}
	}
	if a.IsValid() {
		c.leaders[group] = a
	} else {
		delete(c.leaders, group)
	}
}

// call sends in to the leader of a group. It follows redirects and retries errors with
// CodeUnavailable until ctx ends. It fails immediately with other errors, and if no host
// is known; the verdict of its error is the worst of all attempts. Only the first redirect in
// a row is followed without a wait: hosts that have not heard of a new leader may name each other.
func call[Out, In any, P interface {
	*Out
	redirector
}](ctx context.Context, c *Client, group uint32, method string, in *In) (*Out, error) {
	verdict := rhubarbgate.NotRun
	for redirects := 0; ; {
		a := c.chooseHost(group)
		if !a.IsValid() {
			return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, verdict, "no host of group %d is known yet", group).WithRetryAfter(time.Second)
		}
		attemptCtx, cancel := deadline.WithTimeout(ctx, c.Clock, attemptTimeout)
		out, err := wire.Call[Out](attemptCtx, c.Wire, a, method, in)
		timedOut := deadline.Passed(attemptCtx)
		cancel()
		if err == nil {
			redirected, leader := P(out).Redirect()
			if !redirected {
				c.setLeader(group, a)
				return out, nil
			}
			c.setLeader(group, c.unlessAvoided(leader))
			if redirects++; redirects == 1 && leader.IsValid() && leader != a && ctx.Err() == nil && !c.isAvoided(leader) {
				continue
			}
			redirects = 0
		} else {
			e := rhubarbgate.AsError(err)
			verdict = verdict.Worst(e.Verdict)
			if e.Code != rhubarbgate.CodeUnavailable {
				last := *e
				last.Verdict = verdict
				return nil, &last
			}
			c.setLeader(group, netip.AddrPort{})
			if timedOut {
				c.avoid(a)
				c.Wire.Forget(a)
			}
		}
		if !c.waitToRetry(ctx) {
			return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, verdict, "no control host answered %s for group %d", method, group).WithRetryAfter(time.Second)
		}
	}
}

// waitToRetry waits for retryInterval, or returns false if ctx ends first.
func (c *Client) waitToRetry(ctx context.Context) bool {
	t := c.Clock.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.Chan():
		return true
	}
}

// Jobs commits a command of the batch jobs in a job group. An error in the result is
// returned as the error.
func (c *Client) Jobs(ctx context.Context, group uint32, cmd jobs.Command) (*jobs.Result, error) {
	r, err := call[ProposeReply](ctx, c, group, MethodPropose, &Propose{Group: group, Command: shard.Command{Jobs: &cmd}})
	if err != nil {
		return nil, err
	}
	if r.Result == nil || r.Result.Jobs == nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInternal, rhubarbgate.MayHaveRun, "reply without a result")
	}
	if r.Result.Jobs.Err != nil {
		return nil, r.Result.Jobs.Err
	}
	return r.Result.Jobs, nil
}

// Claims commits a command on idempotency keys in a job group. An error in the result
// is returned as the error.
func (c *Client) Claims(ctx context.Context, group uint32, cmd claims.Command) (*claims.Result, error) {
	r, err := call[ProposeReply](ctx, c, group, MethodPropose, &Propose{Group: group, Command: shard.Command{Claims: &cmd}})
	if err != nil {
		return nil, err
	}
	if r.Result == nil || r.Result.Claims == nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInternal, rhubarbgate.MayHaveRun, "reply without a result")
	}
	if r.Result.Claims.Err != nil {
		return nil, r.Result.Claims.Err
	}
	return r.Result.Claims, nil
}

// Propose commits any command of a job group; errors stay in the reply's result.
func (c *Client) Propose(ctx context.Context, in *Propose) (*ProposeReply, error) {
	return call[ProposeReply](ctx, c, in.Group, MethodPropose, in)
}

// Settle reports spent tokens and returns new rate-limit grants.
func (c *Client) Settle(ctx context.Context, in *Settle) (*SettleReply, error) {
	return call[SettleReply](ctx, c, in.Group, MethodSettle, in)
}

// Lease requests leases on batch items.
func (c *Client) Lease(ctx context.Context, in *Lease) (*LeaseReply, error) {
	return call[LeaseReply](ctx, c, in.Group, MethodLease, in)
}

// Renew renews leases.
func (c *Client) Renew(ctx context.Context, in *Renew) (*RenewReply, error) {
	return call[RenewReply](ctx, c, in.Group, MethodRenew, in)
}

// Query reads the state of a job group.
func (c *Client) Query(ctx context.Context, in *Query) (*QueryReply, error) {
	return call[QueryReply](ctx, c, in.Group, MethodQuery, in)
}

// Commit commits a signed configuration bundle.
func (c *Client) Commit(ctx context.Context, in *Commit) (*CommitReply, error) {
	return call[CommitReply](ctx, c, FleetGroup, MethodCommit, in)
}

// Member adds or removes a replica of a group.
func (c *Client) Member(ctx context.Context, in *Member) (*MemberReply, error) {
	return call[MemberReply](ctx, c, in.Group, MethodMember, in)
}

// Status returns the state of the host at a, without going through a leader.
func (c *Client) Status(ctx context.Context, a netip.AddrPort) (*StatusReply, error) {
	return wire.Call[StatusReply](ctx, c.Wire, a, MethodStatus, &Hello{})
}

// Hello returns the identity of the host at a, without going through a leader.
func (c *Client) Hello(ctx context.Context, a netip.AddrPort) (*HelloReply, error) {
	return wire.Call[HelloReply](ctx, c.Wire, a, MethodHello, &Hello{})
}

// Register reports to the leader of the fleet group that a host is alive.
func (c *Client) Register(ctx context.Context, in *Register) (*RegisterReply, error) {
	return call[RegisterReply](ctx, c, FleetGroup, MethodRegister, in)
}

// Crashes reports ended targets to the leader of the fleet group.
func (c *Client) Crashes(ctx context.Context, in *Crashes) (*CrashesReply, error) {
	return call[CrashesReply](ctx, c, FleetGroup, MethodCrashes, in)
}

// Lift lifts blocks, and returns those that are in force then; without parts it only returns them.
func (c *Client) Lift(ctx context.Context, parts []string) (*LiftReply, error) {
	return call[LiftReply](ctx, c, FleetGroup, MethodLift, &Lift{parts})
}

// ClaimLimits claims parts of the targets' limits from the leader of the fleet group.
func (c *Client) ClaimLimits(ctx context.Context, in *ClaimLimits) (*ClaimLimitsReply, error) {
	return call[ClaimLimitsReply](ctx, c, FleetGroup, MethodLimits, in)
}

// Document returns the newest configuration document as the operator sent it.
func (c *Client) Document(ctx context.Context) (*DocumentReply, error) {
	return call[DocumentReply](ctx, c, FleetGroup, MethodDocument, &Document{})
}

// Retire starts moving a store host's replicas to other hosts, or queries whether the
// move is done.
func (c *Client) Retire(ctx context.Context, in *Retire) (*RetireReply, error) {
	r, err := call[RetireReply](ctx, c, FleetGroup, MethodRetire, in)
	if err == nil && r.Err != nil {
		return nil, r.Err
	}
	return r, err
}

// Evacuate commits an evacuation order.
func (c *Client) Evacuate(ctx context.Context, o evacuation.Order) (*EvacuateReply, error) {
	r, err := call[EvacuateReply](ctx, c, FleetGroup, MethodEvacuate, &Evacuate{o})
	if err == nil && r.Err != nil {
		return nil, r.Err
	}
	return r, err
}

// Evacuation returns the evacuated zones.
func (c *Client) Evacuation(ctx context.Context) (*EvacuationReply, error) {
	return call[EvacuationReply](ctx, c, FleetGroup, MethodEvacuation, &Hello{})
}
