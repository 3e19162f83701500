package reserve

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/reserve"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
)

const (
	// maxAsksPerSecond bounds the asks that a side answers. All entries together send about 600 a second
	// to all sides, so that one side gets a fraction of this unless something is wrong.
	maxAsksPerSecond = 2000
	// askWindow is the time over which asks are counted.
	askWindow = time.Second
	// askedTTL is how long a side counts as asked after an ask.
	askedTTL = time.Second
)

// Server answers asks about the target of one side and counts reservations. Set the exported fields, then
// call Run; the other methods may be called before. A nil Server answers nothing.
type Server struct {
	Conn   Conn
	Target netip.AddrPort
	Ledger *reserve.Ledger
	// Items returns the number of the side's running batch items.
	Items func() int
	// OnReserved is called with the number of reservations when it may have changed, and returns how many
	// items were preempted for them. The lock of the Server is held, so that the last call has the newest number.
	OnReserved func(n int) int
	Clock      clockwork.Clock
	Logger     log.Interface
	Counts     *ServerCounters

	mu          sync.Mutex // guards the Ledger and the fields below
	windowBegan time.Time
	asks        int // in the window
	askedAt     time.Time
	overload    limitedLog
	preempted   limitedLog
}

// ServerCounters are the expvar counters of a Server: asks that were answered and those that were not
// because there were too many or the load is not known, datagrams that were dropped, reservations and those that were too
// many, and items that were preempted for reservations.
type ServerCounters struct {
	Answered, TooMany, Unknown, Dropped, Reservations, Refused, Preempted *expvar.Int
}

// NewServerCounters creates the counters and publishes them in m.
func NewServerCounters(m *expvar.Map) *ServerCounters {
	counter := counterIn(m)
	return &ServerCounters{
		Answered: counter("AsksAnswered"), TooMany: counter("AsksTooMany"), Unknown: counter("AsksLoadUnknown"), Dropped: counter("AsksDropped"),
		Reservations: counter("Reservations"), Refused: counter("ReservationsTooMany"), Preempted: counter("PreemptionsForReservations"),
	}
}

// Run answers asks until ctx ends, and closes the socket.
func (s *Server) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = s.Conn.Close() })()
	var reader side.DatagramReader
	var writer side.DatagramWriter
	var d side.Datagram
	buffer := make([]byte, side.MaxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := s.Conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.Clock.Sleep(readPause)
			continue
		}
		if err := reader.Decode(buffer[:n], &d); err != nil || d.Target != s.Target || d.Kind == side.Offer {
			s.Counts.Dropped.Add(1)
			continue
		}
		if d.Kind == side.Reserve {
			s.reserve()
			continue
		}
		offer, ok := s.offer()
		if !ok {
			continue
		}
		d.Kind, d.Offer = side.Offer, offer
		if b, err := writer.Encode(&d); err == nil {
			_, _ = s.Conn.WriteToUDPAddrPort(b, from)
			s.Counts.Answered.Add(1)
		}
	}
}

// offer returns the answer to an ask, or false if it is not answered.
func (s *Server) offer() (rhubarbgate.TargetOffer, bool) {
	items := s.Items()
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = now
	if now.Sub(s.windowBegan) >= askWindow {
		s.windowBegan, s.asks = now, 0
	}
	if s.asks >= maxAsksPerSecond {
		s.Counts.TooMany.Add(1)
		if suppressed, ok := s.overload.allow(now); ok {
			s.Logger.WithFields(log.Fields{"asks": s.asks, "window": askWindow.String(), "suppressed": suppressed}).Warn("too many asks of entries; the rest is not answered")
		}
		return rhubarbgate.TargetOffer{}, false
	}
	s.asks++
	o, ok := s.Ledger.Offer(items)
	if !ok {
		s.Counts.Unknown.Add(1)
	}
	return o, ok
}

// reserve counts a reservation.
func (s *Server) reserve() {
	items := s.Items()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Ledger.Reserve() {
		s.Counts.Refused.Add(1)
		return
	}
	s.Counts.Reservations.Add(1)
	n := s.Ledger.Reserved()
	preempted := s.OnReserved(n)
	if preempted == 0 {
		return
	}
	s.Counts.Preempted.Add(int64(preempted))
	if suppressed, ok := s.preempted.allow(s.Clock.Now()); ok {
		offer, known := s.Ledger.Offer(items)
		s.Logger.WithFields(log.Fields{
			"preempted": preempted, "reserved": n, "known": known, "online": offer.Online, "queued": offer.Queued, "batch": offer.Batch, "slots": offer.Slots,
			"age": offer.Age.String(), "suppressed": suppressed,
		}).Info("batch items preempted for reservations")
	}
}

// ObserveLoad records a load report of the target that was requested at the given time, when a number of items ran.
func (s *Server) ObserveLoad(l rhubarbgate.TargetLoad, requestedAt time.Time, items int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Ledger.ObserveLoad(l, requestedAt, items)
	s.OnReserved(s.Ledger.Reserved())
}

// LoadLost records that the target's load cannot be read.
func (s *Server) LoadLost() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Ledger.LoadLost()
}

// Asked reports whether an entry asked a short time ago.
func (s *Server) Asked() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.askedAt.IsZero() && s.Clock.Since(s.askedAt) < askedTTL
}
