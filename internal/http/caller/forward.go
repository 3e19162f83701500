package caller

import (
	"context"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// maxAttempts is the maximum number of targets that one request is sent to.
const maxAttempts = 3

// noTargetRetryAfter is the Retry-After when no target can take the request.
const noTargetRetryAfter = 2 * time.Second

// evacuatedRetryAfter is the Retry-After if all targets are in evacuated zones.
const evacuatedRetryAfter = time.Second

// forward sends the request to a target. If the attempt fails and mayRetry and the retry
// budget allow, it sends the request to another target. The error of a failed request
// has the worst verdict of all attempts.
func (s *Server) forward(x *Exchange) error {
	tried := map[string]bool{}
	verdict := rhubarbgate.NotRun
	var last *rhubarbgate.Error
	for n := 1; n <= maxAttempts; n++ {
		c, ok := s.chooseTarget(x, tried)
		if !ok {
			break
		}
		if n > 1 && !s.Budget.Withdraw() {
			break
		}
		if n > 1 {
			s.Counts.Retries.Add(1)
		}
		tried[c.Name] = true
		err := s.attempt(x, c, n)
		if err == nil {
			s.Budget.RecordSuccess()
			return nil
		}
		last = err
		verdict = verdict.Worst(err.Verdict)
		if !s.mayRetry(x, err) {
			break
		}
	}
	if last == nil && s.Targets.HasEvacuated(x.Model, x.Route) {
		return notRun(rhubarbgate.CodeUnavailable, "no target serves %s%s outside the evacuated zones %v", x.Model, x.Route, s.Targets.Evacuation()).WithRetryAfter(evacuatedRetryAfter)
	}
	if last == nil {
		return notRun(rhubarbgate.CodeUnavailable, "no target serves %s%s now", x.Model, x.Route).WithRetryAfter(noTargetRetryAfter)
	}
	e := *last
	e.Verdict = verdict
	return &e
}

// chooseTarget picks a target that was not tried. It reports false if there is none.
func (s *Server) chooseTarget(x *Exchange, tried map[string]bool) (rhubarbgate.Candidate, bool) {
	c := s.Targets.Candidates(x.Model, x.Route, tried)
	if len(c) == 0 {
		return rhubarbgate.Candidate{}, false
	}
	r := rhubarbgate.PickRequest{Workspace: x.Workspace, Model: x.Model, Prefix: x.PrefixHash}
	return c[s.Picker.Pick(r, c)], true
}

// mayRetry reports whether another target may be tried after an attempt that failed
// with e. A request that is not idempotent is retried only if it certainly did not run.
func (s *Server) mayRetry(x *Exchange, e *rhubarbgate.Error) bool {
	if !s.Clock.Now().Before(x.Deadline) {
		return false
	}
	switch e.Code {
	case rhubarbgate.CodeUnauthorized, rhubarbgate.CodeInvalid, rhubarbgate.CodeCancelled, rhubarbgate.CodeDeadline:
		return false
	}
	return x.Idempotent || e.Verdict == rhubarbgate.NotRun
}

// attempt sends the request to one target. On success it has set the response, whose
// body may still be streaming.
func (s *Server) attempt(x *Exchange, c rhubarbgate.Candidate, n int) *rhubarbgate.Error {
	now := s.Clock.Now()
	ctx, cancel := deadline.WithTimeout(x.Context, s.Clock, x.remaining(now))
	q := &side.Request{
		RequestID: x.RequestID, Attempt: n, Workspace: x.Workspace, KeyDigest: x.KeyDigest,
		Model: x.Model, Route: x.Route, Method: x.Method, Path: x.Path, Headers: x.Headers, Body: x.Body,
		Timeout: x.remaining(now), ConfigVersion: x.Config.Version,
	}
	s.Targets.Begin(c.Name)
	stream, err := wire.OpenServerStream[side.Frame](ctx, s.Wire, c.Address, side.MethodRun, q)
	if err != nil {
		cancel()
		s.Targets.Finish(c.Name, 0, true)
		return rhubarbgate.AsError(err)
	}
	r := &relay{server: s, exchange: x, target: c.Name, attempt: n, stream: stream, cancel: cancel, startedAt: now}
	return r.run(ctx)
}

// streamError converts the error of a stream that ended without its last frame. It
// distinguishes a passed deadline and a cancelled request from a failure of the side.
func streamError(ctx context.Context, err error) *rhubarbgate.Error {
	switch {
	case deadline.Passed(ctx):
		return rhubarbgate.Errorf(rhubarbgate.CodeDeadline, rhubarbgate.MayHaveRun, "the deadline passed")
	case ctx.Err() != nil:
		return rhubarbgate.Errorf(rhubarbgate.CodeCancelled, rhubarbgate.MayHaveRun, "the request was cancelled")
	default:
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the answer was cut short: %v", err)
	}
}
