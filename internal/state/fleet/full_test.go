package fleet

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
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

// TestNumbersWithoutJSON guards against a bundle with a NaN or an infinite number, which
// has no digest: a committed one would end every control host, again at each restart.
func TestNumbersWithoutJSON(t *testing.T) {
	tests := []struct {
		name string
		set  func(*rhubarbgate.Bundle, float64)
	}{
		{"weight", func(b *rhubarbgate.Bundle, x float64) { b.Put.Routes[0].Split[0].Weight = x }},
		{"rate", func(b *rhubarbgate.Bundle, x float64) {
			b.Put.Workspaces = []rhubarbgate.Workspace{{Name: "w", Rate: x}}
		}},
		{"burst", func(b *rhubarbgate.Bundle, x float64) {
			b.Put.Workspaces = []rhubarbgate.Workspace{{Name: "w", Burst: x}}
		}},
		{"goal", func(b *rhubarbgate.Bundle, x float64) {
			b.Put.Objectives = []rhubarbgate.Objective{{Name: "o", Goal: x}}
		}},
	}
	for _, test := range tests {
		for _, x := range []float64{math.NaN(), math.Inf(1)} {
			for _, whole := range []bool{true, false} {
				for _, version := range []uint64{1, 5} {
					m := New()
					m.commit(fullBundle(3, "three"))
					b := fullBundle(version, "x")
					b.Whole = whole
					test.set(b, x)
					r, changed := m.commit(b)
					qt.Check(t, r.Err, qt.IsNotNil, qt.Commentf("%s %v", test.name, x))
					qt.Check(t, changed, qt.IsFalse)
					qt.Check(t, config.Operators{}.Verify(b), qt.IsNotNil)
				}
			}
		}
	}
}

// TestChecksumWithLimits guards against a checksum that depends on the limits that were in
// force before: a process that gets the change and one that gets all objects must agree.
func TestChecksumWithLimits(t *testing.T) {
	first, second := rhubarbgate.Section{Limits: &rhubarbgate.CallerLimits{BodyBytes: 1}}, rhubarbgate.Section{Limits: &rhubarbgate.CallerLimits{BodyBytes: 2}}
	c, err := config.FromSection(1, nil, first).With(&rhubarbgate.Bundle{Base: 1, Version: 2, Put: second})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Sum, qt.Equals, config.FromSection(2, nil, c.Section()).Sum)
}
