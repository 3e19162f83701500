package jobs

import (
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

func (m *Machine) createFile(at time.Time, c *CreateFile) *Result {
	if f := m.files[c.ID]; f != nil {
		if f.Workspace != c.Workspace {
			return fail(rhubarbgate.CodeConflict, "file %q exists", c.ID)
		}
		return f.result()
	}
	f := &file{File: File{ID: c.ID, Workspace: c.Workspace, Name: c.Name, Created: at}}
	m.files[c.ID] = f
	return f.result()
}

// result returns a copy of the file's description with the current item count.
func (f *file) result() *Result {
	d := f.File
	d.Count = len(f.inputs)
	return &Result{File: &d}
}

// append stores the items of a chunk. Chunks arrive in order; one that is already
// stored is accepted again.
func (m *Machine) append(c *Append) *Result {
	f, r := m.findFile(c.File, c.Workspace)
	if r != nil {
		return r
	}
	if c.First+len(c.Items) <= len(f.inputs) {
		return f.result()
	}
	if f.State != Uploading {
		return fail(rhubarbgate.CodeConflict, "file %q is finished", c.File)
	}
	if c.First != len(f.inputs) {
		return fail(rhubarbgate.CodeConflict, "chunk at item %d, but the file has %d", c.First, len(f.inputs))
	}
	if len(f.inputs)+len(c.Items) > MaxItems {
		return fail(rhubarbgate.CodeTooLarge, "a file holds %d items at the most", MaxItems)
	}
	lines := make([][]byte, len(c.Items))
	for i, x := range c.Items {
		lines[i] = x.Line
	}
	refs, err := m.Spill.Append(lines)
	if err != nil {
		// A replica that skipped the payload would diverge from the others, so it
		// stops instead.
		panic(err)
	}
	for i, x := range c.Items {
		f.inputs = append(f.inputs, input{line: refs[i], needs: f.internNeed(x.Needs), idempotent: x.Idempotent})
	}
	return f.result()
}

// internNeed returns the index of a value in f.needs, and adds the value if it is
// new.
func (f *file) internNeed(needs string) uint16 {
	if i := slices.Index(f.needs, needs); i >= 0 {
		return uint16(i)
	}
	f.needs = append(f.needs, needs)
	return uint16(len(f.needs) - 1)
}

// finishFile makes a file ready. If the idempotency key is known, the new upload is
// removed, and the result is the earlier file, or an error if the content differs.
func (m *Machine) finishFile(at time.Time, c *FinishFile) *Result {
	name := idempotencyKey{c.Workspace, "file", c.Key}
	f, notFound := m.findFile(c.File, c.Workspace)
	if id, r := m.lookUpKey(name, c.Digest); r != nil || id != "" && m.files[id] != nil {
		if f != nil && f.State == Uploading {
			delete(m.files, c.File)
		}
		if r != nil {
			return r
		}
		return m.files[id].result()
	}
	if notFound != nil {
		return notFound
	}
	if len(f.inputs) != c.Count {
		return fail(rhubarbgate.CodeConflict, "file %q has %d of %d items", c.File, len(f.inputs), c.Count)
	}
	f.State = Ready
	f.Bytes = c.Bytes
	m.storeKey(name, c.Digest, c.File, at)
	return f.result()
}

func (m *Machine) dropFile(c *DropFile) *Result {
	f, r := m.findFile(c.File, c.Workspace)
	if r != nil {
		return r
	}
	if f.State != Uploading {
		return fail(rhubarbgate.CodeConflict, "file %q is finished", c.File)
	}
	delete(m.files, c.File)
	return &Result{}
}
