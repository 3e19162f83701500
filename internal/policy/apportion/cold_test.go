package apportion

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
)

// TestPartsOfColdTargets guards against parts that, with the tokens that their holders keep and the requests before the division is
// known, exceed what a cold target takes in a second, and against parts too small or too few to use its rate.
func TestPartsOfColdTargets(t *testing.T) {
	for _, perSecond := range []float64{0.1, 0.5, 1, 2, 5, 12, 40, 300} {
		for _, entries := range []int{1, 2, 5, 17, 28, 60} {
			for _, beside := range []bool{false, true} {
				clock := clockwork.NewFakeClock()
				x := Table{Clock: clock, Begun: clock.Now()}
				for i := range entries {
					x.Add(&Claim{Process: fmt.Sprint(i), Demand: map[string]float64{"lm": 10}})
				}
				if beside {
					x.Add(&Claim{Process: "side", Beside: "earlier@10.0.0.1:80"})
				}
				x.SetCold([]cold.Target{{Name: "t@10.0.0.1:80", Service: "lm", PerSecond: perSecond, Left: time.Second, Since: clock.Now()}})
				qt.Assert(t, x.Limits(), qt.HasLen, 0)
				clock.Advance(coldSettleTime)
				limits := x.Limits()
				comment := qt.Commentf("%v a second, %d entries, side %v: %+v", perSecond, entries, beside, limits)
				qt.Assert(t, limits, qt.HasLen, 1, comment)
				rate, most, sideHolds := 0.0, float64(ColdInterim(perSecond)), false
				for _, h := range limits[0].Holders {
					rate += h.PerSecond
					most += h.PerSecond + limits[0].Burst
					sideHolds = sideHolds || h.Process == "side"
				}
				qt.Check(t, most <= 1.5*perSecond+5+1e-9, qt.IsTrue, comment)
				qt.Check(t, rate >= 0.999*perSecond && rate <= 1.001*perSecond, qt.IsTrue, comment)
				qt.Check(t, sideHolds, qt.Equals, beside, comment)
				qt.Check(t, limits[0].Burst >= 1 && limits[0].ColdLeft == time.Second && limits[0].Full, qt.IsTrue, comment)
			}
		}
	}
}
