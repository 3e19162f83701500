package raft

import (
	"time"
)

// tick checks the timers: heartbeats on the leader, the election on other replicas.
func (c *core) tick() {
	now := c.clock.Now()
	if c.phase == Leader {
		c.tickLeader(now)
		return
	}
	c.askIdle(now)
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionTimer()
	if c.voter() && !c.writeStalled(now) {
		if c.phase == Follower {
			c.logger.WithField("term", c.term).WithField("leader", c.leader).WithField("silent", now.Sub(c.leaderContactAt).String()).Info("leader not heard, asking for votes")
		}
		c.campaign(PreCandidate, false)
	}
}

// writeStalled reports whether the write in progress takes too long for this
// replica to lead.
func (c *core) writeStalled(now time.Time) bool {
	return !c.writeStartedAt.IsZero() && now.Sub(c.writeStartedAt) > stalledWriteTimeout
}

// tickLeader steps down where the leader must, and otherwise sends the heartbeats
// that are due.
func (c *core) tickLeader(now time.Time) {
	c.updateConfirmedAt()
	// Step down after a failed transfer: its TimeoutNow may still arrive and start
	// an election that ignores the lease, so this leader can never trust its lease
	// again in this term.
	transferFailed := c.transferee != 0 && now.Sub(c.transferStartedAt) > c.electionTimeout
	if now.Sub(c.confirmedAt) > c.electionTimeout || transferFailed || c.removed() || c.writeStalled(now) {
		c.becomeFollower(c.term, 0)
		return
	}
	if now.Before(c.nextHeartbeatAt) {
		return
	}
	c.nextHeartbeatAt = now.Add(c.heartbeatInterval)
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		p := c.peers[m.ID]
		p.heartbeatsSinceReply++
		if p.heartbeatsSinceReply >= resendAfterHeartbeats {
			p.inFlight = false
		}
		c.sendAppend(m, true)
	}
	c.promoteLearner()
}

// campaign asks the voters for pre-votes or votes. Forced votes ignore the lease of
// the current leader, which has itself asked for the election.
func (c *core) campaign(newPhase Phase, forced bool) {
	c.phase = newPhase
	c.leader = 0
	c.votes = map[uint64]bool{c.id: true}
	kind := PreVote
	term := c.term + 1
	if newPhase == Candidate {
		kind = Vote
		c.term = term
		c.votedFor = c.id
		c.hardStateChanged = true
	}
	c.resetElectionTimer()
	if c.members.Quorum() == 1 {
		c.countVotes(forced)
		return
	}
	for _, m := range c.members {
		if m.ID == c.id || m.Learner {
			continue
		}
		request := Message{Kind: kind, Term: term, Index: c.raftLog.last(), LogTerm: c.raftLog.lastTerm(), Forced: forced}
		if kind == PreVote {
			c.sendImmediately(m, request) // a pre-vote depends on no durable state
		} else {
			c.sendAfterSync(m, request)
		}
	}
}

// countVotes advances to the next phase if a quorum of the voters agrees.
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

// becomeLeader starts the term with a no-op entry: entries of earlier terms are
// committed only through an entry of the leader's own term.
func (c *core) becomeLeader() {
	now := c.clock.Now()
	c.logger.WithField("term", c.term).Info("leading")
	c.phase = Leader
	c.leader = c.id
	c.sawLeader = true
	c.confirmedAt = now
	c.electedAt = now
	c.nextHeartbeatAt = now
	c.peers = map[uint64]*progress{}
	c.syncPeers()
	for _, p := range c.peers {
		p.ackedSendTime = now.Add(-c.electionTimeout)
	}
	c.predecessorAt, c.predecessorTerm = c.lastTermReceivedAt, c.raftLog.lastTerm()
	c.noopIndex = c.append(EntryNoop, nil)
	c.tickLeader(now)
}
