package raft

import (
	"time"

	"github.com/juju/errors"
)

// snapshotRetryInterval is the time from a snapshot that could not be saved to the next attempt, which
// writes the whole state again.
const snapshotRetryInterval = time.Second

// Poll handles the events in the inbox: it runs the protocol, starts writes of the log,
// sends messages and applies committed entries. It returns an error if the storage
// failed; the group is then unusable.
func (g *Group) Poll() error {
	g.coreMu.Lock()
	defer g.coreMu.Unlock()
	if g.failed != nil {
		return g.failed
	}
	if err := g.completeWrite(); err != nil {
		return g.fail(err)
	}
	b := g.takeInbox()
	if b.compact != nil {
		g.compact(*b.compact)
	}
	for _, m := range b.messages {
		g.core.step(m)
	}
	for _, f := range b.calls {
		f(g.core)
	}
	if b.tick {
		g.core.tick()
	}
	g.propose(b.proposals)
	g.core.replicate()
	if g.core.transferee != 0 {
		// The transferee may start an election as soon as it receives TimeoutNow, so
		// Leased must report the end of the lease before it is sent.
		g.publishStatus()
	}
	if err := g.persist(); err != nil {
		return g.fail(err)
	}
	g.apply()
	g.acceptReads(b.reads)
	g.completeReads()
	g.failProposalsUnlessLeader()
	g.maybeSnapshot()
	g.publishStatus()
	return nil
}

// fail records a storage failure; every later Poll returns it.
func (g *Group) fail(err error) error {
	g.failed = errors.Trace(err)
	g.Logger.WithError(err).WithField("group", g.ID).Error("storage failed; stopping the replica")
	return g.failed
}

// takeInbox empties the inbox. With MaxBatch, proposals stay in it while a write is in
// progress, and those beyond MaxBatch stay for the next Poll.
func (g *Group) takeInbox() inbox {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.inbox
	g.inbox = inbox{}
	switch {
	case g.MaxBatch > 0 && g.pendingWrite != nil:
		// The end of the write wakes Run again.
		g.inbox.proposals, b.proposals = b.proposals, nil
	case g.MaxBatch > 0 && len(b.proposals) > g.MaxBatch:
		g.inbox.proposals = b.proposals[g.MaxBatch:]
		b.proposals = b.proposals[:g.MaxBatch:g.MaxBatch]
		defer g.signal()
	}
	return b
}

// propose appends proposals to the log and registers them by index.
func (g *Group) propose(ps []proposal) {
	for _, p := range ps {
		index, term, err := g.appendProposal(p)
		if err != nil {
			p.done(Result{Err: err})
			continue
		}
		if superseded, ok := g.proposals[index]; ok {
			// The replica lost leadership and regained it, and the earlier entry at
			// this index was overwritten.
			superseded.done(Result{Err: ErrNotLeader})
		}
		p.term = term
		g.proposals[index] = p
	}
}

// appendProposal appends a command or membership to the leader's log.
func (g *Group) appendProposal(p proposal) (index, term uint64, err error) {
	if p.changeMembers != nil {
		return g.core.proposeMembers(p.changeMembers(g.core.members))
	}
	return g.core.propose(p.data)
}

// sendAll sends the messages and empties the list.
func (g *Group) sendAll(ms *[]Message) {
	for _, m := range *ms {
		to, ok := g.core.members.Find(m.To)
		if !ok {
			to = Member{ID: m.To, Address: m.ToAddress}
		}
		g.Transport.Send(to, m)
	}
	*ms = nil
}

// apply applies committed entries to the state machine.
func (g *Group) apply() {
	c := g.core
	if c.installedSnapshot != nil {
		return // the state machine lacks entries before the log's start until it is restored
	}
	// Entries are applied once a majority has synced them, even if this replica has
	// not.
	for g.appliedIndex < c.commitIndex {
		e := c.raftLog.entryAt(g.appliedIndex + 1)
		c.assert(e.Index == g.appliedIndex+1, "applying %d behind %d", e.Index, g.appliedIndex)
		var v any
		if e.Kind == EntryCommand {
			v = g.Machine.Apply(e.Index, e.Data)
		}
		g.appliedIndex = e.Index
		g.completeProposal(e, v)
	}
}

// completeProposal reports the outcome of the proposal for an applied entry, if any.
func (g *Group) completeProposal(e Entry, value any) {
	p, ok := g.proposals[e.Index]
	if !ok {
		return
	}
	delete(g.proposals, e.Index)
	if p.term != e.Term {
		// An entry of another leader was committed at this index, so the proposal never
		// will be.
		p.done(Result{Err: ErrNotLeader})
		return
	}
	p.done(Result{Value: value})
}

// failProposalsUnlessLeader fails all open proposals with ErrOutcomeUnknown on a replica
// that no longer leads: the new leader decides whether their entries are committed.
func (g *Group) failProposalsUnlessLeader() {
	if g.core.phase == Leader {
		return
	}
	for i, p := range g.proposals {
		delete(g.proposals, i)
		p.done(Result{Err: ErrOutcomeUnknown})
	}
}

// acceptReads assigns new reads the index that the state machine must reach: the commit
// index, or the leader's first entry, which commits all entries of earlier terms.
func (g *Group) acceptReads(rs []pendingRead) {
	for _, r := range rs {
		if g.core.phase != Leader || g.core.transferee != 0 {
			r.done(ErrNotLeader)
			continue
		}
		r.term = g.core.term
		r.readIndex = max(g.core.commitIndex, g.core.noopIndex)
		g.reads = append(g.reads, r)
	}
}

// completeReads completes reads whose index is applied, under a valid lease or after a
// quorum has replied to a message that was sent after the read's request.
func (g *Group) completeReads() {
	if len(g.reads) == 0 {
		return
	}
	c := g.core
	holdsLease := c.holdsLease()
	var remaining []pendingRead
	for _, r := range g.reads {
		switch {
		case c.phase != Leader || r.term != c.term:
			r.done(ErrNotLeader)
		case g.appliedIndex >= r.readIndex && (holdsLease || (c.confirmedSinceElection() && c.confirmedAt.After(r.requestedAt))):
			r.done(nil)
		default:
			remaining = append(remaining, r)
		}
	}
	g.reads = remaining
}

// failPending fails all open proposals and reads when the group stops. Proposals that
// are in the log may still be committed, so their outcome is unknown.
func (g *Group) failPending(err error) {
	g.mu.Lock()
	waiting := g.inbox
	g.inbox = inbox{}
	g.mu.Unlock()
	// Callers may call the group again from their callbacks.
	for i, p := range g.proposals {
		delete(g.proposals, i)
		p.done(Result{Err: ErrOutcomeUnknown})
	}
	for _, p := range waiting.proposals {
		p.done(Result{Err: err})
	}
	for _, r := range append(g.reads, waiting.reads...) {
		r.done(err)
	}
	g.reads = nil
}

// maybeSnapshot starts a snapshot in the background if the log has grown to
// SnapshotBytes.
func (g *Group) maybeSnapshot() {
	c := g.core
	if g.snapshotting || g.Clock.Now().Before(g.nextSnapshotAt) || c.installedSnapshot != nil || c.raftLog.bytes < g.SnapshotBytes || g.appliedIndex <= c.raftLog.base.Index {
		return
	}
	g.snapshotting = true
	m := SnapshotMeta{Index: g.appliedIndex, Term: c.raftLog.termAt(g.appliedIndex), Members: c.raftLog.membershipAt(g.appliedIndex)}
	w := g.Machine.Snapshot()
	g.Background(func() {
		saved, err := g.Snapshots.Save(m, w)
		w.Release()
		if err != nil {
			g.Logger.WithError(err).WithField("group", g.ID).Error("saving the snapshot failed")
			saved = SnapshotMeta{}
		}
		g.enqueue(func(b *inbox) { b.compact = &saved })
	})
}

// compact drops the log entries that a saved snapshot covers. Size is 0 if saving
// failed.
func (g *Group) compact(m SnapshotMeta) {
	g.snapshotting = false
	c := g.core
	if m.Size == 0 {
		g.nextSnapshotAt = g.Clock.Now().Add(snapshotRetryInterval)
	}
	if m.Size == 0 || m.Index <= c.raftLog.base.Index {
		return
	}
	c.raftLog.compact(m)
	c.syncedIndex = max(c.syncedIndex, m.Index)
	g.compactionPending = true
}

// publishStatus updates what Status and Leased return.
func (g *Group) publishStatus() {
	c := g.core
	s := &Status{
		Group: g.ID, Self: c.id, Phase: c.phase, Term: c.term, Leader: c.leader, Members: c.members,
		Commit: c.commitIndex, Applied: g.appliedIndex, Last: c.raftLog.last(),
		LogBytes: c.raftLog.bytes, Snapshot: c.raftLog.base.Index,
		FreshAt: c.freshAt(g.appliedIndex), PredecessorAt: c.predecessorAt, PredecessorTerm: c.predecessorTerm,
	}
	if c.raftLog.base.Index == 0 {
		s.First = c.raftLog.base.Members
	}
	if c.phase == Leader && c.commitIndex >= c.noopIndex && c.confirmedSinceElection() {
		s.LeaseUntil = c.leaseExpiry()
		if c.members.Quorum() == 1 {
			s.LeaseUntil = c.clock.Now().Add(c.electionTimeout)
		}
	}
	if c.transferee != 0 {
		s.LeaseUntil = time.Time{}
	}
	g.status.Store(s)
}
