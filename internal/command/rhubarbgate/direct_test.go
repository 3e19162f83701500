package rhubarbgate

import (
	"net"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
)

// TestSidesShareAHost guards against a side that does not start because another one listens
// at the address that it would: both run items, and one of them is not asked for its target.
func TestSidesShareAHost(t *testing.T) {
	entries := memory.New()
	l := &log.Logger{Handler: entries}
	first, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer first.Close()
	address := first.Addr().(*net.TCPAddr).AddrPort()
	qt.Assert(t, listenForEntries(address, l) == nil, qt.IsTrue)
	qt.Assert(t, entries.Entries, qt.HasLen, 1)
	qt.Assert(t, first.Close(), qt.IsNil)
	second := listenForEntries(address, l)
	qt.Assert(t, second != nil, qt.IsTrue)
	qt.Assert(t, second.Close(), qt.IsNil)
}

// TestFeaturesMayBeEmpty guards against a process that does not start because its deployment has no contracts, so
// that the value of the flag is empty.
func TestFeaturesMayBeEmpty(t *testing.T) {
	for _, role := range []string{"entry", "side"} {
		for _, features := range []string{"--features=", "--features=pressure,unknown"} {
			code, _, errs := run(role, features, "--target-list", "nowhere")
			qt.Assert(t, code, qt.Equals, exitUsage)
			qt.Assert(t, errs, qt.Contains, "--target-list")
			qt.Assert(t, strings.Contains(errs, "--features"), qt.IsFalse, qt.Commentf("%s", errs))
		}
	}
}

// TestHedgeShare guards against an entry that does not start because its deployment does not set the share, and
// against one that sends more copies than the bound.
func TestHedgeShare(t *testing.T) {
	tests := []struct {
		value string
		valid bool
	}{
		{"", true}, {"0", true}, {"0.05", true}, {"0.2", true}, {"0.21", false}, {"-0.01", false}, {"NaN", false}, {"5%", false},
	}
	for _, test := range tests {
		code, _, errs := run("entry", "--hedge-share="+test.value, "--target-list", "nowhere")
		qt.Check(t, code, qt.Equals, exitUsage)
		qt.Check(t, strings.Contains(errs, "hedge-share"), qt.Equals, !test.valid, qt.Commentf("%q: %s", test.value, errs))
	}
}

// TestJobReads guards against a limit of reads that an operator mistypes and that refuses all of them.
func TestJobReads(t *testing.T) {
	tests := []struct {
		value string
		valid bool
	}{
		{"0", true}, {"0.5", true}, {"500", true}, {"-1", false}, {"NaN", false}, {"+Inf", false}, {"", false}, {"many", false},
	}
	for _, test := range tests {
		code, _, errs := run("entry", "--job-reads="+test.value, "--target-list", "nowhere")
		qt.Check(t, code, qt.Equals, exitUsage)
		qt.Check(t, strings.Contains(errs, "job-reads"), qt.Equals, !test.valid, qt.Commentf("%q: %s", test.value, errs))
	}
}
