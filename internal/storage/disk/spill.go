package disk

import (
	"bytes"
	"io"
	"os"
	"slices"
	"sync"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

const (
	// segmentBytes is the size from which on Append starts a new file. The space of a
	// file is freed only when none of its payloads is needed any more.
	segmentBytes = 64 << 20
	// maxHeldBytes bounds the payloads that are held in memory while the disk is full. A leader
	// steps down 1 s after its disk is full, and a follower receives one batch, so they are few.
	maxHeldBytes = 8 << 20
)

// Ref refers to immutable bytes in a file. The garbage collector closes the file,
// which frees its space if it is unlinked, once no Ref to it is left.
type Ref struct {
	source io.ReaderAt
	offset int64
	size   int32
}

// NewRef returns a Ref to size bytes at offset of r.
func NewRef(r io.ReaderAt, offset int64, size int) Ref {
	return Ref{source: r, offset: offset, size: int32(size)}
}

// Size returns the number of bytes.
func (r Ref) Size() int { return int(r.size) }

// Read returns the bytes in a new slice.
func (r Ref) Read() ([]byte, error) {
	b := make([]byte, r.size)
	if r.size == 0 {
		return b, nil
	}
	_, err := r.source.ReadAt(b, r.offset)
	return b, errors.Trace(err)
}

// Spill stores payloads in temporary files, so that they do not take up memory.
// The files need not survive a restart, since the log and the snapshots hold the
// payloads too.
type Spill struct {
	// Dir is the folder in which the files are created; they are unlinked at once,
	// so a crash leaves none.
	Dir string

	mu   sync.Mutex
	file *os.File
	size int64 // of file, in bytes
	held int   // bytes that were kept in memory since the last write to a file
}

// Append writes the payloads in one write and returns a Ref to each. While the disk is full it keeps up to
// maxHeldBytes in memory, as the state machine cannot refuse a committed command.
func (s *Spill) Append(payloads [][]byte) ([]Ref, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := slices.Concat(payloads...)
	err := s.write(b)
	switch {
	case err == nil:
		s.held = 0
		s.size += int64(len(b))
		return refsTo(s.file, s.size-int64(len(b)), payloads), nil
	case raft.IsDiskFull(err) && s.held+len(b) <= maxHeldBytes:
		s.held += len(b)
		return refsTo(bytes.NewReader(b), 0, payloads), nil
	default:
		return nil, errors.Trace(err)
	}
}

// write writes b at the end of the file, or to a new one.
func (s *Spill) write(b []byte) error {
	if s.file == nil || s.size >= segmentBytes {
		if err := s.rotate(); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := s.file.WriteAt(b, s.size)
	return errors.Trace(err)
}

// refsTo returns a Ref to each of the payloads, which follow one another at an offset of r.
func refsTo(r io.ReaderAt, offset int64, payloads [][]byte) []Ref {
	refs := make([]Ref, len(payloads))
	for i, p := range payloads {
		refs[i] = NewRef(r, offset, len(p))
		offset += int64(len(p))
	}
	return refs
}

// rotate starts a new file; the old one stays open while a Ref to it is left.
func (s *Spill) rotate() error {
	f, err := os.CreateTemp(s.Dir, "spill")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.Remove(f.Name()); err != nil {
		f.Close()
		return errors.Trace(err)
	}
	s.file, s.size = f, 0
	return nil
}
