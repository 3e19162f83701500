package ingress

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
)

const (
	// maxSends bounds how often one request is sent, counting those that targets
	// refused without running it.
	maxSends = 4
	// maxAnswerBytes bounds an answer that is collected whole.
	maxAnswerBytes = 16 << 20
	// fullRetry is when a caller may come back to a service without room or
	// targets: about the time that a request holds a slot.
	fullRetry = 300 * time.Millisecond
)

// serve answers a call that passed the filters.
func (s *Server) serve(x *Exchange) error {
	switch {
	case x.Call.Kind != rhubarbgate.Forward:
		return s.job(x)
	case x.Route.Kind == rhubarbgate.BatchJob:
		return s.submit(x)
	default:
		return s.forward(x)
	}
}

// sending is a request on its way to targets.
type sending struct {
	server  *Server
	x       *Exchange
	service string
	request target.Request
	tried   []*discovery.Target
	// unreached are those tried that no connection came about to, once.
	unreached []*discovery.Target
	// ran counts the targets that may have run the request.
	ran     int
	verdict rhubarbgate.Verdict
}

// attempt is one sending to one target.
type attempt struct {
	*sending
	target *discovery.Target
	answer *target.Response
	head   rhubarbgate.TargetAnswer
	cancel context.CancelFunc
	ended  bool
}

// forward sends the request to a target, and to another one if it may be
// repeated or did not run.
func (s *Server) forward(x *Exchange) error {
	q := &sending{server: s, x: x, service: s.chooseService(x.Route.Split)}
	q.request = s.targetRequest(x)
	var last *rhubarbgate.Error
	for n := 1; n <= maxSends; n++ {
		if n > 1 && !s.mayRepeat(q, last) {
			break
		}
		a, err := q.send(n)
		if err == nil {
			err = a.relay()
		}
		if err == nil {
			s.Budget.Succeed()
			return nil
		}
		last = err
		q.verdict = q.verdict.Worst(err.Verdict)
	}
	e := *last
	e.Verdict = q.verdict
	if e.Verdict == rhubarbgate.NotRun && e.RetryAfter == 0 {
		e.RetryAfter = fullRetry
	}
	return &e
}

// mayRepeat decides whether the request is sent again after a failure.
func (s *Server) mayRepeat(q *sending, last *rhubarbgate.Error) bool {
	x := q.x
	if !s.Clock.Now().Before(x.Deadline) || x.Context.Err() != nil || last.Code == rhubarbgate.CodeOverloaded {
		return false
	}
	switch {
	case last.Verdict == rhubarbgate.NotRun:
	case !x.repeatable() || q.ran >= max(x.Route.Attempts, 1):
		return false
	case !s.Budget.Withdraw():
		return false
	}
	s.Counts.Retries.Add(1)
	f := x.fields(s.Clock.Now())
	f["verdict"], f["sent"], f["ran"] = last.Verdict.String(), len(q.tried), q.ran
	s.Logger.WithFields(f).Info("sending again: " + last.Message)
	return true
}

// chooseService draws a service by weight.
func (s *Server) chooseService(split []rhubarbgate.Share) string {
	total := 0.0
	for _, x := range split {
		total += x.Weight
	}
	s.randomMu.Lock()
	at := s.Random.Float64() * total
	s.randomMu.Unlock()
	for _, x := range split {
		if at -= x.Weight; at < 0 {
			return x.Service
		}
	}
	return split[len(split)-1].Service
}

// targetRequest copies what is forwarded of the caller's request.
func (s *Server) targetRequest(x *Exchange) target.Request {
	h := &x.HTTP.Request.Header
	q := target.Request{
		Method: string(x.HTTP.Method()), Host: string(x.HTTP.Host()), Path: string(x.HTTP.RequestURI()),
		Body: x.HTTP.Request.Body(), Idempotent: x.repeatable(),
	}
	for k, v := range h.All() {
		name := string(k)
		if !hopByHop(name) && s.Dialect.Forwards(name) {
			q.Headers = append(q.Headers, rhubarbgate.Header{Name: name, Value: string(v)})
		}
	}
	return q
}

// hopByHop reports whether a header concerns one connection or is set by the
// HTTP client itself.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "authorization", "expect":
		return true
	}
	return false
}

// send sends the request to one target and reads the head of its answer.
func (q *sending) send(n int) (*attempt, *rhubarbgate.Error) {
	s, x := q.server, q.x
	if err := s.confirmKey(x); n > 1 && err != nil {
		return nil, err
	}
	now := s.Clock.Now()
	left := x.Deadline.Sub(now)
	if left <= 0 {
		return nil, notRun(rhubarbgate.CodeOverloaded, "the deadline passed before a target was found")
	}
	list, candidates := s.Targets.Candidates(q.service, q.tried)
	again := len(list) == 0 && len(q.unreached) > 0
	if again {
		list, candidates = s.Targets.Candidates(q.service, without(q.tried, q.unreached...))
	}
	if len(list) == 0 {
		return nil, notRun(rhubarbgate.CodeOverloaded, "service %q has no target left, %d tried", q.service, len(q.tried)).After(fullRetry)
	}
	t := list[s.Picker.Pick(rhubarbgate.PickRequest{Workspace: x.Workspace}, candidates)]
	if again {
		q.unreached = without(q.unreached, t)
	} else {
		q.tried = append(q.tried, t)
	}
	r := q.request
	r.Headers = append(r.Headers[:len(r.Headers):len(r.Headers)], s.Dialect.TargetHeaders(rhubarbgate.TargetCall{
		Instance: t.Instance.ID, Workspace: x.Workspace, Timeout: left,
	})...)
	ctx, cancel := deadline.WithTimeout(x.Context, s.Clock, left)
	a := &attempt{sending: q, target: t, cancel: cancel}
	s.Targets.Begin(t)
	answer, err := t.Client.Do(ctx, &r)
	if err != nil {
		e := rhubarbgate.AsError(err)
		switch {
		case e.Verdict != rhubarbgate.NotRun:
			q.ran++
		case !again:
			q.unreached = append(q.unreached, t)
		}
		a.end(e.Code == rhubarbgate.CodeUpstream)
		return nil, e
	}
	a.answer = answer
	return a, a.judge()
}

// without returns the targets of list that are not among those to leave out.
func without(list []*discovery.Target, out ...*discovery.Target) []*discovery.Target {
	var kept []*discovery.Target
	for _, t := range list {
		if !slices.Contains(out, t) {
			kept = append(kept, t)
		}
	}
	return kept
}

// judge classifies the head of the answer.
func (a *attempt) judge() *rhubarbgate.Error {
	s := a.server
	a.head = s.Dialect.DecodeAnswer(a.answer.Status, a.answer.Header)
	if a.head.Loaded {
		s.Targets.Loaded(a.target, a.head.Load)
	}
	switch {
	case a.head.NotRun:
		s.Counts.NotRun.Add(1)
		status := a.answer.Status
		// The few bytes of a refusal are read, so that the connection can be kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(a.answer, maxRefusalBytes))
		a.end(false)
		return notRun(rhubarbgate.CodeUnavailable, "target %s refused with status %d", a.target.Instance.ID, status)
	case a.head.RequestID != a.x.Call.RequestID:
		s.Counts.Foreign.Add(1)
		a.ran++
		a.end(true)
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "target %s answered request %q", a.target.Instance.ID, a.head.RequestID)
	}
	a.ran++
	return nil
}

// maxRefusalBytes bounds what is read of a refusal's body.
const maxRefusalBytes = 4 << 10

// end releases the attempt, once.
func (a *attempt) end(failed bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.answer != nil {
		a.answer.Close()
	}
	a.cancel()
	a.server.Targets.Finish(a.target, failed)
}

// relay passes the answer on. An error means that the caller has got nothing.
func (a *attempt) relay() *rhubarbgate.Error {
	if a.x.Route.Kind == rhubarbgate.Streaming && a.answer.Status == fasthttp.StatusOK {
		return a.stream()
	}
	body, err := io.ReadAll(io.LimitReader(a.answer, maxAnswerBytes+1))
	if err != nil {
		a.server.Counts.Cut.Add(1)
		a.end(true)
		return a.broken(err)
	}
	failure := a.answer.Status >= fasthttp.StatusInternalServerError
	if failure && a.x.repeatable() && a.ran < a.x.Route.Attempts {
		status := a.answer.Status
		a.end(true)
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "target %s answered with status %d", a.target.Instance.ID, status)
	}
	a.copyHead()
	a.end(failure)
	a.x.HTTP.Response.SetBodyRaw(body)
	return nil
}

func (a *attempt) copyHead() {
	r := &a.x.HTTP.Response
	r.SetStatusCode(a.answer.Status)
	for _, h := range a.answer.Headers {
		if !hopByHop(h.Name) {
			r.Header.Add(h.Name, h.Value)
		}
	}
}

// broken describes an answer that did not come whole.
func (a *attempt) broken(err error) *rhubarbgate.Error {
	if a.x.Context.Err() != nil {
		return rhubarbgate.Errorf(rhubarbgate.CodeCancelled, rhubarbgate.MayHaveRun, "%v", context.Cause(a.x.Context))
	}
	if !a.server.Clock.Now().Before(a.x.Deadline) {
		return rhubarbgate.Errorf(rhubarbgate.CodeDeadline, rhubarbgate.MayHaveRun, "the deadline passed while target %s answered", a.target.Instance.ID)
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the answer of target %s broke off: %v", a.target.Instance.ID, err)
}
