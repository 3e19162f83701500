package targetlimits

import (
	"expvar"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// newTestKeeper returns a Keeper of the process "me" and a target.
func newTestKeeper() (*Keeper, *discovery.Target, *clockwork.FakeClock) {
	clock, logger := clockwork.NewFakeClock(), &log.Logger{Handler: discard.New()}
	table := &discovery.Table{Clock: clock, Logger: logger}
	i := rhubarbgate.Instance{ID: "i", Service: "lm", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	table.Update([]rhubarbgate.Instance{i}, clock.Now())
	return NewKeeper("me", nil, clock, logger, new(expvar.Map).Init()), table.Target(i), clock
}

// limits returns a list with one target, of which the process "me" has a share, or none if it is
// negative.
func limits(t *discovery.Target, term, number uint64, share float64) control.TargetLimits {
	l := apportion.Limit{Target: t.Name(), PerSecond: 8, Holders: []apportion.Holder{{Process: "other", PerSecond: 1}}}
	if share >= 0 {
		l.Holders = append(l.Holders, apportion.Holder{Process: "me", PerSecond: share})
	}
	return control.TargetLimits{Version: control.LeaderVersion{Term: term, Number: number}, Limits: []apportion.Limit{l}}
}

// TestRequestsWithinShare guards against sending more than this process's part of a target's
// limit, or less, and against a limit that outlives its end.
func TestRequestsWithinShare(t *testing.T) {
	none := control.TargetLimits{Version: control.LeaderVersion{Term: 1, Number: 9}}
	tests := []struct {
		name string
		act  func(k *Keeper, t *discovery.Target, clock *clockwork.FakeClock)
		// atLeast and atMost are how many of 400 requests in 4 s are sent.
		atLeast, atMost int
	}{
		{"no limit", func(*Keeper, *discovery.Target, *clockwork.FakeClock) {}, 400, 400},
		{"own share", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) { k.Update(limits(x, 1, 1, 2)) }, 7, 9},
		{"large share", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) { k.Update(limits(x, 1, 1, 50)) }, 190, 250},
		{"share of a limit that the target lowers", func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 4))
			clock.Advance(time.Minute)
			k.Observe(x, 1, true)
		}, 1, 6},
		{"share of others after own use", func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 2))
			clock.Advance(time.Minute)
			k.Update(limits(x, 1, 2, -1))
		}, 0, 0},
		{"share of others", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) { k.Update(limits(x, 1, 1, -1)) }, 0, 0},
		{"not divided yet", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) { k.Observe(x, 8, true) }, 5, 400},
		{"ended, as the target says", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) {
			k.Observe(x, 8, true)
			k.Observe(x, 0, false)
		}, 400, 400},
		{"ended, as the control hosts say", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 2))
			k.Update(none)
		}, 400, 400},
		{"older list", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) {
			k.Update(limits(x, 1, 2, 2))
			k.Update(limits(x, 1, 1, 50))
		}, 7, 9},
		{"new leader", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 2))
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 2}})
		}, 7, 9},
		{"new leader long after the last change", func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 2))
			clock.Advance(time.Minute)
			for range 2 {
				k.Take(x.Name())
			}
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 2}})
		}, 7, 9},
		{"new leader that divided the rate", func(k *Keeper, x *discovery.Target, _ *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 2))
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 2}})
			k.Update(limits(x, 2, 1, 4))
		}, 15, 20},
		{"new leader that found no limit", func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 2))
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 2}})
			clock.Advance(earlierLeaderTTL)
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 2, Number: 1}})
		}, 400, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, x, clock := newTestKeeper()
			test.act(k, x, clock)
			sent := 0
			for range 400 {
				_, ok, wait := k.Available(x.Name())
				qt.Assert(t, ok, qt.Equals, wait == 0)
				taken := k.Take(x.Name())
				qt.Assert(t, taken, qt.Equals, ok)
				if taken {
					sent++
				}
				clock.Advance(10 * time.Millisecond)
			}
			qt.Assert(t, sent >= test.atLeast && sent <= test.atMost, qt.IsTrue, qt.Commentf("%d requests", sent))
		})
	}
}

// TestClaims guards against claims that leave out what the control hosts divide by, and against
// claims of processes that have no use for a share.
func TestClaims(t *testing.T) {
	k, x, clock := newTestKeeper()
	qt.Assert(t, k.buildClaim(), qt.IsNil)
	k.Observe(x, 3, true)
	for range 100 {
		k.CountDemand("lm")
		clock.Advance(100 * time.Millisecond)
		k.Observe(x, 3, true)
	}
	c := k.buildClaim().Claim
	qt.Assert(t, c.Process, qt.Equals, "me")
	qt.Assert(t, c.Statements, qt.HasLen, 1)
	qt.Assert(t, c.Statements[0].PerSecond, qt.Equals, 3.0)
	qt.Assert(t, c.Statements[0].Limited, qt.IsTrue)
	qt.Assert(t, c.Demand["lm"] > 9 && c.Demand["lm"] < 11, qt.IsTrue, qt.Commentf("%v", c.Demand))

	k.Update(limits(x, 1, 1, 2))
	qt.Assert(t, k.buildClaim().Claim.Statements[0].Held, qt.Equals, 0.0)
	k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 2}})
	qt.Assert(t, k.buildClaim().Claim.Statements[0].Held, qt.Equals, 2.0)

	k.HasWork = func() bool { return false }
	qt.Assert(t, k.buildClaim(), qt.IsNil)
}

// TestTokensKept guards against a burst that, with the rate itself, is more than a target takes: at
// most half as much again in four seconds, and five requests.
func TestTokensKept(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 2, 3, 8, 40, 200} {
		_, x, clock := newTestKeeper()
		table := apportion.Table{Clock: clock}
		statements := []apportion.Statement{{Target: x.Name(), Service: "lm", PerSecond: perSecond, Limited: true}}
		for i := range 100 {
			table.Add(&apportion.Claim{Process: fmt.Sprint(i), Statements: statements, Demand: map[string]float64{"lm": 10}})
		}
		table.Add(&apportion.Claim{Process: "side", Beside: x.Name()})
		clock.Advance(time.Second)
		kept := 0.0
		for _, h := range table.Limits()[0].Holders {
			k, _, clock := newTestKeeper()
			k.Process = h.Process
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 1, Number: 1}, Limits: table.Limits()})
			clock.Advance(time.Minute)
			for k.Take(x.Name()) {
				kept++
			}
		}
		qt.Check(t, kept+4*perSecond*1.1 <= 1.5*4*perSecond+5, qt.IsTrue, qt.Commentf("%v a second: %v kept", perSecond, kept))
		qt.Check(t, kept >= min(perSecond, 1), qt.IsTrue)
	}
}

// TestTokensOfRefusedRequests guards against tokens that are spent on requests which a target refused because they were for
// another instance: those do not count.
func TestTokensOfRefusedRequests(t *testing.T) {
	tests := []struct {
		name string
		act  func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock)
	}{
		{"stated limit", func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock) {
			k.Update(limits(x, 1, 1, 0.5))
			clock.Advance(2 * time.Second)
		}},
		{"cold", func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock) {
			l := limits(x, 1, 1, 1)
			l.Limits[0].ColdLeft, l.Limits[0].Burst, l.Limits[0].Service = time.Minute, 1, "lm"
			k.Update(l)
			clock.Advance(2 * time.Second)
		}},
		{"cold, before the division", func(k *Keeper, x *discovery.Target, clock *clockwork.FakeClock) {
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 1, Number: 1}, Processes: []string{"me"}})
			k.Cold.ObserveResponse(x.Name(), "lm", time.Minute, clock.Now())
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, x, clock := newTestKeeper()
			k.Cold = &cold.Tracker{Clock: clock, Logger: k.Logger}
			k.Cold.SetServices(map[string]rhubarbgate.Service{"lm": {ColdStart: time.Minute, ColdPerSecond: 12}})
			test.act(k, x, clock)
			for range 5 {
				qt.Assert(t, k.Take(x.Name()), qt.IsTrue)
				qt.Assert(t, k.Take(x.Name()), qt.IsFalse)
				k.Return(x.Name())
			}
			qt.Assert(t, k.Take(x.Name()), qt.IsTrue)
			qt.Assert(t, k.Take(x.Name()), qt.IsFalse)
		})
	}
}

// TestColdTargetsWithoutToken guards against requests to a cold target of processes that have not been told how its rate is
// divided, or among how many.
func TestColdTargetsWithoutToken(t *testing.T) {
	tests := []struct {
		name      string
		processes []string
		beside    bool
		want      int // requests in a minute
	}{
		{"no list of processes", nil, false, 0},
		{"not in the list", []string{"other"}, false, 0},
		{"in the list", []string{"me", "other"}, false, 1},
		{"a side", []string{"me"}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, x, clock := newTestKeeper()
			k.Cold = &cold.Tracker{Clock: clock, Logger: k.Logger}
			k.Cold.SetServices(map[string]rhubarbgate.Service{"lm": {ColdStart: time.Minute, ColdPerSecond: 12}})
			if test.beside {
				k.Beside = x.Name
			}
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 1, Number: 1}, Processes: test.processes})
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 2}})
			k.Cold.ObserveResponse(x.Name(), "lm", time.Minute, clock.Now())
			sent := 0
			for range 59 {
				_, ok, _ := k.Available(x.Name())
				qt.Assert(t, k.Take(x.Name()), qt.Equals, ok)
				if ok {
					sent++
				}
				clock.Advance(time.Second)
			}
			qt.Assert(t, sent, qt.Equals, test.want)
			clock.Advance(time.Second)
			qt.Assert(t, k.Take(x.Name()), qt.IsTrue, qt.Commentf("the target is warm"))
		})
	}
}

// TestFirstTokensOfColdTargets guards against a second bucket of tokens for one part of a cold target's rate: for a process that
// gets another one's part, or has already sent a request before it knew the division.
func TestFirstTokensOfColdTargets(t *testing.T) {
	tests := []struct {
		name          string
		full, interim bool
		want          bool
	}{
		{"nobody had a part", true, false, true},
		{"part of another process", false, false, false},
		{"after a request before the division", true, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, x, clock := newTestKeeper()
			k.Cold = &cold.Tracker{Clock: clock, Logger: k.Logger}
			k.Cold.SetServices(map[string]rhubarbgate.Service{"lm": {ColdStart: time.Minute, ColdPerSecond: 12}})
			k.Update(control.TargetLimits{Version: control.LeaderVersion{Term: 1, Number: 1}, Processes: []string{"me"}})
			if test.interim {
				k.Cold.ObserveResponse(x.Name(), "lm", time.Minute, clock.Now())
				qt.Assert(t, k.Take(x.Name()), qt.IsTrue)
			}
			l := limits(x, 1, 2, 2)
			l.Limits[0].ColdLeft, l.Limits[0].Burst, l.Limits[0].Service, l.Limits[0].Full = time.Minute, 1, "lm", test.full
			k.Update(l)
			qt.Assert(t, k.Take(x.Name()), qt.Equals, test.want)
			clock.Advance(500 * time.Millisecond)
			qt.Assert(t, k.Take(x.Name()), qt.IsTrue)
		})
	}
}
