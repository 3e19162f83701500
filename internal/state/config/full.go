package config

import (
	"fmt"
	"strings"

	"rhubarbgate.example/rhubarbgate"
)

// ValidateFull checks a bundle that holds a full configuration. It returns an
// *rhubarbgate.Error that names the first invalid object and the reason.
func ValidateFull(b *rhubarbgate.Bundle) error {
	if err := CheckFinite(b); err != nil {
		return err
	}
	c := FromSection(b.Version, nil, b.Put)
	v := &validation{config: c}
	v.full(b)
	return v.err()
}

// full checks a bundle that holds a full configuration.
func (v *validation) full(b *rhubarbgate.Bundle) {
	v.check(b.Version > 0, "Version", "is missing")
	v.routes(b.Put.Routes)
	v.keys(b.Put.Keys)
	for i, x := range b.Put.Workspaces {
		field := fmt.Sprintf("Put.Workspaces[%d]", i)
		v.check(x.Name != "", field+".Name", "is empty")
		v.check(x.Rate >= 0 && x.Burst >= 0, field+".Rate", "or Burst is negative")
	}
	v.services(b.Put.Services)
}

// services checks the figures of services.
func (v *validation) services(list []rhubarbgate.Service) {
	for i, x := range list {
		field := fmt.Sprintf("Put.Services[%d] %q", i, x.Name)
		v.check(x.ColdStart >= 0, field, "has a cold start of %v", x.ColdStart)
		v.check(x.HealthPath == "" || strings.HasPrefix(x.HealthPath, "/"), field, "has the health path %q, which does not begin with a slash", x.HealthPath)
		v.check(x.ColdPerSecond >= 0, field, "takes %v requests a second from cold targets", x.ColdPerSecond)
	}
}

// routes checks all routes of a full configuration, which must differ in name and
// in path and refer to its services.
func (v *validation) routes(list []rhubarbgate.Route) {
	routeByPath := map[rhubarbgate.Path]string{}
	names := map[string]bool{}
	for i, r := range list {
		field := fmt.Sprintf("Put.Routes[%d] %q", i, r.Name)
		v.check(r.Name != "" && !names[r.Name], field, "has no name of its own")
		names[r.Name] = true
		v.check(strings.HasPrefix(r.Path.Prefix, "/") && strings.HasSuffix(r.Path.Prefix, "/"), field, "has the prefix %q, which does not begin and end with a slash", r.Path.Prefix)
		other, taken := routeByPath[r.Path]
		v.check(!taken, field, "has the host and prefix of route %q", other)
		routeByPath[r.Path] = r.Name
		v.check(r.Timeout > 0, field, "has a timeout of %v", r.Timeout)
		v.split(field, r.Split)
	}
}

// split checks that a route divides its requests among known services.
func (v *validation) split(field string, split []rhubarbgate.Share) {
	total := 0.0
	for _, x := range split {
		_, ok := v.config.Services[x.Service]
		v.check(ok, field, "names the unknown service %q", x.Service)
		v.check(x.Weight >= 0, field, "gives service %q a negative weight", x.Service)
		total += x.Weight
	}
	v.check(total > 0, field, "has weights that add up to 0")
}

// keys checks that no caller key belongs to two workspaces.
func (v *validation) keys(list []rhubarbgate.Key) {
	workspaceByDigest := map[string]string{}
	for i, k := range list {
		other, taken := workspaceByDigest[k.Digest]
		v.check(!taken || other == k.Workspace, fmt.Sprintf("Put.Keys[%d]", i), "belongs to the workspaces %q and %q", other, k.Workspace)
		workspaceByDigest[k.Digest] = k.Workspace
	}
}
