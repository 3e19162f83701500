package config

import "rhubarbgate.example/rhubarbgate"

// Fault is a reason for which a bundle is refused.
type Fault struct {
	// Field is the place in the bundle, such as Put.Routes[3].Timeout, and may be followed by a blank and
	// the object's name in quotes.
	Field string
	Text  string
}

// String returns the fault as error messages state it.
func (f Fault) String() string { return f.Field + " " + f.Text }

// Faults returns all reasons for which the content of b is refused, and the configuration that b leads to
// from base, which may have these faults. A nil base means that it is not known: references of a bundle of changes to
// other objects, and its removals, are not checked then. The version of base is not compared with that of b, which With does.
//
// If b has numbers that are not finite, Faults returns only these and no configuration.
func Faults(base *Config, b *rhubarbgate.Bundle) ([]Fault, *Config) {
	v := &validation{config: &Config{Version: b.Version}, all: true}
	if v.numbers(b); len(v.faults) > 0 {
		return v.faults, nil
	}
	if b.Whole {
		v.config = FromSection(b.Version, nil, b.Put)
		v.full(b)
		return v.faults, v.config
	}
	v.partial = base == nil
	if base == nil {
		base = New()
	}
	n := *base
	n.Version = b.Version
	n.applyChanges(b)
	v.config = &n
	v.changes(b)
	return v.faults, v.config
}
