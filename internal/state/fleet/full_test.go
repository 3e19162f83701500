package fleet

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// fullBundle returns a bundle that holds a full configuration with one route.
func fullBundle(version uint64, document string) *rhubarbgate.Bundle {
	return &rhubarbgate.Bundle{Version: version, Whole: true, Document: []byte(document), Put: rhubarbgate.Section{
		Services: []rhubarbgate.Service{{Name: "s"}},
		Routes: []rhubarbgate.Route{{
			Name: "r", Kind: rhubarbgate.Safe, Timeout: time.Second, Path: rhubarbgate.Path{Host: "h", Prefix: "/a/"}, Split: []rhubarbgate.Share{{Service: "s", Weight: 1}},
		}},
	}}
}

// TestHighestFullConfigurationIsInForce guards against a full configuration that
// replaces a newer one, as when an older one arrives late, and against
// an invalid one that takes effect.
func TestHighestFullConfigurationIsInForce(t *testing.T) {
	m := New()
	tests := []struct {
		name                string
		bundle              *rhubarbgate.Bundle
		repeated, overtaken bool
		version             uint64
		document            string
	}{
		{"first", fullBundle(5, "five"), false, false, 5, "five"},
		{"again", fullBundle(5, "five"), true, false, 5, "five"},
		{"other content under the version", fullBundle(5, "other"), false, true, 5, "five"},
		{"uneven step", fullBundle(19, "nineteen"), false, false, 19, "nineteen"},
		{"an older one arrives again", fullBundle(5, "five"), false, true, 19, "nineteen"},
	}
	for _, x := range tests {
		r, _ := m.commit(x.bundle)
		qt.Check(t, r.Err == nil, qt.IsTrue, qt.Commentf("%s: %v", x.name, r.Err))
		qt.Check(t, r.Repeated, qt.Equals, x.repeated, qt.Commentf("%s", x.name))
		qt.Check(t, r.Overtaken, qt.Equals, x.overtaken, qt.Commentf("%s", x.name))
		v, d := m.Document()
		qt.Check(t, v, qt.Equals, x.version)
		qt.Check(t, string(d), qt.Equals, x.document)
	}
	bad := fullBundle(30, "bad")
	bad.Put.Routes[0].Timeout = 0
	r, changed := m.commit(bad)
	qt.Assert(t, r.Err != nil && !changed, qt.IsTrue)
	qt.Assert(t, m.Current().Version, qt.Equals, uint64(19))
}

// TestHostsAndRetirement guards against retiring more store hosts than allowed,
// against a retirement lost when the host registers again, and against two hosts
// recorded at one address after one came back with an empty disk.
func TestHostsAndRetirement(t *testing.T) {
	m := New()
	record := func(id uint64, name string, last byte) HostRecord {
		return HostRecord{Kind: StoreHost, Name: name, Member: raft.Member{ID: id, Incarnation: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 7000)}}
	}
	for i := range byte(4) {
		m.putHost(record(uint64(i)+1, string(rune('a'+i)), i))
	}
	qt.Assert(t, m.retire(&RetireHost{Name: "nobody", Least: 3}).Err.Code, qt.Equals, rhubarbgate.CodeNotFound)
	qt.Assert(t, m.retire(&RetireHost{Name: "a", Least: 3}).Err == nil, qt.IsTrue)
	qt.Assert(t, m.retire(&RetireHost{Name: "a", Least: 3}).Err == nil, qt.IsTrue, qt.Commentf("a repeated request"))
	qt.Assert(t, m.retire(&RetireHost{Name: "b", Least: 3}).Err.Code, qt.Equals, rhubarbgate.CodeConflict)
	m.putHost(record(1, "a", 0))
	qt.Assert(t, m.Hosts()[0].Retiring, qt.IsTrue, qt.Commentf("a host that registers again is still retiring"))
	m.putHost(record(9, "b", 1))
	qt.Assert(t, m.Hosts(), qt.HasLen, 4, qt.Commentf("a host with a new ID replaces the earlier one at its address"))
}
