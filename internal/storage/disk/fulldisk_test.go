package disk

import (
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// fullDevice returns a file to which each write fails for lack of room.
func fullDevice(t *testing.T) *os.File {
	f, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { f.Close() })
	return f
}

// TestLogAfterAFullDisk guards against a log that cannot be written any more, or loses entries, after its disk was full.
func TestLogAfterAFullDisk(t *testing.T) {
	l := &Log{Dir: t.TempDir()}
	_, _, err := l.Load()
	qt.Assert(t, err, qt.IsNil)
	stored := raft.Stored{Base: raft.SnapshotMeta{Members: members()}}
	qt.Assert(t, l.Reset(stored), qt.IsNil)

	file := l.file
	l.file = fullDevice(t)
	err = l.Append(raft.HardState{Term: 1}, []raft.Entry{entry(1, 1)})
	qt.Assert(t, errors.Is(err, syscall.ENOSPC), qt.IsTrue, qt.Commentf("%v", err))
	l.file = file
	qt.Assert(t, l.Append(raft.HardState{Term: 1}, []raft.Entry{entry(1, 1)}), qt.IsNil)

	// A folder in the place of the temporary file makes Reset fail as it begins.
	blocker := l.path() + ".tmp"
	qt.Assert(t, os.Mkdir(blocker, 0o700), qt.IsNil)
	stored.HardState.Term, stored.Entries = 2, []raft.Entry{entry(1, 1), entry(2, 2)}
	qt.Assert(t, l.Reset(stored), qt.IsNotNil)
	qt.Assert(t, os.Remove(blocker), qt.IsNil)
	qt.Assert(t, l.Reset(stored), qt.IsNil)
	qt.Assert(t, l.Append(raft.HardState{Term: 3}, []raft.Entry{entry(3, 3)}), qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)

	reopened := &Log{Dir: l.Dir}
	s, ok, err := reopened.Load()
	qt.Assert(t, err, qt.IsNil)
	defer reopened.Close()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, s.HardState.Term, qt.Equals, uint64(3))
	qt.Assert(t, s.Entries, qt.DeepEquals, []raft.Entry{entry(1, 1), entry(2, 2), entry(3, 3)})
}
