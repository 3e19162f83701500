package raft

import (
	"time"
)

// updateConfirmed recomputes when a quorum last answered the leader.
func (c *core) updateConfirmed() {
	t := quorumTime(c.members, c.id, c.clock.Now(), c.peers)
	if t.After(c.confirmed) {
		c.confirmed = t
	}
}

// lease returns until when no other replica can have been elected.
func (c *core) lease() time.Time {
	if c.phase != Leader || c.transferee != 0 {
		return time.Time{}
	}
	c.updateConfirmed()
	return c.confirmed.Add(time.Duration(float64(c.electionTimeout) * (1 - c.drift) / (1 + c.drift)))
}

// leased reports whether the leader may serve reads and grants without asking a quorum.
func (c *core) leased() bool {
	return c.commit >= c.noopIndex && c.clock.Now().Before(c.lease()) && c.leaseCounts()
}

// leaseCounts excludes the optimistic confirmation that a new leader starts with.
func (c *core) leaseCounts() bool {
	return c.members.Quorum() == 1 || c.confirmed.After(c.electedAt)
}

// transfer hands leadership to the most advanced voter.
func (c *core) transfer() {
	if c.phase != Leader || c.transferee != 0 {
		return
	}
	var best Member
	for _, m := range c.members {
		p := c.peers[m.ID]
		if m.ID == c.id || m.Learner || p == nil || c.clock.Now().Sub(p.acked) > c.electionTimeout {
			continue
		}
		if best.ID == 0 || p.match > c.peers[best.ID].match {
			best = m
		}
	}
	if best.ID == 0 {
		return
	}
	c.transferee = best.ID
	c.transferAt = c.clock.Now()
	c.finishTransfer()
}

func (c *core) finishTransfer() {
	m, ok := c.members.Find(c.transferee)
	if ok && c.peers[m.ID].match == c.entries.last() {
		c.sendEarly(m, Message{Kind: TimeoutNow, Term: c.term})
	}
}
