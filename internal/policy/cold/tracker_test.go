package cold

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// TestNewestInformationCounts guards against taking a cold target for a warm one because of older information, or a
// warm one for a cold one for good.
func TestNewestInformationCounts(t *testing.T) {
	const ms = time.Millisecond
	warm := rhubarbgate.Instance{ID: "x", Service: "lm", Version: "v1"}
	cold := func(left time.Duration) rhubarbgate.Instance {
		x := warm
		x.ColdLeft = left
		return x
	}
	upgraded := warm
	upgraded.Version = "v2"
	other := warm
	other.Service = "plain"
	// An event happens some time after the one before it.
	type event struct {
		after time.Duration
		act   func(t *Tracker, now time.Time)
	}
	list := func(after time.Duration, l ...rhubarbgate.Instance) event {
		return event{after, func(t *Tracker, now time.Time) {
			t.ObserveList(l, now, func(i rhubarbgate.Instance) string { return i.ID })
		}}
	}
	response := func(after, left time.Duration) event {
		return event{after, func(t *Tracker, now time.Time) { t.ObserveResponse("x", "lm", left, now) }}
	}
	divided := func(after, left time.Duration) event {
		return event{after, func(t *Tracker, _ time.Time) { t.ObserveDivided("x", "lm", left) }}
	}
	known := event{0, func(t *Tracker, _ time.Time) { t.ObserveWarm("x") }}
	started := event{0, func(t *Tracker, _ time.Time) { t.ObserveStart("x", "lm") }}
	tests := []struct {
		name   string
		events []event
		want   time.Duration // left after the last event
	}{
		{"in the first list", []event{list(0, warm)}, 0},
		{"cold in the first list", []event{list(0, cold(2000*ms))}, 2000 * ms},
		{"appears without a cold time", []event{list(0), list(600*ms, warm), list(600*ms, warm)}, 2400 * ms},
		{"appears with a cold time", []event{list(0), list(600*ms, cold(1500*ms))}, 1500 * ms},
		{"appears, and the next list states the time", []event{list(0), list(600*ms, warm), list(600*ms, cold(900*ms))}, 900 * ms},
		{"appears in a service without cold targets", []event{list(0), list(600*ms, other)}, 0},
		{"the list says that it is warm", []event{list(0, cold(2000*ms)), list(600*ms, warm)}, 0},
		{"cold again", []event{list(0, warm), list(600*ms, cold(3000*ms))}, 3000 * ms},
		{"restarts under its ID", []event{list(0, warm), list(600*ms, upgraded)}, 3000 * ms},
		{"a response says that it is warm", []event{list(0), list(600*ms, warm), response(100*ms, 0)}, 0},
		{"a response is newer than the list", []event{list(0, warm), response(600*ms, 3000*ms), list(100*ms, warm)}, 2900 * ms},
		{"a list that is newer than a response", []event{list(0, warm), response(0, 9000*ms), list(1100*ms, warm)}, 0},
		{"a response said warm, the list lags", []event{list(0, cold(3000*ms)), response(600*ms, 0), list(100*ms, cold(2300*ms))}, 0},
		{"divided before it is listed", []event{list(0), divided(0, 2500*ms), list(0, warm)}, 2500 * ms},
		{"divided, and the list confirms no cold time", []event{list(0, warm), divided(0, 2500*ms), list(600*ms, warm)}, 1900 * ms},
		{"divided for longer than known", []event{list(0, cold(2000*ms)), divided(0, 2500*ms)}, 2000 * ms},
		{"the division ended", []event{list(0), list(600*ms, warm), known}, 0},
		{"ahead of the list", []event{list(0), started, list(600*ms, warm)}, 2400 * ms},
		{"not listed yet", []event{list(0), response(0, 3000*ms), list(600 * ms)}, 2400 * ms},
		{"removed", []event{list(0), list(600*ms, warm), list(600 * ms)}, 2400 * ms},
		{"removed and back", []event{list(0), list(600*ms, warm), list(600 * ms), list(600*ms, warm)}, 3000 * ms},
		{"removed when it was warm", []event{list(0, warm), list(600 * ms)}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			x := &Tracker{Clock: clock, Logger: &log.Logger{Handler: discard.New()}}
			x.SetServices(map[string]rhubarbgate.Service{"lm": {ColdStart: 3 * time.Second, ColdPerSecond: 12}, "plain": {ColdStart: 3 * time.Second}})
			for _, e := range test.events {
				clock.Advance(e.after)
				e.act(x, clock.Now())
			}
			got, isCold := x.Cold("x")
			qt.Assert(t, got.Left, qt.Equals, test.want)
			qt.Assert(t, isCold, qt.Equals, test.want > 0)
			qt.Assert(t, len(x.Targets()) == 1, qt.Equals, isCold)
			clock.Advance(test.want)
			_, isCold = x.Cold("x")
			qt.Assert(t, isCold, qt.IsFalse)
		})
	}
}
