// Package limits exchanges spent tokens for grants with the owners of the workspaces' rates.
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
	// interval is how often spent tokens are reported.
	interval = 100 * time.Millisecond
	// timeout bounds one exchange; the owner may be changing.
	timeout = 2 * time.Second
)

// Exchange runs the exchanges of one entry. The groups run side by side, so one
// without a leader does not hold up the others.
type Exchange struct {
	Holder *limit.Holder
	Client *control.Client
	Clock  clockwork.Clock
	// Name is the entry's incarnation.
	Name string
	// Groups returns the number of job groups, 0 while not known.
	Groups func() int
	// Exchanges counts messages to owners.
	Exchanges *expvar.Int

	wake []chan struct{}
}

// maxGroups bounds the job groups that an exchange serves.
const maxGroups = 64

// Start prepares the exchange; call it before Run and before requests arrive.
func (x *Exchange) Start() {
	x.wake = make([]chan struct{}, maxGroups+1)
	for i := range x.wake {
		x.wake[i] = make(chan struct{}, 1)
	}
	x.Holder.Starved = x.starved
}

// starved makes the workspace's group exchange at once.
func (x *Exchange) starved(workspace string) {
	n := x.Groups()
	if n == 0 {
		return
	}
	select {
	case x.wake[control.GroupOf(workspace, n)] <- struct{}{}:
	default:
	}
}

// Run exchanges until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var g conc.WaitGroup
	for i := 1; i <= x.awaitGroups(ctx); i++ {
		g.Go(func() { x.group(ctx, uint32(i)) })
	}
	g.Wait()
}

// awaitGroups returns the number of job groups once it is known.
func (x *Exchange) awaitGroups(ctx context.Context) int {
	for ctx.Err() == nil && x.Groups() == 0 {
		select {
		case <-ctx.Done():
		case <-x.Clock.After(interval):
		}
	}
	return min(x.Groups(), maxGroups)
}

func (x *Exchange) group(ctx context.Context, group uint32) {
	t := x.Clock.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.wake[group]:
		case <-t.Chan():
		}
		x.settle(ctx, group)
	}
}

func (x *Exchange) settle(ctx context.Context, group uint32) {
	n := x.Groups()
	asks := x.Holder.TokenRequests(func(w string) bool { return control.GroupOf(w, n) == group })
	if len(asks) == 0 {
		return
	}
	x.Exchanges.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := x.Clock.Now()
	r, err := x.Client.Settle(ctx, &control.Settle{Group: group, Holder: x.Name, Asks: asks})
	if err != nil {
		x.Holder.Failed(asks)
		return
	}
	x.Holder.Deliver(sent, asks, r.Grants)
}
