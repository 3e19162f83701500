package config

import (
	"encoding/hex"
	"fmt"
	"regexp"

	"rhubarbgate.example/rhubarbgate"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// validate checks the objects that b puts, and that what it removes is no longer
// referred to. References are checked in the configuration after the change.
func (c *Config) validate(b *rhubarbgate.Bundle) error {
	v := &validation{config: c}
	for i, x := range b.Put.Workspaces {
		v.workspace(fmt.Sprintf("Put.Workspaces[%d]", i), x)
	}
	for i, x := range b.Put.Keys {
		v.key(fmt.Sprintf("Put.Keys[%d]", i), x)
	}
	for i, x := range b.Put.Routes {
		v.name(fmt.Sprintf("Put.Routes[%d]", i), x.Name)
		v.check(x.Timeout >= 0, fmt.Sprintf("Put.Routes[%d].Timeout", i), "is negative")
	}
	for i, x := range b.Put.Models {
		v.name(fmt.Sprintf("Put.Models[%d]", i), x.Name)
		v.check(x.Timeout >= 0, fmt.Sprintf("Put.Models[%d].Timeout", i), "is negative")
	}
	for i, x := range b.Put.Targets {
		v.target(fmt.Sprintf("Put.Targets[%d]", i), x)
	}
	for i, x := range b.Put.Objectives {
		v.objective(fmt.Sprintf("Put.Objectives[%d]", i), x)
	}
	v.removals(b.Remove)
	return v.err()
}

// validation collects the first fault found.
type validation struct {
	config *Config
	fault  string
}

func (v *validation) err() error {
	if v.fault == "" {
		return nil
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "bundle %d: %s", v.config.Version, v.fault)
}

func (v *validation) check(ok bool, place, format string, args ...any) {
	if !ok && v.fault == "" {
		v.fault = place + " " + fmt.Sprintf(format, args...)
	}
}

func (v *validation) name(place, name string) {
	v.check(namePattern.MatchString(name), place+".Name", "%q is not a valid name", name)
}

func (v *validation) workspace(place string, x rhubarbgate.Workspace) {
	v.name(place, x.Name)
	v.check(x.Rate >= 0, place+".Rate", "is negative")
	v.check(x.Burst >= 1, place+".Burst", "is below 1, so no request could ever run")
	v.check(x.Weight >= 0, place+".Weight", "is negative")
	v.check(x.ItemRate >= 0 && x.ItemBurst >= 0, place+".ItemRate", "or ItemBurst is negative")
}

func (v *validation) key(place string, x rhubarbgate.Key) {
	b, err := hex.DecodeString(x.Digest)
	v.check(err == nil && len(b) == 32, place+".Digest", "is not a hexadecimal SHA-256")
	_, ok := v.config.Workspaces[x.Workspace]
	v.check(ok, place+".Workspace", "%q is unknown", x.Workspace)
}

func (v *validation) target(place string, x rhubarbgate.Target) {
	v.name(place, x.Name)
	v.check(x.Address.IsValid(), place+".Address", "is not an IP address and port")
	v.check(x.Slots > 0, place+".Slots", "is not positive")
	for _, m := range x.Models {
		_, ok := v.config.Models[m]
		v.check(ok, place+".Models", "%q is unknown", m)
	}
	for _, r := range x.Routes {
		_, ok := v.config.Routes[r]
		v.check(ok, place+".Routes", "%q is unknown", r)
	}
}

func (v *validation) objective(place string, x rhubarbgate.Objective) {
	v.name(place, x.Name)
	v.check(x.Goal > 0 && x.Goal < 1, place+".Goal", "is not between 0 and 1")
	v.check(x.FirstToken >= 0 && x.BetweenTokens >= 0, place, "has a negative latency")
	if x.Workspace != "" {
		_, ok := v.config.Workspaces[x.Workspace]
		v.check(ok, place+".Workspace", "%q is unknown", x.Workspace)
	}
}

// removals checks that nothing refers to what was removed.
func (v *validation) removals(r rhubarbgate.Removal) {
	if len(r.Workspaces) > 0 {
		for _, k := range v.config.Keys {
			_, ok := v.config.Workspaces[k.Workspace]
			v.check(ok, "Remove.Workspaces", "%q still has keys", k.Workspace)
		}
		for _, o := range v.config.Objectives {
			_, ok := v.config.Workspaces[o.Workspace]
			v.check(ok || o.Workspace == "", "Remove.Workspaces", "%q still has the objective %q", o.Workspace, o.Name)
		}
	}
	if len(r.Models) == 0 && len(r.Routes) == 0 {
		return
	}
	for _, t := range v.config.Targets {
		for _, m := range t.Models {
			_, ok := v.config.Models[m]
			v.check(ok, "Remove.Models", "%q is still served by target %q", m, t.Name)
		}
		for _, n := range t.Routes {
			_, ok := v.config.Routes[n]
			v.check(ok, "Remove.Routes", "%q is still served by target %q", n, t.Name)
		}
	}
}
