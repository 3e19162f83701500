package caller

import (
	"context"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// maxAttempts bounds the targets that one request is tried on.
const maxAttempts = 3

// overloadRetry is when a caller may come back to a fleet without room.
const overloadRetry = 2 * time.Second

// forward sends the request to a target, and to another one if it may be
// repeated and the budget allows.
func (s *Server) forward(x *Exchange) error {
	tried := map[string]bool{}
	verdict := rhubarbgate.NotRun
	var last *rhubarbgate.Error
	for n := 1; n <= maxAttempts; n++ {
		c, ok := s.choose(x, tried)
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
			s.Budget.Succeed()
			return nil
		}
		last = err
		verdict = verdict.Worst(err.Verdict)
		if !s.mayRetry(x, err) {
			break
		}
	}
	if last == nil {
		return notRun(rhubarbgate.CodeUnavailable, "no target serves %s%s now", x.Model, x.Route).After(overloadRetry)
	}
	e := *last
	e.Verdict = verdict
	return &e
}

func (s *Server) choose(x *Exchange, tried map[string]bool) (rhubarbgate.Candidate, bool) {
	c := s.Targets.Candidates(x.Model, x.Route, tried)
	if len(c) == 0 {
		return rhubarbgate.Candidate{}, false
	}
	r := rhubarbgate.PickRequest{Workspace: x.Workspace, Model: x.Model, Prefix: x.Prefix}
	return c[s.Picker.Pick(r, c)], true
}

// mayRetry reports whether another target may be tried. Only NotRun allows it
// for a request that may not be repeated.
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

// attempt tries one target. On success the answer is on its way to the caller.
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
	r := &relay{server: s, exchange: x, target: c.Name, attempt: n, stream: stream, cancel: cancel, began: now}
	return r.run(ctx)
}

// attemptFailure classifies a stream that broke before its end.
func attemptFailure(ctx context.Context, err error) *rhubarbgate.Error {
	switch {
	case deadline.Passed(ctx):
		return rhubarbgate.Errorf(rhubarbgate.CodeDeadline, rhubarbgate.MayHaveRun, "the deadline passed")
	case ctx.Err() != nil:
		return rhubarbgate.Errorf(rhubarbgate.CodeCancelled, rhubarbgate.MayHaveRun, "the request was cancelled")
	default:
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the answer was cut short: %v", err)
	}
}
