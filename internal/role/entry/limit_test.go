package entry_test

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// limitWindow is the time over which the requests that a limited target gets are counted.
const limitWindow = 4 * time.Second

// maxInWindow returns the most requests in a limitWindow that begins at start or later.
func maxInWindow(arrivals []time.Time, start time.Time) int {
	arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(start) })
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTargetsGetNoMoreThanTheirLimit guards against targets that state a rate and get far more from
// all entries together, against leaving them unused, and against a limit that never ends.
func TestTargetsGetNoMoreThanTheirLimit(t *testing.T) {
	const perSecond = 3.0
	tests := []struct {
		name    string
		limited int
		// wantServed is the least share of the requests that is served during the limits, as far
		// as the targets can take them.
		wantServed float64
	}{
		{"most targets", 6, 0.9},
		{"all targets", targetCount, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, func(*platformtest.Target) {})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			sound := make(chan []sentRequest, 1)
			go func() { sound <- f.soundCallers(ctx) }()
			time.Sleep(time.Second)
			for _, x := range f.targets[:test.limited] {
				x.SetLimit("3.0")
			}
			stated := time.Now()
			binding := stated.Add(noticeTime)
			time.Sleep(noticeTime + limitWindow + 2*time.Second)
			ended := time.Now()
			used := 0
			for i, x := range f.targets[:test.limited] {
				var arrivals []time.Time
				for _, a := range x.LimitedArrivals() {
					arrivals = append(arrivals, a.At)
				}
				most := maxInWindow(arrivals, binding)
				qt.Check(t, float64(most) <= 1.5*perSecond*limitWindow.Seconds()+5, qt.IsTrue, qt.Commentf("target %d got %d requests in %v", i, most, limitWindow))
				used += len(slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(binding) }))
				x.SetLimit("")
			}
			taken := float64(used) / ended.Sub(binding).Seconds() / float64(test.limited)
			qt.Check(t, taken >= perSecond/2, qt.IsTrue, qt.Commentf("limited targets got %.2f requests a second", taken))
			time.Sleep(5 * time.Second)
			stop()
			sent := <-sound
			during, after := servedShare(sent, binding, ended), servedShare(sent, ended.Add(noticeTime), time.Now())
			qt.Check(t, during >= test.wantServed, qt.IsTrue, qt.Commentf("%.2f of the requests were served during the limits", during))
			qt.Check(t, after >= 0.95, qt.IsTrue, qt.Commentf("%.2f of the requests were served after the limits", after))
			t.Logf("limited targets got %.2f requests a second, %.2f served during the limits, %.2f after", taken, during, after)
		})
	}
}
