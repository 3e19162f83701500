package config

import (
	"fmt"
	"math"

	"rhubarbgate.example/rhubarbgate"
)

// CheckFinite returns an *rhubarbgate.Error if a number of the bundle is a NaN or infinite.
// Such a bundle has no JSON, and so neither a digest nor a checksum.
func CheckFinite(b *rhubarbgate.Bundle) error {
	v := &validation{config: &Config{Version: b.Version}}
	v.numbers(b)
	return v.err()
}

// numbers checks that all numbers of a bundle are finite.
func (v *validation) numbers(b *rhubarbgate.Bundle) {
	for i, x := range b.Put.Workspaces {
		field := fmt.Sprintf("Put.Workspaces[%d]", i)
		v.finite(field+".Rate", x.Rate)
		v.finite(field+".Burst", x.Burst)
		v.finite(field+".Weight", x.Weight)
		v.finite(field+".ItemRate", x.ItemRate)
		v.finite(field+".ItemBurst", x.ItemBurst)
	}
	for i, x := range b.Put.Routes {
		for j, s := range x.Split {
			v.finite(fmt.Sprintf("Put.Routes[%d].Split[%d].Weight", i, j), s.Weight)
		}
	}
	for i, x := range b.Put.Objectives {
		v.finite(fmt.Sprintf("Put.Objectives[%d].Goal", i), x.Goal)
	}
	for i, x := range b.Put.Services {
		v.finite(fmt.Sprintf("Put.Services[%d].ColdPerSecond", i), x.ColdPerSecond)
	}
}

// finite checks that a number is neither a NaN nor infinite.
func (v *validation) finite(field string, x float64) {
	v.check(!math.IsNaN(x) && !math.IsInf(x, 0), field, "is %v, which is not a number", x)
}
