package jobs

import (
	"math"
	"time"
)

const (
	// secondEndDelay is how long an item waits after the second end of a target. Each further end
	// doubles the wait, up to maxEndDelay. The first end is most often due to something else.
	secondEndDelay = 2 * time.Second
	maxEndDelay    = 5 * time.Minute
	// trialGap is the time between the leases of two items that have waited. Sound items that were in
	// flight with one that ends targets would otherwise wait as long as it, and be leased with it again.
	trialGap = 500 * time.Millisecond
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

// delay returns the time between the newest end and the next lease.
func (e targetEnds) delay() time.Duration {
	if e.Count < 2 {
		return 0
	}
	d := secondEndDelay
	for range e.Count - 2 {
		if d *= 2; d >= maxEndDelay {
			return maxEndDelay
		}
	}
	return d
}

// waits reports whether the delay, counted from the given time, is not over yet. The time may come
// from a host whose clock was ahead, which must not prolong the wait for long.
func (e targetEnds) waits(since, now time.Time) bool { return now.Sub(since).Abs() < e.delay() }

// saveEnds keeps the ends of targets with item i.
func (j *job) saveEnds(i int32, e targetEnds) {
	if j.ends == nil {
		j.ends = map[int32]targetEnds{}
	}
	j.ends[i] = e
}

// recordEnd records the end of a target with item i. The job is on trial from the second moment
// at which targets ended with its items.
func (j *job) recordEnd(i int, at time.Time) {
	e := j.ends[int32(i)]
	e.add(at)
	j.saveEnds(int32(i), e)
	if j.streak.Count == 0 || at.Sub(j.streak.At).Abs() >= sameMoment {
		j.streak.add(at)
	}
}

// recordAnswer records that a target answered item i.
func (j *job) recordAnswer(i int) {
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
	return j.streak.waits(j.streak.At, now) || j.streak.waits(j.triedAt, now)
}

// findTrial returns the position in j.waiting[need] of the item to try now: one that has waited long
// enough, and of those the one with the fewest ends, which is sound most likely. It returns -1 if
// there is none. The lock is held.
func (m *Machine) findTrial(j *job, need uint16) int {
	if m.now.Sub(m.triedAt).Abs() < trialGap {
		return -1
	}
	found := -1
	for k, i := range j.waiting[need] {
		e := j.ends[i]
		if !e.waits(e.At, m.now) && (found < 0 || e.Count < j.ends[j.waiting[need][found]].Count) {
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
	return ItemWait{Ends: int(e.Count), JobEnds: int(j.streak.Count), Wait: e.delay(), JobWait: j.streak.delay()}, true
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
