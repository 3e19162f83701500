package jobs

import (
	"bufio"
	"encoding/binary"
	"io"
	"maps"
	"slices"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// A snapshot is a header record, then each file with its lines, then each job
// with its items. Records are length-prefixed; payloads follow them raw, so that
// references can point into the snapshot file.

type header struct {
	Files, Jobs int
	Keys        []keyEntry
	Terminal    uint64
}

type keyEntry struct {
	Name   keyName
	Record keyRecord
}

type fileRecord struct {
	File   File
	Needs  []string
	Inputs int
	IDs    []string
}

type jobRecord struct {
	Job     Job
	Items   int
	Results []int32
}

const (
	inputHeaderBytes = 7 // line length (4), needs (2), idempotent (1)
	itemHeaderBytes  = 8 // output length (4), attempts (2), failures (1), state (1)
)

// Writer is a consistent copy of the state, without payloads.
type Writer struct {
	header header
	files  []*file
	jobs   []*job
}

// Snapshot copies the state as of the last command.
func (m *Machine) Snapshot() *Writer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := &Writer{header: header{Files: len(m.files), Terminal: m.terminal}}
	for k, r := range m.keys {
		w.header.Keys = append(w.header.Keys, keyEntry{k, r})
	}
	for _, id := range slices.Sorted(maps.Keys(m.files)) {
		f := *m.files[id]
		f.needs = slices.Clone(f.needs)
		f.ids = slices.Clone(f.ids)
		w.files = append(w.files, &f)
	}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := *m.jobs[id]
		j.items, j.results = slices.Clone(j.items), slices.Clone(j.results)
		w.jobs = append(w.jobs, &j)
	}
	w.header.Files, w.header.Jobs = len(w.files), len(w.jobs)
	return w
}

// WriteSnapshot implements rhubarbgate.SnapshotWriter.
func (w *Writer) WriteSnapshot(out io.Writer) error {
	if err := writeRecord(out, &w.header); err != nil {
		return errors.Trace(err)
	}
	for _, f := range w.files {
		if err := writeFile(out, f); err != nil {
			return errors.Trace(err)
		}
	}
	for _, j := range w.jobs {
		if err := writeJob(out, j); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Release implements rhubarbgate.SnapshotWriter.
func (w *Writer) Release() {}

func writeRecord(out io.Writer, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := out.Write(binary.AppendUvarint(nil, uint64(len(b)))); err != nil {
		return errors.Trace(err)
	}
	_, err = out.Write(b)
	return errors.Trace(err)
}

func writeFile(out io.Writer, f *file) error {
	if err := writeRecord(out, &fileRecord{File: f.File, Needs: f.needs, Inputs: len(f.inputs), IDs: f.ids}); err != nil {
		return errors.Trace(err)
	}
	for _, x := range f.inputs {
		var h [inputHeaderBytes]byte
		binary.LittleEndian.PutUint32(h[0:], uint32(x.line.Size()))
		binary.LittleEndian.PutUint16(h[4:], x.needs)
		if x.idempotent {
			h[6] = 1
		}
		if err := writePayload(out, h[:], x.line); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func writeJob(out io.Writer, j *job) error {
	if err := writeRecord(out, &jobRecord{Job: j.Job, Items: len(j.items), Results: j.results}); err != nil {
		return errors.Trace(err)
	}
	for _, x := range j.items {
		var h [itemHeaderBytes]byte
		binary.LittleEndian.PutUint32(h[0:], uint32(x.output.Size()))
		binary.LittleEndian.PutUint16(h[4:], x.attempts)
		h[6], h[7] = x.failures, uint8(x.state)
		if err := writePayload(out, h[:], x.output); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func writePayload(out io.Writer, h []byte, r disk.Ref) error {
	if _, err := out.Write(h); err != nil {
		return errors.Trace(err)
	}
	b, err := r.Read()
	if err != nil {
		return errors.Trace(err)
	}
	_, err = out.Write(b)
	return errors.Trace(err)
}

// reader decodes a snapshot and counts its position.
type reader struct {
	source rhubarbgate.SnapshotReader
	buffer *bufio.Reader
	offset int64
}

func (r *reader) record(v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return errors.Trace(err)
	}
	if int64(n) > r.source.Size()-r.offset {
		return errors.NotValidf("record of %d bytes", n)
	}
	b := make([]byte, n)
	if err := r.full(b); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(wire.Unmarshal(b, v))
}

// ReadByte implements io.ByteReader.
func (r *reader) ReadByte() (byte, error) {
	b, err := r.buffer.ReadByte()
	if err == nil {
		r.offset++
	}
	return b, err
}

func (r *reader) full(b []byte) error {
	n, err := io.ReadFull(r.buffer, b)
	r.offset += int64(n)
	return errors.Trace(err)
}

// payload skips n bytes and returns a reference to them.
func (r *reader) payload(n uint32) (disk.Ref, error) {
	if int64(n) > r.source.Size()-r.offset {
		return disk.Ref{}, errors.NotValidf("payload of %d bytes", n)
	}
	ref := disk.NewRef(r.source, r.offset, int(n))
	if _, err := r.buffer.Discard(int(n)); err != nil {
		return disk.Ref{}, errors.Trace(err)
	}
	r.offset += int64(n)
	return ref, nil
}

// Restore replaces the state by the snapshot that starts at offset of s.
func (m *Machine) Restore(s rhubarbgate.SnapshotReader, offset int64) error {
	r := &reader{source: s, buffer: bufio.NewReader(io.NewSectionReader(s, offset, s.Size()-offset)), offset: offset}
	n := New(m.Spill)
	var h header
	if err := r.record(&h); err != nil {
		return errors.Trace(err)
	}
	for range h.Files {
		f, err := r.file()
		if err != nil {
			return errors.Trace(err)
		}
		n.files[f.ID] = f
	}
	for range h.Jobs {
		j, err := r.job(n.files)
		if err != nil {
			return errors.Trace(err)
		}
		n.jobs[j.ID] = j
	}
	for _, k := range h.Keys {
		n.keys[k.Name] = k.Record
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files, m.jobs, m.keys, m.terminal = n.files, n.jobs, n.keys, h.Terminal
	m.leasing = false
	return nil
}

func (r *reader) file() (*file, error) {
	var d fileRecord
	if err := r.record(&d); err != nil {
		return nil, errors.Trace(err)
	}
	f := &file{File: d.File, needs: d.Needs, ids: d.IDs}
	for range d.Inputs {
		var h [inputHeaderBytes]byte
		if err := r.full(h[:]); err != nil {
			return nil, errors.Trace(err)
		}
		ref, err := r.payload(binary.LittleEndian.Uint32(h[0:]))
		if err != nil {
			return nil, errors.Trace(err)
		}
		x := input{line: ref, needs: binary.LittleEndian.Uint16(h[4:]), idempotent: h[6] == 1}
		if int(x.needs) >= len(f.needs) {
			return nil, errors.NotValidf("need %d of file %q", x.needs, f.ID)
		}
		f.inputs = append(f.inputs, x)
	}
	return f, nil
}

func (r *reader) job(files map[string]*file) (*job, error) {
	var d jobRecord
	if err := r.record(&d); err != nil {
		return nil, errors.Trace(err)
	}
	j := &job{Job: d.Job, input: files[d.Job.File], results: d.Results}
	if j.input == nil || len(j.input.inputs) != d.Items {
		return nil, errors.NotValidf("job %q without its input", d.Job.ID)
	}
	for range d.Items {
		var h [itemHeaderBytes]byte
		if err := r.full(h[:]); err != nil {
			return nil, errors.Trace(err)
		}
		ref, err := r.payload(binary.LittleEndian.Uint32(h[0:]))
		if err != nil {
			return nil, errors.Trace(err)
		}
		x := item{output: ref, attempts: binary.LittleEndian.Uint16(h[4:]), failures: h[6], state: ItemState(h[7])}
		if !x.state.Terminal() {
			j.live++
		}
		j.items = append(j.items, x)
	}
	j.check()
	j.countWaiting()
	return j, nil
}
