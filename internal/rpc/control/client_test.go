package control

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
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

// TestVerdictOfEarlierAttempt guards against a promise that nothing ran for a command that an earlier
// attempt may have committed: its reply was lost, and the next attempt is refused.
func TestVerdictOfEarlierAttempt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var calls atomic.Int32
	m := wire.NewMux()
	wire.Unary(m, MethodPropose, wire.Operators, func(context.Context, *Propose) (*ProposeReply, error) {
		if calls.Add(1) == 1 {
			return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.MayHaveRun, "the outcome is unknown")
		}
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeStale, rhubarbgate.NotRun, "refused")
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = m.Serve(ctx, l) }()
	c := &Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()}, Clock: clockwork.NewRealClock()}
	defer c.Wire.Close()
	_, err = c.Jobs(ctx, 1, jobs.Command{})
	qt.Assert(t, calls.Load(), qt.Equals, int32(2))
	qt.Assert(t, rhubarbgate.AsError(err).Code, qt.Equals, rhubarbgate.CodeStale)
	qt.Assert(t, rhubarbgate.AsError(err).Verdict, qt.Equals, rhubarbgate.MayHaveRun)
}

// TestHostsThatNameEachOther guards against a client and two hosts that are busy with calls for as
// long as each of the hosts takes the other for the leader, as they may during an election.
func TestHostsThatNameEachOther(t *testing.T) {
	var listeners []net.Listener
	var hosts []netip.AddrPort
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners, hosts = append(listeners, l), append(hosts, l.Addr().(*net.TCPAddr).AddrPort())
	}
	var calls atomic.Int32
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i, l := range listeners {
		m := wire.NewMux()
		wire.Unary(m, MethodDocument, wire.Operators, func(context.Context, *Document) (*DocumentReply, error) {
			calls.Add(1)
			return &DocumentReply{Routing: Routing{NotLeader: true, Leader: hosts[1-i]}}, nil
		})
		go func() { _ = m.Serve(ctx, l) }()
	}
	c := &Client{Wire: wire.NewClient(nil), Hosts: hosts, Clock: clockwork.NewRealClock()}
	defer c.Wire.Close()
	const duration = 500 * time.Millisecond
	call, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	_, err := c.Document(call)
	qt.Assert(t, err, qt.IsNotNil)
	// A redirect may be followed at once, then the client waits.
	most := 2 * (int32(duration/retryInterval) + 1)
	qt.Assert(t, calls.Load() <= most, qt.IsTrue, qt.Commentf("%d calls, %d may be made", calls.Load(), most))
}
