package raft

import (
	"github.com/juju/errors"
)

func (c *core) refreshMembers() {
	c.members, c.membersIndex = c.entries.membership()
}

// noteMembers puts memberships in newly appended entries in force.
func (c *core) noteMembers(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembers {
			c.members, c.membersIndex = decodeMembers(e.Data), e.Index
		}
	}
	if c.phase == Leader {
		c.syncPeers()
	}
}

// removed reports whether a committed change took the replica out of the group.
func (c *core) removed() bool {
	_, ok := c.self()
	return !ok && c.membersIndex <= c.commit
}

func (c *core) self() (Member, bool) {
	m, ok := c.members.Find(c.id)
	return m, ok && m.Incarnation == c.incarnation
}

func (c *core) voter() bool {
	m, ok := c.self()
	return ok && !m.Learner
}

// syncPeers makes the progress table match the membership.
func (c *core) syncPeers() {
	for id := range c.peers {
		if _, ok := c.members.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range c.members {
		if c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.entries.last() + 1, acked: c.clock.Now().Add(-c.electionTimeout)}
		}
	}
}

// proposeMembers appends a membership that differs from the current one by one member.
func (c *core) proposeMembers(m Members) (uint64, uint64, error) {
	if c.phase != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.membersIndex > c.commit || c.commit < c.noopIndex {
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

// singleChange checks that two memberships differ by one voter at the most, so
// that their quorums overlap.
func singleChange(from, to Members) error {
	if to.Voters() == 0 {
		return errors.NotValidf("membership without voters")
	}
	changed := 0
	for _, m := range from {
		if x, ok := to.Find(m.ID); !m.Learner && (!ok || x.Learner || x.Incarnation != m.Incarnation) {
			changed++
		}
	}
	for _, m := range to {
		if x, ok := from.Find(m.ID); !m.Learner && (!ok || x.Learner || x.Incarnation != m.Incarnation) {
			changed++
		}
	}
	if changed > 1 {
		return errors.NotValidf("change of more than one voter")
	}
	return nil
}

// promoteLearner turns a learner that holds all but the newest entries into a voter.
func (c *core) promoteLearner() {
	for _, m := range c.members {
		p := c.peers[m.ID]
		if !m.Learner || p == nil || p.match == 0 || p.match+promoteWithin < c.entries.last() || p.match < c.commit {
			continue
		}
		m.Learner = false
		if _, _, err := c.proposeMembers(c.members.With(m)); err == nil {
			c.logger.WithField("member", m.ID).Info("promoting learner")
		}
		return
	}
}
