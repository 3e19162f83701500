package reserve

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/pick"
)

// The load of a contended fleet, as docs/design/requirements.md states it.
const (
	loadEntries  = 23
	loadTargets  = 50
	loadSlots    = 8
	loadZones    = 3
	loadShare    = 0.86 // of all slots, taken by online requests
	loadHold     = 700 * time.Millisecond
	loadDuration = 25 * time.Second
	loadWarmUp   = 3 * time.Second
	// loadReportTTL is how long entries use the load that a response reported, as in the table of targets.
	loadReportTTL = 400 * time.Millisecond
	// slowPart of the time a target takes slowFactor of the usual time, for slowPeriod.
	slowPart   = 0.15
	slowFactor = 2.5
	slowPeriod = 600 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// loadTarget is a target with its side.
type loadTarget struct {
	running int
	queue   []func()
	phase   time.Duration // when its slow periods begin
	down    bool          // the side does not reply
	ledger  *Ledger
}

// loadEntry is what an entry knows.
type loadEntry struct {
	inFlight [loadTargets]int
	reports  [loadTargets]rhubarbgate.TargetLoad
	reportAt [loadTargets]time.Time
	picker   rhubarbgate.Picker
	ranker   rhubarbgate.RankingPicker
	peers    [loadTargets]Peer
}

// contendedFleet is a fleet under constant load.
type contendedFleet struct {
	clock  *clockwork.FakeClock
	began  time.Time
	events events
	random *rand.Rand
	// arrivals is used for what is the same in all fleets: when requests come, where, and their work.
	arrivals *rand.Rand
	targets  [loadTargets]*loadTarget
	entries  [loadEntries]*loadEntry
	asks     int  // a round; 0 means that entries choose by their own view
	slow     bool // targets have slow periods

	requests, queuedNeedlessly, slowNeedlessly, sent int
	waited                                           time.Duration
}

func newContendedFleet(asks int, slow bool, picker func(*rand.Rand) rhubarbgate.Picker) *contendedFleet {
	f := &contendedFleet{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 2)), arrivals: rand.New(rand.NewPCG(4, 5)), asks: asks, slow: slow}
	f.began = f.clock.Now()
	for i := range f.targets {
		t := &loadTarget{phase: time.Duration(f.random.Float64() * float64(slowPeriod) / slowPart), ledger: &Ledger{Clock: f.clock, Slots: loadSlots}}
		f.targets[i] = t
		f.after(time.Duration(f.random.IntN(50))*time.Millisecond, func() { f.report(t) })
	}
	for i := range f.entries {
		random := rand.New(rand.NewPCG(uint64(i), 3))
		f.entries[i] = &loadEntry{picker: picker(random), ranker: &pick.LeastRequests{Random: random}}
	}
	return f
}

func (f *contendedFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.clock.Now().Add(d), do})
}

// run lets requests arrive at the rate that takes loadShare of all slots.
func (f *contendedFleet) run() {
	rate := loadShare * loadTargets * loadSlots / loadHold.Seconds()
	if f.slow {
		rate *= 1 - slowPart + slowPart/slowFactor
	}
	var arrive func()
	arrive = func() {
		f.arrive(f.entries[f.arrivals.IntN(loadEntries)], time.Duration((0.6+0.8*f.arrivals.Float64())*float64(loadHold)))
		f.after(time.Duration(f.arrivals.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	f.after(0, arrive)
	for f.clock.Since(f.began) < loadDuration {
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.do()
	}
}

// report makes a load report, which the side reads ReportLag later, and the next one.
func (f *contendedFleet) report(t *loadTarget) {
	load := rhubarbgate.TargetLoad{Running: t.running, Waiting: len(t.queue)}
	if f.slow {
		load.Slowness = f.slowness(t)
	}
	f.after(ReportLag, func() { t.ledger.ObserveLoad(load, f.clock.Now(), 0) })
	f.after(50*time.Millisecond, func() { f.report(t) })
}

// slowness returns how slow the target is now.
func (f *contendedFleet) slowness(t *loadTarget) float64 {
	if f.slow && (f.clock.Since(f.began)+t.phase)%time.Duration(float64(slowPeriod)/slowPart) < slowPeriod {
		return slowFactor
	}
	return 1
}

func (f *contendedFleet) candidates(e *loadEntry, number int) []rhubarbgate.Candidate {
	c := make([]rhubarbgate.Candidate, loadTargets)
	for i := range c {
		c[i] = rhubarbgate.Candidate{Distance: 2, Slots: loadSlots, InFlight: e.inFlight[i], Connected: true, Latency: loadHold}
		if i%loadZones == number%loadZones {
			c[i].Distance = 1
		}
		if !e.reportAt[i].IsZero() && f.clock.Since(e.reportAt[i]) < loadReportTTL {
			c[i].Reported, c[i].Queued, c[i].Slowness = e.reports[i].Running, e.reports[i].Waiting, e.reports[i].Slowness
		}
	}
	return c
}

// arrive handles a request at an entry.
func (f *contendedFleet) arrive(e *loadEntry, work time.Duration) {
	number := 0
	for f.entries[number] != e {
		number++
	}
	candidates := f.candidates(e, number)
	if f.asks == 0 {
		f.send(e, e.picker.Pick(rhubarbgate.PickRequest{}, candidates), work, false)
		return
	}
	var paused, ranked []int
	for i := range e.peers {
		if e.peers[i].Paused(f.clock.Now()) {
			paused = append(paused, i)
		}
	}
	if ChoosesUnasked(len(paused), loadTargets, f.random.Float64()) {
		var list []rhubarbgate.Candidate
		for _, i := range paused {
			list = append(list, candidates[i])
		}
		f.send(e, paused[e.picker.Pick(rhubarbgate.PickRequest{}, list)], work, false)
		return
	}
	best := make([]int, 2*MaxAsks)
	for _, i := range best[:e.ranker.Rank(rhubarbgate.PickRequest{}, candidates, best)] {
		if !slices.Contains(paused, i) {
			ranked = append(ranked, i)
		}
	}
	choice := &Choice{}
	choice.Start(loadHold, f.asks, ranked)
	done := false
	finish := func() {
		if done {
			return
		}
		done = true
		best, ok := choice.Best(nil)
		if !ok {
			best.Candidate = e.picker.Pick(rhubarbgate.PickRequest{}, candidates)
		}
		f.send(e, best.Candidate, work, ok)
	}
	var round func()
	round = func() {
		for _, i := range choice.Next() {
			f.sent++
			there := time.Duration(300+f.random.IntN(1500)) * time.Microsecond
			f.after(there, func() {
				o, ok := f.targets[i].ledger.Offer(0)
				if !ok || f.targets[i].down {
					f.after(12*time.Millisecond, func() { e.peers[i].Missed(f.clock.Now()) })
					return
				}
				f.after(there, func() {
					e.peers[i].Replied()
					if done {
						return
					}
					choice.Add(Offer{Candidate: i, Distance: candidates[i].Distance, TargetOffer: o})
					e.reports[i], e.reportAt[i] = rhubarbgate.TargetLoad{Running: o.Online + o.Reserved, Waiting: o.Queued, Slowness: o.Slowness}, f.clock.Now()
					switch {
					case !choice.Decided():
					case choice.MayAskMore():
						round()
					default:
						finish()
					}
				})
			})
		}
	}
	round()
	f.after(6*time.Millisecond, func() {
		if choice.MayAskMore() && !done {
			round()
		} else if choice.Free() {
			finish()
		}
	})
	f.after(12*time.Millisecond, finish)
}

// send sends a request to a target.
func (f *contendedFleet) send(e *loadEntry, i int, work time.Duration, reserve bool) {
	t := f.targets[i]
	e.inFlight[i]++
	if reserve {
		f.after(time.Millisecond, func() { t.ledger.Reserve() })
	}
	f.after(2*time.Millisecond, func() {
		measured := f.clock.Since(f.began) > loadWarmUp
		free, fast := false, false
		for _, x := range f.targets {
			free = free || x.running < loadSlots
			fast = fast || x.running < loadSlots && f.slowness(x) == 1
		}
		if measured {
			f.requests++
			if t.running == loadSlots && free {
				f.queuedNeedlessly++
			}
			if f.slowness(t) > 1 && fast {
				f.slowNeedlessly++
			}
		}
		arrived := f.clock.Now()
		start := func() {
			t.running++
			if measured {
				f.waited += f.clock.Since(arrived)
			}
			e.reports[i], e.reportAt[i] = rhubarbgate.TargetLoad{Running: t.running, Waiting: len(t.queue)}, f.clock.Now()
			if f.slow {
				e.reports[i].Slowness = f.slowness(t)
			}
			f.work(t, work, func() {
				t.running--
				e.inFlight[i]--
				if len(t.queue) > 0 {
					next := t.queue[0]
					t.queue = t.queue[1:]
					next()
				}
			})
		}
		if t.running < loadSlots {
			start()
		} else {
			t.queue = append(t.queue, start)
		}
	})
}

// work calls done when the work is done, at the target's speed of each moment.
func (f *contendedFleet) work(t *loadTarget, left time.Duration, done func()) {
	const step = 50 * time.Millisecond
	if !f.slow {
		f.after(left, done)
		return
	}
	slowness := f.slowness(t)
	if takes := time.Duration(float64(left) * slowness); takes <= step {
		f.after(takes, done)
		return
	}
	f.after(step, func() { f.work(t, left-time.Duration(float64(step)/slowness), done) })
}

// TestRequestsFindFreeSlots compares choices by the entry's own view with reservations, under the load of a
// contended fleet. It guards against requests that queue at one target while another has a free slot.
func TestRequestsFindFreeSlots(t *testing.T) {
	least := func(r *rand.Rand) rhubarbgate.Picker { return &pick.LeastRequests{Random: r} }
	two := func(r *rand.Rand) rhubarbgate.Picker { return &pick.TwoChoices{Random: r} }
	tests := []struct {
		name      string
		asks      int
		slow      bool
		down      int // sides that do not reply
		picker    func(*rand.Rand) rhubarbgate.Picker
		maxQueued float64 // share of the requests
	}{
		{"current picker", 0, false, 0, least, 1},
		{"two choices", 0, false, 0, two, 1},
		{"reservations, 2 asks", 2, false, 0, least, 0.13},
		{"reservations, 3 asks", 3, false, 0, least, 0.11},
		{"reservations, 3 asks, 5 sides down", 3, false, 5, least, 0.16},
		{"current picker, slow targets", 0, true, 0, least, 1},
		{"reservations, 3 asks, slow targets", 3, true, 0, least, 0.12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newContendedFleet(test.asks, test.slow, test.picker)
			for i := range test.down {
				f.targets[i].down = true
			}
			f.run()
			queued := float64(f.queuedNeedlessly) / float64(f.requests)
			t.Logf("%d requests: %.4f queued while another target had a free slot, mean wait %v, %.4f at a slow target while a fast one had a free slot, %.2f asks a request",
				f.requests, queued, (f.waited / time.Duration(f.requests)).Round(100*time.Microsecond), float64(f.slowNeedlessly)/float64(f.requests), float64(f.sent)/float64(f.requests))
			qt.Assert(t, queued <= test.maxQueued, qt.IsTrue)
		})
	}
}

// BenchmarkDecision measures what the entry computes for a request with 60 targets, without the exchange.
func BenchmarkDecision(b *testing.B) {
	candidates := make([]rhubarbgate.Candidate, 60)
	for i := range candidates {
		candidates[i] = rhubarbgate.Candidate{
			Name: fmt.Sprint(i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Distance: 1 + i%2, Slots: 8, InFlight: i % 3, Reported: i % 7,
		}
	}
	demand := &Demand{Clock: clockwork.NewRealClock(), Always: true}
	picker := &pick.LeastRequests{Random: rand.New(rand.NewPCG(1, 1))}
	var choice Choice
	b.ReportAllocs()
	for b.Loop() {
		demand.ObserveLoad("s", rhubarbgate.TargetLoad{Running: 8, Waiting: 1, Slots: 8})
		if ask, _ := demand.Asks("s"); !ask {
			b.Fatal("sides are not asked")
		}
		var ranked [2 * MaxAsks]int
		n := picker.Rank(rhubarbgate.PickRequest{}, candidates, ranked[:])
		choice.Start(demand.Hold("s"), RoundAsks, ranked[:n])
		for range rounds {
			for _, i := range choice.Next() {
				choice.Add(Offer{Candidate: i, Distance: 1, TargetOffer: rhubarbgate.TargetOffer{Slots: 8, Online: 8, Queued: i % 5}})
			}
		}
		if best, ok := choice.Best(nil); !ok || choice.Wait(best) == 0 {
			b.Fatal("no offer")
		}
	}
}
