package jobs

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// submittedFilePrefix and the job's ID form the ID of the internal file that holds the
// items of a job created by Submit.
const submittedFilePrefix = "submitted-"

// submit creates a job and the internal file with its items.
func (m *Machine) submit(at time.Time, c *Submit) *Result {
	if j := m.jobs[c.ID]; j != nil {
		if j.Workspace != c.Workspace {
			return fail(rhubarbgate.CodeConflict, "batch %q exists", c.ID)
		}
		return m.jobResult(c.ID)
	}
	if len(c.Items) == 0 || len(c.Items) > MaxItems {
		return fail(rhubarbgate.CodeInvalid, "batch %q has %d items", c.ID, len(c.Items))
	}
	id := submittedFilePrefix + c.ID
	m.createFile(at, &CreateFile{ID: id, Workspace: c.Workspace, Name: c.ID})
	if r := m.append(&Append{File: id, Workspace: c.Workspace, Items: c.Items}); r.Err != nil {
		return r
	}
	f := m.files[id]
	f.State = Ready
	for _, x := range c.Items {
		f.itemIDs = append(f.itemIDs, x.ID)
	}
	r := m.createJob(at, &CreateJob{ID: c.ID, Workspace: c.Workspace, File: id, Window: c.Window})
	if j := m.jobs[c.ID]; j != nil {
		j.Attempts, j.Retain, j.Origin = max(c.Attempts, 1), at.Add(c.Retention), c.Origin
		return m.jobResult(c.ID)
	}
	return r
}

// giveUp fails all items of a job that are not terminal.
func (m *Machine) giveUp(at time.Time, c *GiveUp) *Result {
	j, r := m.findJob(c.Job, "")
	if r != nil {
		return r
	}
	for i := range j.items {
		if !j.items[i].state.Terminal() {
			m.finishItem(j, i, Failed, nil)
		}
	}
	j.completeIfFinished(at)
	return m.jobResult(c.Job)
}

// JobsPastRetention returns the IDs of running jobs, created by Submit, whose Retain time
// is before the given time.
func (m *Machine) JobsPastRetention(before time.Time) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var r []string
	for id, j := range m.jobs {
		if j.State == Running && j.Attempts > 0 && j.Retain.Before(before) {
			r = append(r, id)
		}
	}
	slices.Sort(r)
	return r
}

// Results returns the results of a job created by Submit from position after on, up
// to maxBytes but at least one if there is one. Positions follow the order in which
// items ended, and a result keeps its position.
func (m *Machine) Results(id, workspace string, after, maxBytes int) (*rhubarbgate.ResultPage, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j, r := m.visibleJob(id, workspace)
	if r != nil {
		return nil, r.Err
	}
	if after < 0 || len(j.inputFile.itemIDs) != len(j.items) {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "batch %q has no position %d", id, after)
	}
	p := &rhubarbgate.ResultPage{Total: len(j.items), Next: after}
	size := 0
	for ; p.Next < len(j.results); p.Next++ {
		i := j.results[p.Next]
		x := rhubarbgate.JobResult{ID: j.inputFile.itemIDs[i], Done: j.items[i].state == Done}
		size += j.items[i].output.Size()
		if len(p.Results) > 0 && size > maxBytes {
			break
		}
		var err error
		if x.Output, err = j.items[i].output.Read(); err != nil {
			return nil, errors.Trace(err)
		}
		p.Results = append(p.Results, x)
	}
	return p, nil
}

// Item returns the input line of an item of a job created by Submit.
func (m *Machine) Item(id, workspace, item string) ([]byte, error) {
	ref, err := m.itemLine(id, workspace, item)
	if err != nil {
		return nil, err
	}
	return ref.Read()
}

// itemLine returns the reference to the input line of an item by the item's ID.
func (m *Machine) itemLine(id, workspace, item string) (disk.Ref, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j, r := m.visibleJob(id, workspace)
	if r != nil {
		return disk.Ref{}, r.Err
	}
	i := slices.Index(j.inputFile.itemIDs, item)
	if i < 0 {
		return disk.Ref{}, rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "batch %q has no item %q", id, item)
	}
	return j.inputFile.inputs[i].line, nil
}
