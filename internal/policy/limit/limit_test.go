package limit

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

const (
	drift      = 0.02
	ttl        = time.Second
	workspace  = "w"
	stepLength = 5 * time.Millisecond
	// leaseGap is the time from the end of an owner's lease until its successor begins.
	leaseGap = 50 * time.Millisecond
)

// skewedClock is a clock that runs fast or slow by a constant factor.
type skewedClock struct {
	clockwork.Clock
	start time.Time
	speed float64 // 1 is exact
}

func (s skewedClock) Now() time.Time {
	return s.start.Add(time.Duration(float64(s.Clock.Now().Sub(s.start)) * s.speed))
}

// simulation is one owner at a time, some holders, and a network that loses, delays
// and repeats messages. All clocks are skewed and run on simulated time.
type simulation struct {
	clock                *clockwork.FakeClock
	random               *rand.Rand
	rate                 Rate
	owner                *Owner
	ownerBegunAt         time.Time // when the current owner began; before the first one, an hour before the start
	holders              []*Holder
	names                []string    // of the holders, changed at a restart
	spentAt              []time.Time // one element a spent token
	refused              int
	pending              []message
	loss                 float64 // probability that a message is lost
	earlierGrantsExpired bool    // the previous owner saw the grants of all owners before it expire
	noRepeats            bool    // the network repeats no message
}

// message is a request or a reply in flight. One of deliver and fail is called once
// it is due.
type message struct {
	dueAt   time.Time
	deliver func()
	fail    func()
}

func newSimulation(seed uint64, rate Rate, holders int) *simulation {
	s := &simulation{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 2)), rate: rate}
	s.ownerBegunAt = s.clock.Now().Add(-time.Hour)
	s.changeOwner()
	for range holders {
		s.holders = append(s.holders, nil)
		s.names = append(s.names, "")
		s.restartHolder(len(s.holders) - 1)
	}
	return s
}

func (s *simulation) newSkewedClock() clockwork.Clock {
	return skewedClock{s.clock, s.clock.Now(), 1 + drift*(2*s.random.Float64()-1)}
}

// predecessor returns what the next owner knows of the current one: usually when it
// began or, as after a restart of all replicas, only that the grants of all owners
// before it had expired.
func (s *simulation) predecessor(now time.Time) Predecessor {
	if s.earlierGrantsExpired && s.random.IntN(2) == 0 {
		return Predecessor{Begun: s.owner.Clock.Now(), EarlierGrantsExpired: true}
	}
	return Predecessor{Begun: s.owner.Clock.Now().Add(-time.Duration(float64(now.Sub(s.ownerBegunAt)) * (1 - drift)))}
}

func (s *simulation) changeOwner() {
	earlierGrantsExpired := s.owner != nil && s.owner.EarlierGrantsExpired()
	s.owner = &Owner{Clock: s.newSkewedClock(), TTL: ttl, Drift: drift, Rates: func(string) (Rate, bool) { return s.rate, true }}
	now := s.clock.Now()
	s.earlierGrantsExpired = earlierGrantsExpired
	s.owner.Begin(s.predecessor(now))
	s.ownerBegunAt = now
}

func (s *simulation) restartHolder(i int) {
	s.holders[i] = &Holder{Clock: s.newSkewedClock()}
	s.names[i] = time.Duration(s.random.Int64()).String()
}

// exchange sends a holder's token requests to whoever is the owner when they arrive,
// and the reply back, each with a random delay below 40 ms.
func (s *simulation) exchange(i int) {
	h, name := s.holders[i], s.names[i]
	requests := h.TokenRequests(func(string) bool { return true })
	if len(requests) == 0 {
		return
	}
	sentAt := h.Clock.Now()
	delay := func() time.Time { return s.clock.Now().Add(time.Duration(s.random.IntN(40)) * time.Millisecond) }
	s.pending = append(s.pending, message{dueAt: delay(), deliver: func() {
		grants := s.owner.Exchange(name, requests)
		if !s.noRepeats && s.random.IntN(10) == 0 {
			s.owner.Exchange(name, requests) // as if the request was sent twice
		}
		s.pending = append(s.pending, message{dueAt: delay(), deliver: func() { h.ApplyGrants(sentAt, requests, grants) }, fail: func() { h.RecordExchangeFailure(requests) }})
	}, fail: func() { h.RecordExchangeFailure(requests) }})
}

// step advances the clock, delivers or loses the messages that are due and starts
// random exchanges.
func (s *simulation) step() {
	s.clock.Advance(stepLength)
	due := s.pending
	s.pending = nil
	for _, m := range due {
		switch {
		case m.dueAt.After(s.clock.Now()):
			s.pending = append(s.pending, m)
		case s.random.Float64() < s.loss:
			m.fail()
		default:
			m.deliver()
		}
	}
	for i := range s.holders {
		if s.random.IntN(4) == 0 {
			s.exchange(i)
		}
	}
}

func (s *simulation) take(i int) {
	if ok, _ := s.holders[i].Take(workspace, 1); ok {
		s.spentAt = append(s.spentAt, s.clock.Now())
	} else {
		s.refused++
	}
}

// excess returns by how many tokens the spending in the worst window of any length d
// exceeds burst + rate·d. The rate allows for the largest clock error.
func (s *simulation) excess(rate Rate) float64 {
	worst := -rate.Burst
	// One pass over all ends of windows. The worst start is where the tokens spent
	// before it, less the allowance until it, are fewest.
	fewest := 0.0
	for j, t := range s.spentAt {
		allowance := rate.PerSecond * (1 + drift) * t.Sub(s.spentAt[0]).Seconds()
		fewest = min(fewest, float64(j)-allowance)
		worst = max(worst, float64(j+1)-allowance-fewest-rate.Burst)
	}
	return worst
}

// TestNeverBeyondRateAndBurst guards against spending more than burst + rate·d in any
// window of length d. That could happen when owners change, holders restart, messages
// are lost or repeated, clocks drift or the rate changes.
func TestNeverBeyondRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{
			PerSecond: rapid.SampledFrom([]float64{0.5, 5, 50, 500}).Draw(t, "rate"),
			Burst:     rapid.SampledFrom([]float64{1, 2, 7, 100}).Draw(t, "burst"),
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rate, rapid.IntRange(1, 4).Draw(t, "holders"))
		largest := rate
		for range rapid.IntRange(5, 30).Draw(t, "rounds") {
			largest = injectFault(t, s, largest)
			takes := rapid.IntRange(0, 5).Draw(t, "takes")
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				s.step()
				for range takes {
					s.take(s.random.IntN(len(s.holders)))
				}
			}
		}
		if x := s.excess(largest); x > 1e-6 {
			t.Fatalf("a window holds %.3f tokens more than rate and burst allow: %v", x, largest)
		}
	})
}

// injectFault changes the owner, restarts a holder, or changes the message loss or
// the rate, or does nothing. It returns the largest rate and burst so far.
func injectFault(t *rapid.T, s *simulation, largest Rate) Rate {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		s.clock.Advance(leaseGap)
		s.changeOwner()
	case 1:
		s.restartHolder(s.random.IntN(len(s.holders)))
	case 2:
		s.loss = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "loss")
	case 3:
		s.rate.PerSecond *= rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "factor")
		s.rate.Burst = max(1, s.rate.Burst*rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "burst factor"))
		largest.PerSecond = max(largest.PerSecond, s.rate.PerSecond)
		largest.Burst = max(largest.Burst, s.rate.Burst)
	}
	return largest
}

// TestOwnerChangeKeepsServing guards against refusals at a change of owner for a
// workspace well within its rate: the new owner does not know which grants are
// outstanding, so it can grant only part of the burst at first.
func TestOwnerChangeKeepsServing(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, Rate{PerSecond: 100, Burst: 100}, 4)
	for i := range 1000 {
		s.step()
		if i%5 == 0 {
			s.take(s.random.IntN(len(s.holders)))
		}
	}
	s.refused = 0
	for i := range 2000 {
		if i == 1000 {
			s.changeOwner()
		}
		s.step()
		if i%5 == 0 { // 40 a second
			s.take(s.random.IntN(len(s.holders)))
		}
	}
	c.Assert(s.refused <= 4, qt.IsTrue, qt.Commentf("%d of 400 refused", s.refused))
}

// TestFinalReportReturnsTokens guards against tokens that are lost or doubled when a
// final report returns the unspent part of a grant.
func TestFinalReportReturnsTokens(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	o := &Owner{Clock: clock, TTL: ttl, Drift: drift, Rates: func(string) (Rate, bool) { return Rate{PerSecond: 0.001, Burst: 10}, true }}
	o.Begin(Predecessor{Begun: clock.Now()})
	clock.Advance(3 * time.Hour)
	g := o.Exchange("a", []TokenRequest{{Workspace: workspace, Want: 3}})
	c.Assert(g[0].Tokens, qt.Equals, 3.0)
	o.Exchange("a", []TokenRequest{{Workspace: workspace, Reports: []Report{{Grant: g[0].ID, Spent: 1, Final: true}}}})
	total := 0.0
	for range 10 {
		x := o.Exchange("b", []TokenRequest{{Workspace: workspace, Want: 5}})
		total += x[0].Tokens
		o.Exchange("b", []TokenRequest{{Workspace: workspace, Reports: []Report{{Grant: x[0].ID, Spent: x[0].Tokens, Final: true}}}})
	}
	c.Assert(total, qt.Equals, 9.0)
}

// TestGrantBeforeTheWait guards against a caller that waits in vain because its grant came between the
// look for tokens and the wait for them.
func TestGrantBeforeTheWait(t *testing.T) {
	clock := clockwork.NewRealClock()
	inVain := 0
	for i := range 10000 {
		h := &Holder{Clock: clock}
		h.Take(workspace, 1)
		go func() {
			for range rand.IntN(100) {
				runtime.Gosched()
			}
			h.ApplyGrants(clock.Now(), nil, []Grant{{Workspace: workspace, ID: uint64(i), Tokens: 1, TTL: time.Minute, PerSecond: 1000}})
		}()
		if ok, _ := h.Acquire(workspace, 1, 5*time.Second, nil); !ok {
			inVain++
		}
	}
	qt.Assert(t, inVain, qt.Equals, 0)
}

// TestIdleHolderSendsNothing guards against messages for workspaces that are not in
// use: the holder returns their tokens once, requests no more and stops tracking them
// as active.
func TestIdleHolderSendsNothing(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(4, Rate{PerSecond: 100, Burst: 100}, 1)
	for range 200 {
		s.take(0)
		s.step()
	}
	for range 600 {
		s.step()
	}
	h := s.holders[0]
	c.Assert(h.Available(workspace), qt.Equals, 0.0)
	c.Assert(h.TokenRequests(func(string) bool { return true }), qt.HasLen, 0)
	c.Assert(h.shard(workspace).active, qt.HasLen, 0)
}
