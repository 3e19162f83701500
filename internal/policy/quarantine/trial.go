package quarantine

import "time"

const (
	// TrialInterval is the time between two trials of a part, the first of which ended its target.
	TrialInterval = 800 * time.Millisecond
	// trialOutcomeTime is how long the leader waits for the end of a target or an answer after a
	// trial before it grants the next. The request may be queued at its target.
	trialOutcomeTime = 2 * time.Second
	// trialTime is how long after the last end of a target a block is for trial. It covers
	// the restart of the targets, before which no trial reaches one.
	trialTime = 30 * time.Second
	// minTrialEnds is at how many ends a part must have been present to be put on trial.
	minTrialEnds = 3
	// maxOtherEnds is the part of the ends, since the first with the part, at which it may be
	// absent: some are reported incompletely, or have another cause.
	maxOtherEnds = 0.2
)

// Trials of parts and requests that are blocked: ends of targets may have met a sound one by chance, which only
// an answer shows.
const (
	// firstTrialWait is how long after the last end of a target, or the last trial, a block allows a
	// trial. Each end beyond minMoments doubles it, up to maxTrialWait. With that and the time of a run, the
	// items of a batch job that is due within 18 s still end in time.
	firstTrialWait = 3 * time.Second
	maxTrialWait   = 8 * time.Second
	// noticedPartEnds and noticedRequestEnds are the ends after which at most three further requests with
	// the part, or with the content, may reach targets.
	noticedPartEnds    = 5
	noticedRequestEnds = 3
	// maxLateTrials is how many of these are trials. The third is left for a request that a process sends
	// before it learns of the block.
	maxLateTrials = 2
	// blockTrialGap is the time between trials of different blocks at one service, while none is
	// answered. Each may end a target, which takes a few seconds to return.
	blockTrialGap = 5 * time.Second
	// returnedTrialPause is the time between a trial that reached no target and the next one: mostly all targets
	// are down.
	returnedTrialPause = 200 * time.Millisecond
	// minTrialIn is Block.TrialIn when a trial is due.
	minTrialIn = time.Nanosecond
)

// lastTrial is the newest trial of its kind at a service.
type lastTrial struct {
	part Part
	at   time.Time
}

// isOnTrial reports whether nearly all targets that ended within trialTime had the part. They may
// have ended at the same moment, which can have a cause outside the requests, so that it takes further
// requests with the part to tell. The lock is held.
func (t *Table) isOnTrial(part Part, now time.Time) bool {
	with := 0
	first := now
	for _, c := range t.counted(part) {
		if now.Sub(c.at) < trialTime {
			with++
			if c.at.Before(first) {
				first = c.at
			}
		}
	}
	if with < minTrialEnds {
		return false
	}
	all := 0
	for _, c := range t.crashes {
		if !c.at.Before(first) && c.isOf(part.Service) {
			all++
		}
	}
	return float64(all-with) <= maxOtherEnds*float64(all)
}

// isOf reports whether the target is one of the service.
func (c *crash) isOf(service string) bool {
	for p := range c.parts {
		if p.Service == service {
			return true
		}
	}
	return false
}

// isBlocked reports whether a part or request is blocked, not only for trial. The lock is held.
func (t *Table) isBlocked(part Part, now time.Time) bool {
	if t.blockedRequests[part] || t.isAdoptedBlock(part) {
		return true
	}
	since, suspected := t.suspected[part]
	return suspected && !part.IsRequest() && now.Sub(since) >= objectionPeriod && t.isSuspect(part)
}

// blockTrialAt returns when a blocked part may be tried next. After maxLateTrials that were not answered it is
// when the block ends. The lock is held.
func (t *Table) blockTrialAt(part Part) time.Time {
	c := t.counted(part)
	last := newest(c)
	if at := t.trials[part]; at.After(last) {
		last = at
	}
	wait := firstTrialWait
	for range max(0, len(c)-minMoments) {
		wait = min(2*wait, maxTrialWait)
	}
	if t.lateTrials[part] >= maxLateTrials {
		wait = BlockTime
	}
	at := last.Add(wait)
	if a := t.adopted[part].trialAt; a.After(at) {
		return a
	}
	return at
}

// mayTryBlocked reports whether a blocked part may be tried now. The lock is held.
func (t *Table) mayTryBlocked(part Part, now time.Time) bool {
	if now.Before(t.blockTrialAt(part)) || part.IsRequest() && t.hasUndecided(part.Service, now) {
		return false
	}
	last, ok := t.blockTrials[part.Service]
	return !ok || now.Sub(last.at) >= blockTrialGap || t.answers[last.part].After(last.at)
}

// hasUndecided reports whether other requests of a service are on trial since a short time ago. Most of them are
// sound and were in flight beside one that is blocked, so that their trials come first. The lock is held.
func (t *Table) hasUndecided(service string, now time.Time) bool {
	for p := range t.suspected {
		if p.IsRequest() && p.Service == service && !t.isBlocked(p, now) && now.Sub(newest(t.counted(p))) < maxTrialWait {
			return true
		}
	}
	return false
}

// isLateTrial reports whether a trial of the part now counts for maxLateTrials: so many targets ended with it
// before, or an unknown number, as the daemons that saw the ends have restarted. The lock is held.
func (t *Table) isLateTrial(part Part) bool {
	noticed, blocked := noticedPartEnds, minMoments
	if part.IsRequest() {
		noticed, blocked = noticedRequestEnds, minBlockEnds
	}
	ends := len(t.counted(part))
	return ends >= noticed || ends < blocked && t.isAdoptedBlock(part)
}

// GrantTrial reports whether a request may be sent as a trial whose prompt or content is blocked because of the
// given parts. A Table that knows nothing against any of them grants none: the part was cleared, of which the
// process learns shortly.
func (t *Table) GrantTrial(parts []Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if now.Sub(t.returnedAt) < returnedTrialPause {
		return false
	}
	t.update(now)
	var tried, blocked []Part
	for _, p := range parts {
		_, suspected := t.suspected[p]
		isBlocked := t.isBlocked(p, now)
		if !suspected && !isBlocked {
			continue
		}
		tried = append(tried, p)
		if isBlocked {
			blocked = append(blocked, p)
		}
		if !t.mayTry(p, isBlocked, now) {
			return false
		}
	}
	for _, p := range tried {
		if p.IsRequest() {
			t.failedTrials[p] = t.countFailedTrials(p)
			t.requestTrials[p.Service] = lastTrial{p, now}
		}
		if t.isLateTrial(p) {
			t.lateTrials[p]++
		}
		t.trials[p] = now
	}
	for _, p := range blocked {
		t.blockTrials[p.Service] = lastTrial{p, now}
	}
	return len(tried) > 0
}

// mayTry reports whether a suspected or blocked part may be tried now. The lock is held.
func (t *Table) mayTry(part Part, isBlocked bool, now time.Time) bool {
	if isBlocked && !t.mayTryBlocked(part, now) {
		return false
	}
	if part.IsRequest() {
		return t.mayTryRequest(part, now)
	}
	at, ok := t.trials[part]
	if !ok {
		return true
	}
	interval := trialOutcomeTime
	if newest(t.counted(part)).After(at) {
		interval = TrialInterval
	}
	return now.Sub(at) >= interval
}

// ReturnTrial takes back a trial of the given parts that was granted and reached no target.
func (t *Table) ReturnTrial(parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returnedAt = t.Clock.Now()
	for _, p := range parts {
		if _, granted := t.trials[p]; !granted {
			continue
		}
		delete(t.trials, p)
		if t.lateTrials[p] > 0 && t.isLateTrial(p) {
			t.lateTrials[p]--
		}
		for _, last := range []map[string]lastTrial{t.requestTrials, t.blockTrials} {
			if last[p.Service].part == p {
				delete(last, p.Service)
			}
		}
	}
}
