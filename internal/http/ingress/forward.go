package ingress

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/streams"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
)

const (
	// maxAttempts bounds how often one request is sent, including attempts that targets
	// refused without running it. Each resumption of a stream may use as many again.
	maxAttempts = 4
	// maxBufferedBytes is the longest body that is read whole before the caller gets its
	// head, so that a request can be retried if the body breaks off.
	maxBufferedBytes = 256 << 10
	// maxResponseBytes bounds a longer body, which is passed on as it arrives.
	maxResponseBytes = 64 << 20
	// noTargetRetryAfter is the Retry-After for a service that has no free slot or no
	// target: about the time for which a request holds a slot.
	noTargetRetryAfter = 300 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After for a service whose targets are all in evacuated zones.
	evacuatedRetryAfter = time.Second
	// maxLimitWait bounds the Retry-After of a request for which all targets are at their limits,
	// and limitRetryJitter its random part.
	maxLimitWait     = 2 * time.Second
	limitRetryJitter = 400 * time.Millisecond
)

// serve handles a request that passed the filters.
func (s *Server) serve(x *Exchange) error {
	if x.Route.Kind == rhubarbgate.BatchJob {
		return s.submit(x)
	}
	return s.forward(x)
}

// forwardedRequest is the state of a request over all its attempts.
type forwardedRequest struct {
	server  *Server
	x       *Exchange
	service string
	request target.Request
	tried   []*discovery.Target
	// unreached holds the tried targets to which one connection failed. They are tried
	// once more if no other target is left.
	unreached []*discovery.Target
	// restarted is the new instance of the target that refused the last attempt, if that
	// is known; the next attempt goes to it.
	restarted *discovery.Target
	// possibleRuns counts the attempts that may have run the request.
	possibleRuns int
	// verdict is the worst verdict of all attempts.
	verdict rhubarbgate.Verdict
	// resumed says that an earlier attempt passed on events.
	resumed bool
	// version is that of the software that began the stream which the request continues, if
	// hasVersion is set. Otherwise it is that of origin, once the list shows it.
	version      string
	hasVersion   bool
	origin       *discovery.Target
	originSource streams.Source
	hedging      hedging
	contention
}

// attempt is one sending of the request to one target.
type attempt struct {
	*forwardedRequest
	target  *discovery.Target
	request target.Request
	// again says that an earlier connection to the target failed.
	again    bool
	sent     time.Time
	ctx      context.Context
	response *target.Response
	head     rhubarbgate.TargetResponse
	cancel   context.CancelFunc
	finished bool
	progress crashes.Progress // of the response's body
	// done receives what a goroutine has read of the response, and early is what it received. Both are
	// nil for an attempt that is not hedged.
	done  chan *reading
	early *reading
	// paired says that another attempt of the request is in flight when this one fails.
	paired bool
}

// forward sends the request to a target. After a failure it sends it to another target,
// if the request did not run or is repeatable.
func (s *Server) forward(x *Exchange) error {
	q := &forwardedRequest{server: s, x: x, service: s.chooseService(s.unblockedSplit(x))}
	if err := q.findOrigin(); err != nil {
		return err
	}
	q.request = s.targetRequest(x)
	s.Limits.CountDemand(q.service)
	var last *rhubarbgate.Error
	for n := 1; n <= maxAttempts; n++ {
		if n > 1 && !s.shouldRetry(q, last) {
			break
		}
		err := q.sendAndRelay(n)
		if err == nil {
			s.Budget.RecordSuccess()
			return nil
		}
		last = err
		q.verdict = q.verdict.Worst(err.Verdict)
	}
	e := *last
	e.Verdict = q.verdict
	if e.Verdict == rhubarbgate.NotRun && e.RetryAfter == 0 {
		e.RetryAfter = noTargetRetryAfter
	}
	return &e
}

// shouldRetry reports whether to send the request again after a failure. It withdraws
// from the retry budget unless the request did not run.
func (s *Server) shouldRetry(q *forwardedRequest, last *rhubarbgate.Error) bool {
	x := q.x
	if !s.Clock.Now().Before(x.Deadline) || x.Context.Err() != nil || last.Code == rhubarbgate.CodeOverloaded || q.checkBlocked() != nil {
		return false
	}
	switch {
	case last.Verdict == rhubarbgate.NotRun:
	case !x.idempotent() || q.possibleRuns >= max(x.Route.Attempts, 1):
		return false
	case !s.Budget.Withdraw():
		return false
	}
	s.Counts.Retries.Add(1)
	f := x.fields(s.Clock.Now())
	f["verdict"], f["sent"], f["ran"] = last.Verdict.String(), len(q.tried), q.possibleRuns
	s.Logger.WithFields(f).Info("sending again: " + last.Message)
	return true
}

// unblockedSplit returns the services of the request's route without those whose targets end with
// its prompt, unless that leaves none.
func (s *Server) unblockedSplit(x *Exchange) []rhubarbgate.Share {
	var split []rhubarbgate.Share
	for _, share := range x.Route.Split {
		if share.Weight > 0 && s.checkBlocked(x, share.Service) == nil {
			split = append(split, share)
		}
	}
	if len(split) == 0 {
		return x.Route.Split
	}
	return split
}

// chooseService returns a random service, in proportion to the weights.
func (s *Server) chooseService(split []rhubarbgate.Share) string {
	total := 0.0
	for _, share := range split {
		total += share.Weight
	}
	s.randomMu.Lock()
	point := s.Random.Float64() * total
	s.randomMu.Unlock()
	for _, share := range split {
		if point -= share.Weight; point < 0 {
			return share.Service
		}
	}
	return split[len(split)-1].Service
}

// targetRequest returns the request for targets, with the headers that are forwarded.
func (s *Server) targetRequest(x *Exchange) target.Request {
	h := &x.HTTP.Request.Header
	q := target.Request{
		Method: string(x.HTTP.Method()), Host: string(x.HTTP.Host()), Path: string(x.HTTP.RequestURI()),
		Body: x.HTTP.Request.Body(), ID: x.Call.RequestID, Idempotent: x.idempotent(),
	}
	for k, v := range h.All() {
		name := string(k)
		if !target.HopByHop(name) && s.Dialect.Forwards(name) {
			q.Headers = append(q.Headers, rhubarbgate.Header{Name: name, Value: string(v)})
		}
	}
	return q
}

// sendAndRelay makes attempt number n and passes the response on to the caller.
func (q *forwardedRequest) sendAndRelay(n int) *rhubarbgate.Error {
	a, err := q.prepare(n)
	if err != nil {
		return err
	}
	if q.mayHedge() {
		return q.hedge(a)
	}
	if err = a.send(); err == nil {
		err = a.relay()
	}
	return err
}

// prepare begins attempt number n: it chooses the target.
func (q *forwardedRequest) prepare(n int) (*attempt, *rhubarbgate.Error) {
	s, x := q.server, q.x
	if err := s.confirmKey(x); n > 1 && err != nil {
		return nil, err
	}
	if err := q.checkBlocked(); err != nil {
		return nil, err
	}
	now := s.Clock.Now()
	remaining := x.Deadline.Sub(now)
	if remaining <= 0 {
		return nil, notRun(rhubarbgate.CodeOverloaded, "the deadline passed before a target was found")
	}
	list, candidates := q.ofVersion(s.Targets.Candidates(q.service, x.idempotent(), q.tried))
	retryUnreached := len(list) == 0 && len(q.unreached) > 0
	if retryUnreached {
		list, candidates = q.ofVersion(s.Targets.Candidates(q.service, x.idempotent(), without(q.tried, q.unreached...)))
	}
	if len(list) == 0 && slices.ContainsFunc(s.Targets.Evacuated(q.service), q.mayContinue) {
		s.Counts.Evacuated.Add(1)
		e := s.Targets.Evacuation()
		return nil, notRun(rhubarbgate.CodeOverloaded, "service %q has no target left outside the evacuated zones %v (version %d), %d tried", q.service, e, e.Version, len(q.tried)).
			WithRetryAfter(evacuatedRetryAfter)
	}
	if len(list) == 0 && len(q.tried) == 0 && (q.hasVersion || q.origin != nil) {
		s.Counts.VersionsGone.Add(1)
		return nil, notRun(rhubarbgate.CodeOverloaded, "service %q has no target of the version %q, which began the stream", q.service, q.version).WithRetryAfter(versionRetryAfter)
	}
	if len(list) == 0 {
		return nil, notRun(rhubarbgate.CodeOverloaded, "service %q has no target left, %d tried", q.service, len(q.tried)).WithRetryAfter(noTargetRetryAfter)
	}
	t, err := q.choose(list, candidates)
	if err != nil {
		return nil, err
	}
	// Sides may have been asked meanwhile.
	now = s.Clock.Now()
	if remaining = x.Deadline.Sub(now); remaining <= 0 {
		return nil, notRun(rhubarbgate.CodeOverloaded, "the deadline passed before a target was found")
	}
	if retryUnreached {
		q.unreached = without(q.unreached, t)
	} else {
		q.tried = append(q.tried, t)
	}
	return q.begin(t, now, remaining, retryUnreached), nil
}

// begin begins an attempt at a target, which counts as in flight from now on.
func (q *forwardedRequest) begin(t *discovery.Target, now time.Time, remaining time.Duration, again bool) *attempt {
	s, x := q.server, q.x
	r := q.request
	r.Headers = append(r.Headers[:len(r.Headers):len(r.Headers)], s.Dialect.TargetHeaders(rhubarbgate.TargetCall{
		Instance: t.Instance.ID, Workspace: x.Workspace, Timeout: remaining,
	})...)
	ctx, cancel := deadline.WithTimeout(x.Context, s.Clock, remaining)
	s.Targets.Begin(t)
	return &attempt{forwardedRequest: q, target: t, request: r, again: again, sent: now, ctx: ctx, cancel: cancel}
}

// send sends the request to the attempt's target and checks the head of the response.
func (a *attempt) send() *rhubarbgate.Error {
	response, failure := a.target.Client.Do(a.ctx, &a.request)
	return a.receive(response, failure)
}

// receive takes the response of the target, or the failure to get one, and checks its head.
func (a *attempt) receive(response *target.Response, failure error) *rhubarbgate.Error {
	if failure != nil {
		e := rhubarbgate.AsError(failure)
		switch {
		case e.Verdict != rhubarbgate.NotRun:
			a.possibleRuns++
			a.recordBreak(e)
		case !a.again:
			a.unreached = append(a.unreached, a.target)
		}
		a.finish(e.Code == rhubarbgate.CodeUpstream)
		return e
	}
	a.response = response
	return a.checkHead()
}

// checkBlocked returns an error if the request's prompt is blocked. A trial goes on until a target
// may have run it.
func (q *forwardedRequest) checkBlocked() *rhubarbgate.Error {
	if q.x.trial && q.possibleRuns == 0 {
		return nil
	}
	return q.server.checkBlocked(q.x, q.service)
}

// choose returns the target for the next attempt and takes a token of its limit, if it states one.
// Targets whose limit leaves no token to this entry are not chosen.
func (q *forwardedRequest) choose(list []*discovery.Target, candidates []rhubarbgate.Candidate) (*discovery.Target, *rhubarbgate.Error) {
	s := q.server
	restarted := q.restarted
	q.restarted = nil
	// A restarted target that is cold is used after warm ones.
	if restarted != nil && !s.Limits.IsCold(restarted.Name()) && slices.Contains(list, restarted) && s.Limits.Take(restarted.Name()) {
		return restarted, nil
	}
	limited := 0
	wait := maxLimitWait
	for i := 0; i < len(list); {
		limitedTarget, ok, untilToken := s.Limits.Available(list[i].Name())
		if ok {
			candidates[i].Limited = limitedTarget
			candidates[i].Cold = limitedTarget && s.Limits.IsCold(list[i].Name())
			i++
			continue
		}
		limited++
		wait = min(wait, untilToken)
		list, candidates = slices.Delete(list, i, i+1), slices.Delete(candidates, i, i+1)
	}
	if t, err := q.chooseByOffer(list, candidates); t != nil || err != nil {
		return t, err
	}
	for len(list) > 0 {
		i := s.Picker.Pick(rhubarbgate.PickRequest{Workspace: q.x.Workspace}, candidates)
		if s.Limits.Take(list[i].Name()) {
			return list[i], nil
		}
		// Another request has taken the token meanwhile.
		limited++
		list, candidates = slices.Delete(list, i, i+1), slices.Delete(candidates, i, i+1)
	}
	return nil, notRun(rhubarbgate.CodeOverloaded, "all %d targets of service %q that are left get as many requests as they take", limited, q.service).
		WithRetryAfter(max(wait, noTargetRetryAfter) + s.jitter(limitRetryJitter))
}

// without returns the targets of list that are not excluded.
func without(list []*discovery.Target, excluded ...*discovery.Target) []*discovery.Target {
	var kept []*discovery.Target
	for _, t := range list {
		if !slices.Contains(excluded, t) {
			kept = append(kept, t)
		}
	}
	return kept
}

// observeHead records what the head of the response says about the target.
func (a *attempt) observeHead() {
	s := a.server
	a.head = s.Dialect.DecodeResponse(a.response.Status, a.response.Header)
	if a.head.Leaving {
		s.Targets.RecordLeaving(a.target)
	}
	if a.head.OtherInstance {
		s.Limits.Return(a.target.Name())
	} else {
		s.Limits.Observe(a.target, a.head.Limit, a.head.HasLimit)
		if a.head.HasCold {
			s.Limits.ObserveCold(a.target.Name(), a.target.Instance.Service, a.head.ColdLeft)
		}
	}
	if a.head.HasLoad {
		s.Targets.RecordLoad(a.target, a.head.Load)
		s.Reservations.ObserveLoad(a.service, a.head.Load)
	}
}

// checkHead returns an error if the target refused the request.
func (a *attempt) checkHead() *rhubarbgate.Error {
	s := a.server
	a.observeHead()
	if a.head.NotRun {
		s.Counts.TargetRefusals.Add(1)
		status := a.response.Status
		if a.early == nil {
			a.readRefusal(a.response)
		}
		a.finish(false)
		if a.paired {
			// The answer of the other attempt does not wait until a new instance is confirmed.
			return notRun(rhubarbgate.CodeUnavailable, "target %s refused with status %d", a.target.Instance.ID, status)
		}
		if a.restarted = s.Targets.Adopt(a.x.Context, a.target, a.head.Instance, a.sent); a.restarted != nil {
			if a.head.HasCold {
				s.Limits.ObserveCold(a.restarted.Name(), a.restarted.Instance.Service, a.head.ColdLeft)
			}
			return notRun(rhubarbgate.CodeUnavailable, "target %s restarted as %s", a.target.Instance.ID, a.head.Instance)
		}
		return notRun(rhubarbgate.CodeUnavailable, "target %s refused with status %d", a.target.Instance.ID, status)
	}
	a.target.RecordRun(a.sent)
	a.possibleRuns++
	return nil
}

// maxRefusalBytes bounds what is read of a refusal's body. The connection is closed after
// a longer one.
const maxRefusalBytes = 4 << 10

// readRefusal reads the short body of a refusal, so that the connection can be reused.
func (a *attempt) readRefusal(r *target.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxRefusalBytes))
}

// finish closes the response and reports the end of the attempt to the table of targets.
// Further calls have no effect.
func (a *attempt) finish(failed bool) {
	if a.finished {
		return
	}
	a.finished = true
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
	a.server.Targets.Finish(a.target, failed)
}

// relay passes the response on to the caller. After an error nothing has been sent to the
// caller, so that the request can still be retried.
func (a *attempt) relay() *rhubarbgate.Error {
	if a.x.Route.Kind == rhubarbgate.Streaming && a.response.Status == fasthttp.StatusOK {
		return a.startStream()
	}
	body, err := a.readBody()
	if err != nil {
		a.server.Counts.TruncatedResponses.Add(1)
		a.finish(true)
		e := a.truncationError(err)
		a.recordBreak(e)
		return e
	}
	failed := a.response.Status >= fasthttp.StatusInternalServerError
	if failed && a.x.idempotent() && a.possibleRuns < a.x.Route.Attempts {
		status := a.response.Status
		a.finish(true)
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "target %s answered with status %d", a.target.Instance.ID, status)
	}
	if a.head.ReadAsNotRun && !a.x.idempotent() {
		a.server.Counts.UnstatedPromises.Add(1)
		status := a.response.Status
		a.finish(failed)
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "target %s answered with status %d and did not state that nothing ran", a.target.Instance.ID, status)
	}
	a.copyHead()
	if len(body) > maxBufferedBytes {
		a.progress.Event(a.server.Clock.Now())
		a.x.HTTP.Response.SetBodyStream(&longBody{attempt: a, buffered: body, remaining: maxResponseBytes - len(body)}, -1)
		return nil
	}
	a.recordAnswer()
	a.observeHold()
	a.finish(failed)
	a.x.HTTP.Response.SetBodyRaw(body)
	return nil
}

// readBody returns the body of the response, or its first part if it is longer than maxBufferedBytes.
func (a *attempt) readBody() ([]byte, error) {
	if a.early != nil {
		return a.early.body, a.early.err
	}
	return a.readBodyOf(a.response)
}

func (a *attempt) readBodyOf(r *target.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBufferedBytes+1))
	if err == nil && len(body) <= maxBufferedBytes && a.endedWithTarget(r) {
		err = errEndedWithTarget
	}
	return body, err
}

// copyHead copies the status and the end-to-end headers to the caller's response.
func (a *attempt) copyHead() {
	r := &a.x.HTTP.Response
	r.SetStatusCode(a.response.Status)
	for _, h := range a.response.Headers {
		if !target.HopByHop(h.Name) {
			r.Header.Add(h.Name, h.Value)
		}
	}
}

// errEndedWithTarget reports a response that ended because its target did.
const errEndedWithTarget = errors.ConstError("the target has ended")

// endedWithTarget reports whether a response that ends with its connection ended because the
// target's process did, and so may lack its rest.
func (a *attempt) endedWithTarget(r *target.Response) bool {
	return r.Unframed() && a.server.Targets.HasEnded(a.x.Context, a.target)
}

// recordAnswer records that the target answered the request completely. A failure of the target is no
// answer, as it may not have begun to run the request. One of the request says nothing of
// its prompt, which the target may not have read.
func (a *attempt) recordAnswer() {
	parts := a.x.parts()
	switch {
	case a.response.Status >= fasthttp.StatusInternalServerError || a.head.ReadAsNotRun:
		return
	case a.response.Status != fasthttp.StatusOK:
		parts = parts[len(parts)-1:] // the request's content
	}
	a.server.Crashes.RecordAnswer(a.target.Instance.Service, parts)
}

// recordBreak records that the target broke off the response with the error e.
func (a *attempt) recordBreak(e *rhubarbgate.Error) {
	if e.Code != rhubarbgate.CodeUpstream {
		return
	}
	now := a.server.Clock.Now()
	b := crashes.Break{
		Target: a.target, Parts: a.x.parts(), At: now, Answering: a.progress.Answering(now), Resumed: a.resumed,
		Fields: a.x.fields(now), Cause: e.Message,
	}
	b.Fields["sent"], b.Fields["content"] = len(a.tried), a.x.contentPart()
	a.server.Crashes.RecordBreak(b)
}

// truncationError returns the error for a response that is incomplete because of err. Its
// code says whether the caller disconnected, the deadline passed or the target failed.
func (a *attempt) truncationError(err error) *rhubarbgate.Error {
	if a.x.Context.Err() != nil {
		return rhubarbgate.Errorf(rhubarbgate.CodeCancelled, rhubarbgate.MayHaveRun, "%v", context.Cause(a.x.Context))
	}
	if !a.server.Clock.Now().Before(a.x.Deadline) {
		return rhubarbgate.Errorf(rhubarbgate.CodeDeadline, rhubarbgate.MayHaveRun, "the deadline passed while target %s answered", a.target.Instance.ID)
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the answer of target %s broke off: %v", a.target.Instance.ID, err)
}
