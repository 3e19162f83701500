package raft

import (
	"slices"
	"time"
)

// sender returns the member to reply to, which need not be in the membership yet.
func sender(m Message) Member { return Member{ID: m.From, Address: m.FromAddress} }

// step handles one message from a peer. It drops messages for another group or replica,
// and those of a member's ID with another incarnation.
func (c *core) step(m Message) {
	if m.Group != c.group || m.To != c.id {
		return
	}
	from, known := c.members.Find(m.From)
	if known && from.Incarnation != m.FromIncarnation {
		return
	}
	if m.Term > c.term && c.raisesTerm(m) {
		c.becomeFollower(m.Term, 0)
	}
	switch m.Kind {
	case PreVote, Vote:
		c.onVoteRequest(m)
	case PreVoteReply, VoteReply:
		c.onVoteReply(m, known)
	case Append:
		c.onAppend(m)
	case Chunk:
		c.onChunk(m)
	case AppendReply, ChunkReply:
		c.onReply(m)
	case TimeoutNow:
		if m.Term == c.term && c.voter() {
			c.campaign(Candidate, true)
		}
	}
}

// raisesTerm reports whether a message of a higher term makes the replica adopt that
// term. Pre-votes and granted pre-votes do not, since their term has not begun; nor do
// vote requests, unless forced, while a leader can still hold a lease.
func (c *core) raisesTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		return false
	case PreVoteReply:
		return m.Reject
	case Vote:
		return m.Forced || !c.leaseMayBeActive()
	default:
		return true
	}
}

// leaseMayBeActive reports whether the leader may still hold a lease that rests on a
// reply of this replica.
func (c *core) leaseMayBeActive() bool {
	if c.phase == Leader {
		c.updateConfirmedAt()
		return c.clock.Now().Sub(c.confirmedAt) < c.electionTimeout
	}
	return c.clock.Now().Sub(c.leaderContactAt) < c.electionTimeout
}

// onVoteRequest grants a vote or pre-vote if this replica is a voter, the candidate's log
// is up to date and no leader can still hold a lease; a forced vote ignores the lease. A
// vote also requires that the replica has not voted for another candidate in the term.
func (c *core) onVoteRequest(m Message) {
	reply := Message{Kind: PreVoteReply, Term: m.Term}
	if m.Kind == Vote {
		reply.Kind = VoteReply
	}
	upToDate := m.LogTerm > c.raftLog.lastTerm() || (m.LogTerm == c.raftLog.lastTerm() && m.Index >= c.raftLog.last())
	voteAvailable := m.Kind == PreVote || c.votedFor == 0 || c.votedFor == m.From
	grant := c.voter() && upToDate && voteAvailable && m.Term >= c.term && (m.Forced || !c.leaseMayBeActive())
	if m.Kind == PreVote && m.Term <= c.term {
		grant = false
	}
	if !grant {
		reply.Reject = true
		reply.Term = c.term
	} else if m.Kind == Vote {
		c.votedFor = m.From
		c.hardStateChanged = true
		c.sawLeader = true // the candidate may become one
		c.resetElectionTimer()
	}
	if m.Kind == PreVote {
		if c.idleSinceStart() && c.voter() {
			reply.Idle, reply.Index, reply.LogTerm = &IdleState{c.term}, c.raftLog.last(), c.raftLog.lastTerm()
		}
		c.sendImmediately(sender(m), reply) // a pre-vote depends on no durable state
		return
	}
	c.sendAfterSync(sender(m), reply)
}

// onVoteReply counts a vote or pre-vote that a member granted.
func (c *core) onVoteReply(m Message, known bool) {
	if known && m.Kind == PreVoteReply {
		c.onIdleReply(m)
	}
	wantPhase := Candidate
	term := c.term
	if m.Kind == PreVoteReply {
		wantPhase = PreCandidate
		term++
	}
	if !known || c.phase != wantPhase || m.Reject || m.Term != term {
		return
	}
	c.votes[m.From] = true
	c.countVotes(false)
}

// recordLeaderContact records a message from the leader of the current term.
func (c *core) recordLeaderContact(m Message) {
	c.assert(c.phase != Leader, "two leaders in term %d: %d and %d", c.term, c.id, m.From)
	if c.phase != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.leaderContactAt = c.clock.Now()
	c.sawLeader = true
	c.resetElectionTimer()
}

// onAppend appends the leader's entries and replies with the last index that matches its
// log, or with a rejection.
func (c *core) onAppend(m Message) {
	if m.Term < c.term {
		c.sendAfterSync(sender(m), Message{Kind: AppendReply, Term: c.term, Reject: true, Echo: m.Clock})
		return
	}
	c.recordLeaderContact(m)
	reply := Message{Kind: AppendReply, Term: c.term, Echo: m.Clock}
	if !c.tryAppend(m) {
		reply.Reject = true
		reply.Index = min(c.raftLog.last(), max(m.Index, 1)-1)
		c.sendAfterSync(sender(m), reply)
		return
	}
	reply.Index = max(m.Index+uint64(len(m.Entries)), c.raftLog.base.Index)
	c.raiseCommit(min(m.Commit, reply.Index))
	c.recordFreshness(m)
	if len(m.Entries) == 0 && c.durableTerm == c.term {
		// The reply to a heartbeat does not wait for a slow disk, so it acknowledges
		// only entries that are already synced.
		reply.Index = min(reply.Index, c.syncedIndex)
		c.sendImmediately(sender(m), reply)
		return
	}
	c.sendAfterSync(sender(m), reply)
}

// tryAppend appends the message's entries, replacing any that conflict. It reports false
// if the log does not hold the entry before them.
func (c *core) tryAppend(m Message) bool {
	entries := m.Entries
	prev := m.Index
	if prev < c.raftLog.base.Index {
		skip := int(min(c.raftLog.base.Index-prev, uint64(len(entries))))
		entries = entries[skip:]
		if len(entries) == 0 {
			return true
		}
	} else if prev > c.raftLog.last() || c.raftLog.termAt(prev) != m.LogTerm {
		return false
	}
	for i, e := range entries {
		if e.Index <= c.raftLog.last() {
			if c.raftLog.termAt(e.Index) == e.Term {
				continue
			}
			c.assert(e.Index > c.commitIndex, "truncating committed entry %d", e.Index)
			c.raftLog.truncate(e.Index)
			c.syncedIndex, c.writingIndex = min(c.syncedIndex, e.Index-1), min(c.writingIndex, e.Index-1)
			c.refreshMembers()
		}
		c.recordTermStart(entries[len(entries)-1].Term)
		c.raftLog.append(entries[i:]...)
		c.adoptMembers(entries[i:])
		break
	}
	return true
}

// raiseCommit raises the commit index to index.
func (c *core) raiseCommit(index uint64) {
	if index > c.commitIndex {
		c.commitIndex = index
	}
}

// recordFreshness bounds the age of the follower's state. The leader echoes a time by the
// follower's own clock; less QuorumAge, it is no later than the time at which a quorum
// confirmed that the leader's commit index was current.
func (c *core) recordFreshness(m Message) {
	if m.Echo == 0 {
		return
	}
	echoed, ok := c.echoedTime(m.Echo)
	if !ok {
		return
	}
	at := echoed.Add(-m.QuorumAge)
	if at.After(c.fresh.pendingAt) {
		c.fresh.pendingAt = at
		c.fresh.pendingCommit = m.Commit
	}
}

// freshAt returns a time at which a quorum confirmed the state that is applied up to the
// given index.
func (c *core) freshAt(applied uint64) time.Time {
	if c.phase == Leader {
		c.updateConfirmedAt()
		if applied >= c.noopIndex && applied >= c.commitIndex && c.confirmedSinceElection() {
			c.fresh.at = c.confirmedAt
		}
		return c.fresh.at
	}
	if applied >= c.fresh.pendingCommit && c.fresh.pendingAt.After(c.fresh.at) {
		c.fresh.at = c.fresh.pendingAt
	}
	return c.fresh.at
}

// onChunk stores a snapshot chunk and installs the snapshot once it is complete.
func (c *core) onChunk(m Message) {
	if m.Term < c.term {
		return
	}
	c.recordLeaderContact(m)
	reply := Message{Kind: ChunkReply, Term: c.term, Echo: m.Clock, Snapshot: SnapshotMeta{Index: m.Snapshot.Index}}
	if m.Snapshot.Index <= c.commitIndex {
		reply.Index = c.commitIndex
		c.sendAfterSync(sender(m), reply)
		return
	}
	next, err := c.snapshots.WriteChunk(m.Snapshot, m.Offset, m.Data)
	if err != nil {
		c.logger.WithError(err).Error("writing a snapshot chunk failed")
		return
	}
	reply.Offset = next
	if next == m.Snapshot.Size {
		c.install(m.Snapshot)
		reply.Index = m.Snapshot.Index
	}
	c.sendAfterSync(sender(m), reply)
}

// install replaces the log by a complete snapshot; the state machine is restored from it
// later, before the log is written.
func (c *core) install(meta SnapshotMeta) {
	c.recordTermStart(meta.Term)
	c.raftLog = newEntryLog(meta, nil)
	c.commitIndex = meta.Index
	c.syncedIndex, c.writingIndex = meta.Index, 0
	c.refreshMembers()
	c.installedSnapshot = &meta
	c.logger.WithField("index", meta.Index).Info("snapshot installed")
}

// onReply records the peer's contact and handles the acknowledgment.
func (c *core) onReply(m Message) {
	p := c.peers[m.From]
	if c.phase != Leader || m.Term != c.term || p == nil {
		return
	}
	if sentAt, ok := c.echoedTime(m.Echo); ok && sentAt.After(p.ackedSendTime) {
		p.ackedSendTime = sentAt
	}
	p.peerClock = m.Clock
	p.heartbeatsSinceReply = 0
	member, _ := c.members.Find(m.From)
	if m.Kind == ChunkReply {
		c.onChunkReply(member, p, m)
		return
	}
	c.onAppendReply(member, p, m)
}

// onAppendReply advances the peer's match index, or resends from an earlier entry after
// a rejection.
func (c *core) onAppendReply(member Member, p *progress, m Message) {
	if m.Reject {
		p.inFlight = false
		p.nextIndex = max(p.matchIndex, m.Index) + 1
		c.sendAppend(member, false)
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.inFlight = false
		p.nextIndex = max(p.nextIndex, m.Index+1)
		c.advanceLeaderCommit()
	}
	if p.nextIndex <= p.matchIndex {
		p.nextIndex = p.matchIndex + 1
	}
	if c.transferee == member.ID {
		c.sendTimeoutNow()
	}
	if !p.inFlight && p.nextIndex <= c.raftLog.last() {
		c.sendAppend(member, false)
	}
}

// onChunkReply sends the next chunk, or entries again once the peer has the snapshot.
func (c *core) onChunkReply(member Member, p *progress, m Message) {
	if m.Snapshot.Index != p.snapshotIndex {
		return
	}
	p.inFlight = false
	p.snapshotOffset = m.Offset
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.nextIndex = m.Index + 1
	}
	if m.Index >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	c.sendAppend(member, false)
}

// advanceLeaderCommit raises the commit index to the last entry that a majority has
// synced, if that entry is of the current term: a later leader could overwrite an
// entry of an earlier term that a majority holds.
func (c *core) advanceLeaderCommit() {
	matches := make([]uint64, 0, len(c.members))
	for _, m := range c.members {
		switch {
		case m.Learner:
		case m.ID == c.id:
			matches = append(matches, c.syncedIndex)
		default:
			matches = append(matches, c.peers[m.ID].matchIndex)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.members.Quorum()]
	if index > c.commitIndex && c.raftLog.termAt(index) == c.term {
		c.commitIndex = index
	}
}

// quorumReplyTime returns the newest send time such that a majority of the voters,
// counting the leader, has replied to messages sent then or later.
func quorumReplyTime(members Members, self uint64, now time.Time, peers map[uint64]*progress) time.Time {
	times := make([]time.Time, 0, len(members))
	for _, m := range members {
		switch {
		case m.Learner:
		case m.ID == self:
			times = append(times, now)
		default:
			times = append(times, peers[m.ID].ackedSendTime)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-members.Quorum()]
}
