package raft

import (
	"time"

	"github.com/juju/errors"
)

// Poll handles all events that have come in: it steps the core, persists,
// sends, and applies. An error means that the storage failed.
func (g *Group) Poll() error {
	g.driving.Lock()
	defer g.driving.Unlock()
	if g.failed != nil {
		return g.failed
	}
	if err := g.endWrite(); err != nil {
		return g.fail(err)
	}
	b := g.take()
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
		// The lease must be seen to end before the successor is told to start.
		g.publish()
	}
	if err := g.persist(); err != nil {
		return g.fail(err)
	}
	g.apply()
	g.admitReads(b.reads)
	g.answerReads()
	g.dropLostProposals()
	g.maybeSnapshot()
	g.publish()
	return nil
}

func (g *Group) fail(err error) error {
	g.failed = errors.Trace(err)
	g.Logger.WithError(err).WithField("group", g.ID).Error("storage failed; the replica stops")
	return g.failed
}

func (g *Group) take() inbox {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.inbox
	g.inbox = inbox{}
	switch {
	case g.MaxBatch > 0 && g.writing != nil:
		// The end of the write wakes the group again.
		g.inbox.proposals, b.proposals = b.proposals, nil
	case g.MaxBatch > 0 && len(b.proposals) > g.MaxBatch:
		g.inbox.proposals = b.proposals[g.MaxBatch:]
		b.proposals = b.proposals[:g.MaxBatch:g.MaxBatch]
		defer g.signal()
	}
	return b
}

func (g *Group) propose(ps []proposal) {
	for _, p := range ps {
		index, term, err := g.enter(p)
		if err != nil {
			p.done(Result{Err: err})
			continue
		}
		if lost, ok := g.proposals[index]; ok {
			// The replica lost its leadership and regained it: the entry is gone.
			lost.done(Result{Err: ErrNotLeader})
		}
		p.term = term
		g.proposals[index] = p
	}
}

func (g *Group) enter(p proposal) (index, term uint64, err error) {
	if p.members != nil {
		return g.core.proposeMembers(p.members(g.core.members))
	}
	return g.core.propose(p.data)
}

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

func (g *Group) apply() {
	c := g.core
	if c.installed != nil {
		return // the machine is behind the log's start until it is restored
	}
	// A majority may have synced what this replica has not yet.
	for g.applied < c.commit {
		e := c.entries.at(g.applied + 1)
		c.assert(e.Index == g.applied+1, "applying %d behind %d", e.Index, g.applied)
		var v any
		if e.Kind == EntryCommand {
			v = g.Machine.Apply(e.Index, e.Data)
		}
		g.applied = e.Index
		g.finish(e, v)
	}
}

func (g *Group) finish(e Entry, v any) {
	p, ok := g.proposals[e.Index]
	if !ok {
		return
	}
	delete(g.proposals, e.Index)
	if p.term != e.Term {
		// Another leader's entry took the place, so this one is never committed.
		p.done(Result{Err: ErrNotLeader})
		return
	}
	p.done(Result{Value: v})
}

// dropLostProposals answers proposals whose fate this replica can't learn soon.
func (g *Group) dropLostProposals() {
	if g.core.phase == Leader {
		return
	}
	for i, p := range g.proposals {
		delete(g.proposals, i)
		p.done(Result{Err: ErrUnknown})
	}
}

func (g *Group) admitReads(rs []read) {
	for _, r := range rs {
		if g.core.phase != Leader || g.core.transferee != 0 {
			r.done(ErrNotLeader)
			continue
		}
		r.term = g.core.term
		r.index = max(g.core.commit, g.core.noopIndex)
		g.reads = append(g.reads, r)
	}
}

func (g *Group) answerReads() {
	if len(g.reads) == 0 {
		return
	}
	c := g.core
	leased := c.leased()
	var waiting []read
	for _, r := range g.reads {
		switch {
		case c.phase != Leader || r.term != c.term:
			r.done(ErrNotLeader)
		case g.applied >= r.index && (leased || (c.leaseCounts() && c.confirmed.After(r.at))):
			r.done(nil)
		default:
			waiting = append(waiting, r)
		}
	}
	g.reads = waiting
}

func (g *Group) abandon(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, p := range g.proposals {
		delete(g.proposals, i)
		p.done(Result{Err: ErrUnknown})
	}
	for _, p := range g.inbox.proposals {
		p.done(Result{Err: err})
	}
	for _, r := range append(g.reads, g.inbox.reads...) {
		r.done(err)
	}
	g.reads, g.inbox = nil, inbox{}
}

func (g *Group) maybeSnapshot() {
	c := g.core
	if g.snapshotting || c.installed != nil || c.entries.bytes < g.SnapshotBytes || g.applied <= c.entries.base.Index {
		return
	}
	g.snapshotting = true
	m := SnapshotMeta{Index: g.applied, Term: c.entries.termAt(g.applied), Members: c.entries.membershipAt(g.applied)}
	w := g.Machine.Snapshot()
	g.Background(func() {
		saved, err := g.Snapshots.Save(m, w)
		w.Release()
		if err != nil {
			g.Logger.WithError(err).WithField("group", g.ID).Error("saving snapshot")
		}
		g.post(func(b *inbox) { b.compact = &saved })
	})
}

// compact cuts the log behind a saved snapshot.
func (g *Group) compact(m SnapshotMeta) {
	g.snapshotting = false
	c := g.core
	if m.Size == 0 || m.Index <= c.entries.base.Index {
		return
	}
	c.entries.compact(m)
	c.synced = max(c.synced, m.Index)
	g.compacted = true
}

func (g *Group) publish() {
	c := g.core
	s := &Status{
		Group: g.ID, Self: c.id, Phase: c.phase, Term: c.term, Leader: c.leader, Members: c.members,
		Commit: c.commit, Applied: g.applied, Last: c.entries.last(),
		LogBytes: c.entries.bytes, Snapshot: c.entries.base.Index,
		FreshAt: c.freshAt(g.applied), PredecessorAt: c.predecessorAt, PredecessorTerm: c.predecessorTerm,
	}
	if c.entries.base.Index == 0 {
		s.First = c.entries.base.Members
	}
	if c.phase == Leader && c.commit >= c.noopIndex && c.leaseCounts() {
		s.LeaseUntil = c.lease()
		if c.members.Quorum() == 1 {
			s.LeaseUntil = c.clock.Now().Add(c.electionTimeout)
		}
	}
	if c.transferee != 0 {
		s.LeaseUntil = time.Time{}
	}
	g.status.Store(s)
}
