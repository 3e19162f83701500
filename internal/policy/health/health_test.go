package health

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// recordFailures records n failures of the target.
func recordFailures(e *Ejector, target string, n int) {
	for range n {
		e.RecordFailure(target)
	}
}

// TestEjectionAndReturn checks that consecutive failures eject a target, that it returns
// after the ejection time, and that the next failure ejects it for longer.
func TestEjectionAndReturn(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	e := &Ejector{Clock: clock}
	all := []string{"a", "b", "c"}
	recordFailures(e, "a", failuresToEject)
	c.Assert(e.Usable(all), qt.DeepEquals, []bool{false, true, true})
	clock.Advance(baseEjectionTime)
	c.Assert(e.Usable(all), qt.DeepEquals, []bool{true, true, true})
	// One more failure ejects the target again, for longer; a success ends the ejection.
	c.Assert(e.RecordFailure("a"), qt.IsTrue)
	clock.Advance(baseEjectionTime)
	c.Assert(e.Usable(all)[0], qt.IsFalse)
	e.RecordSuccess("a")
	c.Assert(e.Usable(all)[0], qt.IsTrue)
}

// TestCommonFaultKeepsHalfUsable checks that half of the targets stay usable when all fail.
func TestCommonFaultKeepsHalfUsable(t *testing.T) {
	e := &Ejector{Clock: clockwork.NewFakeClock()}
	all := []string{"a", "b", "c", "d"}
	for _, x := range all {
		recordFailures(e, x, failuresToEject)
	}
	usable := 0
	for _, ok := range e.Usable(all) {
		if ok {
			usable++
		}
	}
	qt.Assert(t, usable, qt.Equals, 2)
}

// TestEjectionTimeIsBounded checks that a target that always fails is usable again after
// at most maxEjectionTime.
func TestEjectionTimeIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := &Ejector{Clock: clock}
	for range 100 {
		recordFailures(e, "a", failuresToEject)
		clock.Advance(maxEjectionTime)
		qt.Assert(t, e.Usable([]string{"a", "b", "c"})[0], qt.IsTrue)
	}
}
