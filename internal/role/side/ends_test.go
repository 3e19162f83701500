package side

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/policy/gate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// serveReturns serves the leader of a job group at the returned address, and sends the returns
// that it gets.
func serveReturns(t *testing.T) (netip.AddrPort, chan *jobs.Return) {
	returns := make(chan *jobs.Return, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	mux := wire.NewMux()
	wire.Unary(mux, control.MethodPropose, wire.Sides, func(_ context.Context, in *control.Propose) (*control.ProposeReply, error) {
		returns <- in.Command.Jobs.Return
		return &control.ProposeReply{Result: &shard.Result{Jobs: &jobs.Result{Accepted: []bool{true}}}}, nil
	})
	go func() { _ = mux.Serve(ctx, l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), returns
}

// TestReturnSaysThatTargetEnded guards against an item that ends targets and is returned like one
// that was preempted, and against a sound item that waits because its target broke off or ended for
// another reason.
func TestReturnSaysThatTargetEnded(t *testing.T) {
	const answered = 700 * time.Millisecond
	broken := func(string, int) platformtest.Fault { return platformtest.CutStream }
	tests := []struct {
		name   string
		target *platformtest.Target
		want   []bool
	}{
		{"ended before the first event", &platformtest.Target{CrashItem: "item"}, []bool{true}},
		{"ended after the first event", &platformtest.Target{CrashItem: "item", CrashEvents: 1}, []bool{true}},
		{"ended while it answered", &platformtest.Target{CrashItem: "item", CrashEvents: 1, CrashDelay: answered}, nil},
		{"ended while it answered what cannot be continued", &platformtest.Target{CrashItem: "item", CrashEvents: 1, CrashEventsWithoutIDs: true, CrashDelay: answered}, []bool{true}},
		{"broke off", &platformtest.Target{Fault: broken}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := test.target
			x.Downtime = time.Minute
			w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
			address, returns := serveReturns(t)
			w.host.control.SetHosts([]netip.AddrPort{address})
			w.host.keeper = &gatekeeper.Gatekeeper{Clock: w.clock, Gate: &gate.Yielding{Clock: w.clock, Slots: 1}}
			w.host.keeper.Start()
			w.host.keeper.ObserveLoad(rhubarbgate.TargetLoad{})
			w.addTask(task.grant, 1, time.Now().Add(leaseTTL))
			w.startQueued(context.Background())
			qt.Assert(t, (<-returns).TargetEnded, qt.DeepEquals, test.want)
			w.waitForTasks()
		})
	}
}
