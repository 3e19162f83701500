package disk

import (
	"io"
	"os"
	"sync"

	"github.com/juju/errors"
)

const segmentBytes = 64 << 20

// Ref points to immutable bytes in a file. The file is closed, and its space
// freed, once no Ref to it is left.
type Ref struct {
	source io.ReaderAt
	offset int64
	size   int32
}

// NewRef returns a Ref to size bytes at offset of r.
func NewRef(r io.ReaderAt, offset int64, size int) Ref {
	return Ref{source: r, offset: offset, size: int32(size)}
}

// Size returns the length in bytes.
func (r Ref) Size() int { return int(r.size) }

// Read returns the bytes.
func (r Ref) Read() ([]byte, error) {
	b := make([]byte, r.size)
	if r.size == 0 {
		return b, nil
	}
	_, err := r.source.ReadAt(b, r.offset)
	return b, errors.Trace(err)
}

// Spill keeps payloads out of memory in temporary files. Nothing in it has to
// survive a restart: the log and the snapshots hold the payloads too.
type Spill struct {
	// Dir is where the files are created; they are unlinked at once.
	Dir string

	mu   sync.Mutex
	file *os.File
	size int64
}

// Append stores the payloads and returns a Ref to each.
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

// rotate starts a new file; Refs keep the old one open as long as needed.
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
