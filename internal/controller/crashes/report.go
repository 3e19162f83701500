package crashes

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// reportDelay is the time for which further observations are collected into a report.
	reportDelay = 20 * time.Millisecond
	// reportTimeout bounds one report, including the search for the leader.
	reportTimeout = time.Second
	// reportRetryInterval is the time after which a failed report is sent again.
	reportRetryInterval = 100 * time.Millisecond
	// maxEnds bounds the ends of targets that are kept.
	maxEnds = 128
	// answersGenerationSize and answersGenerationTime bound each of the two generations of
	// recentAnswers. The time exceeds that for which answers matter to the control hosts.
	answersGenerationSize = 4096
	answersGenerationTime = 30 * time.Second
)

// recentAnswers holds when parts of prompts were last answered. It forgets old ones.
type recentAnswers struct {
	recent, older map[quarantine.Part]time.Time
	since         time.Time // when recent began
}

// add records an answer.
func (a *recentAnswers) add(part quarantine.Part, now time.Time) {
	if a.recent == nil || len(a.recent) >= answersGenerationSize || now.Sub(a.since) >= answersGenerationTime {
		a.recent, a.older, a.since = map[quarantine.Part]time.Time{}, a.recent, now
	}
	a.recent[part] = now
}

// newest returns when a part was last answered.
func (a *recentAnswers) newest(part quarantine.Part) (time.Time, bool) {
	if at, ok := a.recent[part]; ok {
		return at, true
	}
	at, ok := a.older[part]
	return at, ok
}

// Update applies a quarantine of the control hosts, as of the given time. It ignores all but
// newer ones. A block of an earlier leader stays until the current one has it or releases it.
func (r *Recorder) Update(q control.Quarantine, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !q.Version.NewerThan(r.version) {
		return
	}
	now := r.Clock.Now()
	r.version, r.suspects = q.Version, q.Suspects
	before := maps.Clone(r.blocks)
	maps.DeleteFunc(r.blocks, func(_ quarantine.Part, b block) bool { return b.term >= q.Version.Term || !now.Before(b.until) })
	for _, b := range q.Blocks {
		if held, ok := r.blocks[b.Part]; ok && !held.trial && b.Trial {
			// The leader has the ends that were reported to it, and not yet this block.
			continue
		}
		r.blocks[b.Part] = newBlock(b, at, q.Version.Term)
	}
	maps.DeleteFunc(r.askedAt, func(p quarantine.Part, _ time.Time) bool {
		_, ok := r.blocks[p]
		return !ok
	})
	for p, b := range r.blocks {
		if x, ok := before[p]; !ok || x.trial != b.trial {
			r.logBlock(p, b)
		}
	}
	for p := range before {
		if _, ok := r.blocks[p]; !ok {
			r.logPart(p, "part of prompts no longer blocked")
		}
	}
	r.signal()
}

// logBlock logs a new block, and when it allows a trial.
func (r *Recorder) logBlock(p quarantine.Part, b block) {
	text := "part of prompts blocked"
	if b.trial {
		text = "part of prompts blocked for trial"
	}
	now := r.Clock.Now()
	r.Logger.WithFields(log.Fields{
		"service": p.Service, "part": p.ID, "left": b.until.Sub(now).String(), "trialIn": max(0, b.leftUntilTrial(now)).String(), "lateTrials": b.lateTrials,
	}).Info(text)
}

// logPart logs a change of a block.
func (r *Recorder) logPart(p quarantine.Part, text string) {
	r.Logger.WithFields(log.Fields{"service": p.Service, "part": p.ID}).Info(text)
}

// report reports observations to the leader of the fleet group when there are new ones.
func (r *Recorder) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		r.Clock.Sleep(reportDelay)
		for !r.reportOnce(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-r.Clock.After(reportRetryInterval):
			}
		}
	}
}

// reportOnce sends one report if there is anything to report, and returns false if the leader
// did not receive it.
func (r *Recorder) reportOnce(ctx context.Context) bool {
	in, ends := r.buildReport()
	if in == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := r.Client.Crashes(ctx, in)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, e := range ends {
		// Parts that came while the report was under way are still to be reported.
		if len(e.parts) == len(in.Report.Crashes[i].Parts) {
			e.reportedTerm = reply.Term
		}
	}
	r.returnedTrials = r.returnedTrials[len(in.ReturnedTrials):]
	for _, p := range reply.Released {
		if b, ok := r.blocks[p]; ok && b.term < reply.Term {
			delete(r.blocks, p)
			r.logPart(p, "part of prompts no longer blocked")
		}
	}
	return true
}

// buildReport returns a report of what the current leader lacks and the ends in it, in the order
// of its crashes, or nil if there is nothing to report.
func (r *Recorder) buildReport() (*control.Crashes, []*end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.ends = slices.DeleteFunc(r.ends, func(e *end) bool { return now.Sub(e.at) >= quarantine.CrashTTL || len(e.parts) == 0 })
	r.ends = slices.Delete(r.ends, 0, max(0, len(r.ends)-maxEnds))
	in := &control.Crashes{}
	var ends []*end
	wanted := slices.Clone(r.suspects)
	for _, e := range r.ends {
		if e.reportedTerm != 0 && e.reportedTerm >= r.version.Term {
			continue
		}
		ends = append(ends, e)
		in.Report.Crashes = append(in.Report.Crashes, quarantine.Crash{Target: e.target, Age: now.Sub(e.at), Parts: slices.Clone(e.parts)})
		wanted = append(wanted, e.parts...)
	}
	for p, b := range r.blocks {
		wanted = append(wanted, p)
		if b.term < r.version.Term && now.Before(b.until) {
			in.Report.Blocks = append(in.Report.Blocks, b.report(p, now))
		}
	}
	in.ReturnedTrials = slices.Clone(r.returnedTrials)
	if len(wanted) == 0 && len(in.ReturnedTrials) == 0 {
		return nil, nil
	}
	wanted = append(wanted, quarantine.Part{ID: quarantine.AnyPart})
	seen := map[string]bool{}
	for _, p := range wanted {
		if seen[p.ID] {
			continue
		}
		seen[p.ID] = true
		for _, service := range r.services {
			answered := quarantine.Part{Service: service, ID: p.ID}
			if at, ok := r.answers.newest(answered); ok {
				in.Report.Answers = append(in.Report.Answers, quarantine.Answer{Part: answered, Age: now.Sub(at)})
			}
		}
	}
	if in.Report.Answered = !r.newestAnswer.IsZero(); in.Report.Answered {
		in.Report.AnsweredAge = now.Sub(r.newestAnswer)
	}
	return in, ends
}
