package jobs

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// FileInfo returns the description of a file of the workspace.
func (m *Machine) FileInfo(id, workspace string) (*File, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f, r := m.findFile(id, workspace)
	if r != nil {
		return nil, r.Err
	}
	return f.result().File, nil
}

// NoWorkspace stands for a caller without a workspace in queries, where an empty workspace matches any.
const NoWorkspace = "\x00"

// visibleJob returns the job if callers of the workspace may see it, else an error. A job that was
// submitted without a workspace belongs to all who know its ID. Commands do not use this, so that replicas of
// all versions apply them alike.
func (m *Machine) visibleJob(id, workspace string) (*job, *Result) {
	if j := m.jobs[id]; j != nil && j.Workspace == "" && j.Attempts > 0 {
		return j, nil
	}
	return m.findJob(id, workspace)
}

// JobInfo returns the description of a job; an empty workspace matches any.
func (m *Machine) JobInfo(id, workspace string) (*Job, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j, r := m.visibleJob(id, workspace)
	if r != nil {
		return nil, r.Err
	}
	d := j.Job
	return &d, nil
}

// List returns up to limit jobs of the workspace, newest first; an empty workspace
// matches all.
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

// Page is a range of the lines of an input file or of a job's output.
type Page struct {
	Lines [][]byte
	// Next is the index at which the next page starts, or -1 after the last line.
	Next int
}

// Input returns the lines of a file from index on, up to maxBytes but at least one
// if there is one.
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

// Output returns the result lines of a job from item index on, up to maxBytes but at
// least one if there is one. Items without a result are left out.
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

// readPage reads lines from index on, skipping empty ones.
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

// LeasedItems calls f for every leased or started item. A new leader uses it to set
// the deadlines of leases.
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

// LeasesValid reports for each attempt whether its lease is valid.
func (m *Machine) LeasesValid(refs []ItemRef) []bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := make([]bool, len(refs))
	for i, ref := range refs {
		_, x := m.leasedItem(ref)
		r[i] = x != nil
	}
	return r
}

// PendingJobs returns the running jobs that have pending items for one of needs,
// ordered by ID. Pending counts only items that may be leased now, at most one of a job on trial;
// weight returns the share of a workspace.
func (m *Machine) PendingJobs(needs map[string]bool, weight func(string) float64) []rhubarbgate.PendingJob {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var r []rhubarbgate.PendingJob
	for _, j := range m.jobs {
		count := 0
		for need, pending := range j.pending {
			if j.isNeeded(need, needs) {
				count += pending - len(j.waiting[need])
				if m.findTrial(j, need) >= 0 {
					count++
				}
			}
		}
		if j.State != Running || count <= 0 || j.isPaused(m.now) {
			continue
		}
		if j.streak.jobDelay() > 0 {
			count = 1
		}
		r = append(r, rhubarbgate.PendingJob{
			Job: j.ID, Workspace: j.Workspace, Weight: weight(j.Workspace),
			Due: j.Due, Created: j.Created, Pending: count, Remaining: j.unfinished,
		})
	}
	slices.SortFunc(r, func(a, b rhubarbgate.PendingJob) int { return cmp.Compare(a.Job, b.Job) })
	return r
}

// Next removes the next pending item that needs one of needs from the job's queues
// and returns its next attempt. The caller proposes a lease of it; if that is not
// granted, the caller must call Requeue.
func (m *Machine) Next(id string, needs map[string]bool) (ItemRef, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.jobs[id]
	if j == nil || j.State != Running || !m.leasing {
		return ItemRef{}, false
	}
	for need := range j.inputFile.needs {
		key := uint16(need)
		if !j.isNeeded(key, needs) {
			continue
		}
		// A job on trial leases one item at a time, first those at which no two targets ended.
		next := []func(*job, uint16) (ItemRef, bool){m.nextWaiting, m.nextQueued}
		if j.streak.jobDelay() > 0 {
			slices.Reverse(next)
		}
		for _, f := range next {
			if ref, ok := f(j, key); ok {
				return ref, true
			}
		}
	}
	return ItemRef{}, false
}

// nextWaiting removes an item that has waited long enough and returns its next attempt. The lock
// is held.
func (m *Machine) nextWaiting(j *job, need uint16) (ItemRef, bool) {
	k := m.findTrial(j, need)
	if k < 0 {
		return ItemRef{}, false
	}
	i := j.waiting[need][k]
	j.waiting[need] = slices.Delete(j.waiting[need], k, k+1)
	m.triedAt = m.now
	return m.choose(j, i), true
}

// nextQueued removes the next item that need not wait and returns its next attempt. The lock is held.
func (m *Machine) nextQueued(j *job, need uint16) (ItemRef, bool) {
	for len(j.queues[need]) > 0 {
		i := j.queues[need][0]
		j.queues[need] = j.queues[need][1:]
		if j.items[i].state == Pending && j.ends[i].delay() == 0 {
			return m.choose(j, i), true
		}
	}
	return ItemRef{}, false
}

// choose returns the next attempt of item i. The lock is held.
func (m *Machine) choose(j *job, i int32) ItemRef {
	j.triedAt = m.now
	return ItemRef{Job: j.ID, Index: int(i), Attempt: int(j.items[i].attempts) + 1}
}

// Requeue puts items that Next returned and that were not leased back into the queues.
func (m *Machine) Requeue(refs []ItemRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range refs {
		j := m.jobs[r.Job]
		if j == nil || j.State != Running || !m.leasing || j.items[r.Index].state != Pending {
			continue
		}
		n := j.inputFile.inputs[r.Index].needs
		j.enqueue(n, int32(r.Index))
	}
}

// PutBack puts an item that Next returned and that is not to be leased now back to where it was.
func (m *Machine) PutBack(ref ItemRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := m.jobs[ref.Job]
	if j == nil || j.State != Running || !m.leasing || j.items[ref.Index].state != Pending {
		return
	}
	n, i := j.inputFile.inputs[ref.Index].needs, int32(ref.Index)
	if j.ends[i].delay() > 0 {
		j.enqueue(n, i)
		return
	}
	j.queues[n] = slices.Insert(j.queues[n], 0, i)
}

// GrantBytes returns the size of what the lease of an item sends to a side; ref must be one that Next returned.
func (m *Machine) GrantBytes(ref ItemRef) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j := m.jobs[ref.Job]
	if j == nil {
		return 0
	}
	return j.inputFile.inputs[ref.Index].line.Size() + len(j.progress[int32(ref.Index)])
}

// BeginLeasing builds the queues of pending items. It is called when the replica
// becomes the leader.
func (m *Machine) BeginLeasing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leasing = true
	for _, j := range m.jobs {
		j.routing = routing{}
		if j.State == Running {
			j.buildQueues()
		}
	}
}

// EndLeasing drops the queues of pending items. It is called when the replica is no
// longer the leader.
func (m *Machine) EndLeasing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leasing = false
	for _, j := range m.jobs {
		j.queues, j.waiting = nil, nil
	}
}

// Backlog adds the models and routes that pending items of running jobs need to set.
func (m *Machine) Backlog(set map[string]bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, j := range m.jobs {
		for need, pending := range j.pending {
			if pending > 0 {
				set[j.inputFile.needs[need]] = true
			}
		}
	}
}
