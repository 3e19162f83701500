package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// live returns the item if the attempt's lease is still valid.
func (m *Machine) liveItem(r ItemRef) (*job, *item) {
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

func (m *Machine) lease(c *Lease) *Result {
	r := &Result{}
	for _, ref := range c.Items {
		j := m.jobs[ref.Job]
		if j == nil || j.State != Running || ref.Index >= len(j.items) {
			continue
		}
		x := &j.items[ref.Index]
		if x.state != Pending || int(x.attempts)+1 != ref.Attempt {
			continue
		}
		x.state = Leased
		x.attempts++
		j.hold(ref.Index, c.Side)
		j.Counts.Leased++
		in := j.input.inputs[ref.Index]
		j.waiting[in.needs]--
		r.Granted = append(r.Granted, Grant{
			Ref: ref, Workspace: j.Workspace, Needs: j.input.needs[in.needs], Idempotent: in.idempotent, Due: j.Due,
			Progress: j.progress[int32(ref.Index)],
		})
	}
	return r
}

func (j *job) hold(i int, side string) {
	if j.holders == nil {
		j.holders = map[int32]string{}
	}
	j.holders[int32(i)] = side
}

// HeldBy returns the leases whose side matches.
func (m *Machine) HeldBy(match func(side string) bool) []ItemRef {
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

// Line returns the input line of an item.
func (m *Machine) Line(ref ItemRef) ([]byte, error) {
	m.mu.RLock()
	j := m.jobs[ref.Job]
	m.mu.RUnlock()
	if j == nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "no batch %q", ref.Job)
	}
	return j.input.inputs[ref.Index].line.Read()
}

func (m *Machine) start(c *Start) *Result {
	r := &Result{Accepted: make([]bool, len(c.Items))}
	for i, ref := range c.Items {
		if _, x := m.liveItem(ref); x != nil {
			x.state = Started
			r.Accepted[i] = true
		}
	}
	return r
}

func (m *Machine) giveBack(c *Return) *Result {
	r := &Result{Accepted: make([]bool, len(c.Items))}
	for i, ref := range c.Items {
		if j, x := m.liveItem(ref); x != nil {
			r.Accepted[i] = true
			if i < len(c.Progress) && len(c.Progress[i]) > 0 {
				j.keepProgress(ref.Index, c.Progress[i])
			}
			m.requeue(j, ref.Index)
		}
	}
	return r
}

func (j *job) keepProgress(i int, progress []byte) {
	if j.progress == nil {
		j.progress = map[int32][]byte{}
	}
	j.progress[int32(i)] = progress
}

// requeue makes a leased item pending again.
func (m *Machine) requeue(j *job, i int) {
	x := &j.items[i]
	j.uncount(x.state)
	x.state = Pending
	delete(j.holders, int32(i))
	n := j.input.inputs[i].needs
	j.waiting[n]++
	if m.leasing {
		j.enqueue(n, int32(i))
	}
}

// enqueue puts a pending item behind those that have got further: what is
// nearly done ends in time, and sharing among all would make all late.
func (j *job) enqueue(n uint16, i int32) {
	size := len(j.progress[i])
	if size == 0 {
		j.pending[n] = append(j.pending[n], i)
		return
	}
	at, _ := slices.BinarySearchFunc(j.pending[n], size, func(x int32, size int) int { return size - len(j.progress[x]) })
	j.pending[n] = slices.Insert(j.pending[n], at, i)
}

func (m *Machine) complete(at time.Time, c *Complete) *Result {
	r := &Result{Accepted: make([]bool, len(c.Outcomes))}
	for i, o := range c.Outcomes {
		j, x := m.liveItem(o.Ref)
		if x == nil {
			continue
		}
		r.Accepted[i] = true
		if o.OK {
			m.finishItem(j, o.Ref.Index, Done, o.Output)
		} else {
			m.failAttempt(j, o)
		}
		j.endIfEmpty(at)
	}
	return r
}

// failAttempt retries an item, or fails it if it may not be repeated or has
// used up its attempts.
func (m *Machine) failAttempt(j *job, o Outcome) {
	x := &j.items[o.Ref.Index]
	idempotent := j.input.inputs[o.Ref.Index].idempotent
	mayRepeat := idempotent || o.Verdict == rhubarbgate.NotRun
	limit, counts := MaxAttempts, o.Verdict != rhubarbgate.NotRun
	if j.Attempts > 0 {
		// Only answers of failure count for submitted jobs.
		limit, counts = j.Attempts, o.Verdict == rhubarbgate.Ran
	}
	if counts || o.Permanent {
		x.failures++
	}
	if mayRepeat && !o.Permanent && int(x.failures) < limit {
		m.requeue(j, o.Ref.Index)
		return
	}
	m.finishItem(j, o.Ref.Index, Failed, failureLine(j, o))
}

func (m *Machine) finishItem(j *job, i int, s ItemState, output []byte) {
	refs, err := m.Spill.Append([][]byte{output})
	if err != nil {
		// Replicas may not diverge: one that cannot store a payload stops.
		panic(err)
	}
	j.items[i].output = refs[0]
	m.end(j, i, s)
}

func (j *job) endIfEmpty(at time.Time) {
	if j.live == 0 && j.State == Running {
		j.State, j.Ended = Completed, at
		j.pending, j.waiting = nil, nil
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

// InputLine is the part of an input line that results refer to.
type InputLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

func failureLine(j *job, o Outcome) []byte {
	if j.Attempts > 0 {
		return nil
	}
	var in InputLine
	if b, err := j.input.inputs[o.Ref.Index].line.Read(); err == nil {
		// The line was checked when it was accepted.
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

func (m *Machine) expire(at time.Time, c *Expire) *Result {
	r := &Result{Accepted: make([]bool, len(c.Items))}
	for i, ref := range c.Items {
		j, x := m.liveItem(ref)
		if x == nil {
			continue
		}
		r.Accepted[i] = true
		if x.state == Leased && !j.input.inputs[ref.Index].idempotent {
			// Non-idempotent items are started by command, so this one never ran.
			m.requeue(j, ref.Index)
			continue
		}
		m.failAttempt(j, Outcome{Ref: ref, Verdict: rhubarbgate.MayHaveRun, Message: "the side process was lost while it worked on the item"})
		j.endIfEmpty(at)
	}
	return r
}
