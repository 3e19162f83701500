package rhubarbgate

import "io"

// StateMachine is the deterministic state that a replicated log drives.
// The log calls all methods from one goroutine.
type StateMachine interface {
	// Apply executes the committed command at index and returns its result.
	// The result is delivered only on the replica that proposed the command.
	Apply(index uint64, command []byte) any
	// Snapshot returns a writer of the state as of the last applied command.
	// The writer runs later on another goroutine, while Apply goes on.
	Snapshot() SnapshotWriter
	// Restore replaces the state by the one that r holds. r stays readable
	// after Restore returns, so that large payloads need not be copied.
	Restore(r SnapshotReader) error
}

// SnapshotWriter writes one snapshot and then releases what it holds.
type SnapshotWriter interface {
	WriteSnapshot(w io.Writer) error
	Release()
}

// SnapshotReader is a snapshot on disk.
type SnapshotReader interface {
	io.ReaderAt
	Size() int64
	Close() error
}
