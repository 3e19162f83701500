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
		return f.describe()
	}
	f := &file{File: File{ID: c.ID, Workspace: c.Workspace, Name: c.Name, Created: at}}
	m.files[c.ID] = f
	return f.describe()
}

func (f *file) describe() *Result {
	d := f.File
	d.Count = len(f.inputs)
	return &Result{File: &d}
}

func (m *Machine) append(c *Append) *Result {
	f, r := m.findFile(c.File, c.Workspace)
	if r != nil {
		return r
	}
	if c.First+len(c.Items) <= len(f.inputs) {
		return f.describe()
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
		// Replicas may not diverge: one that cannot store a payload stops.
		panic(err)
	}
	for i, x := range c.Items {
		f.inputs = append(f.inputs, input{line: refs[i], needs: f.intern(x.Needs), idempotent: x.Idempotent})
	}
	return f.describe()
}

func (f *file) intern(needs string) uint16 {
	if i := slices.Index(f.needs, needs); i >= 0 {
		return uint16(i)
	}
	f.needs = append(f.needs, needs)
	return uint16(len(f.needs) - 1)
}

func (m *Machine) finishFile(at time.Time, c *FinishFile) *Result {
	name := keyName{c.Workspace, "file", c.Key}
	if id, r := m.recall(name, c.Digest); r != nil {
		delete(m.files, c.File)
		return r
	} else if id != "" && m.files[id] != nil {
		if id != c.File {
			delete(m.files, c.File)
		}
		return m.files[id].describe()
	}
	f, r := m.findFile(c.File, c.Workspace)
	if r != nil {
		return r
	}
	if len(f.inputs) != c.Count {
		return fail(rhubarbgate.CodeConflict, "file %q has %d of %d items", c.File, len(f.inputs), c.Count)
	}
	f.State = Ready
	f.Bytes = c.Bytes
	m.remember(name, c.Digest, c.File, at)
	return f.describe()
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
