package configuration

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// evacuated returns a reply with evacuated zones.
func evacuated(version uint64, zones ...string) *control.PollReply {
	return &control.PollReply{Groups: 1, Evacuation: &evacuation.Set{Version: version, Zones: zones}}
}

// TestEvacuationNeverReturnsToAnOlderVersion guards against a daemon that sends to an evacuated zone again
// because a host that is behind, or a new leader, replies with an older set or with none.
func TestEvacuationNeverReturnsToAnOlderVersion(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := newWatcher(clock)
	var applied []uint64
	var at time.Time
	w.OnEvacuation = func(s evacuation.Set, knownAt time.Time) { applied, at = append(applied, s.Version), knownAt }
	sent := clock.Now()
	clock.Advance(time.Second)
	reply := evacuated(2, "a")
	reply.Age = 300 * time.Millisecond
	w.ApplyReply(reply, sent)
	qt.Assert(t, at.Equal(sent.Add(-300*time.Millisecond)), qt.IsTrue)
	for _, r := range []*control.PollReply{evacuated(1, "b"), {Groups: 1}, evacuated(2), evacuated(0)} {
		w.ApplyReply(r, clock.Now())
		qt.Assert(t, w.Evacuation(), qt.DeepEquals, evacuation.Set{Version: 2, Zones: []string{"a"}})
	}
	w.ApplyReply(evacuated(3), clock.Now())
	qt.Assert(t, applied, qt.DeepEquals, []uint64{2, 3})
}

// TestEvacuationEndsHeldPolls guards against an evacuation that reaches a daemon behind a relaying parent only
// when its held poll ends, and against polls of an earlier build, which knows of no evacuations, that are
// answered at once for as long as a zone is evacuated.
func TestEvacuationEndsHeldPolls(t *testing.T) {
	held, current := uint64(0), uint64(1)
	tests := []struct {
		name    string
		version *uint64
		// ended says that a poll after the change is answered at once, carried that replies have the zones.
		ended, carried bool
	}{
		{"older", &held, true, true},
		{"the same", &current, false, false},
		{"earlier build", nil, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			w := newWatcher(clock)
			w.ApplyReply(&control.PollReply{Groups: 1}, clock.Now())
			poll := &control.Poll{Wait: time.Second, Evacuation: test.version}
			replies := make(chan *control.PollReply, 1)
			ask := func() {
				go func() { replies <- replyToPoll(context.Background(), w, clock, poll) }()
			}
			ask()
			qt.Assert(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
			w.ApplyReply(evacuated(1, "a"), clock.Now())
			// A change ends the polls that wait, whatever they hold.
			qt.Assert(t, (<-replies).Evacuation != nil, qt.Equals, test.carried)
			ask()
			if !test.ended {
				qt.Assert(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
				clock.Advance(time.Second)
			}
			qt.Assert(t, (<-replies).Evacuation != nil, qt.Equals, test.carried)
		})
	}
}
