package jobs

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// leasedItem returns the job and the item if the lease of the attempt is valid, else
// nil.
func (m *Machine) leasedItem(r ItemRef) (*job, *item) {
	j := m.jobs[r.Job]
	if j == nil || r.Index < 0 || r.Index >= len(j.items) {
		return nil, nil
	}
	x := &j.items[r.Index]
	if (x.state != Leased && x.state != Started) || int(x.attempts) != r.Attempt {
		return nil, nil
	}
	return j, x
}

// lease grants a lease on each item that is pending and whose attempt number is the
// next one. The grants have no input line: only the leader that replies to the side
// reads it.
func (m *Machine) lease(c *Lease) *Result {
	r := &Result{}
	for _, ref := range c.Items {
		j := m.jobs[ref.Job]
		if j == nil || j.State != Running || ref.Index < 0 || ref.Index >= len(j.items) {
			continue
		}
		x := &j.items[ref.Index]
		if x.state != Pending || int(x.attempts)+1 != ref.Attempt {
			continue
		}
		x.state = Leased
		x.attempts++
		j.setHolder(ref.Index, c.Side)
		j.Counts.Leased++
		in := j.inputFile.inputs[ref.Index]
		j.pending[in.needs]--
		if k := slices.Index(j.waiting[in.needs], int32(ref.Index)); k >= 0 {
			j.waiting[in.needs] = slices.Delete(j.waiting[in.needs], k, k+1)
		}
		r.Granted = append(r.Granted, Grant{
			Ref: ref, Workspace: j.Workspace, Needs: j.inputFile.needs[in.needs], Idempotent: in.idempotent, Due: j.Due,
			Progress: j.progress[int32(ref.Index)], TargetEnds: int(j.ends[int32(ref.Index)].Count),
		})
	}
	return r
}

// setHolder records the side that holds the lease of item i.
func (j *job) setHolder(i int, side string) {
	if j.holders == nil {
		j.holders = map[int32]string{}
	}
	j.holders[int32(i)] = side
}

// LeasesHeldBy returns the leases held by sides for which match returns true. Leases that
// were restored from a snapshot are missing, as snapshots don't contain the sides.
func (m *Machine) LeasesHeldBy(match func(side string) bool) []ItemRef {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var r []ItemRef
	for id, j := range m.jobs {
		for i, side := range j.holders {
			if match(side) {
				r = append(r, ItemRef{Job: id, Index: int(i), Attempt: int(j.items[i].attempts)})
			}
		}
	}
	return r
}

// Line returns the input line of an item; ref must be one that a lease granted.
func (m *Machine) Line(ref ItemRef) ([]byte, error) {
	m.mu.RLock()
	j := m.jobs[ref.Job]
	m.mu.RUnlock()
	if j == nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "no batch %q", ref.Job)
	}
	return j.inputFile.inputs[ref.Index].line.Read()
}

// start marks leased items as started. A side sends an item that is not idempotent
// only after this command accepted it.
func (m *Machine) start(c *Start) *Result {
	r := &Result{Accepted: make([]bool, len(c.Items))}
	for i, ref := range c.Items {
		if _, x := m.leasedItem(ref); x != nil {
			x.state = Started
			r.Accepted[i] = true
		}
	}
	return r
}

// returnItems makes leased items pending again and keeps their partial output.
func (m *Machine) returnItems(at time.Time, c *Return) *Result {
	r := &Result{Accepted: make([]bool, len(c.Items))}
	for i, ref := range c.Items {
		if j, x := m.leasedItem(ref); x != nil {
			r.Accepted[i] = true
			var progress []byte
			if i < len(c.Progress) {
				progress = c.Progress[i]
			}
			switch {
			case i < len(c.TargetEnded) && c.TargetEnded[i]:
				m.recordEnd(j, ref.Index, at)
			case len(progress) > len(j.progress[int32(ref.Index)]):
				m.recordAnswer(j, ref.Index)
			default:
				// The item did not run, or without a result, so another one may be tried at once.
				j.triedAt = time.Time{}
			}
			if len(progress) > 0 {
				j.saveProgress(ref.Index, progress)
			}
			m.requeue(j, ref.Index)
		}
	}
	return r
}

// saveProgress keeps the partial output of item i for its next attempt.
func (j *job) saveProgress(i int, progress []byte) {
	if j.progress == nil {
		j.progress = map[int32][]byte{}
	}
	j.progress[int32(i)] = progress
}

// requeue makes a leased item pending again.
func (m *Machine) requeue(j *job, i int) {
	x := &j.items[i]
	j.uncountLease(x.state)
	x.state = Pending
	delete(j.holders, int32(i))
	n := j.inputFile.inputs[i].needs
	j.pending[n]++
	if m.leasing {
		j.enqueue(n, int32(i))
	}
}

// enqueue inserts pending item i into the queue for need n, after all items with
// more partial output. The nearly finished items are leased first and can end
// before the deadline; capacity shared evenly among all items would make all late.
// An item with which targets ended is not queued but waits.
func (j *job) enqueue(n uint16, i int32) {
	if j.ends[i].delay() > 0 {
		j.waiting[n] = append(j.waiting[n], i)
		return
	}
	size := len(j.progress[i])
	if size == 0 {
		j.queues[n] = append(j.queues[n], i)
		return
	}
	at, _ := slices.BinarySearchFunc(j.queues[n], size, func(x int32, size int) int { return size - len(j.progress[x]) })
	j.queues[n] = slices.Insert(j.queues[n], at, i)
}

// complete records results and failures of attempts whose lease is valid.
func (m *Machine) complete(at time.Time, c *Complete) *Result {
	r := &Result{Accepted: make([]bool, len(c.Outcomes))}
	for i, outcome := range c.Outcomes {
		j, x := m.leasedItem(outcome.Ref)
		if x == nil {
			continue
		}
		r.Accepted[i] = true
		if outcome.OK {
			m.recordAnswer(j, outcome.Ref.Index)
			m.finishItem(j, outcome.Ref.Index, Done, outcome.Output)
		} else {
			m.failAttempt(j, outcome)
		}
		j.completeIfFinished(at)
	}
	return r
}

// failAttempt requeues an item for a retry, or fails it if it has no attempts left, if
// the failure is permanent, or if the item is not idempotent and may have run.
func (m *Machine) failAttempt(j *job, o Outcome) {
	x := &j.items[o.Ref.Index]
	idempotent := j.inputFile.inputs[o.Ref.Index].idempotent
	mayRetry := idempotent || o.Verdict == rhubarbgate.NotRun
	limit, counted := MaxAttempts, o.Verdict != rhubarbgate.NotRun
	if j.Attempts > 0 {
		// In jobs created by Submit, only failure responses from a target count: a
		// lost side or connection is not the item's fault.
		limit, counted = j.Attempts, o.Verdict == rhubarbgate.Ran
	}
	if (counted || o.Permanent) && x.failures < math.MaxUint8 {
		x.failures++
	}
	if o.Verdict == rhubarbgate.Ran {
		m.recordAnswer(j, o.Ref.Index)
	}
	if mayRetry && !o.Permanent && int(x.failures) < min(limit, math.MaxUint8) {
		m.requeue(j, o.Ref.Index)
		return
	}
	m.finishItem(j, o.Ref.Index, Failed, failureLine(j, o))
}

// finishItem stores the item's output and makes the item terminal.
func (m *Machine) finishItem(j *job, i int, s ItemState, output []byte) {
	refs, err := m.Spill.Append([][]byte{output})
	if err != nil {
		// A replica that skipped the payload would diverge from the others, so it
		// stops instead.
		panic(err)
	}
	j.items[i].output = refs[0]
	m.endItem(j, i, s)
}

// completeIfFinished completes a running job that has no unfinished items.
func (j *job) completeIfFinished(at time.Time) {
	if j.unfinished == 0 && j.State == Running {
		j.State, j.Ended = Completed, at
		j.queues, j.waiting, j.pending = nil, nil, nil
	}
}

// ResultLine is one line of a job's output file.
type ResultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response json.RawMessage `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultError is the error of a failed item.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// InputLine is one line of a job's input file. Other fields of the line are ignored.
type InputLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// failureLine returns the result line of a failed item. Items of jobs created by
// Submit have none: their results carry only the ID and the state.
func failureLine(j *job, o Outcome) []byte {
	if j.Attempts > 0 {
		return nil
	}
	var in InputLine
	if b, err := j.inputFile.inputs[o.Ref.Index].line.Read(); err == nil {
		// The line was validated when it was uploaded.
		_ = json.Unmarshal(b, &in)
	}
	line, err := json.Marshal(&ResultLine{
		ID:       fmt.Sprintf("%s-%d", j.ID, o.Ref.Index),
		CustomID: in.CustomID,
		Error:    &ResultError{Code: "item_failed", Message: o.Message, Verdict: o.Verdict.String()},
	})
	if err != nil {
		panic(err)
	}
	return line
}

// expire ends leases. The attempt of an item that may have run is handled as a failed
// one.
func (m *Machine) expire(at time.Time, c *Expire) *Result {
	r := &Result{Accepted: make([]bool, len(c.Items))}
	for i, ref := range c.Items {
		j, x := m.leasedItem(ref)
		if x == nil {
			continue
		}
		r.Accepted[i] = true
		if x.state == Leased && !j.inputFile.inputs[ref.Index].idempotent {
			// An item that is not idempotent is sent to a target only after a Start
			// command, so this one never ran.
			m.requeue(j, ref.Index)
			continue
		}
		m.failAttempt(j, Outcome{Ref: ref, Verdict: rhubarbgate.MayHaveRun, Message: "the side process was lost while it worked on the item"})
		j.completeIfFinished(at)
	}
	return r
}
