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
	// MaxItems is the maximum number of items in a file or a submitted job.
	MaxItems = 250_000
	// MaxAttempts is the number of failed attempts after which an item fails, unless
	// its job sets a limit of its own. Attempts that never ran don't count.
	MaxAttempts = 4
)

// Machine is the state of all files and jobs of one group. Apply must be called from
// one goroutine; queries are safe from any.
type Machine struct {
	// Spill stores input lines and outputs on disk.
	Spill *disk.Spill

	mu    sync.RWMutex
	files map[string]*file
	jobs  map[string]*job
	// keys holds the idempotency keys that were used.
	keys map[idempotencyKey]keyRecord
	// leasing is set while this replica leads the group: it keeps the queues from
	// which leases are granted.
	leasing bool
	// terminal counts all items that became terminal, including those of removed
	// jobs. Snapshots keep it.
	terminal uint64
	// now is the time that Advance was last called with, triedAt when an item that had waited was last
	// leased, and trialGap the time from then to the next such lease, see minTrialGap. They are not part of the
	// replicated state; only the leader uses them.
	now, triedAt time.Time
	trialGap     time.Duration
}

// file is an uploaded file, or the items of a job created by Submit.
type file struct {
	File
	inputs []input
	needs  []string // distinct values of ItemInput.Needs
	// itemIDs are the IDs of the items of a job created by Submit.
	itemIDs []string
}

// input is one line of a file.
type input struct {
	line       disk.Ref
	needs      uint16 // index into file.needs
	idempotent bool
}

// job is a job with the state of its items. Maps by need have the index into
// inputFile.needs as their key.
type job struct {
	Job
	inputFile *file
	items     []item
	// pending counts pending items by need.
	pending map[uint16]int
	// queues holds the indexes of pending items by need, in the order in which they
	// are leased. It may also contain items that are no longer pending; Next skips
	// them. It exists only on the leader.
	queues map[uint16][]int32
	// unfinished counts items that are not terminal.
	unfinished int
	// results holds the indexes of done and failed items in the order in which they
	// became terminal.
	results []int32
	// progress is the partial output of unfinished items. It only saves work, so
	// snapshots leave it out.
	progress map[int32][]byte
	// holders maps leased items to the sides that hold them. Snapshots leave it out.
	holders map[int32]string
	// ends counts the ends of targets with each item, and streak the moments of those with any
	// item of the job, in both cases since a target last answered.
	ends   map[int32]targetEnds
	streak targetEnds
	// waiting holds the pending items by need that are in no queue because targets ended with
	// them, and triedAt is when an item was last chosen. They exist only on the leader.
	waiting map[uint16][]int32
	triedAt time.Time
	routing routing
}

// item is the state of one input line.
type item struct {
	output   disk.Ref
	attempts uint16 // leases granted
	failures uint8  // failed attempts that count toward the limit
	state    ItemState
}

// idempotencyKey is a caller's key. Scope, "file" or "job", separates the keys of
// uploads from those of jobs.
type idempotencyKey struct{ Workspace, Scope, Key string }

// keyRecord is the use of an idempotency key: the digest of the content, and the ID of
// the file or job that was created.
type keyRecord struct {
	Digest []byte
	ID     string
	At     time.Time
}

// New returns an empty machine that stores payloads in s.
func New(s *disk.Spill) *Machine {
	m := &Machine{Spill: s}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.files = map[string]*file{}
	m.jobs = map[string]*job{}
	m.keys = map[idempotencyKey]keyRecord{}
}

// Apply executes a command. It is deterministic, so that all replicas reach the same
// state.
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
		return m.returnItems(c.At, c.Return)
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

// fail returns a result with an error whose verdict is NotRun.
func fail(c rhubarbgate.Code, format string, args ...any) *Result {
	return &Result{Err: rhubarbgate.Errorf(c, rhubarbgate.NotRun, format, args...)}
}

// findJob returns the job if it belongs to the workspace, else an error; an empty
// workspace matches any.
func (m *Machine) findJob(id, workspace string) (*job, *Result) {
	j := m.jobs[id]
	if j == nil || (workspace != "" && j.Workspace != workspace) {
		return nil, fail(rhubarbgate.CodeNotFound, "no batch %q", id)
	}
	return j, nil
}

// findFile returns the file if it belongs to the workspace, else an error.
func (m *Machine) findFile(id, workspace string) (*file, *Result) {
	f := m.files[id]
	if f == nil || f.Workspace != workspace {
		return nil, fail(rhubarbgate.CodeNotFound, "no file %q", id)
	}
	return f, nil
}

func (m *Machine) createJob(at time.Time, c *CreateJob) *Result {
	name := idempotencyKey{c.Workspace, "job", c.Key}
	if id, r := m.lookUpKey(name, c.Digest); r != nil {
		return r
	} else if id != "" {
		return m.jobResult(id)
	}
	if j := m.jobs[c.ID]; j != nil {
		return m.jobResult(c.ID)
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
		inputFile: f, items: make([]item, len(f.inputs)), unfinished: len(f.inputs),
	}
	j.countPending()
	if m.leasing {
		j.buildQueues()
	}
	if j.unfinished == 0 {
		j.State, j.Ended = Completed, at
	}
	m.jobs[c.ID] = j
	m.storeKey(name, c.Digest, c.ID, at)
	return m.jobResult(c.ID)
}

// countPending recomputes the number of pending items by need.
func (j *job) countPending() {
	j.pending = map[uint16]int{}
	for i := range j.items {
		if j.items[i].state == Pending && j.State == Running {
			j.pending[j.inputFile.inputs[i].needs]++
		}
	}
}

// buildQueues rebuilds the queues of pending items.
func (j *job) buildQueues() {
	j.queues, j.waiting = map[uint16][]int32{}, map[uint16][]int32{}
	for i := range j.items {
		if j.items[i].state == Pending && j.State == Running {
			n := j.inputFile.inputs[i].needs
			j.enqueue(n, int32(i))
		}
	}
}

// lookUpKey returns the ID that an idempotency key was used for, or an empty string.
// The result is set if the key was used with other content.
func (m *Machine) lookUpKey(n idempotencyKey, digest []byte) (string, *Result) {
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

// storeKey records the use of an idempotency key. Without a key it does nothing.
func (m *Machine) storeKey(n idempotencyKey, digest []byte, id string, at time.Time) {
	if n.Key != "" {
		m.keys[n] = keyRecord{Digest: digest, ID: id, At: at}
	}
}

// jobResult returns a copy of the job's description.
func (m *Machine) jobResult(id string) *Result {
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
		return m.jobResult(c.Job)
	}
	for i := range j.items {
		if !j.items[i].state.Terminal() {
			m.endItem(j, i, Cancelled)
		}
	}
	j.State, j.Ended = JobCancelled, at
	j.queues, j.waiting, j.pending = nil, nil, nil
	return m.jobResult(c.Job)
}

// endItem moves an item into the terminal state s. Apart from Restore, no other code
// makes an item terminal.
func (m *Machine) endItem(j *job, i int, s ItemState) {
	x := &j.items[i]
	if x.state.Terminal() || !s.Terminal() {
		panic(fmt.Sprintf("jobs invariant: item %s/%d from %v to %v", j.ID, i, x.state, s))
	}
	j.uncountLease(x.state)
	x.state = s
	j.unfinished--
	m.terminal++
	delete(j.progress, int32(i))
	delete(j.holders, int32(i))
	delete(j.ends, int32(i))
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
	j.checkCounts()
}

// uncountLease decrements the count of leases if s is the state of a leased item.
func (j *job) uncountLease(s ItemState) {
	if s == Leased || s == Started {
		j.Counts.Leased--
	}
}

// checkCounts panics unless the counts by state add up to the total, so that a counting
// error stops the replica instead of completing a job early or never.
func (j *job) checkCounts() {
	if !j.countsAddUp() {
		panic(fmt.Sprintf("jobs invariant: counts of %s: %+v with %d live", j.ID, j.Counts, j.unfinished))
	}
}

// countsAddUp reports whether the counts by state add up to the total.
func (j *job) countsAddUp() bool {
	n := j.Counts
	return n.Done+n.Failed+n.Cancelled+j.unfinished == n.Total && n.Leased >= 0 && n.Leased <= j.unfinished
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
	maps.DeleteFunc(m.keys, func(_ idempotencyKey, k keyRecord) bool { return k.At.Before(c.Before) })
	return &Result{}
}
