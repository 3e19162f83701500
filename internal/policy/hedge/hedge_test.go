package hedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// learn records n requests of the service, of which every twentieth is slow.
func learn(p *Policy, n int, usual, slow time.Duration) {
	for i := range n {
		p.Delay("lm")
		latency := usual
		if i%20 == 19 {
			latency = slow
		}
		p.Observe("lm", latency)
	}
}

// TestSlowTail guards against copies of requests that are no later than usual, and against none
// for the few that are.
func TestSlowTail(t *testing.T) {
	tests := []struct {
		name              string
		share             float64
		requests          int
		known             bool
		atLeast, lessThan time.Duration
	}{
		{"off", 0, 400, false, 0, 1},
		{"nothing learnt", 0.05, 10, false, 0, 1},
		{"slow tail", 0.05, 400, true, 20 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &Policy{Clock: clockwork.NewFakeClock(), Share: test.share}
			learn(p, test.requests, 20*time.Millisecond, 900*time.Millisecond)
			delay, known := p.Delay("lm")
			qt.Assert(t, known, qt.Equals, test.known)
			qt.Assert(t, delay >= test.atLeast && delay < test.lessThan, qt.IsTrue, qt.Commentf("%v", delay))
		})
	}
}

// TestBudget guards against more copies than the share allows, whatever the load.
func TestBudget(t *testing.T) {
	p := &Policy{Clock: clockwork.NewFakeClock(), Share: 0.05}
	sent := 0
	for i := range 4000 {
		p.Delay("lm")
		p.Observe("lm", time.Duration(20+i%7)*time.Millisecond)
		if ok, _ := p.Allow("lm", time.Second); ok {
			sent++
			p.Finish("lm", true)
		}
	}
	qt.Assert(t, sent <= 4000/20+maxBalance, qt.IsTrue, qt.Commentf("%d copies", sent))
	qt.Assert(t, sent >= 4000/20-1, qt.IsTrue, qt.Commentf("%d copies", sent))
	_, reason := p.Allow("lm", time.Second)
	qt.Assert(t, reason, qt.Equals, ReasonBudget)
}

// TestCommonSlowness guards against feeding an overload: when all targets are slow, copies
// lose and stop, and they resume after a pause.
func TestCommonSlowness(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Policy{Clock: clock, Share: 0.5}
	learn(p, 400, 20*time.Millisecond, 30*time.Millisecond)
	for range resultsToJudge {
		ok, _ := p.Allow("lm", time.Second)
		qt.Assert(t, ok, qt.IsTrue)
		p.Finish("lm", false)
	}
	learn(p, 100, 20*time.Millisecond, 30*time.Millisecond)
	_, reason := p.Allow("lm", time.Second)
	qt.Assert(t, reason, qt.Equals, ReasonPaused)
	clock.Advance(pauseTime)
	ok, _ := p.Allow("lm", time.Second)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestDeadline guards against copies that cannot answer before the deadline.
func TestDeadline(t *testing.T) {
	p := &Policy{Clock: clockwork.NewFakeClock(), Share: 0.5}
	learn(p, 400, 200*time.Millisecond, time.Second)
	_, reason := p.Allow("lm", 100*time.Millisecond)
	qt.Assert(t, reason, qt.Equals, ReasonDeadline)
	ok, _ := p.Allow("lm", 400*time.Millisecond)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestSpansExpire guards against a delay that follows latencies of long ago.
func TestSpansExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Policy{Clock: clock, Share: 0.5}
	learn(p, 400, 500*time.Millisecond, time.Second)
	for range 3 {
		clock.Advance(spanTime)
		learn(p, 100, 20*time.Millisecond, 25*time.Millisecond)
	}
	delay, known := p.Delay("lm")
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, delay < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", delay))
	clock.Advance(2 * spanTime)
	_, known = p.Delay("lm")
	qt.Assert(t, known, qt.IsFalse)
}

func BenchmarkDelay(b *testing.B) {
	p := &Policy{Clock: clockwork.NewRealClock(), Share: 0.05}
	b.ReportAllocs()
	for b.Loop() {
		p.Delay("lm")
		p.Observe("lm", 20*time.Millisecond)
	}
}
