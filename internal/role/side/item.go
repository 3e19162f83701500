package side

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// attemptTimeout bounds one attempt at an item, except with a Probe: then
	// itemStallTimeout bounds the pauses of the stream instead.
	attemptTimeout = 10 * time.Minute
	// maxItemResponseBytes bounds the body of an item's response.
	maxItemResponseBytes = 1 << 20
	// maxPreemptions is the number of preemptions after which this side returns an
	// item's lease, so that a side busy with online work does not keep the item.
	maxPreemptions = 20
	// failedAttemptDelay is the delay before an item is returned after an attempt
	// that failed at the target.
	failedAttemptDelay = 100 * time.Millisecond
	// blockedItemDelay is the delay before an item is returned whose prompt is blocked. Other
	// sides block it too, so it would only be passed around.
	blockedItemDelay = 5 * time.Second
	// maxSlotWait is how long an item is queued for a slot of this target before its
	// lease is returned: the time of a few load probes.
	maxSlotWait = 120 * time.Millisecond
)

// runTask runs one task in its slot, and queues it again if it is preempted.
func (w *worker) runTask(ctx context.Context, t *task, p *gatekeeper.Slot) {
	defer w.wake()
	w.host.counts.batch.Add(1)
	startedAt := w.clock.Now()
	w.logItem(t, "item starts")
	o, resumeLater := w.attemptSafely(t, p)
	p.Release()
	w.logItem(t, w.outcomeText(t, o, resumeLater), log.Fields{"ran": w.clock.Since(startedAt).String(), "verdict": o.Verdict.String(), "cause": o.Message})
	switch {
	case resumeLater:
		w.host.counts.preempted.Add(1)
		w.requeue(ctx, t)
	case t.ctx.Err() != nil:
		// The lease was lost, so the outcome would be refused.
	case w.host.Probe != nil && !o.OK && !o.Permanent && o.Verdict != rhubarbgate.Ran:
		w.returnItemLater(ctx, t)
	default:
		w.queueOutcome(t, o)
	}
}

// outcomeText returns the log message for the end of an attempt.
func (w *worker) outcomeText(t *task, o jobs.Outcome, resumeLater bool) string {
	switch {
	case resumeLater:
		return "item preempted"
	case t.ctx.Err() != nil:
		return "item dropped, its lease was lost"
	case o.OK:
		return "item done"
	default:
		return "item failed"
	}
}

// logItem logs an event of an item.
func (w *worker) logItem(t *task, text string, more ...log.Fields) {
	f := log.Fields{
		"job": t.grant.Ref.Job, "index": t.grant.Ref.Index, "attempt": t.grant.Ref.Attempt,
		"due": t.grant.Due.Sub(w.clock.Now()).Round(time.Millisecond).String(), "lastEvent": t.output.LastID, "targetEnds": t.grant.TargetEnds,
	}
	for _, m := range more {
		for k, v := range m {
			f[k] = v
		}
	}
	w.host.Logger.WithFields(f).Info(text)
}

// requeue puts a preempted task at the head of the queue with the output that it
// has produced. It returns the lease after maxPreemptions, and if the target's zone is evacuated.
func (w *worker) requeue(ctx context.Context, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.slot = nil
	t.partial.preemptions++
	if ctx.Err() == nil && !w.host.evacuated.Load() && t.partial.preemptions < maxPreemptions {
		t.queuedSince = w.clock.Now()
		w.queued = append([]*task{t}, w.queued...)
		return
	}
	w.returnItem(t)
}

// returnItem returns the lease of an item together with the output produced so
// far. The caller holds w.mu.
func (w *worker) returnItem(t *task) {
	delete(w.leased, t.grant.Ref)
	w.logItem(t, "item returned", log.Fields{"targetEnded": t.targetEnded})
	w.tasks.Go(func() {
		call, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		// If the return is lost, the item stays leased until the lease expires.
		ret := &jobs.Return{Items: []jobs.ItemRef{t.grant.Ref}, Progress: [][]byte{t.output.encode()}}
		if t.targetEnded {
			ret.TargetEnded = []bool{true}
		}
		_, _ = w.host.control.Jobs(call, t.group, jobs.Command{Return: ret})
	})
}

// returnItemLater returns an item whose attempt failed because of the target. The
// delay prevents a tight retry loop against a failing target.
func (w *worker) returnItemLater(ctx context.Context, t *task) {
	if t.brokenOffBy != nil && w.host.Targets.HasEnded(context.WithoutCancel(ctx), t.brokenOffBy) {
		t.targetEnded = true
		w.host.counts.itemsAtEnds.Add(1)
	}
	select {
	case <-ctx.Done():
	case <-w.clock.After(max(failedAttemptDelay, t.returnDelay)):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leased[t.grant.Ref] == t {
		w.returnItem(t)
	}
}

// returnQueued returns items that got no slot within maxSlotWait, or all queued
// items if the target is leaving, down or evacuated, so that other sides can continue them.
func (w *worker) returnQueued() {
	if w.host.Probe == nil && !w.host.evacuated.Load() {
		return
	}
	unavailable := w.host.isLeaving() || w.host.targetDown.Load()
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.queued[:0]
	for _, t := range w.queued {
		if unavailable || now.Sub(t.queuedSince) >= maxSlotWait {
			w.returnItem(t)
		} else {
			kept = append(kept, t)
		}
	}
	w.queued = kept
}

// attemptSafely is like attempt. A panic fails the attempt, so that one item cannot keep a slot for
// good or end the process.
func (w *worker) attemptSafely(t *task, p *gatekeeper.Slot) (o jobs.Outcome, resumeLater bool) {
	defer func() {
		if v := recover(); v != nil {
			w.host.counts.panics.Add(1)
			w.logItem(t, fmt.Sprintf("panic: %v", v), log.Fields{"stack": string(debug.Stack())})
			o, resumeLater = jobs.Outcome{Ref: t.grant.Ref, Message: "internal error", Verdict: rhubarbgate.MayHaveRun}, false
		}
	}()
	return w.attempt(t, p)
}

// attempt runs the item once; resumeLater reports that it was preempted and can be
// continued.
func (w *worker) attempt(t *task, p *gatekeeper.Slot) (o jobs.Outcome, resumeLater bool) {
	o.Ref = t.grant.Ref
	if w.host.Probe != nil {
		return w.attemptStream(t, p)
	}
	var in jobs.InputLine
	if err := json.Unmarshal(t.grant.Line, &in); err != nil {
		o.Message, o.Permanent = err.Error(), true
		return o, false
	}
	if !t.grant.Idempotent && !w.commitStart(t) {
		o.Message, o.Verdict = "the start could not be recorded", rhubarbgate.NotRun
		return o, false
	}
	ctx, cancel := deadline.WithTimeout(p.Context, w.clock, attemptTimeout)
	defer cancel()
	r, err := w.execute(ctx, t, &in)
	if err == nil {
		o.OK, o.Output = true, resultLine(t, &in, r)
		return o, false
	}
	preempted := context.Cause(p.Context) == error(gatekeeper.ErrPreempted)
	if preempted && (t.grant.Idempotent || err.Verdict == rhubarbgate.NotRun) {
		return o, true
	}
	o.Message, o.Verdict = err.Message, err.Verdict
	o.Permanent = err.Code == rhubarbgate.CodeInvalid
	return o, false
}

// commitStart commits that a non-idempotent item is about to be sent to the target.
func (w *worker) commitStart(t *task) bool {
	ctx, cancel := context.WithTimeout(t.ctx, returnTimeout)
	defer cancel()
	r, err := w.host.control.Jobs(ctx, t.group, jobs.Command{Start: &jobs.Start{Items: []jobs.ItemRef{t.grant.Ref}}})
	return err == nil && len(r.Accepted) == 1 && r.Accepted[0]
}

// itemResponse is the target's response to an item.
type itemResponse struct {
	status int
	body   []byte
}

func (w *worker) execute(ctx context.Context, t *task, in *jobs.InputLine) (*itemResponse, *rhubarbgate.Error) {
	if in.URL == openai.ChatPath || in.URL == openai.CompletionPath {
		if s := newResumable(in); s != nil {
			return w.runResumable(ctx, t, s)
		}
	}
	return w.runPlain(ctx, t, in)
}

// runPlain runs an item that cannot be resumed, without streaming.
func (w *worker) runPlain(ctx context.Context, t *task, in *jobs.InputLine) (*itemResponse, *rhubarbgate.Error) {
	path := in.URL
	if strings.HasPrefix(path, "/services/") {
		rest := strings.TrimPrefix(path, "/services/")
		_, rest, _ = strings.Cut(rest, "/")
		path = "/" + rest
	}
	method := in.Method
	if method == "" {
		method = http.MethodPost
	}
	q := &target.Request{Method: method, Path: path, Body: in.Body, Idempotent: t.grant.Idempotent, Headers: jsonHeaders()}
	q.Headers = append(q.Headers, target.Header{Name: "Idempotency-Key", Value: fmt.Sprintf("%s-%d", t.grant.Ref.Job, t.grant.Ref.Index)})
	a, err := w.host.targetClient.Do(ctx, q)
	if err != nil {
		return nil, rhubarbgate.AsError(err)
	}
	defer a.Close()
	return readItemResponse(ctx, a)
}

// readItemResponse reads the body of the response to an item, which may have no end. A failure of the target is one
// whatever the size of its body.
func readItemResponse(ctx context.Context, a *target.Response) (*itemResponse, *rhubarbgate.Error) {
	b, err := io.ReadAll(io.LimitReader(a, maxItemResponseBytes+1))
	if err != nil {
		return nil, responseError(ctx, err)
	}
	r, e := checkStatus(a.Status, b)
	if e == nil && len(b) > maxItemResponseBytes {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.Ran, "the answer is larger than %d bytes", maxItemResponseBytes)
	}
	return r, e
}

func jsonHeaders() []target.Header {
	return []target.Header{{Name: "Content-Type", Value: "application/json"}}
}

// checkStatus fails the attempt for the statuses after which a retry may succeed:
// 5xx and 429.
func checkStatus(status int, body []byte) (*itemResponse, *rhubarbgate.Error) {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "the target answered with status %d: %.200s", status, body)
	}
	return &itemResponse{status: status, body: body}, nil
}

// responseField is the field "response" of a result line.
type responseField struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

func resultLine(t *task, in *jobs.InputLine, a *itemResponse) []byte {
	id := fmt.Sprintf("%s-%d", t.grant.Ref.Job, t.grant.Ref.Index)
	body := json.RawMessage(a.body)
	if !json.Valid(body) {
		// Plain services may respond with other content, which is kept as a string.
		body, _ = json.Marshal(string(a.body))
	}
	response, err := json.Marshal(&responseField{StatusCode: a.status, RequestID: fmt.Sprintf("%s-%d", id, t.grant.Ref.Attempt), Body: body})
	if err != nil {
		// The body was just checked to be valid JSON.
		panic(err)
	}
	line, err := json.Marshal(&jobs.ResultLine{ID: id, CustomID: in.CustomID, Response: response})
	if err != nil {
		panic(err)
	}
	return line
}
