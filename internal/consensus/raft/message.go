// Package raft replicates a log over the control hosts: elections, leader leases, snapshots and membership changes.
package raft

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=EntryKind,MessageKind,Phase -output=kind_string.go

// EntryKind says what a log entry holds.
type EntryKind uint8

const (
	// EntryNoop opens a leader's term.
	EntryNoop EntryKind = iota
	// EntryCommand is a command for the state machine.
	EntryCommand
	// EntryMembers replaces the group's membership.
	EntryMembers
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte `msgpack:",omitempty"`
}

// Member is a replica of the group. Incarnation is drawn when its data folder is
// created, so a replica that lost its disk is not taken for its predecessor.
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

// Voters returns how many members vote.
func (m Members) Voters() int {
	n := 0
	for _, x := range m {
		if !x.Learner {
			n++
		}
	}
	return n
}

// Quorum returns how many voters make a majority.
func (m Members) Quorum() int { return m.Voters()/2 + 1 }

// With returns a copy of m in which x is added or replaced.
func (m Members) With(x Member) Members {
	r := m.Without(x.ID)
	r = append(r, x)
	slices.SortFunc(r, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// Without returns a copy of m that lacks the member with the given ID.
func (m Members) Without(id uint64) Members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.ID == id })
}

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

const (
	// PreVote asks whether an election could succeed, without raising the term.
	PreVote MessageKind = iota
	// PreVoteReply answers a PreVote.
	PreVoteReply
	// Vote asks for a vote.
	Vote
	// VoteReply answers a Vote.
	VoteReply
	// Append carries entries, or none as a heartbeat.
	Append
	// AppendReply acknowledges an Append or asks for an earlier position.
	AppendReply
	// Chunk carries a part of a snapshot.
	Chunk
	// ChunkReply tells which offset the receiver wants next.
	ChunkReply
	// TimeoutNow tells the receiver to start an election at once.
	TimeoutNow
)

// SnapshotMeta names a snapshot by the last entry that it covers.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Members
	// Size is in bytes.
	Size int64
	// Checksum is the CRC-32C of the content.
	Checksum uint32
}

// Message travels between two replicas of a group.
type Message struct {
	Kind            MessageKind
	Group           uint32
	From            uint64
	FromIncarnation uint64
	FromAddress     netip.AddrPort
	To              uint64
	ToAddress       netip.AddrPort
	Term            uint64
	// Index and LogTerm are the position before Entries, or the last of the log.
	Index   uint64  `msgpack:",omitempty"`
	LogTerm uint64  `msgpack:",omitempty"`
	Commit  uint64  `msgpack:",omitempty"`
	Entries []Entry `msgpack:",omitempty"`
	Reject  bool    `msgpack:",omitempty"`
	// Forced votes ignore the lease of a leader that handed over.
	Forced bool `msgpack:",omitempty"`
	// Clock is the sender's time since its start; Echo returns the receiver's own.
	Clock time.Duration
	Echo  time.Duration `msgpack:",omitempty"`
	// QuorumAge is how long ago the leader was last confirmed by a quorum.
	QuorumAge time.Duration `msgpack:",omitempty"`
	Snapshot  SnapshotMeta  `msgpack:",omitempty"`
	Offset    int64         `msgpack:",omitempty"`
	Data      []byte        `msgpack:",omitempty"`
}

// Phase is what a replica currently does in its group.
type Phase uint8

const (
	// Follower replicates from a leader or waits for one.
	Follower Phase = iota
	// PreCandidate probes whether it could win an election.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends and replicates entries.
	Leader
)
