package ingress

import (
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/streams"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// minStreamWindow is the shortest time for which a stream may be taken up after it began, and
	// takeUpTime is what callers have for that beyond their route's timeout.
	minStreamWindow = 10 * time.Second
	takeUpTime      = 5 * time.Second
	// versionRetryAfter is the Retry-After of a stream whose software version does not serve. Its
	// targets may come back under the same version.
	versionRetryAfter = time.Second
)

// streamWindow returns for how long a stream of the request's route may be taken up.
func (x *Exchange) streamWindow() time.Duration {
	return max(minStreamWindow, x.Route.Timeout+takeUpTime)
}

// streamName identifies a stream by the caller's attempt that received its first event. IDs are the
// callers' own, so those of another workspace or host name may be the same.
func (x *Exchange) streamName(attempt string) string {
	return x.Workspace + " " + string(x.HTTP.Host()) + " " + attempt
}

// recordOrigin records which target began the stream.
func (a *attempt) recordOrigin() {
	if !a.x.Route.Resumable {
		return
	}
	v, listed := a.target.Version()
	a.server.Streams.Record(control.StreamRecord{
		Stream: a.x.streamName(a.x.Call.RequestID), Service: a.target.Instance.Service, Version: v, Listed: listed, Instance: a.target.Instance.ID,
	}, a.x.streamWindow())
}

// findOrigin finds out where the stream began that the request continues, if it continues one, and
// restricts the request to the service and version. It returns an error if the version is not
// known, or cannot serve.
func (q *forwardedRequest) findOrigin() *rhubarbgate.Error {
	s, x := q.server, q.x
	if s.Streams == nil || x.Route.Kind != rhubarbgate.Streaming || !x.Route.Resumable || len(x.HTTP.Request.Header.Peek(lastEventHeader)) == 0 {
		return nil
	}
	s.Counts.TakenUp.Add(1)
	var services []string
	for _, share := range x.Route.Split {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	o := s.Streams.Find(x.Context, x.streamName(x.Call.Resumes), services, x.streamWindow())
	err := q.restrict(o, services)
	if err == nil {
		return nil
	}
	s.Counts.VersionsGone.Add(1)
	return err
}

// restrict restricts the request to where its stream began.
func (q *forwardedRequest) restrict(o streams.Origin, services []string) *rhubarbgate.Error {
	q.originSource = o.Source
	switch o.Source {
	case streams.Unknown:
		return notRun(rhubarbgate.CodeUnavailable, "the software version that began the stream of request %q is not known", q.x.Call.Resumes).WithRetryAfter(versionRetryAfter)
	case streams.Recorded:
		q.service = o.Record.Service
		if !slices.Contains(services, q.service) {
			return notRun(rhubarbgate.CodeUnavailable, "the stream began at service %q, to which the route does not lead any more", q.service).WithRetryAfter(versionRetryAfter)
		}
		q.version, q.hasVersion = o.Record.Version, o.Record.Listed
		if !q.hasVersion {
			q.origin = q.server.Targets.TargetOf(q.service, o.Record.Instance)
		}
	default:
		q.version, q.hasVersion = o.Versions[q.service], true
	}
	if !q.hasVersion && q.origin == nil {
		return notRun(rhubarbgate.CodeUnavailable, "the software version of instance %s, which began the stream, is not known", o.Record.Instance).WithRetryAfter(versionRetryAfter)
	}
	return nil
}

// mayContinue reports whether a target may continue the stream, if the request has begun or
// continues one: its software is of the version that began it.
func (q *forwardedRequest) mayContinue(t *discovery.Target) bool {
	version, known := q.version, q.hasVersion
	switch {
	case q.origin != nil:
		version, known = q.origin.Version()
	case !known:
		return true
	}
	v, listed := t.Version()
	return known && listed && v == version
}

// beginStream records that the target has begun the request's stream, so that only its version continues it.
func (q *forwardedRequest) beginStream(t *discovery.Target) {
	if q.hasVersion || q.origin != nil {
		return
	}
	if q.version, q.hasVersion = t.Version(); !q.hasVersion {
		q.origin = t
	}
}

// ofVersion returns the targets that may continue the stream.
func (q *forwardedRequest) ofVersion(list []*discovery.Target, candidates []rhubarbgate.Candidate) ([]*discovery.Target, []rhubarbgate.Candidate) {
	if q.origin == nil && !q.hasVersion {
		return list, candidates
	}
	var keptTargets []*discovery.Target
	var kept []rhubarbgate.Candidate
	for i, t := range list {
		if q.mayContinue(t) {
			keptTargets, kept = append(keptTargets, t), append(kept, candidates[i])
		}
	}
	return keptTargets, kept
}
