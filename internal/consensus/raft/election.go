package raft

import (
	"time"
)

// tick advances timers.
func (c *core) tick() {
	now := c.clock.Now()
	if c.phase == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.deadline) {
		return
	}
	c.resetElection()
	if c.voter() && !c.diskStuck(now) {
		if c.phase == Follower {
			c.logger.WithField("term", c.term).WithField("leader", c.leader).WithField("silent", now.Sub(c.contact).String()).Info("leader not heard, asking for votes")
		}
		c.campaign(PreCandidate, false)
	}
}

// diskStuck reports whether the replica's disk is too slow for it to lead.
func (c *core) diskStuck(now time.Time) bool {
	return !c.writingSince.IsZero() && now.Sub(c.writingSince) > stuckWrite
}

func (c *core) tickLeader(now time.Time) {
	c.updateConfirmed()
	// A transfer that failed ends in stepping down: its message may still arrive
	// and void the lease, so this term cannot resume.
	transferFailed := c.transferee != 0 && now.Sub(c.transferAt) > c.electionTimeout
	if now.Sub(c.confirmed) > c.electionTimeout || transferFailed || c.removed() || c.diskStuck(now) {
		c.becomeFollower(c.term, 0)
		return
	}
	if now.Before(c.nextBeat) {
		return
	}
	c.nextBeat = now.Add(c.heartbeatInterval)
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		p := c.peers[m.ID]
		p.beats++
		if p.beats >= resendAfter {
			p.inflight = false
		}
		c.sendAppend(m, true)
	}
	c.promoteLearner()
}

func (c *core) campaign(p Phase, forced bool) {
	c.phase = p
	c.leader = 0
	c.votes = map[uint64]bool{c.id: true}
	kind := PreVote
	term := c.term + 1
	if p == Candidate {
		kind = Vote
		c.term = term
		c.vote = c.id
		c.dirty = true
	}
	c.resetElection()
	if c.members.Quorum() == 1 {
		c.countVotes(forced)
		return
	}
	for _, m := range c.members {
		if m.ID == c.id || m.Learner {
			continue
		}
		x := Message{Kind: kind, Term: term, Index: c.entries.last(), LogTerm: c.entries.lastTerm(), Forced: forced}
		if kind == PreVote {
			c.sendEarly(m, x) // it promises nothing
		} else {
			c.send(m, x)
		}
	}
}

func (c *core) countVotes(forced bool) {
	n := 0
	for _, m := range c.members {
		if !m.Learner && c.votes[m.ID] {
			n++
		}
	}
	if n < c.members.Quorum() {
		return
	}
	if c.phase == PreCandidate {
		c.campaign(Candidate, forced)
		return
	}
	c.becomeLeader()
}

func (c *core) becomeLeader() {
	now := c.clock.Now()
	c.logger.WithField("term", c.term).Info("leading")
	c.phase = Leader
	c.leader = c.id
	c.confirmed = now
	c.electedAt = now
	c.nextBeat = now
	c.peers = map[uint64]*progress{}
	c.syncPeers()
	for _, p := range c.peers {
		p.acked = now.Add(-c.electionTimeout)
	}
	c.predecessorAt, c.predecessorTerm = c.lastTermAt, c.entries.lastTerm()
	c.noopIndex = c.append(EntryNoop, nil)
	c.tickLeader(now)
}
