package raft

import (
	"cmp"
	"time"
)

// After a loss of power all replicas of a group restart. Each must assume that a leader
// holds a lease that rests on its reply from before, and grants no vote for an election
// timeout. A leader is one of the voters, though, and a restart ends its lease: when every
// voter says that it has restarted and has heard no leader since, no lease exists, and an
// election need not wait.

// idleReply is what a voter that heard no leader since its start says of its log.
type idleReply struct {
	term, logTerm, index uint64
}

// idleSinceStart reports whether the replica neither heard nor elected a leader since its
// start, and is not a candidate that could become one.
func (c *core) idleSinceStart() bool {
	return !c.sawLeader && (c.phase == Follower || c.phase == PreCandidate)
}

// askIdlePeriod is the time after its start for which an idle replica asks the others. Hosts
// that lost power together start within less.
const askIdlePeriod = 3 * time.Second

// askIdle asks the other voters whether they are idle since their start, as long as the
// replica is.
func (c *core) askIdle(now time.Time) {
	if !c.idleSinceStart() || !c.voter() || c.members.Quorum() == 1 || now.Sub(c.startedAt) >= askIdlePeriod {
		return
	}
	for _, m := range c.members {
		if m.ID != c.id && !m.Learner {
			// The reply says it, whether or not it grants the pre-vote.
			c.sendImmediately(m, Message{Kind: PreVote, Term: c.term + 1, Index: c.raftLog.last(), LogTerm: c.raftLog.lastTerm()})
		}
	}
}

// onIdleReply records a voter that is idle since its start. Once all voters are, in the
// same term, the one with the most complete log and the lowest ID starts an election. In
// the same term, because a voter of an earlier one could still be elected in this term.
func (c *core) onIdleReply(m Message) {
	if m.Idle == nil || !c.idleSinceStart() || !c.voter() {
		return
	}
	c.idle[m.From] = idleReply{term: m.Idle.Term, logTerm: m.LogTerm, index: m.Index}
	for _, x := range c.members {
		if x.ID == c.id || x.Learner {
			continue
		}
		r, ok := c.idle[x.ID]
		if !ok || r.term != c.term || c.yieldsTo(x.ID, r) {
			return
		}
	}
	c.logger.WithField("term", c.term).Info("all voters restarted, asking for votes")
	c.campaign(Candidate, true)
}

// yieldsTo reports whether the other voter is to start the election.
func (c *core) yieldsTo(other uint64, r idleReply) bool {
	return cmp.Or(cmp.Compare(r.logTerm, c.raftLog.lastTerm()), cmp.Compare(r.index, c.raftLog.last()), cmp.Compare(c.id, other)) > 0
}
