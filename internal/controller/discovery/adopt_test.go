package discovery

import (
	"context"
	"expvar"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestAdoptionNeedsContinuity guards against requests at a target of another service that has the
// address of an earlier target, and which the list does not show yet; and against sending requests for the
// earlier target there, which are refused, again and again.
func TestAdoptionNeedsContinuity(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name string
		// known and inUse are the answer about the address; asked is whether there is any.
		known bool
		inUse time.Duration
		// ran is how long ago a request was sent that the earlier target ran, 0 if there was none.
		ran  time.Duration
		want bool
	}{
		{"in use since before the earlier target's last request", true, 10 * second, second, true},
		{"in use since just then", true, second, second, true},
		{"in use for a shorter time", true, second - 1, second, false},
		{"the earlier target ran nothing", true, 10 * second, 0, false},
		{"not known", false, 10 * second, second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			table := &Table{
				Clock: clock, Logger: &log.Logger{Handler: discard.New()}, Adopted: new(expvar.Int), Unconfirmed: new(expvar.Int),
				Continuity: func(context.Context, netip.AddrPort) (time.Time, bool) {
					return clock.Now().Add(-test.inUse), test.known
				},
			}
			i := listOfOne()[0]
			table.Update(listOfOne(), clock.Now())
			clock.Advance(time.Hour)
			if test.ran > 0 {
				x := table.Target(i)
				x.RecordRun(clock.Now().Add(-test.ran))
				x.RecordRun(clock.Now().Add(-time.Hour)) // the response to an earlier request may come later
			}
			adopted := table.Adopt(context.Background(), table.Target(i), "j", clock.Now())
			qt.Assert(t, adopted != nil, qt.Equals, test.want)
			qt.Assert(t, table.TargetOf(i.Service, "j"), qt.Equals, adopted)
			qt.Assert(t, table.Adopted.Value()+table.Unconfirmed.Value(), qt.Equals, int64(1))
			qt.Assert(t, table.Adopted.Value() == 1, qt.Equals, test.want)
			usable := func() int {
				list, _ := table.Candidates(i.Service, true, nil)
				return len(list)
			}
			qt.Assert(t, usable() == 1, qt.Equals, test.want)
			qt.Assert(t, table.Replaced(i), qt.Equals, !test.want)
			clock.Advance(refusedAdoptionPause)
			qt.Assert(t, usable(), qt.Equals, 1)
		})
	}
}

// TestPresence guards against taking a target for one of the same service after a pause in which the
// platform could have given its address to another one.
func TestPresence(t *testing.T) {
	const second = time.Second
	// A probe is sent at some time and answered later.
	type probe struct{ sent, answered time.Duration }
	tests := []struct {
		name   string
		delay  time.Duration
		probes []probe
		now    time.Duration
		since  time.Duration // negative if it is not known
	}{
		{"no response", 2 * second, nil, second, -1},
		{"responses without a pause", 2 * second, []probe{{0, 0}, {second, second}, {2 * second, 2 * second}}, 3 * second, 0},
		{"a pause as long as the delay", 2 * second, []probe{{0, 0}, {2 * second, 2 * second}}, 3 * second, 2 * second},
		{"a response that took long", 3 * second, []probe{{0, second}, {second, 2 * second}}, 2 * second, second},
		{"a response that came too late", 2 * second, []probe{{0, second}, {second, 3 * second}, {3 * second, 3 * second}}, 4 * second, 3 * second},
		{"a pause until now", 2 * second, []probe{{0, 0}}, 2 * second, -1},
		{"the delay is not known", 0, []probe{{0, 0}, {1, 1}}, 1, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			p := &Presence{Clock: clock, ReuseDelay: test.delay}
			at := func(d time.Duration) time.Time { return start.Add(d) }
			for _, x := range test.probes {
				clock.Advance(at(x.answered).Sub(clock.Now()))
				p.Observe(at(x.sent))
			}
			clock.Advance(at(test.now).Sub(clock.Now()))
			since, known := p.Since()
			qt.Assert(t, known, qt.Equals, test.since >= 0)
			if known {
				qt.Assert(t, since.Sub(start), qt.Equals, test.since)
			}
		})
	}
}
