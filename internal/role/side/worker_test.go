package side

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
)

// TestPreemptedBesidePlaced checks that a task that got a place does not wait
// for another one if a preempted task was put before it at the same moment.
func TestPreemptedBesidePlaced(t *testing.T) {
	w := &worker{clock: clockwork.NewFakeClock()}
	starting, preempted := &task{}, &task{}
	w.ready = []*task{starting}
	w.requeue(context.Background(), preempted)
	w.placed(starting, &gatekeeper.Slot{})
	qt.Assert(t, len(w.ready), qt.Equals, 1)
	qt.Assert(t, w.ready[0] == preempted, qt.IsTrue)
}
