package raft

import (
	"time"
)

// updateConfirmedAt advances the send time of the newest messages that a quorum
// replied to.
func (c *core) updateConfirmedAt() {
	t := quorumReplyTime(c.members, c.id, c.clock.Now(), c.peers)
	if t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

// leaseExpiry returns the time until which no other replica can be elected: a quorum
// grants no vote for an election timeout after it received messages that were sent at
// confirmedAt. The lease is shortened because the leader's clock may be slow and the
// voters' clocks fast, each by the drift.
func (c *core) leaseExpiry() time.Time {
	if c.phase != Leader || c.transferee != 0 {
		return time.Time{}
	}
	c.updateConfirmedAt()
	return c.confirmedAt.Add(time.Duration(float64(c.electionTimeout) * (1 - c.drift) / (1 + c.drift)))
}

// holdsLease reports whether the leader may serve reads without a round to a quorum.
func (c *core) holdsLease() bool {
	return c.commitIndex >= c.noopIndex && c.clock.Now().Before(c.leaseExpiry()) && c.confirmedSinceElection()
}

// confirmedSinceElection reports whether a quorum has replied to this leader. A new
// leader sets confirmedAt to its election, before any reply, so that it does not step
// down at once; that value must not grant a lease. A single voter needs no reply.
func (c *core) confirmedSinceElection() bool {
	return c.members.Quorum() == 1 || c.confirmedAt.After(c.electedAt)
}

// transfer begins to transfer leadership to the voter with the highest match index
// among those that have replied within an election timeout.
func (c *core) transfer() {
	if c.phase != Leader || c.transferee != 0 {
		return
	}
	var best Member
	for _, m := range c.members {
		p := c.peers[m.ID]
		if m.ID == c.id || m.Learner || p == nil || c.clock.Now().Sub(p.ackedSendTime) > c.electionTimeout {
			continue
		}
		if best.ID == 0 || p.matchIndex > c.peers[best.ID].matchIndex {
			best = m
		}
	}
	if best.ID == 0 {
		return
	}
	c.transferee = best.ID
	c.transferStartedAt = c.clock.Now()
	c.sendTimeoutNow()
}

// sendTimeoutNow asks the transferee to start an election if it holds all entries.
func (c *core) sendTimeoutNow() {
	m, ok := c.members.Find(c.transferee)
	if ok && c.peers[m.ID].matchIndex == c.raftLog.last() {
		c.sendImmediately(m, Message{Kind: TimeoutNow, Term: c.term})
	}
}
