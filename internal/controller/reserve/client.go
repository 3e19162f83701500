// Package reserve exchanges asks, offers and reservations over UDP between entries and the sides of targets.
package reserve

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
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
	// askTimeout bounds how long one request waits for offers, in all rounds together: a few round trips
	// between availability zones, and little of an objective of 300 ms.
	askTimeout = 12 * time.Millisecond
	// roundTimeout is how long the offers of the first round are awaited before others are asked, or
	// before the best of those that came is taken.
	roundTimeout = 6 * time.Millisecond
	// maxPending bounds the asks without a reply, those of about 40 requests at a time.
	maxPending = 256
	// maxPeers bounds the sides that are remembered. Those of targets that left are dropped when it is reached.
	maxPeers = 512
	// logInterval is the least time between two log lines of one kind.
	logInterval = time.Second
	// readPause is the pause after a failed read of the socket, so that a persistent error costs little.
	readPause = 10 * time.Millisecond
)

// Conn is the UDP socket; *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, a netip.AddrPort) (int, error)
	Close() error
}

var _ Conn = (*net.UDPConn)(nil)

// Client asks sides for an entry. Set the exported fields, then call Run; the other methods may be called
// before. A nil Client asks nothing.
type Client struct {
	Conn Conn
	// Port is the port of sides on the hosts of their targets.
	Port uint16
	// Demand says when sides are asked. Picker ranks the candidates.
	Demand *reserve.Demand
	Picker rhubarbgate.RankingPicker
	Clock  clockwork.Clock
	// Random chooses nonces. The Client serializes its use; nothing else may use it.
	Random *rand.Rand
	Logger log.Interface
	Counts *ClientCounters

	exchanges sync.Pool // of *exchange

	mu      sync.Mutex
	pending map[uint64]pendingAsk // by nonce
	// order lists the nonces of pending asks and of some answered ones, by time, in a ring.
	order      [maxPending]uint64
	head, size int
	peers      map[netip.AddrPort]*reserve.Peer // by target
	// pausedUntil is until when a side may be paused.
	pausedUntil time.Time
	noSlot      limitedLog
	paused      limitedLog

	sendMu sync.Mutex
	writer side.DatagramWriter
}

// ClientCounters are the expvar counters of a Client: requests for which sides were asked, those for which a
// free slot was found, none was found, or no side replied; requests for a target whose side is paused; asks, offers, offers that came after the choice, asks without a reply, and
// datagrams that were dropped; reservations; pauses of silent sides; and the time for which requests waited for offers.
type ClientCounters struct {
	Requests, Free, Full, Unanswered, Unasked, Asks, Offers, Late, Missed, Dropped, Reservations, Pauses, Microseconds *expvar.Int
}

// NewClientCounters creates the counters and publishes them in m.
func NewClientCounters(m *expvar.Map) *ClientCounters {
	counter := counterIn(m)
	return &ClientCounters{
		Requests: counter("RequestsAsked"), Free: counter("RequestsAskedFree"), Full: counter("RequestsAskedFull"), Unanswered: counter("RequestsAskedUnanswered"),
		Unasked: counter("RequestsUnasked"),
		Asks:    counter("Asks"), Offers: counter("Offers"), Late: counter("OffersLate"), Missed: counter("AsksMissed"),
		Dropped: counter("OffersDropped"), Reservations: counter("Reservations"), Pauses: counter("SidesPaused"), Microseconds: counter("AskMicroseconds"),
	}
}

// counterIn returns a function that creates a counter and publishes it in m.
func counterIn(m *expvar.Map) func(name string) *expvar.Int {
	return func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
}

// limitedLog bounds the log lines of one kind. The lock of its owner is held.
type limitedLog struct {
	at         time.Time
	suppressed int
}

// allow reports whether a line may be logged now, and how many were not since the last one.
func (l *limitedLog) allow(now time.Time) (suppressed int, ok bool) {
	if !l.at.IsZero() && now.Sub(l.at) < logInterval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.at, l.suppressed = now, 0
	return suppressed, true
}

// pendingAsk is an ask without a reply.
type pendingAsk struct {
	target  netip.AddrPort
	sentAt  time.Time
	service string
	// exchange waits for the reply; nil if it has ended.
	exchange  *exchange
	candidate int
	distance  int
}

// exchange is the asks for one request.
type exchange struct {
	choice reserve.Choice // guarded by the lock of the Client
	nonces [reserve.MaxAsks]uint64
	ranked [maxRanked]int
	wake   chan struct{} // receives when the choice is decided
}

// maxRanked bounds the candidates that are ranked for one request; those whose sides are paused are left out.
const maxRanked = 2 * reserve.MaxAsks

// Result is what the sides of the candidates of one request offer.
type Result struct {
	// Choice has the offers.
	Choice reserve.Choice
	// Best is the best offer and Wait its expected wait; they are valid only if Known is set.
	Best  reserve.Offer
	Wait  time.Duration
	Known bool
	// Unasked is the index of the candidate to choose although its side was not asked, because it is
	// paused; -1 if there is none.
	Unasked int
	// Took is how long the offers were awaited.
	Took time.Duration
}

// Applies reports whether the targets of a service may be contended for.
func (c *Client) Applies(service string) bool { return c != nil && c.Demand.Applies(service) }

// ObserveLoad records the load that a response of a target of a service reported.
func (c *Client) ObserveLoad(service string, l rhubarbgate.TargetLoad) {
	if c != nil {
		c.Demand.ObserveLoad(service, l)
	}
}

// ObserveHold records for how long a request held a slot; see reserve.Demand.
func (c *Client) ObserveHold(service string, hold time.Duration) {
	if c != nil {
		c.Demand.ObserveHold(service, hold)
	}
}

// Ask asks the sides of some candidates for a free slot, if the service's targets seem to be contended for.
// It returns when the best target is known, after askTimeout, or when ctx ends.
func (c *Client) Ask(ctx context.Context, service string, r rhubarbgate.PickRequest, candidates []rhubarbgate.Candidate) Result {
	asks, changed := c.Demand.Asks(service)
	if changed {
		c.Logger.WithFields(log.Fields{"service": service, "asks": asks}).Info("contention of the service's targets began or ended")
	}
	if !asks {
		return Result{Unasked: -1}
	}
	if i := c.chooseUnasked(r, candidates); i >= 0 {
		c.Counts.Unasked.Add(1)
		return Result{Unasked: i}
	}
	x, _ := c.exchanges.Get().(*exchange)
	if x == nil {
		x = &exchange{wake: make(chan struct{}, 1)}
	}
	ranked := x.ranked[:c.Picker.Rank(r, candidates, x.ranked[:])]
	began := c.Clock.Now()
	c.begin(x, service, ranked, candidates, began)
	if x.choice.Asked() > 0 {
		c.await(ctx, x, service, candidates)
	}
	result := c.end(x)
	result.Took = c.Clock.Since(began)
	c.exchanges.Put(x)
	if result.Choice.Asked() > 0 {
		c.record(service, &result)
	}
	return result
}

// chooseUnasked returns a candidate whose side is paused, or -1 if the request goes to another one.
func (c *Client) chooseUnasked(r rhubarbgate.PickRequest, candidates []rhubarbgate.Candidate) int {
	now := c.Clock.Now()
	c.mu.Lock()
	if !now.Before(c.pausedUntil) {
		c.mu.Unlock()
		return -1
	}
	paused := 0
	for i := range candidates {
		if c.peers[candidates[i].Address].Paused(now) {
			paused++
		}
	}
	if !reserve.ChoosesUnasked(paused, len(candidates), c.Random.Float64()) {
		c.mu.Unlock()
		return -1
	}
	indexes := make([]int, 0, paused)
	list := make([]rhubarbgate.Candidate, 0, paused)
	for i := range candidates {
		if c.peers[candidates[i].Address].Paused(now) {
			indexes, list = append(indexes, i), append(list, candidates[i])
		}
	}
	c.mu.Unlock()
	return indexes[c.Picker.Pick(r, list)]
}

// begin starts an exchange and sends the asks of its first round.
func (c *Client) begin(x *exchange, service string, ranked []int, candidates []rhubarbgate.Candidate, now time.Time) {
	c.mu.Lock()
	if c.pending == nil {
		c.pending, c.peers = map[uint64]pendingAsk{}, map[netip.AddrPort]*reserve.Peer{}
	}
	c.expire(now)
	n := 0
	for _, i := range ranked {
		if !c.peers[candidates[i].Address].Paused(now) {
			ranked[n] = i
			n++
		}
	}
	x.choice.Start(c.Demand.Hold(service), reserve.RoundAsks, ranked[:n])
	c.mu.Unlock()
	c.sendRound(x, service, candidates)
}

// sendRound sends the next asks of an exchange.
func (c *Client) sendRound(x *exchange, service string, candidates []rhubarbgate.Candidate) {
	now := c.Clock.Now()
	c.mu.Lock()
	first := x.choice.Asked()
	asked := x.choice.Next()
	for i, candidate := range asked {
		nonce := c.Random.Uint64()
		x.nonces[first+i] = nonce
		c.remember(nonce, pendingAsk{
			target: candidates[candidate].Address, sentAt: now, service: service, exchange: x, candidate: candidate, distance: candidates[candidate].Distance,
		}, now)
	}
	c.mu.Unlock()
	for i, candidate := range asked {
		c.send(&side.Datagram{Kind: side.Ask, Nonce: x.nonces[first+i], Target: candidates[candidate].Address})
	}
	c.Counts.Asks.Add(int64(len(asked)))
}

// send sends a datagram to the side of its target. A failure is like a lost datagram.
func (c *Client) send(d *side.Datagram) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if b, err := c.writer.Encode(d); err == nil {
		_, _ = c.Conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(d.Target.Addr(), c.Port))
	}
}

// remember adds a pending ask. If there are too many, the oldest counts as missed. The lock is held.
func (c *Client) remember(nonce uint64, a pendingAsk, now time.Time) {
	if c.size == maxPending {
		c.dropOldest(now)
	}
	c.order[(c.head+c.size)%maxPending] = nonce
	c.size++
	c.pending[nonce] = a
}

// expire counts the asks that were not answered in time as missed. The lock is held.
func (c *Client) expire(now time.Time) {
	for c.size > 0 {
		a, ok := c.pending[c.order[c.head]]
		if ok && now.Sub(a.sentAt) < askTimeout {
			return
		}
		c.dropOldest(now)
	}
}

// dropOldest removes the oldest ask and counts it as missed if it is still pending. The lock is held.
func (c *Client) dropOldest(now time.Time) {
	nonce := c.order[c.head]
	c.head = (c.head + 1) % maxPending
	c.size--
	a, ok := c.pending[nonce]
	if !ok {
		return
	}
	delete(c.pending, nonce)
	c.Counts.Missed.Add(1)
	c.Demand.ObserveMiss(a.service)
	p := c.peer(a.target)
	if !p.Missed(now) {
		return
	}
	c.pausedUntil = now.Add(reserve.MissPause)
	c.Counts.Pauses.Add(1)
	if suppressed, ok := c.paused.allow(now); ok {
		c.Logger.WithFields(log.Fields{"target": a.target.String(), "pause": reserve.MissPause.String(), "suppressed": suppressed}).Info("side does not reply and is not asked for a while")
	}
}

// peer returns the state of the side of a target. The lock is held.
func (c *Client) peer(target netip.AddrPort) *reserve.Peer {
	p := c.peers[target]
	if p == nil {
		if len(c.peers) >= maxPeers {
			clear(c.peers)
		}
		p = &reserve.Peer{}
		c.peers[target] = p
	}
	return p
}

// await waits for the offers of an exchange, and asks further sides after the first round if that may help.
func (c *Client) await(ctx context.Context, x *exchange, service string, candidates []rhubarbgate.Candidate) {
	t := c.Clock.NewTimer(roundTimeout)
	defer t.Stop()
	wait := roundTimeout
	began := c.Clock.Now()
	for {
		ended := false
		select {
		case <-ctx.Done():
			return
		case <-x.wake:
		case <-t.Chan():
			ended = true
		}
		c.mu.Lock()
		decided, more, free := x.choice.Decided(), x.choice.MayAskMore(), x.choice.Free()
		c.mu.Unlock()
		left := askTimeout - c.Clock.Since(began)
		switch {
		case left <= 0 || ended && (free || wait > roundTimeout):
			return
		case !decided && !ended:
			// A wake-up of an earlier round.
			continue
		case more:
			c.sendRound(x, service, candidates)
		case decided:
			return
		}
		// The second round, or the rest of the time for the only one.
		if !t.Stop() {
			select {
			case <-t.Chan():
			default:
			}
		}
		wait = askTimeout
		t.Reset(left)
	}
}

// end ends an exchange. Its asks stay pending, so that a reply still shows that the side is there.
func (c *Client) end(x *exchange) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nonce := range x.nonces[:x.choice.Asked()] {
		if a, ok := c.pending[nonce]; ok {
			a.exchange = nil
			c.pending[nonce] = a
		}
	}
	select {
	case <-x.wake:
	default:
	}
	result := Result{Choice: x.choice, Unasked: -1}
	if result.Best, result.Known = result.Choice.Best(nil); result.Known {
		result.Wait = result.Choice.Wait(result.Best)
	}
	return result
}

// record counts the result of an exchange and logs those without a free slot.
func (c *Client) record(service string, r *Result) {
	c.Counts.Requests.Add(1)
	c.Counts.Microseconds.Add(r.Took.Microseconds())
	switch {
	case !r.Known:
		c.Counts.Unanswered.Add(1)
	case r.Choice.Free():
		c.Counts.Free.Add(1)
		return
	default:
		c.Counts.Full.Add(1)
	}
	c.mu.Lock()
	suppressed, ok := c.noSlot.allow(c.Clock.Now())
	c.mu.Unlock()
	if ok {
		c.Logger.WithFields(log.Fields{
			"service": service, "asked": r.Choice.Asked(), "offers": len(r.Choice.Offers()), "took": r.Took.String(), "wait": r.Wait.String(),
			"age": r.Best.Age.String(), "online": r.Best.Online, "queued": r.Best.Queued, "reserved": r.Best.Reserved, "suppressed": suppressed,
		}).Info("no asked target has a free slot")
	}
}

// Reserve announces a request that is sent to the target with this address now.
func (c *Client) Reserve(target netip.AddrPort) {
	c.mu.Lock()
	nonce := c.Random.Uint64()
	c.mu.Unlock()
	c.Counts.Reservations.Add(1)
	c.send(&side.Datagram{Kind: side.Reserve, Nonce: nonce, Target: target})
}

// Run receives offers until ctx ends, and closes the socket.
func (c *Client) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = c.Conn.Close() })()
	var reader side.DatagramReader
	var d side.Datagram
	buffer := make([]byte, side.MaxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := c.Conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			c.Clock.Sleep(readPause)
			continue
		}
		if err := reader.Decode(buffer[:n], &d); err != nil || d.Kind != side.Offer {
			c.Counts.Dropped.Add(1)
			continue
		}
		c.receive(&d)
	}
}

// receive takes an offer.
func (c *Client) receive(d *side.Datagram) {
	c.mu.Lock()
	a, ok := c.pending[d.Nonce]
	if !ok || a.target != d.Target {
		c.mu.Unlock()
		c.Counts.Dropped.Add(1)
		return
	}
	delete(c.pending, d.Nonce)
	p := c.peer(a.target)
	p.Replied()
	if x := a.exchange; x != nil {
		x.choice.Add(reserve.Offer{Candidate: a.candidate, Distance: a.distance, TargetOffer: d.Offer})
		if x.choice.Decided() {
			select {
			case x.wake <- struct{}{}:
			default:
			}
		}
	}
	c.mu.Unlock()
	c.Counts.Offers.Add(1)
	if a.exchange == nil {
		c.Counts.Late.Add(1)
	}
	c.Demand.ObserveOffer(a.service, d.Offer)
}
