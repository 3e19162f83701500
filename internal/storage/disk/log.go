package disk

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const logFile = "log"

// Log implements raft.Log in one file of checksummed records. It is not safe for
// concurrent use.
type Log struct {
	// Dir is the folder of the replica; it must exist.
	Dir string

	file *os.File
	// size is the number of valid bytes of file, at which Append writes.
	size int64
}

var _ raft.Log = (*Log)(nil)

// record is one synced batch of the log.
type record struct {
	HardState raft.HardState
	// Base is set only in the first record of a file.
	Base    *raft.SnapshotMeta
	Entries []raft.Entry
}

func (l *Log) path() string { return filepath.Join(l.Dir, logFile) }

// Load implements raft.Log. It creates the file if there is none, and removes a
// torn tail.
func (l *Log) Load() (raft.Stored, bool, error) {
	b, err := os.ReadFile(l.path())
	if os.IsNotExist(err) {
		return raft.Stored{}, false, l.create(raft.Stored{})
	}
	if err != nil {
		return raft.Stored{}, false, errors.Trace(err)
	}
	var s raft.Stored
	size, err := scanFrames(b, func(payload []byte) error { return replay(&s, payload) })
	if err != nil {
		return raft.Stored{}, false, errors.Annotate(err, l.path())
	}
	if l.file, err = os.OpenFile(l.path(), os.O_RDWR, 0); err != nil {
		return raft.Stored{}, false, errors.Trace(err)
	}
	if err := l.truncateTail(int64(size), int64(len(b))); err != nil {
		return raft.Stored{}, false, errors.Trace(err)
	}
	ok := len(s.Base.Members) > 0 || s.Base.Index > 0 || len(s.Entries) > 0
	return s, ok, nil
}

// truncateTail removes the bytes of the file after the valid ones, so that no
// later record follows an invalid one.
func (l *Log) truncateTail(valid, size int64) error {
	l.size = valid
	if valid == size {
		return nil
	}
	if err := l.file.Truncate(valid); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(l.file.Sync())
}

// replay applies one record to s. An entry at or below the last index replaces it
// and all entries after it.
func replay(s *raft.Stored, payload []byte) error {
	var r record
	if err := wire.Unmarshal(payload, &r); err != nil {
		return errors.Annotatef(raft.ErrCorrupt, "%v", err)
	}
	s.HardState = r.HardState
	if r.Base != nil {
		s.Base = *r.Base
		s.Entries = nil
	}
	for _, e := range r.Entries {
		last := s.Base.Index + uint64(len(s.Entries))
		if e.Index <= s.Base.Index || e.Index > last+1 {
			return errors.Annotatef(raft.ErrCorrupt, "entry %d cannot follow entry %d", e.Index, last)
		}
		s.Entries = append(s.Entries[:e.Index-s.Base.Index-1], e)
	}
	return nil
}

// Append implements raft.Log.
func (l *Log) Append(h raft.HardState, entries []raft.Entry) error {
	payload, err := wire.Marshal(&record{HardState: h, Entries: entries})
	if err != nil {
		return errors.Trace(err)
	}
	b := appendFrame(nil, payload)
	if _, err := l.file.WriteAt(b, l.size); err != nil {
		return errors.Trace(err)
	}
	if err := l.file.Sync(); err != nil {
		return errors.Trace(err)
	}
	l.size += int64(len(b))
	return nil
}

// Reset implements raft.Log. After an error it may be called again.
func (l *Log) Reset(s raft.Stored) error {
	old := l.file
	if err := l.create(s); err != nil {
		return errors.Trace(err)
	}
	if old == nil {
		return nil
	}
	return errors.Trace(old.Close())
}

// create replaces the file by one that holds only s, and opens it. After an error the earlier file may be in use still.
func (l *Log) create(s raft.Stored) error {
	payload, err := wire.Marshal(&record{HardState: s.HardState, Base: &s.Base, Entries: s.Entries})
	if err != nil {
		return errors.Trace(err)
	}
	b := appendFrame(nil, payload)
	if err := writeFile(l.path(), b); err != nil {
		return errors.Trace(err)
	}
	f, err := os.OpenFile(l.path(), os.O_RDWR, 0)
	if err != nil {
		return errors.Trace(err)
	}
	l.file, l.size = f, int64(len(b))
	return nil
}

// Close closes the file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Trace(l.file.Close())
}
