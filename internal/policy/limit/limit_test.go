package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

const (
	drift     = 0.02
	ttl       = time.Second
	workspace = "w"
	stepTime  = 5 * time.Millisecond
	// leaseGap is the time between the end of an owner's lease and its successor.
	leaseGap = 50 * time.Millisecond
)

// skewed is a clock with a relative error.
type skewed struct {
	clockwork.Clock
	zero time.Time
	pace float64
}

func (s skewed) Now() time.Time {
	return s.zero.Add(time.Duration(float64(s.Clock.Now().Sub(s.zero)) * s.pace))
}

// world is one owner at a time, some holders, and a network that loses, delays
// and repeats messages.
type world struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	rate    Rate
	owner   *Owner
	begun   time.Time // of the owner, or the start of the world
	holders []*Holder
	names   []string
	spent   []time.Time
	refused int
	pending []message
	loss    float64
	settled bool // the owner before had seen all earlier grants run out
	calm    bool // no message is repeated
}

type message struct {
	at     time.Time
	to     func()
	failed func()
}

func newWorld(seed uint64, rate Rate, holders int) *world {
	w := &world{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 2)), rate: rate}
	w.begun = w.clock.Now().Add(-time.Hour)
	w.changeOwner()
	for range holders {
		w.holders = append(w.holders, nil)
		w.names = append(w.names, "")
		w.restartHolder(len(w.holders) - 1)
	}
	return w
}

func (w *world) skew() clockwork.Clock {
	return skewed{w.clock, w.clock.Now(), 1 + drift*(2*w.random.Float64()-1)}
}

// predecessor is what the next owner knows: mostly when the one before began or,
// as after a restart of all replicas, only whether it had said that it is settled.
func (w *world) predecessor(now time.Time) Predecessor {
	if w.settled && w.random.IntN(2) == 0 {
		return Predecessor{Begun: w.owner.Clock.Now(), EarlierGrantsExpired: true}
	}
	return Predecessor{Begun: w.owner.Clock.Now().Add(-time.Duration(float64(now.Sub(w.begun)) * (1 - drift)))}
}

func (w *world) changeOwner() {
	settled := w.owner != nil && w.owner.EarlierGrantsExpired()
	w.owner = &Owner{Clock: w.skew(), TTL: ttl, Drift: drift, Rates: func(string) (Rate, bool) { return w.rate, true }}
	now := w.clock.Now()
	w.settled = settled
	w.owner.Begin(w.predecessor(now))
	w.begun = now
}

func (w *world) restartHolder(i int) {
	w.holders[i] = &Holder{Clock: w.skew()}
	w.names[i] = time.Duration(w.random.Int64()).String()
}

// exchange sends a holder's asks on their way to the owner of that moment and
// the answer back.
func (w *world) exchange(i int) {
	h, name := w.holders[i], w.names[i]
	asks := h.TokenRequests(func(string) bool { return true })
	if len(asks) == 0 {
		return
	}
	sent := h.Clock.Now()
	delay := func() time.Time { return w.clock.Now().Add(time.Duration(w.random.IntN(40)) * time.Millisecond) }
	w.pending = append(w.pending, message{at: delay(), to: func() {
		grants := w.owner.Exchange(name, asks)
		if !w.calm && w.random.IntN(10) == 0 {
			w.owner.Exchange(name, asks) // repeated by a resend
		}
		w.pending = append(w.pending, message{at: delay(), to: func() { h.Deliver(sent, asks, grants) }, failed: func() { h.Failed(asks) }})
	}, failed: func() { h.Failed(asks) }})
}

func (w *world) step() {
	w.clock.Advance(stepTime)
	due := w.pending
	w.pending = nil
	for _, m := range due {
		switch {
		case m.at.After(w.clock.Now()):
			w.pending = append(w.pending, m)
		case w.random.Float64() < w.loss:
			m.failed()
		default:
			m.to()
		}
	}
	for i := range w.holders {
		if w.random.IntN(4) == 0 {
			w.exchange(i)
		}
	}
}

func (w *world) take(i int) {
	if ok, _ := w.holders[i].Take(workspace, 1); ok {
		w.spent = append(w.spent, w.clock.Now())
	} else {
		w.refused++
	}
}

// excess returns how many tokens the worst window holds beyond burst + rate·d.
func (w *world) excess(rate Rate) float64 {
	worst := -rate.Burst
	// The maximum over all windows, in one pass: tokens up to j less the smallest
	// balance at a start i.
	best := 0.0
	for j, t := range w.spent {
		allowance := rate.PerSecond * (1 + drift) * t.Sub(w.spent[0]).Seconds()
		best = min(best, float64(j)-allowance)
		worst = max(worst, float64(j+1)-allowance-best-rate.Burst)
	}
	return worst
}

func TestNeverBeyondRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{
			PerSecond: rapid.SampledFrom([]float64{0.5, 5, 50, 500}).Draw(t, "rate"),
			Burst:     rapid.SampledFrom([]float64{1, 2, 7, 100}).Draw(t, "burst"),
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rate, rapid.IntRange(1, 4).Draw(t, "holders"))
		largest := rate
		for range rapid.IntRange(5, 30).Draw(t, "rounds") {
			largest = disturb(t, w, largest)
			takes := rapid.IntRange(0, 5).Draw(t, "takes")
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				w.step()
				for range takes {
					w.take(w.random.IntN(len(w.holders)))
				}
			}
		}
		if x := w.excess(largest); x > 1e-6 {
			t.Fatalf("some window holds %.3f tokens too many of rate %v", x, largest)
		}
	})
}

func disturb(t *rapid.T, w *world, largest Rate) Rate {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		w.clock.Advance(leaseGap)
		w.changeOwner()
	case 1:
		w.restartHolder(w.random.IntN(len(w.holders)))
	case 2:
		w.loss = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "loss")
	case 3:
		w.rate.PerSecond *= rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "factor")
		w.rate.Burst = max(1, w.rate.Burst*rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "burst factor"))
		largest.PerSecond = max(largest.PerSecond, w.rate.PerSecond)
		largest.Burst = max(largest.Burst, w.rate.Burst)
	}
	return largest
}

// TestOwnerChangeKeepsServing checks the measure that users feel: a workspace
// well inside its rate is served through the change of an owner.
func TestOwnerChangeKeepsServing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, Rate{PerSecond: 100, Burst: 100}, 4)
	for i := range 1000 {
		w.step()
		if i%5 == 0 {
			w.take(w.random.IntN(len(w.holders)))
		}
	}
	w.refused = 0
	for i := range 2000 {
		if i == 1000 {
			w.changeOwner()
		}
		w.step()
		if i%5 == 0 { // 40 a second
			w.take(w.random.IntN(len(w.holders)))
		}
	}
	c.Assert(w.refused <= 4, qt.IsTrue, qt.Commentf("%d of 400 refused", w.refused))
}

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

// TestIdleHolderIsSilent checks that a workspace without requests costs no
// messages: its tokens go back once, and nothing more is asked for it.
func TestIdleHolderIsSilent(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4, Rate{PerSecond: 100, Burst: 100}, 1)
	for range 200 {
		w.take(0)
		w.step()
	}
	for range 600 {
		w.step()
	}
	h := w.holders[0]
	c.Assert(h.Held(workspace), qt.Equals, 0.0)
	c.Assert(h.TokenRequests(func(string) bool { return true }), qt.HasLen, 0)
	c.Assert(h.shard(workspace).active, qt.HasLen, 0)
}
