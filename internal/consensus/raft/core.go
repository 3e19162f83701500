package raft

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// Errors of a proposal that will never be committed. ErrNotLeader also fails reads.
const (
	// ErrNotLeader reports that this replica does not lead the group or is transferring
	// leadership, or that an entry of another leader replaced the proposal's.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrBusy rejects a membership change while an earlier one, or the leader's
	// first entry, is not committed.
	ErrBusy = errors.ConstError("a membership change is in progress")
)

const (
	// maxAppendBytes bounds the entries of one Append message; a single larger
	// entry is still sent.
	maxAppendBytes = 1 << 20
	// maxAppendEntries bounds the number of entries in one Append message.
	maxAppendEntries = 4096
	// snapshotChunkBytes is the largest size of the data in one Chunk message.
	snapshotChunkBytes = 512 << 10
	// resendAfterHeartbeats is the number of heartbeats without a reply after
	// which a message in flight counts as lost.
	resendAfterHeartbeats = 3
	// maxClockOffset bounds core.clockOffset; the rest of the range is left for the
	// time since the start.
	maxClockOffset = math.MaxInt64 / 2
	// promotionMaxLagEntries is the largest number of entries that a learner may
	// lack when it is promoted to a voter.
	promotionMaxLagEntries = 64
)

// core is the Raft protocol state of one replica. Its only I/O is reading and
// writing snapshot chunks; Group calls it, persists its log and sends its messages.
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
	// drift is the largest relative rate error of any clock of the group, such as 0.01.
	drift float64

	startedAt time.Time
	// clockOffset is a random number drawn at each start. Message.Clock counts from it,
	// so that an echo of an earlier process's clock is recognized.
	clockOffset time.Duration
	phase       Phase
	term        uint64
	votedFor    uint64
	leader      uint64

	raftLog *entryLog
	members Members
	// membersIndex is the index of the entry that holds members.
	membersIndex uint64
	commitIndex  uint64
	syncedIndex  uint64
	// writingIndex is the last index that the write in progress covers, 0 without
	// a write.
	writingIndex   uint64
	writeStartedAt time.Time
	// durableTerm is the term of the newest hard state known to be on disk.
	durableTerm uint64

	leaderContactAt    time.Time // when the last message of a current leader arrived
	electionDeadline   time.Time // when the replica starts an election
	nextHeartbeatAt    time.Time
	votes              map[uint64]bool
	sawLeader          bool                 // a leader was heard or elected since the start
	idle               map[uint64]idleReply // by voter
	peers              map[uint64]*progress
	confirmedAt        time.Time // send time of the newest messages that a quorum replied to
	noopIndex          uint64    // index of the first entry of the leader's own term
	lastTermReceivedAt time.Time // when the first entry of the log's last term was appended
	// predecessorAt is lastTermReceivedAt as of this replica's election as leader.
	predecessorAt time.Time
	electedAt     time.Time
	// predecessorTerm is the term of the last entry before this leader's first one.
	predecessorTerm   uint64
	transferee        uint64
	transferStartedAt time.Time

	fresh             freshness
	installedSnapshot *SnapshotMeta
	hardStateChanged  bool      // since the hard state was last passed to a write
	outImmediate      []Message // may be sent before the log is synced
	outAfterSync      []Message // may be sent once the log is synced
}

// progress is the leader's replication state for one peer.
type progress struct {
	nextIndex            uint64
	matchIndex           uint64
	ackedSendTime        time.Time     // send time of the newest message that the peer replied to
	peerClock            time.Duration // Message.Clock of the last reply; the peer's clock starts anew with its process
	inFlight             bool          // an Append with entries or a Chunk has no reply yet
	heartbeatsSinceReply int           // heartbeats sent since the last reply
	snapshotOffset       int64         // of the next chunk, in bytes
	snapshotIndex        uint64        // index of the snapshot being sent, or 0
}

// freshness bounds the age of a replica's applied state.
type freshness struct {
	// at is a time at which a quorum confirmed the applied state.
	at time.Time
	// pendingAt replaces at once pendingCommit is applied.
	pendingAt     time.Time
	pendingCommit uint64
}

// start initializes the core from the durable state.
func (c *core) start(stored Stored) {
	c.startedAt = c.clock.Now()
	c.clockOffset = time.Duration(1 + c.random.Int64N(maxClockOffset))
	c.term = stored.HardState.Term
	c.votedFor = stored.HardState.Vote
	c.durableTerm = stored.HardState.Term
	c.raftLog = newEntryLog(stored.Base, stored.Entries)
	c.commitIndex = stored.Base.Index
	c.syncedIndex = c.raftLog.last()
	c.peers = map[uint64]*progress{}
	c.sawLeader, c.idle = false, map[uint64]idleReply{}
	c.refreshMembers()
	// Contact with a leader is not persisted. A leader may still hold a lease that
	// rests on this replica's reply from before a restart, so the replica grants no
	// vote for a full election timeout.
	c.leaderContactAt = c.clock.Now()
	c.lastTermReceivedAt = c.clock.Now()
	c.becomeFollower(c.term, 0)
}

// messageClock converts t to a value of Message.Clock.
func (c *core) messageClock(t time.Time) time.Duration { return c.clockOffset + t.Sub(c.startedAt) }

// echoedTime converts the echo of an own Message.Clock to a time. It reports false for an
// echo of a message that an earlier process of this replica sent.
func (c *core) echoedTime(echo time.Duration) (time.Time, bool) {
	t := c.startedAt.Add(echo - c.clockOffset)
	return t, !t.Before(c.startedAt) && !t.After(c.clock.Now())
}

// resetElectionTimer sets the deadline to one to two election timeouts from now;
// the random part makes split votes unlikely.
func (c *core) resetElectionTimer() {
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout)))
	c.electionDeadline = c.clock.Now().Add(c.electionTimeout + spread)
}

// becomeFollower makes the replica a follower in term; leader is 0 while unknown.
func (c *core) becomeFollower(term, leader uint64) {
	if c.phase == Leader {
		c.logger.WithField("term", c.term).WithField("newTerm", term).Info("stepping down")
	}
	if term != c.term {
		c.term = term
		c.votedFor = 0
		c.hardStateChanged = true
	}
	c.phase = Follower
	c.leader = leader
	c.transferee = 0
	c.resetElectionTimer()
}

// append adds an entry of the current term to the leader's log and returns its index.
func (c *core) append(kind EntryKind, data []byte) uint64 {
	e := Entry{Term: c.term, Index: c.raftLog.last() + 1, Kind: kind, Data: data}
	c.recordTermStart(e.Term)
	c.raftLog.append(e)
	c.adoptMembers([]Entry{e})
	return e.Index
}

// propose appends a command and returns the index and term of its entry.
func (c *core) propose(data []byte) (uint64, uint64, error) {
	if c.phase != Leader || c.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	return c.append(EntryCommand, data), c.term, nil
}

// assert panics if an invariant of the protocol does not hold.
func (c *core) assert(ok bool, format string, args ...any) {
	if !ok {
		panic("raft invariant: " + fmt.Sprintf(format, args...))
	}
}
