package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// TestItemsLeaveTheTopsOfTheWave answers the wave of the traffic: items fill the
// valley, and when online requests wait, as many leave at the next report as it
// takes, those due last first.
func TestItemsLeaveTheTopsOfTheWave(t *testing.T) {
	clock := clockwork.NewFakeClock()
	y := &Yielding{Clock: clock, Slots: 8}
	qt.Assert(t, y.BatchRoom(), qt.Equals, 0, qt.Commentf("nothing starts before the engine has reported"))
	y.ObserveLoad(rhubarbgate.TargetLoad{Running: 1})
	started := 0
	for i := range uint64(10) {
		// Items are offered in another order than they are due.
		d := y.Offer(rhubarbgate.Work{ID: i, Class: rhubarbgate.Batch, Deadline: clock.Now().Add(time.Duration(i*7%10) * time.Second)})
		started += len(d.Start)
	}
	qt.Assert(t, started, qt.Equals, 7)
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8}).Preempt, qt.HasLen, 0)
	// Five more online requests have come, and wait.
	d := y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8, Waiting: 5})
	qt.Assert(t, d.Preempt, qt.DeepEquals, []uint64{4, 1, 5, 2, 6})
	// The next report comes before they have left: nobody else has to.
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8, Waiting: 5}).Preempt, qt.HasLen, 0)
	for _, id := range d.Preempt {
		y.Done(id)
	}
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8}).Preempt, qt.HasLen, 0)
	qt.Assert(t, y.BatchRoom(), qt.Equals, 0)
	y.ObserveLoad(rhubarbgate.TargetLoad{Running: 3})
	qt.Assert(t, y.BatchRoom(), qt.Equals, 5)
	y.LoadLost()
	qt.Assert(t, y.BatchRoom(), qt.Equals, 0)
}

// TestLateAndYoungItemsLeaveFirst answers mwangi-ops trouble-1 (seed 20): behind
// a loss of power 110 items were due at the same time. Each was stopped and
// started again and again, all went on at the same pace, and 79 ended late.
func TestLateAndYoungItemsLeaveFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	y := &Yielding{Clock: clock, Slots: 4}
	y.ObserveLoad(rhubarbgate.TargetLoad{})
	due := clock.Now().Add(10 * time.Second)
	for id, progress := range []int{300, 0, 9000} {
		y.Offer(rhubarbgate.Work{ID: uint64(id), Class: rhubarbgate.Batch, Deadline: due, Progress: progress})
	}
	y.Offer(rhubarbgate.Work{ID: 3, Class: rhubarbgate.Batch, Deadline: clock.Now().Add(time.Second), Progress: 5000})
	clock.Advance(2 * time.Second)
	d := y.ObserveLoad(rhubarbgate.TargetLoad{Running: 4, Waiting: 3})
	qt.Assert(t, d.Preempt, qt.DeepEquals, []uint64{3, 1, 0})
}
