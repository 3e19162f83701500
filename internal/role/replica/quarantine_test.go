package replica

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// TestBlocksOutliveLostPower guards against forgetting which requests end targets when the control
// hosts lose power and the other processes restart, so that more targets end.
func TestBlocksOutliveLostPower(t *testing.T) {
	tests := []struct {
		name    string
		waiting time.Duration // from the write to the start
		left    time.Duration
	}{
		{"at once", 0, time.Minute},
		{"later", 50 * time.Second, 10 * time.Second},
		{"after its end", 2 * time.Minute, 0},
		{"time of day set back", -time.Hour, quarantine.BlockTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dir, clock := t.TempDir(), clockwork.NewFakeClock()
			newHost := func() *Host {
				return &Host{Data: dir, Clock: clock, Logger: &log.Logger{Handler: discard.New()}}
			}
			h := newHost()
			bad, tried := quarantine.Part{Service: "lm", ID: "request:1"}, quarantine.Part{Service: "lm", ID: "request:2"}
			q := control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{{Part: bad, Left: time.Minute}, {Part: tried, Trial: true, Left: time.Minute}}}
			h.applyQuarantine(&q, clock.Now())
			saved := h.saveBlocks(nil)
			qt.Assert(t, saved, qt.HasLen, 1)

			clock.Advance(test.waiting)
			h = newHost()
			qt.Assert(t, h.loadQuarantine(), qt.IsNil)
			qt.Assert(t, h.beginQuarantine(2, clock.Now()), qt.IsTrue)
			blocks := h.quarantine.table.Blocks()
			if test.left == 0 {
				qt.Assert(t, blocks, qt.HasLen, 0)
				return
			}
			qt.Assert(t, blocks, qt.HasLen, 1)
			qt.Assert(t, blocks[0].Part, qt.Equals, bad)
			qt.Assert(t, blocks[0].Left, qt.Equals, test.left)
		})
	}
}

// TestTrialsOutliveLostPower guards against granting the trials of a block anew whenever the control hosts lose power,
// so that a request that ends targets ends some more, and against writing the blocks while nothing but time changes.
func TestTrialsOutliveLostPower(t *testing.T) {
	tests := []struct {
		name    string
		trialIn time.Duration // when it was saved
		waiting time.Duration
		want    time.Duration
	}{
		{"later", 8 * time.Second, 3 * time.Second, 5 * time.Second},
		{"due meanwhile", 8 * time.Second, 10 * time.Second, time.Nanosecond},
		{"none before the end of the block", quarantine.BlockTime, 10 * time.Second, quarantine.BlockTime - 10*time.Second},
		{"time of day set back", 8 * time.Second, -time.Hour, quarantine.BlockTime},
		{"of an earlier build", 0, 10 * time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dir, clock := t.TempDir(), clockwork.NewFakeClock()
			newHost := func() *Host {
				return &Host{Data: dir, Clock: clock, Logger: &log.Logger{Handler: discard.New()}}
			}
			h := newHost()
			block := quarantine.Block{Part: quarantine.Part{Service: "lm", ID: "a"}, TrialIn: test.trialIn, LateTrials: 1, Left: 4 * time.Minute}
			h.applyQuarantine(&control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{block}}, clock.Now())
			saved := h.saveBlocks(nil)
			qt.Assert(t, saved, qt.HasLen, 1)
			clock.Advance(test.waiting)
			if test.waiting > 0 {
				qt.Assert(t, &h.saveBlocks(saved)[0], qt.Equals, &saved[0], qt.Commentf("written again"))
			}
			h = newHost()
			qt.Assert(t, h.loadQuarantine(), qt.IsNil)
			b := h.Quarantine(clock.Now()).Blocks
			qt.Assert(t, b, qt.HasLen, 1)
			qt.Assert(t, b[0].TrialIn, qt.Equals, test.want)
			qt.Assert(t, b[0].LateTrials, qt.Equals, 1)
		})
	}
}
