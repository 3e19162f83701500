package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// The simulated fleet has the rates per entry of the smallest deployment: 23 requests a second
// fit at each entry.
const (
	entryCount     = 8
	targetCount    = 16
	slotCount      = 8
	workspaceCount = 90
	meanHold       = 700 * time.Millisecond
	objective      = 300 * time.Millisecond
	callerDeadline = 5 * time.Second
	reportInterval = 50 * time.Millisecond // age of a side's view of its target
	period         = 6 * time.Second
	topLength      = 2400 * time.Millisecond
	warmUp         = 30 * time.Second
	fits           = float64(targetCount*slotCount) / 0.7 // requests a second
)

// load describes a simulated load. Rates are multiples of what fits.
type load struct {
	top, low  float64
	multiples map[int]float64           // of the usual rate, by workspace
	callers   map[int]float64           // weight of an entry among callers, up to 2; 1 if missing
	hold      func(*rand.Rand) float64  // multiple of the mean; uniform in 0.6 to 1.4 if nil
	slow      float64                   // share of targets that are 2.5 times slower, in periods of 0.6 s
	offers    func(*rand.Rand) offering // the usual ones if nil
	returns   bool                      // refused callers return at the stated time
	rank      func(workspace int) int
	restart   time.Duration // when entry 0 loses its state
	admit     bool          // uses the policy
}

// offering says what becomes of the offers for a request.
type offering int

const (
	usual offering = iota
	stale          // as of 200 ms ago, without reservations
	missing
)

// tally counts requests by their end.
type tally struct{ arrived, inTime, late, refused, returned, lost int }

// inTimeShare returns the share of callers' requests that were answered in time.
func (t tally) inTimeShare() float64 { return float64(t.inTime) / float64(t.arrived) }

type simTarget struct {
	running  int
	queue    []func()
	reported int // load as of the last report
	reserved int // since the last report
	old      [10]int
	slowTill time.Duration
	slowness float64
}

type simEvent struct {
	at  time.Duration
	n   int
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fleet is an event loop over entries with a policy each and targets with slots and queues.
type fleet struct {
	load
	random     *rand.Rand
	clock      *clockwork.FakeClock
	now        time.Duration
	events     eventHeap
	count      int
	policies   [entryCount]*Policy
	targets    [targetCount]simTarget
	names      [workspaceCount]string
	all        tally
	workspaces [workspaceCount]tally
	ranks      [4]tally
	entries    [entryCount]tally // by the entry of the last attempt
	topInTime  int               // sent in the top of a wave, and answered in time
	tops       float64           // seconds of tops
}

func newPolicy(c clockwork.Clock, seed uint64) *Policy {
	return &Policy{Clock: c, Random: rand.New(rand.NewPCG(seed, 1)), Logger: &log.Logger{Handler: discard.New()}}
}

// simulate runs a load for the given time after the warm-up.
func simulate(l load, length time.Duration) *fleet {
	f := &fleet{load: l, random: rand.New(rand.NewPCG(1, 2)), clock: clockwork.NewFakeClock()}
	for i := range f.policies {
		f.policies[i] = newPolicy(f.clock, uint64(i))
	}
	for i := range f.names {
		f.names[i] = fmt.Sprint("w", i)
	}
	f.after(0, f.arrive)
	f.after(reportInterval, f.report)
	if l.restart > 0 {
		f.after(l.restart, func() { f.policies[0] = newPolicy(f.clock, 99) })
	}
	for f.now < warmUp+length {
		e := heap.Pop(&f.events).(simEvent)
		f.clock.Advance(e.at - f.now)
		f.now = e.at
		e.run()
	}
	f.tops = length.Seconds() / period.Seconds() * topLength.Seconds()
	return f
}

// topShare returns the requests that were sent in the tops of waves and answered in time, as a
// share of what fits there.
func (f *fleet) topShare() float64 { return float64(f.topInTime) / (f.tops * fits) }

func (f *fleet) after(d time.Duration, run func()) {
	f.count++
	heap.Push(&f.events, simEvent{f.now + d, f.count, run})
}

func (f *fleet) inTop() bool { return f.now%period < topLength }

// arrive offers a request of a random workspace at a random entry, and schedules the next.
func (f *fleet) arrive() {
	total := 0.0
	for i := range workspaceCount {
		total += f.multiple(i)
	}
	rate := f.low
	if f.inTop() {
		rate = f.top
	}
	// The rate is that of the usual workspaces; multiples add to it.
	f.after(time.Duration(f.random.ExpFloat64()/(rate*fits*total/workspaceCount)*float64(time.Second)), f.arrive)
	at := f.random.Float64() * total
	w := 0
	for ; w < workspaceCount-1 && at >= f.multiple(w); w++ {
		at -= f.multiple(w)
	}
	f.request(w, f.now+callerDeadline, f.now >= warmUp, false)
}

func (f *fleet) multiple(w int) float64 {
	if m, ok := f.multiples[w]; ok {
		return m
	}
	return 1
}

func (f *fleet) entry() int {
	for {
		i := f.random.IntN(entryCount)
		w, ok := f.callers[i]
		if !ok {
			w = 1
		}
		if f.random.Float64()*2 < w {
			return i
		}
	}
}

// report renews the sides' views of their targets.
func (f *fleet) report() {
	for i := range f.targets {
		t := &f.targets[i]
		copy(t.old[1:], t.old[:])
		t.old[0] = t.running + len(t.queue)
		t.reported, t.reserved = t.old[0], 0
		if f.now >= t.slowTill {
			t.slowTill, t.slowness = f.now+600*time.Millisecond, 1
			if f.random.Float64() < f.slow {
				t.slowness = 2.5
			}
		}
	}
	f.after(reportInterval, f.report)
}

// ask returns the best of up to three targets, or of six if none of three has a free slot.
func (f *fleet) ask(r *rhubarbgate.AdmissionRequest) int {
	o := usual
	if f.offers != nil {
		o = f.offers(f.random)
	}
	order := f.random.Perm(targetCount)
	if o == missing {
		return order[0]
	}
	best, slots, taken := -1, 0, 0
	for n, i := range order[:6] {
		if n == 3 && r.Free {
			break
		}
		t := &f.targets[i]
		load := t.reported + t.reserved
		if o == stale {
			load = t.old[3]
		}
		wait := time.Duration(0)
		if load >= slotCount {
			wait = time.Duration(float64(load-slotCount+1) * meanHold.Seconds() * t.slowness / slotCount * float64(time.Second))
		}
		slots += slotCount
		taken += min(load, slotCount)
		r.Free = r.Free || wait == 0
		if best < 0 || wait < r.Wait || wait == r.Wait && t.slowness < f.targets[best].slowness {
			best, r.Wait = i, wait
		}
	}
	r.Known, r.Busy = true, float64(taken)/float64(slots)
	return best
}

// request offers one attempt of a caller.
func (f *fleet) request(w int, deadline time.Duration, counted, returned bool) {
	e := f.entry()
	r := rhubarbgate.AdmissionRequest{Service: "s", Workspace: f.names[w], Objective: objective, Remaining: deadline - f.now}
	if f.rank != nil {
		r.Rank = f.rank(w)
	}
	count := func(add func(*tally)) {
		if counted {
			add(&f.all)
			add(&f.workspaces[w])
			add(&f.ranks[r.Rank])
			add(&f.entries[e])
		}
	}
	if !returned {
		count(func(t *tally) { t.arrived++ })
	}
	target := &f.targets[f.ask(&r)]
	p := f.policies[e]
	d := rhubarbgate.AdmissionDecision{Send: true}
	if f.admit {
		d = p.Admit(r)
	}
	if !d.Send {
		count(func(t *tally) { t.refused++ })
		if !f.returns || d.RetryAfter == 0 {
			count(func(t *tally) { t.lost++ })
			return
		}
		f.after(d.RetryAfter, func() { f.request(w, deadline, counted, true) })
		return
	}
	f.send(target, p, r, count, returned, counted)
}

// send queues a request at a target.
func (f *fleet) send(t *simTarget, p *Policy, r rhubarbgate.AdmissionRequest, count func(func(*tally)), returned, counted bool) {
	sent, top := f.now, f.inTop()
	hold := 0.6 + 0.8*f.random.Float64()
	if f.hold != nil {
		hold = f.hold(f.random)
	}
	p.Begin(r)
	t.reserved++
	start := func() {
		t.running++
		slowness := max(t.slowness, 1)
		f.after(time.Duration((40+40*f.random.Float64())*slowness)*time.Millisecond, func() {
			p.FirstEvent(r, f.now-sent)
			if f.now-sent > objective {
				count(func(t *tally) { t.late++ })
				return
			}
			count(func(t *tally) { t.inTime++ })
			if returned {
				count(func(t *tally) { t.returned++ })
			}
			if top && counted {
				f.topInTime++
			}
		})
		f.after(time.Duration(hold*slowness*float64(meanHold)), func() {
			p.End(r, f.now-sent)
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	if t.running < slotCount {
		start()
	} else {
		t.queue = append(t.queue, start)
	}
}

// sum adds the tallies of the workspaces from the first to before the second number.
func (f *fleet) sum(from, to int) tally {
	var s tally
	for _, t := range f.workspaces[from:to] {
		s.arrived += t.arrived
		s.inTime += t.inTime
		s.refused += t.refused
	}
	return s
}
