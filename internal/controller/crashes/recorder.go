// Package crashes finds out which targets ended while they answered and with which prompts, reports it to the control hosts, and keeps the parts of prompts that are blocked for it.
package crashes

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// maxPendingBreaks bounds the breaks that wait for a check of their target. It covers all
	// requests of an entry that several targets break off at the same time.
	maxPendingBreaks = 256
	// checkers is how many targets are checked concurrently. A target whose host does not
	// reply occupies one until the timeout of the connection attempt.
	checkers = 8
	// soundAfter is how long a target must have answered a prompt for its end to count as an
	// answer to the prompt, not against it.
	soundAfter = 500 * time.Millisecond
)

// Break is a response that its target broke off.
type Break struct {
	Target *discovery.Target
	// Parts are the parts of the request's prompt that other requests may have too, and the part
	// that stands for its content.
	Parts []string
	// Answering is how long ago the first event of the response had come, 0 if none had.
	Answering time.Duration
	// Resumed says that an earlier target had begun to answer the request. That shows the prompt
	// to be sound, so this break is no evidence against it. It is against the content: a request
	// that ends its targets after some events ends each target that resumes it.
	Resumed bool
	// At is when the response broke off.
	At time.Time
	// Fields describe the request in the log, Cause says how the response broke off.
	Fields log.Fields
	Cause  string
}

// Progress follows the events of one response.
type Progress struct{ firstAt, recordedAt time.Time }

// recordInterval is how often the progress of a response is recorded as an answer.
const recordInterval = time.Second

// Event records an event of the response. It reports whether the response now shows that the
// target answers the prompt: it has gone on for a while, or for a while again.
func (p *Progress) Event(now time.Time) (answered bool) {
	if p.firstAt.IsZero() {
		p.firstAt = now
	}
	if now.Sub(p.firstAt) < soundAfter || now.Sub(p.recordedAt) < recordInterval {
		return false
	}
	p.recordedAt = now
	return true
}

// IsAnswer reports whether the response has gone on for long enough to count as an answer.
func (p *Progress) IsAnswer(now time.Time) bool { return p.Answering(now) >= soundAfter }

// Answering returns how long ago the first event came, 0 if none came.
func (p *Progress) Answering(now time.Time) time.Duration {
	if p.firstAt.IsZero() {
		return 0
	}
	return now.Sub(p.firstAt)
}

// Recorder records broken responses, and checks whether the target has ended. Set the
// exported fields before Run. A nil Recorder records nothing and blocks nothing.
type Recorder struct {
	Targets *discovery.Table
	// Client calls the control hosts.
	Client *control.Client
	Clock  clockwork.Clock
	Logger log.Interface
	// Breaks counts the responses that targets broke off, Ended those whose target had ended,
	// and Dropped those that were not checked because too many came at the same time.
	Breaks, Ended, Dropped *expvar.Int

	pending chan Break
	wake    chan struct{} // there is something to report

	mu           sync.RWMutex
	answers      recentAnswers
	services     []string  // whose targets have answered
	newestAnswer time.Time // to a prompt
	ends         []*end
	version      control.LeaderVersion
	suspects     []quarantine.Part
	blocks       map[quarantine.Part]block
	// returnedTrials are the trials to be returned to the leader.
	returnedTrials [][]quarantine.Part
	// askedAt is when a trial was last asked for, by the first part that is blocked for trial,
	// unansweredSince the first time since the last reply at which none came, and ownTrialAt when
	// this process last allowed a trial itself.
	askedAt         map[quarantine.Part]time.Time
	unansweredSince time.Time
	ownTrialAt      time.Time
}

// end is the end of a target that this process observed.
type end struct {
	target string
	at     time.Time
	parts  []quarantine.Part
	// reportedTerm is the term of the leader that has it, 0 if none.
	reportedTerm uint64
}

// block is a block in force.
type block struct {
	with   []quarantine.Part
	except []string
	trial  bool
	until  time.Time
	// trialAt is when a block that is not for trial allows one, zero if it never does, and lateTrials is
	// Block.LateTrials.
	trialAt    time.Time
	lateTrials int
	// term is that of the leader that has the block.
	term uint64
}

// newBlock returns a block of the leader in term as of the given time.
func newBlock(b quarantine.Block, at time.Time, term uint64) block {
	r := block{with: b.With, except: b.Except, trial: b.Trial, until: at.Add(b.Left), lateTrials: b.LateTrials, term: term}
	if b.TrialIn > 0 {
		r.trialAt = at.Add(b.TrialIn)
	}
	return r
}

// trialSince returns since when the block allows trials, and false if it does not yet.
func (b *block) trialSince(now time.Time) (time.Time, bool) {
	if b.trial {
		return time.Time{}, true
	}
	return b.trialAt, !b.trialAt.IsZero() && !now.Before(b.trialAt)
}

// leftUntilTrial returns how long the block keeps all requests from targets.
func (b *block) leftUntilTrial(now time.Time) time.Duration {
	if !b.trialAt.IsZero() && b.trialAt.Before(b.until) {
		return b.trialAt.Sub(now)
	}
	return b.until.Sub(now)
}

// report returns the block as a leader that lacks it learns of it.
func (b *block) report(p quarantine.Part, now time.Time) quarantine.Block {
	r := quarantine.Block{Part: p, With: b.with, Except: b.except, Trial: b.trial, LateTrials: b.lateTrials, Left: b.until.Sub(now)}
	if !b.trialAt.IsZero() {
		r.TrialIn = max(b.trialAt.Sub(now), time.Nanosecond)
	}
	return r
}

// NewRecorder returns a Recorder that publishes its counters in m.
func NewRecorder(t *discovery.Table, c *control.Client, clock clockwork.Clock, logger log.Interface, m *expvar.Map) *Recorder {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	r := &Recorder{
		Targets: t, Client: c, Clock: clock, Logger: logger,
		Breaks: counter("ResponsesBroken"), Ended: counter("ResponsesBrokenByEnd"), Dropped: counter("ResponsesBrokenUnchecked"),
		pending: make(chan Break, maxPendingBreaks), wake: make(chan struct{}, 1), blocks: map[quarantine.Part]block{}, askedAt: map[quarantine.Part]time.Time{},
	}
	m.Set("PartsBlocked", expvar.Func(func() any {
		r.mu.RLock()
		defer r.mu.RUnlock()
		return len(r.blocks)
	}))
	return r
}

// RecordBreak records a response that its target broke off. It does not block.
func (r *Recorder) RecordBreak(b Break) {
	if r == nil {
		return
	}
	r.Breaks.Add(1)
	select {
	case r.pending <- b:
	default:
		r.Dropped.Add(1)
	}
}

// RecordAnswer records an answer of a target of the service to a prompt with the given parts,
// which is complete or has gone on for a while.
func (r *Recorder) RecordAnswer(service string, ids []string) {
	if r == nil || len(ids) == 0 {
		return
	}
	parts := quarantine.Parts(service, ids)
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers.add(quarantine.Part{Service: service, ID: quarantine.AnyPart}, now)
	if slices.ContainsFunc(parts, func(p quarantine.Part) bool { return !p.IsRequest() }) {
		r.newestAnswer = now
	}
	if !slices.Contains(r.services, service) {
		r.services = append(r.services, service)
	}
	wanted := false
	for _, p := range parts {
		r.answers.add(p, now)
		wanted = wanted || r.isWatched(p.ID)
	}
	// An answer after the end of a target shows that the end was not due to these parts.
	for _, e := range r.ends {
		e.parts = slices.DeleteFunc(e.parts, func(p quarantine.Part) bool { return slices.Contains(parts, p) })
	}
	if wanted {
		r.signal()
	}
}

// isWatched reports whether a part with this ID is suspected or blocked. The lock is held.
func (r *Recorder) isWatched(id string) bool {
	for p := range r.blocks {
		if p.ID == id {
			return true
		}
	}
	return slices.ContainsFunc(r.suspects, func(p quarantine.Part) bool { return p.ID == id })
}

// Blocked returns a part for which prompts with the given parts are kept from the targets of the
// service, and when to try again, or false.
func (r *Recorder) Blocked(service string, ids []string) (id string, retryAfter time.Duration, blocked bool) {
	m := r.matchBlocks(service, ids)
	switch {
	case m.left > 0:
		return m.id, m.left, true
	case len(m.trials) > 0:
		return m.trials[0].ID, TrialRetryAfter, true
	}
	return "", 0, false
}

// blockMatch is what applies to a prompt.
type blockMatch struct {
	// id is the part of a block that allows no trial now, and left how long that lasts.
	id   string
	left time.Duration
	// trials are the parts of the blocks that allow one, if all do, and since is when the last of them began to.
	trials []quarantine.Part
	since  time.Time
}

// matchBlocks returns what applies to prompts with the given parts at targets of the service.
func (r *Recorder) matchBlocks(service string, ids []string) blockMatch {
	var m blockMatch
	if r == nil || len(ids) == 0 {
		return m
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.blocks) == 0 {
		return m
	}
	now := r.Clock.Now()
	for p, b := range r.blocks {
		if !now.Before(b.until) || !slices.Contains(ids, p.ID) || slices.Contains(b.except, service) ||
			slices.ContainsFunc(b.with, func(w quarantine.Part) bool { return !slices.Contains(ids, w.ID) }) {
			continue
		}
		since, ok := b.trialSince(now)
		if left := b.leftUntilTrial(now); !ok && left > m.left {
			m.id, m.left = p.ID, left
		}
		if since.After(m.since) {
			m.since = since
		}
		m.trials = append(m.trials, p)
	}
	if m.left > 0 {
		m.trials = nil
	}
	slices.SortFunc(m.trials, quarantine.CompareParts)
	return m
}

// Run checks the targets of recorded breaks and reports to the control hosts until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	var g conc.WaitGroup
	for range checkers {
		g.Go(func() { r.check(ctx) })
	}
	g.Go(func() { r.report(ctx) })
	g.Wait()
}

// check checks the targets of recorded breaks, one after the other.
func (r *Recorder) check(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-r.pending:
			ended := r.Targets.HasEnded(ctx, b.Target)
			r.log(b, ended)
			if ended {
				r.Ended.Add(1)
				r.recordEnd(b)
			}
		}
	}
}

// log writes the line about a break.
func (r *Recorder) log(b Break, ended bool) {
	f := log.Fields{
		"target": b.Target.Instance.ID, "address": b.Target.Instance.Address.String(), "targetEnded": ended,
		"parts": b.Parts, "answering": b.Answering.String(), "cause": b.Cause,
	}
	maps.Copy(f, b.Fields)
	r.Logger.WithFields(f).Info("target broke off a response")
}

// recordEnd records that the target of a break has ended.
func (r *Recorder) recordEnd(b Break) {
	parts := quarantine.Parts(b.Target.Instance.Service, b.Parts)
	if b.Resumed {
		parts = slices.DeleteFunc(parts, func(p quarantine.Part) bool { return !p.IsRequest() })
	}
	if len(parts) == 0 {
		return
	}
	if b.Answering >= soundAfter {
		r.RecordAnswer(b.Target.Instance.Service, b.Parts)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := b.Target.Name()
	i := slices.IndexFunc(r.ends, func(e *end) bool { return e.target == name && b.At.Sub(e.at).Abs() < quarantine.SameCrashPeriod })
	if i < 0 {
		i = len(r.ends)
		r.ends = append(r.ends, &end{target: name, at: b.At})
	}
	e := r.ends[i]
	for _, p := range parts {
		if !slices.Contains(e.parts, p) {
			e.parts = append(e.parts, p)
			e.reportedTerm = 0
		}
	}
	r.signal()
}

// signal makes report send what is new.
func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
