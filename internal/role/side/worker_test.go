package side

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/policy/gate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/platform"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestSetSlotKeepsRequeuedTask guards against removing the wrong task from the
// queue: a preempted task is put at the head of the queue while the former first
// task gets its slot, so the task to remove is no longer the first.
func TestSetSlotKeepsRequeuedTask(t *testing.T) {
	w := &worker{host: &Host{}, clock: clockwork.NewFakeClock()}
	starting, preempted := &task{}, &task{}
	w.queued = []*task{starting}
	w.requeue(context.Background(), preempted)
	w.setSlot(starting, &gatekeeper.Slot{})
	qt.Assert(t, len(w.queued), qt.Equals, 1)
	qt.Assert(t, w.queued[0] == preempted, qt.IsTrue)
}

// TestItemsKeepToTheTargetsLimit guards against batch items on top of what a target takes, and
// against a side that never finds out that it has items to claim a share for.
func TestItemsKeepToTheTargetsLimit(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		// want are the items that may be leased at first, at once afterwards, and later.
		want [3]int
	}{
		{"share", 2, [3]int{8, 8, 8}},
		{"no share", 0, [3]int{1, 0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			w, task := newBatchOnlyWorker(t, &platformtest.Target{}, clock)
			w.host.Slots = 8
			l := apportion.Limit{Target: w.host.targetName(), Holders: []apportion.Holder{{Process: w.host.limits.Process, PerSecond: test.share}}}
			w.host.limits.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 1, Number: 1}, Limits: []apportion.Limit{l}})
			clock.Advance(2 * askInterval)
			first, second := w.allowedByLimit(), w.allowedByLimit()
			clock.Advance(askInterval)
			qt.Assert(t, [3]int{first, second, w.allowedByLimit()}, qt.Equals, test.want)

			qt.Assert(t, w.hadItems(), qt.IsFalse)
			w.addTask(task.grant, 1, clock.Now().Add(leaseTTL))
			qt.Assert(t, w.hadItems(), qt.IsTrue)
			clock.Advance(workTTL)
			qt.Assert(t, w.hadItems(), qt.IsTrue, qt.Commentf("an item is leased"))
			if test.share == 0 {
				w.startQueued(context.Background())
				qt.Assert(t, w.hasQueued(), qt.IsTrue)
			}
		})
	}
}

// TestItemsAtColdTargets guards against leases of a side whose cold target leaves it no token, and against a cold target that is
// found out only from the list.
func TestItemsAtColdTargets(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		want  int
	}{
		{"token", 2, 1},
		{"no share", 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			x := &platformtest.Target{}
			w, _ := newBatchOnlyWorker(t, x, clock)
			h := w.host
			h.Slots, h.Health = 8, &platform.Engine{Client: &target.Client{Address: x.Address(), Clock: clock, KeepUnidentified: true}}
			s := rhubarbgate.Section{Services: []rhubarbgate.Service{{Name: "lm", ColdStart: time.Minute, ColdPerSecond: 12, HealthPath: platformtest.HealthPath}}}
			c := config.FromSection(2, nil, s)
			h.watcher.ApplyReply(&control.PollReply{Version: 2, Sum: c.Sum, Section: &s}, clock.Now())
			h.Targets.Cold.SetServices(c.Services)
			qt.Assert(t, w.allowedByLimit(), qt.Equals, 8)
			x.SetCold(time.Minute)
			h.checkHealth(t.Context(), false)
			qt.Assert(t, h.limits.IsCold(h.targetName()), qt.IsFalse)
			h.checkHealth(t.Context(), true)
			qt.Assert(t, h.limits.IsCold(h.targetName()), qt.IsTrue)
			l := apportion.Limit{
				Target: h.targetName(), Service: "lm", ColdLeft: time.Minute, Burst: 1, Holders: []apportion.Holder{{Process: h.limits.Process, PerSecond: test.share}},
			}
			h.limits.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 1, Number: 1}, Limits: []apportion.Limit{l}})
			clock.Advance(2 * askInterval)
			for range 3 {
				qt.Assert(t, w.allowedByLimit(), qt.Equals, test.want)
			}
		})
	}
}

// TestLeasesAreRenewedWhileDraining guards against items that fail although they run to their end, because
// their leases expire while the side drains.
func TestLeasesAreRenewedWhileDraining(t *testing.T) {
	c := qt.New(t)
	w, task := newBatchOnlyWorker(t, &platformtest.Target{}, clockwork.NewRealClock())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	renewed := make(chan *control.Renew, 16)
	mux := wire.NewMux()
	wire.Unary(mux, control.MethodRenew, wire.Daemons, func(_ context.Context, in *control.Renew) (*control.RenewReply, error) {
		renewed <- in
		return &control.RenewReply{Live: slices.Repeat([]bool{true}, len(in.Items))}, nil
	})
	go func() { _ = mux.Serve(t.Context(), l) }()
	w.host.control.SetHosts([]netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()})

	ctx, drain := context.WithCancel(t.Context())
	drain()
	task.leaseExpiry = time.Now().Add(time.Minute)
	w.leased[task.grant.Ref] = task
	ended := make(chan struct{})
	w.tasks.Go(func() { <-ended })
	finished := make(chan struct{})
	go func() {
		w.run(ctx)
		close(finished)
	}()
	select {
	case in := <-renewed:
		c.Check(in.Items, qt.DeepEquals, []jobs.ItemRef{task.grant.Ref})
	case <-time.After(10 * time.Second):
		c.Error("the lease of the running item is not renewed")
	}
	close(ended)
	<-finished
}

// panickingDialect panics when an item is encoded.
type panickingDialect struct{ platform.Dialect }

func (panickingDialect) TargetHeaders(rhubarbgate.TargetCall) []rhubarbgate.Header { panic("fault") }

// TestPanicEndsOnlyItsAttempt guards against an item that takes a slot of one side after the
// other for good, and ends each when it stops, because its handling panics.
func TestPanicEndsOnlyItsAttempt(t *testing.T) {
	w, task := newBatchOnlyWorker(t, &platformtest.Target{}, clockwork.NewRealClock())
	w.host.Dialect = panickingDialect{}
	w.host.keeper = &gatekeeper.Gatekeeper{Clock: w.clock, Gate: &gate.Yielding{Clock: w.clock, Slots: 1}}
	w.host.keeper.Start()
	w.host.keeper.ObserveLoad(rhubarbgate.TargetLoad{})
	w.addTask(task.grant, 1, time.Now().Add(leaseTTL))
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	w.startQueued(ctx)
	w.waitForTasks()
	w.mu.Lock()
	defer w.mu.Unlock()
	qt.Assert(t, w.leased, qt.HasLen, 0)
	qt.Assert(t, w.host.keeper.Load().Batch, qt.Equals, 0)
	qt.Assert(t, w.host.counts.panics.Value(), qt.Equals, int64(1))
}
