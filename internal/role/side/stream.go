package side

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/events"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// itemStallTimeout bounds the time to an item's first event and between two
// events: ten times the longest pause that streams aim at.
const itemStallTimeout = 4 * time.Second

// errStalled is the cause with which an attempt without events is cancelled.
const errStalled = errors.ConstError("the target of the item is silent")

// lastEventHeader carries the ID of the event after which a stream resumes, as
// server-sent events define it.
const lastEventHeader = "Last-Event-Id"

// output is the output of a streamed item so far. It is stored with returned
// leases.
type output struct {
	// LastID is the ID of the last event; empty means that there is none.
	LastID string
	// Text is the data of all events, separated by line feeds.
	Text []byte
	// Version is that of the software that wrote Text, see softwareOf. Output of another version, or of
	// one that an earlier build did not store, is not continued.
	Version string `msgpack:",omitempty"`
	// StartedOver says that the output that an earlier attempt stored must not be continued.
	StartedOver bool `msgpack:"-"`
}

// encode returns nil for an output without events, unless it replaces an earlier one.
func (o *output) encode() []byte {
	if o.LastID == "" && !o.StartedOver {
		return nil
	}
	b, err := wire.Marshal(o)
	if err != nil {
		// The type holds only strings and bytes.
		panic(err)
	}
	return b
}

// decodeOutput decodes what encode returned. It returns an empty output for data
// that cannot be decoded, so that the item runs again from the start.
func decodeOutput(b []byte) output {
	var o output
	if len(b) == 0 || wire.Unmarshal(b, &o) != nil {
		return output{}
	}
	return o
}

// attemptStream runs a submitted job's item, continuing after its output so far.
// resumeLater reports that it was preempted and can be continued.
func (w *worker) attemptStream(t *task, p *gatekeeper.Slot) (o jobs.Outcome, resumeLater bool) {
	o.Ref = t.grant.Ref
	err := w.streamItem(p.Context, t)
	if err == nil {
		o.OK, o.Output = true, t.output.Text
		return o, false
	}
	if context.Cause(p.Context) == error(gatekeeper.ErrPreempted) {
		return o, true
	}
	o.Message, o.Verdict, o.Permanent = err.Message, err.Verdict, err.Code == rhubarbgate.CodeInvalid
	return o, false
}

// streamItem runs one attempt. The verdict is Ran only if the target responded
// that it ran the item.
func (w *worker) streamItem(ctx context.Context, t *task) *rhubarbgate.Error {
	h := w.host
	i, ok := h.Targets.Find(h.Target)
	if !ok || i.Leaving || h.Targets.Replaced(i) {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the target at %v is not listed, or leaving", h.Target)
	}
	route, ok := h.configuration().BatchRoute(t.grant.Needs, t.grant.Origin.Host, t.grant.Origin.Path)
	if !ok {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "no route %q, nor another one for the job", t.grant.Needs)
	}
	if !splitIncludes(route.Split, i.Service) {
		// The route may have changed since the item was leased.
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the route %q does not lead to service %q", route.Name, i.Service)
	}
	var item rhubarbgate.JobItem
	if err := wire.Unmarshal(t.grant.Line, &item); err != nil {
		return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "item: %v", err)
	}
	parts := w.sharedParts(&item)
	part, retryAfter, blocked := h.crashes.Blocked(i.Service, parts)
	if blocked && (h.isBusy() && h.crashes.LeavesTrial(i.Service, parts) || !h.crashes.RequestTrial(ctx, i.Service, parts)) {
		t.returnDelay = min(blockedItemDelay, retryAfter)
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "targets of service %q end when they answer prompts with the part %s; next trial in %v", i.Service, part, retryAfter)
	}
	if software := w.softwareOf(i); t.output.Version != software {
		if t.output.LastID != "" {
			w.logItem(t, "item starts over at another version", log.Fields{"version": t.output.Version, "targetVersion": software})
			t.output = output{StartedOver: true}
		}
		t.output.Version = software
	}
	q := &target.Request{Method: http.MethodPost, Host: route.Path.Host, Path: item.Path, Body: item.Body, ID: item.ID, Idempotent: true}
	own := h.Dialect.TargetHeaders(rhubarbgate.TargetCall{Request: item.ID, Instance: i.ID, Workspace: t.grant.Workspace})
	if t.output.LastID != "" {
		own = append(own, rhubarbgate.Header{Name: lastEventHeader, Value: t.output.LastID})
	}
	q.Headers = append(forwardedHeaders(h.Dialect, item.Headers, own), own...)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	stallTimer := w.clock.AfterFunc(itemStallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	var progress crashes.Progress
	lastID := t.output.LastID
	e := w.exchange(ctx, t, q, i, func() {
		if progress.Event(w.clock.Now()) {
			h.crashes.RecordAnswer(i.Service, parts)
		}
		stallTimer.Reset(itemStallTimeout)
	})
	if e != nil && e.Code == rhubarbgate.CodeUpstream && e.Verdict == rhubarbgate.MayHaveRun && ctx.Err() == nil {
		now := w.clock.Now()
		w.recordBreak(t, i, crashes.Break{Parts: parts, At: now, Answering: progress.Answering(now), Resumed: lastID != "", Cause: e.Message})
		if !progress.IsAnswer(now) || t.output.LastID == lastID {
			t.brokenOffBy = w.host.Targets.Target(i)
		}
	}
	switch {
	case e == nil:
		h.crashes.RecordAnswer(i.Service, parts)
	case blocked && e.Verdict == rhubarbgate.NotRun:
		h.crashes.ReturnTrial(i.Service, parts)
	}
	return e
}

// exchange sends an item to the target and reads the response.
func (w *worker) exchange(ctx context.Context, t *task, q *target.Request, i rhubarbgate.Instance, onEvent func()) *rhubarbgate.Error {
	sent := w.clock.Now()
	a, err := w.host.targetClient.Do(ctx, q)
	if err != nil {
		return rhubarbgate.AsError(err)
	}
	defer a.Close()
	if e := w.checkHead(a, i, sent); e != nil {
		return e
	}
	if err := events.CheckHead(a.Header); err != nil {
		return brokenOff(err)
	}
	e := t.output.readEvents(&itemBody{Response: a, hasEnded: func() bool {
		x := w.host.Targets.Target(i)
		return x != nil && w.host.Targets.HasEnded(ctx, x)
	}}, onEvent)
	if e != nil {
		a.Abandon()
	}
	return e
}

// errEndedWithTarget reports a response that ended because its target did.
const errEndedWithTarget = errors.ConstError("the target has ended")

// itemBody is the body of the response to an item. One that ends with its connection is complete
// only if the target has not ended.
type itemBody struct {
	*target.Response
	hasEnded func() bool
}

// Read implements io.Reader.
func (b *itemBody) Read(p []byte) (int, error) {
	n, err := b.Response.Read(p)
	if err == io.EOF && b.Unframed() && b.hasEnded() {
		err = errEndedWithTarget
	}
	return n, err
}

// brokenOff returns the error for a response that is unusable from here on because of err.
func brokenOff(err error) *rhubarbgate.Error {
	return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the target's answer broke off: %v", err)
}

// softwareOf returns the version of an instance's software. The name of an instance that the list does not
// show yet stands for its version, which may be any.
func (w *worker) softwareOf(i rhubarbgate.Instance) string {
	if x := w.host.Targets.Target(i); x != nil {
		if v, listed := x.Version(); listed {
			return v
		}
	}
	return "of " + discovery.TargetName(i)
}

// recordBreak records that the target broke off the response to an item.
func (w *worker) recordBreak(t *task, i rhubarbgate.Instance, b crashes.Break) {
	if b.Target = w.host.Targets.Target(i); b.Target == nil {
		return
	}
	b.Fields = log.Fields{"job": t.grant.Ref.Job, "index": t.grant.Ref.Index, "attempt": t.grant.Ref.Attempt, "workspace": t.grant.Workspace}
	w.host.crashes.RecordBreak(b)
}

// sharedParts returns the parts of an item's prompt that other requests may have too.
func (w *worker) sharedParts(item *rhubarbgate.JobItem) []string {
	call, err := w.host.Dialect.DecodeCall(http.MethodPost, item.Path, func(name string) string {
		i := slices.IndexFunc(item.Headers, func(h rhubarbgate.Header) bool { return strings.EqualFold(h.Name, name) })
		if i < 0 {
			return ""
		}
		return item.Headers[i].Value
	})
	if err != nil {
		return nil // the target refuses the path too
	}
	return call.SharedParts()
}

// forwardedHeaders returns the headers of an item that may reach a target. Its submitter may
// not set those that the system sets, nor pass on its key. A name that is no token, such as one with a
// colon, would reach the target as another name with another value.
func forwardedHeaders(d rhubarbgate.Dialect, headers, own []rhubarbgate.Header) []rhubarbgate.Header {
	var kept []rhubarbgate.Header
	for _, x := range headers {
		isOwn := slices.ContainsFunc(own, func(o rhubarbgate.Header) bool { return strings.EqualFold(o.Name, x.Name) })
		if target.IsToken(x.Name) && !isOwn && !target.HopByHop(x.Name) && d.Forwards(x.Name) && !strings.EqualFold(x.Name, lastEventHeader) {
			kept = append(kept, x)
		}
	}
	return kept
}

// checkHead classifies the head of the response to an item that was sent at the given time.
func (w *worker) checkHead(a *target.Response, i rhubarbgate.Instance, sent time.Time) *rhubarbgate.Error {
	head := w.host.Dialect.DecodeResponse(a.Status, a.Header)
	if x := w.host.Targets.Target(i); x != nil {
		if head.OtherInstance {
			w.host.limits.Return(x.Name())
		} else {
			w.host.limits.Observe(x, head.Limit, head.HasLimit)
			if head.HasCold {
				w.host.limits.ObserveCold(x.Name(), x.Instance.Service, head.ColdLeft)
			}
		}
		if !head.NotRun {
			x.RecordRun(sent)
		}
	}
	if head.Leaving {
		w.host.Targets.RecordLeavingAt(i.ID, i.Address)
	}
	switch {
	case head.NotRun && w.host.Targets.Adopt(context.Background(), w.host.Targets.Target(i), head.Instance, sent) != nil:
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the target restarted as %s", head.Instance)
	case head.NotRun:
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the target refused with status %d", a.Status)
	case a.Status == http.StatusOK:
		return nil
	case a.Status == http.StatusUnprocessableEntity:
		return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.Ran, "the target can never run the item")
	case a.Status == http.StatusInternalServerError:
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "the target failed")
	default:
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the target answered with status %d", a.Status)
	}
}

// readEvents appends the events of a response that continues o until its complete end, and calls
// onEvent for each. After an error, o ends with an event that another attempt can continue after.
func (o *output) readEvents(a io.Reader, onEvent func()) *rhubarbgate.Error {
	position := events.After(o.LastID)
	r := events.NewReader(a, &position)
	resumable := len(o.Text) // length of the text up to the event LastID
	for {
		e, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			o.Text = o.Text[:resumable]
			if err == events.ErrNoEvent && o.LastID != "" {
				// The stream may have broken off behind its last event, so that nothing is left to
				// continue; or the target lacks the rest. The next attempt shows which.
				*o = output{StartedOver: true, Version: o.Version}
			}
			return brokenOff(err)
		}
		if e.IsComment() {
			continue // it keeps a stalled stream open and is no output
		}
		onEvent()
		if o.LastID != "" || len(o.Text) > 0 {
			o.Text = append(o.Text, '\n')
		}
		o.Text = append(o.Text, e.Data...)
		if len(o.Text) > maxItemResponseBytes {
			// Output that long is not the item's, so no other attempt may continue it.
			*o = output{Version: o.Version}
			return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the item's output has more than %d bytes", maxItemResponseBytes)
		}
		if id, ok := position.Resumable(); ok && id != "" {
			o.LastID, resumable = id, len(o.Text)
		}
	}
}
