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

// GrantTrial reports whether a request may be sent whose prompt is only blocked for trial, because
// of the given parts. A Table that suspects none of them grants none: the part was cleared, of which
// the process learns shortly, or was blocked by an earlier Table.
func (t *Table) GrantTrial(parts []Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.update(now)
	var suspects []Part
	for _, p := range parts {
		if t.isAdoptedBlock(p) {
			return false
		}
		if _, ok := t.suspected[p]; !ok {
			continue
		}
		suspects = append(suspects, p)
		if p.IsRequest() {
			if !t.mayTryRequest(p, now) {
				return false
			}
			continue
		}
		at, ok := t.trials[p]
		if !ok {
			continue
		}
		interval := trialOutcomeTime
		if newest(t.counted(p)).After(at) {
			interval = TrialInterval
		}
		if now.Sub(at) < interval {
			return false
		}
	}
	for _, p := range suspects {
		if p.IsRequest() {
			t.failedTrials[p] = t.countFailedTrials(p)
			t.requestTrials[p.Service] = requestTrial{p, now}
		}
		t.trials[p] = now
	}
	return len(suspects) > 0
}
