// Package quarantine decides which parts of prompts are kept from the targets because targets end when they answer them.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// AnyPart is the ID in the Answer that says when targets of a service last answered any request.
const AnyPart = ""

const (
	// minMoments is at how many moments targets must have ended, with no answer to the part in
	// between, before the part is suspected. Fewer happen by chance when targets end for other
	// reasons.
	minMoments = 3
	// sameMoment is the time within which the ends of several targets may have one cause, such as
	// the loss of a rack. Requests that crash targets come at different times.
	sameMoment = 100 * time.Millisecond
	// sharedMomentEnds is how many targets end at a moment that has one cause outside the requests.
	// Fewer may be due to one request, which is repeated at once on another target.
	sharedMomentEnds = 3
	// sharedMomentInterval is the time between two such moments that count. Busy processes notice
	// the ends of one moment over several tenths of a second.
	sharedMomentInterval = time.Second
	// AnswerMargin is how long after an answer to a part the end of a target counts against
	// the part: an answer and an end that are closer may have been in flight together.
	AnswerMargin = 2 * time.Second
	// objectionPeriod is how long a part is suspected before it is blocked. It covers the way
	// to all daemons and back, which report their answers to the part.
	objectionPeriod = 800 * time.Millisecond
	// BlockTime is how long after the last end of a target a part stays blocked, unless a trial is answered.
	BlockTime = 5 * time.Minute
	// CrashTTL is how long an end of a target counts. It exceeds BlockTime, so that the first
	// end after a block blocks the part again at once.
	CrashTTL = 2 * BlockTime
	// SameCrashPeriod is the time within which reports about one target describe one end. A
	// target may keep its name when it restarts, but it takes longer.
	SameCrashPeriod = time.Second
	// adoptedTrialTime is how long a block for trial of an earlier Table lasts. Within it all daemons
	// report the ends from which the block follows.
	adoptedTrialTime = 3 * time.Second
	// maxCrashes and maxCrashParts bound the memory for ends of targets and for the parts of
	// each; the oldest ends and further parts are dropped. A target has tens of requests,
	// running and queued, with a few parts each.
	maxCrashes    = 256
	maxCrashParts = 512
)

// Part is a part of prompts at the targets of one service. Another service may run other engines,
// which the same part does not end, so what is known of one service does not clear the part at another.
type Part struct{ Service, ID string }

// Parts returns the parts with the given IDs.
func Parts(service string, ids []string) []Part {
	r := make([]Part, len(ids))
	for i, id := range ids {
		r[i] = Part{service, id}
	}
	return r
}

// CompareParts orders parts.
func CompareParts(a, b Part) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}

// Crash is the end of a target while it had requests.
type Crash struct {
	Target string
	// Age is how long ago the target ended.
	Age time.Duration
	// Parts are the parts of the prompts that the target had not answered yet, or had just
	// begun to answer.
	Parts []Part
}

// Answer says how long ago a target last answered a prompt with a part.
type Answer struct {
	Part Part
	Age  time.Duration
}

// Block keeps requests from all targets whose prompts have the part and all the parts in With. A
// route may move to another service, whose targets mostly end too.
type Block struct {
	Part Part
	// With are the parts that were present at each end of a target that counts against Part.
	// Any of them may be the cause, so a prompt without one of them is still sent.
	With []Part `msgpack:",omitempty"`
	// Except are the other services whose targets have answered the part.
	Except []string `msgpack:",omitempty"`
	// Trial says that one request now and then may be sent, see Table.GrantTrial.
	Trial bool `msgpack:",omitempty"`
	// TrialIn is how long no trial is granted for a block that is not for trial. It is positive, also if a
	// trial is due; 0 is the value of earlier builds, which grant none.
	TrialIn time.Duration `msgpack:",omitempty"`
	// LateTrials counts the trials that maxLateTrials bounds.
	LateTrials int `msgpack:",omitempty"`
	// Left is how long the block lasts.
	Left time.Duration
}

// Aged returns the block as it is after d, and false if it has ended by then.
func (b Block) Aged(d time.Duration) (Block, bool) {
	b.Left -= d
	if b.TrialIn > 0 {
		b.TrialIn = max(b.TrialIn-d, minTrialIn)
	}
	return b, b.Left > 0
}

// Renews reports whether the block differs from an earlier state of it by more than the passing of time.
// Differences of less than a second do not count.
func (b Block) Renews(earlier Block) bool {
	return b.Part != earlier.Part || b.Trial != earlier.Trial || b.LateTrials != earlier.LateTrials || !slices.Equal(b.With, earlier.With) ||
		!slices.Equal(b.Except, earlier.Except) || b.Left > earlier.Left+time.Second || (b.TrialIn-earlier.TrialIn).Abs() > time.Second
}

// Report is what one daemon observed.
type Report struct {
	Crashes []Crash
	Answers []Answer
	// Answered says that the daemon got an answer to any prompt, AnsweredAge how long ago the
	// newest was.
	Answered    bool
	AnsweredAge time.Duration
	// Blocks are blocks that the daemon received from an earlier Table.
	Blocks []Block
}

// crash is the end of a target, merged from all reports.
type crash struct {
	target string
	at     time.Time
	parts  map[Part]bool
	// endsAround is how many targets ended within sameMoment of this one, itself included. update
	// sets it.
	endsAround int
}

// adoptedBlock is a block of an earlier Table.
type adoptedBlock struct {
	with         []Part
	except       []string
	trial        bool
	since, until time.Time
	trialAt      time.Time // no trial is granted before
}

// Table merges the reports of all daemons. It is safe for concurrent use.
type Table struct {
	Clock clockwork.Clock

	mu      sync.Mutex
	crashes []*crash // by the time of their report
	// answers holds the time of the newest answer to each part at a crash.
	answers      map[Part]time.Time
	newestAnswer time.Time
	suspected    map[Part]time.Time // since when
	trials       map[Part]time.Time // when the newest trial was granted
	// lateTrials counts the trials that maxLateTrials bounds.
	lateTrials map[Part]int
	// failedTrials counts the trials of a request, before the newest, that ended their targets.
	failedTrials map[Part]int
	// requestTrials holds the newest trial of a request by service, since one is under way at a time, and
	// blockTrials that of a blocked part or request.
	requestTrials   map[string]lastTrial
	blockTrials     map[string]lastTrial
	returnedAt      time.Time // when a trial was last returned
	blockedRequests map[Part]bool
	adopted         map[Part]adoptedBlock
}

// Add merges a report, and returns the parts of its Blocks that are not blocked any more because
// they were answered.
func (t *Table) Add(r *Report) (released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answers == nil {
		t.answers, t.suspected, t.trials, t.adopted = map[Part]time.Time{}, map[Part]time.Time{}, map[Part]time.Time{}, map[Part]adoptedBlock{}
		t.blockedRequests = map[Part]bool{}
		t.failedTrials, t.lateTrials = map[Part]int{}, map[Part]int{}
		t.requestTrials, t.blockTrials = map[string]lastTrial{}, map[string]lastTrial{}
	}
	now := t.Clock.Now()
	for _, c := range r.Crashes {
		t.addCrash(c, now.Add(-c.Age))
	}
	for _, a := range r.Answers {
		if at := now.Add(-a.Age); at.After(t.answers[a.Part]) {
			t.answers[a.Part] = at
		}
	}
	if at := now.Add(-r.AnsweredAge); r.Answered && at.After(t.newestAnswer) {
		t.newestAnswer = at
	}
	for _, b := range r.Blocks {
		t.adopt(b, now)
	}
	t.update(now)
	for _, b := range r.Blocks {
		if _, ok := t.adopted[b.Part]; !ok {
			released = append(released, b.Part)
		}
	}
	return released
}

// adopt takes over a block of an earlier Table. Of several reports the one that allows the fewest trials
// counts, as the others are older. The lock is held.
func (t *Table) adopt(b Block, now time.Time) {
	t.lateTrials[b.Part] = max(t.lateTrials[b.Part], b.LateTrials)
	a, known := t.adopted[b.Part]
	if !known || !b.Trial && a.trial {
		left := b.Left
		if b.Trial {
			left = min(left, adoptedTrialTime)
		}
		a = adoptedBlock{with: b.With, except: b.Except, trial: b.Trial, since: now, until: now.Add(left)}
	}
	wait := b.TrialIn
	if wait == 0 {
		wait = maxTrialWait
	}
	if at := now.Add(wait); !b.Trial && at.After(a.trialAt) {
		a.trialAt = at
	}
	t.adopted[b.Part] = a
}

// addCrash adds the end of a target, or parts to one that is known. The lock is held.
func (t *Table) addCrash(c Crash, at time.Time) {
	i := slices.IndexFunc(t.crashes, func(x *crash) bool {
		return x.target == c.Target && x.at.Sub(at).Abs() < SameCrashPeriod
	})
	if i < 0 {
		i = len(t.crashes)
		t.crashes = append(t.crashes, &crash{target: c.Target, at: at, parts: map[Part]bool{}})
	}
	for _, p := range c.Parts {
		if len(t.crashes[i].parts) < maxCrashParts {
			t.crashes[i].parts[p] = true
		}
	}
}

// update drops what has expired and finds the parts to suspect. The lock is held.
func (t *Table) update(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) >= CrashTTL })
	t.crashes = slices.Delete(t.crashes, 0, max(0, len(t.crashes)-maxCrashes))
	maps.DeleteFunc(t.adopted, func(p Part, b adoptedBlock) bool { return !now.Before(b.until) || t.answers[p].After(b.since) })
	t.countEndsAround()
	crashes, ids := map[Part]int{}, map[string]bool{}
	for _, c := range t.crashes {
		for p := range c.parts {
			crashes[p]++
			ids[p.ID] = true
		}
	}
	for p := range t.adopted {
		ids[p.ID] = true
	}
	maps.DeleteFunc(t.answers, func(p Part, _ time.Time) bool { return p.ID != AnyPart && !ids[p.ID] })
	isSuspected := func(p Part) bool {
		if p.IsRequest() {
			return crashes[p] >= MinRequestEnds && t.isRequestSuspect(p, now)
		}
		return crashes[p] >= min(minMoments, minTrialEnds) && (t.isSuspect(p) || t.isOnTrial(p, now))
	}
	maps.DeleteFunc(t.suspected, func(p Part, _ time.Time) bool { return !isSuspected(p) })
	for p := range crashes {
		if t.suspected[p].IsZero() && isSuspected(p) {
			t.suspected[p] = now
		}
	}
	t.updateBlockedRequests(crashes, now)
	isForgotten := func(p Part) bool {
		_, adopted := t.adopted[p]
		return t.suspected[p].IsZero() && !adopted
	}
	maps.DeleteFunc(t.trials, func(p Part, _ time.Time) bool { return isForgotten(p) })
	maps.DeleteFunc(t.failedTrials, func(p Part, _ int) bool { return isForgotten(p) })
	maps.DeleteFunc(t.lateTrials, func(p Part, _ int) bool { return isForgotten(p) })
}

// counted returns the ends of targets that count against a part: it was present, and was not
// answered since shortly before. The lock is held.
func (t *Table) counted(part Part) []*crash {
	var r []*crash
	answered := t.answers[part]
	for _, c := range t.crashes {
		if c.parts[part] && c.at.After(answered.Add(AnswerMargin)) {
			r = append(r, c)
		}
	}
	return r
}

// isSuspect reports whether targets that had the part ended one after the other while others
// answered. If none answers anything, the cause is not in the prompts. The lock is held.
func (t *Table) isSuspect(part Part) bool {
	c := t.counted(part)
	return moments(c) >= minMoments && slices.ContainsFunc(c, func(x *crash) bool { return t.newestAnswer.After(x.at) })
}

// moments returns at how many different moments the targets ended. Moments at which many targets
// ended, with the part or without, count only if they are far apart.
func moments(c []*crash) int {
	c = slices.Clone(c)
	slices.SortFunc(c, func(a, b *crash) int { return a.at.Compare(b.at) })
	n := 0
	var last, lastShared time.Time
	for _, x := range c {
		if n > 0 && x.at.Sub(last) < sameMoment {
			continue
		}
		shared := x.endsAround >= sharedMomentEnds
		if shared && !lastShared.IsZero() && x.at.Sub(lastShared) < sharedMomentInterval {
			continue
		}
		if shared {
			lastShared = x.at
		}
		n++
		last = x.at
	}
	return n
}

// countEndsAround sets endsAround of all ends of targets. The lock is held.
func (t *Table) countEndsAround() {
	sorted := slices.SortedFunc(slices.Values(t.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	first, next := 0, 0
	for _, c := range sorted {
		for c.at.Sub(sorted[first].at) >= sameMoment {
			first++
		}
		for next < len(sorted) && sorted[next].at.Sub(c.at) < sameMoment {
			next++
		}
		c.endsAround = next - first
	}
}

// Suspects returns the parts that are suspected, in order.
func (t *Table) Suspects() []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(t.Clock.Now())
	return slices.SortedFunc(maps.Keys(t.suspected), CompareParts)
}

// Blocks returns the blocks in force, those for trial among them, ordered by part.
func (t *Table) Blocks() []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.update(now)
	var r []Block
	for p, since := range t.suspected {
		c := t.counted(p)
		if p.IsRequest() {
			if !t.isAdoptedBlock(p) || t.blockedRequests[p] {
				r = append(r, Block{Part: p, Except: t.answeredElsewhere(p), Trial: !t.blockedRequests[p], Left: newest(c).Add(BlockTime).Sub(now)})
			}
			continue
		}
		b := Block{Part: p, With: t.presentAtAll(c, p), Except: t.answeredElsewhere(p), Left: newest(c).Add(BlockTime).Sub(now)}
		if now.Sub(since) < objectionPeriod || !t.isSuspect(p) {
			if t.isAdoptedBlock(p) || !t.isOnTrial(p, now) {
				continue
			}
			b.Trial, b.Left = true, newest(c).Add(trialTime).Sub(now)
		}
		if b.Left > 0 {
			r = append(r, b)
		}
	}
	for p, b := range t.adopted {
		if !slices.ContainsFunc(r, func(x Block) bool { return x.Part == p }) {
			r = append(r, Block{Part: p, With: b.with, Except: b.except, Trial: b.trial, Left: b.until.Sub(now)})
		}
	}
	for i := range r {
		b := &r[i]
		b.LateTrials = t.lateTrials[b.Part]
		if !b.Trial {
			b.TrialIn = max(t.blockTrialAt(b.Part).Sub(now), minTrialIn)
		}
	}
	slices.SortFunc(r, func(a, b Block) int { return CompareParts(a.Part, b.Part) })
	return r
}

// isAdoptedBlock reports whether an earlier Table blocked the part, not for trial. The lock is held.
func (t *Table) isAdoptedBlock(part Part) bool {
	b, ok := t.adopted[part]
	return ok && !b.trial
}

// Lift forgets what counts against the parts with these IDs, as an answer to them does, and returns
// those of which something was known, in order. Further ends count again.
func (t *Table) Lift(ids []string) []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	known := map[Part]bool{}
	for _, c := range t.crashes {
		for p := range c.parts {
			known[p] = slices.Contains(ids, p.ID)
			if known[p] {
				delete(c.parts, p)
			}
		}
	}
	for p := range t.adopted {
		known[p] = slices.Contains(ids, p.ID)
		if known[p] {
			delete(t.adopted, p)
		}
	}
	maps.DeleteFunc(known, func(_ Part, lifted bool) bool { return !lifted })
	t.update(now)
	return slices.SortedFunc(maps.Keys(known), CompareParts)
}

// answeredElsewhere returns the other services whose targets have answered the part, in order. The
// lock is held.
func (t *Table) answeredElsewhere(part Part) []string {
	var r []string
	for p := range t.answers {
		if p.ID == part.ID && p.Service != part.Service {
			r = append(r, p.Service)
		}
	}
	slices.Sort(r)
	return r
}

// presentAtAll returns the suspected parts other than part that were present at all the ends c
// of targets, in order. The lock is held.
func (t *Table) presentAtAll(c []*crash, part Part) []Part {
	var r []Part
	for p := range t.suspected {
		if p != part && !slices.ContainsFunc(c, func(x *crash) bool { return !x.parts[p] || !x.at.After(t.answers[p].Add(AnswerMargin)) }) {
			r = append(r, p)
		}
	}
	slices.SortFunc(r, CompareParts)
	return r
}

// newest returns the time of the last of the ends of targets.
func newest(c []*crash) time.Time {
	var at time.Time
	for _, x := range c {
		if x.at.After(at) {
			at = x.at
		}
	}
	return at
}
