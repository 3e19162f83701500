package side

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestItemsAtAnAddressThatGoesToAnotherService guards against items at a target of another service, which has the
// address of this side's target before the list shows it.
func TestItemsAtAnAddressThatGoesToAnotherService(t *testing.T) {
	const reuseDelay = 500 * time.Millisecond
	tests := []struct {
		service  string
		downtime time.Duration
		runs     int
	}{
		{"other", reuseDelay, 0},
		{"lm", 0, 1},
	}
	for _, test := range tests {
		t.Run(test.service, func(t *testing.T) {
			x := &platformtest.Target{}
			w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
			w.host.presence = &discovery.Presence{Clock: w.clock, ReuseDelay: reuseDelay}
			w.host.presence.Observe(w.clock.Now())
			qt.Assert(t, w.streamItem(context.Background(), task) == nil, qt.IsTrue)
			x.Close()
			time.Sleep(test.downtime)
			next := &platformtest.Target{Instance: "next", Service: test.service, Slots: 8, Events: 10}
			qt.Assert(t, next.StartAt(x.Address()), qt.IsNil)
			t.Cleanup(next.Close)
			w.host.presence.Observe(w.clock.Now())
			for range 3 {
				task.output = output{}
				if w.streamItem(context.Background(), task) == nil {
					break
				}
			}
			qt.Assert(t, next.Runs(), qt.HasLen, test.runs)
		})
	}
}
