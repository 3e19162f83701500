package reserve

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/policy/gate"
	"rhubarbgate.example/rhubarbgate/internal/policy/pick"
	"rhubarbgate.example/rhubarbgate/internal/policy/reserve"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
)

// sidePort is the port of all sides in these tests.
const sidePort = 9000

// datagram is an encoded datagram under way.
type datagram struct {
	from netip.AddrPort
	body []byte
}

// network carries datagrams between sockets in memory.
type network struct {
	mu      sync.Mutex
	sockets map[netip.AddrPort]*memorySocket
}

// memorySocket implements Conn.
type memorySocket struct {
	network *network
	address netip.AddrPort
	in      chan datagram
	closed  chan struct{}
	once    sync.Once
}

func (n *network) open(a netip.AddrPort) *memorySocket {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets == nil {
		n.sockets = map[netip.AddrPort]*memorySocket{}
	}
	s := &memorySocket{network: n, address: a, in: make(chan datagram, 4096), closed: make(chan struct{})}
	n.sockets[a] = s
	return s
}

func (s *memorySocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-s.in:
		return copy(b, d.body), d.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (s *memorySocket) WriteToUDPAddrPort(b []byte, a netip.AddrPort) (int, error) {
	s.network.mu.Lock()
	to := s.network.sockets[a]
	s.network.mu.Unlock()
	if to != nil {
		to.in <- datagram{s.address, append([]byte(nil), b...)}
	}
	return len(b), nil
}

func (s *memorySocket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// targetAt returns the address of target i, whose side is at the same host.
func targetAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

// fixture is an entry's Client and the candidates.
type fixture struct {
	clock      *clockwork.FakeClock
	network    *network
	client     *Client
	candidates []rhubarbgate.Candidate
	logs       *memory.Handler
}

func newFixture(t *testing.T, targets int) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), network: &network{}, logs: memory.New()}
	f.client = &Client{
		Conn: f.network.open(netip.MustParseAddrPort("10.0.1.1:5000")), Port: sidePort, Demand: &reserve.Demand{Clock: f.clock, Always: true},
		Picker: &pick.LeastRequests{Random: rand.New(rand.NewPCG(1, 1))}, Clock: f.clock, Random: rand.New(rand.NewPCG(2, 2)),
		Logger: &log.Logger{Handler: f.logs}, Counts: NewClientCounters(new(expvar.Map).Init()),
	}
	for i := range targets {
		f.candidates = append(f.candidates, rhubarbgate.Candidate{Address: targetAt(i), Distance: 1, Slots: 8, Connected: true})
	}
	go f.client.Run(t.Context())
	return f
}

// startSide starts the side of target i, with a report of its load.
func (f *fixture) startSide(t *testing.T, i int, load rhubarbgate.TargetLoad, onReserved func(int) int) *Server {
	s := &Server{
		Conn: f.network.open(netip.AddrPortFrom(targetAt(i).Addr(), sidePort)), Target: targetAt(i), Ledger: &reserve.Ledger{Clock: f.clock, Slots: 8},
		Items: func() int { return 0 }, OnReserved: onReserved, Clock: f.clock, Logger: f.client.Logger, Counts: NewServerCounters(new(expvar.Map).Init()),
	}
	s.ObserveLoad(load, f.clock.Now(), 0)
	go s.Run(t.Context())
	return s
}

func ignoreReserved(int) int { return 0 }

// ask asks while capacity is contended. If no side replies, it advances the clock until the asks end.
func (f *fixture) ask(t *testing.T) Result {
	f.client.Demand.ObserveLoad("s", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
	done := make(chan Result, 1)
	go func() { done <- f.client.Ask(t.Context(), "s", rhubarbgate.PickRequest{}, f.candidates) }()
	for {
		select {
		case r := <-done:
			return r
		case <-time.After(5 * time.Millisecond):
			f.clock.Advance(time.Millisecond)
		}
	}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not within 2 s: %s", what)
}

// TestSlotIsFoundAndReserved guards against a request that queues although an asked side has a free slot, and
// against a second one for the same slot before a load report shows the first.
func TestSlotIsFoundAndReserved(t *testing.T) {
	f := newFixture(t, 6)
	for i := range 6 {
		load := rhubarbgate.TargetLoad{Running: 8, Waiting: i % 3}
		if i == 4 {
			load = rhubarbgate.TargetLoad{Running: 7}
		}
		f.startSide(t, i, load, ignoreReserved)
	}
	r := f.ask(t)
	qt.Assert(t, r.Known && r.Choice.Free(), qt.IsTrue)
	qt.Assert(t, r.Best.Candidate, qt.Equals, 4)
	qt.Assert(t, r.Wait, qt.Equals, time.Duration(0))
	f.client.Reserve(targetAt(4))
	r = f.ask(t)
	qt.Assert(t, r.Known, qt.IsTrue)
	qt.Assert(t, r.Choice.Free(), qt.IsFalse)
	qt.Assert(t, r.Wait > 0, qt.IsTrue)
	qt.Assert(t, f.client.Counts.Reservations.Value(), qt.Equals, int64(1))
}

// TestSilentSides guards against requests that are slowed by sides that are down for longer than 12 ms, and
// more than once a second after three misses of each.
func TestSilentSides(t *testing.T) {
	f := newFixture(t, 2)
	for n := range reserve.MissesBeforePause {
		r := f.ask(t)
		qt.Assert(t, r.Known, qt.IsFalse)
		qt.Assert(t, r.Unasked, qt.Equals, -1, qt.Commentf("request %d", n))
		qt.Assert(t, r.Took <= askTimeout+time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.Took))
		f.clock.Advance(askTimeout)
	}
	asked := f.client.Counts.Asks.Value()
	qt.Assert(t, asked, qt.Equals, int64(2*reserve.MissesBeforePause))
	f.ask(t) // counts the last misses
	for range 20 {
		r := f.ask(t)
		qt.Assert(t, r.Took, qt.Equals, time.Duration(0))
		qt.Assert(t, r.Unasked >= 0, qt.IsTrue)
	}
	qt.Assert(t, f.client.Counts.Asks.Value(), qt.Equals, asked)
	f.clock.Advance(reserve.MissPause)
	f.startSide(t, 0, rhubarbgate.TargetLoad{}, ignoreReserved)
	f.startSide(t, 1, rhubarbgate.TargetLoad{}, ignoreReserved)
	r := f.ask(t)
	qt.Assert(t, r.Known, qt.IsTrue)
	qt.Assert(t, len(f.logs.Entries) <= 4, qt.IsTrue)
}

// TestTargetOfSilentSideIsUsed guards against a target that is left idle because its side is down.
func TestTargetOfSilentSideIsUsed(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 3 {
		f.startSide(t, i, rhubarbgate.TargetLoad{Running: 5}, ignoreReserved)
	}
	unasked := 0
	for range 300 {
		if r := f.ask(t); r.Unasked >= 0 {
			qt.Assert(t, r.Unasked, qt.Equals, 3)
			unasked++
		}
	}
	qt.Assert(t, unasked > 30 && unasked < 120, qt.IsTrue, qt.Commentf("%d", unasked))
}

// TestForeignDatagrams guards against offers that are taken although they are for no ask of this entry.
func TestForeignDatagrams(t *testing.T) {
	f := newFixture(t, 1)
	conn := f.network.open(netip.MustParseAddrPort("10.0.2.1:1"))
	to := netip.MustParseAddrPort("10.0.1.1:5000")
	var w side.DatagramWriter
	for _, d := range []side.Datagram{
		{Kind: side.Offer, Nonce: 1, Target: targetAt(0), Offer: rhubarbgate.TargetOffer{Slots: 8}},
		{Kind: side.Ask, Nonce: 1, Target: targetAt(0)},
	} {
		b, err := w.Encode(&d)
		qt.Assert(t, err, qt.IsNil)
		_, _ = conn.WriteToUDPAddrPort(b, to)
	}
	_, _ = conn.WriteToUDPAddrPort([]byte("no datagram"), to)
	eventually(t, "3 datagrams are dropped", func() bool { return f.client.Counts.Dropped.Value() == 3 })
	// An offer for another target than the one asked.
	f.client.mu.Lock()
	f.client.pending = map[uint64]pendingAsk{7: {target: targetAt(0)}}
	f.client.mu.Unlock()
	b, err := w.Encode(&side.Datagram{Kind: side.Offer, Nonce: 7, Target: targetAt(1), Offer: rhubarbgate.TargetOffer{Slots: 8}})
	qt.Assert(t, err, qt.IsNil)
	_, _ = conn.WriteToUDPAddrPort(b, to)
	eventually(t, "it is dropped", func() bool { return f.client.Counts.Dropped.Value() == 4 })
}

// TestCallerLeavesWhileAsking guards against a request that holds its connection although its caller has left.
func TestCallerLeavesWhileAsking(t *testing.T) {
	f := newFixture(t, 3)
	f.client.Demand.ObserveLoad("s", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := f.client.Ask(ctx, "s", rhubarbgate.PickRequest{}, f.candidates)
	qt.Assert(t, r.Known, qt.IsFalse)
}

// TestBoundsOfSide guards against a side that is occupied by asks or reservations without end, and one that
// answers for another target.
func TestBoundsOfSide(t *testing.T) {
	f := newFixture(t, 1)
	s := f.startSide(t, 0, rhubarbgate.TargetLoad{}, ignoreReserved)
	conn := f.network.open(netip.MustParseAddrPort("10.0.2.1:1"))
	var w side.DatagramWriter
	send := func(kind side.DatagramKind, target netip.AddrPort, n int) {
		for range n {
			b, err := w.Encode(&side.Datagram{Kind: kind, Nonce: 1, Target: target})
			qt.Assert(t, err, qt.IsNil)
			_, _ = conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(targetAt(0).Addr(), sidePort))
		}
	}
	send(side.Ask, targetAt(0), maxAsksPerSecond+100)
	send(side.Reserve, targetAt(0), reserve.MaxReservations+10)
	send(side.Ask, targetAt(1), 5)
	eventually(t, "all datagrams are handled", func() bool { return s.Counts.Dropped.Value() == 5 })
	qt.Assert(t, s.Counts.Answered.Value(), qt.Equals, int64(maxAsksPerSecond))
	qt.Assert(t, s.Counts.TooMany.Value(), qt.Equals, int64(100))
	qt.Assert(t, s.Counts.Reservations.Value(), qt.Equals, int64(reserve.MaxReservations))
	qt.Assert(t, s.Counts.Refused.Value(), qt.Equals, int64(10))
	qt.Assert(t, f.logs.Entries, qt.HasLen, 1)
}

// TestReservationPreemptsItem guards against a request that waits for the next load report until a batch
// item yields its slot to it.
func TestReservationPreemptsItem(t *testing.T) {
	f := newFixture(t, 1)
	keeper := &gatekeeper.Gatekeeper{Clock: f.clock, Gate: &gate.Yielding{Clock: f.clock, Slots: 8}}
	keeper.Start()
	keeper.ObserveLoad(rhubarbgate.TargetLoad{Running: 6})
	var items []*gatekeeper.Slot
	for range 2 {
		items = append(items, keeper.Acquire(t.Context(), rhubarbgate.Work{Class: rhubarbgate.Batch, Deadline: f.clock.Now().Add(time.Minute)}))
	}
	keeper.ObserveLoad(rhubarbgate.TargetLoad{Running: 8})
	s := f.startSide(t, 0, rhubarbgate.TargetLoad{Running: 8}, keeper.ObserveReserved)
	f.client.Reserve(targetAt(0))
	preempted := func() int {
		n := 0
		for _, x := range items {
			if context.Cause(x.Context) == gatekeeper.ErrPreempted {
				n++
			}
		}
		return n
	}
	eventually(t, "an item is preempted", func() bool { return preempted() == 1 })
	qt.Assert(t, keeper.FreeBatchSlots() <= 0, qt.IsTrue)
	eventually(t, "it is counted", func() bool { return s.Counts.Preempted.Value() == 1 })
	f.client.Reserve(targetAt(0))
	eventually(t, "the other one is preempted", func() bool { return preempted() == 2 })
}
