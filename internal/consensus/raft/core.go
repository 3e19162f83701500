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
// for snapshot chunks; group drives it and persists its log.
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
	// writing is the newest entry that a write under way covers, 0 without one.
	writing      uint64
	writingSince time.Time
	// durableTerm is the term that the disk is known to hold.
	durableTerm uint64

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
	// predecessorTerm is the last term with entries before the replica's own.
	predecessorTerm uint64
	transferee      uint64
	transferAt      time.Time

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
	c.durableTerm = s.HardState.Term
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

func (c *core) assert(ok bool, format string, args ...any) {
	if !ok {
		panic("raft invariant: " + fmt.Sprintf(format, args...))
	}
}
