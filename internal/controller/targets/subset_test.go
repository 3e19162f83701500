package targets

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

func fleet(n, zones, models int) *config.Config {
	s := rhubarbgate.Section{}
	for m := range models {
		s.Models = append(s.Models, rhubarbgate.Model{Name: fmt.Sprintf("m%d", m)})
	}
	for i := range n {
		s.Targets = append(s.Targets, rhubarbgate.Target{
			Name: fmt.Sprintf("t%d", i), AvailabilityZone: fmt.Sprintf("z%d", i%zones), Slots: 32,
			Models: []string{fmt.Sprintf("m%d", i/zones%models)},
		})
	}
	return config.FromSection(1, nil, s)
}

func TestSubsetSpreadsAndReachesOtherZones(t *testing.T) {
	c := qt.New(t)
	const targets, zones, models, entries, limit = 7300, 8, 25, 383, 8
	f := fleet(targets, zones, models)
	used := map[string]int{}
	for e := range entries {
		zone := fmt.Sprintf("z%d", e%zones)
		chosen := subset(f, zone, fmt.Sprint(e), limit)
		c.Assert(len(chosen), qt.Equals, limit*models)
		near := 0
		for name, x := range chosen {
			used[name]++
			if x.AvailabilityZone == zone {
				near++
			}
		}
		c.Assert(near, qt.Equals, limit*models*nearShare/4)
	}
	worst := 0
	for _, n := range used {
		worst = max(worst, n)
	}
	mean := float64(entries*limit*models) / targets
	c.Assert(len(used) > targets*99/100, qt.IsTrue, qt.Commentf("%d of %d targets are used", len(used), targets))
	c.Assert(float64(worst) < 3*mean, qt.IsTrue, qt.Commentf("one target has %d entries, the mean is %.1f", worst, mean))
}

func TestSmallFleetsUseAllTargets(t *testing.T) {
	f := fleet(14, 4, 1)
	qt.Assert(t, subset(f, "z0", "e", 16), qt.HasLen, 14)
}
