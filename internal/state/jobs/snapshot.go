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

// A snapshot is a header record, then each file with its input lines, then each job
// with its items. Records are MessagePack with a length prefix. A line or an item is a
// fixed-size header and its payload as raw bytes, so that a disk.Ref can point into the
// snapshot file and a restore need not copy payloads.

// header is the first record of a snapshot.
type header struct {
	Files, Jobs int
	Keys        []keyEntry
	Terminal    uint64
}

// keyEntry is an idempotency key and its use.
type keyEntry struct {
	Name   idempotencyKey
	Record keyRecord
}

// fileRecord precedes the input lines of a file.
type fileRecord struct {
	File   File
	Needs  []string
	Inputs int
	IDs    []string
}

// jobRecord precedes the items of a job.
type jobRecord struct {
	Job     Job
	Items   int
	Results []int32
	// Ends are the ends of targets with items, ordered by item.
	Ends   []itemEnds  `msgpack:",omitempty"`
	Streak *targetEnds `msgpack:",omitempty"`
}

// itemEnds are the ends of targets with one item.
type itemEnds struct {
	Index int32
	Ends  targetEnds
}

const (
	inputHeaderBytes = 7 // line length (4), needs (2), idempotent (1)
	itemHeaderBytes  = 8 // output length (4), attempts (2), failures (1), state (1)
)

// SnapshotWriter is a consistent copy of the state. It refers to payloads on disk and
// reads them only when it writes the snapshot.
type SnapshotWriter struct {
	header header
	files  []*file
	jobs   []*job
}

// Snapshot returns a copy of the state after the last command. Commands wait while it
// copies.
func (m *Machine) Snapshot() *SnapshotWriter {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := &SnapshotWriter{header: header{Files: len(m.files), Terminal: m.terminal}}
	for k, r := range m.keys {
		w.header.Keys = append(w.header.Keys, keyEntry{k, r})
	}
	for _, id := range slices.Sorted(maps.Keys(m.files)) {
		f := *m.files[id]
		f.needs = slices.Clone(f.needs)
		f.itemIDs = slices.Clone(f.itemIDs)
		w.files = append(w.files, &f)
	}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := *m.jobs[id]
		j.items, j.results, j.ends = slices.Clone(j.items), slices.Clone(j.results), maps.Clone(j.ends)
		w.jobs = append(w.jobs, &j)
	}
	w.header.Files, w.header.Jobs = len(w.files), len(w.jobs)
	return w
}

// WriteSnapshot implements rhubarbgate.SnapshotWriter. It may run concurrently with
// commands.
func (w *SnapshotWriter) WriteSnapshot(out io.Writer) error {
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

// Release implements rhubarbgate.SnapshotWriter; there is nothing to release.
func (w *SnapshotWriter) Release() {}

// writeRecord writes v in MessagePack, prefixed by its length as a uvarint.
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
	if err := writeRecord(out, &fileRecord{File: f.File, Needs: f.needs, Inputs: len(f.inputs), IDs: f.itemIDs}); err != nil {
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
	d := &jobRecord{Job: j.Job, Items: len(j.items), Results: j.results}
	for _, i := range slices.Sorted(maps.Keys(j.ends)) {
		d.Ends = append(d.Ends, itemEnds{i, j.ends[i]})
	}
	if j.streak.Count > 0 {
		d.Streak = &j.streak
	}
	if err := writeRecord(out, d); err != nil {
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

// writePayload writes a header and the bytes that r refers to.
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

// snapshotReader decodes a snapshot. offset is its position in source, which payload
// references need.
type snapshotReader struct {
	source rhubarbgate.SnapshotReader
	buffer *bufio.Reader
	offset int64
}

// readRecord reads one record into v. A length beyond the end of the snapshot is an
// error, so that a corrupt one does not cause a huge allocation.
func (r *snapshotReader) readRecord(v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return errors.Trace(err)
	}
	if n > uint64(max(r.source.Size()-r.offset, 0)) {
		return errors.NotValidf("record of %d bytes", n)
	}
	b := make([]byte, n)
	if err := r.readFull(b); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(wire.Unmarshal(b, v))
}

// ReadByte implements io.ByteReader.
func (r *snapshotReader) ReadByte() (byte, error) {
	b, err := r.buffer.ReadByte()
	if err == nil {
		r.offset++
	}
	return b, err
}

// readFull fills b.
func (r *snapshotReader) readFull(b []byte) error {
	n, err := io.ReadFull(r.buffer, b)
	r.offset += int64(n)
	return errors.Trace(err)
}

// skipPayload skips n bytes and returns a reference to them.
func (r *snapshotReader) skipPayload(n uint32) (disk.Ref, error) {
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

// Restore replaces the state by the snapshot that starts at offset of s. Payloads are
// read from s later, so s must stay open. Leasing is off afterwards. On an error the
// state is unchanged.
func (m *Machine) Restore(s rhubarbgate.SnapshotReader, offset int64) error {
	r := &snapshotReader{source: s, buffer: bufio.NewReader(io.NewSectionReader(s, offset, s.Size()-offset)), offset: offset}
	restored := New(m.Spill)
	var h header
	if err := r.readRecord(&h); err != nil {
		return errors.Trace(err)
	}
	for range h.Files {
		f, err := r.readFile()
		if err != nil {
			return errors.Trace(err)
		}
		restored.files[f.ID] = f
	}
	for range h.Jobs {
		j, err := r.readJob(restored.files)
		if err != nil {
			return errors.Trace(err)
		}
		restored.jobs[j.ID] = j
	}
	for _, k := range h.Keys {
		restored.keys[k.Name] = k.Record
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files, m.jobs, m.keys, m.terminal = restored.files, restored.jobs, restored.keys, h.Terminal
	m.leasing = false
	return nil
}

func (r *snapshotReader) readFile() (*file, error) {
	var d fileRecord
	if err := r.readRecord(&d); err != nil {
		return nil, errors.Trace(err)
	}
	f := &file{File: d.File, needs: d.Needs, itemIDs: d.IDs}
	for range d.Inputs {
		var h [inputHeaderBytes]byte
		if err := r.readFull(h[:]); err != nil {
			return nil, errors.Trace(err)
		}
		ref, err := r.skipPayload(binary.LittleEndian.Uint32(h[0:]))
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

func (r *snapshotReader) readJob(files map[string]*file) (*job, error) {
	var d jobRecord
	if err := r.readRecord(&d); err != nil {
		return nil, errors.Trace(err)
	}
	j := &job{Job: d.Job, inputFile: files[d.Job.File], results: d.Results}
	if j.inputFile == nil || len(j.inputFile.inputs) != d.Items {
		return nil, errors.NotValidf("job %q without its input", d.Job.ID)
	}
	for range d.Items {
		var h [itemHeaderBytes]byte
		if err := r.readFull(h[:]); err != nil {
			return nil, errors.Trace(err)
		}
		ref, err := r.skipPayload(binary.LittleEndian.Uint32(h[0:]))
		if err != nil {
			return nil, errors.Trace(err)
		}
		x := item{output: ref, attempts: binary.LittleEndian.Uint16(h[4:]), failures: h[6], state: ItemState(h[7])}
		if x.state > Cancelled {
			return nil, errors.NotValidf("state %d of an item of job %q", x.state, d.Job.ID)
		}
		if !x.state.Terminal() {
			j.unfinished++
		}
		j.items = append(j.items, x)
	}
	for _, e := range d.Ends {
		if e.Index < 0 || int(e.Index) >= d.Items {
			return nil, errors.NotValidf("ends of targets with item %d of job %q", e.Index, d.Job.ID)
		}
		j.saveEnds(e.Index, e.Ends)
	}
	if d.Streak != nil {
		j.streak = *d.Streak
	}
	for _, i := range d.Results {
		if i < 0 || int(i) >= d.Items {
			return nil, errors.NotValidf("result of item %d of job %q", i, d.Job.ID)
		}
	}
	if !j.countsAddUp() {
		return nil, errors.NotValidf("counts %+v of job %q with %d unfinished items", j.Counts, d.Job.ID, j.unfinished)
	}
	j.countPending()
	return j, nil
}
