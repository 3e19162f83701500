package disk

import (
	"io"
	"os"
	"sync"

	"github.com/juju/errors"
)

// segmentBytes is the size from which on Append starts a new file. The space of a
// file is freed only when none of its payloads is needed any more.
const segmentBytes = 64 << 20

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
}

// Append writes the payloads in one write and returns a Ref to each.
func (s *Spill) Append(payloads [][]byte) ([]Ref, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil || s.size >= segmentBytes {
		if err := s.rotate(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	var b []byte
	refs := make([]Ref, len(payloads))
	for i, p := range payloads {
		refs[i] = NewRef(s.file, s.size+int64(len(b)), len(p))
		b = append(b, p...)
	}
	if _, err := s.file.WriteAt(b, s.size); err != nil {
		return nil, errors.Trace(err)
	}
	s.size += int64(len(b))
	return refs, nil
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
