package ingress

import (
	"bytes"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// defaultTimeout bounds a call whose caller and route set no deadline.
	defaultTimeout = 30 * time.Second
	// unsureRetry is when a caller may come back to an entry that cannot confirm
	// its configuration: an election, a poll and an exchange with the owner.
	unsureRetry = 800 * time.Millisecond
	// unsureSpread and blindSpread spread the return of callers that were refused
	// together.
	unsureSpread = 900 * time.Millisecond
	blindSpread  = 500 * time.Millisecond
	// rateRetry and rateSpread say when a caller beyond the rate may come back: the
	// bucket is empty, so those that return at once are refused again.
	rateRetry  = 400 * time.Millisecond
	rateSpread = 800 * time.Millisecond
	// admitPatience is the longest wait for a token of the rate.
	admitPatience = 150 * time.Millisecond
	// admitShare is the part of the time to the deadline that the wait may use.
	admitShare = 4
)

// resolve finds the route.
type resolve struct{ server *Server }

// Handle implements Filter.
func (f *resolve) Handle(x *Exchange, next Handler) error {
	if x.Config.Version == 0 {
		return notRun(rhubarbgate.CodeStale, "no configuration is known yet").After(f.server.unsure())
	}
	path := string(x.HTTP.RequestURI())
	path, _, _ = strings.Cut(path, "?")
	host := string(x.HTTP.Host())
	if x.Call.Kind != rhubarbgate.Forward {
		return f.jobs(x, host, next)
	}
	r, ok := x.Config.Route(host, path)
	if !ok {
		return notRun(rhubarbgate.CodeNotFound, "no route for host %q and path %q", host, path)
	}
	x.Route = r
	if l := x.Config.Limits; l != nil && l.BodyBytes > 0 && len(x.HTTP.Request.Body()) > l.BodyBytes {
		return notRun(rhubarbgate.CodeTooLarge, "the body has %d bytes, more than %d", len(x.HTTP.Request.Body()), l.BodyBytes)
	}
	timeout := r.Timeout
	if r.Kind == rhubarbgate.BatchJob || x.Call.Timeout > 0 && x.Call.Timeout < timeout {
		timeout = x.Call.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.Deadline = x.Arrived.Add(timeout)
	return next(x)
}

// jobs lets calls about jobs through on hosts that have a route of jobs.
func (f *resolve) jobs(x *Exchange, host string, next Handler) error {
	for _, r := range x.Config.RoutesOfHost(host) {
		if r.Kind == rhubarbgate.BatchJob {
			x.Deadline = x.Arrived.Add(jobTimeout)
			return next(x)
		}
	}
	return notRun(rhubarbgate.CodeNotFound, "host %q has no batch jobs", host)
}

// identify finds the workspace of the caller's key. Open routes pass without one.
type identify struct{ server *Server }

var bearer = []byte("Bearer ")

// Handle implements Filter.
func (f *identify) Handle(x *Exchange, next Handler) error {
	if x.Route.Open || len(x.Config.Workspaces) == 0 {
		return next(x)
	}
	if f.server.stale() {
		return notRun(rhubarbgate.CodeStale, "this entry last confirmed its configuration %v ago", f.server.age()).After(f.server.unsure())
	}
	h := x.HTTP.Request.Header.Peek("Authorization")
	if len(h) <= len(bearer) || !bytes.EqualFold(h[:len(bearer)], bearer) {
		return notRun(rhubarbgate.CodeUnauthorized, "the header Authorization lacks a bearer key")
	}
	x.KeyDigest = config.KeyDigest(string(bytes.TrimSpace(h[len(bearer):])))
	k, ok := x.Config.Keys[x.KeyDigest]
	if !ok {
		return notRun(rhubarbgate.CodeUnauthorized, "the key is unknown or withdrawn")
	}
	x.Workspace = k.Workspace
	return next(x)
}

// confirmKey looks the key up again before a request that waited goes out.
func (s *Server) confirmKey(x *Exchange) *rhubarbgate.Error {
	if x.KeyDigest == "" {
		return nil
	}
	if s.stale() {
		return notRun(rhubarbgate.CodeStale, "this entry last confirmed its configuration %v ago", s.age()).After(s.unsure())
	}
	if k, ok := s.Source.Current().Keys[x.KeyDigest]; !ok || k.Workspace != x.Workspace {
		return notRun(rhubarbgate.CodeUnauthorized, "the key was withdrawn")
	}
	return nil
}

// unsure returns when a caller may come back while this entry cannot confirm
// what it needs of the control hosts.
func (s *Server) unsure() time.Duration { return unsureRetry + s.jitter(unsureSpread) }

// jitter draws a duration below limit.
func (s *Server) jitter(limit time.Duration) time.Duration {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return time.Duration(s.Random.Int64N(int64(limit)))
}

// admit takes a token of the workspace's rate.
type admit struct{ server *Server }

// Handle implements Filter.
func (f *admit) Handle(x *Exchange, next Handler) error {
	w, ok := x.Config.Workspaces[x.Workspace]
	if !ok || w.Unlimited || x.Route.Kind == rhubarbgate.BatchJob {
		return next(x)
	}
	s := f.server
	patience := min(admitPatience, x.Deadline.Sub(s.Clock.Now())/admitShare)
	ok, wait := s.Holder.Acquire(x.Workspace, 1, patience, x.Context.Done())
	if ok {
		return next(x)
	}
	if blind := s.Holder.OwnerGrantPause(x.Workspace); blind > 0 {
		return notRun(rhubarbgate.CodeUnavailable, "the owner of workspace %s's rate is new", x.Workspace).After(blind + s.jitter(blindSpread))
	}
	wait = max(wait, rateRetry) + s.jitter(rateSpread)
	if s.Holder.OwnerUnreachable(x.Workspace) {
		return notRun(rhubarbgate.CodeUnavailable, "the owner of workspace %s's rate cannot be reached", x.Workspace).After(max(wait, s.unsure()))
	}
	return notRun(rhubarbgate.CodeRateLimited, "workspace %s is beyond its rate of %g a second", x.Workspace, w.Rate).After(wait)
}
