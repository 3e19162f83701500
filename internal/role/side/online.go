package side

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
)

// frameBytes is the size of the buffer that one data frame is read into.
const frameBytes = 32 << 10

// answerHeaders are the target's headers that callers get.
var answerHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Location", "Retry-After"}

// run works on one online request and streams the answer's frames.
func (h *Host) run(ctx context.Context, q *side.Request, send func(*side.Frame) error) error {
	h.active.Add(1)
	defer h.active.Add(-1)
	h.counts.online.Add(1)
	s := &session{host: h, request: q, send: send, deadline: h.Clock.Now().Add(q.Timeout)}
	ctx, cancel := deadline.WithTimeout(ctx, h.Clock, q.Timeout)
	defer cancel()
	err := s.serve(ctx)
	if err != nil && err.Verdict == rhubarbgate.NotRun {
		h.counts.refused.Add(1)
	}
	return s.frame(&side.Frame{Kind: side.End, Err: err, Report: h.load()})
}

// session is one attempt at an online request.
type session struct {
	host     *Host
	request  *side.Request
	send     func(*side.Frame) error
	deadline time.Time
	started  time.Time
	last     time.Time
}

func (s *session) frame(f *side.Frame) error {
	f.RequestID, f.Attempt = s.request.RequestID, s.request.Attempt
	return s.send(f)
}

func (s *session) serve(ctx context.Context) *rhubarbgate.Error {
	h := s.host
	if h.isLeaving() {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "target %s is leaving", h.Name)
	}
	w := rhubarbgate.Work{Class: rhubarbgate.Online, Workspace: s.request.Workspace, Weight: h.configuration().Weight(s.request.Workspace), Deadline: s.deadline}
	s.started = h.Clock.Now()
	p := h.keeper.Enter(ctx, w)
	if p == nil {
		code := rhubarbgate.CodeOverloaded
		if ctx.Err() != nil && !deadline.Passed(ctx) {
			code = rhubarbgate.CodeCancelled
		}
		return rhubarbgate.Errorf(code, rhubarbgate.NotRun, "target %s has no room before the deadline", h.Name).After(time.Second)
	}
	defer p.Leave()
	if err := s.authorize(); err != nil {
		return err
	}
	return s.exchange(p)
}

// authorize looks the key up again: it may have been withdrawn while the
// request was queued.
func (s *session) authorize() *rhubarbgate.Error {
	if s.request.KeyDigest == "" {
		return nil
	}
	h := s.host
	if h.Clock.Since(h.watcher.Fresh()) > h.MaxAge {
		return rhubarbgate.Errorf(rhubarbgate.CodeStale, rhubarbgate.NotRun, "the side of target %s cannot confirm its configuration", h.Name)
	}
	c := h.configuration()
	k, ok := c.Keys[s.request.KeyDigest]
	if ok && k.Workspace == s.request.Workspace {
		return nil
	}
	if !ok && c.Version < s.request.ConfigVersion {
		// The entry admitted the key by a newer version than this side has.
		return nil
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeUnauthorized, rhubarbgate.NotRun, "the key was withdrawn")
}

func (s *session) exchange(p *gatekeeper.Place) *rhubarbgate.Error {
	q := &target.Request{Method: s.request.Method, Path: s.request.Path, Body: s.request.Body, Idempotent: s.request.Model != ""}
	for _, x := range s.request.Headers {
		q.Headers = append(q.Headers, target.Header(x))
	}
	a, err := s.host.engine.Do(p.Context, q)
	if err != nil {
		e := rhubarbgate.AsError(err)
		if e.Verdict == rhubarbgate.NotRun {
			s.host.setDown(true)
		}
		return e
	}
	defer a.Close()
	return s.relay(p.Context, a)
}

func (s *session) relay(ctx context.Context, a *target.Response) *rhubarbgate.Error {
	head := &side.Frame{Kind: side.Head, Status: a.Status}
	for _, name := range answerHeaders {
		if v := a.Header(name); v != "" {
			head.Headers = append(head.Headers, side.Header{Name: name, Value: v})
		}
	}
	if s.frame(head) != nil {
		return cancelled()
	}
	events := strings.HasPrefix(a.Header("Content-Type"), "text/event-stream")
	b := make([]byte, frameBytes)
	for {
		n, err := a.Read(b)
		if n > 0 {
			if events {
				s.observe(bytes.Count(b[:n], []byte("data:")))
			}
			if s.frame(&side.Frame{Kind: side.Data, Data: b[:n]}) != nil {
				return cancelled()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return broken(ctx, err)
		}
	}
}

func cancelled() *rhubarbgate.Error {
	return rhubarbgate.Errorf(rhubarbgate.CodeCancelled, rhubarbgate.MayHaveRun, "the entry went away")
}

func broken(ctx context.Context, err error) *rhubarbgate.Error {
	if deadline.Passed(ctx) {
		return rhubarbgate.Errorf(rhubarbgate.CodeDeadline, rhubarbgate.MayHaveRun, "the deadline passed while the target answered")
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the target's answer broke off: %v", err)
}

// observe feeds the gate with the latencies that this stream sees.
func (s *session) observe(tokens int) {
	now := s.host.Clock.Now()
	if s.last.IsZero() {
		s.host.keeper.Observe(now.Sub(s.started), 0)
	} else if tokens > 0 {
		s.host.keeper.Observe(0, now.Sub(s.last)/time.Duration(tokens))
	}
	s.last = now
}
