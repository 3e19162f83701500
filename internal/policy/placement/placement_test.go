package placement

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// host returns a host that has just registered, with an incarnation equal to its ID.
func host(id uint64, availabilityZone string) Host {
	return Host{
		Member:           raft.Member{ID: id, Incarnation: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000)},
		AvailabilityZone: availabilityZone,
	}
}

// applyChanges applies planned changes until none is due and returns the resulting
// members. It promotes learners as a group does when they have caught up. It fails if a
// change removes or demotes more than one voter, or after 50 rounds.
func applyChanges(t interface{ Fatalf(string, ...any) }, p *Planner, m raft.Members, hosts []Host) raft.Members {
	for range 50 {
		next, ok := p.Next(m, hosts)
		if !ok {
			promoted := false
			for _, x := range m {
				if x.Learner {
					x.Learner = false
					m, promoted = m.With(x), true
				}
			}
			if !promoted {
				return m
			}
			continue
		}
		changed := 0
		for _, x := range m {
			if y, ok := next.Find(x.ID); !x.Learner && (!ok || y.Learner) {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%d voters change in one step: %v to %v", changed, m, next)
		}
		m = next
	}
	t.Fatalf("changes are still due after 50 rounds: %v", m)
	return nil
}

func memberIDs(m raft.Members) []uint64 {
	var r []uint64
	for _, x := range m {
		r = append(r, x.ID)
	}
	return r
}

// TestMembersAreReplaced checks which members a group of three ends up with when hosts are
// lost, retire, or register from an empty disk or at another address. A lost member
// stays as long as no host can replace it.
func TestMembersAreReplaced(t *testing.T) {
	store := Planner{Group: 1, MaxVoters: 3, MinVoters: 3, LostAfter: time.Second}
	control := Planner{MaxVoters: 7, MinVoters: 3, LostAfter: time.Second}
	three := raft.Members{host(1, "a").Member, host(2, "b").Member, host(3, "c").Member}
	lost := func(h Host) Host { h.SinceRegistration = time.Minute; return h }
	retiring := func(h Host) Host { h.Retiring = true; return h }
	tests := []struct {
		name    string
		planner Planner
		hosts   []Host
		want    []uint64
	}{
		{"all is well", store, []Host{host(1, "a"), host(2, "b"), host(3, "c"), host(4, "d")}, []uint64{1, 2, 3}},
		{"a lost one is replaced", store, []Host{lost(host(1, "a")), host(2, "b"), host(3, "c"), host(4, "d")}, []uint64{2, 3, 4}},
		{"one came back with an empty disk", store, []Host{host(2, "b"), host(3, "c"), host(9, "a")}, []uint64{2, 3, 9}},
		{"a lost one stays without a replacement", store, []Host{lost(host(1, "a")), host(2, "b"), host(3, "c")}, []uint64{1, 2, 3}},
		{"a retiring one is replaced", store, []Host{retiring(host(1, "a")), host(2, "b"), host(3, "c"), host(4, "d")}, []uint64{2, 3, 4}},
		{"a free availability zone goes first", store, []Host{lost(host(1, "a")), host(2, "b"), host(3, "c"), host(4, "b"), host(5, "c"), host(6, "d")}, []uint64{2, 3, 6}},
		{"control hosts all take part", control, []Host{host(1, "a"), host(2, "b"), host(3, "c"), host(4, "d"), host(5, "a")}, []uint64{1, 2, 3, 4, 5}},
		{"a control host at another address", control, []Host{lost(host(1, "a")), host(2, "b"), host(3, "c"), host(4, "a")}, []uint64{2, 3, 4}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			qt.Assert(t, memberIDs(applyChanges(t, &x.planner, three, x.hosts)), qt.DeepEquals, x.want)
		})
	}
}

// TestPlansKeepQuorum loses, returns and retires hosts at random and checks that changes
// never reduce the usable voters below MinVoters or what there were, that three voters
// remain, and that the changes come to an end.
func TestPlansKeepQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(3, 8).Draw(t, "hosts")
		var hosts []Host
		for i := range n {
			hosts = append(hosts, host(uint64(i+1), fmt.Sprint(i%3)))
		}
		p := &Planner{Group: uint32(random.IntN(5)), MaxVoters: 3, MinVoters: 3, LostAfter: time.Second}
		m := p.InitialMembers(hosts)
		if len(m) != 3 {
			t.Fatalf("initial members: %v", m)
		}
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			i := random.IntN(len(hosts))
			switch random.IntN(3) {
			case 0:
				hosts[i].SinceRegistration = time.Minute
			case 1:
				hosts[i].SinceRegistration = 0
			default:
				hosts[i].Retiring = random.IntN(4) == 0
			}
			before := len(p.usableVoters(m, hosts))
			m = applyChanges(t, p, m, hosts)
			if after := len(p.usableVoters(m, hosts)); after < min(before, p.MinVoters) {
				t.Fatalf("%d usable voters became %d", before, after)
			}
			if m.Voters() < 3 {
				t.Fatalf("%d voters remain", m.Voters())
			}
		}
	})
}

// TestLossOfAZone states what is guaranteed: wherever the hosts that are left allow it, a group ends up with
// members of which any one availability zone, and any two hosts with five voters, may be lost. It guards against
// a third voter in one zone, a spread that is not restored once hosts are back, and one that is never done.
func TestLossOfAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		var hosts []Host
		for i := range rapid.IntRange(voters, 15).Draw(t, "hosts") {
			hosts = append(hosts, host(uint64(i+1), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")))
		}
		p := &Planner{Group: rapid.Uint32Range(0, 9).Draw(t, "group"), MaxVoters: rapid.SampledFrom([]int{voters, 7}).Draw(t, "most"), MinVoters: voters, LostAfter: time.Second}
		m := applyChanges(t, p, p.InitialMembers(hosts)[:voters], hosts)
		check := func(when string) {
			var left []Host
			for _, h := range hosts {
				if h.SinceRegistration == 0 && !h.Retiring {
					left = append(left, h)
				}
			}
			if !p.CanSurviveZone(left) {
				return
			}
			if len(m) < voters || len(m) > p.MaxVoters || !p.SurvivesZone(m, hosts) {
				t.Fatalf("%s: %v of %v does not survive the loss of a zone", when, memberIDs(m), hosts)
			}
		}
		check("at first")
		for range rapid.IntRange(1, 10).Draw(t, "events") {
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				hosts[i].SinceRegistration = time.Minute
			case 1:
				hosts[i].Retiring = !hosts[i].Retiring
			case 2:
				zone, lost := hosts[i].AvailabilityZone, time.Duration(rapid.IntRange(0, 1).Draw(t, "lost"))*time.Minute
				for k := range hosts {
					if hosts[k].AvailabilityZone == zone {
						hosts[k].SinceRegistration = lost
					}
				}
			default:
				hosts[i].SinceRegistration = 0
			}
			m = applyChanges(t, p, m, hosts)
			check("after a change")
		}
	})
}

// TestZonesThatAllowNoSpread lists placements that cannot survive the loss of a zone, and checks that they are
// told apart from those that can.
func TestZonesThatAllowNoSpread(t *testing.T) {
	tests := []struct {
		name   string
		voters int
		zones  string
		want   bool
	}{
		{"one zone", 3, "aaaa", false},
		{"two zones", 3, "aabb", false},
		{"three zones", 3, "abc", true},
		{"five of two zones", 5, "aaabbb", false},
		{"five of three zones", 5, "aabbc", true},
		{"most in one zone", 5, "aaabc", false},
		{"all in different zones", 5, "abcde", true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			p := &Planner{MaxVoters: x.voters, MinVoters: x.voters, LostAfter: time.Second}
			var hosts []Host
			for i, zone := range x.zones {
				hosts = append(hosts, host(uint64(i+1), string(zone)))
			}
			qt.Assert(t, p.CanSurviveZone(hosts), qt.Equals, x.want)
			qt.Assert(t, p.SurvivesZone(p.InitialMembers(hosts), hosts), qt.Equals, x.want)
		})
	}
}
