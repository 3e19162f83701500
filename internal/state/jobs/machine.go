package jobs

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

const (
	// MaxItems bounds the items of one file.
	MaxItems = 250_000
	// MaxAttempts bounds how often an item is tried.
	MaxAttempts = 4
)

// Machine is the state of all files and jobs of one group. Commands come from
// one goroutine; queries may come from any.
type Machine struct {
	// Spill keeps the payloads.
	Spill *disk.Spill

	mu    sync.RWMutex
	files map[string]*file
	jobs  map[string]*job
	// keys are idempotency keys by workspace and name.
	keys map[keyName]keyRecord
	// leasing says that this replica hands out leases and keeps queues for it.
	leasing bool
	// counters for the invariants over the machine's life.
	terminal uint64
}

// file is an uploaded file with its items.
type file struct {
	File
	inputs []input
	needs  []string // interned values of input.needs
	// ids are the names of a submitted job's items.
	ids []string
}

// input is one line of a file.
type input struct {
	line       disk.Ref
	needs      uint16
	idempotent bool
}

// job is a job with the progress of its items.
type job struct {
	Job
	input *file
	items []item
	// waiting counts pending items by need.
	waiting map[uint16]int
	// pending holds indexes of pending items by need, and stale ones besides. It
	// exists only while the machine hands out leases.
	pending map[uint16][]int32
	// live counts items that are not terminal.
	live int
	// results are the items that are done or failed, in the order in which they
	// ended.
	results []int32
	// progress is what unfinished items have produced so far. It is a hint that
	// snapshots leave out.
	progress map[int32][]byte
	// holders are the sides that hold leases. Snapshots leave them out.
	holders map[int32]string
}

// item is the progress of one line.
type item struct {
	output   disk.Ref
	attempts uint16 // leases granted
	failures uint8  // attempts that failed
	state    ItemState
}

type keyName struct{ Workspace, Scope, Key string }

// keyRecord remembers what an idempotency key was used for.
type keyRecord struct {
	Digest []byte
	ID     string
	At     time.Time
}

// New returns an empty machine.
func New(s *disk.Spill) *Machine {
	m := &Machine{Spill: s}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.files = map[string]*file{}
	m.jobs = map[string]*job{}
	m.keys = map[keyName]keyRecord{}
}

// Apply executes a command.
func (m *Machine) Apply(c *Command) *Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.CreateFile != nil:
		return m.createFile(c.At, c.CreateFile)
	case c.Append != nil:
		return m.append(c.Append)
	case c.FinishFile != nil:
		return m.finishFile(c.At, c.FinishFile)
	case c.DropFile != nil:
		return m.dropFile(c.DropFile)
	case c.CreateJob != nil:
		return m.createJob(c.At, c.CreateJob)
	case c.CancelJob != nil:
		return m.cancelJob(c.At, c.CancelJob)
	case c.Submit != nil:
		return m.submit(c.At, c.Submit)
	case c.GiveUp != nil:
		return m.giveUp(c.At, c.GiveUp)
	case c.Lease != nil:
		return m.lease(c.Lease)
	case c.Start != nil:
		return m.start(c.Start)
	case c.Return != nil:
		return m.giveBack(c.Return)
	case c.Complete != nil:
		return m.complete(c.At, c.Complete)
	case c.Expire != nil:
		return m.expire(c.At, c.Expire)
	case c.Collect != nil:
		return m.collect(c.Collect)
	default:
		return fail(rhubarbgate.CodeInvalid, "empty jobs command")
	}
}

func fail(c rhubarbgate.Code, format string, args ...any) *Result {
	return &Result{Err: rhubarbgate.Errorf(c, rhubarbgate.NotRun, format, args...)}
}

// findJob returns the job if it belongs to the workspace.
func (m *Machine) findJob(id, workspace string) (*job, *Result) {
	j := m.jobs[id]
	if j == nil || (workspace != "" && j.Workspace != workspace) {
		return nil, fail(rhubarbgate.CodeNotFound, "no batch %q", id)
	}
	return j, nil
}

func (m *Machine) findFile(id, workspace string) (*file, *Result) {
	f := m.files[id]
	if f == nil || f.Workspace != workspace {
		return nil, fail(rhubarbgate.CodeNotFound, "no file %q", id)
	}
	return f, nil
}

func (m *Machine) createJob(at time.Time, c *CreateJob) *Result {
	name := keyName{c.Workspace, "job", c.Key}
	if id, r := m.recall(name, c.Digest); r != nil {
		return r
	} else if id != "" {
		return m.describe(id)
	}
	if j := m.jobs[c.ID]; j != nil {
		return m.describe(c.ID)
	}
	f, r := m.findFile(c.File, c.Workspace)
	if r != nil {
		return r
	}
	if f.State != Ready {
		return fail(rhubarbgate.CodeConflict, "the upload of file %q is not finished", c.File)
	}
	j := &job{
		Job: Job{ID: c.ID, Workspace: c.Workspace, File: c.File, Endpoint: c.Endpoint, Created: at, Due: at.Add(c.Window),
			Counts: Counts{Total: len(f.inputs)}},
		input: f, items: make([]item, len(f.inputs)), live: len(f.inputs),
	}
	j.countWaiting()
	if m.leasing {
		j.indexPending()
	}
	if j.live == 0 {
		j.State, j.Ended = Completed, at
	}
	m.jobs[c.ID] = j
	m.remember(name, c.Digest, c.ID, at)
	return m.describe(c.ID)
}

// countWaiting counts the pending items by need.
func (j *job) countWaiting() {
	j.waiting = map[uint16]int{}
	for i := range j.items {
		if j.items[i].state == Pending && j.State == Running {
			j.waiting[j.input.inputs[i].needs]++
		}
	}
}

// indexPending rebuilds the queues of pending items.
func (j *job) indexPending() {
	j.pending = map[uint16][]int32{}
	for i := range j.items {
		if j.items[i].state == Pending && j.State == Running {
			n := j.input.inputs[i].needs
			j.enqueue(n, int32(i))
		}
	}
}

// recall looks an idempotency key up; the result is set on a conflict.
func (m *Machine) recall(n keyName, digest []byte) (string, *Result) {
	if n.Key == "" {
		return "", nil
	}
	k, ok := m.keys[n]
	if !ok {
		return "", nil
	}
	if string(k.Digest) != string(digest) {
		return "", fail(rhubarbgate.CodeConflict, "idempotency key %q was used with other content", n.Key)
	}
	return k.ID, nil
}

func (m *Machine) remember(n keyName, digest []byte, id string, at time.Time) {
	if n.Key != "" {
		m.keys[n] = keyRecord{Digest: digest, ID: id, At: at}
	}
}

func (m *Machine) describe(id string) *Result {
	j := m.jobs[id]
	if j == nil {
		return fail(rhubarbgate.CodeNotFound, "no batch %q", id)
	}
	d := j.Job
	return &Result{Job: &d}
}

func (m *Machine) cancelJob(at time.Time, c *CancelJob) *Result {
	j, r := m.findJob(c.Job, c.Workspace)
	if r != nil {
		return r
	}
	if j.State != Running {
		return m.describe(c.Job)
	}
	for i := range j.items {
		if !j.items[i].state.Terminal() {
			m.end(j, i, Cancelled)
		}
	}
	j.State, j.Ended = JobCancelled, at
	j.pending, j.waiting = nil, nil
	return m.describe(c.Job)
}

// end moves an item into a terminal state. It is the only place that does.
func (m *Machine) end(j *job, i int, s ItemState) {
	x := &j.items[i]
	if x.state.Terminal() || !s.Terminal() {
		panic(fmt.Sprintf("jobs invariant: item %s/%d from %v to %v", j.ID, i, x.state, s))
	}
	j.uncount(x.state)
	x.state = s
	j.live--
	m.terminal++
	delete(j.progress, int32(i))
	delete(j.holders, int32(i))
	switch s {
	case Done:
		j.Counts.Done++
		j.results = append(j.results, int32(i))
	case Failed:
		j.Counts.Failed++
		j.results = append(j.results, int32(i))
	default:
		j.Counts.Cancelled++
	}
	j.check()
}

func (j *job) uncount(s ItemState) {
	if s == Leased || s == Started {
		j.Counts.Leased--
	}
}

// check asserts that each item is counted in exactly one way.
func (j *job) check() {
	n := j.Counts
	if n.Done+n.Failed+n.Cancelled+j.live != n.Total || n.Leased < 0 || n.Leased > j.live {
		panic(fmt.Sprintf("jobs invariant: counts of %s: %+v with %d live", j.ID, n, j.live))
	}
}

func (m *Machine) collect(c *Collect) *Result {
	for id, j := range m.jobs {
		if j.State != Running && j.Ended.Before(c.Before) {
			delete(m.jobs, id)
		}
	}
	used := map[string]bool{}
	for _, j := range m.jobs {
		used[j.File] = true
	}
	maps.DeleteFunc(m.files, func(id string, f *file) bool { return !used[id] && f.Created.Before(c.Before) })
	maps.DeleteFunc(m.keys, func(_ keyName, k keyRecord) bool { return k.At.Before(c.Before) })
	return &Result{}
}
