package wire

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

type sample struct {
	Name    string
	Count   *int
	At      time.Time
	Wait    time.Duration
	Address netip.AddrPort
	Flags   []bool
	Verdict rhubarbgate.Verdict
	Inner   struct{ X, Y int }
	Map     map[string]int
}

// TestRoundTrip guards against values that change between sender and receiver, such as
// a pointer to zero that arrives as nil or a false that is left out of a list.
func TestRoundTrip(t *testing.T) {
	zero := 0
	tests := []struct {
		name string
		in   sample
	}{
		{"empty", sample{}},
		{"pointer to zero", sample{Count: &zero}},
		{"false in a list", sample{Flags: []bool{false, true}}},
		{"full", sample{
			Name: "n", Count: &zero, At: time.Unix(5, 6).UTC(), Wait: time.Second,
			Address: netip.MustParseAddrPort("[::1]:80"), Verdict: rhubarbgate.Ran, Map: map[string]int{"a": 0},
		}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			b, err := Marshal(&x.in)
			c.Assert(err, qt.IsNil)
			var out sample
			c.Assert(Unmarshal(b, &out), qt.IsNil)
			c.Assert(out.At.Equal(x.in.At), qt.IsTrue)
			out.At, x.in.At = time.Time{}, time.Time{}
			c.Assert(out.Address, qt.Equals, x.in.Address)
			c.Assert(out.Inner, qt.Equals, x.in.Inner)
			c.Assert(out.Flags, qt.DeepEquals, x.in.Flags)
			c.Assert(out.Map, qt.DeepEquals, x.in.Map)
			c.Assert(out.Count, qt.DeepEquals, x.in.Count)
			c.Assert(out.Verdict, qt.Equals, x.in.Verdict)
		})
	}
}

// FuzzUnmarshal guards against bytes from a peer that make the decoder panic.
func FuzzUnmarshal(f *testing.F) {
	b, err := Marshal(&sample{Name: "n", Flags: []bool{true}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xdf, 0xff})
	f.Add([]byte("\x81\xa2At\xc0")) // nil in place of a time
	f.Fuzz(func(t *testing.T, b []byte) {
		var x sample
		_ = Unmarshal(b, &x)
	})
}
