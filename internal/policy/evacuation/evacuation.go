// Package evacuation holds the set of evacuated availability zones, whose targets get no requests, and the orders that change it.
package evacuation

import (
	"slices"
	"strings"
	"unicode/utf8"

	"rhubarbgate.example/rhubarbgate"
)

// MaxZoneBytes is the longest name of a zone, the same as in the platform's list of targets.
const MaxZoneBytes = 256

// Order evacuates an availability zone or, with Restore, withdraws that.
type Order struct {
	Zone    string
	Restore bool
}

// Check returns an error if the name of the zone is malformed.
func (o Order) Check() error {
	if o.Zone == "" || len(o.Zone) > MaxZoneBytes || !utf8.ValidString(o.Zone) {
		return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "the name of the zone has %d bytes; it is valid UTF-8 with 1 to %d", len(o.Zone), MaxZoneBytes)
	}
	return nil
}

// Set is the set of evacuated zones. Version increases with each change of Zones, which are in order.
// A Set is not modified once it is in use.
type Set struct {
	Version uint64
	Zones   []string
}

// Has reports whether the zone is evacuated.
func (s Set) Has(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// With returns the set after an order, which is the same one if the order was carried out before.
func (s Set) With(o Order) Set {
	i, found := slices.BinarySearch(s.Zones, o.Zone)
	switch {
	case found != o.Restore:
		return s
	case o.Restore:
		return Set{Version: s.Version + 1, Zones: slices.Delete(slices.Clone(s.Zones), i, i+1)}
	default:
		return Set{Version: s.Version + 1, Zones: slices.Insert(slices.Clone(s.Zones), i, o.Zone)}
	}
}

// String lists the zones, separated by commas.
func (s Set) String() string { return strings.Join(s.Zones, ",") }
