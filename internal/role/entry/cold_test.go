package entry_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestColdTargetsGetFewRequests guards against targets that get more requests than they take right after they started,
// against leaving them unused until they are warm, and against sparing them for good.
func TestColdTargetsGetFewRequests(t *testing.T) {
	const (
		perSecond = 4
		coldStart = 4 * time.Second
	)
	tests := []struct {
		name    string
		crashed int
		used    bool // warm targets have no room for the requests
	}{
		{"half of the targets", targetCount / 2, false},
		{"all targets", targetCount, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, func(x *platformtest.Target) { x.ColdStart = coldStart })
			f.put(2, func(d document) {
				s := d["services"].([]any)[0].(map[string]any)
				s["cold_start_s"], s["cold_per_s"] = coldStart.Seconds(), perSecond
			})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			sound := make(chan []sentRequest, 1)
			go func() { sound <- f.soundCallers(ctx) }()
			time.Sleep(2 * time.Second)
			for _, x := range f.targets[:test.crashed] {
				x.Crash()
			}
			crashed := time.Now()
			time.Sleep(f.targets[0].Downtime + coldStart)
			warm := time.Now().Add(noticeTime)
			time.Sleep(noticeTime + 2*time.Second)
			stop()
			sent := <-sound
			all, idle := 0, 0
			for i, x := range f.targets[:test.crashed] {
				n := x.MostCold()
				qt.Check(t, float64(n) <= 1.5*perSecond+5, qt.IsTrue, qt.Commentf("target %d got %d requests in a second", i, n))
				all += len(x.ColdArrivals())
				if runs := x.Runs(); len(runs) == 0 || runs[len(runs)-1].At.Before(warm) {
					idle++
				}
			}
			rate := float64(all) / coldStart.Seconds() / float64(test.crashed)
			t.Logf("cold targets got %.1f requests a second, %.2f were served meanwhile, %.2f afterwards", rate, servedShare(sent, crashed, warm), servedShare(sent, warm, time.Now()))
			qt.Check(t, rate >= perSecond/4 || !test.used, qt.IsTrue)
			qt.Check(t, servedShare(sent, crashed.Add(time.Second), warm) >= 0.95 || test.used, qt.IsTrue)
			qt.Check(t, idle, qt.Equals, 0)
			qt.Check(t, servedShare(sent, warm, time.Now()) >= 0.95, qt.IsTrue)
		})
	}
}
