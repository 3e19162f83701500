package jobs

import (
	"math"
	"time"
)

const (
	// secondEndDelay is how long an item waits after the second end of a target. Each further end
	// doubles the wait, up to maxEndDelay. The first end is most often due to something else.
	secondEndDelay = 2 * time.Second
	// maxEndDelay and maxJobDelay bound the waits of an item and of a job on trial. With the time of a run, and for an
	// item that of other trials, they are under the 18 s in which a batch job is due.
	maxEndDelay = 8 * time.Second
	maxJobDelay = 12 * time.Second
	// minTrialGap is the time between the leases of two items that have waited. Sound items that were in
	// flight with one that ends targets would otherwise wait as long as it, and be leased with it again.
	// Each end of a target with an item that had waited doubles the gap, up to maxTrialGap, about the time in which a
	// target returns; an answer to one resets it. Many items that end targets thus end one after the other.
	minTrialGap = 500 * time.Millisecond
	maxTrialGap = 4 * time.Second
	// sameMoment is the time within which the ends of targets with several items of a job may have
	// one cause, such as the loss of a rack.
	sameMoment = time.Second
)

// targetEnds counts the ends of targets that ran an item, or items of one job; At is when the last
// one that counted came. An item is not failed for them, but each makes it wait longer before it is
// leased again, and if targets end with several items of a job, these are tried one at a time.
type targetEnds struct {
	Count uint8
	At    time.Time
}

// add counts an end.
func (e *targetEnds) add(at time.Time) {
	e.At = at
	if e.Count < math.MaxUint8 {
		e.Count++
	}
}

// delay returns the time between the newest end with an item and its next lease.
func (e targetEnds) delay() time.Duration { return e.delayUpTo(maxEndDelay) }

// jobDelay returns the time between the newest end with any item of a job on trial and the next lease of one.
func (e targetEnds) jobDelay() time.Duration { return e.delayUpTo(maxJobDelay) }

func (e targetEnds) delayUpTo(limit time.Duration) time.Duration {
	if e.Count < 2 {
		return 0
	}
	d := secondEndDelay
	for range e.Count - 2 {
		if d *= 2; d >= limit {
			return limit
		}
	}
	return d
}

// isWithin reports whether less than a delay has passed since a time. The time may come from a host whose clock was
// ahead, which must not prolong a wait for long.
func isWithin(delay time.Duration, since, now time.Time) bool { return now.Sub(since).Abs() < delay }

// saveEnds keeps the ends of targets with item i.
func (j *job) saveEnds(i int32, e targetEnds) {
	if j.ends == nil {
		j.ends = map[int32]targetEnds{}
	}
	j.ends[i] = e
}

// recordEnd records the end of a target with item i. The job is on trial from the second moment
// at which targets ended with its items.
func (m *Machine) recordEnd(j *job, i int, at time.Time) {
	e := j.ends[int32(i)]
	if e.delay() > 0 {
		m.trialGap = min(2*max(m.trialGap, minTrialGap), maxTrialGap)
	}
	e.add(at)
	j.saveEnds(int32(i), e)
	if j.streak.Count == 0 || at.Sub(j.streak.At).Abs() >= sameMoment {
		j.streak.add(at)
	}
}

// recordAnswer records that a target answered item i.
func (m *Machine) recordAnswer(j *job, i int) {
	if j.ends[int32(i)].delay() > 0 {
		m.trialGap = minTrialGap
	}
	delete(j.ends, int32(i))
	j.streak = targetEnds{}
}

// Advance sets the time at which PendingJobs and Next find out which items have waited long enough.
// The leader calls it before it chooses items.
func (m *Machine) Advance(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}

// isPaused reports whether the job is on trial and no other item of it may be leased yet.
func (j *job) isPaused(now time.Time) bool {
	d := j.streak.jobDelay()
	return isWithin(d, j.streak.At, now) || isWithin(d, j.triedAt, now)
}

// findTrial returns the position in j.waiting[need] of the item to try now: one that has waited long
// enough, and of those the one with the fewest ends, which is sound most likely. It returns -1 if
// there is none. The lock is held.
func (m *Machine) findTrial(j *job, need uint16) int {
	if m.now.Sub(m.triedAt).Abs() < max(m.trialGap, minTrialGap) {
		return -1
	}
	found := -1
	for k, i := range j.waiting[need] {
		e := j.ends[i]
		if !isWithin(e.delay(), e.At, m.now) && (found < 0 || e.Count < j.ends[j.waiting[need][found]].Count) {
			found = k
		}
	}
	return found
}

// ItemWait says how long an item waits because targets ended with it or with others of its job.
type ItemWait struct {
	// Ends is the number of ends with the item, and JobEnds that of the moments at which targets ended with
	// any item of the job, in both cases since a target last answered.
	Ends, JobEnds int
	// Wait and JobWait are the times from the last of these ends to the next lease, 0 if there is no wait.
	Wait, JobWait time.Duration
}

// WaitOf returns how long an item waits, and false if its job is unknown.
func (m *Machine) WaitOf(ref ItemRef) (ItemWait, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j := m.jobs[ref.Job]
	if j == nil {
		return ItemWait{}, false
	}
	e := j.ends[int32(ref.Index)]
	return ItemWait{Ends: int(e.Count), JobEnds: int(j.streak.Count), Wait: e.delay(), JobWait: j.streak.jobDelay()}, true
}

// Waiting returns how many items wait because targets ended with them.
func (m *Machine) Waiting() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := 0
	for _, j := range m.jobs {
		for _, waiting := range j.waiting {
			n += len(waiting)
		}
	}
	return n
}
