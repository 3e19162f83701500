package raft

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
)

// errFull is the error of a write to a full disk.
var errFull = errors.Annotate(syscall.ENOSPC, "write")

// unsavedSnapshots is a SnapshotStore on whose disk the content of a snapshot has room, and what names it has none.
type unsavedSnapshots struct {
	*fakeSnapshots
	full bool
}

func (u *unsavedSnapshots) Save(m SnapshotMeta, w rhubarbgate.SnapshotWriter) (SnapshotMeta, error) {
	if u.full {
		m.Size = 1
		return m, errFull
	}
	return u.fakeSnapshots.Save(m, w)
}

// TestLogIsKeptIfItsSnapshotIsNotSaved guards against a log without its beginning and without the snapshot of that: the
// replica cannot be started again, and a leader cannot bring another replica up to date, so that the group commits
// nothing once others are behind.
func TestLogIsKeptIfItsSnapshotIsNotSaved(t *testing.T) {
	cl := newCluster(1, 3)
	cl.run(2 * time.Second)
	l := cl.leader()
	behind := cl.replicas[l.self.ID%3+1]
	cl.crash(behind.self.ID)
	l.group.Snapshots = &unsavedSnapshots{l.snapshots, true}
	for i := range 100 {
		l.group.Propose(command(0, uint64(i)), func(Result) {})
		cl.run(testStep)
	}
	qt.Assert(t, l.group.Status().Snapshot, qt.Equals, uint64(0))
	cl.start(behind)
	cl.run(time.Second)
	qt.Assert(t, behind.machine.values, qt.DeepEquals, l.machine.values)
	cl.crash(l.self.ID)
	cl.start(l)
}
