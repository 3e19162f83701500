// Package crashes finds out which targets ended while they answered, and with which requests.
package crashes

import (
	"context"
	"expvar"
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
)

const (
	// maxPendingBreaks bounds the breaks that wait for a check of their target. It covers all
	// requests of an entry that several targets break off at the same time.
	maxPendingBreaks = 256
	// checkers is how many targets are checked concurrently. A target whose host does not
	// reply occupies one until the timeout of the connection attempt.
	checkers = 8
)

// Break is a response that its target broke off.
type Break struct {
	Target *discovery.Target
	// Parts are the parts of the request's prompt that other requests may have too.
	Parts []string
	// Answering is how long ago the first event of the response had come, 0 if none had.
	Answering time.Duration
	// At is when the response broke off.
	At time.Time
	// Fields describe the request in the log, Cause says how the response broke off.
	Fields log.Fields
	Cause  string
}

// Recorder records broken responses, and checks whether the target has ended. Set the
// exported fields before Run. A nil Recorder records nothing.
type Recorder struct {
	Targets *discovery.Table
	Clock   clockwork.Clock
	Logger  log.Interface
	// Breaks counts the responses that targets broke off, Ended those whose target had ended,
	// and Dropped those that were not checked because too many came at the same time.
	Breaks, Ended, Dropped *expvar.Int

	pending chan Break
}

// NewRecorder returns a Recorder that publishes its counters in m.
func NewRecorder(t *discovery.Table, clock clockwork.Clock, logger log.Interface, m *expvar.Map) *Recorder {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return &Recorder{
		Targets: t, Clock: clock, Logger: logger, Breaks: counter("ResponsesBroken"), Ended: counter("ResponsesBrokenByEnd"), Dropped: counter("ResponsesBrokenUnchecked"),
		pending: make(chan Break, maxPendingBreaks),
	}
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

// Run checks the targets of recorded breaks until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	var g conc.WaitGroup
	for range checkers {
		g.Go(func() { r.check(ctx) })
	}
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
			if ended {
				r.Ended.Add(1)
			}
			r.log(b, ended)
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
