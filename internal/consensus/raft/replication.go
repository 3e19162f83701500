package raft

// noteTerm notes when entries of a new term begin to come in. Their leader was
// elected before, so no earlier leader's lease is valid any more.
func (c *core) noteTerm(term uint64) {
	if term != c.entries.lastTerm() {
		c.lastTermAt = c.clock.Now()
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
		if !p.inflight && p.next <= c.entries.last() {
			c.sendAppend(m, false)
		}
	}
}

// announceCommit tells peers without entries under way of a new commit index at
// once, instead of with the next heartbeat.
func (c *core) announceCommit() {
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		if p := c.peers[m.ID]; !p.inflight && p.next > c.entries.last() {
			c.sendAppend(m, true)
		}
	}
}

func (c *core) sendAppend(m Member, beat bool) {
	p := c.peers[m.ID]
	msg := Message{Kind: Append, Term: c.term, Commit: c.commit, Echo: p.clock}
	msg.QuorumAge = c.clock.Now().Sub(c.confirmed)
	if c.commit < c.noopIndex {
		// Entries of earlier terms may be committed without this leader knowing,
		// so its commit index must not count as fresh.
		msg.Echo = 0
	}
	if p.next <= c.entries.base.Index {
		c.sendChunk(m, p)
		// The heartbeat still has to go out, and claims nothing about the log.
		msg.Index, msg.LogTerm, msg.Commit, msg.Echo = 0, 0, 0, 0
		c.sendEarly(m, msg)
		return
	}
	msg.Index = p.next - 1
	msg.LogTerm = c.entries.termAt(msg.Index)
	if !p.inflight {
		msg.Entries = c.entries.slice(p.next, maxBatchEntries, maxBatchBytes)
	}
	if len(msg.Entries) > 0 {
		p.inflight = true
		p.next = msg.Entries[len(msg.Entries)-1].Index + 1
	} else if !beat {
		return
	}
	c.sendEarly(m, msg)
}

func (c *core) sendChunk(m Member, p *progress) {
	meta := c.entries.base
	if p.snapshot != meta.Index {
		p.snapshot, p.offset, p.inflight = meta.Index, 0, false
	}
	if p.inflight {
		return
	}
	latest, ok := c.snapshots.Latest()
	if !ok || latest.Index != meta.Index {
		return
	}
	data, err := c.snapshots.ReadChunk(latest.Index, p.offset, chunkBytes)
	if err != nil {
		c.logger.WithError(err).Error("reading snapshot chunk")
		return
	}
	p.inflight = true
	c.send(m, Message{Kind: Chunk, Term: c.term, Snapshot: latest, Offset: p.offset, Data: data})
}

func (c *core) send(to Member, m Message) {
	c.out = append(c.out, c.stamp(to, m))
}

// sendEarly sends without waiting for the sync of the sender's own log, which
// is safe for messages that promise nothing about it.
func (c *core) sendEarly(to Member, m Message) {
	c.early = append(c.early, c.stamp(to, m))
}

func (c *core) stamp(to Member, m Message) Message {
	m.Group = c.group
	m.FromAddress = c.address
	m.From = c.id
	m.FromIncarnation = c.incarnation
	m.To = to.ID
	m.ToAddress = to.Address
	m.Clock = c.since(c.clock.Now())
	return m
}
