package side

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// TestDatagrams guards against datagrams that the other side reads differently, and against allocations
// for each ask.
func TestDatagrams(t *testing.T) {
	target := netip.MustParseAddrPort("127.0.0.1:8220")
	var w DatagramWriter
	var r DatagramReader
	for _, d := range []Datagram{
		{Kind: Ask, Nonce: 1<<64 - 1, Target: target},
		{Kind: Reserve, Nonce: 7, Target: netip.MustParseAddrPort("[2001:db8::1]:443")},
		{Kind: Offer, Nonce: 9, Target: target, Offer: rhubarbgate.TargetOffer{Slots: 8, Online: 5, Queued: 1, Reserved: 2, Batch: 3, Slowness: 2.5, Age: 51 * time.Millisecond}},
	} {
		b, err := w.Encode(&d)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(b) < MaxDatagramBytes/4, qt.IsTrue)
		var got Datagram
		qt.Assert(t, r.Decode(b, &got), qt.IsNil)
		qt.Assert(t, got, qt.Equals, d)
		n := testing.AllocsPerRun(100, func() { _, _ = w.Encode(&d) })
		qt.Assert(t, n, qt.Equals, 0.0)
		// Every shorter datagram is malformed.
		for i := range b {
			qt.Assert(t, r.Decode(b[:i:i], &got), qt.IsNotNil, qt.Commentf("%v, %d bytes", d.Kind, i))
		}
	}
}

// TestOffersThatNoSideStates guards against a choice, or a panic, by figures that no side states.
func TestOffersThatNoSideStates(t *testing.T) {
	for _, o := range []rhubarbgate.TargetOffer{
		{}, {Slots: -8}, {Slots: 8, Online: -1}, {Slots: 8, Queued: 1 << 40}, {Slots: 8, Slowness: -1}, {Slots: 8, Age: -1},
	} {
		var w DatagramWriter
		b, err := w.Encode(&Datagram{Kind: Offer, Target: netip.MustParseAddrPort("127.0.0.1:1"), Offer: o})
		qt.Assert(t, err, qt.IsNil)
		var got Datagram
		qt.Assert(t, new(DatagramReader).Decode(b, &got), qt.IsNotNil, qt.Commentf("%+v", o))
	}
}

// FuzzDatagram guards against input that ends the process.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte{0x93, 1, 2, 0xc4, 0})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Datagram
		_ = new(DatagramReader).Decode(b, &d)
	})
}
