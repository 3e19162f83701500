package raft

import (
	"github.com/juju/errors"
)

// refreshMembers reads the membership from the log again.
func (c *core) refreshMembers() {
	c.members, c.membersIndex = c.raftLog.membership()
}

// adoptMembers applies the memberships in newly appended entries. A membership is in
// force from the time that its entry is appended, committed or not.
func (c *core) adoptMembers(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembers {
			c.members, c.membersIndex = decodeMembers(e.Data), e.Index
		}
	}
	if c.phase == Leader {
		c.syncPeers()
	}
}

// removed reports whether a committed membership lacks this replica.
func (c *core) removed() bool {
	_, ok := c.self()
	return !ok && c.membersIndex <= c.commitIndex
}

// self returns the replica's own member. A member with the same ID and another
// incarnation is a replica whose disk was lost.
func (c *core) self() (Member, bool) {
	m, ok := c.members.Find(c.id)
	return m, ok && m.Incarnation == c.incarnation
}

// voter reports whether the replica has a vote in the current membership.
func (c *core) voter() bool {
	m, ok := c.self()
	return ok && !m.Learner
}

// syncPeers adds and removes progress records to match the membership.
func (c *core) syncPeers() {
	for id := range c.peers {
		if _, ok := c.members.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range c.members {
		if c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{nextIndex: c.raftLog.last() + 1, ackedSendTime: c.clock.Now().Add(-c.electionTimeout)}
		}
	}
}

// proposeMembers appends a membership that differs from the current one by one voter
// at most. It returns ErrBusy until the previous membership and the leader's first
// entry are committed: only then do the quorums of the old and new membership overlap.
func (c *core) proposeMembers(m Members) (uint64, uint64, error) {
	if c.phase != Leader || c.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	if c.membersIndex > c.commitIndex || c.commitIndex < c.noopIndex {
		return 0, 0, ErrBusy
	}
	if err := singleChange(c.members, m); err != nil {
		return 0, 0, errors.Trace(err)
	}
	data, err := encodeMembers(m)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	return c.append(EntryMembers, data), c.term, nil
}

// singleChange checks that two memberships differ by one voter at most, so that
// any two of their quorums overlap.
func singleChange(from, to Members) error {
	if to.Voters() == 0 {
		return errors.NotValidf("membership without voters")
	}
	changed := 0
	for _, m := range from {
		if other, ok := to.Find(m.ID); !m.Learner && (!ok || other.Learner || other.Incarnation != m.Incarnation) {
			changed++
		}
	}
	for _, m := range to {
		if other, ok := from.Find(m.ID); !m.Learner && (!ok || other.Learner || other.Incarnation != m.Incarnation) {
			changed++
		}
	}
	if changed > 1 {
		return errors.NotValidf("change of more than one voter")
	}
	return nil
}

// promoteLearner proposes to make one learner a voter if it holds all committed
// entries and nearly all others.
func (c *core) promoteLearner() {
	for _, m := range c.members {
		p := c.peers[m.ID]
		if !m.Learner || p == nil || p.matchIndex == 0 || p.matchIndex+promotionMaxLagEntries < c.raftLog.last() || p.matchIndex < c.commitIndex {
			continue
		}
		m.Learner = false
		if _, _, err := c.proposeMembers(c.members.With(m)); err == nil {
			c.logger.WithField("member", m.ID).Info("promoting learner")
		}
		return
	}
}
