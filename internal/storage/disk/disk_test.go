package disk

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Term: term, Index: index, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

func members() raft.Members { return raft.Members{{ID: 1, Incarnation: 7}} }

// TestCrashAtAnyByte guards against losing acknowledged entries, or refusing to
// start, after a crash during a write. It cuts off, zeroes or flips a bit in the
// last record at any byte; all earlier records must be read back.
func TestCrashAtAnyByte(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		l := &Log{Dir: dir}
		os.Remove(l.path())
		_, _, err := l.Load()
		must(t, err)
		must(t, l.Reset(raft.Stored{Base: raft.SnapshotMeta{Members: members()}}))
		batches := uint64(rapid.IntRange(0, 5).Draw(t, "batches"))
		for i := uint64(1); i <= batches; i++ {
			must(t, l.Append(raft.HardState{Term: i}, []raft.Entry{entry(i, i)}))
		}
		acknowledged := l.size
		must(t, l.Append(raft.HardState{Term: batches + 1}, []raft.Entry{entry(batches+1, batches+1), entry(batches+2, batches+1)}))
		l.Close()
		b, err := os.ReadFile(l.path())
		must(t, err)
		b = damageTail(t, b, int(acknowledged))
		must(t, os.WriteFile(l.path(), b, 0o600))
		reopened := &Log{Dir: dir}
		s, ok, err := reopened.Load()
		must(t, err)
		defer reopened.Close()
		if !ok || len(s.Entries) != int(batches) || s.HardState.Term != batches {
			t.Fatalf("read back %d of %d entries, term %d", len(s.Entries), batches, s.HardState.Term)
		}
		must(t, reopened.Append(raft.HardState{Term: batches + 1}, []raft.Entry{entry(batches+1, batches+1)}))
	})
}

func must(t rapid.TB, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// damageTail damages b after the acknowledged bytes.
func damageTail(t *rapid.T, b []byte, acknowledged int) []byte {
	at := rapid.IntRange(acknowledged, len(b)-1).Draw(t, "at")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return b[:at]
	case 1:
		clear(b[at:])
	default:
		b[at] ^= 0x40
	}
	return b
}

// TestCorruptRecordInTheMiddleIsAnError guards against dropping acknowledged
// entries without an error when a byte is damaged, in the header or the payload of
// a record that valid records follow.
func TestCorruptRecordInTheMiddleIsAnError(t *testing.T) {
	for _, offset := range []int{2, 30, 60} {
		c := qt.New(t)
		l := &Log{Dir: t.TempDir()}
		_, _, err := l.Load()
		c.Assert(err, qt.IsNil)
		c.Assert(l.Reset(raft.Stored{Base: raft.SnapshotMeta{Members: members()}}), qt.IsNil)
		start := l.size
		for i := uint64(1); i <= 3; i++ {
			c.Assert(l.Append(raft.HardState{Term: 1}, []raft.Entry{entry(i, 1)}), qt.IsNil)
		}
		b, err := os.ReadFile(l.path())
		c.Assert(err, qt.IsNil)
		b[int(start)+offset] ^= 1
		c.Assert(os.WriteFile(l.path(), b, 0o600), qt.IsNil)
		_, _, err = (&Log{Dir: l.Dir}).Load()
		c.Assert(errors.Is(err, raft.ErrCorrupt), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// TestTornRecordWithAFrameInside guards against a host that does not start after a crash during the
// write of an entry whose data, which callers choose, looks like a record.
func TestTornRecordWithAFrameInside(t *testing.T) {
	inside := appendFrame(nil, []byte("data"))
	l := &Log{Dir: t.TempDir()}
	_, _, err := l.Load()
	must(t, err)
	must(t, l.Reset(raft.Stored{Base: raft.SnapshotMeta{Members: members()}}))
	must(t, l.Append(raft.HardState{Term: 1}, []raft.Entry{entry(1, 1)}))
	acknowledged := l.size
	must(t, l.Append(raft.HardState{Term: 1}, []raft.Entry{{Term: 1, Index: 2, Kind: raft.EntryCommand, Data: append(inside, "more"...)}}))
	b, err := os.ReadFile(l.path())
	must(t, err)
	for size := int(acknowledged); size < len(b); size++ {
		must(t, os.WriteFile(l.path(), b[:size], 0o600))
		reopened := &Log{Dir: l.Dir}
		s, _, err := reopened.Load()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("cut after %d of %d bytes", size, len(b)))
		qt.Assert(t, s.Entries, qt.HasLen, 1)
		reopened.Close()
	}
}

// snapshotContent is a rhubarbgate.SnapshotWriter of fixed bytes.
type snapshotContent []byte

func (b snapshotContent) WriteSnapshot(w io.Writer) error {
	_, err := w.Write(b)
	return err
}

func (snapshotContent) Release() {}

// TestSnapshotTransferInChunks guards against a received snapshot that differs
// from the one sent, also when a chunk is received twice because its reply was
// lost.
func TestSnapshotTransferInChunks(t *testing.T) {
	c := qt.New(t)
	from, to := &Snapshots{Dir: t.TempDir()}, &Snapshots{Dir: t.TempDir()}
	data := bytes.Repeat([]byte("state "), 1000)
	m, err := from.Save(raft.SnapshotMeta{Index: 9, Term: 2, Members: members()}, snapshotContent(data))
	c.Assert(err, qt.IsNil)
	offset := int64(0)
	for i := 0; offset < m.Size; i++ {
		b, err := from.ReadChunk(9, offset, 700)
		c.Assert(err, qt.IsNil)
		next, err := to.WriteChunk(m, offset, b)
		c.Assert(err, qt.IsNil)
		if i == 2 {
			// A repeated chunk changes nothing and returns the offset wanted next.
			again, err := to.WriteChunk(m, offset, b)
			c.Assert(err, qt.IsNil)
			c.Assert(again, qt.Equals, next)
		}
		offset = next
	}
	reopened := &Snapshots{Dir: to.Dir}
	c.Assert(reopened.Load(), qt.IsNil)
	r, err := reopened.Open()
	c.Assert(err, qt.IsNil)
	defer r.Close()
	b := make([]byte, r.Size())
	_, err = r.ReadAt(b, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, data)
}

// TestCorruptSnapshotIsAnError guards against starting from a snapshot whose
// content was damaged on disk.
func TestCorruptSnapshotIsAnError(t *testing.T) {
	c := qt.New(t)
	s := &Snapshots{Dir: t.TempDir()}
	_, err := s.Save(raft.SnapshotMeta{Index: 9, Term: 2}, snapshotContent("state"))
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(s.Dir, snapshotName(9)), []byte("stale"), 0o600), qt.IsNil)
	c.Assert(errors.Is((&Snapshots{Dir: s.Dir}).Load(), raft.ErrCorrupt), qt.IsTrue)
}

// TestDataFolderOfAnotherReplicaIsRefused guards against a replica that votes
// under another ID than the one its data folder was created for.
func TestDataFolderOfAnotherReplicaIsRefused(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	random := rand.New(rand.NewPCG(1, 1))
	first, err := LoadIdentity(dir, 1, random)
	c.Assert(err, qt.IsNil)
	again, err := LoadIdentity(dir, 1, random)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, first)
	_, err = LoadIdentity(dir, 2, random)
	c.Assert(err, qt.ErrorMatches, `.*data folder of replica 1 for replica 2.*`)
}

// FuzzFrames guards against treating a valid record as part of a torn tail.
func FuzzFrames(f *testing.F) {
	f.Add(appendFrame(nil, []byte("payload")))
	f.Add([]byte{})
	f.Add(appendFrame(appendFrame(nil, nil), []byte("second"))[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		size, err := scanFrames(b, func([]byte) error { return nil })
		if size > len(b) {
			t.Fatalf("%d valid bytes of %d", size, len(b))
		}
		if err == nil && size < len(b) && hasLaterFrame(b[size:]) {
			t.Fatal("a valid record was taken for part of a torn tail")
		}
	})
}

// FuzzLogRecord guards against panics on a record whose checksum is valid and
// whose content is malformed.
func FuzzLogRecord(f *testing.F) {
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		var s raft.Stored
		_ = replay(&s, b)
	})
}

// FuzzSnapshotMeta guards against loading a snapshot from a damaged meta file.
func FuzzSnapshotMeta(f *testing.F) {
	dir := f.TempDir()
	s := &Snapshots{Dir: dir}
	if _, err := s.Save(raft.SnapshotMeta{Index: 9, Term: 2}, snapshotContent("state")); err != nil {
		f.Fatal(err)
	}
	b, err := os.ReadFile(filepath.Join(dir, metaFile))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if os.WriteFile(filepath.Join(dir, metaFile), b, 0o600) != nil {
			t.Skip()
		}
		x := &Snapshots{Dir: dir}
		if x.Load() == nil && x.latest.File != "" && x.latest.Meta.Index != 9 {
			t.Fatalf("loaded %+v from a damaged meta file", x.latest)
		}
	})
}
