package placement

import (
	"maps"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// maxInZone returns the most of n voters that one availability zone may have so that the others are a
// majority without it.
func maxInZone(n int) int { return (n - 1) / 2 }

// voterZones counts the usable voters by availability zone.
func voterZones(usable map[uint64]Host) map[string]int {
	r := map[string]int{}
	for _, h := range usable {
		r[h.AvailabilityZone]++
	}
	return r
}

// fullest returns the highest count.
func fullest(zones map[string]int) int {
	most := 0
	for _, n := range zones {
		most = max(most, n)
	}
	return most
}

// survive reports whether the voters in these zones keep their majority when any one of the zones is lost.
func survive(zones map[string]int) bool {
	n := 0
	for _, k := range zones {
		n += k
	}
	return fullest(zones) <= maxInZone(n)
}

// fewerSurvive reports whether MinVoters or more of the voters would survive the loss of a zone, without others of
// the fullest zones.
func (p *Planner) fewerSurvive(zones map[string]int) bool {
	left := maps.Clone(zones)
	n := 0
	for _, k := range left {
		n += k
	}
	for ; n > p.MinVoters && !survive(left); n-- {
		most := fullest(left)
		for zone, k := range left {
			if k == most {
				left[zone]--
				break
			}
		}
	}
	return survive(left)
}

// maxSpreadSteps is how many hosts may be added before the voters survive the loss of a zone: with a fourth voter
// in one of three zones they do not, with a fifth in another one they do.
const maxSpreadSteps = 2

// shouldAdd reports whether the host that hostToAdd returns is to be added to a group with fewer than MaxVoters usable
// voters. Beyond MinVoters it is not if the group survives the loss of a zone only without it.
func (p *Planner) shouldAdd(members raft.Members, hosts []Host) bool {
	usable := p.usableVoters(members, hosts)
	if len(usable) < p.MinVoters {
		return true
	}
	zones := voterZones(usable)
	more := members
	for range min(maxSpreadSteps, p.MaxVoters-len(usable)) {
		h, ok := p.hostToAdd(more, hosts)
		if !ok {
			break
		}
		more = more.With(h.Member)
		if survive(voterZones(p.usableVoters(more, hosts))) {
			return true
		}
	}
	return !survive(zones) && !p.fewerSurvive(zones)
}

// SurvivesZone reports whether the usable voters of a group keep a majority of it when any one availability
// zone is lost.
func (p *Planner) SurvivesZone(members raft.Members, hosts []Host) bool {
	usable := p.usableVoters(members, hosts)
	return len(usable)-fullest(voterZones(usable)) >= members.Quorum()
}

// CanSurviveZone reports whether hosts, some of them perhaps retiring, suffice for a group of MinVoters of which
// the loss of any one availability zone leaves a majority.
func (p *Planner) CanSurviveZone(hosts []Host) bool {
	zones := map[string]int{}
	for _, h := range hosts {
		if !h.Retiring {
			zones[h.AvailabilityZone]++
		}
	}
	usable := 0
	for _, n := range zones {
		usable += min(n, maxInZone(p.MinVoters))
	}
	return usable >= p.MinVoters
}

// hostToSpread returns a host that improves the spread of a group with MaxVoters usable voters, if the loss of one
// availability zone would take its majority: once the host is a voter, one of the fullest zone is removed.
func (p *Planner) hostToSpread(members raft.Members, hosts []Host) (Host, bool) {
	usable := p.usableVoters(members, hosts)
	zones := voterZones(usable)
	if len(usable) != p.MaxVoters || fullest(zones) <= maxInZone(len(usable)) {
		return Host{}, false
	}
	h, ok := p.hostToAdd(members, hosts)
	// With less than two fewer voters in its zone, the zones would only change places.
	return h, ok && zones[h.AvailabilityZone] <= fullest(zones)-2
}

// voterToRemove returns a voter in excess of MaxVoters, or one beyond MinVoters without which the group survives the
// loss of an availability zone: in the fullest zone, the one with the lowest rendezvous hash.
func (p *Planner) voterToRemove(members raft.Members, usable map[uint64]Host) (uint64, bool) {
	zones := voterZones(usable)
	if len(usable) <= p.MaxVoters && (len(usable) <= p.MinVoters || survive(zones) || !p.fewerSurvive(zones)) {
		return 0, false
	}
	var worst Host
	found := false
	for _, m := range members {
		h, ok := usable[m.ID]
		if !ok || zones[h.AvailabilityZone] < fullest(zones) {
			continue
		}
		if !found || p.rendezvous(h) < p.rendezvous(worst) {
			worst, found = h, true
		}
	}
	return worst.Member.ID, found
}
