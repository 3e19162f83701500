package admission

import (
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// limitedFor is how long a workspace counts as limited after a refusal for its use.
	limitedFor = 5 * time.Second
	// logInterval is the least time between two log lines of a service on workspaces, and
	// separately on contention. Changes between them are counted.
	logInterval = time.Second
)

// eventKind is what a log line reports.
type eventKind uint8

const (
	noEvent eventKind = iota
	contentionBegan
	contentionEnded
	workspaceLimited
)

// event is a log line with the inputs of the decision.
type event struct {
	kind               eventKind
	service, workspace string
	suppressed         int
	contention, served float64
	use, share         float64
	wait               time.Duration
	busy               float64
}

// events bounds the log volume of a service.
type events struct {
	contentionChanged             bool
	contentionLogAt, workspaceLog time.Duration // no earlier line
	suppressedContention          int
	suppressedWorkspaces          int
	loggedContended               bool
}

// takeEvent returns what to log after a decision. Changes of contention within logInterval are
// reported once, if they last.
func (s *service) takeEvent(w *workspace, r rhubarbgate.AdmissionRequest, o outcome, now time.Duration) event {
	if s.contentionChanged {
		s.contentionChanged = false
		s.suppressedContention++
	}
	if o == refusedShare {
		if now >= w.limitedUntil {
			s.suppressedWorkspaces++
		}
		begins := now >= w.limitedUntil
		w.limitedUntil = now + limitedFor
		if begins && now >= s.workspaceLog {
			e := event{
				kind: workspaceLimited, service: s.name, workspace: w.name, suppressed: s.suppressedWorkspaces - 1,
				use: w.use, share: s.level * w.weight, wait: r.Wait, busy: r.Busy,
			}
			s.workspaceLog, s.suppressedWorkspaces = now+logInterval, 0
			return e
		}
	}
	if s.contended == s.loggedContended || now < s.contentionLogAt {
		return event{}
	}
	e := event{
		kind: contentionEnded, service: s.name, suppressed: max(s.suppressedContention-1, 0),
		contention: s.contention, served: s.served / bucketLength.Seconds(), wait: r.Wait, busy: r.Busy,
	}
	if s.contended {
		e.kind = contentionBegan
	}
	s.loggedContended, s.contentionLogAt, s.suppressedContention = s.contended, now+logInterval, 0
	return e
}

// log writes the event.
func (e event) log(l log.Interface) {
	fields := log.Fields{"service": e.service, "wait": e.wait, "busy": e.busy, "suppressed": e.suppressed}
	if e.kind == workspaceLimited {
		fields["workspace"], fields["use"], fields["share"] = e.workspace, e.use, e.share
		l.WithFields(fields).Info("limiting workspace to its share of contended slots")
		return
	}
	fields["withoutSlot"], fields["servedPerSecond"] = e.contention, e.served
	if e.kind == contentionBegan {
		l.WithFields(fields).Info("slots of service are contended")
	} else {
		l.WithFields(fields).Info("slots of service are no longer contended")
	}
}
