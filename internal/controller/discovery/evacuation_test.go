package discovery

import (
	"expvar"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
)

// TestEvacuatedTargetsAreNoCandidates guards against requests for targets in an evacuated zone: also if those
// are all that are left, come back under another ID, or were listed after the order.
func TestEvacuatedTargetsAreNoCandidates(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &Table{Clock: clock, Logger: &log.Logger{Handler: discard.New()}, Unreadable: new(expvar.Int), Ejections: new(expvar.Int)}
	instance := func(id, zone string, port uint16) rhubarbgate.Instance {
		return rhubarbgate.Instance{ID: id, Service: "s", AvailabilityZone: zone, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port)}
	}
	list := []rhubarbgate.Instance{instance("one", "a", 1), instance("two", "b", 2), instance("three", "b", 3)}
	names := func(tried ...*Target) (r []string) {
		candidates, _ := table.Candidates("s", true, tried)
		for _, x := range candidates {
			r = append(r, x.Instance.ID)
		}
		return r
	}
	at := clock.Now()
	update := func(list []rhubarbgate.Instance) {
		at = at.Add(time.Second)
		table.Update(list, at)
	}
	table.SetEvacuation(evacuation.Set{Version: 1, Zones: []string{"b"}}, at)
	update(list)
	qt.Assert(t, names(), qt.DeepEquals, []string{"one"})
	qt.Assert(t, names(table.Target(list[0])), qt.HasLen, 0)
	update(append(list, instance("again", "b", 2)))
	qt.Assert(t, names(), qt.DeepEquals, []string{"one"})
	qt.Assert(t, table.Evacuated("s"), qt.HasLen, 3)
	qt.Assert(t, table.Evacuated("other"), qt.HasLen, 0)
	table.SetEvacuation(evacuation.Set{Version: 2, Zones: []string{"a", "b"}}, at)
	qt.Assert(t, names(), qt.HasLen, 0)
	table.SetEvacuation(evacuation.Set{Version: 3, Zones: []string{"a"}}, at)
	update(list)
	qt.Assert(t, names(), qt.ContentEquals, []string{"two", "three"})
}
