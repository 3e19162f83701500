package admission

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// runLength is how long a load is simulated after the warm-up: 10 waves.
const runLength = 60 * time.Second

// waves returns the load of waves with the given top, as a multiple of what fits, with the changes
// applied. The demand between tops is 0.21 of that of tops.
func waves(top float64, changes ...func(*load)) load {
	l := load{top: top, low: 0.21 * top, returns: true, admit: true}
	for _, change := range changes {
		change(&l)
	}
	return l
}

// longAmongShort holds slots nine times longer for a tenth of the requests, with the usual mean.
func longAmongShort(r *rand.Rand) float64 {
	if r.Float64() < 0.1 {
		return 5
	}
	return 5.0 / 9
}

// sometimes returns the given offering for a share of the requests.
func sometimes(share float64, o offering) func(*rand.Rand) offering {
	return func(r *rand.Rand) offering {
		if r.Float64() < share {
			return o
		}
		return usual
	}
}

// TestLoads guards against slots that are taken by requests that are answered late: in the tops of
// waves, at least 0.9 of what fits must be answered in time, and callers that return after a
// refusal must find room.
func TestLoads(t *testing.T) {
	for _, x := range []struct {
		name string
		load load
		// top is the least share of what fits that is answered in time in tops, all the
		// least share of all callers.
		top, all float64
	}{
		{"top of a wave at 1.3 times what fits", waves(1.3), 0.9, 0.95},
		{"top of a wave at 1.9 times what fits", waves(1.9), 0.9, 0.85},
		{"callers do not return", waves(1.3, func(l *load) { l.returns = false }), 0.9, 0.8},
		{"zone with twice the callers", waves(1.3, func(l *load) { l.callers = map[int]float64{0: 2, 1: 2} }), 0.9, 0.95},
		{"long streams among short ones", waves(1.9, func(l *load) { l.hold = longAmongShort }), 0.9, 0.9},
		// A target that is 2.5 times slower serves 0.4 of the usual rate, so 0.91 of it all fits.
		{"15% of targets 2.5 times slower", waves(1.3, func(l *load) { l.slow = 0.15 }), 0.9 * 0.91, 0.93},
		{"a fifth of offers missing", waves(1.3, func(l *load) { l.offers = sometimes(0.2, missing) }), 0.9, 0.93},
		{"a fifth of offers stale", waves(1.3, func(l *load) { l.offers = sometimes(0.2, stale) }), 0.9, 0.93},
		{"restarted entry", waves(1.3, func(l *load) { l.restart = warmUp + 3*period }), 0.9, 0.95},
		{"steady demand at 1.3 times what fits", waves(1.3, func(l *load) { l.low = 1.3 }), 0.85, 0.65},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			f := simulate(x.load, runLength)
			t.Logf("in time: %.3f of what fits in tops, %.3f of all callers; %+v", f.topShare(), f.all.inTimeShare(), f.all)
			c.Check(f.topShare() >= x.top, qt.IsTrue)
			c.Check(f.all.inTimeShare() >= x.all, qt.IsTrue)
		})
	}
}

// TestLoadsWithoutUsefulOffers guards against refusals that cost more than they gain when offers
// say little: more callers must be answered in time than without admission.
func TestLoadsWithoutUsefulOffers(t *testing.T) {
	for _, x := range []struct {
		name   string
		offers offering
	}{{"all offers missing", missing}, {"all offers stale", stale}} {
		t.Run(x.name, func(t *testing.T) {
			l := waves(1.3, func(l *load) { l.offers = sometimes(1, x.offers) })
			with := simulate(l, runLength)
			l.admit = false
			without := simulate(l, runLength)
			t.Logf("in time: %.3f with admission, %.3f without", with.all.inTimeShare(), without.all.inTimeShare())
			qt.Assert(t, with.all.inTimeShare() >= without.all.inTimeShare()+0.03, qt.IsTrue)
		})
	}
}

// TestWaveNeedsAdmission guards against a simulation that is too easy to show anything.
func TestWaveNeedsAdmission(t *testing.T) {
	f := simulate(waves(1.3, func(l *load) { l.admit = false }), runLength)
	t.Logf("in time: %.3f of what fits in tops, %.3f of all callers", f.topShare(), f.all.inTimeShare())
	qt.Assert(t, f.topShare() < 0.7, qt.IsTrue)
}

// TestReturningCallers guards against a Retry-After at which there is no room: callers that were
// refused in the top of a wave and return must be answered in time.
func TestReturningCallers(t *testing.T) {
	f := simulate(waves(1.3), runLength)
	qt.Assert(t, float64(f.all.returned) >= 0.95*float64(f.all.refused), qt.IsTrue, qt.Commentf("%+v", f.all))
}

// TestCrowdingWorkspaces guards against workspaces that grow at the cost of the others: these are
// answered in time as often as before, and the refusals go to those that grew.
func TestCrowdingWorkspaces(t *testing.T) {
	const length = 3 * runLength
	before := simulate(waves(1), length)
	for _, x := range []struct {
		name      string
		multiples map[int]float64
	}{
		{"one workspace at 7.5 times its rate", map[int]float64{0: 7.5}},
		{"two workspaces at 7.5 times their rate", map[int]float64{0: 7.5, 1: 7.5}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			f := simulate(waves(1, func(l *load) { l.multiples = x.multiples }), length)
			crowd, others := f.sum(0, len(x.multiples)), f.sum(len(x.multiples), workspaceCount)
			was := before.sum(len(x.multiples), workspaceCount)
			refused := func(t tally) float64 { return float64(t.refused) / float64(t.arrived) }
			t.Logf("others in time %.4f, before %.4f; refused %.3f of the crowd, %.3f of others", others.inTimeShare(), was.inTimeShare(), refused(crowd), refused(others))
			c.Check(others.inTimeShare() >= was.inTimeShare()-0.01, qt.IsTrue)
			c.Check(refused(crowd) >= 4*refused(others), qt.IsTrue)
		})
	}
}

// TestRanks guards against lower ranks that are served before higher ones, or starved.
func TestRanks(t *testing.T) {
	c := qt.New(t)
	f := simulate(waves(1.3, func(l *load) { l.low, l.rank = 1.3, func(w int) int { return w % 3 } }), runLength)
	for i, r := range f.ranks[:3] {
		t.Logf("rank %d: %.3f in time", i, r.inTimeShare())
	}
	c.Check(f.ranks[0].inTimeShare() > f.ranks[1].inTimeShare(), qt.IsTrue)
	c.Check(f.ranks[1].inTimeShare() > f.ranks[2].inTimeShare(), qt.IsTrue)
	c.Check(f.ranks[2].inTimeShare() > 0.4, qt.IsTrue)
}

// newTestPolicy returns a policy with its clock.
func newTestPolicy() (*Policy, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return newPolicy(clock, 1), clock
}

// busyRequest returns a request that finds no free slot.
func busyRequest(workspace string, wait time.Duration) rhubarbgate.AdmissionRequest {
	return rhubarbgate.AdmissionRequest{Service: "s", Workspace: workspace, Objective: objective, Remaining: callerDeadline, Known: true, Busy: 1, Wait: wait}
}

// TestWhatIsAlwaysSent guards against refusals where the wait says nothing.
func TestWhatIsAlwaysSent(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(*rhubarbgate.AdmissionRequest)
		send   bool
	}{
		{"no room", func(*rhubarbgate.AdmissionRequest) {}, false},
		{"a slot is free", func(r *rhubarbgate.AdmissionRequest) { r.Free = true }, true},
		{"under half of the slots are taken", func(r *rhubarbgate.AdmissionRequest) { r.Busy = 0.49 }, true},
		{"half of the slots are taken", func(r *rhubarbgate.AdmissionRequest) { r.Busy = 0.5 }, false},
		{"the wait fits", func(r *rhubarbgate.AdmissionRequest) { r.Wait = 100 * time.Millisecond }, true},
		{"the wait fits the highest rank only", func(r *rhubarbgate.AdmissionRequest) { r.Wait, r.Rank = 200*time.Millisecond, 1 }, false},
		{"the wait fits a rank above which there are none", func(r *rhubarbgate.AdmissionRequest) { r.Wait, r.Rank = 200*time.Millisecond, -1 }, true},
		{"no side answered", func(r *rhubarbgate.AdmissionRequest) { r.Known = false }, true},
		{"no objective and no deadline", func(r *rhubarbgate.AdmissionRequest) { r.Objective, r.Remaining = 0, 0 }, true},
		{"no objective", func(r *rhubarbgate.AdmissionRequest) { r.Objective = 0 }, true},
		{"the deadline is before the objective", func(r *rhubarbgate.AdmissionRequest) {
			r.Wait, r.Remaining = 150*time.Millisecond, 100*time.Millisecond
		}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			p, _ := newTestPolicy()
			p.Admit(busyRequest("other", 0))
			r := busyRequest("w", time.Second)
			x.change(&r)
			d := p.Admit(r)
			qt.Assert(t, d.Send, qt.Equals, x.send)
			qt.Assert(t, d.Reason == "", qt.Equals, x.send)
		})
	}
}

// TestStarvedWorkspace guards against a workspace that is refused for as long as the wait does not
// fit, and against a guarantee that admits many requests at once.
func TestStarvedWorkspace(t *testing.T) {
	c := qt.New(t)
	p, clock := newTestPolicy()
	sent := map[time.Duration]int{}
	for at := time.Duration(0); at <= 3*time.Second; at += 500 * time.Millisecond {
		for i := range 20 {
			r := busyRequest(fmt.Sprint(i), time.Second)
			if p.Admit(r).Send {
				sent[at]++
				p.Begin(r)
			}
		}
		clock.Advance(500 * time.Millisecond)
	}
	c.Assert(sent, qt.DeepEquals, map[time.Duration]int{guaranteedAfter: 1})
}

// TestStarvedRank guards against a rank that is refused for as long as the wait fits only higher
// ones.
func TestStarvedRank(t *testing.T) {
	p, clock := newTestPolicy()
	r := busyRequest("w", 200*time.Millisecond)
	for r.Rank = range 3 {
		p.Admit(r)
	}
	r.Rank = 3
	qt.Assert(t, p.Admit(r).Send, qt.IsFalse)
	clock.Advance(starvedAfter)
	qt.Assert(t, p.Admit(r).Send, qt.IsTrue)
	qt.Assert(t, p.Admit(r).Send, qt.IsFalse)
}

// TestRetryAfterInTrough guards against callers that return while the wave is high, all at once, or
// in another order than that of their refusals.
func TestRetryAfterInTrough(t *testing.T) {
	c := qt.New(t)
	p, clock := newTestPolicy()
	demandWave(p, clock, 36*time.Second+500*time.Millisecond)
	// The top lasts for another 1.9 s. The trough has room for 1 request in 100 ms after it.
	last := time.Duration(0)
	for range 25 {
		d := p.Admit(busyRequest("w", time.Second))
		c.Assert(d.Send, qt.IsFalse)
		c.Assert(d.RetryAfter >= 1700*time.Millisecond && d.RetryAfter < 5500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d.RetryAfter))
		// Callers of one bucket are in random order.
		c.Assert(d.RetryAfter > last-bucketLength, qt.IsTrue)
		last = max(last, d.RetryAfter)
	}
	c.Assert(last > 3*time.Second, qt.IsTrue, qt.Commentf("the last caller returns after %v", last))
	// Up to the deadline there is no room left.
	r := busyRequest("w", time.Second)
	r.Remaining = 2 * time.Second
	d := p.Admit(r)
	c.Assert(d.RetryAfter, qt.Equals, time.Duration(0))
	c.Assert(d.Reason, qt.Equals, refusedWait.finalReason())
}

// demandWave offers waves of 30 requests a second in tops and 5 in between for the given time, of which
// 20 a second are served in tops.
func demandWave(p *Policy, clock *clockwork.FakeClock, length time.Duration) {
	for at := time.Duration(0); at < length; at += bucketLength {
		top := at%period < topLength
		for i := range 3 {
			r := busyRequest(fmt.Sprint("wave", i), 0)
			r.Free = !top
			if !top && (i > 0 || at/bucketLength%2 == 0) {
				continue
			}
			p.Admit(r)
			if i < 2 {
				p.Begin(r)
				p.FirstEvent(r, 50*time.Millisecond)
				p.End(r, 700*time.Millisecond)
			}
		}
		clock.Advance(bucketLength)
	}
}

// TestPeriods guards against a wave that is not found, and one found in demand that has none.
func TestPeriods(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, x := range []struct {
		name string
		rate func(bucket int) float64 // requests a bucket
		want int                      // 0 means none; the period may differ by two buckets
	}{
		{"wave of 6 s", func(b int) float64 { return 1 + 4*float64(1-min(b%60/24, 1)) }, 60},
		{"wave of 3 s", func(b int) float64 { return 1 + 4*float64(1-min(b%30/12, 1)) }, 30},
		{"wave of 12 s", func(b int) float64 { return 1 + 4*float64(1-min(b%120/48, 1)) }, 120},
		{"even demand", func(int) float64 { return 3 }, 0},
		{"rising demand", func(b int) float64 { return float64(b) / 90 }, 0},
		{"one burst", func(b int) float64 { return 1 + 8*float64(1-min(max(b-200, 200-b)/10, 1)) }, 0},
		{"no demand", func(int) float64 { return 0 }, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			for run := range 20 {
				w := &wave{}
				for b := range historyBuckets {
					// The sum of many rare events approximates a Poisson distribution.
					for range 100 {
						if random.Float64() < x.rate(b)/100 {
							w.demand[slot(w.current)]++
						}
					}
					w.next()
				}
				w.learn()
				qt.Assert(t, max(w.period-x.want, x.want-w.period) <= 2, qt.IsTrue, qt.Commentf("run %d: period of %d buckets", run, w.period))
			}
		})
	}
}

// TestRandomRequests guards against refusals of requests with a free slot, a Retry-After beyond the
// deadline, a refusal without a reason, and miscounted requests in flight, whatever the caller does.
func TestRandomRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, clock := newTestPolicy()
		var begun []rhubarbgate.AdmissionRequest
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			r := rhubarbgate.AdmissionRequest{
				Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Workspace: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace"),
				Rank: rapid.IntRange(-1, 12).Draw(t, "rank"), Weight: rapid.Float64Range(-1, 3).Draw(t, "weight"),
				Objective: time.Duration(rapid.IntRange(0, 400).Draw(t, "objective")) * time.Millisecond,
				Remaining: time.Duration(rapid.IntRange(0, 5000).Draw(t, "remaining")) * time.Millisecond,
				Wait:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait")) * time.Millisecond,
				Known:     rapid.Bool().Draw(t, "known"), Free: rapid.Bool().Draw(t, "free"), Busy: rapid.Float64Range(0, 1).Draw(t, "busy"),
			}
			d := p.Admit(r)
			if !d.Send && (r.Known && (r.Free || r.Busy < minBusy) || d.Reason == "" || d.RetryAfter < 0 || r.Remaining > 0 && d.RetryAfter > r.Remaining) {
				t.Fatalf("%+v: %+v", r, d)
			}
			if d.Send {
				p.Begin(r)
				begun = append(begun, r)
			}
			if len(begun) > 0 && rapid.Bool().Draw(t, "end") {
				elapsed := time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
				p.FirstEvent(begun[0], elapsed/2)
				p.End(begun[0], elapsed)
				begun = begun[1:]
			}
		}
		inFlight := 0
		for _, s := range p.services {
			for _, w := range s.list {
				inFlight += w.inFlight
			}
		}
		if inFlight != len(begun) {
			t.Fatalf("%d requests in flight, counted %d", len(begun), inFlight)
		}
	})
}

// TestMemoryIsBounded guards against memory that grows with the workspaces and services ever seen.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	p, clock := newTestPolicy()
	for i := range 2 * maxWorkspaces {
		r := busyRequest(fmt.Sprint(i), 0)
		p.Admit(r)
		p.Begin(r)
		p.End(r, time.Second)
	}
	s := p.services["s"]
	c.Assert(s.list, qt.HasLen, maxWorkspaces)
	clock.Advance(workspaceExpiry + sweepInterval)
	p.Admit(busyRequest("w", 0))
	c.Assert(s.list, qt.HasLen, 1)
	c.Assert(s.workspaces, qt.HasLen, 1)
	for i := range 2 * maxServices {
		p.Admit(rhubarbgate.AdmissionRequest{Service: fmt.Sprint(i), Free: true})
	}
	c.Assert(len(p.services) <= maxServices, qt.IsTrue)
}

// benchmarkPolicy returns a policy under contention with 90 workspaces and a wave, and a request of each.
func benchmarkPolicy(wait time.Duration) (*Policy, []rhubarbgate.AdmissionRequest) {
	p, clock := newTestPolicy()
	demandWave(p, clock, 36*time.Second)
	requests := make([]rhubarbgate.AdmissionRequest, 90)
	for i := range requests {
		requests[i] = busyRequest(fmt.Sprint("workspace-", i), wait)
		p.Admit(requests[i])
	}
	return p, requests
}

// TestNoAllocation guards against garbage on the request path, whose collection an entry with 0.144 cores
// would feel.
func TestNoAllocation(t *testing.T) {
	for _, x := range []struct {
		name string
		wait time.Duration
	}{{"sent", 0}, {"refused", time.Second}} {
		p, requests := benchmarkPolicy(x.wait)
		i := 0
		n := testing.AllocsPerRun(1000, func() {
			r := requests[i%len(requests)]
			i++
			p.Admit(r)
			p.Begin(r)
			p.FirstEvent(r, 50*time.Millisecond)
			p.End(r, 700*time.Millisecond)
		})
		qt.Check(t, n, qt.Equals, 0.0, qt.Commentf("%s", x.name))
	}
}

// BenchmarkAdmit measures a decision with 90 workspaces while time passes, including the shares, the
// search for the wave and the places in it. Refused requests come in waves of 60 and 10 a second.
func BenchmarkAdmit(b *testing.B) {
	for _, x := range []struct {
		name string
		wait time.Duration
	}{{"sent", 0}, {"refused", time.Second}} {
		b.Run(x.name, func(b *testing.B) {
			p, requests := benchmarkPolicy(x.wait)
			clock := p.Clock.(*clockwork.FakeClock)
			b.ReportAllocs()
			left, bucket := 0, 0
			for i := 0; b.Loop(); i++ {
				if left--; left <= 0 {
					clock.Advance(bucketLength)
					bucket++
					left = 1
					if time.Duration(bucket)*bucketLength%period < topLength {
						left = 6
					}
				}
				p.Admit(requests[i%len(requests)])
			}
		})
	}
}

// TestSnapshot guards against counts that are not those of the decisions, and figures that cannot
// be written as JSON.
func TestSnapshot(t *testing.T) {
	c := qt.New(t)
	p, _ := newTestPolicy()
	for i := range 10 {
		for range i + 1 {
			r := busyRequest(fmt.Sprint("w", i), 0)
			r.Free, r.Rank = true, i%2
			p.Admit(r)
			p.Begin(r)
		}
	}
	p.Admit(busyRequest("w0", 0))
	p.Admit(busyRequest("w9", time.Second))
	s := p.Snapshot()
	c.Assert(s, qt.HasLen, 1)
	c.Assert([]uint64{s[0].SentFree, s[0].SentWaiting, s[0].RefusedWait, s[0].WithoutRetry}, qt.DeepEquals, []uint64{55, 1, 1, 0})
	c.Assert(s[0].Ranks, qt.DeepEquals, []RankSnapshot{{Rank: 0, Sent: 26, Refused: 1}, {Rank: 1, Sent: 30}})
	c.Assert(s[0].Busiest, qt.HasLen, busiestCount)
	c.Assert(s[0].Busiest[0], qt.DeepEquals, WorkspaceSnapshot{Workspace: "w9", Use: 10, Share: s[0].Busiest[0].Share, InFlight: 10, Sent: 10, Refused: 1})
	c.Assert(s[0].Busiest[7].Workspace, qt.Equals, "w2")
	_, err := json.Marshal(s)
	c.Assert(err, qt.IsNil)
}

// TestLogVolume guards against a line for each decision: contention and limited workspaces are
// reported when they begin and end, at most once a second for each service.
func TestLogVolume(t *testing.T) {
	c := qt.New(t)
	p, clock := newTestPolicy()
	h := memory.New()
	p.Logger = &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 20 {
		for i := range 20 {
			// Half of the requests are of two workspaces, for which the wait of a tenth suffices.
			r := busyRequest([]string{"a", "b", fmt.Sprint(i), fmt.Sprint(i)}[i%4], time.Duration(i%10)*40*time.Millisecond)
			if p.Admit(r).Send {
				p.Begin(r)
			}
		}
		clock.Advance(bucketLength)
	}
	for range 30 {
		r := busyRequest("a", 0)
		r.Free = true
		p.Admit(r)
		clock.Advance(bucketLength)
	}
	lines := map[string]int{}
	for _, e := range h.Entries {
		lines[e.Message]++
	}
	c.Assert(lines["slots of service are contended"], qt.Equals, 1)
	c.Assert(lines["slots of service are no longer contended"], qt.Equals, 1)
	limited := lines["limiting workspace to its share of contended slots"]
	c.Assert(limited >= 1 && limited <= 2, qt.IsTrue, qt.Commentf("%v", lines))
}

// TestConcurrentUse guards against state that is used without the lock; the race detector finds it.
func TestConcurrentUse(t *testing.T) {
	p, _ := newTestPolicy()
	var tasks conc.WaitGroup
	for i := range 4 {
		tasks.Go(func() {
			for n := range 200 {
				r := busyRequest(fmt.Sprint(n%7), time.Duration(n%4)*100*time.Millisecond)
				if p.Admit(r).Send {
					p.Begin(r)
					p.FirstEvent(r, 50*time.Millisecond)
					p.End(r, time.Second)
				}
				if n%50 == i {
					p.Snapshot()
				}
			}
		})
	}
	tasks.Wait()
}

// TestRetryAfterBeforeDeadline guards against a time for a retry that leaves none for an answer.
func TestRetryAfterBeforeDeadline(t *testing.T) {
	for _, x := range []struct {
		remaining, least, most time.Duration
	}{
		{0, minRetryAfter, maxRetryAfter},
		{5 * time.Second, minRetryAfter, maxRetryAfter},
		{1700 * time.Millisecond, minRetryAfter, time.Second},
		{1100 * time.Millisecond, 0, 0}, // 400 ms are left besides a usual answer of 700 ms
		{100 * time.Millisecond, 0, 0},
	} {
		p, _ := newTestPolicy()
		r := busyRequest("w", time.Second)
		r.Remaining = x.remaining
		p.Begin(r)
		p.End(r, 700*time.Millisecond)
		for range 50 {
			d := p.Admit(r)
			qt.Assert(t, d.RetryAfter >= x.least && d.RetryAfter <= x.most, qt.IsTrue, qt.Commentf("%v left: %+v", x.remaining, d))
			qt.Assert(t, d.Reason == refusedWait.finalReason(), qt.Equals, x.most == 0)
		}
	}
}
