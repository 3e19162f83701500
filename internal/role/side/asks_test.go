package side

import (
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/reserve"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/policy/pick"
	policy "rhubarbgate.example/rhubarbgate/internal/policy/reserve"
	"rhubarbgate.example/rhubarbgate/platform"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestEntryAsksSide exchanges datagrams between a side and an entry. It guards against a side that does not
// answer at its port, and one that starts an item in a slot that an entry reserved.
func TestEntryAsksSide(t *testing.T) {
	open := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		qt.Assert(t, err, qt.IsNil)
		return c
	}
	w, _ := newBatchOnlyWorker(t, &platformtest.Target{}, clockwork.NewRealClock())
	h := w.host
	asks := open()
	h.Asks, h.Slots, h.Metrics = asks, 8, new(expvar.Map).Init()
	h.Probe = &platform.Engine{Client: &target.Client{Address: h.Target, Dialer: &net.Dialer{Timeout: time.Minute}, Clock: h.Clock, KeepUnidentified: true}}
	h.setUp()
	h.probeLoad(t.Context())
	go h.reservations.Run(t.Context())
	c := &reserve.Client{
		Conn: open(), Port: asks.LocalAddr().(*net.UDPAddr).AddrPort().Port(), Demand: &policy.Demand{Clock: h.Clock, Always: true},
		Picker: &pick.LeastRequests{Random: rand.New(rand.NewPCG(1, 1))}, Clock: h.Clock, Random: rand.New(rand.NewPCG(2, 2)),
		Logger: h.Logger, Counts: reserve.NewClientCounters(new(expvar.Map).Init()),
	}
	go c.Run(t.Context())
	// A busy host may take longer than the time for an ask, or long enough for the report to be too old.
	ask := func() rhubarbgate.TargetOffer {
		for range 200 {
			h.probeLoad(t.Context())
			c.ObserveLoad("lm", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
			r := c.Ask(t.Context(), "lm", rhubarbgate.PickRequest{}, []rhubarbgate.Candidate{{Address: h.Target, Distance: 1, Slots: 8}})
			if r.Known {
				return r.Best.TargetOffer
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("the side does not answer")
		return rhubarbgate.TargetOffer{}
	}
	o := ask()
	qt.Assert(t, o.Slots, qt.Equals, 8)
	qt.Assert(t, o.Online+o.Queued+o.Reserved+o.Batch, qt.Equals, 0)
	qt.Assert(t, h.reservations.Asked(), qt.IsTrue)
	for range 200 {
		c.Reserve(h.Target)
		time.Sleep(time.Millisecond)
		if h.keeper.FreeBatchSlots() < 8 {
			return
		}
	}
	t.Fatal("a reserved slot counts as free")
}
