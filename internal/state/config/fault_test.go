package config

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// TestFaults guards against a check that passes what control hosts refuse, refuses what they take, or
// stops at the first fault.
func TestFaults(t *testing.T) {
	unnamed := rhubarbgate.Section{Workspaces: []rhubarbgate.Workspace{{Rate: -1}, {Name: "w", Burst: 1}}}
	tests := []struct {
		name string
		b    rhubarbgate.Bundle
		want int
	}{
		{"changes", rhubarbgate.Bundle{Version: 1, Put: unnamed}, 3},
		{"full", rhubarbgate.Bundle{Version: 1, Whole: true, Put: unnamed}, 2},
		{"full, clean", rhubarbgate.Bundle{Version: 1, Whole: true}, 0},
		{"changes, clean", rhubarbgate.Bundle{Version: 1}, 0},
		{"removal", rhubarbgate.Bundle{Version: 1, Remove: rhubarbgate.Removal{Models: []string{"m"}}}, 0},
		{"reference", rhubarbgate.Bundle{Version: 1, Put: rhubarbgate.Section{Objectives: []rhubarbgate.Objective{{Name: "o", Goal: 0.5, Workspace: "w"}}}}, 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			faults, _ := Faults(New(), &x.b)
			_, err := New().With(&x.b)
			qt.Assert(t, faults, qt.HasLen, x.want)
			if x.want == 0 {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, `bundle 1: \Q`+faults[0].String()+`\E`)
		})
	}
	faults, next := Faults(nil, &rhubarbgate.Bundle{Put: rhubarbgate.Section{Objectives: []rhubarbgate.Objective{{Goal: math.NaN()}}}})
	qt.Assert(t, faults, qt.HasLen, 1)
	qt.Assert(t, next, qt.IsNil)
}
