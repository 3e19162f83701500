package raft

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// Errors that a proposal may return before it enters the log.
const (
	// ErrNotLeader reports that another replica, or none, leads the group.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrBusy reports a membership change while another is in progress.
	ErrBusy = errors.ConstError("a membership change is in progress")
)

const (
	// maxBatchBytes bounds the entries in one Append message.
	maxBatchBytes = 1 << 20
	// maxBatchEntries bounds the entries in one Append message.
	maxBatchEntries = 4096
	// chunkBytes is the size of a snapshot chunk.
	chunkBytes = 512 << 10
	// resendAfter is the number of heartbeats after which an unanswered chunk is sent again.
	resendAfter = 3
	// promoteWithin is the lag in entries up to which a learner becomes a voter.
	promoteWithin = 64
)

// core is the replicated-log state machine of one replica. It does no I/O but
// for snapshot chunks; group drives it and persists what ready returns.
type core struct {
	id          uint64
	incarnation uint64
	address     netip.AddrPort
	group       uint32
	clock       clockwork.Clock
	random      *rand.Rand
	snapshots   SnapshotStore
	logger      log.Interface

	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	// drift is the largest relative error of a clock, such as 0.01.
	drift float64

	started time.Time
	phase   Phase
	term    uint64
	vote    uint64
	leader  uint64

	entries *entryLog
	members Members
	// membersIndex is the entry that holds members.
	membersIndex uint64
	commit       uint64
	synced       uint64

	contact    time.Time // last message of a current leader
	deadline   time.Time // next election
	nextBeat   time.Time
	votes      map[uint64]bool
	peers      map[uint64]*progress
	confirmed  time.Time // send time of the newest round that a quorum answered
	noopIndex  uint64    // first entry of the leader's own term
	lastTermAt time.Time // when the first entry of the log's last term came in
	// predecessorAt is lastTermAt as of the replica's election.
	predecessorAt time.Time
	electedAt     time.Time
	transferee    uint64
	transferAt    time.Time

	fresh     freshness
	installed *SnapshotMeta
	dirty     bool // hard state changed since it was last persisted
	early     []Message
	out       []Message
}

// progress is what a leader knows of a peer.
type progress struct {
	next     uint64
	match    uint64
	acked    time.Time     // send time of the newest message that the peer answered
	clock    time.Duration // newest clock value of the peer
	inflight bool          // an Append with entries is unanswered
	beats    int           // heartbeats since the last answer
	offset   int64         // next snapshot byte
	snapshot uint64        // index of the snapshot being sent
}

// freshness bounds the age of a follower's state.
type freshness struct {
	at time.Time
	// pending becomes current once its commit index is applied.
	pendingAt     time.Time
	pendingCommit uint64
}

func (c *core) start(s Stored) {
	c.started = c.clock.Now()
	c.term = s.HardState.Term
	c.vote = s.HardState.Vote
	c.entries = newEntryLog(s.Base, s.Entries)
	c.commit = s.Base.Index
	c.synced = c.entries.last()
	c.peers = map[uint64]*progress{}
	c.refreshMembers()
	// A restarted replica may have forgotten a promise to a leader, so it
	// behaves as if it had just heard from one.
	c.contact = c.clock.Now()
	c.lastTermAt = c.clock.Now()
	c.becomeFollower(c.term, 0)
}

// since returns the replica's own clock.
func (c *core) since(t time.Time) time.Duration { return t.Sub(c.started) }

func (c *core) refreshMembers() {
	c.members, c.membersIndex = c.entries.membership()
}

// noteTerm notes when entries of a new term begin to come in. Their leader was
// elected before, so no earlier leader's lease is valid any more.
func (c *core) noteTerm(term uint64) {
	if term != c.entries.lastTerm() {
		c.lastTermAt = c.clock.Now()
	}
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

func (c *core) resetElection() {
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout)))
	c.deadline = c.clock.Now().Add(c.electionTimeout + spread)
}

func (c *core) becomeFollower(term, leader uint64) {
	if c.phase == Leader {
		c.logger.WithField("term", c.term).WithField("newTerm", term).Info("stepping down")
	}
	if term != c.term {
		c.term = term
		c.vote = 0
		c.dirty = true
	}
	c.phase = Follower
	c.leader = leader
	c.transferee = 0
	c.resetElection()
}

// tick advances timers.
func (c *core) tick() {
	now := c.clock.Now()
	if c.phase == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.deadline) {
		return
	}
	c.resetElection()
	if c.voter() {
		c.campaign(PreCandidate, false)
	}
}

func (c *core) tickLeader(now time.Time) {
	c.updateConfirmed()
	// A transfer that failed ends in stepping down: its message may still arrive
	// and void the lease, so this term cannot resume.
	transferFailed := c.transferee != 0 && now.Sub(c.transferAt) > c.electionTimeout
	if now.Sub(c.confirmed) > c.electionTimeout || transferFailed || c.removed() {
		c.becomeFollower(c.term, 0)
		return
	}
	if now.Before(c.nextBeat) {
		return
	}
	c.nextBeat = now.Add(c.heartbeatInterval)
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		p := c.peers[m.ID]
		p.beats++
		if p.beats >= resendAfter {
			p.inflight = false
		}
		c.sendAppend(m, true)
	}
	c.promoteLearner()
}

func (c *core) campaign(p Phase, forced bool) {
	c.phase = p
	c.leader = 0
	c.votes = map[uint64]bool{c.id: true}
	kind := PreVote
	term := c.term + 1
	if p == Candidate {
		kind = Vote
		c.term = term
		c.vote = c.id
		c.dirty = true
	}
	c.resetElection()
	if c.members.Quorum() == 1 {
		c.countVotes(forced)
		return
	}
	for _, m := range c.members {
		if m.ID == c.id || m.Learner {
			continue
		}
		c.send(m, Message{Kind: kind, Term: term, Index: c.entries.last(), LogTerm: c.entries.lastTerm(), Forced: forced})
	}
}

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

func (c *core) becomeLeader() {
	now := c.clock.Now()
	c.logger.WithField("term", c.term).Info("leading")
	c.phase = Leader
	c.leader = c.id
	c.confirmed = now
	c.electedAt = now
	c.nextBeat = now
	c.peers = map[uint64]*progress{}
	c.syncPeers()
	for _, p := range c.peers {
		p.acked = now.Add(-c.electionTimeout)
	}
	c.predecessorAt = c.lastTermAt
	c.noopIndex = c.append(EntryNoop, nil)
	c.tickLeader(now)
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

// append adds an entry to the leader's log and returns its index.
func (c *core) append(k EntryKind, data []byte) uint64 {
	e := Entry{Term: c.term, Index: c.entries.last() + 1, Kind: k, Data: data}
	c.noteTerm(e.Term)
	c.entries.append(e)
	c.noteMembers([]Entry{e})
	return e.Index
}

// propose appends a command and returns its index and term.
func (c *core) propose(data []byte) (uint64, uint64, error) {
	if c.phase != Leader || c.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	return c.append(EntryCommand, data), c.term, nil
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

// updateConfirmed recomputes when a quorum last answered the leader.
func (c *core) updateConfirmed() {
	t := quorumTime(c.members, c.id, c.clock.Now(), c.peers)
	if t.After(c.confirmed) {
		c.confirmed = t
	}
}

// lease returns until when no other replica can have been elected.
func (c *core) lease() time.Time {
	if c.phase != Leader || c.transferee != 0 {
		return time.Time{}
	}
	c.updateConfirmed()
	return c.confirmed.Add(time.Duration(float64(c.electionTimeout) * (1 - c.drift) / (1 + c.drift)))
}

// leased reports whether the leader may serve reads and grants without asking a quorum.
func (c *core) leased() bool {
	return c.commit >= c.noopIndex && c.clock.Now().Before(c.lease()) && c.leaseCounts()
}

// leaseCounts excludes the optimistic confirmation that a new leader starts with.
func (c *core) leaseCounts() bool {
	return c.members.Quorum() == 1 || c.confirmed.After(c.electedAt)
}

// transfer hands leadership to the most advanced voter.
func (c *core) transfer() {
	if c.phase != Leader || c.transferee != 0 {
		return
	}
	var best Member
	for _, m := range c.members {
		p := c.peers[m.ID]
		if m.ID == c.id || m.Learner || p == nil || c.clock.Now().Sub(p.acked) > c.electionTimeout {
			continue
		}
		if best.ID == 0 || p.match > c.peers[best.ID].match {
			best = m
		}
	}
	if best.ID == 0 {
		return
	}
	c.transferee = best.ID
	c.transferAt = c.clock.Now()
	c.finishTransfer()
}

func (c *core) finishTransfer() {
	m, ok := c.members.Find(c.transferee)
	if ok && c.peers[m.ID].match == c.entries.last() {
		c.send(m, Message{Kind: TimeoutNow, Term: c.term})
	}
}

func (c *core) assert(ok bool, format string, args ...any) {
	if !ok {
		panic("raft invariant: " + fmt.Sprintf(format, args...))
	}
}
