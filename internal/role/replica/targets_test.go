package replica

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// TestListOfLeaderIsTakenOver guards against a control host that serves an older list than
// it has, an empty one, or one whose content it does not have.
func TestListOfLeaderIsTakenOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	instances := func(id string) []rhubarbgate.Instance { return []rhubarbgate.Instance{{ID: id}} }
	leader, follower := &Host{Clock: clock}, &Host{Clock: clock}
	answer := func() *control.TargetList {
		return configuration.TargetListReply(leader, clock.Now(), follower.targetsDigest())
	}
	check := func(id string, age time.Duration) {
		list, at := follower.Targets()
		qt.Assert(t, list.Instances, qt.HasLen, 1)
		qt.Assert(t, list.Instances[0].ID, qt.Equals, id)
		qt.Assert(t, clock.Since(at), qt.Equals, age)
	}
	follower.applyTargets(answer(), clock.Now())
	qt.Assert(t, follower.targetsDigest(), qt.Equals, uint64(0))

	leader.setTargets(instances("a"), clock.Now())
	follower.applyTargets(answer(), clock.Now())
	check("a", 0)

	clock.Advance(time.Second)
	leader.setTargets(instances("a"), clock.Now())
	confirmed := answer()
	qt.Assert(t, confirmed.Instances, qt.HasLen, 0)
	sent := clock.Now()
	clock.Advance(100 * time.Millisecond)
	follower.applyTargets(confirmed, sent)
	check("a", 100*time.Millisecond)

	follower.setTargets(instances("b"), clock.Now())
	follower.applyTargets(confirmed, clock.Now())
	check("b", 0)
	clock.Advance(time.Second)
	late := *confirmed
	follower.applyTargets(&late, clock.Now())
	check("b", time.Second)
}

// TestRepeatedEntriesKeepTheDigest guards against daemons that get the whole list with each reading
// because entries with the same ID and address are in another order.
func TestRepeatedEntriesKeepTheDigest(t *testing.T) {
	h := &Host{Clock: clockwork.NewFakeClock()}
	list := []rhubarbgate.Instance{{ID: "a", Service: "s"}, {ID: "a", Service: "other"}, {ID: "a", Service: "s", Leaving: true}, {ID: "a", Service: "s", Slots: 8}, {ID: "a", Service: "s", AvailabilityZone: "z"}}
	h.setTargets(slices.Clone(list), h.Clock.Now())
	digest := h.targetsDigest()
	slices.Reverse(list)
	h.setTargets(list, h.Clock.Now())
	qt.Assert(t, h.targetsDigest(), qt.Equals, digest)
}

// TestOneHostReadsTargets guards against control hosts that all read the platform's list,
// against a new leader that reads it late or seldom while the targets restart, and against
// hosts without a leader that have no list.
func TestOneHostReadsTargets(t *testing.T) {
	const tick, never = targetsCheckInterval, time.Hour
	tests := []struct {
		name    string
		leadsAt time.Duration
		// listEvery is how often the host gets the list of a leader.
		listEvery            time.Duration
		firstRead            time.Duration
		readsIn2s, readsIn8s int
	}{
		{"follower of a leader", never, registerInterval, never, 0, 0},
		{"leader from 0.5 s on", 500 * time.Millisecond, never, 500 * time.Millisecond, 6, 12 + 7},
		{"no leader", never, never, maxTargetsAge, 1, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			r := targetsReader{startedAt: start}
			var listAt time.Time
			first, reads := never, map[time.Duration]int{}
			for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += tick {
				if elapsed%test.listEvery == 0 && test.listEvery != never {
					listAt = start.Add(elapsed)
				}
				if !r.due(start.Add(elapsed), elapsed >= test.leadsAt, listAt) {
					continue
				}
				listAt = start.Add(elapsed)
				first = min(first, elapsed)
				for _, limit := range []time.Duration{2 * time.Second, 8 * time.Second} {
					if elapsed < limit {
						reads[limit]++
					}
				}
			}
			qt.Assert(t, first, qt.Equals, test.firstRead)
			qt.Assert(t, reads[2*time.Second], qt.Equals, test.readsIn2s)
			qt.Assert(t, reads[8*time.Second], qt.Equals, test.readsIn8s)
		})
	}
}

// TestColdTimesRunOutWithoutAnotherDigest guards against sending the whole list with each reading while a target is cold,
// and against cold times that start over with each process that the list passes.
func TestColdTimesRunOutWithoutAnotherDigest(t *testing.T) {
	const ms = time.Millisecond
	clock := clockwork.NewFakeClock()
	leader, follower := &Host{Clock: clock}, &Host{Clock: clock}
	set := func(left time.Duration) uint64 {
		leader.setTargets([]rhubarbgate.Instance{{ID: "a", ColdLeft: left}, {ID: "b"}}, clock.Now())
		follower.applyTargets(configuration.TargetListReply(leader, clock.Now(), follower.targetsDigest()), clock.Now())
		return leader.targetsDigest()
	}
	check := func(left time.Duration) {
		list, _ := follower.Targets()
		qt.Assert(t, list.Current()[0].ColdLeft, qt.Equals, left)
	}
	first := set(2000 * ms)
	check(2000 * ms)
	clock.Advance(600 * ms)
	qt.Assert(t, set(1450*ms), qt.Equals, first)
	check(1400 * ms)
	clock.Advance(2 * time.Second)
	qt.Assert(t, set(0), qt.Equals, first)
	check(0)
	// Another host gets the list late.
	late := &Host{Clock: clock}
	late.applyTargets(configuration.TargetListReply(leader, clock.Now(), 0), clock.Now())
	list, _ := late.Targets()
	qt.Assert(t, list.Current()[0].ColdLeft, qt.Equals, time.Duration(0))

	clock.Advance(600 * ms)
	qt.Assert(t, set(3000*ms), qt.Not(qt.Equals), first)
	check(3000 * ms)
	clock.Advance(600 * ms)
	qt.Assert(t, set(0), qt.Not(qt.Equals), first)
	check(0)
}
