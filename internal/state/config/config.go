// Package config holds one version of the configuration, applies bundles to it and validates and signs them.
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
// new one that shares the unchanged maps. The maps are keyed by name if no other
// key is given.
type Config struct {
	Version    uint64
	Digest     []byte // of the bundle that led to the version
	Workspaces map[string]rhubarbgate.Workspace
	Keys       map[string]rhubarbgate.Key // by digest
	Routes     map[string]rhubarbgate.Route
	Models     map[string]rhubarbgate.Model
	Targets    map[string]rhubarbgate.Target
	Objectives map[string]rhubarbgate.Objective
	Services   map[string]rhubarbgate.Service
	Limits     *rhubarbgate.CallerLimits
	// routesByHost holds the routes that have a Path, the longest prefix first.
	routesByHost map[string][]rhubarbgate.Route
	// Sum is a checksum over all objects, independent of their order, by which two
	// processes compare their configurations.
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

// With returns the configuration with bundle b applied, or an
// *rhubarbgate.Error if b is invalid or based on another version.
func (c *Config) With(b *rhubarbgate.Bundle) (*Config, error) {
	if b.Whole {
		return c.replaceWith(b)
	}
	if err := c.CheckBase(b); err != nil {
		return nil, err
	}
	n := *c
	n.Version = b.Version
	n.Digest = Digest(b)
	n.applyChanges(b)
	if err := n.validate(b); err != nil {
		return nil, err
	}
	return &n, nil
}

// CheckBase returns an *rhubarbgate.Error if a bundle of changes is based on another version.
func (c *Config) CheckBase(b *rhubarbgate.Bundle) error {
	if b.Base != c.Version || b.Version != b.Base+1 {
		return rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun,
			"bundle %d is based on version %d, but version %d is in force", b.Version, b.Base, c.Version)
	}
	return nil
}

// replaceWith returns the full configuration that b holds, whose version must be
// above that of c.
func (c *Config) replaceWith(b *rhubarbgate.Bundle) (*Config, error) {
	if b.Version <= c.Version {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun,
			"configuration %d is not newer than version %d, which is in force", b.Version, c.Version)
	}
	if err := ValidateFull(b); err != nil {
		return nil, err
	}
	return FromSection(b.Version, Digest(b), b.Put), nil
}

// Route returns the route of the host with the longest prefix of the path.
func (c *Config) Route(host, path string) (rhubarbgate.Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Path.Prefix) {
			return r, true
		}
	}
	return rhubarbgate.Route{}, false
}

// RoutesOfHost returns the routes of a host that have a Path, the longest prefix
// first.
func (c *Config) RoutesOfHost(host string) []rhubarbgate.Route { return c.routesByHost[host] }

// BatchRoute returns the route in force of a batch job that was submitted at a host and path to the route
// with this name. It is the one that would take the job now; a job also stays with its route if that
// moved to another path. An empty host means that host and path are not known, but only the path of an item; then
// the route must be the only one that could take it.
func (c *Config) BatchRoute(name, host, path string) (rhubarbgate.Route, bool) {
	if r, ok := c.Route(host, path); ok && r.Kind == rhubarbgate.BatchJob {
		return r, true
	}
	if r, ok := c.Routes[name]; ok && r.Kind == rhubarbgate.BatchJob {
		return r, true
	}
	if host != "" {
		return rhubarbgate.Route{}, false
	}
	var found []rhubarbgate.Route
	for h := range c.routesByHost {
		if r, ok := c.Route(h, path); ok && r.Kind == rhubarbgate.BatchJob {
			found = append(found, r)
		}
	}
	if len(found) != 1 {
		return rhubarbgate.Route{}, false
	}
	return found[0], true
}

// indexRoutes rebuilds routesByHost from Routes.
func (c *Config) indexRoutes() {
	c.routesByHost = map[string][]rhubarbgate.Route{}
	for _, r := range c.Routes {
		if r.Path.Host != "" {
			c.routesByHost[r.Path.Host] = append(c.routesByHost[r.Path.Host], r)
		}
	}
	for _, l := range c.routesByHost {
		slices.SortFunc(l, func(a, b rhubarbgate.Route) int { return cmp.Compare(len(b.Path.Prefix), len(a.Path.Prefix)) })
	}
}

// applyChanges puts and removes the objects of b and updates Sum.
func (c *Config) applyChanges(b *rhubarbgate.Bundle) {
	c.Workspaces = merge(c, "w", c.Workspaces, b.Put.Workspaces, b.Remove.Workspaces, func(x rhubarbgate.Workspace) string { return x.Name })
	c.Keys = merge(c, "k", c.Keys, b.Put.Keys, b.Remove.Keys, func(x rhubarbgate.Key) string { return x.Digest })
	c.Routes = merge(c, "r", c.Routes, b.Put.Routes, b.Remove.Routes, func(x rhubarbgate.Route) string { return x.Name })
	c.Models = merge(c, "m", c.Models, b.Put.Models, b.Remove.Models, func(x rhubarbgate.Model) string { return x.Name })
	c.Targets = merge(c, "t", c.Targets, b.Put.Targets, b.Remove.Targets, func(x rhubarbgate.Target) string { return x.Name })
	c.Objectives = merge(c, "o", c.Objectives, b.Put.Objectives, b.Remove.Objectives, func(x rhubarbgate.Objective) string { return x.Name })
	c.Services = merge(c, "s", c.Services, b.Put.Services, nil, func(x rhubarbgate.Service) string { return x.Name })
	if b.Put.Limits != nil {
		if c.Limits != nil {
			c.Sum ^= objectChecksum("l", c.Limits)
		}
		c.Limits = b.Put.Limits
		c.Sum ^= objectChecksum("l", b.Put.Limits)
	}
	c.indexRoutes()
}

// merge returns a copy of m with the objects of put and without those of remove,
// and updates c.Sum. kind is one letter for the type of the objects, so that
// equal objects of two types have different checksums.
func merge[T any](c *Config, kind string, m map[string]T, put []T, remove []string, name func(T) string) map[string]T {
	if len(put) == 0 && len(remove) == 0 {
		return m
	}
	n := maps.Clone(m)
	for _, k := range remove {
		if old, ok := n[k]; ok {
			c.Sum ^= objectChecksum(kind, old)
			delete(n, k)
		}
	}
	for _, x := range put {
		k := name(x)
		if old, ok := n[k]; ok {
			c.Sum ^= objectChecksum(kind, old)
		}
		c.Sum ^= objectChecksum(kind, x)
		n[k] = x
	}
	return n
}

// objectChecksum returns the part of Config.Sum that one object contributes.
func objectChecksum(kind string, x any) uint64 {
	b, err := json.Marshal(x)
	if err != nil {
		// The types hold only strings, numbers and addresses. CheckFinite rejects the
		// numbers that cannot be encoded.
		panic(err)
	}
	return xxhash.Sum64(append([]byte(kind), b...))
}

// Section returns all objects, ordered by name, keys by digest.
func (c *Config) Section() rhubarbgate.Section {
	return rhubarbgate.Section{
		Workspaces: sortedValues(c.Workspaces),
		Keys:       sortedValues(c.Keys),
		Routes:     sortedValues(c.Routes),
		Models:     sortedValues(c.Models),
		Targets:    sortedValues(c.Targets),
		Objectives: sortedValues(c.Objectives),
		Services:   sortedValues(c.Services),
		Limits:     c.Limits,
	}
}

// sortedValues returns the values of m in the order of its keys.
func sortedValues[T any](m map[string]T) []T {
	r := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		r = append(r, m[k])
	}
	return r
}

// FromSection returns the configuration that consists of the objects of s. It
// does not validate them.
func FromSection(version uint64, digest []byte, s rhubarbgate.Section) *Config {
	c := New()
	c.applyChanges(&rhubarbgate.Bundle{Put: s})
	c.Version = version
	c.Digest = digest
	return c
}

// Weight returns the workspace's weight when workspaces contend for capacity; it
// is 1 for an unknown workspace or one without a weight.
func (c *Config) Weight(workspace string) float64 {
	if w := c.Workspaces[workspace].Weight; w > 0 {
		return w
	}
	return 1
}
