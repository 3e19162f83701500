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
