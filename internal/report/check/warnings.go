package check

import (
	"fmt"
	"strings"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// checking is a check in progress.
type checking struct {
	checker *Checker
	index   *index
	place   func(field string) string
	base    *config.Config // nil if it is not known
	b       *rhubarbgate.Bundle
	next    *config.Config // what b leads to
	report  *Report
}

// finding adds a finding on a field of the bundle; the text follows the field's name.
func (c *checking) finding(s Severity, field, text string) {
	place := c.place(field)
	c.report.Findings = append(c.report.Findings, Finding{Severity: s, Position: c.index.of(place), Field: place, Text: place + ": " + text})
}

// fault adds an error of the validation.
func (c *checking) fault(f config.Fault) {
	field, name, ok := strings.Cut(f.Field, " ")
	text := f.Text
	if ok {
		text = name + " " + text
	}
	c.finding(Error, field, text)
}

// unplaced adds an error of the whole file.
func (c *checking) unplaced(format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{Severity: Error, Position: Position{1, 1}, Text: fmt.Sprintf(format, args...)})
}

// warn adds a warning on a field of the bundle.
func (c *checking) warn(field, format string, args ...any) {
	c.finding(Warning, field, fmt.Sprintf(format, args...))
}

// complete reports whether all objects of the configuration are known, so that one that nothing refers to is
// of no use.
func (c *checking) complete() bool { return c.b.Whole || c.base != nil }

// warnings adds the warnings on what the bundle puts.
func (c *checking) warnings() {
	c.duplicates()
	c.removals()
	c.routes()
	c.workspaces()
	c.keys()
	c.unused()
	if l := c.b.Put.Limits; l != nil {
		c.limits(l)
	}
}

// duplicates warns of objects that a later one of the same name replaces. For the routes of full configurations
// that is an error.
func (c *checking) duplicates() {
	p := &c.b.Put
	duplicates(c, "Workspaces", p.Workspaces, func(x rhubarbgate.Workspace) string { return x.Name })
	duplicates(c, "Models", p.Models, func(x rhubarbgate.Model) string { return x.Name })
	duplicates(c, "Targets", p.Targets, func(x rhubarbgate.Target) string { return x.Name })
	duplicates(c, "Objectives", p.Objectives, func(x rhubarbgate.Objective) string { return x.Name })
	duplicates(c, "Services", p.Services, func(x rhubarbgate.Service) string { return x.Name })
	if !c.b.Whole {
		duplicates(c, "Routes", p.Routes, func(x rhubarbgate.Route) string { return x.Name })
	}
}

func duplicates[T any](c *checking, list string, objects []T, name func(T) string) {
	last := map[string]int{}
	for i, x := range objects {
		last[name(x)] = i
	}
	for i, x := range objects {
		if j := last[name(x)]; j != i {
			c.warn(fmt.Sprintf("Put.%s[%d]", list, i), "%q is never used: %s has the same name and replaces it", name(x), c.place(fmt.Sprintf("Put.%s[%d]", list, j)))
		}
	}
}

// removals warns of removed names that are not in the configuration in force.
func (c *checking) removals() {
	if c.base == nil {
		return
	}
	r := &c.b.Remove
	removals(c, "Workspaces", r.Workspaces, c.base.Workspaces)
	removals(c, "Routes", r.Routes, c.base.Routes)
	removals(c, "Models", r.Models, c.base.Models)
	removals(c, "Targets", r.Targets, c.base.Targets)
	removals(c, "Objectives", r.Objectives, c.base.Objectives)
	for i, digest := range r.Keys {
		if _, ok := c.base.Keys[digest]; !ok {
			c.warn(fmt.Sprintf("Remove.Keys[%d]", i), "the key is not in version %d", c.base.Version)
		}
	}
}

func removals[T any](c *checking, list string, names []string, objects map[string]T) {
	for i, name := range names {
		if _, ok := objects[name]; !ok {
			c.warn(fmt.Sprintf("Remove.%s[%d]", list, i), "%q is not in version %d", name, c.base.Version)
		}
	}
}

// routes warns of routes that never match or whose limits contradict each other.
func (c *checking) routes() {
	targets := map[string]int{} // targets by the route that they serve
	for _, t := range c.next.Targets {
		for _, name := range t.Routes {
			targets[name]++
		}
	}
	for i, r := range c.b.Put.Routes {
		field := fmt.Sprintf("Put.Routes[%d]", i)
		if r.Path != (rhubarbgate.Path{}) {
			c.path(field, r)
		} else if c.complete() && targets[r.Name] == 0 {
			c.warn(field, "%q is the route of a service that no target lists", r.Name)
		}
		for j, x := range r.Split {
			if x.Weight == 0 {
				c.warn(fmt.Sprintf("%s.Split[%d].Weight", field, j), "route %q gives service %q the weight 0, so it gets no request", r.Name, x.Service)
			}
		}
		if r.Timeout > 0 && r.Objective > r.Timeout {
			c.warn(field+".Timeout", "route %q has a timeout of %v, below its objective of %v", r.Name, r.Timeout, r.Objective)
		}
		if n := targets[r.Name]; c.complete() && n > 0 && r.Attempts > n {
			c.warn(field+".Attempts", "route %q allows %d attempts, each on another target, and has %d targets", r.Name, r.Attempts, n)
		}
		if r.Kind == rhubarbgate.BatchJob && r.Retention < r.Window {
			c.warn(field+".Retention", "route %q gives items up after %v, before the results are due after %v", r.Name, r.Retention, r.Window)
		}
	}
}

// path warns of a host and prefix that no request has, or that another route has too. Entries compare the host of
// a request in lower case, and its path without the query as it was sent.
func (c *checking) path(field string, r rhubarbgate.Route) {
	host, prefix := r.Path.Host, r.Path.Prefix
	lower := strings.ToLower(host)
	switch {
	case host == "":
		c.warn(field+".Path.Host", "route %q never matches: it has no host", r.Name)
	case host != lower:
		other := c.owner(lower, prefix, r.Name)
		if other != "" {
			c.warn(field+".Path.Host", "route %q never matches: host names are compared in lower case, and route %q has the host %q and the prefix", r.Name, other, lower)
			break
		}
		c.warn(field+".Path.Host", "route %q never matches: host names are compared in lower case, and %q is not", r.Name, host)
	case strings.ContainsFunc(prefix, func(x rune) bool { return x == '?' || x <= ' ' }):
		c.warn(field+".Path.Prefix", "route %q never matches: no path has a question mark, blank or control character", r.Name)
	case !c.b.Whole:
		// Full configurations with this fault are refused.
		if other := c.owner(host, prefix, r.Name); other != "" {
			c.warn(field+".Path", "route %q has the host and prefix of route %q, and either may match", r.Name, other)
		}
	}
}

// owner returns the first other route with a host and prefix, or an empty string.
func (c *checking) owner(host, prefix, name string) string {
	found := ""
	for _, r := range c.next.RoutesOfHost(host) {
		if r.Path.Prefix == prefix && r.Name != name && (found == "" || r.Name < found) {
			found = r.Name
		}
	}
	return found
}

// workspaces warns of workspaces that no caller can use.
func (c *checking) workspaces() {
	withKeys := map[string]bool{}
	for _, k := range c.next.Keys {
		withKeys[k.Workspace] = true
	}
	for i, w := range c.b.Put.Workspaces {
		field := fmt.Sprintf("Put.Workspaces[%d]", i)
		if c.complete() && !withKeys[w.Name] {
			c.warn(field, "workspace %q has no keys", w.Name)
		}
		// Bundles of changes with this fault are refused.
		if c.b.Whole && !w.Unlimited && w.Burst < 1 {
			c.warn(field+".Burst", "workspace %q has a burst of %g, below one request, so none ever runs", w.Name, w.Burst)
		}
		if w.ItemRate > 0 && w.ItemBurst < 1 {
			c.warn(field+".ItemBurst", "workspace %q has a burst of %g batch items, below one", w.Name, w.ItemBurst)
		}
	}
}

// keys warns of keys that are listed twice or of no use. It names their places only.
func (c *checking) keys() {
	empty := config.KeyDigest("")
	first := map[rhubarbgate.Key]int{}
	for i, k := range c.b.Put.Keys {
		field := fmt.Sprintf("Put.Keys[%d]", i)
		if j, ok := first[k]; ok {
			c.warn(field, "the key of workspace %q is the same as %s", k.Workspace, c.place(fmt.Sprintf("Put.Keys[%d]", j)))
		} else {
			first[k] = i
		}
		if k.Digest == empty {
			c.warn(field, "the key of workspace %q is empty", k.Workspace)
		}
		// Bundles of changes with this fault are refused.
		if _, ok := c.next.Workspaces[k.Workspace]; c.b.Whole && !ok {
			c.warn(field, "the key is of the unknown workspace %q", k.Workspace)
		}
	}
}

// unused warns of services that no route names and models that no target lists.
func (c *checking) unused() {
	if !c.complete() {
		return
	}
	routed, served := map[string]bool{}, map[string]bool{}
	for _, r := range c.next.Routes {
		for _, x := range r.Split {
			routed[x.Service] = true
		}
	}
	for _, t := range c.next.Targets {
		for _, m := range t.Models {
			served[m] = true
		}
	}
	for i, s := range c.b.Put.Services {
		if !routed[s.Name] {
			c.warn(fmt.Sprintf("Put.Services[%d]", i), "service %q is named by no route", s.Name)
		}
	}
	for i, m := range c.b.Put.Models {
		if !served[m.Name] {
			c.warn(fmt.Sprintf("Put.Models[%d]", i), "model %q is listed by no target", m.Name)
		}
	}
}

// limits warns of a body limit that other limits make useless.
func (c *checking) limits(l *rhubarbgate.CallerLimits) {
	n := l.BodyBytes
	if n > c.checker.StoreBytes {
		c.warn("Put.Limits.BodyBytes", "%d bytes are more than the %d that store hosts accept", n, c.checker.StoreBytes)
	}
	if n > c.checker.EntryBodyBytes {
		c.warn("Put.Limits.BodyBytes", "%d bytes are more than the %d that entries accept", n, c.checker.EntryBodyBytes)
	}
	if n < 0 {
		c.warn("Put.Limits.BodyBytes", "%d is negative and sets no limit", n)
	}
}
