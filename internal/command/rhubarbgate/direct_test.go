package rhubarbgate

import (
	"net"
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
