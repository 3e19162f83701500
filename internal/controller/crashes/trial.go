package crashes

import (
	"context"
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// TrialRetryAfter is the Retry-After of requests that are blocked for trial: by then two
	// trials have shown whether targets end when they answer the part.
	TrialRetryAfter = 2 * quarantine.TrialInterval
	// trialAskInterval is how often one process asks for a trial of a part.
	trialAskInterval = 250 * time.Millisecond
	// trialAskTimeout bounds the time for which a request waits for the reply.
	trialAskTimeout = 200 * time.Millisecond
	// busyTrialDelay is for how long after a block allows a trial busy targets leave it to others.
	busyTrialDelay = 1500 * time.Millisecond
	// verdictTime is how long after the end of a target the leader's verdict has arrived.
	verdictTime = 2 * time.Second
	// ownTrialAfter is for how long no request for a trial must have been answered before a process
	// allows one itself. All entries miss a leader at the same time, and each trial may end a target.
	ownTrialAfter = 4 * time.Second
	// ownTrialInterval is how often a process allows a trial itself.
	ownTrialInterval = 5 * time.Second
)

// RequestTrial reports whether a request may be sent although its prompt is blocked, as a trial. It
// asks the leader of the fleet group, which allows one at a time among all processes.
func (r *Recorder) RequestTrial(ctx context.Context, service string, ids []string) bool {
	m := r.matchBlocks(service, ids)
	trials := m.trials
	if len(trials) == 0 {
		trials = r.suspectedHere(service, ids)
	}
	if m.left > 0 || len(trials) == 0 || !r.mayAsk(trials[0]) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialAskTimeout)
	defer cancel()
	reply, err := r.Client.Crashes(ctx, &control.Crashes{Trial: trials})
	if err != nil {
		// What is blocked only the leader may try, which counts the trials.
		return m.since.IsZero() && r.allowOwnTrial()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unansweredSince = time.Time{}
	return reply.TrialGranted
}

// Suspects reports whether a request is to be sent only as a trial, because this process saw targets
// end with its content. The leader comes to the same verdict, but its blocks take a while to arrive.
func (r *Recorder) Suspects(service string, ids []string) bool {
	return len(r.suspectedHere(service, ids)) > 0
}

// suspectedHere returns the parts that stand for requests at whose ends of targets, seen by this
// process, the leader cannot have decided yet.
func (r *Recorder) suspectedHere(service string, ids []string) []quarantine.Part {
	if r == nil {
		return nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.ends) < quarantine.MinRequestEnds {
		return nil
	}
	now := r.Clock.Now()
	var suspects []quarantine.Part
	for _, p := range quarantine.Parts(service, ids) {
		if !p.IsRequest() {
			continue
		}
		answered, _ := r.answers.newest(p)
		ends, decided := 0, true
		for _, e := range r.ends {
			if slices.Contains(e.parts, p) && e.at.After(answered.Add(quarantine.AnswerMargin)) {
				ends++
				decided = decided && e.reportedTerm >= max(r.version.Term, 1) && now.Sub(e.at) >= verdictTime
			}
		}
		if ends >= quarantine.MinRequestEnds && !decided {
			suspects = append(suspects, p)
		}
	}
	return suspects
}

// LeavesTrial reports whether a busy target is to leave a trial with this prompt to others: it may end with all that
// runs there.
func (r *Recorder) LeavesTrial(service string, ids []string) bool {
	m := r.matchBlocks(service, ids)
	return !m.since.IsZero() && r.Clock.Since(m.since) < busyTrialDelay
}

// ReturnTrial returns a trial to the leader that was granted for a prompt with the given parts and reached no target.
// It counts as sent if that is lost.
func (r *Recorder) ReturnTrial(service string, ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := quarantine.Parts(service, ids)
	// A block of another service applies here too, and the trial was one of its part.
	for p := range r.blocks {
		if p.Service != service && slices.Contains(ids, p.ID) {
			parts = append(parts, p)
		}
	}
	r.returnedTrials = append(r.returnedTrials, parts)
	r.signal()
}

// mayAsk reports whether the last request for a trial of the part is long enough ago for another.
func (r *Recorder) mayAsk(part quarantine.Part) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if at, ok := r.askedAt[part]; ok && now.Sub(at) < trialAskInterval {
		return false
	}
	r.askedAt[part] = now
	return true
}

// allowOwnTrial reports whether this process may send a request as a trial without the leader, which
// did not answer.
func (r *Recorder) allowOwnTrial() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
	if now.Sub(r.unansweredSince) < ownTrialAfter {
		return false
	}
	if !r.ownTrialAt.IsZero() && now.Sub(r.ownTrialAt) < ownTrialInterval {
		return false
	}
	r.ownTrialAt = now
	return true
}
