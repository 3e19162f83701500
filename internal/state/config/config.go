// Package config holds the configuration that committed bundles add up to.
package config

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
)

// Config is one version of the configuration. It is immutable: With returns a
// new one that shares the unchanged parts.
type Config struct {
	Version    uint64
	Digest     []byte // of the bundle that made the version
	Workspaces map[string]rhubarbgate.Workspace
	Keys       map[string]rhubarbgate.Key // by digest
	Routes     map[string]rhubarbgate.Route
	Models     map[string]rhubarbgate.Model
	Targets    map[string]rhubarbgate.Target
	Objectives map[string]rhubarbgate.Objective
	Services   map[string]rhubarbgate.Service
	Limits     *rhubarbgate.CallerLimits
	// paths are the routes that have a Path, by host, the longest prefix first.
	paths map[string][]rhubarbgate.Route
	// Sum is a checksum over all objects that does not depend on their order.
	Sum uint64
}

// New returns the empty configuration, version 0.
func New() *Config {
	return &Config{
		Workspaces: map[string]rhubarbgate.Workspace{},
		Keys:       map[string]rhubarbgate.Key{},
		Routes:     map[string]rhubarbgate.Route{},
		Models:     map[string]rhubarbgate.Model{},
		Targets:    map[string]rhubarbgate.Target{},
		Objectives: map[string]rhubarbgate.Objective{},
		Services:   map[string]rhubarbgate.Service{},
	}
}

// With returns the configuration after bundle b. It validates b first.
func (c *Config) With(b *rhubarbgate.Bundle) (*Config, error) {
	if b.Whole {
		return c.replacedBy(b)
	}
	if b.Base != c.Version || b.Version != b.Base+1 {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun,
			"bundle %d is based on version %d, but version %d is in force", b.Version, b.Base, c.Version)
	}
	n := *c
	n.Version = b.Version
	n.Digest = Digest(b)
	n.change(b)
	if err := n.validate(b); err != nil {
		return nil, err
	}
	return &n, nil
}

// replacedBy returns the configuration that a whole bundle holds.
func (c *Config) replacedBy(b *rhubarbgate.Bundle) (*Config, error) {
	if b.Version <= c.Version {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun,
			"configuration %d is not newer than version %d, which is in force", b.Version, c.Version)
	}
	if err := ValidateFull(b); err != nil {
		return nil, err
	}
	return FromSection(b.Version, Digest(b), b.Put), nil
}

// Route returns the route with the longest prefix that begins the path.
func (c *Config) Route(host, path string) (rhubarbgate.Route, bool) {
	for _, r := range c.paths[host] {
		if strings.HasPrefix(path, r.Path.Prefix) {
			return r, true
		}
	}
	return rhubarbgate.Route{}, false
}

// RoutesOfHost returns the routes of a host, the longest prefix first.
func (c *Config) RoutesOfHost(host string) []rhubarbgate.Route { return c.paths[host] }

// indexPaths sorts the routes that have a Path for Route.
func (c *Config) indexPaths() {
	c.paths = map[string][]rhubarbgate.Route{}
	for _, r := range c.Routes {
		if r.Path.Host != "" {
			c.paths[r.Path.Host] = append(c.paths[r.Path.Host], r)
		}
	}
	for _, l := range c.paths {
		slices.SortFunc(l, func(a, b rhubarbgate.Route) int { return cmp.Compare(len(b.Path.Prefix), len(a.Path.Prefix)) })
	}
}

func (c *Config) change(b *rhubarbgate.Bundle) {
	c.Workspaces = merge(c, "w", c.Workspaces, b.Put.Workspaces, b.Remove.Workspaces, func(x rhubarbgate.Workspace) string { return x.Name })
	c.Keys = merge(c, "k", c.Keys, b.Put.Keys, b.Remove.Keys, func(x rhubarbgate.Key) string { return x.Digest })
	c.Routes = merge(c, "r", c.Routes, b.Put.Routes, b.Remove.Routes, func(x rhubarbgate.Route) string { return x.Name })
	c.Models = merge(c, "m", c.Models, b.Put.Models, b.Remove.Models, func(x rhubarbgate.Model) string { return x.Name })
	c.Targets = merge(c, "t", c.Targets, b.Put.Targets, b.Remove.Targets, func(x rhubarbgate.Target) string { return x.Name })
	c.Objectives = merge(c, "o", c.Objectives, b.Put.Objectives, b.Remove.Objectives, func(x rhubarbgate.Objective) string { return x.Name })
	c.Services = merge(c, "s", c.Services, b.Put.Services, nil, func(x rhubarbgate.Service) string { return x.Name })
	if b.Put.Limits != nil {
		c.Limits = b.Put.Limits
		c.Sum ^= objectSum("l", b.Put.Limits)
	}
	c.indexPaths()
}

// merge returns a copy of m with the objects of put and without those of remove,
// and folds the difference into the checksum of c.
func merge[T any](c *Config, kind string, m map[string]T, put []T, remove []string, name func(T) string) map[string]T {
	if len(put) == 0 && len(remove) == 0 {
		return m
	}
	n := maps.Clone(m)
	for _, k := range remove {
		if old, ok := n[k]; ok {
			c.Sum ^= objectSum(kind, old)
			delete(n, k)
		}
	}
	for _, x := range put {
		k := name(x)
		if old, ok := n[k]; ok {
			c.Sum ^= objectSum(kind, old)
		}
		c.Sum ^= objectSum(kind, x)
		n[k] = x
	}
	return n
}

func objectSum(kind string, x any) uint64 {
	b, err := json.Marshal(x)
	if err != nil {
		// The types hold only strings, numbers and addresses.
		panic(err)
	}
	return xxhash.Sum64(append([]byte(kind), b...))
}

// Section returns all objects, ordered by name.
func (c *Config) Section() rhubarbgate.Section {
	return rhubarbgate.Section{
		Workspaces: sorted(c.Workspaces),
		Keys:       sorted(c.Keys),
		Routes:     sorted(c.Routes),
		Models:     sorted(c.Models),
		Targets:    sorted(c.Targets),
		Objectives: sorted(c.Objectives),
		Services:   sorted(c.Services),
		Limits:     c.Limits,
	}
}

func sorted[T any](m map[string]T) []T {
	r := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		r = append(r, m[k])
	}
	return r
}

// FromSection rebuilds a configuration from all its objects.
func FromSection(version uint64, digest []byte, s rhubarbgate.Section) *Config {
	c := New()
	c.change(&rhubarbgate.Bundle{Put: s})
	c.Version = version
	c.Digest = digest
	return c
}

// Weight returns the share of the workspace in contended capacity.
func (c *Config) Weight(workspace string) float64 {
	if w := c.Workspaces[workspace].Weight; w > 0 {
		return w
	}
	return 1
}
