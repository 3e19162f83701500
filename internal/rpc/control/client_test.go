package control

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// serve runs a control host that answers Document as the leader, or not at all.
func serve(t *testing.T, silent bool) (netip.AddrPort, chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	asked := make(chan struct{}, 100)
	m := wire.NewMux()
	wire.Unary(m, MethodDocument, wire.Operators, func(ctx context.Context, _ *Document) (*DocumentReply, error) {
		asked <- struct{}{}
		if silent {
			<-ctx.Done()
		}
		return &DocumentReply{Version: 7}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), asked
}

// TestSilentLeaderIsPassedOver checks that a host that was frozen while it led
// costs one attempt, not the whole call, and that later calls do not ask it.
func TestSilentLeaderIsPassedOver(t *testing.T) {
	frozen, asked := serve(t, true)
	healthy, _ := serve(t, false)
	clock := clockwork.NewFakeClock()
	c := &Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{healthy, frozen}, Clock: clock}
	defer c.Wire.Close()
	c.learn(FleetGroup, frozen)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	moving := make(chan struct{})
	go func() {
		defer close(moving)
		<-asked
		clock.Advance(attemptTimeout)
		// What waits next is the pause before the second attempt.
		if clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(retryPause)
		}
	}()
	r, err := c.Document(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Version, qt.Equals, uint64(7))
	for range 5 {
		_, err := c.Document(ctx)
		qt.Assert(t, err, qt.IsNil)
	}
	cancel()
	<-moving
	qt.Assert(t, asked, qt.HasLen, 0)
	qt.Assert(t, c.avoids(frozen), qt.IsTrue)
	clock.Advance(avoidFor + time.Second)
	qt.Assert(t, c.avoids(frozen), qt.IsFalse)
}
