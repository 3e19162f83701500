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

const (
	// frameBytes is the size of the buffer for one data frame.
	frameBytes = 32 << 10
	// startPeriod is the time after the start of a side in which requests wait for its first
	// confirmed configuration, and maxStartWait bounds the wait.
	startPeriod  = 2 * time.Second
	maxStartWait = 600 * time.Millisecond
	// confirmationCheckInterval is how often a waiting request checks whether the
	// configuration is confirmed.
	confirmationCheckInterval = 20 * time.Millisecond
)

// responseHeaders are the target's response headers that are passed to callers.
var responseHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Location", "Retry-After"}

// handleRun runs one online request and streams the response as frames.
func (h *Host) handleRun(ctx context.Context, q *side.Request, send func(*side.Frame) error) error {
	h.activeRequests.Add(1)
	defer h.activeRequests.Add(-1)
	h.counts.online.Add(1)
	s := &onlineAttempt{host: h, request: q, send: send, deadline: h.Clock.Now().Add(q.Timeout)}
	ctx, cancel := deadline.WithTimeout(ctx, h.Clock, q.Timeout)
	defer cancel()
	err := s.serve(ctx)
	if err != nil && err.Verdict == rhubarbgate.NotRun {
		h.counts.refusedNotRun.Add(1)
	}
	return s.sendFrame(&side.Frame{Kind: side.End, Err: err, Report: h.loadReport()})
}

// onlineAttempt is one attempt of an online request.
type onlineAttempt struct {
	host       *Host
	request    *side.Request
	send       func(*side.Frame) error
	deadline   time.Time
	queuedAt   time.Time
	lastDataAt time.Time
}

func (s *onlineAttempt) sendFrame(f *side.Frame) error {
	f.RequestID, f.Attempt = s.request.RequestID, s.request.Attempt
	return s.send(f)
}

func (s *onlineAttempt) serve(ctx context.Context) *rhubarbgate.Error {
	h := s.host
	if s.request.KeyDigest != "" {
		h.awaitConfirmation(ctx)
	}
	if h.evacuated.Load() {
		return h.evacuatedError()
	}
	if h.isLeaving() {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "target %s is leaving", h.Name)
	}
	w := rhubarbgate.Work{Class: rhubarbgate.Online, Workspace: s.request.Workspace, Weight: h.configuration().Weight(s.request.Workspace), Deadline: s.deadline}
	s.queuedAt = h.Clock.Now()
	p := h.keeper.Acquire(ctx, w)
	if p == nil {
		code := rhubarbgate.CodeOverloaded
		if ctx.Err() != nil && !deadline.Passed(ctx) {
			code = rhubarbgate.CodeCancelled
		}
		return rhubarbgate.Errorf(code, rhubarbgate.NotRun, "target %s has no room before the deadline", h.Name).WithRetryAfter(time.Second)
	}
	defer p.Release()
	if h.evacuated.Load() {
		return h.evacuatedError()
	}
	if err := s.authorize(); err != nil {
		return err
	}
	return s.forward(p)
}

// evacuatedError is the error of requests for a target in an evacuated zone.
func (h *Host) evacuatedError() *rhubarbgate.Error {
	return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "target %s is in an evacuated zone", h.Name).WithRetryAfter(time.Second)
}

func (h *Host) configurationStale() bool {
	return h.Clock.Since(h.watcher.ConfirmedAt()) > h.MaxAge
}

// awaitConfirmation waits briefly for the first confirmed configuration of a side that has just
// started. Entries send it requests as soon as it accepts them, and no other target may be left.
func (h *Host) awaitConfirmation(ctx context.Context) {
	wait := min(maxStartWait, startPeriod-h.Clock.Since(h.startedAt))
	if wait <= 0 || !h.configurationStale() {
		return
	}
	timeout := h.Clock.NewTimer(wait)
	defer timeout.Stop()
	t := h.Clock.NewTicker(confirmationCheckInterval)
	defer t.Stop()
	for h.configurationStale() {
		select {
		case <-t.Chan():
		case <-timeout.Chan():
			return
		case <-ctx.Done():
			return
		}
	}
}

// authorize checks the key again, because it may have been withdrawn while the
// request was queued.
func (s *onlineAttempt) authorize() *rhubarbgate.Error {
	if s.request.KeyDigest == "" {
		return nil
	}
	h := s.host
	if h.configurationStale() {
		return rhubarbgate.Errorf(rhubarbgate.CodeStale, rhubarbgate.NotRun, "the side of target %s cannot confirm its configuration", h.Name)
	}
	c := h.configuration()
	k, ok := c.Keys[s.request.KeyDigest]
	if ok && k.Workspace == s.request.Workspace {
		return nil
	}
	if !ok && c.Version < s.request.ConfigVersion {
		// The entry admitted the key under a newer configuration than this side has.
		return nil
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeUnauthorized, rhubarbgate.NotRun, "the key was withdrawn")
}

func (s *onlineAttempt) forward(p *gatekeeper.Slot) *rhubarbgate.Error {
	q := &target.Request{Method: s.request.Method, Path: s.request.Path, Body: s.request.Body, Idempotent: s.request.Model != ""}
	for _, x := range s.request.Headers {
		q.Headers = append(q.Headers, target.Header(x))
	}
	a, err := s.host.targetClient.Do(p.Context, q)
	if err != nil {
		e := rhubarbgate.AsError(err)
		if e.Verdict == rhubarbgate.NotRun {
			s.host.setTargetDown(true)
		}
		return e
	}
	defer a.Close()
	return s.relay(p.Context, a)
}

func (s *onlineAttempt) relay(ctx context.Context, a *target.Response) *rhubarbgate.Error {
	head := &side.Frame{Kind: side.Head, Status: a.Status}
	for _, name := range responseHeaders {
		if v := a.Header(name); v != "" {
			head.Headers = append(head.Headers, side.Header{Name: name, Value: v})
		}
	}
	if s.sendFrame(head) != nil {
		return entryDisconnected()
	}
	events := strings.HasPrefix(a.Header("Content-Type"), "text/event-stream")
	b := make([]byte, frameBytes)
	for {
		n, err := a.Read(b)
		if n > 0 {
			if events {
				s.observeLatency(bytes.Count(b[:n], []byte("data:")))
			}
			if s.sendFrame(&side.Frame{Kind: side.Data, Data: b[:n]}) != nil {
				return entryDisconnected()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return responseError(ctx, err)
		}
	}
}

func entryDisconnected() *rhubarbgate.Error {
	return rhubarbgate.Errorf(rhubarbgate.CodeCancelled, rhubarbgate.MayHaveRun, "the entry went away")
}

func responseError(ctx context.Context, err error) *rhubarbgate.Error {
	if deadline.Passed(ctx) {
		return rhubarbgate.Errorf(rhubarbgate.CodeDeadline, rhubarbgate.MayHaveRun, "the deadline passed while the target answered")
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the target's answer broke off: %v", err)
}

// observeLatency reports the latencies of this stream to the gate: the time to the
// first token including the queueing, then the mean time per token.
func (s *onlineAttempt) observeLatency(tokens int) {
	now := s.host.Clock.Now()
	if s.lastDataAt.IsZero() {
		s.host.keeper.Observe(now.Sub(s.queuedAt), 0)
	} else if tokens > 0 {
		s.host.keeper.Observe(0, now.Sub(s.lastDataAt)/time.Duration(tokens))
	}
	s.lastDataAt = now
}
