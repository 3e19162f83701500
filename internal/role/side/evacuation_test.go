package side

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestItemsInAnEvacuatedZone guards against items that go on, start or stay leased at a side whose zone is
// evacuated, and against output of a preempted item that is lost.
func TestItemsInAnEvacuatedZone(t *testing.T) {
	x := &platformtest.Target{Pace: 50 * time.Millisecond}
	w, template := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
	h := w.host
	h.Slots = 1
	evacuate := func(version uint64, zones ...string) {
		h.watcher.ApplyReply(&control.PollReply{Evacuation: &evacuation.Set{Version: version, Zones: zones}}, h.Clock.Now())
		h.updateEvacuated()
	}
	add := func(index int) *task {
		grant := template.grant
		grant.Ref, grant.Idempotent = jobs.ItemRef{Job: "j", Index: index}, true
		w.addTask(grant, 1, h.Clock.Now().Add(leaseTTL))
		return w.leased[grant.Ref]
	}
	running, queued := add(1), add(2)
	h.keeper.Gate = h.gate()
	h.keeper.ObserveLoad(rhubarbgate.TargetLoad{})
	w.startQueued(context.Background())
	for len(x.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // for some events
	qt.Assert(t, w.queued, qt.HasLen, 1)
	qt.Assert(t, w.queued[0] == queued, qt.IsTrue)
	qt.Assert(t, w.hasTasks(), qt.IsTrue)

	evacuate(1, "z")
	w.waitForTasks()
	qt.Assert(t, w.hasTasks(), qt.IsFalse)
	qt.Assert(t, running.output.LastID, qt.Not(qt.Equals), "")
	qt.Assert(t, x.Runs()[0].Completed, qt.IsFalse)
	// A reply to a call for leases that was sent before.
	add(3)
	h.keeper.ObserveLoad(rhubarbgate.TargetLoad{})
	w.startQueued(context.Background())
	qt.Assert(t, w.itemsToLease(), qt.Equals, 0)
	w.returnQueued()
	w.waitForTasks()
	qt.Assert(t, w.hasTasks(), qt.IsFalse)
	qt.Assert(t, x.Runs(), qt.HasLen, 1)

	evacuate(2)
	qt.Assert(t, w.itemsToLease(), qt.Equals, 0, qt.Commentf("the load is that of before the evacuation"))
	h.keeper.ObserveLoad(rhubarbgate.TargetLoad{})
	qt.Assert(t, w.itemsToLease(), qt.Equals, 1)
}

// TestZoneOfASide guards against a side that follows its own zone where the list has another one for its
// target, which entries go by.
func TestZoneOfASide(t *testing.T) {
	w, _ := newBatchOnlyWorker(t, &platformtest.Target{}, clockwork.NewRealClock())
	w.host.AvailabilityZone = "own"
	qt.Assert(t, w.host.zone(), qt.Equals, "z")
	w.host.Targets.Update(nil, w.host.Clock.Now())
	qt.Assert(t, w.host.zone(), qt.Equals, "own")
}
