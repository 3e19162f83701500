package side

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/events"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// itemStall is how long the target of an item may be silent, before its first
// event and between two: ten times the longest pause that streams aim at.
const itemStall = 4 * time.Second

// errStalled is the cause with which an attempt at a silent target is given up.
const errStalled = errors.ConstError("the target of the item is silent")

// lastEventHeader names the event behind which a stream goes on, as server-sent
// events define it.
const lastEventHeader = "Last-Event-Id"

// output is what a streamed item has produced.
type output struct {
	// LastID is the last event's; empty means that there is none.
	LastID string
	// Text is the data of all events, separated by line feeds.
	Text []byte
}

// encode returns nil for an output without events.
func (o *output) encode() []byte {
	if o.LastID == "" {
		return nil
	}
	b, err := wire.Marshal(o)
	if err != nil {
		// The type holds only strings and bytes.
		panic(err)
	}
	return b
}

// decodeOutput reads what encode wrote; what cannot be read is produced anew.
func decodeOutput(b []byte) output {
	var o output
	if len(b) == 0 || wire.Unmarshal(b, &o) != nil {
		return output{}
	}
	return o
}

// attemptStream runs a submitted job's item behind what it has produced so far.
// again says that it was preempted and may go on later.
func (w *worker) attemptStream(t *task, p *gatekeeper.Place) (o jobs.Outcome, again bool) {
	o.Ref = t.grant.Ref
	err := w.stream(p.Context, t)
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

// stream runs one attempt. Only an answer of the target counts as Ran.
func (w *worker) stream(ctx context.Context, t *task) *rhubarbgate.Error {
	h := w.host
	i, ok := h.Targets.Find(h.Target)
	if !ok || i.Leaving {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the target at %v is not listed", h.Target)
	}
	route, ok := h.configuration().Routes[t.grant.Needs]
	if !ok {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "no route %q", t.grant.Needs)
	}
	var item rhubarbgate.JobItem
	if err := wire.Unmarshal(t.grant.Line, &item); err != nil {
		return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "item: %v", err)
	}
	q := &target.Request{Method: http.MethodPost, Host: route.Path.Host, Path: item.Path, Body: item.Body, Idempotent: true}
	q.Headers = append(q.Headers, item.Headers...)
	q.Headers = append(q.Headers, h.Dialect.TargetHeaders(rhubarbgate.TargetCall{Request: item.ID, Instance: i.ID, Workspace: t.grant.Workspace})...)
	if t.output.LastID != "" {
		q.Headers = append(q.Headers, rhubarbgate.Header{Name: lastEventHeader, Value: t.output.LastID})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	stalled := w.clock.AfterFunc(itemStall, func() { cancel(errStalled) })
	defer stalled.Stop()
	a, err := h.engine.Do(ctx, q)
	if err != nil {
		return rhubarbgate.AsError(err)
	}
	defer a.Close()
	if e := w.judge(a, item.ID); e != nil {
		return e
	}
	return t.output.read(a, func() { stalled.Reset(itemStall) })
}

// judge classifies the head of an item's answer.
func (w *worker) judge(a *target.Response, id string) *rhubarbgate.Error {
	head := w.host.Dialect.DecodeAnswer(a.Status, a.Header)
	switch {
	case head.NotRun:
		return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "the target refused with status %d", a.Status)
	case head.RequestID != id:
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the target answered request %q", head.RequestID)
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

// read adds the events of an answer up to its whole end, and tells of each.
func (o *output) read(a *target.Response, event func()) *rhubarbgate.Error {
	r := events.NewReader(a)
	for {
		e, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the target's answer broke off: %v", err)
		}
		event()
		if o.LastID != "" || len(o.Text) > 0 {
			o.Text = append(o.Text, '\n')
		}
		o.Text = append(o.Text, e.Data...)
		o.LastID = e.ID
	}
}
