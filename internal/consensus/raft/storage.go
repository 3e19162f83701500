package raft

import (
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
)

// ErrCorrupt reports a damaged record in the middle of a log or snapshot.
const ErrCorrupt = errors.ConstError("storage is corrupt")

// HardState must be durable before any message that depends on it leaves.
type HardState struct {
	Term uint64
	Vote uint64
}

// Stored is what a Log holds when it is opened.
type Stored struct {
	HardState HardState
	// Base is the position before the first entry; its Members are in force there.
	Base    SnapshotMeta
	Entries []Entry
}

// Log is the durable log of one replica. An entry at or below the last index
// overrides the stored suffix. All methods return only after a sync.
type Log interface {
	// Load returns the stored state; ok is false for a log without a base.
	Load() (s Stored, ok bool, err error)
	// Append stores entries and the hard state in one synced batch.
	Append(h HardState, entries []Entry) error
	// Reset replaces the log by a base and the entries behind it.
	Reset(s Stored) error
}

// SnapshotStore keeps the newest snapshot of one replica.
type SnapshotStore interface {
	// Latest returns the newest complete snapshot.
	Latest() (SnapshotMeta, bool)
	// Save writes a snapshot and syncs it.
	Save(m SnapshotMeta, w rhubarbgate.SnapshotWriter) (SnapshotMeta, error)
	// ReadChunk returns up to limit bytes of the latest snapshot, which must be
	// the one at index.
	ReadChunk(index uint64, offset int64, limit int) ([]byte, error)
	// WriteChunk stores a part of an incoming snapshot and returns the offset
	// wanted next; it is m.Size once the snapshot is complete and synced.
	WriteChunk(m SnapshotMeta, offset int64, data []byte) (int64, error)
	// Open returns the latest snapshot for reading.
	Open() (rhubarbgate.SnapshotReader, error)
}

// Transport sends messages without waiting; it may drop any of them.
type Transport interface {
	Send(to Member, m Message)
}
