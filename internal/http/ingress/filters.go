package ingress

import (
	"bytes"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// defaultTimeout bounds a request whose route sets no timeout. A batch job has it if its
	// caller sets none.
	defaultTimeout = 30 * time.Second
	// maxStartWait bounds the wait of a request for the first configuration, which the
	// fleet has that long after all hosts started. startWaitDivisor limits the wait to a
	// fourth of the time for which the caller waits.
	maxStartWait     = 600 * time.Millisecond
	startWaitDivisor = 4
	// confirmationCheckInterval is how often a waiting request checks whether the
	// configuration is confirmed, which Source.Changed does not signal.
	confirmationCheckInterval = 20 * time.Millisecond
	// startPeriod is the time after the start of an entry in which requests wait.
	startPeriod = 2 * time.Second
	// controlRetryAfter is the shortest Retry-After while this entry cannot confirm its
	// configuration or reach the owner of a rate. It covers an election, a poll and an
	// exchange with the owner.
	controlRetryAfter = 800 * time.Millisecond
	// controlRetryJitter and newOwnerRetryJitter bound the random part of Retry-After, so
	// that callers that were refused together do not retry together.
	controlRetryJitter  = 900 * time.Millisecond
	newOwnerRetryJitter = 500 * time.Millisecond
	// rateLimitRetryAfter is the shortest Retry-After of a caller beyond its rate, and
	// rateLimitRetryJitter bounds its random part. The token bucket is empty, so callers
	// that retry at once are refused again.
	rateLimitRetryAfter  = 400 * time.Millisecond
	rateLimitRetryJitter = 800 * time.Millisecond
	// readRetryAfter is the shortest Retry-After of a caller that reads its batch jobs too often, and
	// readRetryJitter bounds its random part.
	readRetryAfter  = 200 * time.Millisecond
	readRetryJitter = 300 * time.Millisecond
	// maxTokenWait bounds the wait for a rate-limit token.
	maxTokenWait = 150 * time.Millisecond
	// tokenWaitDivisor limits the wait for a token to a fourth of the time that remains
	// until the deadline.
	tokenWaitDivisor = 4
)

// routeFilter sets the route and the deadline.
type routeFilter struct{ server *Server }

// Handle implements Filter.
func (f *routeFilter) Handle(x *Exchange, next Handler) error {
	if x.Config.Version == 0 || f.server.configStale() {
		f.server.awaitConfiguration(x)
	}
	if x.Config.Version == 0 {
		return notRun(rhubarbgate.CodeStale, "no configuration is known yet").WithRetryAfter(f.server.retryAfterControl())
	}
	path := string(x.HTTP.RequestURI())
	path, _, _ = strings.Cut(path, "?")
	host := string(x.HTTP.Host())
	if x.Call.Kind != rhubarbgate.Forward {
		// A job belongs to its workspace, whatever has become of the route that took it.
		x.Deadline = x.Arrived.Add(jobTimeout)
		if stopAt := f.server.stopAt.Load(); stopAt != nil {
			x.Deadline = earlier(x.Deadline, stopAt.Add(-stopMargin))
		}
		return next(x)
	}
	r, ok := x.Config.Route(host, path)
	if !ok {
		if repeated, err := f.server.repeatsSubmission(x); repeated || err != nil {
			return err
		}
		return notRun(rhubarbgate.CodeNotFound, "no route for host %q and path %q", host, path)
	}
	x.Route = r
	if l := x.Config.Limits; l != nil && l.BodyBytes > 0 && len(x.HTTP.Request.Body()) > l.BodyBytes {
		return notRun(rhubarbgate.CodeTooLarge, "the body has %d bytes, more than %d", len(x.HTTP.Request.Body()), l.BodyBytes)
	}
	x.Deadline = x.Arrived.Add(requestTimeout(r, x.Call.Timeout))
	if err := f.server.fitBeforeStop(x); err != nil {
		return err
	}
	return next(x)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fitBeforeStop refuses a request that may not end before a draining entry stops: it would be cut without an answer,
// and another entry can serve it. The submission of a batch job, which takes little time, is answered by then.
func (s *Server) fitBeforeStop(x *Exchange) error {
	stopAt := s.stopAt.Load()
	if stopAt == nil {
		return nil
	}
	last := stopAt.Add(-stopMargin)
	if !x.Deadline.After(last) {
		return nil
	}
	if x.Route.Kind == rhubarbgate.BatchJob {
		x.Deadline = last
		return nil
	}
	now := s.Clock.Now()
	return notRun(rhubarbgate.CodeUnavailable, "this entry stops in %v, and the request may take %v", last.Sub(now), x.Deadline.Sub(now))
}

// requestTimeout returns the time for a request of the route whose caller waits that long, 0 if the
// caller does not say.
func requestTimeout(r rhubarbgate.Route, callerTimeout time.Duration) time.Duration {
	timeout := r.Timeout
	if r.Kind == rhubarbgate.BatchJob {
		timeout = callerTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout)
	}
	return timeout
}

// awaitConfiguration waits briefly for the first confirmed configuration of an entry that has
// just started: it takes an election and a poll, while a refused caller may not return at all.
func (s *Server) awaitConfiguration(x *Exchange) {
	if s.Clock.Since(s.startedAt) >= startPeriod {
		return
	}
	wait := maxStartWait
	if x.Call.Timeout > 0 {
		wait = min(wait, x.Call.Timeout/startWaitDivisor)
	}
	timeout := s.Clock.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := s.Source.Changed()
		if x.Config = s.Source.Current(); x.Config.Version > 0 && !s.configStale() {
			return
		}
		select {
		case <-changed:
		case <-s.Clock.After(confirmationCheckInterval):
		case <-timeout.Chan():
			return
		case <-x.Context.Done():
			return
		}
	}
}

// keyFilter authenticates the caller by its key and sets the workspace. It lets requests
// pass without a key on open routes, and on all routes if no workspace is configured. Calls
// about batch jobs pass without a key too: they reach the jobs that belong to no workspace.
type keyFilter struct{ server *Server }

var bearer = []byte("Bearer ")

// Handle implements Filter.
func (f *keyFilter) Handle(x *Exchange, next Handler) error {
	switch {
	case len(x.Config.Workspaces) == 0:
	case x.Call.Kind != rhubarbgate.Forward && len(x.HTTP.Request.Header.Peek("Authorization")) == 0:
	case x.Route.Open && x.Route.Kind != rhubarbgate.BatchJob:
	case x.Route.Open:
		// A job on an open route belongs to the workspace of its key, if it has one.
		if err := f.server.identify(x); err != nil && err.Code != rhubarbgate.CodeUnauthorized {
			return err
		}
	default:
		if err := f.server.identify(x); err != nil {
			return err
		}
	}
	return next(x)
}

// identify sets the workspace of the caller's key.
func (s *Server) identify(x *Exchange) *rhubarbgate.Error {
	h := x.HTTP.Request.Header.Peek("Authorization")
	if x.Route.Open && len(h) == 0 {
		return nil
	}
	if s.configStale() {
		return notRun(rhubarbgate.CodeStale, "this entry last confirmed its configuration %v ago", s.configAge()).WithRetryAfter(s.retryAfterControl())
	}
	if len(h) <= len(bearer) || !bytes.EqualFold(h[:len(bearer)], bearer) {
		return notRun(rhubarbgate.CodeUnauthorized, "the header Authorization lacks a bearer key")
	}
	digest := config.KeyDigest(string(bytes.TrimSpace(h[len(bearer):])))
	k, ok := x.Config.Keys[digest]
	if !ok {
		return notRun(rhubarbgate.CodeUnauthorized, "the key is unknown or withdrawn")
	}
	x.KeyDigest, x.Workspace = digest, k.Workspace
	return nil
}

// confirmKey checks in the current configuration that the key is still valid. It is used
// before a retry, as the key may have been withdrawn since the request arrived.
func (s *Server) confirmKey(x *Exchange) *rhubarbgate.Error {
	if x.KeyDigest == "" {
		return nil
	}
	if s.configStale() {
		return notRun(rhubarbgate.CodeStale, "this entry last confirmed its configuration %v ago", s.configAge()).WithRetryAfter(s.retryAfterControl())
	}
	if k, ok := s.Source.Current().Keys[x.KeyDigest]; !ok || k.Workspace != x.Workspace {
		return notRun(rhubarbgate.CodeUnauthorized, "the key was withdrawn")
	}
	return nil
}

// retryAfterControl returns the Retry-After for callers while this entry cannot confirm
// its configuration or reach the owner of a rate.
func (s *Server) retryAfterControl() time.Duration {
	return controlRetryAfter + s.jitter(controlRetryJitter)
}

// jitter returns a random duration below limit.
func (s *Server) jitter(limit time.Duration) time.Duration {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return time.Duration(s.Random.Int64N(int64(limit)))
}

// quarantineFilter refuses requests whose prompts are blocked. It comes before rateFilter, so that
// they take no tokens from the sound requests of their workspace.
type quarantineFilter struct{ server *Server }

// Handle implements Filter.
func (f *quarantineFilter) Handle(x *Exchange, next Handler) error {
	if x.Route.Kind == rhubarbgate.BatchJob {
		return next(x) // a submission reaches no target; its items are checked when they are run
	}
	var blocked *rhubarbgate.Error
	service := ""
	for _, share := range x.Route.Split {
		if share.Weight <= 0 {
			continue
		}
		service = share.Service
		blocked = f.server.checkBlocked(x, service)
		if blocked == nil && f.server.Crashes.Suspects(service, x.parts()) {
			blocked = notRun(rhubarbgate.CodeUnavailable, "targets of service %q ended when they ran this request", service).WithRetryAfter(crashes.TrialRetryAfter)
		}
		if blocked == nil {
			return next(x)
		}
	}
	if blocked != nil {
		x.trial = f.server.Crashes.RequestTrial(x.Context, service, x.parts())
		if !x.trial {
			f.server.Counts.Quarantined.Add(1)
			return blocked
		}
		err := next(x)
		if err != nil && rhubarbgate.AsError(err).Verdict == rhubarbgate.NotRun {
			f.server.Crashes.ReturnTrial(service, x.parts())
		}
		return err
	}
	return next(x)
}

// checkBlocked returns an error if no target of the service may get the request, because targets
// ended with a part of its prompt or with a request of the same content.
func (s *Server) checkBlocked(x *Exchange, service string) *rhubarbgate.Error {
	part, left, blocked := s.Crashes.Blocked(service, x.parts())
	if !blocked {
		return nil
	}
	if (quarantine.Part{ID: part}).IsRequest() {
		return notRun(rhubarbgate.CodeUnavailable, "targets of service %q end when they run this request, %s", service, part).WithRetryAfter(left)
	}
	return notRun(rhubarbgate.CodeUnavailable, "targets of service %q end when they answer prompts with the part %s", service, part).WithRetryAfter(left)
}

// rateFilter takes a token of the workspace's rate limit, and waits for it briefly. A
// submitted batch job and a request of an unlimited workspace or of none need no token.
type rateFilter struct{ server *Server }

// Handle implements Filter.
func (f *rateFilter) Handle(x *Exchange, next Handler) error {
	w, ok := x.Config.Workspaces[x.Workspace]
	if !ok || w.Unlimited || x.Route.Kind == rhubarbgate.BatchJob {
		return next(x)
	}
	s := f.server
	maxWait := min(maxTokenWait, x.Deadline.Sub(s.Clock.Now())/tokenWaitDivisor)
	ok, wait := s.Holder.Acquire(x.Workspace, 1, maxWait, x.Context.Done())
	if ok {
		return next(x)
	}
	if untilGrants := s.Holder.OwnerGrantPause(x.Workspace); untilGrants > 0 {
		return notRun(rhubarbgate.CodeUnavailable, "the owner of workspace %s's rate is new", x.Workspace).WithRetryAfter(untilGrants + s.jitter(newOwnerRetryJitter))
	}
	wait = max(wait, rateLimitRetryAfter) + s.jitter(rateLimitRetryJitter)
	if s.Holder.OwnerUnreachable(x.Workspace) {
		return notRun(rhubarbgate.CodeUnavailable, "the owner of workspace %s's rate cannot be reached", x.Workspace).WithRetryAfter(max(wait, s.retryAfterControl()))
	}
	return notRun(rhubarbgate.CodeRateLimited, "workspace %s is beyond its rate of %g a second", x.Workspace, w.Rate).WithRetryAfter(wait)
}

// readFilter takes a token of the workspace's own limit of reads of batch jobs. The end of a job needs none.
type readFilter struct{ server *Server }

// Handle implements Filter.
func (f *readFilter) Handle(x *Exchange, next Handler) error {
	s := f.server
	if s.JobReads == nil || x.Call.Kind == rhubarbgate.CancelJob {
		return next(x)
	}
	if ok, wait := s.JobReads.Take(x.Workspace, 1); !ok {
		s.Counts.JobReadsRefused.Add(1)
		return notRun(rhubarbgate.CodeOverloaded, "workspace %q reads its batch jobs more often than this entry allows", x.Workspace).
			WithRetryAfter(max(wait, readRetryAfter) + s.jitter(readRetryJitter))
	}
	return next(x)
}
