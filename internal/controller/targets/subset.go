package targets

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// nearShare is the part of a subset that the entry's own availability zone may
// fill, in quarters. The rest lies elsewhere, for when the zone is lost.
const nearShare = 3

// subset returns the targets that an entry uses: for each model and route at the
// most limit of them, mostly near ones, chosen by rendezvous hash so that the
// entries spread over all targets.
func subset(c *config.Config, zone, entry string, limit int) map[string]rhubarbgate.Target {
	if limit <= 0 {
		return c.Targets
	}
	groups := map[string][]ranked{}
	for name, x := range c.Targets {
		r := ranked{target: x, near: x.AvailabilityZone == zone, weight: xxhash.Sum64String(entry + "\x00" + name)}
		for _, m := range x.Models {
			groups["model "+m] = append(groups["model "+m], r)
		}
		for _, m := range x.Routes {
			groups["route "+m] = append(groups["route "+m], r)
		}
	}
	chosen := map[string]rhubarbgate.Target{}
	for _, g := range groups {
		for _, r := range choose(g, limit) {
			chosen[r.target.Name] = r.target
		}
	}
	return chosen
}

// ranked is a target with its rank for one entry.
type ranked struct {
	target rhubarbgate.Target
	near   bool
	weight uint64
}

// choose takes up to limit targets: near ones up to their share, then others,
// then whatever is left.
func choose(g []ranked, limit int) []ranked {
	if len(g) <= limit {
		return g
	}
	slices.SortFunc(g, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	var near, far []ranked
	for _, r := range g {
		if r.near {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	n := min(len(near), limit*nearShare/4)
	n = max(n, limit-len(far))
	return append(near[:n:n], far[:limit-n]...)
}
