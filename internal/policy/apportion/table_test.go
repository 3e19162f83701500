package apportion

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// fleet is a Table with processes that claim every ClaimInterval.
type fleet struct {
	clock  *clockwork.FakeClock
	table  Table
	demand map[string]float64 // of entries, by process
	beside map[string]string  // target of a side, by process
	limits map[string]float64 // what targets state
}

func newFleet(entries, targets int, perSecond float64) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), demand: map[string]float64{}, beside: map[string]string{}, limits: map[string]float64{}}
	f.table.Clock = f.clock
	for i := range entries {
		f.demand[fmt.Sprintf("entry-%02d", i)] = 10
	}
	for i := range targets {
		f.limits[fmt.Sprintf("target-%02d", i)] = perSecond
	}
	return f
}

// run lets the processes claim for some time. Limits are read often, as a leader does.
func (f *fleet) run(d time.Duration) {
	for ; d > 0; d -= ClaimInterval {
		var statements []Statement
		for target, perSecond := range f.limits {
			statements = append(statements, Statement{Target: target, Service: "lm", PerSecond: perSecond, Limited: perSecond > 0})
		}
		for p, demand := range f.demand {
			f.table.Add(&Claim{Process: p, Statements: statements, Demand: map[string]float64{"lm": demand}})
		}
		for p, target := range f.beside {
			f.table.Add(&Claim{Process: p, Beside: target, Statements: []Statement{{Target: target, Service: "lm", PerSecond: f.limits[target], Limited: true}}})
		}
		for range 5 {
			f.table.Limits()
			f.clock.Advance(ClaimInterval / 5)
		}
	}
}

// shares returns the sum of the shares of each process, and fails if those of a target do not add
// up to its rate.
func (f *fleet) shares(t *testing.T) map[string]float64 {
	r := map[string]float64{}
	for _, l := range f.table.Limits() {
		sum := 0.0
		for _, h := range l.Holders {
			sum += h.PerSecond
			r[h.Process] += h.PerSecond
		}
		qt.Assert(t, math.Abs(sum-max(f.limits[l.Target], minRate)) < 1e-9, qt.IsTrue, qt.Commentf("%s: %v divided as %v", l.Target, f.limits[l.Target], l.Holders))
	}
	return r
}

// TestRatesAreDivided guards against processes that together send more than a target takes, and
// against rates that lie unused because their holders are gone or have no requests.
func TestRatesAreDivided(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name  string
		fleet *fleet
		// change is made after the rates were divided and is followed by time.
		change func(f *fleet)
		time   time.Duration
		want   func(shares map[string]float64) bool
	}{
		{"alike", newFleet(5, 8, 3), nil, second, func(s map[string]float64) bool { return len(s) == 5 && s["entry-00"] > 3 && s["entry-04"] > 3 }},
		{"more entries than shares", newFleet(28, 42, 3), nil, 20 * second, func(s map[string]float64) bool {
			for _, x := range s {
				if x < 42*3.0/28/2 || x > 42*3.0/28*2 {
					return false
				}
			}
			return len(s) == 28
		}},
		{"an entry is gone", newFleet(5, 8, 3), func(f *fleet) { delete(f.demand, "entry-02") }, 5 * second, func(s map[string]float64) bool {
			return len(s) == 4 && s["entry-02"] == 0
		}},
		{"an entry comes", newFleet(4, 8, 3), func(f *fleet) { f.demand["entry-99"] = 10 }, 3 * second, func(s map[string]float64) bool { return s["entry-99"] > 1 }},
		{"an entry has most requests", newFleet(28, 42, 3), func(f *fleet) { f.demand["entry-07"] = 100 }, 40 * second, func(s map[string]float64) bool {
			return s["entry-07"] > 2*s["entry-08"]
		}},
		{"a side has items", newFleet(5, 1, 3), func(f *fleet) { f.beside["side"] = "target-00" }, 3 * second, func(s map[string]float64) bool {
			return math.Abs(s["side"]-3*besideShare) < 1e-9
		}},
		{"a side has no more items", newFleet(5, 1, 3), func(f *fleet) {
			f.beside["side"] = "target-00"
			f.run(3 * second)
			delete(f.beside, "side")
		}, 5 * second, func(s map[string]float64) bool { return s["side"] == 0 && len(s) == 5 }},
		{"only a side", newFleet(0, 1, 3), func(f *fleet) { f.beside["side"] = "target-00" }, 3 * second, func(s map[string]float64) bool { return s["side"] == 3 }},
		{"another rate", newFleet(5, 8, 3), func(f *fleet) { f.limits["target-03"] = 30 }, 2 * second, func(s map[string]float64) bool { return s["entry-00"] > 7 }},
		{"no requests", newFleet(5, 1, 3), func(f *fleet) { f.limits["target-00"] = 1e-9 }, 2 * second, func(s map[string]float64) bool { return len(s) == 1 }},
		{"the limits end", newFleet(5, 8, 3), func(f *fleet) {
			for x := range f.limits {
				f.limits[x] = 0
			}
		}, second, func(s map[string]float64) bool { return len(s) == 0 }},
		{"nothing is heard of a target", newFleet(5, 1, 3), func(f *fleet) { delete(f.limits, "target-00") }, limitTTL, func(s map[string]float64) bool { return len(s) == 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := test.fleet
			f.run(2 * second)
			if test.change != nil {
				test.change(f)
			}
			f.run(test.time)
			s := f.shares(t)
			qt.Assert(t, test.want(s), qt.IsTrue, qt.Commentf("%v", s))
		})
	}
}

// TestSharesStay guards against shares that change hands while nothing changes, or when another
// leader divides the rates: for a moment two processes would send in place of one.
func TestSharesStay(t *testing.T) {
	f := newFleet(28, 42, 3)
	f.run(20 * time.Second)
	before := f.table.Limits()
	f.run(10 * time.Second)
	qt.Assert(t, f.table.Limits(), qt.DeepEquals, before)

	next := Table{Clock: f.clock}
	for p := range f.demand {
		c := Claim{Process: p, Demand: map[string]float64{"lm": 10}}
		for _, l := range before {
			s := Statement{Target: l.Target, Service: "lm", PerSecond: 3, Limited: true}
			for _, h := range l.Holders {
				if h.Process == p {
					s.Held = h.PerSecond
				}
			}
			c.Statements = append(c.Statements, s)
		}
		next.Add(&c)
	}
	qt.Assert(t, next.Limits(), qt.HasLen, 0)
	f.clock.Advance(settleTime)
	qt.Assert(t, next.Limits(), qt.DeepEquals, before)
}

// TestNewestStatementCounts guards against a limit that comes back with a claim about an older
// response than the one that ended it.
func TestNewestStatementCounts(t *testing.T) {
	f := newFleet(1, 1, 3)
	f.run(2 * time.Second)
	qt.Assert(t, f.table.Limits(), qt.HasLen, 1)
	statement := Statement{Target: "target-00", Service: "lm", PerSecond: 3, Limited: true, Age: 2 * time.Second}
	f.table.Add(&Claim{Process: "a", Statements: []Statement{{Target: "target-00", Service: "lm"}}})
	f.table.Add(&Claim{Process: "b", Statements: []Statement{statement}})
	f.clock.Advance(settleTime)
	qt.Assert(t, f.table.Limits(), qt.HasLen, 0)
}
