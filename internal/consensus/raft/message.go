// Package raft replicates a log by the Raft consensus algorithm, with leader leases, snapshots and membership changes.
package raft

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=EntryKind,MessageKind,Phase -output=kind_string.go

// EntryKind is the kind of content of a log entry.
type EntryKind uint8

const (
	// EntryNoop is the empty first entry of a leader's term.
	EntryNoop EntryKind = iota
	// EntryCommand is a command for the state machine.
	EntryCommand
	// EntryMembers is a new membership of the group.
	EntryMembers
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte `msgpack:",omitempty"`
}

// Member is a replica of the group. Incarnation is a random number drawn when the
// replica's data folder is created: a replica with a new disk under the same ID has
// none of the entries and votes that the old one acknowledged, so it must not count
// as the same member.
type Member struct {
	ID          uint64
	Incarnation uint64
	Address     netip.AddrPort
	Learner     bool `msgpack:",omitempty"`
}

// Members is the group's membership, ordered by ID.
type Members []Member

// Find returns the member with the given ID.
func (m Members) Find(id uint64) (Member, bool) {
	for _, x := range m {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// Voters returns the number of members that vote.
func (m Members) Voters() int {
	n := 0
	for _, x := range m {
		if !x.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters in a majority.
func (m Members) Quorum() int { return m.Voters()/2 + 1 }

// With returns a copy of m with x in place of the member of the same ID, if any.
func (m Members) With(x Member) Members {
	r := m.Without(x.ID)
	r = append(r, x)
	slices.SortFunc(r, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// Without returns a copy of m without the member with the given ID.
func (m Members) Without(id uint64) Members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.ID == id })
}

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

const (
	// PreVote asks whether the receiver would grant a vote, without raising the term.
	PreVote MessageKind = iota
	// PreVoteReply grants or rejects a PreVote.
	PreVoteReply
	// Vote asks for a vote in an election (RequestVote in the Raft paper).
	Vote
	// VoteReply grants or rejects a Vote.
	VoteReply
	// Append carries log entries, or none as a heartbeat (AppendEntries).
	Append
	// AppendReply acknowledges an Append, or rejects it and asks for earlier entries.
	AppendReply
	// Chunk carries a part of a snapshot (InstallSnapshot).
	Chunk
	// ChunkReply carries the offset of the part that the receiver needs next.
	ChunkReply
	// TimeoutNow makes the receiver start an election at once, to transfer leadership.
	TimeoutNow
)

// SnapshotMeta identifies a snapshot by the last entry that it covers. Members is the
// membership in force at that entry.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Members
	// Size is in bytes.
	Size int64
	// Checksum is the CRC-32C of the snapshot's content.
	Checksum uint32
}

// IdleState describes a replica that heard no leader since its start. Term is its own term,
// which a granted pre-vote does not show.
type IdleState struct{ Term uint64 }

// Message is sent from one replica of a group to another.
type Message struct {
	Kind            MessageKind
	Group           uint32
	From            uint64
	FromIncarnation uint64
	FromAddress     netip.AddrPort
	To              uint64
	ToAddress       netip.AddrPort
	Term            uint64
	// Index and LogTerm identify the entry before Entries in an Append, and the last
	// entry of the candidate's log in a PreVote or Vote. In a reply, Index is the last
	// entry acknowledged or, in a rejection, the one to continue after.
	Index   uint64  `msgpack:",omitempty"`
	LogTerm uint64  `msgpack:",omitempty"`
	Commit  uint64  `msgpack:",omitempty"`
	Entries []Entry `msgpack:",omitempty"`
	Reject  bool    `msgpack:",omitempty"`
	// Forced marks an election that no lease can oppose: the leader itself asked for it,
	// or all voters restarted.
	Forced bool `msgpack:",omitempty"`
	// Idle is set in a PreVoteReply of a sender that heard no leader since its start. Index
	// and LogTerm then identify the last entry of its log.
	Idle *IdleState `msgpack:",omitempty"`
	// Clock is the time since the sender's start, by the sender's clock, plus a random
	// offset; Echo is the Clock of the receiver's last reply, or that of the message that
	// the sender replies to.
	Clock time.Duration
	Echo  time.Duration `msgpack:",omitempty"`
	// QuorumAge is the time since the leader sent the newest messages that a quorum
	// replied to.
	QuorumAge time.Duration `msgpack:",omitempty"`
	Snapshot  SnapshotMeta  `msgpack:",omitempty"`
	Offset    int64         `msgpack:",omitempty"`
	Data      []byte        `msgpack:",omitempty"`
}

// Phase is the state of a replica in the Raft protocol.
type Phase uint8

const (
	// Follower replicates from a leader or waits for one.
	Follower Phase = iota
	// PreCandidate asks for pre-votes before it starts an election.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends entries and replicates them.
	Leader
)
