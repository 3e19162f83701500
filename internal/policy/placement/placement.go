// Package placement plans which hosts replicate a group: it adds, replaces and removes members, one change at a time, so
// that the loss of an availability zone leaves a majority where the hosts allow that.
package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// Host is a host that may replicate groups, as last registered.
type Host struct {
	Member           raft.Member
	AvailabilityZone string
	// SinceRegistration is how long ago the host last registered. Registrations
	// are its heartbeats.
	SinceRegistration time.Duration
	// Retiring reports that the host is to leave all groups.
	Retiring bool
}

// Planner plans the membership of one group. A member counts as usable if its host is
// registered under the same incarnation, is not lost and is not retiring.
type Planner struct {
	Group uint32
	// MaxVoters is the number of usable voters up to which hosts are added.
	MaxVoters int
	// MinVoters is the number of usable voters that is required to remove a lost or
	// retiring voter.
	MinVoters int
	// LostAfter is the time without a registration after which a host counts as lost.
	LostAfter time.Duration
}

// Next returns the membership after the next change, or false if no change is due. It
// does not modify the slices.
func (p *Planner) Next(members raft.Members, hosts []Host) (raft.Members, bool) {
	if id, ok := p.unusableLearner(members, hosts); ok {
		return members.Without(id), true
	}
	usable := p.usableVoters(members, hosts)
	if len(members) > members.Voters() {
		// A learner is still catching up; the group itself promotes it.
		return nil, false
	}
	if len(usable) < p.MaxVoters {
		if h, ok := p.hostToAdd(members, hosts); ok && p.shouldAdd(members, hosts) {
			h.Member.Learner = true
			return members.With(h.Member), true
		}
	}
	for _, m := range members {
		if _, ok := usable[m.ID]; !ok && len(usable) >= p.MinVoters {
			return members.Without(m.ID), true
		}
	}
	if id, ok := p.voterToRemove(members, usable); ok {
		return members.Without(id), true
	}
	if h, ok := p.hostToSpread(members, hosts); ok {
		h.Member.Learner = true
		return members.With(h.Member), true
	}
	return nil, false
}

// findHost returns the host that is registered under the member's ID and incarnation.
func findHost(hosts []Host, m raft.Member) (Host, bool) {
	i := slices.IndexFunc(hosts, func(h Host) bool { return h.Member.ID == m.ID && h.Member.Incarnation == m.Incarnation })
	if i < 0 {
		return Host{}, false
	}
	return hosts[i], true
}

// lost reports whether the host is not registered or has not registered for more than
// LostAfter.
func (p *Planner) lost(h Host, known bool) bool { return !known || h.SinceRegistration > p.LostAfter }

// unusableLearner returns the ID of a learner whose host is lost or retiring.
func (p *Planner) unusableLearner(members raft.Members, hosts []Host) (uint64, bool) {
	for _, m := range members {
		h, ok := findHost(hosts, m)
		if m.Learner && (p.lost(h, ok) || h.Retiring) {
			return m.ID, true
		}
	}
	return 0, false
}

// usableVoters returns the hosts of the voters that are neither lost nor retiring, by ID.
func (p *Planner) usableVoters(members raft.Members, hosts []Host) map[uint64]Host {
	r := map[uint64]Host{}
	for _, m := range members {
		if h, ok := findHost(hosts, m); !m.Learner && !p.lost(h, ok) && !h.Retiring {
			r[m.ID] = h
		}
	}
	return r
}

// hostToAdd chooses the host to add: one in the availability zone with the fewest usable
// voters, then the one with the highest rendezvous hash, so that the groups
// spread over the hosts.
func (p *Planner) hostToAdd(members raft.Members, hosts []Host) (Host, bool) {
	zones := voterZones(p.usableVoters(members, hosts))
	best, found := Host{}, false
	for _, h := range hosts {
		if _, member := members.Find(h.Member.ID); member || h.Retiring || p.lost(h, true) {
			continue
		}
		if !found || p.better(h, best, zones) {
			best, found = h, true
		}
	}
	return best, found
}

// better reports whether a is to be added rather than b. zones counts the usable voters
// by availability zone.
func (p *Planner) better(a, b Host, zones map[string]int) bool {
	if x, y := zones[a.AvailabilityZone], zones[b.AvailabilityZone]; x != y {
		return x < y
	}
	return p.rendezvous(a) > p.rendezvous(b)
}

// rendezvous returns the rendezvous hash of the host for the group; the highest is
// preferred.
func (p *Planner) rendezvous(h Host) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, h.Member.ID)
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(b, p.Group))
}

// InitialMembers chooses the initial members of the group among the hosts, all as voters.
// The choice depends on the hosts and the group only, so that each process that has
// the same hosts computes the same members.
func (p *Planner) InitialMembers(hosts []Host) raft.Members {
	var members raft.Members
	for len(members) < p.MaxVoters {
		h, ok := p.hostToAdd(members, hosts)
		if !ok {
			break
		}
		members = members.With(h.Member)
	}
	return members
}
