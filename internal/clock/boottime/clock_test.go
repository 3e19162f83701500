package boottime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspendedTimeCounts guards against state that seems current after a suspension: the
// first reading after it must count it, also if the time of day is stepped back then, but a
// step of the time of day alone is none.
func TestSuspendedTimeCounts(t *testing.T) {
	tests := []struct {
		name string
		// suspended and step are the suspension and the step of the time of day between
		// two readings, readings how many follow until the suspension must count.
		suspended, step time.Duration
		readings        int
		want            time.Duration
	}{
		{"neither", 0, 0, 1, 0},
		{"suspension", 6 * time.Second, 0, 1, 6 * time.Second},
		{"step ahead", 0, 5 * time.Second, 1, 0},
		{"step back", 0, -5 * time.Second, 1, 0},
		{"suspension and a step ahead", 6 * time.Second, time.Second, 1, 6 * time.Second},
		{"suspension hidden by a step back", 6 * time.Second, -6 * time.Second, 11, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// A time.Time cannot be built with a monotonic reading that differs from its
			// wall time, so a step of the wall time is modelled in the drift.
			start := time.Now()
			steady, wall, suspended := time.Duration(0), time.Duration(0), time.Duration(0)
			c := newClock(func() time.Time { return start.Add(steady) }, func() time.Duration { return suspended })
			c.base = start
			read := func() time.Duration {
				c.mu.Lock()
				c.drift -= wall
				wall = 0
				c.mu.Unlock()
				return c.Now().Sub(start) - steady
			}
			qt.Assert(t, read(), qt.Equals, time.Duration(0))
			steady += time.Millisecond
			suspended += test.suspended
			wall = test.suspended + test.step
			var got time.Duration
			for range test.readings {
				got = read()
				steady += 10 * time.Millisecond
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestRealClock checks the clock against that of package time on a machine that is not
// suspended.
func TestRealClock(t *testing.T) {
	c := New()
	before := time.Now()
	got := c.Now()
	qt.Assert(t, got.Before(before), qt.IsFalse)
	qt.Assert(t, got.After(time.Now()), qt.IsFalse)
	qt.Assert(t, c.Since(before) >= 0, qt.IsTrue)
	qt.Assert(t, c.Until(before) <= 0, qt.IsTrue)
}
