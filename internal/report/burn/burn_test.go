package burn

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
)

var now = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

// perMinuteCounts returns counts of the n minutes before now, the latest first, with
// the same total and bad requests in each.
func perMinuteCounts(n int, total, bad uint64) []burn.Count {
	var r []burn.Count
	for i := range n {
		r = append(r, burn.Count{
			Series: burn.Series{Workspace: "w", Objective: "online/FirstToken"},
			Start:  now.Add(-time.Duration(i+1) * time.Minute), Width: time.Minute, Total: total, Bad: bad,
		})
	}
	return r
}

// TestAlerts guards against alerts that are missing, of the wrong urgency, or raised
// while the goal is met.
func TestAlerts(t *testing.T) {
	tests := []struct {
		name   string
		counts []burn.Count
		alert  string
	}{
		{"within the goal", perMinuteCounts(300, 100, 1), ""},
		{"all bad for an hour", perMinuteCounts(60, 100, 80), "page"},
		{"a short outbreak", perMinuteCounts(3, 100, 80), "page"},
		{"an outbreak that ended", append(perMinuteCounts(10, 100, 0), perMinuteCounts(60, 100, 80)[20:]...), "ticket"},
		{"slow burn for hours", perMinuteCounts(350, 100, 6), "ticket"},
	}
	objectives := []rhubarbgate.Objective{{Name: "online", Goal: 0.95}}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			r := New(now, x.counts, objectives)
			qt.Assert(t, r.Lines, qt.HasLen, 1)
			qt.Assert(t, r.Lines[0].Alert, qt.Equals, x.alert, qt.Commentf("%+v", r.Lines[0].Windows))
		})
	}
}

// TestUnknownObjectivesAreLeftOut guards against lines for an objective that was removed
// from the configuration while its counts are still kept: there is no goal to compare
// them with.
func TestUnknownObjectivesAreLeftOut(t *testing.T) {
	qt.Assert(t, New(now, perMinuteCounts(5, 1, 1), nil).Lines, qt.HasLen, 0)
}
