// Package placement decides which hosts replicate a group: it adds, replaces and empties members one change at a time.
package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// Host is a host that may replicate groups.
type Host struct {
	Member           raft.Member
	AvailabilityZone string
	// SinceRegistration is how long ago the host was last heard.
	SinceRegistration   time.Duration
	Retiring bool
}

// Planner plans the membership of one group.
type Planner struct {
	Group uint32
	// MaxVoters is the number of voters to reach if there are enough hosts.
	MaxVoters int
	// MinVoters is the number of usable voters that must remain when a lost or
	// retiring one is taken out.
	MinVoters int
	// LostAfter is the silence after which a host counts as lost.
	LostAfter time.Duration
}

// Next returns the membership that differs by the next change, or false if none
// is due. The slices are not changed.
func (p *Planner) Next(members raft.Members, hosts []Host) (raft.Members, bool) {
	if id, ok := p.badLearner(members, hosts); ok {
		return members.Without(id), true
	}
	usable := p.usableVoters(members, hosts)
	if len(members) > members.Voters() {
		// A learner still catches up; it is promoted by the group itself.
		return nil, false
	}
	if len(usable) < p.MaxVoters {
		if h, ok := p.candidate(members, hosts); ok {
			h.Member.Learner = true
			return members.With(h.Member), true
		}
	}
	for _, m := range members {
		if _, ok := usable[m.ID]; !ok && len(usable) >= p.MinVoters {
			return members.Without(m.ID), true
		}
	}
	return nil, false
}

func find(hosts []Host, m raft.Member) (Host, bool) {
	i := slices.IndexFunc(hosts, func(h Host) bool { return h.Member.ID == m.ID && h.Member.Incarnation == m.Incarnation })
	if i < 0 {
		return Host{}, false
	}
	return hosts[i], true
}

func (p *Planner) lost(h Host, known bool) bool { return !known || h.SinceRegistration > p.LostAfter }

// badLearner finds a learner that was lost or retires while it caught up.
func (p *Planner) badLearner(members raft.Members, hosts []Host) (uint64, bool) {
	for _, m := range members {
		h, ok := find(hosts, m)
		if m.Learner && (p.lost(h, ok) || h.Retiring) {
			return m.ID, true
		}
	}
	return 0, false
}

// usableVoters returns the voters that are to stay.
func (p *Planner) usableVoters(members raft.Members, hosts []Host) map[uint64]Host {
	r := map[uint64]Host{}
	for _, m := range members {
		if h, ok := find(hosts, m); !m.Learner && !p.lost(h, ok) && !h.Retiring {
			r[m.ID] = h
		}
	}
	return r
}

// candidate chooses the host to add: in an availability zone that has no usable
// voter if possible, then by rendezvous hash, so that groups spread over hosts.
func (p *Planner) candidate(members raft.Members, hosts []Host) (Host, bool) {
	zones := map[string]bool{}
	for _, h := range p.usableVoters(members, hosts) {
		zones[h.AvailabilityZone] = true
	}
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

func (p *Planner) better(a, b Host, zones map[string]bool) bool {
	if x, y := zones[a.AvailabilityZone], zones[b.AvailabilityZone]; x != y {
		return y
	}
	return p.rank(a) > p.rank(b)
}

func (p *Planner) rank(h Host) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, h.Member.ID)
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(b, p.Group))
}

// InitialMembers chooses the first members of the group among hosts, all as voters. The
// same hosts give the same members everywhere.
func (p *Planner) InitialMembers(hosts []Host) raft.Members {
	var members raft.Members
	for len(members) < p.MaxVoters {
		h, ok := p.candidate(members, hosts)
		if !ok {
			break
		}
		members = members.With(h.Member)
	}
	return members
}
