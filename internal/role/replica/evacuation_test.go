package replica

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
)

// emptyDirectory is a rhubarbgate.Directory that is not read.
type emptyDirectory struct{}

func (emptyDirectory) List(context.Context) ([]rhubarbgate.Instance, int, error) { return nil, 0, nil }

// fleetHost returns a control host whose fleet group has the commands, without running it.
func fleetHost(t *testing.T, commands ...fleet.Command) *Host {
	h := &Host{Directory: emptyDirectory{}, Logger: &log.Logger{Handler: discard.New()}, ToleratedLosses: 1, fleet: fleet.New()}
	for _, c := range commands {
		data, err := wire.Marshal(&c)
		qt.Assert(t, err, qt.IsNil)
		h.fleet.Apply(0, data)
	}
	return h
}

// storeHost returns the command that registers a store host.
func storeHost(id uint64, name, zone string) fleet.Command {
	m := raft.Member{ID: id, Incarnation: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 1)}
	return fleet.Command{Host: &fleet.HostRecord{Kind: fleet.StoreHost, Name: name, AvailabilityZone: zone, Member: m}}
}

// TestKnownZones guards against a refusal for good of an order that comes before the list was read, against orders
// for zones that do not exist, and against a zone that cannot be restored once its targets are gone.
func TestKnownZones(t *testing.T) {
	h := fleetHost(t, storeHost(1, "s", "hosts"), fleet.Command{Evacuate: &evacuation.Order{Zone: "gone"}})
	check := func(zone string, want rhubarbgate.Code) {
		t.Helper()
		if err := h.checkZoneKnown(zone); err != nil {
			qt.Check(t, err.Code, qt.Equals, want, qt.Commentf("%s", zone))
			return
		}
		qt.Check(t, want, qt.Equals, rhubarbgate.CodeInternal, qt.Commentf("%s is known", zone))
	}
	const known = rhubarbgate.CodeInternal // stands for no error
	check("hosts", known)
	check("gone", known)
	check("targets", rhubarbgate.CodeUnavailable)
	h.setTargets([]rhubarbgate.Instance{{ID: "i", AvailabilityZone: "targets"}}, time.Time{})
	check("targets", known)
	check("other", rhubarbgate.CodeNotFound)
	check("hosts", known)
}

// TestRetirementKeepsTheSpread guards against retiring the last store host of a zone that the groups need, and
// against refusing a retirement that changes nothing in that.
func TestRetirementKeepsTheSpread(t *testing.T) {
	stores := []fleet.Command{storeHost(1, "a1", "a"), storeHost(2, "a2", "a"), storeHost(3, "b1", "b"), storeHost(4, "c1", "c")}
	h := fleetHost(t, stores...)
	qt.Assert(t, h.checkZonesWithout("a1") == nil, qt.IsTrue)
	qt.Assert(t, h.checkZonesWithout("b1").Code, qt.Equals, rhubarbgate.CodeConflict)
	h = fleetHost(t, append(stores, fleet.Command{Retire: &fleet.RetireHost{Name: "b1"}})...)
	qt.Assert(t, h.checkZonesWithout("b1") == nil, qt.IsTrue, qt.Commentf("a repeated request"))
	qt.Assert(t, h.checkZonesWithout("a1") == nil, qt.IsTrue, qt.Commentf("no spread is possible before"))
}
