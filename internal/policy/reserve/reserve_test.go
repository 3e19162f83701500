package reserve

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// TestBestOffer guards against a choice of a target where the request waits, or is slow, while another one
// serves it at once, and against offers that are too old to say anything.
func TestBestOffer(t *testing.T) {
	offer := func(distance, online, queued, reserved, batch int, slowness float64) Offer {
		return Offer{Distance: distance, TargetOffer: rhubarbgate.TargetOffer{Slots: 8, Online: online, Queued: queued, Reserved: reserved, Batch: batch, Slowness: slowness}}
	}
	stale := offer(1, 0, 0, 0, 0, 1)
	stale.Age = maxOfferAge + 1
	tests := []struct {
		name   string
		offers []Offer
		want   int // -1 if there is none
		wait   time.Duration
	}{
		{"none", nil, -1, 0},
		{"only stale", []Offer{stale}, -1, 0},
		{"stale and full", []Offer{stale, offer(1, 8, 3, 0, 0, 0)}, 1, 400 * time.Millisecond},
		{"fewest online", []Offer{offer(1, 6, 0, 0, 0, 0), offer(2, 5, 0, 0, 0, 0)}, 1, 0},
		{"reservations count", []Offer{offer(1, 5, 0, 2, 0, 0), offer(1, 6, 0, 0, 0, 0)}, 1, 0},
		{"nearer of equals", []Offer{offer(2, 6, 0, 0, 0, 0), offer(1, 6, 0, 0, 0, 0)}, 1, 0},
		{"batch items yield", []Offer{offer(1, 6, 0, 0, 2, 0), offer(1, 8, 0, 0, 0, 0)}, 0, 0},
		{"idle slot before that of an item", []Offer{offer(1, 6, 0, 0, 2, 0), offer(1, 7, 0, 0, 0, 0)}, 1, 0},
		{"free before full", []Offer{offer(1, 8, 0, 0, 0, 0), offer(2, 7, 0, 0, 0, 0)}, 1, 0},
		{"usual speed before slow", []Offer{offer(1, 1, 0, 0, 0, 2.5), offer(2, 7, 0, 0, 0, 1)}, 1, 0},
		{"slow before full", []Offer{offer(1, 8, 0, 0, 0, 1), offer(2, 7, 0, 0, 0, 2.5)}, 1, 0},
		{"shortest wait", []Offer{offer(1, 8, 1, 0, 0, 2.5), offer(2, 8, 3, 0, 0, 1)}, 1, 400 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c Choice
			var ranked []int
			for i := range test.offers {
				ranked = append(ranked, i)
			}
			c.Start(800*time.Millisecond, RoundAsks, ranked)
			c.Next()
			for i, o := range test.offers {
				o.Candidate = i
				c.Add(o)
			}
			qt.Assert(t, c.Decided(), qt.IsTrue)
			best, ok := c.Best(nil)
			qt.Assert(t, ok, qt.Equals, test.want >= 0)
			if ok {
				qt.Assert(t, best.Candidate, qt.Equals, test.want)
				qt.Assert(t, c.Wait(best), qt.Equals, test.wait)
				qt.Assert(t, c.Free(), qt.Equals, test.wait == 0)
			}
		})
	}
}

// TestRounds guards against more asks than two rounds, a second round while a slot is free, and waiting
// for far offers when a near target is idle.
func TestRounds(t *testing.T) {
	full, idle := rhubarbgate.TargetOffer{Slots: 8, Online: 8}, rhubarbgate.TargetOffer{Slots: 8}
	var c Choice
	c.Start(0, RoundAsks, []int{4, 3, 2, 1, 0, 5, 6, 7})
	qt.Assert(t, c.Next(), qt.DeepEquals, []int{4, 3, 2})
	for i := range RoundAsks {
		qt.Assert(t, c.Decided(), qt.IsFalse)
		c.Add(Offer{Candidate: i, Distance: 2, TargetOffer: full})
	}
	qt.Assert(t, c.Decided() && c.MayAskMore(), qt.IsTrue)
	qt.Assert(t, c.Busy(), qt.Equals, 1.0)
	qt.Assert(t, c.Next(), qt.DeepEquals, []int{1, 0, 5})
	c.Add(Offer{Distance: 2, TargetOffer: idle})
	qt.Assert(t, c.Decided() || c.MayAskMore(), qt.IsFalse)
	c.Add(Offer{Distance: 1, TargetOffer: idle})
	qt.Assert(t, c.Decided(), qt.IsTrue)
	qt.Assert(t, c.Next(), qt.HasLen, 0)
}

// TestLedger guards against reservations that are forgotten before a report contains their requests, counted
// for ever, or without a bound, and against batch items that count as online requests.
func TestLedger(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &Ledger{Clock: clock, Slots: 8}
	_, ok := l.Offer(0)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("no report yet"))
	report := func(running, waiting, items int) {
		l.ObserveLoad(rhubarbgate.TargetLoad{Running: running, Waiting: waiting, Slowness: 1}, clock.Now(), items)
	}
	report(5, 1, 2)
	qt.Assert(t, l.Reserve(), qt.IsTrue)
	clock.Advance(coverLag - time.Millisecond)
	// The items ended less than ReportLag ago: the report still counts them.
	report(5, 1, 0)
	o, ok := l.Offer(0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, o, qt.Equals, rhubarbgate.TargetOffer{Slots: 8, Online: 3, Queued: 1, Reserved: 1, Slowness: 1, Age: ReportLag})
	clock.Advance(ReportLag)
	report(3, 0, 0)
	o, _ = l.Offer(1)
	qt.Assert(t, o, qt.Equals, rhubarbgate.TargetOffer{Slots: 8, Online: 3, Batch: 1, Slowness: 1, Age: ReportLag})
	for range MaxReservations {
		qt.Assert(t, l.Reserve(), qt.IsTrue)
	}
	qt.Assert(t, l.Reserve(), qt.IsFalse)
	// Without further reports, reservations end and the load becomes unknown.
	clock.Advance(reservationTTL)
	qt.Assert(t, l.Reserved(), qt.Equals, 0)
	clock.Advance(reportTTL)
	_, ok = l.Offer(0)
	qt.Assert(t, ok, qt.IsFalse)
	report(3, 0, 0)
	l.LoadLost()
	_, ok = l.Offer(0)
	qt.Assert(t, ok, qt.IsFalse)
	// A target that comes up is offered once it has been up for a while.
	report(3, 0, 0)
	_, ok = l.Offer(0)
	qt.Assert(t, ok, qt.IsFalse)
	clock.Advance(settleTime)
	report(3, 0, 0)
	_, ok = l.Offer(0)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestDemand guards against asks by a calm fleet, by deployments that do not enable them, and to services
// without sides.
func TestDemand(t *testing.T) {
	queued, taken, calm := rhubarbgate.TargetLoad{Waiting: 1, Slots: 8}, rhubarbgate.TargetLoad{Running: 5, Slots: 8}, rhubarbgate.TargetLoad{Running: 4, Slots: 8}
	slow := calm
	slow.Slowness = 1
	load := func(l rhubarbgate.TargetLoad) func(*Demand) { return func(d *Demand) { d.ObserveLoad("s", l) } }
	offer := func(o rhubarbgate.TargetOffer) func(*Demand) { return func(d *Demand) { d.ObserveOffer("s", o) } }
	tests := []struct {
		name     string
		always   bool
		observe  func(*Demand)
		applies  bool
		asks     bool
		asksSoon bool // 300 ms later
		asksOn   bool // 1.9 s later
	}{
		{"not enabled", false, load(queued), false, false, false, false},
		{"slowness", false, load(slow), true, false, false, false},
		{"calm", true, load(calm), true, false, false, false},
		{"queue", true, load(queued), true, true, true, true},
		{"busy in a response, perhaps by items", true, load(taken), true, true, true, false},
		{"busy by online requests", true, offer(rhubarbgate.TargetOffer{Slots: 8, Online: 4, Reserved: 1}), true, true, true, true},
		{"busy by items", true, offer(rhubarbgate.TargetOffer{Slots: 8, Online: 4, Batch: 4}), true, false, false, false},
		{"busy in a stale offer", true, offer(rhubarbgate.TargetOffer{Slots: 8, Online: 8, Age: time.Second}), true, false, false, false},
		{"no sides", true, func(d *Demand) {
			d.ObserveLoad("s", queued)
			for range silentAsks {
				d.ObserveMiss("s")
			}
		}, true, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := &Demand{Clock: clock, Always: test.always}
			test.observe(d)
			asks := func() bool { ask, _ := d.Asks("s"); return ask }
			qt.Assert(t, d.Applies("s"), qt.Equals, test.applies)
			qt.Assert(t, asks(), qt.Equals, test.asks)
			clock.Advance(300 * time.Millisecond)
			qt.Assert(t, asks(), qt.Equals, test.asksSoon)
			clock.Advance(1600 * time.Millisecond)
			qt.Assert(t, asks(), qt.Equals, test.asksOn)
			clock.Advance(slownessTTL)
			qt.Assert(t, asks(), qt.IsFalse)
			qt.Assert(t, d.Applies("s"), qt.Equals, test.always)
		})
	}
}

// TestHold guards against an expected wait by the hold time of one odd request.
func TestHold(t *testing.T) {
	d := &Demand{Clock: clockwork.NewFakeClock()}
	qt.Assert(t, d.Hold("s"), qt.Equals, defaultHold)
	for range 100 {
		d.ObserveHold("s", 700*time.Millisecond)
	}
	d.ObserveHold("s", time.Hour)
	d.ObserveHold("s", -1)
	qt.Assert(t, d.Hold("s") < 1300*time.Millisecond, qt.IsTrue)
	for range 200 {
		d.ObserveHold("s", 300*time.Millisecond)
	}
	qt.Assert(t, d.Hold("s") < 310*time.Millisecond, qt.IsTrue)
}
