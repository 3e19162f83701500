package disk

import (
	"os"
	"path/filepath"
	"slices"
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

// TestSpillOnAFullDisk guards against a store host that panics as it applies a command, because the payload has no room on
// the disk, and against one that keeps payloads in memory without a bound.
func TestSpillOnAFullDisk(t *testing.T) {
	s := &Spill{Dir: t.TempDir()}
	read := func(r Ref) string {
		b, err := r.Read()
		qt.Assert(t, err, qt.IsNil)
		return string(b)
	}
	before, err := s.Append([][]byte{[]byte("before")})
	qt.Assert(t, err, qt.IsNil)
	file := s.file
	s.file = fullDevice(t)
	during, err := s.Append([][]byte{[]byte("one"), nil, []byte("two")})
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Append([][]byte{make([]byte, maxHeldBytes)})
	qt.Assert(t, raft.IsDiskFull(err), qt.IsTrue, qt.Commentf("%v", err))
	s.file = file
	after, err := s.Append([][]byte{[]byte("after")})
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for _, r := range slices.Concat(before, during, after) {
		got = append(got, read(r))
	}
	qt.Assert(t, got, qt.DeepEquals, []string{"before", "one", "", "two", "after"})
	qt.Assert(t, s.held, qt.Equals, 0)
}

// TestSnapshotThatIsNotCompleted guards against snapshots that count as saved although nothing names them, and against their
// files, which would fill the disk for good.
func TestSnapshotThatIsNotCompleted(t *testing.T) {
	// The name of the folder is no pattern.
	s := &Snapshots{Dir: filepath.Join(t.TempDir(), "[data")}
	qt.Assert(t, os.Mkdir(s.Dir, 0o700), qt.IsNil)
	saved, err := s.Save(raft.SnapshotMeta{Index: 3, Term: 1}, snapshotContent("three"))
	qt.Assert(t, err, qt.IsNil)
	// A folder in the place of the temporary file makes the meta file's replacement fail.
	blocker := filepath.Join(s.Dir, metaFile+".tmp")
	qt.Assert(t, os.Mkdir(blocker, 0o700), qt.IsNil)
	failed, err := s.Save(raft.SnapshotMeta{Index: 9, Term: 2}, snapshotContent("nine"))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, failed, qt.DeepEquals, raft.SnapshotMeta{})
	qt.Assert(t, os.Remove(blocker), qt.IsNil)
	for _, name := range []string{savingFile, partialFile} {
		qt.Assert(t, os.WriteFile(filepath.Join(s.Dir, name), []byte("part"), 0o600), qt.IsNil)
	}

	reopened := &Snapshots{Dir: s.Dir}
	qt.Assert(t, reopened.Load(), qt.IsNil)
	latest, ok := reopened.Latest()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, latest, qt.DeepEquals, saved)
	files, err := os.ReadDir(s.Dir)
	qt.Assert(t, err, qt.IsNil)
	var names []string
	for _, f := range files {
		names = append(names, f.Name())
	}
	qt.Assert(t, names, qt.ContentEquals, []string{metaFile, snapshotName(3)})
}
