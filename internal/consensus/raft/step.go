package raft

import (
	"slices"
	"time"
)

// sender returns whom to answer, also if it is not yet a known member.
func sender(m Message) Member { return Member{ID: m.From, Address: m.FromAddress} }

// step handles one message from a peer.
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

// raisesTerm reports whether a message of a higher term makes the replica
// follow it. Probes and votes that the lease forbids do not.
func (c *core) raisesTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		return false
	case PreVoteReply:
		return m.Reject
	case Vote:
		return m.Forced || !c.promised()
	default:
		return true
	}
}

// promised reports whether a leader may still hold a lease that this replica granted.
func (c *core) promised() bool {
	if c.phase == Leader {
		c.updateConfirmed()
		return c.clock.Now().Sub(c.confirmed) < c.electionTimeout
	}
	return c.clock.Now().Sub(c.contact) < c.electionTimeout
}

func (c *core) onVoteRequest(m Message) {
	reply := Message{Kind: PreVoteReply, Term: m.Term}
	if m.Kind == Vote {
		reply.Kind = VoteReply
	}
	upToDate := m.LogTerm > c.entries.lastTerm() || (m.LogTerm == c.entries.lastTerm() && m.Index >= c.entries.last())
	free := m.Kind == PreVote || c.vote == 0 || c.vote == m.From
	grant := c.voter() && upToDate && free && m.Term >= c.term && (m.Forced || !c.promised())
	if m.Kind == PreVote && m.Term <= c.term {
		grant = false
	}
	if !grant {
		reply.Reject = true
		reply.Term = c.term
	} else if m.Kind == Vote {
		c.vote = m.From
		c.dirty = true
		c.resetElection()
	}
	if m.Kind == PreVote {
		c.sendEarly(sender(m), reply) // it promises nothing
		return
	}
	c.send(sender(m), reply)
}

func (c *core) onVoteReply(m Message, known bool) {
	want := Candidate
	term := c.term
	if m.Kind == PreVoteReply {
		want = PreCandidate
		term++
	}
	if !known || c.phase != want || m.Reject || m.Term != term {
		return
	}
	c.votes[m.From] = true
	c.countVotes(false)
}

// heard records contact with the leader of the current term.
func (c *core) heard(m Message) {
	c.assert(c.phase != Leader, "two leaders in term %d: %d and %d", c.term, c.id, m.From)
	if c.phase != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.contact = c.clock.Now()
	c.resetElection()
}

func (c *core) onAppend(m Message) {
	if m.Term < c.term {
		c.send(sender(m), Message{Kind: AppendReply, Term: c.term, Reject: true, Echo: m.Clock})
		return
	}
	c.heard(m)
	reply := Message{Kind: AppendReply, Term: c.term, Echo: m.Clock}
	if !c.accept(m) {
		reply.Reject = true
		reply.Index = min(c.entries.last(), max(m.Index, 1)-1)
		c.send(sender(m), reply)
		return
	}
	reply.Index = max(m.Index+uint64(len(m.Entries)), c.entries.base.Index)
	c.advanceCommit(min(m.Commit, reply.Index))
	c.noteFreshness(m)
	if len(m.Entries) == 0 && c.durableTerm == c.term {
		// The answer to a heartbeat doesn't wait for a slow disk: it claims only
		// what is synced.
		reply.Index = min(reply.Index, c.synced)
		c.sendEarly(sender(m), reply)
		return
	}
	c.send(sender(m), reply)
}

// accept appends the message's entries if they join the log.
func (c *core) accept(m Message) bool {
	entries := m.Entries
	prev := m.Index
	if prev < c.entries.base.Index {
		skip := int(min(c.entries.base.Index-prev, uint64(len(entries))))
		entries = entries[skip:]
		if len(entries) == 0 {
			return true
		}
	} else if prev > c.entries.last() || c.entries.termAt(prev) != m.LogTerm {
		return false
	}
	for i, e := range entries {
		if e.Index <= c.entries.last() {
			if c.entries.termAt(e.Index) == e.Term {
				continue
			}
			c.assert(e.Index > c.commit, "truncating committed entry %d", e.Index)
			c.entries.truncate(e.Index)
			c.synced, c.writing = min(c.synced, e.Index-1), min(c.writing, e.Index-1)
			c.refreshMembers()
		}
		c.noteTerm(entries[len(entries)-1].Term)
		c.entries.append(entries[i:]...)
		c.noteMembers(entries[i:])
		break
	}
	return true
}

func (c *core) advanceCommit(index uint64) {
	if index > c.commit {
		c.commit = index
	}
}

// noteFreshness derives from the leader's echo how old the follower's state can be.
func (c *core) noteFreshness(m Message) {
	if m.Echo == 0 {
		return
	}
	at := c.started.Add(m.Echo - m.QuorumAge)
	if at.After(c.fresh.pendingAt) {
		c.fresh.pendingAt = at
		c.fresh.pendingCommit = m.Commit
	}
}

// freshAt returns a time at which the state as applied was confirmed by a quorum.
func (c *core) freshAt(applied uint64) time.Time {
	if c.phase == Leader {
		c.updateConfirmed()
		if applied >= c.noopIndex && applied >= c.commit && c.leaseCounts() {
			c.fresh.at = c.confirmed
		}
		return c.fresh.at
	}
	if applied >= c.fresh.pendingCommit && c.fresh.pendingAt.After(c.fresh.at) {
		c.fresh.at = c.fresh.pendingAt
	}
	return c.fresh.at
}

func (c *core) onChunk(m Message) {
	if m.Term < c.term {
		return
	}
	c.heard(m)
	reply := Message{Kind: ChunkReply, Term: c.term, Echo: m.Clock, Snapshot: SnapshotMeta{Index: m.Snapshot.Index}}
	if m.Snapshot.Index <= c.commit {
		reply.Index = c.commit
		c.send(sender(m), reply)
		return
	}
	next, err := c.snapshots.WriteChunk(m.Snapshot, m.Offset, m.Data)
	if err != nil {
		c.logger.WithError(err).Error("writing snapshot chunk")
		return
	}
	reply.Offset = next
	if next == m.Snapshot.Size {
		c.install(m.Snapshot)
		reply.Index = m.Snapshot.Index
	}
	c.send(sender(m), reply)
}

// install replaces the log by a complete snapshot.
func (c *core) install(s SnapshotMeta) {
	c.noteTerm(s.Term)
	c.entries = newEntryLog(s, nil)
	c.commit = s.Index
	c.synced, c.writing = s.Index, 0
	c.refreshMembers()
	c.installed = &s
	c.logger.WithField("index", s.Index).Info("snapshot installed")
}

func (c *core) onReply(m Message) {
	p := c.peers[m.From]
	if c.phase != Leader || m.Term != c.term || p == nil {
		return
	}
	if sent := c.started.Add(m.Echo); sent.After(p.acked) {
		p.acked = sent
	}
	p.clock = max(p.clock, m.Clock)
	p.beats = 0
	member, _ := c.members.Find(m.From)
	if m.Kind == ChunkReply {
		c.onChunkReply(member, p, m)
		return
	}
	c.onAppendReply(member, p, m)
}

func (c *core) onAppendReply(member Member, p *progress, m Message) {
	if m.Reject {
		p.inflight = false
		p.next = max(p.match, m.Index) + 1
		c.sendAppend(member, false)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.inflight = false
		p.next = max(p.next, m.Index+1)
		c.leaderCommit()
	}
	if p.next <= p.match {
		p.next = p.match + 1
	}
	if c.transferee == member.ID {
		c.finishTransfer()
	}
	if !p.inflight && p.next <= c.entries.last() {
		c.sendAppend(member, false)
	}
}

func (c *core) onChunkReply(member Member, p *progress, m Message) {
	if m.Snapshot.Index != p.snapshot {
		return
	}
	p.inflight = false
	p.offset = m.Offset
	if m.Index > p.match {
		p.match = m.Index
		p.next = m.Index + 1
	}
	if m.Index >= p.snapshot {
		p.snapshot = 0
	}
	c.sendAppend(member, false)
}

// leaderCommit commits what a majority has synced, if it is of the current term.
func (c *core) leaderCommit() {
	matches := make([]uint64, 0, len(c.members))
	for _, m := range c.members {
		switch {
		case m.Learner:
		case m.ID == c.id:
			matches = append(matches, c.synced)
		default:
			matches = append(matches, c.peers[m.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.members.Quorum()]
	if index > c.commit && c.entries.termAt(index) == c.term {
		c.commit = index
	}
}

// quorumTime returns the newest time by which a majority had answered.
func quorumTime(members Members, self uint64, now time.Time, peers map[uint64]*progress) time.Time {
	times := make([]time.Time, 0, len(members))
	for _, m := range members {
		switch {
		case m.Learner:
		case m.ID == self:
			times = append(times, now)
		default:
			times = append(times, peers[m.ID].acked)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-members.Quorum()]
}
