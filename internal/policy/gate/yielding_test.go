package gate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// TestItemsFillFreeSlotsAndYieldToQueuedRequests follows a rise and fall of online
// traffic: items fill the free slots, and when online requests are queued, the next
// report preempts as many items as needed, latest deadline first. Items that are
// still stopping must not cause further preemptions.
func TestItemsFillFreeSlotsAndYieldToQueuedRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	y := &Yielding{Clock: clock, Slots: 8}
	qt.Assert(t, y.FreeBatchSlots(), qt.Equals, 0, qt.Commentf("nothing starts before the target has reported its load"))
	y.ObserveLoad(rhubarbgate.TargetLoad{Running: 1})
	started := 0
	for i := range uint64(10) {
		// Items are not offered in the order of their deadlines.
		d := y.Offer(rhubarbgate.Work{ID: i, Class: rhubarbgate.Batch, Deadline: clock.Now().Add(time.Duration(i*7%10) * time.Second)})
		started += len(d.Start)
	}
	qt.Assert(t, started, qt.Equals, 7)
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8}).Preempt, qt.HasLen, 0)
	// Five more online requests have arrived and are queued.
	d := y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8, Waiting: 5})
	qt.Assert(t, d.Preempt, qt.DeepEquals, []uint64{4, 1, 5, 2, 6})
	// The next report arrives before the preempted items have ended: no further
	// item is preempted.
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8, Waiting: 5}).Preempt, qt.HasLen, 0)
	for _, id := range d.Preempt {
		y.Done(id)
	}
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8}).Preempt, qt.HasLen, 0)
	qt.Assert(t, y.FreeBatchSlots(), qt.Equals, 0)
	y.ObserveLoad(rhubarbgate.TargetLoad{Running: 3})
	qt.Assert(t, y.FreeBatchSlots(), qt.Equals, 5)
	y.LoadLost()
	qt.Assert(t, y.FreeBatchSlots(), qt.Equals, 0)
}

// TestOverdueAndLeastAdvancedItemsArePreemptedFirst guards against items that delay
// each other: after a power loss, 110 items had the same deadline, each was preempted
// and restarted many times, so all advanced at the same pace and 79 finished late.
func TestOverdueAndLeastAdvancedItemsArePreemptedFirst(t *testing.T) {
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

// TestReservationsPreemptOnce guards against an item that is preempted for a request that already had its slot
// freed: a reservation stays until a report covers it, and reports lag behind the end of the preempted item.
func TestReservationsPreemptOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	y := &Yielding{Clock: clock, Slots: 8}
	y.ObserveLoad(rhubarbgate.TargetLoad{Running: 4})
	for id := range uint64(4) {
		qt.Assert(t, y.Offer(rhubarbgate.Work{ID: id, Class: rhubarbgate.Batch, Deadline: clock.Now().Add(time.Minute)}).Start, qt.HasLen, 1)
	}
	// The items count although no report shows them yet.
	d := y.ObserveReserved(1)
	qt.Assert(t, d.Preempt, qt.HasLen, 1)
	qt.Assert(t, y.ObserveReserved(1).Preempt, qt.HasLen, 0)
	clock.Advance(20 * time.Millisecond)
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8}).Preempt, qt.HasLen, 0)
	y.Done(d.Preempt[0])
	clock.Advance(20 * time.Millisecond)
	// The report is 50 ms old and counts the item that has ended.
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 8}).Preempt, qt.HasLen, 0)
	qt.Assert(t, y.FreeBatchSlots() <= 0, qt.IsTrue)
	clock.Advance(endedLag)
	qt.Assert(t, y.ObserveLoad(rhubarbgate.TargetLoad{Running: 7}).Preempt, qt.HasLen, 0)
	// The reservation ended without its request.
	y.ObserveReserved(0)
	qt.Assert(t, y.FreeBatchSlots(), qt.Equals, 1)
	y.LoadLost()
	qt.Assert(t, y.ObserveReserved(8).Preempt, qt.HasLen, 0, qt.Commentf("the load is not known"))
}
