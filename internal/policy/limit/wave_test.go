package limit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// maxTokenWait is how long a request of the wave waits for a token.
const maxTokenWait = 150 * time.Millisecond

// offerWave requests tokens from random holders in a square wave: 15 a second for 3.6 s,
// then 73 a second for 2.4 s, which the workspace's rate and burst cover. It returns how
// many requests got no token within maxTokenWait.
func offerWave(s *simulation, length time.Duration) int {
	type request struct {
		holder *Holder
		waiter *waiter
		until  time.Time
	}
	var waiting []request
	refused, due := 0, 0.0
	const lowPerSecond, highPerSecond, lowDuration, period = 15.0, 73.0, 3600 * time.Millisecond, 6 * time.Second
	for at := time.Duration(0); at < length; at += stepLength {
		s.step()
		perSecond := lowPerSecond
		if at%period >= lowDuration {
			perSecond = highPerSecond
		}
		for due += perSecond * stepLength.Seconds(); due >= 1; due-- {
			h := s.holders[s.random.IntN(len(s.holders))]
			if ok, _ := h.Take(workspace, 1); ok {
				continue
			}
			r := request{h, &waiter{tokens: 1, ready: make(chan bool, 1)}, s.clock.Now().Add(maxTokenWait)}
			p := h.shard(workspace).workspaces[workspace]
			p.waiters = append(p.waiters, r.waiter)
			waiting = append(waiting, r)
		}
		kept := waiting[:0]
		for _, r := range waiting {
			switch {
			case len(r.waiter.ready) > 0:
			case s.clock.Now().Before(r.until):
				kept = append(kept, r)
			case !r.holder.cancelWait(r.holder.shard(workspace), workspace, r.waiter):
				refused++
			}
		}
		waiting = kept
	}
	return refused
}

// TestSquareWaveWithinRateIsServed guards against refusals of requests that rate and burst
// cover. They could occur when the request rate jumps, because tokens are spread over
// several holders and grants expire after a second.
func TestSquareWaveWithinRateIsServed(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, Rate{PerSecond: 61, Burst: 61}, 5)
		s.noRepeats = true
		offerWave(s, 6*time.Second)
		refused := offerWave(s, 60*time.Second)
		qt.Check(t, refused, qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

// TestNewOwnerGrantsAtOnce guards against a new owner that pauses or limits its grants
// more than its predecessor's outstanding grants require, or that grants while those
// of two earlier owners may be outstanding.
func TestNewOwnerGrantsAtOnce(t *testing.T) {
	tests := []struct {
		name        string
		predecessor func(now time.Time) Predecessor
		want        float64
	}{
		{"first of all", func(time.Time) Predecessor { return Predecessor{None: true} }, 9},
		{"restarted together, settled before", func(now time.Time) Predecessor { return Predecessor{Begun: now, EarlierGrantsExpired: true} }, 5},
		{"one long before", func(now time.Time) Predecessor { return Predecessor{Begun: now.Add(-time.Hour)} }, 5},
		{"two in a row", func(now time.Time) Predecessor { return Predecessor{Begun: now} }, 0},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			o := &Owner{Clock: clock, TTL: ttl, Drift: drift, Rates: func(string) (Rate, bool) { return Rate{PerSecond: 1000, Burst: 20}, true }}
			o.Begin(x.predecessor(clock.Now()))
			clock.Advance(20 * time.Millisecond)
			o.Exchange("a", []TokenRequest{{Workspace: workspace, Want: 1}})
			clock.Advance(20 * time.Millisecond)
			g := o.Exchange("a", []TokenRequest{{Workspace: workspace, Want: 10}})
			qt.Assert(t, min(g[0].Tokens, x.want), qt.Equals, x.want)
			qt.Assert(t, g[0].Tokens > 0, qt.Equals, x.want > 0)
			qt.Assert(t, g[0].GrantPause > 0, qt.Equals, x.want == 0)
		})
	}
}
