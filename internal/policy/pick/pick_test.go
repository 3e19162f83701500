package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// candidates returns n idle targets t0, t1 and so on of equal latency.
func candidates(n int) []rhubarbgate.Candidate {
	var c []rhubarbgate.Candidate
	for i := range n {
		c = append(c, rhubarbgate.Candidate{Name: fmt.Sprintf("t%d", i), Distance: 1, Slots: 32, Latency: 400 * time.Millisecond})
	}
	return c
}

func twoChoices() *TwoChoices { return &TwoChoices{Random: rand.New(rand.NewPCG(1, 1))} }

// countPicks returns how often each candidate is picked for n requests, whose prefixes
// are random among the given number; 0 means requests without a prefix.
func countPicks(p rhubarbgate.Picker, c []rhubarbgate.Candidate, prefixes uint64, n int) []int {
	counts := make([]int, len(c))
	random := rand.New(rand.NewPCG(2, 2))
	for range n {
		r := rhubarbgate.PickRequest{}
		if prefixes > 0 {
			r.Prefix = 1 + random.Uint64N(prefixes)
		}
		counts[p.Pick(r, c)]++
	}
	return counts
}

// TestSlowTargetIsAvoided checks that a target with three times the latency of the
// others gets less than 1% of the requests, whether or not their prefixes recur.
func TestSlowTargetIsAvoided(t *testing.T) {
	tests := []struct {
		name     string
		picker   rhubarbgate.Picker
		prefixes uint64
	}{
		{"two choices", twoChoices(), 0},
		{"affinity, known prefixes", &Affinity{Fallback: twoChoices()}, 50},
		{"affinity, new prefixes", &Affinity{Fallback: twoChoices()}, 1 << 60},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := candidates(4)
			c[3].Latency *= 3
			counts := countPicks(x.picker, c, x.prefixes, 4000)
			qt.Assert(t, counts[3] < 40, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// TestAffinityKeepsTargetWithinLoadLimit checks that requests with one prefix go to one
// target until its load is above the limit.
func TestAffinityKeepsTargetWithinLoadLimit(t *testing.T) {
	a := &Affinity{Fallback: twoChoices()}
	c := candidates(4)
	r := rhubarbgate.PickRequest{Prefix: 77}
	a.Pick(r, c)
	first := a.Pick(r, c)
	for range 100 {
		qt.Assert(t, a.Pick(r, c), qt.Equals, first)
	}
	c[first].InFlight = 30
	qt.Assert(t, a.Pick(r, c), qt.Not(qt.Equals), first)
}

// TestNearerAvailabilityZoneWinsUnlessSaturated checks that the nearer of two equal
// targets gets all requests, and the farther one when the nearer one is full.
func TestNearerAvailabilityZoneWinsUnlessSaturated(t *testing.T) {
	c := candidates(2)
	c[1].Distance = 2
	p := twoChoices()
	qt.Assert(t, countPicks(p, c, 0, 100), qt.DeepEquals, []int{100, 0})
	c[0].InFlight = 32
	qt.Assert(t, countPicks(p, c, 0, 100), qt.DeepEquals, []int{0, 100})
}

// TestOpenConnectionsDecideBetweenEqualTargets guards against a new connection for most
// requests while targets are idle, as with more targets than an entry has requests a second,
// and against a choice by connection where the load or the distance differ.
func TestOpenConnectionsDecideBetweenEqualTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(connected, other *rhubarbgate.Candidate)
		want   bool // the connected target is chosen
	}{
		{"equal", func(_, _ *rhubarbgate.Candidate) {}, true},
		{"a request in flight", func(c, _ *rhubarbgate.Candidate) { c.InFlight = 1 }, false},
		{"a request of others", func(c, _ *rhubarbgate.Candidate) { c.Reported = 3 }, false},
		{"farther", func(c, _ *rhubarbgate.Candidate) { c.Distance = 2 }, false},
		{"the other is busier", func(_, o *rhubarbgate.Candidate) { o.Reported = 1 }, true},
	}
	for _, test := range tests {
		c := candidates(8)
		c[5].Connected = true
		test.change(&c[5], &c[0])
		l := &LeastRequests{Random: rand.New(rand.NewPCG(1, 1))}
		for range 20 {
			qt.Assert(t, l.Pick(rhubarbgate.PickRequest{}, c) == 5, qt.Equals, test.want, qt.Commentf("%s", test.name))
		}
	}
}

// TestLimitedTargetsAreSpared guards against spending the few requests that a target in need takes
// while others are idle, and against leaving it out when they are not.
func TestLimitedTargetsAreSpared(t *testing.T) {
	tests := []struct {
		name     string
		inFlight int // at the other target
		want     int
	}{
		{"other idle", 0, 1},
		{"other busy", 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &LeastRequests{Random: rand.New(rand.NewPCG(1, 1))}
			got := l.Pick(rhubarbgate.PickRequest{}, []rhubarbgate.Candidate{
				{Name: "limited", Distance: 1, Slots: 8, Limited: true, Connected: true}, {Name: "other", Distance: 1, Slots: 8, InFlight: test.inFlight},
			})
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestRank guards against a ranking that differs from Pick, and one that prefers some of equal candidates.
func TestRank(t *testing.T) {
	l := &LeastRequests{Random: rand.New(rand.NewPCG(1, 1))}
	c := candidates(6)
	c[4].InFlight, c[2].Queued, c[5].Slowness = 1, 3, 2.5
	first := make([]int, len(c))
	for range 3000 {
		var best [5]int
		qt.Assert(t, l.Rank(rhubarbgate.PickRequest{}, c, best[:]), qt.Equals, 5)
		qt.Assert(t, best[3:], qt.DeepEquals, []int{5, 4})
		first[best[0]]++
	}
	for _, i := range []int{0, 1, 3} {
		qt.Assert(t, first[i] > 850 && first[i] < 1150, qt.IsTrue, qt.Commentf("%v", first))
	}
	qt.Assert(t, l.Rank(rhubarbgate.PickRequest{}, c, nil), qt.Equals, 0)
	qt.Assert(t, l.Rank(rhubarbgate.PickRequest{}, nil, make([]int, 3)), qt.Equals, 0)
}

// TestWarmFirst guards against using cold targets, which are slow and take few requests, while warm ones have
// room, and against leaving them unused while warm ones have none.
func TestWarmFirst(t *testing.T) {
	cold := rhubarbgate.Candidate{Name: "cold", Slots: 8, Cold: true, Limited: true}
	idle := rhubarbgate.Candidate{Name: "idle", Slots: 8, HasReport: true, Reported: 2, InFlight: 1}
	full := rhubarbgate.Candidate{Name: "full", Slots: 8, HasReport: true, Reported: 8, Queued: 2}
	unknown := rhubarbgate.Candidate{Name: "unknown", Slots: 8}
	ownFull := rhubarbgate.Candidate{Name: "ownFull", Slots: 8, InFlight: 8}
	tests := []struct {
		name       string
		candidates []rhubarbgate.Candidate
		want       string
	}{
		{"only cold", []rhubarbgate.Candidate{cold}, "cold"},
		{"no cold one", []rhubarbgate.Candidate{full, idle}, "idle"},
		{"warm one has room", []rhubarbgate.Candidate{cold, full, idle}, "idle"},
		{"warm ones are full", []rhubarbgate.Candidate{full, cold, full}, "cold"},
		{"nothing is known of the warm ones", []rhubarbgate.Candidate{cold, unknown}, "unknown"},
		{"those with a report are full", []rhubarbgate.Candidate{cold, unknown, full}, "cold"},
		{"filled by this entry", []rhubarbgate.Candidate{ownFull, cold}, "cold"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &WarmFirst{Picker: &LeastRequests{Random: rand.New(rand.NewPCG(1, 1))}}
			qt.Assert(t, test.candidates[p.Pick(rhubarbgate.PickRequest{}, test.candidates)].Name, qt.Equals, test.want)
		})
	}
}
