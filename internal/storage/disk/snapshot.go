package disk

import (
	"bufio"
	"hash"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	snapshotFile     = "snapshot"
	metaFile         = "snapshot.meta"
	savingFile       = "snapshot.saving"
	partialFile      = "snapshot.partial"
	writeBufferBytes = 128 << 10
)

// Snapshots implements raft.SnapshotStore in one folder. The index of a snapshot
// is part of the name of its content file. The meta file contains the name of the
// latest content file and is replaced last.
type Snapshots struct {
	// Dir is the folder of the replica; it must exist.
	Dir string

	mu     sync.Mutex
	latest snapshotRecord
	// partial holds the chunks received so far of the snapshot incoming; it is nil
	// if none is being received.
	partial  *os.File
	incoming raft.SnapshotMeta
	received int64 // bytes
}

var _ raft.SnapshotStore = (*Snapshots)(nil)

// snapshotRecord is the content of the meta file.
type snapshotRecord struct {
	Meta raft.SnapshotMeta
	File string
}

// Load reads the meta file and verifies the content of the latest snapshot. A
// folder without a meta file has no snapshot. It removes the files of snapshots that
// were not completed, which would take up room for good.
func (s *Snapshots) Load() error {
	if err := s.loadLatest(); err != nil {
		return errors.Trace(err)
	}
	return s.removeIncomplete()
}

// removeIncomplete removes all content files but the latest one.
func (s *Snapshots) removeIncomplete() error {
	files, err := os.ReadDir(s.Dir)
	if err != nil {
		return errors.Trace(err)
	}
	for _, f := range files {
		if name := f.Name(); !strings.HasPrefix(name, snapshotFile+".") || name == s.latest.File || name == metaFile {
			continue
		}
		if err := os.Remove(filepath.Join(s.Dir, f.Name())); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// loadLatest reads the meta file and verifies the content of the snapshot that it names.
func (s *Snapshots) loadLatest() error {
	b, err := os.ReadFile(filepath.Join(s.Dir, metaFile))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	payload, _, ok := parseFrame(b)
	if !ok {
		return errors.Annotate(raft.ErrCorrupt, metaFile)
	}
	if err := wire.Unmarshal(payload, &s.latest); err != nil {
		return errors.Annotate(raft.ErrCorrupt, metaFile)
	}
	sum, size, err := checksumFile(filepath.Join(s.Dir, s.latest.File))
	if err != nil {
		return errors.Trace(err)
	}
	if sum != s.latest.Meta.Checksum || size != s.latest.Meta.Size {
		return errors.Annotate(raft.ErrCorrupt, s.latest.File)
	}
	return nil
}

// checksumFile returns the CRC-32C and the size of the file at path.
func checksumFile(path string) (uint32, int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer f.Close()
	h := crc32.New(castagnoli)
	n, err := io.Copy(h, f)
	return h.Sum32(), n, errors.Trace(err)
}

// Latest implements raft.SnapshotStore.
func (s *Snapshots) Latest() (raft.SnapshotMeta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest.Meta, s.latest.File != ""
}

// Save implements raft.SnapshotStore. It fails if a snapshot of the same or a
// higher index was stored meanwhile.
func (s *Snapshots) Save(m raft.SnapshotMeta, w rhubarbgate.SnapshotWriter) (raft.SnapshotMeta, error) {
	tmp := filepath.Join(s.Dir, savingFile)
	sum, size, err := writeSnapshot(tmp, w)
	if err != nil {
		return raft.SnapshotMeta{}, errors.Trace(err)
	}
	m.Size, m.Checksum = size, sum
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Index <= s.latest.Meta.Index {
		return raft.SnapshotMeta{}, errors.AlreadyExistsf("snapshot at or behind index %d", m.Index)
	}
	if err := s.commit(tmp, snapshotRecord{Meta: m}); err != nil {
		return raft.SnapshotMeta{}, errors.Trace(err)
	}
	return m, nil
}

// writeSnapshot writes and syncs a content file; it returns its CRC-32C and size.
func writeSnapshot(path string, w rhubarbgate.SnapshotWriter) (uint32, int64, error) {
	f, err := os.Create(path)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer f.Close()
	c := &checksumWriter{hash: crc32.New(castagnoli), w: f}
	b := bufio.NewWriterSize(c, writeBufferBytes)
	if err := w.WriteSnapshot(b); err != nil {
		return 0, 0, errors.Trace(err)
	}
	if err := b.Flush(); err != nil {
		return 0, 0, errors.Trace(err)
	}
	return c.hash.Sum32(), c.size, errors.Trace(f.Sync())
}

// checksumWriter computes the checksum and size of what is written to w.
type checksumWriter struct {
	hash hash.Hash32
	w    io.Writer
	size int64
}

func (c *checksumWriter) Write(b []byte) (int, error) {
	c.hash.Write(b)
	c.size += int64(len(b))
	return c.w.Write(b)
}

// commit renames a synced content file to its final name, then replaces the meta
// file, then removes the older content file, so that a crash at any point leaves
// the older or the newer snapshot complete. The caller holds mu.
func (s *Snapshots) commit(tmp string, r snapshotRecord) error {
	r.File = snapshotName(r.Meta.Index)
	if err := os.Rename(tmp, filepath.Join(s.Dir, r.File)); err != nil {
		return errors.Trace(err)
	}
	payload, err := wire.Marshal(&r)
	if err != nil {
		return errors.Trace(err)
	}
	if err := writeFile(filepath.Join(s.Dir, metaFile), appendFrame(nil, payload)); err != nil {
		return errors.Trace(err)
	}
	old := s.latest.File
	s.latest = r
	if old == "" || old == r.File {
		return nil
	}
	return errors.Trace(os.Remove(filepath.Join(s.Dir, old)))
}

// ReadChunk implements raft.SnapshotStore.
func (s *Snapshots) ReadChunk(index uint64, offset int64, limit int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest.Meta.Index != index {
		return nil, errors.NotFoundf("snapshot %d", index)
	}
	f, err := os.Open(filepath.Join(s.Dir, s.latest.File))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	b := make([]byte, min(int64(limit), max(0, s.latest.Meta.Size-offset)))
	_, err = f.ReadAt(b, offset)
	return b, errors.Trace(err)
}

// WriteChunk implements raft.SnapshotStore. A chunk at any offset but the one
// wanted next is ignored.
func (s *Snapshots) WriteChunk(m raft.SnapshotMeta, offset int64, data []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partial == nil || s.incoming.Index != m.Index || s.incoming.Term != m.Term || s.incoming.Size != m.Size {
		if err := s.beginPartial(m); err != nil {
			return 0, errors.Trace(err)
		}
	}
	if offset != s.received {
		return s.received, nil
	}
	if _, err := s.partial.WriteAt(data, offset); err != nil {
		return 0, errors.Trace(err)
	}
	s.received += int64(len(data))
	if s.received < m.Size {
		return s.received, nil
	}
	return m.Size, s.finishPartial()
}

// beginPartial starts to receive the snapshot m and discards what was received of
// another one.
func (s *Snapshots) beginPartial(m raft.SnapshotMeta) error {
	if s.partial != nil {
		s.partial.Close()
	}
	f, err := os.Create(filepath.Join(s.Dir, partialFile))
	if err != nil {
		return errors.Trace(err)
	}
	s.partial, s.incoming, s.received = f, m, 0
	return nil
}

// finishPartial syncs and verifies the received snapshot and makes it the latest.
func (s *Snapshots) finishPartial() error {
	err := s.partial.Sync()
	s.partial.Close()
	s.partial = nil
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(s.Dir, partialFile)
	sum, _, err := checksumFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	if sum != s.incoming.Checksum {
		return errors.Annotatef(raft.ErrCorrupt, "checksum of received snapshot %d", s.incoming.Index)
	}
	return s.commit(path, snapshotRecord{Meta: s.incoming})
}

// Open implements raft.SnapshotStore.
func (s *Snapshots) Open() (rhubarbgate.SnapshotReader, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := os.Open(filepath.Join(s.Dir, s.latest.File))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &snapshotReader{File: f, size: s.latest.Meta.Size}, nil
}

// snapshotReader implements rhubarbgate.SnapshotReader.
type snapshotReader struct {
	*os.File
	size int64
}

// Size implements rhubarbgate.SnapshotReader.
func (r *snapshotReader) Size() int64 { return r.size }
