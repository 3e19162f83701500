package side

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
)

// TestSetSlotKeepsRequeuedTask guards against removing the wrong task from the
// queue: a preempted task is put at the head of the queue while the former first
// task gets its slot, so the task to remove is no longer the first.
func TestSetSlotKeepsRequeuedTask(t *testing.T) {
	w := &worker{clock: clockwork.NewFakeClock()}
	starting, preempted := &task{}, &task{}
	w.queued = []*task{starting}
	w.requeue(context.Background(), preempted)
	w.setSlot(starting, &gatekeeper.Slot{})
	qt.Assert(t, len(w.queued), qt.Equals, 1)
	qt.Assert(t, w.queued[0] == preempted, qt.IsTrue)
}
