package parents

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestNext guards against a daemon that asks hosts that are gone before one that answers, and against daemons that
// all move to the same parent when they lose theirs.
func TestNext(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	all := []netip.AddrPort{a, b, c}
	tests := []struct {
		name    string
		failed  []netip.AddrPort
		replied []netip.AddrPort
		parents []netip.AddrPort
		want    []netip.AddrPort // each is returned by some seed, and no other
	}{
		{"no failure", nil, nil, all, all},
		{"one failed", []netip.AddrPort{a}, nil, all, []netip.AddrPort{b, c}},
		{"all failed", []netip.AddrPort{b, c, a}, nil, all, []netip.AddrPort{b}},
		{"failed again", []netip.AddrPort{b, c, a, b}, nil, all, []netip.AddrPort{c}},
		{"replied since", []netip.AddrPort{a, b}, []netip.AddrPort{a}, all, []netip.AddrPort{a, c}},
		{"no parent any more", []netip.AddrPort{a, b, c}, nil, []netip.AddrPort{c}, []netip.AddrPort{c}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := map[netip.AddrPort]bool{}
			for seed := range uint64(50) {
				clock := clockwork.NewFakeClock()
				o := &Order{Clock: clock, Random: rand.New(rand.NewPCG(seed, 1))}
				for _, p := range test.failed {
					clock.Advance(time.Second)
					o.Failed(p)
				}
				for _, p := range test.replied {
					o.Replied(p)
				}
				got[o.Next(test.parents)] = true
			}
			want := map[netip.AddrPort]bool{}
			for _, p := range test.want {
				want[p] = true
			}
			qt.Assert(t, got, qt.DeepEquals, want)
		})
	}
}
