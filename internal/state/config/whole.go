package config

import (
	"fmt"
	"strings"

	"rhubarbgate.example/rhubarbgate"
)

// ValidateFull checks a whole bundle. Its error is an *rhubarbgate.Error that
// names the object and what is wrong with it.
func ValidateFull(b *rhubarbgate.Bundle) error {
	c := FromSection(b.Version, nil, b.Put)
	v := &validation{config: c}
	v.check(b.Version > 0, "Version", "is missing")
	v.routes(b.Put.Routes)
	v.keys(b.Put.Keys)
	for i, x := range b.Put.Workspaces {
		place := fmt.Sprintf("Put.Workspaces[%d]", i)
		v.check(x.Name != "", place+".Name", "is empty")
		v.check(x.Rate >= 0 && x.Burst >= 0, place+".Rate", "or Burst is negative")
	}
	return v.err()
}

// routes checks the routes of a whole bundle with each other and the services.
func (v *validation) routes(list []rhubarbgate.Route) {
	places := map[rhubarbgate.Path]string{}
	names := map[string]bool{}
	for i, r := range list {
		place := fmt.Sprintf("Put.Routes[%d] %q", i, r.Name)
		v.check(r.Name != "" && !names[r.Name], place, "has no name of its own")
		names[r.Name] = true
		v.check(strings.HasPrefix(r.Path.Prefix, "/") && strings.HasSuffix(r.Path.Prefix, "/"), place, "has the prefix %q, which does not begin and end with a slash", r.Path.Prefix)
		other, taken := places[r.Path]
		v.check(!taken, place, "has the host and prefix of route %q", other)
		places[r.Path] = r.Name
		v.check(r.Timeout > 0, place, "has a timeout of %v", r.Timeout)
		v.split(place, r.Split)
	}
}

func (v *validation) split(place string, split []rhubarbgate.Share) {
	total := 0.0
	for _, x := range split {
		_, ok := v.config.Services[x.Service]
		v.check(ok, place, "names the unknown service %q", x.Service)
		v.check(x.Weight >= 0, place, "gives service %q a negative weight", x.Service)
		total += x.Weight
	}
	v.check(total > 0, place, "has weights that add up to 0")
}

// keys checks that no key belongs to two workspaces.
func (v *validation) keys(list []rhubarbgate.Key) {
	owners := map[string]string{}
	for i, k := range list {
		other, taken := owners[k.Digest]
		v.check(!taken || other == k.Workspace, fmt.Sprintf("Put.Keys[%d]", i), "belongs to the workspaces %q and %q", other, k.Workspace)
		owners[k.Digest] = k.Workspace
	}
}
