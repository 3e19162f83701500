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

// startHost runs a control host that replies to Document as the leader or, if
// unresponsive, holds every call. The channel receives one value per call.
func startHost(t *testing.T, unresponsive bool) (netip.AddrPort, chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	calls := make(chan struct{}, 100)
	m := wire.NewMux()
	wire.Unary(m, MethodDocument, wire.Operators, func(ctx context.Context, _ *Document) (*DocumentReply, error) {
		calls <- struct{}{}
		if unresponsive {
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
	return l.Addr().(*net.TCPAddr).AddrPort(), calls
}

// TestUnresponsiveLeaderIsSkipped guards against calls that fail, or take a full attempt
// timeout each, while the recorded leader is frozen: it accepts connections but never
// replies. Only the first attempt may reach it until avoidDuration has passed.
func TestUnresponsiveLeaderIsSkipped(t *testing.T) {
	frozen, calls := startHost(t, true)
	healthy, _ := startHost(t, false)
	clock := clockwork.NewFakeClock()
	c := &Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{healthy, frozen}, Clock: clock}
	defer c.Wire.Close()
	c.setLeader(FleetGroup, frozen)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clockDone := make(chan struct{})
	go func() {
		defer close(clockDone)
		<-calls
		clock.Advance(attemptTimeout)
		// The next timer on the clock is the wait before the second attempt.
		if clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(retryInterval)
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
	<-clockDone
	qt.Assert(t, calls, qt.HasLen, 0)
	qt.Assert(t, c.isAvoided(frozen), qt.IsTrue)
	clock.Advance(avoidDuration + time.Second)
	qt.Assert(t, c.isAvoided(frozen), qt.IsFalse)
}
