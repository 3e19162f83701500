package discovery

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// TestVersionOfTargets guards against taking a target for one of the software version that its address
// or its ID had before.
func TestVersionOfTargets(t *testing.T) {
	instance := func(id, version string) rhubarbgate.Instance {
		return rhubarbgate.Instance{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Version: version}
	}
	before, after := instance("i", "v1"), instance("j", "v2")
	list := func(i rhubarbgate.Instance) func(*Table, *Target, time.Time) {
		return func(table *Table, _ *Target, now time.Time) { table.Update([]rhubarbgate.Instance{i}, now) }
	}
	adopt := func(table *Table, x *Target, now time.Time) {
		x.RecordRun(now)
		table.Adopt(context.Background(), x, after.ID, now)
	}
	refuse := func(_ *Table, x *Target, now time.Time) { x.recordRefused(now) }
	tests := []struct {
		name   string
		events []func(table *Table, x *Target, now time.Time) // one a second
		id     string                                         // of the target to look at
		want   string                                         // empty if it is not known
	}{
		{"listed", nil, "i", "v1"},
		{"listed with another version", []func(*Table, *Target, time.Time){list(instance("i", "v2"))}, "i", "v2"},
		{"adopted", []func(*Table, *Target, time.Time){adopt}, "j", ""},
		{"adopted, the list is late", []func(*Table, *Target, time.Time){adopt, list(before)}, "j", ""},
		{"adopted, then listed", []func(*Table, *Target, time.Time){adopt, list(after)}, "j", "v2"},
		{"was down", []func(*Table, *Target, time.Time){refuse, list(before)}, "i", ""},
		{"was down, listed again later", []func(*Table, *Target, time.Time){refuse, list(before), list(before), list(before)}, "i", "v1"},
		{"was down, listed later with another version", []func(*Table, *Target, time.Time){refuse, list(before), list(before), list(instance("i", "v2"))}, "i", "v2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			table := &Table{
				Clock: clock, Logger: &log.Logger{Handler: discard.New()}, Continuity: func(context.Context, netip.AddrPort) (time.Time, bool) { return time.Time{}, true },
			}
			table.Update([]rhubarbgate.Instance{before}, clock.Now())
			x := table.TargetOf("s", "i")
			for _, event := range test.events {
				clock.Advance(time.Second)
				event(table, x, clock.Now())
			}
			version, known := table.TargetOf("s", test.id).Version()
			qt.Assert(t, known, qt.Equals, test.want != "")
			if known {
				qt.Assert(t, version, qt.Equals, test.want)
			}
		})
	}
}
