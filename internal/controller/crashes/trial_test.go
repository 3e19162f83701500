package crashes

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// TestTrialsOfBlocks guards against a block that is never tried, one that is tried before its time or by a process
// that misses the leader, and callers that are told to come back long after the next trial.
func TestTrialsOfBlocks(t *testing.T) {
	part := quarantine.Part{Service: "lm", ID: "a"}
	tests := []struct {
		name       string
		block      quarantine.Block
		leader     bool
		later      time.Duration
		retryAfter time.Duration
		trial      bool
	}{
		{"too early", quarantine.Block{Part: part, TrialIn: 3 * time.Second, Left: time.Minute}, true, time.Second, 2 * time.Second, false},
		{"due", quarantine.Block{Part: part, TrialIn: 3 * time.Second, Left: time.Minute}, true, 3 * time.Second, TrialRetryAfter, true},
		{"due since long", quarantine.Block{Part: part, TrialIn: 3 * time.Second, Left: time.Minute}, true, 30 * time.Second, TrialRetryAfter, true},
		{"due, no leader", quarantine.Block{Part: part, TrialIn: 3 * time.Second, Left: time.Minute}, false, 3 * time.Second, TrialRetryAfter, false},
		{"no trial before its end", quarantine.Block{Part: part, TrialIn: time.Hour, Left: time.Minute}, true, 3 * time.Second, 57 * time.Second, false},
		{"of a leader that allows none", quarantine.Block{Part: part, Left: time.Minute}, true, 3 * time.Second, 57 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var term atomic.Uint64
			r, _ := newTestRecorder(t, &term, nil)
			clock := clockwork.NewFakeClock()
			r.Clock = clock
			if !test.leader {
				loseLeader(r)
			}
			r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{test.block}}, clock.Now())
			clock.Advance(test.later)
			_, retryAfter, blocked := r.Blocked("lm", []string{"a"})
			qt.Assert(t, blocked, qt.IsTrue)
			qt.Assert(t, retryAfter, qt.Equals, test.retryAfter)
			qt.Assert(t, r.RequestTrial(context.Background(), "lm", []string{"a"}), qt.Equals, test.trial)
			if !test.leader {
				clock.Advance(ownTrialAfter)
				qt.Assert(t, r.RequestTrial(context.Background(), "lm", []string{"a"}), qt.IsFalse, qt.Commentf("no leader for long"))
			}
		})
	}
}

// TestBusyTargetsLeaveTrials guards against a trial that ends a target with all that runs there while others are
// idle, and against one that is never sent because all targets are busy.
func TestBusyTargetsLeaveTrials(t *testing.T) {
	var term atomic.Uint64
	r, _ := newTestRecorder(t, &term, nil)
	clock := clockwork.NewFakeClock()
	r.Clock = clock
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{
		{Part: quarantine.Part{Service: "lm", ID: "a"}, TrialIn: time.Second, Left: time.Minute},
		{Part: quarantine.Part{Service: "lm", ID: "b"}, Trial: true, Left: time.Minute},
	}}, clock.Now())
	clock.Advance(time.Second)
	qt.Assert(t, r.LeavesTrial("lm", []string{"a"}), qt.IsTrue)
	qt.Assert(t, r.LeavesTrial("lm", []string{"b"}), qt.IsFalse)
	clock.Advance(busyTrialDelay)
	qt.Assert(t, r.LeavesTrial("lm", []string{"a"}), qt.IsFalse)
}

// TestReturnedTrialsReachTheLeader guards against counting trials as sent that reached no target.
func TestReturnedTrialsReachTheLeader(t *testing.T) {
	var term atomic.Uint64
	r, received := newTestRecorder(t, &term, nil)
	other := quarantine.Part{Service: "other", ID: "a"}
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{{Part: other, TrialIn: 1, Left: time.Minute}}}, r.Clock.Now())
	r.ReturnTrial("lm", []string{"a", "b"})
	in, _ := r.buildReport()
	qt.Assert(t, in.ReturnedTrials, qt.DeepEquals, [][]quarantine.Part{append(quarantine.Parts("lm", []string{"a", "b"}), other)})
	qt.Assert(t, r.reportOnce(t.Context()), qt.IsTrue)
	<-received
	qt.Assert(t, r.returnedTrials, qt.HasLen, 0)
}

// TestNewLeaderLearnsOfTrials guards against a new leader that counts the trials of a block from the start.
func TestNewLeaderLearnsOfTrials(t *testing.T) {
	var term atomic.Uint64
	term.Store(2)
	r, received := newTestRecorder(t, &term, nil)
	clock := clockwork.NewFakeClock()
	r.Clock = clock
	block := quarantine.Block{Part: quarantine.Part{Service: "lm", ID: "a"}, TrialIn: 8 * time.Second, LateTrials: 1, Left: time.Minute}
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{block}}, clock.Now())
	clock.Advance(3 * time.Second)
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 2}}, clock.Now())
	qt.Assert(t, r.reportOnce(t.Context()), qt.IsTrue)
	block.TrialIn, block.Left = 5*time.Second, 57*time.Second
	qt.Assert(t, (<-received).Blocks, qt.DeepEquals, []quarantine.Block{block})
}
