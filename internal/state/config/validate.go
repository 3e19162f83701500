package config

import (
	"encoding/hex"
	"fmt"
	"regexp"

	"rhubarbgate.example/rhubarbgate"
)

// namePattern is the form of the names in a bundle of changes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// validate checks the objects that b puts, and that nothing refers to the objects
// that it removes. c is the configuration with b already applied, so an object may
// refer to another one of the same bundle.
func (c *Config) validate(b *rhubarbgate.Bundle) error {
	v := &validation{config: c}
	v.changes(b)
	return v.err()
}

// changes checks a bundle of changes.
func (v *validation) changes(b *rhubarbgate.Bundle) {
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
	v.services(b.Put.Services)
	if !v.partial {
		v.removals(b.Remove)
	}
}

// validation holds the configuration that is checked and the faults found.
type validation struct {
	config *Config
	// all keeps every fault. Otherwise only the first is kept, as an error names no more and a document
	// may have very many.
	all bool
	// partial means that the configuration holds only what the bundle puts, so references to other
	// objects cannot be checked.
	partial bool
	faults  []Fault
}

// err returns the first fault as an *rhubarbgate.Error, or nil.
func (v *validation) err() error {
	if len(v.faults) == 0 {
		return nil
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "bundle %d: %v", v.config.Version, v.faults[0])
}

// check records a fault of the field unless ok is true.
func (v *validation) check(ok bool, field, format string, args ...any) {
	if !ok && (v.all || len(v.faults) == 0) {
		v.faults = append(v.faults, Fault{Field: field, Text: fmt.Sprintf(format, args...)})
	}
}

// refer checks a reference to another object.
func (v *validation) refer(ok bool, field, format string, args ...any) {
	v.check(ok || v.partial, field, format, args...)
}

// name checks the name of an object; field is the object.
func (v *validation) name(field, name string) {
	v.check(namePattern.MatchString(name), field+".Name", "%q is not a valid name", name)
}

// workspace checks a workspace that a bundle of changes puts.
func (v *validation) workspace(field string, x rhubarbgate.Workspace) {
	v.name(field, x.Name)
	v.check(x.Rate >= 0, field+".Rate", "is negative")
	v.check(x.Burst >= 1, field+".Burst", "is below 1, so no request could ever run")
	v.check(x.Weight >= 0, field+".Weight", "is negative")
	v.check(x.ItemRate >= 0 && x.ItemBurst >= 0, field+".ItemRate", "or ItemBurst is negative")
}

// key checks a caller key that a bundle of changes puts.
func (v *validation) key(field string, x rhubarbgate.Key) {
	b, err := hex.DecodeString(x.Digest)
	v.check(err == nil && len(b) == 32, field+".Digest", "is not a hexadecimal SHA-256")
	_, ok := v.config.Workspaces[x.Workspace]
	v.refer(ok, field+".Workspace", "%q is unknown", x.Workspace)
}

// target checks a target that a bundle of changes puts.
func (v *validation) target(field string, x rhubarbgate.Target) {
	v.name(field, x.Name)
	v.check(x.Address.IsValid(), field+".Address", "is not an IP address and port")
	v.check(x.Slots > 0, field+".Slots", "is not positive")
	for _, m := range x.Models {
		_, ok := v.config.Models[m]
		v.refer(ok, field+".Models", "%q is unknown", m)
	}
	for _, r := range x.Routes {
		_, ok := v.config.Routes[r]
		v.refer(ok, field+".Routes", "%q is unknown", r)
	}
}

// objective checks an objective that a bundle of changes puts.
func (v *validation) objective(field string, x rhubarbgate.Objective) {
	v.name(field, x.Name)
	v.check(x.Goal > 0 && x.Goal < 1, field+".Goal", "is not between 0 and 1")
	v.check(x.FirstToken >= 0 && x.BetweenTokens >= 0, field, "has a negative latency")
	if x.Workspace != "" {
		_, ok := v.config.Workspaces[x.Workspace]
		v.refer(ok, field+".Workspace", "%q is unknown", x.Workspace)
	}
}

// removals checks that no remaining object refers to a removed one.
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
