// Package limits reports an entry's spent rate-limit tokens to the owners of the workspaces' rates and receives new grants.
package limits

import (
	"context"
	"expvar"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// exchangeInterval is the time between two exchanges with a group, unless a
	// workspace without tokens starts one earlier.
	exchangeInterval = 100 * time.Millisecond
	// exchangeTimeout bounds one exchange; it allows for a change of the owner.
	exchangeTimeout = 2 * time.Second
)

// Exchange runs the exchanges of one entry with the job groups, whose leaders own
// the rates. The groups run concurrently, so that one without a leader does not
// delay the others.
type Exchange struct {
	Holder *limit.Holder
	Client *control.Client
	Clock  clockwork.Clock
	// Name is the entry's incarnation.
	Name string
	// Groups returns the number of job groups, 0 while it is unknown.
	Groups func() int
	// Exchanges counts the messages sent to owners.
	Exchanges *expvar.Int

	wake []chan struct{} // by group number, from 1
}

// maxGroups bounds the number of job groups that an Exchange serves.
const maxGroups = 64

// Start prepares the Exchange. Call it before Run and before the first request is served.
func (x *Exchange) Start() {
	x.wake = make([]chan struct{}, maxGroups+1)
	for i := range x.wake {
		x.wake[i] = make(chan struct{}, 1)
	}
	x.Holder.OnWait = x.wakeGroup
}

// wakeGroup starts an exchange with the workspace's group without waiting for the
// interval, because the workspace is out of tokens.
func (x *Exchange) wakeGroup(workspace string) {
	n := x.Groups()
	if n == 0 {
		return
	}
	select {
	case x.wake[control.GroupOf(workspace, n)] <- struct{}{}:
	default:
	}
}

// Run exchanges with every group until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var g conc.WaitGroup
	for i := 1; i <= x.awaitGroups(ctx); i++ {
		g.Go(func() { x.runGroup(ctx, uint32(i)) })
	}
	g.Wait()
}

// awaitGroups returns the number of job groups once it is known.
func (x *Exchange) awaitGroups(ctx context.Context) int {
	for ctx.Err() == nil && x.Groups() == 0 {
		select {
		case <-ctx.Done():
		case <-x.Clock.After(exchangeInterval):
		}
	}
	return min(x.Groups(), maxGroups)
}

// runGroup exchanges with one group at every interval and when it is woken.
func (x *Exchange) runGroup(ctx context.Context, group uint32) {
	t := x.Clock.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.wake[group]:
		case <-t.Chan():
		}
		x.exchange(ctx, group)
	}
}

// exchange sends the token requests for the workspaces of a group and passes the
// grants to the holder.
func (x *Exchange) exchange(ctx context.Context, group uint32) {
	n := x.Groups()
	requests := x.Holder.TokenRequests(func(workspace string) bool { return control.GroupOf(workspace, n) == group })
	if len(requests) == 0 {
		return
	}
	x.Exchanges.Add(1)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := x.Clock.Now()
	r, err := x.Client.Settle(ctx, &control.Settle{Group: group, Holder: x.Name, Asks: requests})
	if err != nil {
		x.Holder.RecordExchangeFailure(requests)
		return
	}
	x.Holder.ApplyGrants(sent, requests, r.Grants)
}
