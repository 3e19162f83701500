package jobs

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// FileInfo returns a file of the workspace.
func (m *Machine) FileInfo(id, workspace string) (*File, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f, r := m.findFile(id, workspace)
	if r != nil {
		return nil, r.Err
	}
	return f.describe().File, nil
}

// JobInfo returns a job of the workspace; an empty workspace means any.
func (m *Machine) JobInfo(id, workspace string) (*Job, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j, r := m.findJob(id, workspace)
	if r != nil {
		return nil, r.Err
	}
	d := j.Job
	return &d, nil
}

// List returns the jobs of the workspace, newest first; an empty workspace means all.
func (m *Machine) List(workspace string, limit int) []Job {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var r []Job
	for _, j := range m.jobs {
		if workspace == "" || j.Workspace == workspace {
			r = append(r, j.Job)
		}
	}
	slices.SortFunc(r, func(a, b Job) int {
		return cmp.Or(b.Created.Compare(a.Created), cmp.Compare(a.ID, b.ID))
	})
	return r[:min(limit, len(r))]
}

// Page is a part of a file's or an output's lines.
type Page struct {
	Lines [][]byte
	// Next is the index to continue at, or -1 behind the last line.
	Next int
}

// Input returns lines of an uploaded file from index on, up to maxBytes.
func (m *Machine) Input(id, workspace string, index, maxBytes int) (*Page, error) {
	m.mu.RLock()
	f, r := m.findFile(id, workspace)
	if r != nil {
		m.mu.RUnlock()
		return nil, r.Err
	}
	refs := make([]disk.Ref, 0, len(f.inputs))
	for _, x := range f.inputs {
		refs = append(refs, x.line)
	}
	m.mu.RUnlock()
	return readPage(refs, index, maxBytes)
}

// Output returns result lines of a job from index on, up to maxBytes. Items
// without a result yet are left out.
func (m *Machine) Output(id, workspace string, index, maxBytes int) (*Page, error) {
	m.mu.RLock()
	j, r := m.findJob(id, workspace)
	if r != nil {
		m.mu.RUnlock()
		return nil, r.Err
	}
	refs := make([]disk.Ref, len(j.items))
	for i, x := range j.items {
		if x.state == Done || x.state == Failed {
			refs[i] = x.output
		}
	}
	m.mu.RUnlock()
	return readPage(refs, index, maxBytes)
}

func readPage(refs []disk.Ref, index, maxBytes int) (*Page, error) {
	if index < 0 || index > len(refs) {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "no line %d", index)
	}
	p := &Page{Next: -1}
	size := 0
	for i := index; i < len(refs); i++ {
		if refs[i].Size() == 0 {
			continue
		}
		if size > 0 && size+refs[i].Size() > maxBytes {
			p.Next = i
			break
		}
		b, err := refs[i].Read()
		if err != nil {
			return nil, errors.Trace(err)
		}
		p.Lines = append(p.Lines, b)
		size += len(b)
	}
	return p, nil
}

// LeasedItems calls f for every item that is leased, for a new leader.
func (m *Machine) LeasedItems(f func(ItemRef)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for id, j := range m.jobs {
		if j.Counts.Leased == 0 {
			continue
		}
		for i, x := range j.items {
			if x.state == Leased || x.state == Started {
				f(ItemRef{Job: id, Index: i, Attempt: int(x.attempts)})
			}
		}
	}
}

// Live reports for each attempt whether its lease is still valid.
func (m *Machine) Live(refs []ItemRef) []bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := make([]bool, len(refs))
	for i, ref := range refs {
		_, x := m.liveItem(ref)
		r[i] = x != nil
	}
	return r
}

// Lots returns the running jobs with pending items that need one of needs.
func (m *Machine) Lots(needs map[string]bool, weight func(string) float64) []rhubarbgate.PendingJob {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var r []rhubarbgate.PendingJob
	for _, j := range m.jobs {
		n := 0
		for k, waiting := range j.waiting {
			if needs[j.input.needs[k]] {
				n += waiting
			}
		}
		if j.State != Running || n == 0 {
			continue
		}
		r = append(r, rhubarbgate.PendingJob{
			Job: j.ID, Workspace: j.Workspace, Weight: weight(j.Workspace),
			Due: j.Due, Created: j.Created, Pending: n, Remaining: j.live,
		})
	}
	slices.SortFunc(r, func(a, b rhubarbgate.PendingJob) int { return cmp.Compare(a.Job, b.Job) })
	return r
}

// Next takes the next pending item of a job out of its queue. The caller must
// propose a lease of it, or hand it back with Requeue.
func (m *Machine) Next(id string, needs map[string]bool) (ItemRef, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.jobs[id]
	if j == nil || j.State != Running || !m.leasing {
		return ItemRef{}, false
	}
	for k := range j.input.needs {
		key := uint16(k)
		for needs[j.input.needs[k]] && len(j.pending[key]) > 0 {
			i := j.pending[key][0]
			j.pending[key] = j.pending[key][1:]
			if j.items[i].state == Pending {
				return ItemRef{Job: id, Index: int(i), Attempt: int(j.items[i].attempts) + 1}, true
			}
		}
	}
	return ItemRef{}, false
}

// Requeue hands back items that Next returned and that were not leased.
func (m *Machine) Requeue(refs []ItemRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range refs {
		j := m.jobs[r.Job]
		if j == nil || j.State != Running || !m.leasing || j.items[r.Index].state != Pending {
			continue
		}
		n := j.input.inputs[r.Index].needs
		j.enqueue(n, int32(r.Index))
	}
}

// BeginLeasing builds the queues of pending items, for a new leader.
func (m *Machine) BeginLeasing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leasing = true
	for _, j := range m.jobs {
		if j.State == Running {
			j.indexPending()
		}
	}
}

// EndLeasing drops the queues, on a replica that no longer leads.
func (m *Machine) EndLeasing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leasing = false
	for _, j := range m.jobs {
		j.pending = nil
	}
}

// Backlog adds what the pending items of running jobs need to the set.
func (m *Machine) Backlog(set map[string]bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, j := range m.jobs {
		for k, waiting := range j.waiting {
			if waiting > 0 {
				set[j.input.needs[k]] = true
			}
		}
	}
}
