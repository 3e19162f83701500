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
	full     bool
	attempts int
}

func (u *unsavedSnapshots) Save(m SnapshotMeta, w rhubarbgate.SnapshotWriter) (SnapshotMeta, error) {
	u.attempts++
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
	l.group.Snapshots = &unsavedSnapshots{fakeSnapshots: l.snapshots, full: true}
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

// TestSnapshotsOnAFullDisk guards against a replica that writes its whole state over and over while the disk has no room
// for a snapshot, and against one that takes none once there is room.
func TestSnapshotsOnAFullDisk(t *testing.T) {
	cl := newCluster(1, 3)
	cl.run(2 * time.Second)
	l := cl.leader()
	s := &unsavedSnapshots{fakeSnapshots: l.snapshots, full: true}
	l.group.Snapshots = s
	write := func() {
		for i := range 100 {
			l.group.Propose(command(0, uint64(i)), func(Result) {})
			cl.run(5 * testStep)
		}
	}
	write()
	qt.Assert(t, s.attempts > 0 && s.attempts <= 6, qt.IsTrue, qt.Commentf("%d attempts in 5 s", s.attempts))
	s.full = false
	write()
	qt.Assert(t, l.group.Status().Snapshot > 0, qt.IsTrue)
}

// TestFullDisksOneAfterAnother guards against replicas that stop while their disks are full, and against a group that
// commits nothing for good after the disks of its replicas were full for a while, one after the other.
func TestFullDisksOneAfterAnother(t *testing.T) {
	for seed := range uint64(200) {
		cl := newCluster(seed, 3)
		cl.run(2 * time.Second)
		value := uint64(0)
		// write proposes commands for a while and returns how many were committed.
		write := func(d time.Duration) (committed int) {
			for range d / (5 * testStep) {
				if l := cl.leader(); l != nil {
					value++
					l.group.Propose(command(byte(value%8), value), func(r Result) {
						if r.Err == nil {
							committed++
						}
					})
				}
				cl.run(5 * testStep)
			}
			return committed
		}
		for _, i := range cl.random.Perm(3) {
			r := cl.replicas[uint64(i+1)]
			r.slowDisk = cl.random.IntN(2) == 0
			write(time.Duration(cl.random.IntN(500)) * time.Millisecond)
			r.log.full, r.snapshots.full = true, true
			write(time.Duration(500+cl.random.IntN(2500)) * time.Millisecond)
			qt.Assert(t, r.running, qt.IsTrue, qt.Commentf("seed %d: replica %d stopped", seed, i+1))
			r.log.full = false
			if cl.random.IntN(2) == 0 {
				// Room comes back after a snapshot has failed and before the log is written.
				write(30 * testStep)
			}
			r.snapshots.full, r.slowDisk = false, false
			write(time.Duration(cl.random.IntN(1000)) * time.Millisecond)
		}
		cl.run(2 * time.Second)
		qt.Assert(t, write(time.Second) > 0, qt.IsTrue, qt.Commentf("seed %d: nothing is committed long after all disks have room", seed))
		for id, r := range cl.replicas {
			cl.crash(id)
			cl.start(r)
			cl.run(time.Second)
		}
		qt.Assert(t, write(time.Second) > 0, qt.IsTrue, qt.Commentf("seed %d: nothing is committed after restarts", seed))
		cl.run(time.Second)
		for id, r := range cl.replicas {
			qt.Assert(t, r.machine.values, qt.DeepEquals, cl.leader().machine.values, qt.Commentf("seed %d: replica %d", seed, id))
		}
	}
}
