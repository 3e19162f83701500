package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// busiestCount is the number of workspaces in a snapshot.
const busiestCount = 8

// ServiceSnapshot is the state of a service at one entry, for operators. Counts begin when the
// entry starts.
type ServiceSnapshot struct {
	Service string
	// Contended says that recent requests found no free slot, WithoutSlot what share of them.
	Contended   bool
	WithoutSlot float64
	// SentFree counts requests that were sent with a free slot, SentWaiting with a wait that fits,
	// SentUnknown without an offer, and SentGuaranteed those sent although they did not fit, because
	// their workspace had been refused for long.
	SentFree, SentWaiting, SentUnknown, SentGuaranteed uint64
	// RefusedWait counts requests that did not fit at any rank, RefusedRank and RefusedShare those that
	// did not for their rank or their workspace's use, and RefusedLate those without an offer.
	RefusedWait, RefusedRank, RefusedShare, RefusedLate uint64
	// WithoutRetry counts the refusals for which no room was expected before the deadline.
	WithoutRetry uint64
	// ServedPerSecond is the rate that this entry is served under contention, and Period that of the
	// wave; both are 0 if unknown.
	ServedPerSecond float64
	Period          time.Duration
	// UsualFirstEvent and UsualAnswer are the usual times to the first event and to the end.
	UsualFirstEvent, UsualAnswer time.Duration
	// Margin is the part of the wait that fits the objective which requests are sent with.
	Margin float64
	Ranks  []RankSnapshot
	// Busiest are the workspaces with the most recent use.
	Busiest []WorkspaceSnapshot
}

// RankSnapshot counts the requests of one rank.
type RankSnapshot struct {
	Rank          int
	Sent, Refused uint64
}

// WorkspaceSnapshot is the recent use of a workspace.
type WorkspaceSnapshot struct {
	Workspace string
	// Use is the number of recent requests, and Share the max-min fair one; 0 means that nothing is
	// divided. Both decay with a time constant of 2 s.
	Use, Share float64
	InFlight   int
	// Limited says that a recent request was refused because of the use.
	Limited bool
	// Sent and Refused count since the workspace was last idle for 30 s.
	Sent, Refused uint64
}

// Snapshot returns the state of all services, by name.
func (p *Policy) Snapshot() []ServiceSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	r := make([]ServiceSnapshot, 0, len(p.services))
	for _, s := range p.services {
		s.advance(now)
		r = append(r, s.snapshot(now))
	}
	slices.SortFunc(r, func(a, b ServiceSnapshot) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

// snapshot returns the state of the service.
func (s *service) snapshot(now time.Duration) ServiceSnapshot {
	x := ServiceSnapshot{
		Service: s.name, Contended: s.contended, WithoutSlot: s.contention, WithoutRetry: s.withoutRetry, Margin: s.margin,
		SentFree: s.outcomes[sentFree], SentWaiting: s.outcomes[sentWaiting], SentUnknown: s.outcomes[sentUnknown], SentGuaranteed: s.outcomes[sentGuaranteed],
		RefusedWait: s.outcomes[refusedWait], RefusedRank: s.outcomes[refusedRank], RefusedShare: s.outcomes[refusedShare], RefusedLate: s.outcomes[refusedLate],
		ServedPerSecond: s.served / bucketLength.Seconds(), Period: time.Duration(s.period) * bucketLength,
		UsualFirstEvent: seconds(s.usualFirstEvent), UsualAnswer: seconds(s.usualAnswer),
		Busiest: s.busiest(now),
	}
	for _, k := range s.ranks[:s.rankCount] {
		x.Ranks = append(x.Ranks, RankSnapshot{Rank: k.rank, Sent: k.sent, Refused: k.refusedTotal})
	}
	slices.SortFunc(x.Ranks, func(a, b RankSnapshot) int { return cmp.Compare(a.Rank, b.Rank) })
	return x
}

// busiest returns the workspaces with the most recent use.
func (s *shares) busiest(now time.Duration) []WorkspaceSnapshot {
	s.updateLevel(now)
	s.outdated = false
	byUse := func(a, b *workspace) int { return cmp.Or(cmp.Compare(b.use, a.use), cmp.Compare(a.name, b.name)) }
	// Inserting keeps the list short, so that thousands of workspaces are neither copied nor sorted.
	top := make([]*workspace, 0, busiestCount+1)
	for _, w := range s.list {
		i, _ := slices.BinarySearchFunc(top, w, byUse)
		if i < busiestCount {
			top = slices.Insert(top, i, w)[:min(len(top)+1, busiestCount)]
		}
	}
	r := make([]WorkspaceSnapshot, 0, len(top))
	for _, w := range top {
		x := WorkspaceSnapshot{
			Workspace: w.name, Use: w.use, InFlight: w.inFlight, Limited: now < w.limitedUntil, Sent: w.sent, Refused: w.refusedTotal,
		}
		if !math.IsInf(s.level, 1) {
			x.Share = s.level * w.weight
		}
		r = append(r, x)
	}
	return r
}
