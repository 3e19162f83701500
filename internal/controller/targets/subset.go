package targets

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// localQuarters is the share of a subset, in quarters, that targets in the
// entry's own availability zone may fill. The rest are in other availability zones,
// so that the entry still has targets if its own availability zone fails.
const localQuarters = 3

// subset returns the targets that an entry uses, by name: at most limit of them for
// each model and route, mostly in the entry's own availability zone, chosen by
// rendezvous hashing so that the entries spread over all targets. A limit of 0 or
// less means all targets.
func subset(c *config.Config, availabilityZone, entry string, limit int) map[string]rhubarbgate.Target {
	if limit <= 0 {
		return c.Targets
	}
	groups := map[string][]ranked{}
	for name, target := range c.Targets {
		r := ranked{target: target, local: target.AvailabilityZone == availabilityZone, hash: xxhash.Sum64String(entry + "\x00" + name)}
		for _, m := range target.Models {
			groups["model "+m] = append(groups["model "+m], r)
		}
		for _, m := range target.Routes {
			groups["route "+m] = append(groups["route "+m], r)
		}
	}
	chosen := map[string]rhubarbgate.Target{}
	for _, group := range groups {
		for _, r := range choose(group, limit) {
			chosen[r.target.Name] = r.target
		}
	}
	return chosen
}

// ranked is a target with its rendezvous hash for one entry; the highest hashes are
// chosen first.
type ranked struct {
	target rhubarbgate.Target
	local  bool
	hash   uint64
}

// choose returns up to limit targets, each time those with the highest hashes: from
// the same availability zone up to its share, then from others, then from the same
// one again if the others are too few.
func choose(group []ranked, limit int) []ranked {
	if len(group) <= limit {
		return group
	}
	slices.SortFunc(group, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	var local, remote []ranked
	for _, r := range group {
		if r.local {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	n := min(len(local), limit*localQuarters/4)
	n = max(n, limit-len(remote))
	return append(local[:n:n], remote[:limit-n]...)
}
