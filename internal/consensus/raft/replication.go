package raft

// recordTermStart records when the first entry of a new term is appended. The leader of
// that term was elected before, so no lease of an earlier leader is valid any more.
func (c *core) recordTermStart(term uint64) {
	if term != c.raftLog.lastTerm() {
		c.lastTermReceivedAt = c.clock.Now()
	}
}

// replicate sends new entries to all peers that have none in flight.
func (c *core) replicate() {
	if c.phase != Leader {
		return
	}
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		p := c.peers[m.ID]
		if !p.inFlight && p.nextIndex <= c.raftLog.last() {
			c.sendAppend(m, false)
		}
	}
}

// announceCommit sends a new commit index at once to peers that have no entries in
// flight, instead of with the next heartbeat.
func (c *core) announceCommit() {
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		if p := c.peers[m.ID]; !p.inFlight && p.nextIndex > c.raftLog.last() {
			c.sendAppend(m, true)
		}
	}
}

// sendAppend sends the peer's next entries, or the next snapshot chunk and a heartbeat if
// the log no longer holds them. Without entries to send, it sends only a heartbeat that
// the caller asks for.
func (c *core) sendAppend(m Member, heartbeat bool) {
	p := c.peers[m.ID]
	msg := Message{Kind: Append, Term: c.term, Commit: c.commitIndex, Echo: p.peerClock}
	msg.QuorumAge = c.clock.Now().Sub(c.confirmedAt)
	if c.commitIndex < c.noopIndex {
		// Entries of earlier terms may be committed beyond this leader's commit index,
		// so a follower must not take the index as evidence of fresh state.
		msg.Echo = 0
	}
	if p.nextIndex <= c.raftLog.base.Index {
		c.sendChunk(m, p)
		// The peer still needs the heartbeat. It carries no log position, since the
		// peer's log is not known to match.
		msg.Index, msg.LogTerm, msg.Commit, msg.Echo = 0, 0, 0, 0
		c.sendImmediately(m, msg)
		return
	}
	msg.Index = p.nextIndex - 1
	msg.LogTerm = c.raftLog.termAt(msg.Index)
	if !p.inFlight {
		msg.Entries = c.raftLog.slice(p.nextIndex, maxAppendEntries, maxAppendBytes)
	}
	if len(msg.Entries) > 0 {
		p.inFlight = true
		p.nextIndex = msg.Entries[len(msg.Entries)-1].Index + 1
	} else if !heartbeat {
		return
	}
	c.sendImmediately(m, msg)
}

// sendChunk sends the next chunk of the snapshot at the log's base, one at a time.
func (c *core) sendChunk(m Member, p *progress) {
	meta := c.raftLog.base
	if p.snapshotIndex != meta.Index {
		p.snapshotIndex, p.snapshotOffset, p.inFlight = meta.Index, 0, false
	}
	if p.inFlight {
		return
	}
	latest, ok := c.snapshots.Latest()
	if !ok || latest.Index != meta.Index {
		return
	}
	data, err := c.snapshots.ReadChunk(latest.Index, p.snapshotOffset, snapshotChunkBytes)
	if err != nil {
		c.logger.WithError(err).Error("reading a snapshot chunk failed")
		return
	}
	p.inFlight = true
	c.sendAfterSync(m, Message{Kind: Chunk, Term: c.term, Snapshot: latest, Offset: p.snapshotOffset, Data: data})
}

// sendAfterSync queues a message that may depend on the log or hard state, for sending
// once they are synced.
func (c *core) sendAfterSync(to Member, m Message) {
	c.outAfterSync = append(c.outAfterSync, c.addSender(to, m))
}

// sendImmediately queues a message for sending without waiting for a sync. This is safe
// only for messages that depend on no state that is not yet durable.
func (c *core) sendImmediately(to Member, m Message) {
	c.outImmediate = append(c.outImmediate, c.addSender(to, m))
}

// addSender completes the fields that identify the group, the sender and the receiver.
func (c *core) addSender(to Member, m Message) Message {
	m.Group = c.group
	m.FromAddress = c.address
	m.From = c.id
	m.FromIncarnation = c.incarnation
	m.To = to.ID
	m.ToAddress = to.Address
	m.Clock = c.messageClock(c.clock.Now())
	return m
}
