package raft

import (
	"syscall"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
)

// ErrCorrupt reports damaged storage, or a log that does not fit the snapshot. A record
// that is incomplete at the end of the log is not damage: it was never acknowledged.
const ErrCorrupt = errors.ConstError("storage is corrupt")

// IsDiskFull reports whether a write failed for lack of room, which may be there again later.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// HardState is the term and the vote in it. It must be durable before any message
// that depends on it is sent.
type HardState struct {
	Term uint64
	Vote uint64
}

// Stored is the content of a Log.
type Stored struct {
	HardState HardState
	// Base identifies the entry before the first one in Entries, and the membership in
	// force there.
	Base    SnapshotMeta
	Entries []Entry
}

// Log is the durable log of one replica. Writes return only after a sync.
type Log interface {
	// Load returns the stored state; ok is false for a log without a base.
	Load() (s Stored, ok bool, err error)
	// Append stores entries and the hard state in one synced batch. An entry at or
	// below the last stored index replaces the stored entry and all after it.
	Append(h HardState, entries []Entry) error
	// Reset replaces the hard state, the base and all entries.
	Reset(s Stored) error
}

// SnapshotStore stores the newest snapshot of one replica.
type SnapshotStore interface {
	// Latest returns the newest complete snapshot.
	Latest() (SnapshotMeta, bool)
	// Save writes a snapshot, syncs it and returns m with its size and checksum. After an error the
	// snapshot is not stored.
	Save(m SnapshotMeta, w rhubarbgate.SnapshotWriter) (SnapshotMeta, error)
	// ReadChunk returns up to limit bytes of the latest snapshot from offset on. It
	// fails if the latest snapshot is not the one at index.
	ReadChunk(index uint64, offset int64, limit int) ([]byte, error)
	// WriteChunk stores a part of an incoming snapshot and returns the offset of the
	// part needed next, which is m.Size once the snapshot is complete and synced.
	WriteChunk(m SnapshotMeta, offset int64, data []byte) (int64, error)
	// Open returns the latest snapshot for reading.
	Open() (rhubarbgate.SnapshotReader, error)
}

// Transport sends messages to other replicas. Send does not block and may drop any
// message.
type Transport interface {
	Send(to Member, m Message)
}
