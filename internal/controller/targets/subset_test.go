package targets

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// newFleet returns a configuration of n targets, spread over the availability zones
// in turn, each with one of the models.
func newFleet(n, availabilityZones, models int) *config.Config {
	s := rhubarbgate.Section{}
	for m := range models {
		s.Models = append(s.Models, rhubarbgate.Model{Name: fmt.Sprintf("m%d", m)})
	}
	for i := range n {
		s.Targets = append(s.Targets, rhubarbgate.Target{
			Name: fmt.Sprintf("t%d", i), AvailabilityZone: fmt.Sprintf("z%d", i%availabilityZones), Slots: 32,
			Models: []string{fmt.Sprintf("m%d", i/availabilityZones%models)},
		})
	}
	return config.FromSection(1, nil, s)
}

// TestSubsetSpreadsOverAvailabilityZones guards against subsets that leave targets
// unused or overload one, since each entry chooses without the others, and against
// subsets without targets in other availability zones.
func TestSubsetSpreadsOverAvailabilityZones(t *testing.T) {
	c := qt.New(t)
	const targets, availabilityZones, models, entries, limit = 7300, 8, 25, 383, 8
	fleet := newFleet(targets, availabilityZones, models)
	used := map[string]int{}
	for e := range entries {
		availabilityZone := fmt.Sprintf("z%d", e%availabilityZones)
		chosen := subset(fleet, availabilityZone, fmt.Sprint(e), limit)
		c.Assert(len(chosen), qt.Equals, limit*models)
		local := 0
		for name, x := range chosen {
			used[name]++
			if x.AvailabilityZone == availabilityZone {
				local++
			}
		}
		c.Assert(local, qt.Equals, limit*models*localQuarters/4)
	}
	highest := 0
	for _, n := range used {
		highest = max(highest, n)
	}
	mean := float64(entries*limit*models) / targets
	c.Assert(len(used) > targets*99/100, qt.IsTrue, qt.Commentf("%d of %d targets are used", len(used), targets))
	c.Assert(float64(highest) < 3*mean, qt.IsTrue, qt.Commentf("one target has %d entries, the mean is %.1f", highest, mean))
}

// TestSmallFleetsUseAllTargets guards against a subset that leaves out targets of a
// fleet that is smaller than the bound.
func TestSmallFleetsUseAllTargets(t *testing.T) {
	fleet := newFleet(14, 4, 1)
	qt.Assert(t, subset(fleet, "z0", "e", 16), qt.HasLen, 14)
}
