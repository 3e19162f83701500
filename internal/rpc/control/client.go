package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/claims"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

const (
	// attemptTimeout bounds one call to one host: several syncs of a slow disk, and
	// short enough to ask another host before operators turn away after a second.
	attemptTimeout = 600 * time.Millisecond
	// avoidFor is how long a host that did not answer in time is passed over.
	avoidFor = time.Second
	// retryPause is how long to wait when no host leads.
	retryPause = 50 * time.Millisecond
)

// Client calls the leaders of the groups. All commands are safe to repeat, so a
// call is tried until its context ends.
type Client struct {
	Wire *wire.Client
	// Hosts are those that replicate the groups; Update replaces them.
	Hosts []netip.AddrPort
	Clock clockwork.Clock

	mu      sync.Mutex
	leaders map[uint32]netip.AddrPort
	// avoided are hosts that did not answer, until when they are passed over.
	avoided map[netip.AddrPort]time.Time
	next    int
}

// routed is a reply that may point to another host.
type routed interface {
	Moved() (bool, netip.AddrPort)
}

func (c *Client) target(group uint32) netip.AddrPort {
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
		c.next++
		if a := c.Hosts[c.next%len(c.Hosts)]; !now.Before(c.avoided[a]) {
			return a
		}
	}
	c.next++
	return c.Hosts[c.next%len(c.Hosts)]
}

// avoids reports whether a host is passed over.
func (c *Client) avoids(a netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Before(c.avoided[a])
}

// unlessAvoided returns no address for a host that is passed over: those that
// name it as the leader have not noticed its silence yet.
func (c *Client) unlessAvoided(a netip.AddrPort) netip.AddrPort {
	if c.avoids(a) {
		return netip.AddrPort{}
	}
	return a
}

// avoid passes a host over for a while.
func (c *Client) avoid(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoided == nil {
		c.avoided = map[netip.AddrPort]time.Time{}
	}
	c.avoided[a] = c.Clock.Now().Add(avoidFor)
	for g, l := range c.leaders {
		if l == a {
			delete(c.leaders, g)
		}
	}
}

// Update replaces the hosts; an empty list changes nothing.
func (c *Client) Update(hosts []netip.AddrPort) {
	if len(hosts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Hosts = hosts
}

func (c *Client) learn(group uint32, a netip.AddrPort) {
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

// call sends in to the leader of a group, following it as it moves.
func call[Out, In any, P interface {
	*Out
	routed
}](ctx context.Context, c *Client, group uint32, method string, in *In) (*Out, error) {
	verdict := rhubarbgate.NotRun
	for {
		a := c.target(group)
		if !a.IsValid() {
			return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, verdict, "no host of group %d is known yet", group).After(time.Second)
		}
		attempt, cancel := deadline.WithTimeout(ctx, c.Clock, attemptTimeout)
		out, err := wire.Call[Out](attempt, c.Wire, a, method, in)
		silent := deadline.Passed(attempt)
		cancel()
		if err == nil {
			moved, leader := P(out).Moved()
			if !moved {
				c.learn(group, a)
				return out, nil
			}
			c.learn(group, c.unlessAvoided(leader))
			if leader.IsValid() && leader != a && ctx.Err() == nil && !c.avoids(leader) {
				continue
			}
		} else {
			e := rhubarbgate.AsError(err)
			if e.Code != rhubarbgate.CodeUnavailable {
				return nil, e
			}
			verdict = verdict.Worst(e.Verdict)
			c.learn(group, netip.AddrPort{})
			if silent {
				c.avoid(a)
			}
		}
		if !c.pause(ctx) {
			return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, verdict, "no control host answered %s for group %d", method, group).After(time.Second)
		}
	}
}

// pause waits before the next try, or returns false if ctx ends first.
func (c *Client) pause(ctx context.Context) bool {
	t := c.Clock.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.Chan():
		return true
	}
}

// Jobs commits a jobs command.
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

// Claims commits a claims command.
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

// Propose commits any command of a job group.
func (c *Client) Propose(ctx context.Context, in *Propose) (*ProposeReply, error) {
	return call[ProposeReply](ctx, c, in.Group, MethodPropose, in)
}

// Settle exchanges reports of spent tokens for grants.
func (c *Client) Settle(ctx context.Context, in *Settle) (*SettleReply, error) {
	return call[SettleReply](ctx, c, in.Group, MethodSettle, in)
}

// Lease asks for batch items.
func (c *Client) Lease(ctx context.Context, in *Lease) (*LeaseReply, error) {
	return call[LeaseReply](ctx, c, in.Group, MethodLease, in)
}

// Renew prolongs leases.
func (c *Client) Renew(ctx context.Context, in *Renew) (*RenewReply, error) {
	return call[RenewReply](ctx, c, in.Group, MethodRenew, in)
}

// Query reads from a job group.
func (c *Client) Query(ctx context.Context, in *Query) (*QueryReply, error) {
	return call[QueryReply](ctx, c, in.Group, MethodQuery, in)
}

// Commit commits a bundle.
func (c *Client) Commit(ctx context.Context, in *Commit) (*CommitReply, error) {
	return call[CommitReply](ctx, c, FleetGroup, MethodCommit, in)
}

// Member changes the membership of a group.
func (c *Client) Member(ctx context.Context, in *Member) (*MemberReply, error) {
	return call[MemberReply](ctx, c, in.Group, MethodMember, in)
}

// Status asks one control host about itself.
func (c *Client) Status(ctx context.Context, a netip.AddrPort) (*StatusReply, error) {
	return wire.Call[StatusReply](ctx, c.Wire, a, MethodStatus, &Hello{})
}

// Hello asks one control host who it is.
func (c *Client) Hello(ctx context.Context, a netip.AddrPort) (*HelloReply, error) {
	return wire.Call[HelloReply](ctx, c.Wire, a, MethodHello, &Hello{})
}

// Register tells the leader of the fleet group that a host is alive.
func (c *Client) Register(ctx context.Context, in *Register) (*RegisterReply, error) {
	return call[RegisterReply](ctx, c, FleetGroup, MethodRegister, in)
}

// Document returns the newest configuration as its operator sent it.
func (c *Client) Document(ctx context.Context) (*DocumentReply, error) {
	return call[DocumentReply](ctx, c, FleetGroup, MethodDocument, &Document{})
}

// Retire asks that a store host gives its replicas away, or how far that is.
func (c *Client) Retire(ctx context.Context, in *Retire) (*RetireReply, error) {
	r, err := call[RetireReply](ctx, c, FleetGroup, MethodRetire, in)
	if err == nil && r.Err != nil {
		return nil, r.Err
	}
	return r, err
}
