package rhubarbgate

import "io"

// StateMachine is deterministic state that a replicated log of commands changes.
// The log calls all methods from one goroutine.
type StateMachine interface {
	// Apply executes the committed command at index and returns its result, which
	// is delivered only on the replica that proposed the command.
	Apply(index uint64, command []byte) any
	// Snapshot returns a writer of the state as of the last applied command.
	// The writer runs later on another goroutine, concurrently with Apply.
	Snapshot() SnapshotWriter
	// Restore replaces the state by the one that r holds. r stays readable
	// after Restore returns, so that large payloads need not be copied.
	Restore(r SnapshotReader) error
}

// SnapshotWriter writes one snapshot. Release frees the resources it holds.
type SnapshotWriter interface {
	WriteSnapshot(w io.Writer) error
	Release()
}

// SnapshotReader reads a snapshot from disk.
type SnapshotReader interface {
	io.ReaderAt
	Size() int64
	Close() error
}
